// Package design defines the API for operators and teams in goa's design language. The code in gen/ is generated from
// it by "go generate ./design".
package design

//go:generate go tool goa gen github.com/crocusplank/crocusplank/design -o ..

import . "goa.design/goa/v3/dsl"

var _ = API("crocusplank", func() {
	Title("crocusplank")
	Description("Scheduler for colocated latency-critical and batch work.")
	Version("1.0")
	Server("entryVM", func() {
		Services("jobs", "configuration", "state", "audit", "replicas", "health")
		Host("local", func() { URI("http://127.0.1.1:7200") })
	})
})

// bearerToken authenticates operators and teams. An API without configured tokens accepts an empty one.
var bearerToken = APIKeySecurity("bearerToken", func() {
	Description("A token of an operator or a team, sent as \"Authorization: Bearer TOKEN\".")
})

var apiError = Type("APIError", func() {
	Description("An error in a form that scripts can evaluate.")
	ErrorName("name", String, "Name of the error, a stable code.", func() { Example("conflict") })
	Attribute("message", String, "What went wrong.")
	Attribute("next", String, "What to do next.")
	Attribute("faults", ArrayOf(String), "All faults found, each with its path.")
	Attribute("revision", UInt64, "The current revision, for a conflict.")
	Required("name", "message", "next")
})

// commonErrors declares the errors that any method may return.
func commonErrors() {
	Error("invalid", apiError, "The request is malformed or its content has faults.")
	Error("unauthorized", apiError, "The token is missing or wrong.")
	Error("forbidden", apiError, "The token does not allow this.")
	Error("notFound", apiError, "The object does not exist.")
	Error("conflict", apiError, "The state has changed since it was read, or the ID is taken.")
	Error("notRun", apiError, "The operation was refused and had no effect.")
	Error("unknown", apiError, "The operation may have had an effect; resend it with the same ID.")
	HTTP(func() {
		Response("invalid", StatusBadRequest)
		Response("unauthorized", StatusUnauthorized)
		Response("forbidden", StatusForbidden)
		Response("notFound", StatusNotFound)
		Response("conflict", StatusConflict)
		Response("notRun", StatusServiceUnavailable)
		Response("unknown", StatusGatewayTimeout)
	})
}

// secured adds the bearer token to a payload.
func secured() {
	APIKey("bearerToken", "token", String, "Authorization header")
}

// tokenHeader maps the bearer token to the Authorization header.
func tokenHeader() {
	Header("token:Authorization")
}

// paged adds the pagination attributes of a list to a payload.
func paged() {
	Attribute("after", String, "Return items after this one; empty for the first page.")
	Attribute("limit", Int, "Largest number of items.", func() { Default(100); Minimum(1); Maximum(1000) })
}

// pageParams maps the pagination attributes to the query string.
func pageParams() {
	Param("after")
	Param("limit")
}
