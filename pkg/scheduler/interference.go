package scheduler

import "time"

// LoadLevel is a coarse level of the load of a service. Interference is learned per level, because
// the same neighbour that is harmless at night can be harmful at the peak.
type LoadLevel string

// Values of LoadLevel.
const (
	LoadLow    LoadLevel = "low"
	LoadMedium LoadLevel = "medium"
	LoadHigh   LoadLevel = "high"
)

// Bounds between the load levels, as shares of the capacity of a service's tasks.
const (
	loadLowBelow    = 0.4
	loadMediumBelow = 0.7
)

// LoadLevelOf returns the level of a load that is given as a share of capacity.
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

// Colocation is a latency-critical service next to batch tasks of one kind at a load level of the
// service.
type Colocation struct {
	Service string
	Kind    string
	Load    LoadLevel
}

// Estimate is what is known of the harm of a pairing. Harm is the expected relative rise of the
// service's 99th latency percentile if batch tasks of the kind used all processors of the worker;
// harm is taken as proportional to the share that they use. Deviation is the standard deviation of
// Harm; it is large while few reports have been seen.
type Estimate struct {
	Interference float64
	Deviation    float64
}

// Estimator estimates interference from usage reports. An Estimator is used from one goroutine at a
// time.
type Estimator interface {
	// Interference returns the estimate for a pairing. It returns a prior for one that was never seen.
	Interference(pairing Colocation) Estimate
	// Load returns the last known load level of a service, LoadMedium when it is not known.
	Load(service string) LoadLevel
}

// TaskUsage is what one task used in the interval of a report. It is a wire type.
type TaskUsage struct {
	Task       TaskID `json:"task" cbor:"task"`
	Kind       string `json:"kind" cbor:"kind"`
	Class      Class  `json:"class" cbor:"class"`
	MilliCores int64  `json:"milliCores" cbor:"milliCores"`
	// Latency is the 99th percentile of the answers' latency, zero for batch tasks and for
	// services without requests in the interval.
	Latency time.Duration `json:"latency,omitempty" cbor:"latency,omitempty"`
	// Load is the share of the task's capacity in use, from 0 to 1. It is zero for batch tasks.
	Load float64 `json:"load,omitempty" cbor:"load,omitempty"`
}

// UsageReport states what the tasks of one worker used from From to Until. It is a wire type.
// Reports arrive late and out of order; the tasks listed are those that ran in the interval, not
// those that run when the report arrives.
type UsageReport struct {
	Worker WorkerName  `json:"worker" cbor:"worker"`
	From   time.Time   `json:"from" cbor:"from"`
	Until  time.Time   `json:"until" cbor:"until"`
	Tasks  []TaskUsage `json:"tasks" cbor:"tasks"`
}
