package design

import . "goa.design/goa/v3/dsl"

var groupState = Type("GroupState", func() {
	Attribute("name", String)
	Attribute("role", String)
	Attribute("term", UInt64)
	Attribute("leader", String)
	Attribute("commit", UInt64)
	Attribute("applied", UInt64)
	Attribute("voters", ArrayOf(String))
	Attribute("holdsLeaderLease", Boolean)
	Attribute("outOfGroup", String, "Why the VM has left the group. Absent while it takes part.")
	Required("name", "role", "term", "commit", "applied", "voters", "holdsLeaderLease")
})

var vmState = Type("VMState", func() {
	Attribute("vm", String)
	Attribute("dataCentre", String)
	Attribute("version", String)
	Attribute("revisionInForce", UInt64)
	Attribute("ready", Boolean)
	Attribute("peers", MapOf(String, Boolean), "Whether the connection to each peer is up.")
	Attribute("groups", ArrayOf(groupState))
	Required("vm", "dataCentre", "revisionInForce", "ready", "peers", "groups")
})

var workerState = Type("WorkerState", func() {
	Attribute("name", String)
	Attribute("rack", String)
	Attribute("state", String, "up, silent, drained or quarantined")
	Attribute("capacity", resources)
	Attribute("reserved", resources)
	Attribute("tasks", Int)
	Required("name", "state", "capacity", "reserved", "tasks")
})

var endpointState = Type("EndpointState", func() {
	Attribute("name", String)
	Attribute("service", String)
	Attribute("address", String)
	Attribute("slots", Int)
	Attribute("leaving", Boolean)
	Attribute("incarnation", UInt64)
	Required("name", "service", "address", "slots", "leaving", "incarnation")
})

var eviction = Type("Eviction", func() {
	Attribute("task", String)
	Attribute("attempt", UInt32)
	Attribute("worker", String)
	Attribute("time", String)
	Attribute("reason", String)
	Required("task", "attempt", "reason")
})

var promise = Type("Promise", func() {
	Attribute("name", String)
	Attribute("state", String, "", func() { Enum("kept", "atRisk", "notKept", "notObserved") })
	Attribute("evidence", String)
	Required("name", "state", "evidence")
})

var _ = Service("state", func() {
	Description("The state of the system as known to this VM.")
	Security(bearerToken)
	commonErrors()

	Method("vm", func() {
		Description("Show the state of this VM and its groups.")
		Payload(func() { secured() })
		Result(vmState)
		HTTP(func() { GET("/v1/vm"); tokenHeader(); Response(StatusOK) })
	})
	Method("workers", func() {
		Description("List the data centre's workers.")
		Payload(func() { secured(); paged() })
		Result(func() { Attribute("workers", ArrayOf(workerState)); Attribute("next", String); Required("workers") })
		HTTP(func() { GET("/v1/workers"); tokenHeader(); pageParams(); Response(StatusOK) })
	})
	Method("drain", func() {
		Description("Stop placing tasks on a worker, and optionally evict those that run there.")
		Payload(func() {
			secured()
			Attribute("worker", String)
			Attribute("drained", Boolean)
			Attribute("evict", Boolean, func() { Default(false) })
			Required("worker", "drained")
		})
		HTTP(func() { POST("/v1/workers/{worker}/drain"); tokenHeader(); Response(StatusNoContent) })
	})
	Method("endpoints", func() {
		Description("List the endpoints known to the gateway on this VM.")
		Payload(func() { secured(); paged() })
		Result(func() {
			Attribute("endpoints", ArrayOf(endpointState))
			Attribute("next", String)
			Required("endpoints")
		})
		HTTP(func() { GET("/v1/endpoints"); tokenHeader(); pageParams(); Response(StatusOK) })
	})
	Method("evictions", func() {
		Description("List recent evictions, newest last.")
		Payload(func() { secured() })
		Result(func() { Attribute("evictions", ArrayOf(eviction)); Required("evictions") })
		HTTP(func() { GET("/v1/evictions"); tokenHeader(); Response(StatusOK) })
	})
	Method("promises", func() {
		Description("Show each invariant as kept, at risk or not kept, with the evidence on this VM.")
		Payload(func() { secured() })
		Result(func() { Attribute("promises", ArrayOf(promise)); Required("promises") })
		HTTP(func() { GET("/v1/promises"); tokenHeader(); Response(StatusOK) })
	})
})

var auditRecord = Type("AuditRecord", func() {
	Attribute("index", UInt64)
	Attribute("time", String)
	Attribute("who", String)
	Attribute("action", String)
	Attribute("base", UInt64)
	Attribute("changeID", String)
	Attribute("outcome", String)
	Attribute("detail", String)
	Attribute("hash", String)
	Required("index", "time", "who", "action", "outcome")
})

var _ = Service("audit", func() {
	Description("The audit trail of changes, as stored on this VM.")
	Security(bearerToken)
	commonErrors()

	Method("list", func() {
		Description("List records, starting at an index.")
		Payload(func() {
			secured()
			Attribute("from", UInt64, func() { Default(1) })
			Attribute("limit", Int, func() { Default(100); Minimum(1); Maximum(1000) })
		})
		Result(func() {
			Attribute("records", ArrayOf(auditRecord))
			Attribute("next", UInt64)
			Required("records", "next")
		})
		HTTP(func() { GET("/v1/audit"); tokenHeader(); Param("from"); Param("limit"); Response(StatusOK) })
	})
	Method("verify", func() {
		Description("Verify the hash chain of the stored records.")
		Payload(func() { secured() })
		Result(func() {
			Attribute("records", Int)
			Attribute("fault", String, "The first invalid record, or empty if the hash chain is valid.")
			Required("records")
		})
		HTTP(func() { GET("/v1/audit/verify"); tokenHeader(); Response(StatusOK) })
	})
})

var _ = Service("replicas", func() {
	Description("Membership of the replicated groups.")
	Security(bearerToken)
	commonErrors()

	Method("change", func() {
		Description("Add, promote, replace or remove one replica. A change that leaves no safe majority is refused.")
		Payload(func() {
			secured()
			Attribute("group", String)
			Attribute("action", String, func() { Enum("addLearner", "promote", "replace", "remove") })
			Attribute("vm", String)
			Attribute("replacement", String, "The learner that replaces vm, for replace.")
			Attribute("disk", Boolean, "The VM has a disk, for addLearner.", func() { Default(false) })
			Attribute("standsForElection", Boolean, "The VM may become leader, for addLearner.", func() { Default(false) })
			Required("group", "action", "vm")
		})
		HTTP(func() { POST("/v1/groups/{group}/replicas"); tokenHeader(); Response(StatusNoContent) })
	})
})

var _ = Service("health", func() {
	Description("Health and readiness for the platform's balancer.")
	Error("notReady", ErrorResult)

	Method("live", func() {
		Result(String)
		HTTP(func() { GET("/healthz"); Response(StatusOK) })
	})
	Method("ready", func() {
		Result(String)
		HTTP(func() { GET("/readyz"); Response(StatusOK); Response("notReady", StatusServiceUnavailable) })
	})
})
