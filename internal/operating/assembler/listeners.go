package assembler

import (
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/operating/acceptor"
)

// Listener is a kind of listener of a VM.
type Listener string

// Kinds of listeners. Each VM has one for peers and one for metrics.
const (
	ListenerCallers   Listener = "callers"
	ListenerControl   Listener = "control"
	ListenerReadiness Listener = "readiness"
	ListenerPeers     Listener = "peers"
	ListenerMetrics   Listener = "metrics"
)

const (
	// defaultMemory and defaultDescriptors are what a process may take if its settings do not say it.
	defaultMemory      = 256 << 20
	defaultDescriptors = 4096
	// clientMemoryDivisor is the part of the memory that clients may take. The rest is for the state, for decoded requests
	// and for memory that the runtime has not collected yet.
	clientMemoryDivisor = 3
)

// listenerShares are the parts of the listeners. Callers and the control plane send jobs, configurations and
// waves, peers send commands of the replicated log.
var listenerShares = map[Listener]acceptor.Share{
	ListenerCallers:   {Weight: 12, LargestBody: 1 << 20},
	ListenerControl:   {Weight: 12, LargestBody: 1 << 20},
	ListenerPeers:     {Weight: 4, LargestBody: 1 << 20},
	ListenerReadiness: {Weight: 1},
	ListenerMetrics:   {Weight: 1},
}

// NewAcceptors returns the acceptors of a VM with the given listeners, including those for peers and metrics. The memory
// and the descriptors that the settings leave to clients are divided among them.
func NewAcceptors(
	settings *Settings, logger zerolog.Logger, scope tally.Scope, listeners ...Listener,
) (map[Listener]*acceptor.Acceptor, error) {
	var shares []acceptor.Share
	for _, listener := range append(listeners, ListenerPeers, ListenerMetrics) {
		share := listenerShares[listener]
		share.Name = string(listener)
		shares = append(shares, share)
	}
	limits, err := settings.clientResources().Divide(shares...)
	if err != nil {
		return nil, Error.New("limits: %w", err)
	}
	acceptors := make(map[Listener]*acceptor.Acceptor, len(shares))
	for name, limits := range limits {
		acceptors[Listener(name)], err = acceptor.New(name, limits, acceptor.WithLogger(logger), acceptor.WithScope(scope))
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return acceptors, nil
}

// clientResources returns what clients may take of the process. The other descriptors are for files, for connections to
// peers and, on a VM that holds state, for connections to workers.
func (settings *Settings) clientResources() acceptor.Resources {
	memory, descriptors := settings.MemoryLimit, settings.Descriptors
	if memory == 0 {
		memory = defaultMemory
	}
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	if settings.DataFolder != "" {
		descriptors = descriptors * 3 / 8
	} else {
		descriptors /= 2
	}
	return acceptor.Resources{MemoryBytes: memory / clientMemoryDivisor, Descriptors: descriptors}
}
