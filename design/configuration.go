package design

import . "goa.design/goa/v3/dsl"

var revision = Type("Revision", func() {
	Attribute("revision", UInt64)
	Attribute("document", Any, "The configuration document.")
	Required("revision", "document")
})

var change = Type("Change", func() {
	Attribute("base", UInt64, "The revision that the change is based on.")
	Attribute("changeID", String, "ID of the change. A resend with the same ID returns the first outcome.", func() {
		Pattern("^[a-zA-Z0-9][a-zA-Z0-9._-]{0,99}$")
	})
	Attribute("operator", String, func() { MinLength(1); MaxLength(100) })
	Attribute("document", Any, "The complete new configuration document.")
	Required("base", "changeID", "operator", "document")
})

var difference = Type("Difference", func() {
	Attribute("path", String)
	Attribute("from", Any)
	Attribute("to", Any)
	Required("path")
})

var _ = Service("configuration", func() {
	Description("The configuration of the whole system.")
	Security(bearerToken)
	commonErrors()

	Method("show", func() {
		Description("Show the revision in force on this VM, or an earlier one.")
		Payload(func() { secured(); Attribute("revision", UInt64) })
		Result(revision)
		HTTP(func() { GET("/v1/configuration"); tokenHeader(); Param("revision"); Response(StatusOK) })
	})
	Method("diff", func() {
		Description("Validate a change without applying it. Returns all faults or, if there are none, all differences.")
		Payload(func() { secured(); Attribute("change", change); Required("change") })
		Result(func() { Attribute("differences", ArrayOf(difference)); Required("differences") })
		HTTP(func() { POST("/v1/configuration/diff"); tokenHeader(); Body("change"); Response(StatusOK) })
	})
	Method("apply", func() {
		Description("Apply a change. It needs a majority of the data centres.")
		Payload(func() { secured(); Attribute("change", change); Required("change") })
		Result(func() { Attribute("revision", UInt64); Required("revision") })
		HTTP(func() { POST("/v1/configuration"); tokenHeader(); Body("change"); Response(StatusOK) })
	})
	Method("rollForward", func() {
		Description("Make the document of an earlier revision the newest revision.")
		Payload(func() {
			secured()
			Attribute("base", UInt64)
			Attribute("changeID", String)
			Attribute("operator", String)
			Attribute("to", UInt64)
			Required("base", "changeID", "operator", "to")
		})
		Result(func() { Attribute("revision", UInt64); Required("revision") })
		HTTP(func() { POST("/v1/configuration/roll-forward"); tokenHeader(); Response(StatusOK) })
	})
	Method("history", func() {
		Description("List the stored revisions, newest last.")
		Payload(func() { secured() })
		Result(func() {
			Attribute("revisions", ArrayOf("HistoryEntry"))
			Required("revisions")
		})
		HTTP(func() { GET("/v1/configuration/history"); tokenHeader(); Response(StatusOK) })
	})
})

var _ = Type("HistoryEntry", func() {
	Attribute("revision", UInt64)
	Attribute("base", UInt64)
	Attribute("operator", String)
	Attribute("changeID", String)
	Attribute("time", String)
	Required("revision", "operator", "changeID")
})
