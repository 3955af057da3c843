package acceptor

import "time"

// Defaults of Limits.
const (
	DefaultHeaderBytes    = 64 << 10
	DefaultSmallBodyBytes = 16 << 10
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultIdleTimeout    = 60 * time.Second
	DefaultStallTimeout   = 15 * time.Second
	DefaultMinRate        = 1 << 10
	DefaultWriteTimeout   = 30 * time.Second
)

// Limits are the limits of one Acceptor. Resources.Divide returns limits that fit into a process.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// BodyBytes is the maximum number of bytes of request bodies in memory, without the first SmallBodyBytes of each. The
	// memory of large headers counts as well.
	BodyBytes int64
	// SmallBodyBytes is the part of each body that is admitted even if BodyBytes is used up, so that small requests are
	// served beside a crowd of large ones.
	SmallBodyBytes int64
	// HeaderBytes is the maximum size of a request header.
	HeaderBytes int
	// HeaderTimeout is the time limit for a request header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration
	// StallTimeout is how long a client may send nothing of an unfinished body.
	StallTimeout time.Duration
	// MinRate is the minimum rate of a body in bytes per second. It holds from StallTimeout on and counts only the time in
	// which the server waits for the client.
	MinRate int64
	// WriteTimeout is the time limit for one write of a response. A long write has more time, in accordance with MinRate.
	WriteTimeout time.Duration
}

// DefaultLimits returns limits for a listener with the given number of connections and bytes for bodies.
func DefaultLimits(connections int, bodyBytes int64) Limits {
	return Limits{
		Connections: connections, BodyBytes: bodyBytes, SmallBodyBytes: DefaultSmallBodyBytes,
		HeaderBytes: DefaultHeaderBytes, HeaderTimeout: DefaultHeaderTimeout, IdleTimeout: DefaultIdleTimeout,
		StallTimeout: DefaultStallTimeout, MinRate: DefaultMinRate, WriteTimeout: DefaultWriteTimeout,
	}
}

// Validate returns an error for the first invalid limit.
func (limits *Limits) Validate() error {
	switch {
	case limits.Connections < 1:
		return Error.New("connections is %d, want at least 1", limits.Connections)
	case limits.BodyBytes < 0 || limits.SmallBodyBytes < 0:
		return Error.New("bodyBytes and smallBodyBytes must not be negative")
	case limits.HeaderBytes < 1 || limits.MinRate < 1:
		return Error.New("headerBytes and minRate must be positive")
	case limits.HeaderTimeout <= 0 || limits.IdleTimeout <= 0 || limits.StallTimeout <= 0 || limits.WriteTimeout <= 0:
		return Error.New("headerTimeout, idleTimeout, stallTimeout and writeTimeout must be positive")
	}
	return nil
}

// Resources are what the clients of all listeners of a process may take.
type Resources struct {
	MemoryBytes int64
	Descriptors int
}

// Share is a listener's part of the resources of a process.
type Share struct {
	Name string
	// Weight is the part that the listener gets, relative to the weights of the other listeners.
	Weight int
	// LargestBody is the size of the largest legal body. A share without room for two of them is refused.
	LargestBody int64
}

const (
	// connectionBytes is the memory of a connection with a request: buffers, stacks and the parsed header.
	connectionBytes = 16 << 10
	// minConnections is the smallest useful number of connections of a listener.
	minConnections = 8
)

// Divide returns the limits of each listener by its name. Shares are fixed, so that the clients of one listener cannot take
// what another one needs. One half of the memory is for connections and small bodies, the other one for large bodies.
func (resources Resources) Divide(shares ...Share) (map[string]Limits, error) {
	total := 0
	for _, share := range shares {
		total += share.Weight
	}
	divided := make(map[string]Limits, len(shares))
	for _, share := range shares {
		memory := resources.MemoryBytes / 2 * int64(share.Weight) / int64(total)
		connections := min(
			resources.Descriptors*share.Weight/total, int(memory/(connectionBytes+DefaultSmallBodyBytes)),
		)
		limits := DefaultLimits(connections, memory)
		if limits.Connections < minConnections || limits.BodyBytes < 2*share.LargestBody {
			return nil, Error.New("%d bytes of memory and %d descriptors leave listener %s %d connections and %d bytes for bodies, "+
				"want at least %d and %d", resources.MemoryBytes, resources.Descriptors, share.Name, limits.Connections,
				limits.BodyBytes, minConnections, 2*share.LargestBody)
		}
		divided[share.Name] = limits
	}
	return divided, nil
}
