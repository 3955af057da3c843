package scheduler

import "time"

// LoadLevel is a coarse level of the load of a service. Interference is estimated per level, because a batch task
// that has no effect on a service at low load can degrade its latency at peak load.
type LoadLevel string

// Values of LoadLevel.
const (
	LoadLow    LoadLevel = "low"
	LoadMedium LoadLevel = "medium"
	LoadHigh   LoadLevel = "high"
)

// Upper bounds of the load levels, as fractions of the capacity of a service's tasks.
const (
	loadLowBelow    = 0.4
	loadMediumBelow = 0.7
)

// LoadLevelOf returns the level of a load that is given as a fraction of capacity.
func LoadLevelOf(load float64) LoadLevel {
	switch {
	case load < loadLowBelow:
		return LoadLow
	case load < loadMediumBelow:
		return LoadMedium
	default:
		return LoadHigh
	}
}

// Colocation is the combination of a latency-critical service and batch tasks of one kind on the same worker, at a
// load level of the service.
type Colocation struct {
	Service string
	Kind    string
	Load    LoadLevel
}

// Estimate is the estimated interference of a colocation. Interference is the expected relative increase of the
// service's 99th percentile latency if batch tasks of the kind used all CPUs of the worker; it is assumed to be
// proportional to the fraction of the CPUs that they use. Deviation is the standard deviation of Interference,
// which is large until enough reports have been observed.
type Estimate struct {
	Interference float64
	Deviation    float64
}

// Estimator estimates interference from usage reports. It is not safe for concurrent use.
type Estimator interface {
	// Interference returns the estimate for a colocation, or a prior estimate if the colocation has never been
	// observed.
	Interference(colocation Colocation) Estimate
	// Load returns the last known load level of a service, or LoadMedium if it is unknown.
	Load(service string) LoadLevel
}

// TaskUsage is the resource usage of one task in the interval of a report. It is a wire type.
type TaskUsage struct {
	Task       TaskID `json:"task" cbor:"task"`
	Kind       string `json:"kind" cbor:"kind"`
	Class      Class  `json:"class" cbor:"class"`
	MilliCores int64  `json:"milliCores" cbor:"milliCores"`
	// Latency is the 99th percentile of the response latency. It is zero for batch tasks and for services
	// that got no requests in the interval.
	Latency time.Duration `json:"latency,omitempty" cbor:"latency,omitempty"`
	// Load is the fraction of the task's capacity in use, from 0 to 1. It is zero for batch tasks.
	Load float64 `json:"load,omitempty" cbor:"load,omitempty"`
}

// UsageReport is the resource usage of the tasks on one worker from From to Until. It is a wire type. Reports arrive
// late and out of order: Tasks lists those that ran in the interval, not those that are running when the report
// arrives.
type UsageReport struct {
	Worker WorkerName  `json:"worker" cbor:"worker"`
	From   time.Time   `json:"from" cbor:"from"`
	Until  time.Time   `json:"until" cbor:"until"`
	Tasks  []TaskUsage `json:"tasks" cbor:"tasks"`
}
