package scheduler

import (
	"fmt"
	"strings"
	"time"
)

// QueueName is the name of a queue.
type QueueName string

// PoolName is the name of a pool of workers.
type PoolName string

// Queue accepts workflows and specifies the pool that runs them. It is a wire type.
type Queue struct {
	Name QueueName `json:"name" cbor:"1,keyasint"`
	// Host and PathPrefix select the queue of a request; see QueueConfiguration.Find.
	Host       string   `json:"host" cbor:"2,keyasint"`
	PathPrefix string   `json:"pathPrefix" cbor:"3,keyasint"`
	Pool       PoolName `json:"pool" cbor:"4,keyasint"`
	// Priority orders the queues in ascending order; 0 comes first.
	Priority int `json:"priority,omitempty" cbor:"5,keyasint,omitempty"`
	// MaxAttempts is the maximum number of failed attempts of one task. 0 means no limit.
	MaxAttempts int `json:"maxAttempts,omitempty" cbor:"6,keyasint,omitempty"`
	// Slowdown and LatencyTarget define the target completion time of a job: Slowdown times the length of its
	// critical path, plus LatencyTarget.
	Slowdown      float64       `json:"slowdown,omitempty" cbor:"7,keyasint,omitempty"`
	LatencyTarget time.Duration `json:"latencyTarget,omitempty" cbor:"8,keyasint,omitempty"`
	// Timeout is the maximum time until the response to one request.
	Timeout time.Duration `json:"timeout,omitempty" cbor:"9,keyasint,omitempty"`
	// Approval is nil if the tasks of the queue may run on every worker of the pool.
	Approval *Approval `json:"approval,omitempty" cbor:"10,keyasint,omitempty"`
}

// HasRouteOf reports whether another queue has the same host and path prefix.
func (queue *Queue) HasRouteOf(other *Queue) bool {
	return strings.EqualFold(queue.Host, other.Host) && queue.PathPrefix == other.PathPrefix
}

// Approval describes the approval service of a queue. It is a wire type.
type Approval struct {
	// BaseLatency is how long the service takes for a call, and PerWorkerLatency how much longer for each worker
	// that the call names.
	BaseLatency      time.Duration `json:"base,omitempty" cbor:"1,keyasint,omitempty"`
	PerWorkerLatency time.Duration `json:"perWorker,omitempty" cbor:"2,keyasint,omitempty"`
	// Validity is how long an approval may be used.
	Validity time.Duration `json:"valid,omitempty" cbor:"3,keyasint,omitempty"`
}

// Pool is a set of workers that run the same kinds of tasks. It is a wire type.
type Pool struct {
	Name PoolName `json:"name" cbor:"1,keyasint"`
	// GuardsCapacity is true if the workers themselves reject tasks that exceed their capacity.
	GuardsCapacity bool `json:"guardsCapacity,omitempty" cbor:"2,keyasint,omitempty"`
	// Standby is true if the VMs of the pool are powered off.
	Standby bool `json:"standby,omitempty" cbor:"3,keyasint,omitempty"`
}

// RequestLimits holds the limits for requests of callers. It is a wire type. Zero selects the default.
type RequestLimits struct {
	HeaderBytes   int           `json:"headerBytes,omitempty" cbor:"1,keyasint,omitempty"`
	BodyBytes     int64         `json:"bodyBytes,omitempty" cbor:"2,keyasint,omitempty"`
	HeaderTimeout time.Duration `json:"headerTimeout,omitempty" cbor:"3,keyasint,omitempty"`
	IdleTimeout   time.Duration `json:"idleTimeout,omitempty" cbor:"4,keyasint,omitempty"`
}

// QueueConfiguration is the configuration of a scheduling domain. It is a wire type and immutable. The highest
// version is the current one.
type QueueConfiguration struct {
	Version uint64        `json:"version" cbor:"1,keyasint"`
	Queues  []Queue       `json:"queues" cbor:"2,keyasint"`
	Pools   []Pool        `json:"pools" cbor:"3,keyasint"`
	Limits  RequestLimits `json:"limits" cbor:"4,keyasint"`
	// Source is the document as submitted by the operator, which a read returns unchanged.
	Source []byte `json:"source,omitempty" cbor:"5,keyasint,omitempty"`
}

// Validate returns an error that describes the first invalid value of a configuration.
func (queueConfiguration *QueueConfiguration) Validate() error {
	pools := map[PoolName]bool{}
	for _, pool := range queueConfiguration.Pools {
		if pool.Name == "" || pools[pool.Name] {
			return fmt.Errorf("pool %q is a duplicate or has no name", pool.Name)
		}
		pools[pool.Name] = true
	}
	names, routes := map[QueueName]bool{}, map[string]QueueName{}
	for _, queue := range queueConfiguration.Queues {
		route := strings.ToLower(queue.Host) + "\n" + queue.PathPrefix
		other, taken := routes[route]
		switch {
		case queue.Name == "" || names[queue.Name]:
			return fmt.Errorf("queue %q is a duplicate or has no name", queue.Name)
		case !pools[queue.Pool]:
			return fmt.Errorf("queue %q refers to unknown pool %q", queue.Name, queue.Pool)
		case taken:
			return fmt.Errorf("queues %q and %q have the same host and path prefix", other, queue.Name)
		case queue.Timeout <= 0:
			return fmt.Errorf("queue %q has no timeout", queue.Name)
		case queue.PathPrefix == "":
			return fmt.Errorf("queue %q has no path prefix", queue.Name)
		}
		names[queue.Name], routes[route] = true, queue.Name
	}
	return nil
}

// Find returns the queue of a request: of the queues whose host and path prefix match, the one with the longest
// path prefix. ok is false if none matches.
func (queueConfiguration *QueueConfiguration) Find(host, path string) (queue *Queue, ok bool) {
	for position := range queueConfiguration.Queues {
		candidate := &queueConfiguration.Queues[position]
		if !strings.EqualFold(candidate.Host, host) || !strings.HasPrefix(path, candidate.PathPrefix) {
			continue
		}
		if queue == nil || len(candidate.PathPrefix) > len(queue.PathPrefix) {
			queue = candidate
		}
	}
	return queue, queue != nil
}
