package design

import . "goa.design/goa/v3/dsl"

var resources = Type("Resources", func() {
	Attribute("milliCores", Int64, "Processor time in thousandths of a core.", func() { Minimum(0) })
	Attribute("memoryBytes", Int64, "Memory in bytes.", func() { Minimum(0) })
	Attribute("accelerators", Int64, "Number of accelerators.", func() { Minimum(0); Default(0) })
	Required("milliCores", "memoryBytes")
})

var jobSpec = Type("JobSpec", func() {
	Attribute("id", String, "The submitter's ID of the job. A resend with the same ID and content creates no second job.", func() {
		Pattern("^[a-zA-Z0-9][a-zA-Z0-9._-]{0,99}$")
	})
	Attribute("team", String, "The team that owns the job.", func() { MinLength(1); MaxLength(100) })
	Attribute("class", String, "Whether the job is latency-critical or batch work, which may wait.", func() { Enum("latencyCritical", "batch") })
	Attribute("kind", String, "Kind of the tasks. Tasks of the same kind are expected to behave alike.", func() { MinLength(1); MaxLength(100) })
	Attribute("tasks", Int, "Number of tasks.", func() { Minimum(1); Maximum(10000); Default(1) })
	Attribute("request", resources, "Declared resources of each task.")
	Attribute("runTime", String, "Declared run time of a task, for example \"90m\"; empty for a service.")
	Attribute("deadline", String, "Time by which the job should have finished.", func() { Format(FormatDateTime) })
	Attribute("urgent", Boolean, "Start within 9 s, evicting other work if needed.", func() { Default(false) })
	Attribute("constraints", MapOf(String, String), "Labels that a worker must have.")
	Attribute("spread", String, "Level over which the tasks are spread.", func() { Enum("", "worker", "rack"); Default("") })
	Required("id", "team", "class", "kind", "request")
})

var event = Type("Event", func() {
	Attribute("time", String)
	Attribute("attempt", UInt32)
	Attribute("state", String, "The state that the task entered.")
	Attribute("worker", String)
	Attribute("reason", String)
	Required("time", "attempt", "state")
})

var task = Type("Task", func() {
	Attribute("id", String)
	Attribute("state", String)
	Attribute("attempt", UInt32, "Number of the current attempt, 0 before the first.")
	Attribute("worker", String)
	Attribute("lease", UInt64)
	Attribute("evictions", Int)
	Attribute("reason", String, "Why the task waits, was evicted or failed.")
	Attribute("failures", Int, "Number of failed attempts.")
	Attribute("checkpoint", String, "Name of the checkpoint from which the next attempt resumes.")
	Attribute("events", ArrayOf(event), "The most recent state transitions of the task, oldest first, if requested.")
	Required("id", "state")
})

var job = Type("Job", func() {
	Attribute("id", String)
	Attribute("team", String)
	Attribute("class", String)
	Attribute("kind", String)
	Attribute("state", String)
	Attribute("reason", String, "Why the job waits or was refused.")
	Attribute("home", String, "The data centre that owns the job.")
	Attribute("predictedEnd", String, "When the job is expected to end at 90% confidence, if known.")
	Attribute("tasks", ArrayOf(task))
	Required("id", "team", "class", "kind", "state", "home")
})

var _ = Service("jobs", func() {
	Description("Jobs of the data centre that the entry VM belongs to.")
	Security(bearerToken)
	commonErrors()

	Method("submit", func() {
		Description("Submit a job. A job that no worker could ever host is refused with the reason.")
		Payload(func() { secured(); Attribute("job", jobSpec); Required("job") })
		Result(job)
		HTTP(func() { POST("/v1/jobs"); tokenHeader(); Body("job"); Response(StatusCreated) })
	})
	Method("show", func() {
		Description("Show one job with its tasks.")
		Payload(func() {
			secured()
			Attribute("id", String)
			Attribute("events", Boolean, "Include the most recent state transitions of each task.", func() { Default(false) })
			Required("id")
		})
		Result(job)
		HTTP(func() { GET("/v1/jobs/{id}"); tokenHeader(); Param("events"); Response(StatusOK) })
	})
	Method("list", func() {
		Description("List jobs in the order of their IDs, without their tasks.")
		Payload(func() { secured(); paged(); Attribute("team", String); Attribute("state", String) })
		Result(func() {
			Attribute("jobs", ArrayOf(job))
			Attribute("next", String, "Pass as after for the next page; empty on the last page.")
			Required("jobs")
		})
		HTTP(func() {
			GET("/v1/jobs")
			tokenHeader()
			pageParams()
			Param("team")
			Param("state")
			Response(StatusOK)
		})
	})
	Method("cancel", func() {
		Description("Cancel jobs. Cancelling a job that has ended or was cancelled before has no effect.")
		Payload(func() {
			secured()
			Attribute("ids", ArrayOf(String), func() { MinLength(1); MaxLength(10000) })
			Required("ids")
		})
		Result(func() {
			Attribute("cancelled", Int, "Number of jobs that this request cancelled.")
			Attribute("missing", ArrayOf(String), "IDs for which no job exists.")
			Required("cancelled")
		})
		HTTP(func() { POST("/v1/jobs/cancel"); tokenHeader(); Response(StatusOK) })
	})
	Method("evict", func() {
		Description("Evict a task. It resumes from its checkpoint once its worker has confirmed the stop.")
		Payload(func() {
			secured()
			Attribute("task", String)
			Attribute("reason", String, func() { MinLength(1); MaxLength(500) })
			Required("task", "reason")
		})
		HTTP(func() { POST("/v1/tasks/evict"); tokenHeader(); Response(StatusAccepted) })
	})
})
