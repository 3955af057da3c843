package composer

import (
	"net/http"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/operating/acceptor"
	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/internal/operating/server"
)

// Names of the listeners in logs, metrics and errors.
const (
	listenerCallers = "caller"
	listenerAPI     = "api"
	listenerPeers   = "peer"
	listenerMetrics = "metrics"
)

// listenerShares are the parts of the listeners in what clients may take. Workers and endpoints use the listener for
// callers. Large bodies of callers count as connections only, because the gateway passes them on.
var listenerShares = []acceptor.Share{
	{Name: listenerCallers, Weight: 10, LargestBody: syncBodyLimit},
	{Name: listenerAPI, Weight: 2, LargestBody: server.RequestBodyLimit},
	{Name: listenerPeers, Weight: 2},
	{Name: listenerMetrics, Weight: 2},
}

const (
	// ownDescriptors are for files and for connections to peers and endpoints.
	ownDescriptors = 64
	// clientDescriptorsDivisor is the part of the descriptors that clients may take by default.
	clientDescriptorsDivisor = 2
)

// newAcceptors returns an acceptor for each listener.
func newAcceptors(
	settings *loader.Settings, log zerolog.Logger, scope tally.Scope,
) (map[string]*acceptor.Acceptor, error) {
	descriptors, err := clientDescriptors(settings)
	if err != nil {
		return nil, err
	}
	resources := acceptor.Resources{MemoryBytes: settings.Limits.ClientMemoryBytes, Descriptors: descriptors}
	divided, err := resources.Divide(listenerShares...)
	if err != nil {
		return nil, Error.New("limits.clientMemoryBytes and limits.clientConnections: %w", err)
	}
	acceptors := map[string]*acceptor.Acceptor{}
	for name, limits := range divided {
		acceptors[name], err = acceptor.New(name, limits, acceptor.WithLogger(log), acceptor.WithScope(scope))
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return acceptors, nil
}

// clientDescriptors returns the number of descriptors for connections of clients.
func clientDescriptors(settings *loader.Settings) (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, Error.New("read the limit of descriptors: %w", err)
	}
	allowed := int(min(limit.Cur, 1<<30)) //nolint:gosec // Bounded.
	wanted := int(settings.Limits.ClientConnections)
	switch {
	case wanted == 0:
		return allowed / clientDescriptorsDivisor, nil
	case wanted+ownDescriptors > allowed:
		return 0, Error.New("limits.clientConnections is %d, want at most %d: the process may open %d descriptors and needs %d itself",
			wanted, max(allowed-ownDescriptors, 0), allowed, ownDescriptors)
	}
	return wanted, nil
}

// maxIgnoredBody is the size of the largest body that a handler without use for it accepts.
const maxIgnoredBody = 16 << 10

// withoutBody returns a handler that reads the body of a request, if any, before the response. Otherwise, the HTTP server
// would do so within a long response, when the acceptor cannot see that the client stalls.
func withoutBody(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if _, err := acceptor.ReadBody(request, maxIgnoredBody); err != nil {
			acceptor.WriteError(writer, err)
			return
		}
		handler.ServeHTTP(writer, request)
	})
}
