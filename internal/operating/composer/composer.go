// Package composer is the composition root of the daemon: it builds the enabled roles and connects them to each
// other, to the transport and to the HTTP servers.
package composer

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/internal/operating/kernel"
	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/internal/operating/reporter"
	"github.com/crocusplank/crocusplank/internal/operating/supervisor"
	"github.com/crocusplank/crocusplank/internal/state/journaler"
	"github.com/crocusplank/crocusplank/internal/state/messenger"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("daemon")

const (
	// readinessDrainDelay is how long a stopping VM accepts requests after its readiness check fails. The platform's
	// load balancer needs this time to notice; a connection refused before that would be a request lost by a planned
	// stop.
	readinessDrainDelay = 2 * time.Second
	// initialIncarnation is the incarnation of a voter with a disk whose data folders were created by Init.
	initialIncarnation scheduler.Incarnation = 1
)

// Daemon is the process of one VM. Start and Stop must be called once each, in this order.
type Daemon struct {
	environment *environment
	kernel      *kernel.Kernel
	messenger   *messenger.Messenger
	servers     []*http.Server
	gateway     *gatewayRole
	metrics     *reporter.Reporter
	context     context.Context
	cancel      context.CancelFunc
}

// Init creates the data folders of a VM's groups with the incarnation of an initial voter. It is run once per VM with
// a disk when a cluster is bootstrapped. A VM that has lost its disk must not be initialised again, because it could
// vote twice in the same term. It is started without Init and rejoins its groups as a new replica.
func Init(settings *loader.Settings) error {
	if !settings.HasDisk() {
		return Error.New("VM %s has no data folder to initialise", settings.VM)
	}
	if err := os.MkdirAll(settings.DataFolder, 0o750); err != nil {
		return Error.Wrap(err)
	}
	for _, group := range settings.OwnGroups() {
		if err := initGroup(settings, group.Name); err != nil {
			return err
		}
	}
	return nil
}

func initGroup(settings *loader.Settings, group scheduler.GroupName) error {
	journal, err := journaler.Open(settings.DataFolder, journaler.NewIdentity(settings.VM, group, initialIncarnation))
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = journal.Close() }()
	if journal.Identity().Incarnation() != initialIncarnation {
		return Error.New(
			"the data folder of group %s belongs to a replica that joined after the cluster was bootstrapped", group,
		)
	}
	return nil
}

// New builds the daemon of a VM. It opens no listeners.
func New(settings *loader.Settings, log zerolog.Logger) (*Daemon, error) {
	key, err := readPeerKey(settings.Tokens.PeerKeyFile)
	if err != nil {
		return nil, err
	}
	transport, err := newTransport(settings, key, log)
	if err != nil {
		return nil, err
	}
	authorizer, err := newAuthorizer(settings, log)
	if err != nil {
		return nil, err
	}
	metrics := reporter.New()
	acceptors, err := newAcceptors(settings, log, metrics.Scope())
	if err != nil {
		metrics.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	daemon := &Daemon{
		environment: &environment{
			settings: settings, log: log, transport: transport,
			processIncarnation: newIncarnation(), callerMux: http.NewServeMux(), authorizer: authorizer,
			parts: supervisor.New(supervisor.WithLogger(log), supervisor.WithScope(metrics.Scope())),
			scope: metrics.Scope(), acceptors: acceptors,
		},
		kernel: kernel.New(), messenger: transport, metrics: metrics, context: ctx, cancel: cancel,
	}
	daemon.kernel.Publish(serviceEnvironment, daemon.environment)
	if err := daemon.kernel.Build(settings.Roles); err != nil {
		cancel()
		metrics.Close()
		return nil, Error.Wrap(err)
	}
	authorizer.configureAuditTrail(daemon.environment, lookupReplicas(daemon.kernel))
	daemon.gateway, _ = daemon.kernel.Lookup(serviceGateway).(*gatewayRole)
	return daemon, nil
}

func readPeerKey(path string) (string, error) {
	data, err := os.ReadFile(path) //nolint:gosec // The settings name the file.
	if err != nil {
		return "", Error.New("read peer key: %v", err)
	}
	key := strings.TrimSpace(string(data))
	if key == "" {
		return "", Error.New("peer key file %s is empty", filepath.Base(path))
	}
	return key, nil
}

func newTransport(settings *loader.Settings, key string, log zerolog.Logger) (*messenger.Messenger, error) {
	peers := map[scheduler.VMName]string{}
	for _, vm := range settings.VMs {
		peers[vm.Name] = vm.PeerAddress.String()
	}
	options := []messenger.Option{messenger.WithPeerKey(key), messenger.WithLogger(log)}
	if settings.TLS != nil {
		client, err := newTLSClient(settings.TLS)
		if err != nil {
			return nil, err
		}
		options = append(options, messenger.WithClient(client))
	}
	return messenger.New(settings.VM, peers, options...), nil
}

// Start opens the listeners and starts the roles. It may return before the VM is ready, which also requires that the
// current configuration has been read from the data centre's group.
func (daemon *Daemon) Start(ctx context.Context) error {
	settings := daemon.environment.settings
	peerMux := http.NewServeMux()
	peerMux.Handle(messenger.Path, daemon.messenger)
	if err := daemon.serve(listenerPeers, settings.Addresses.Peer.String(), peerMux); err != nil {
		return err
	}
	daemon.messenger.Start()
	if err := daemon.kernel.Start(ctx); err != nil {
		return errs.Combine(Error.Wrap(err), daemon.Stop(ctx))
	}
	if err := daemon.serve(listenerAPI, settings.Addresses.API.String(), daemon.apiHandler()); err != nil {
		return errs.Combine(err, daemon.Stop(ctx))
	}
	if err := daemon.serve(listenerMetrics, settings.Addresses.Metrics.String(), daemon.metricsHandler()); err != nil {
		return errs.Combine(err, daemon.Stop(ctx))
	}
	daemon.metrics.Run(daemon.context, daemon.updateMetrics)
	daemon.environment.inService.Store(true)
	daemon.environment.log.Info().Str("event", "daemonStarted").Str("vm", string(settings.VM)).
		Strs("roles", settings.Roles).Msg("daemon started")
	return nil
}

func (daemon *Daemon) serve(name, address string, handler http.Handler) error {
	server := daemon.environment.acceptors[name].Server(handler).Server
	listener := daemon.environment.newListener(name, address, server.Serve)
	if err := listener.Open(daemon.context); err != nil {
		return Error.New("listen for %s: %w", name, err)
	}
	daemon.servers = append(daemon.servers, server)
	go daemon.environment.runListener(daemon.context, name, listener)
	return nil
}

// newListener returns a listener whose connections the acceptor of that name admits. It uses TLS if the settings configure
// certificates.
func (environment *environment) newListener(
	name, address string, serve func(socket net.Listener) error,
) *supervisor.Listener {
	return supervisor.NewListener(func(ctx context.Context) (net.Listener, error) {
		var config net.ListenConfig
		socket, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		encrypted, err := withTLS(environment.acceptors[name].Listener(socket), environment.settings.TLS, name == listenerPeers)
		if err != nil {
			// An open socket would occupy the address when the listener is opened again.
			_ = socket.Close()
			return nil, Error.Wrap(err)
		}
		return encrypted, nil
	}, serve)
}

// runListener serves a listener until ctx ends.
func (environment *environment) runListener(ctx context.Context, name string, listener *supervisor.Listener) {
	environment.parts.Run(ctx, name+"Listener", listener.Run,
		supervisor.WithFailureLimit(supervisor.ListenerFailureLimit))
}

// Failed returns a channel that is closed when a part of the daemon cannot run again and the process must end. Err then
// returns the reason.
func (daemon *Daemon) Failed() <-chan struct{} { return daemon.environment.parts.Failed() }

// Err returns the failure of the part that must end the process, or nil if there is none.
func (daemon *Daemon) Err() error { return daemon.environment.parts.Err() }

// Stop shuts the daemon down gracefully: it fails the readiness check, waits for requests in progress, transfers
// leadership and closes the listeners. When ctx ends first, the remaining steps are cut short.
func (daemon *Daemon) Stop(ctx context.Context) error {
	if daemon.environment.inService.Swap(false) {
		waiter.Sleep(ctx, readinessDrainDelay)
	}
	err := daemon.kernel.Stop(ctx)
	daemon.cancel()
	for _, server := range daemon.servers {
		// Peer connections are hijacked, so Close does not affect them. The messenger closes them.
		_ = server.Close()
	}
	daemon.messenger.Close()
	daemon.metrics.Close()
	daemon.environment.log.Info().Str("event", "daemonStopped").Err(err).Msg("daemon stopped")
	return Error.Wrap(err)
}

// ready reports whether the platform's load balancer may send requests to this VM, and if not, the reason.
func (daemon *Daemon) ready() (bool, string) {
	if !daemon.environment.inService.Load() {
		return false, "the daemon is starting or stopping"
	}
	if daemon.gateway != nil && !daemon.gateway.hasDiscoveredEndpoints() {
		return false, "the gateway has just started and is still discovering endpoints"
	}
	replicas := lookupReplicas(daemon.kernel)
	if replicas == nil {
		return true, ""
	}
	if err := replicas.err(); err != nil {
		return false, err.Error()
	}
	if _, _, ok := replicas.local.InForce(); !ok {
		return false, "the current configuration has not been read from the data centre's group yet"
	}
	return true, ""
}

// Traffic returns the counters of messages sent to and received from other VMs.
func (daemon *Daemon) Traffic() []messenger.Traffic { return daemon.messenger.Traffic() }

// IsReady reports whether the platform's load balancer may send requests to this VM.
func (daemon *Daemon) IsReady() bool {
	ready, _ := daemon.ready()
	return ready
}

// Revision returns the revision of the current configuration on this VM, or 0 if none has been read.
func (daemon *Daemon) Revision() scheduler.Revision {
	replicas := lookupReplicas(daemon.kernel)
	if replicas == nil {
		return 0
	}
	revision, _, _ := replicas.local.InForce()
	return revision
}

// EndpointCount returns the number of endpoints that this VM's gateway has registered for a service.
func (daemon *Daemon) EndpointCount(service scheduler.ServiceName) int {
	if daemon.gateway == nil {
		return 0
	}
	return len(daemon.gateway.registrar.Endpoints(service))
}
