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

// Queue takes jobs of steps and names the pool that runs them. It is a wire type.
type Queue struct {
	Name QueueName `json:"name" cbor:"1,keyasint"`
	// Host and PathPrefix select the queue of a request.
	Host       string   `json:"host" cbor:"2,keyasint"`
	PathPrefix string   `json:"pathPrefix" cbor:"3,keyasint"`
	Pool       PoolName `json:"pool" cbor:"4,keyasint"`
	// Priority orders the queues, 0 first.
	Priority int `json:"priority,omitempty" cbor:"5,keyasint,omitempty"`
	// MaxAttempts bounds the failures of one task, 0 for no bound.
	MaxAttempts int `json:"maxAttempts,omitempty" cbor:"6,keyasint,omitempty"`
	// Slowdown and LatencyTarget give the objective of a job: Slowdown times its longest chain of work,
	// and LatencyTarget more.
	Slowdown      float64       `json:"slowdown,omitempty" cbor:"7,keyasint,omitempty"`
	LatencyTarget time.Duration `json:"latencyTarget,omitempty" cbor:"8,keyasint,omitempty"`
	// Timeout bounds the answer to one request.
	Timeout time.Duration `json:"timeout,omitempty" cbor:"9,keyasint,omitempty"`
	// Approval is nil for a queue whose tasks may run on every worker of the pool.
	Approval *Approval `json:"approval,omitempty" cbor:"10,keyasint,omitempty"`
}

// Approval tells how the approval service behaves for a queue. It is a wire type.
type Approval struct {
	// BaseLatency and PerWorker are how long the service takes for a call and for each worker that it names.
	BaseLatency      time.Duration `json:"base,omitempty" cbor:"1,keyasint,omitempty"`
	PerWorkerLatency time.Duration `json:"perWorker,omitempty" cbor:"2,keyasint,omitempty"`
	// Validity is for how long an approval may be used.
	Validity time.Duration `json:"valid,omitempty" cbor:"3,keyasint,omitempty"`
}

// Pool is a set of workers that run the same kinds of work. It is a wire type.
type Pool struct {
	Name PoolName `json:"name" cbor:"1,keyasint"`
	// GuardsCapacity is true when the workers refuse what does not fit.
	GuardsCapacity bool `json:"guardsCapacity,omitempty" cbor:"2,keyasint,omitempty"`
	// Standby is true when the pool's VMs are off.
	Standby bool `json:"standby,omitempty" cbor:"3,keyasint,omitempty"`
}

// RequestLimits bounds what callers may send. It is a wire type; zero means the default.
type RequestLimits struct {
	HeaderBytes   int           `json:"headerBytes,omitempty" cbor:"1,keyasint,omitempty"`
	BodyBytes     int64         `json:"bodyBytes,omitempty" cbor:"2,keyasint,omitempty"`
	HeaderTimeout time.Duration `json:"headerTimeout,omitempty" cbor:"3,keyasint,omitempty"`
	IdleTimeout   time.Duration `json:"idleTimeout,omitempty" cbor:"4,keyasint,omitempty"`
}

// QueueConfiguration is the configuration of a domain. It is a wire type and never modified. The highest
// version is in force.
type QueueConfiguration struct {
	Version uint64        `json:"version" cbor:"1,keyasint"`
	Queues  []Queue       `json:"queues" cbor:"2,keyasint"`
	Pools   []Pool        `json:"pools" cbor:"3,keyasint"`
	Limits  RequestLimits `json:"limits" cbor:"4,keyasint"`
	// Source is the document as the operator sent it, so that a read returns exactly that.
	Source []byte `json:"source,omitempty" cbor:"5,keyasint,omitempty"`
}

// Validate returns an error that names the first fault of a configuration.
func (queueConfiguration *QueueConfiguration) Validate() error {
	pools := map[PoolName]bool{}
	for _, pool := range queueConfiguration.Pools {
		if pool.Name == "" || pools[pool.Name] {
			return fmt.Errorf("pool %q is listed twice or has no name", pool.Name)
		}
		pools[pool.Name] = true
	}
	names, places := map[QueueName]bool{}, map[string]QueueName{}
	for _, queue := range queueConfiguration.Queues {
		place := strings.ToLower(queue.Host) + "\n" + queue.PathPrefix
		other, taken := places[place]
		switch {
		case queue.Name == "" || names[queue.Name]:
			return fmt.Errorf("queue %q is listed twice or has no name", queue.Name)
		case !pools[queue.Pool]:
			return fmt.Errorf("queue %q names the unknown pool %q", queue.Name, queue.Pool)
		case taken:
			return fmt.Errorf("queues %q and %q have the same host and path prefix", other, queue.Name)
		case queue.Timeout <= 0:
			return fmt.Errorf("queue %q has no time limit", queue.Name)
		case queue.PathPrefix == "":
			return fmt.Errorf("queue %q has no path prefix", queue.Name)
		}
		names[queue.Name], places[place] = true, queue.Name
	}
	return nil
}

// Find returns the queue that a request selects: that of the host with the longest path prefix.
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
