// Package composer wires the packages of the daemon into the roles that its settings name.
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
	"github.com/crocusplank/crocusplank/internal/state/journaler"
	"github.com/crocusplank/crocusplank/internal/state/messenger"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("daemon")

const (
	headerReadLimit = 5 * time.Second
	// balancerDelay is how long the VM still takes requests after its readiness is off. The
	// platform's balancer needs it to notice; a connection refused in the meantime would be a
	// request lost by a planned stop.
	balancerDelay = 2 * time.Second
	// firstIncarnation is the incarnation of a voter with a disk whose folders Init created.
	firstIncarnation scheduler.Incarnation = 1
)

// Daemon is one running VM of the system. Start and Stop are called once each, in this order.
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

// Init creates the folders of a VM's groups, which makes it one of the first voters. It is run once
// for each VM with a disk when a system is set up. A VM that has lost its disk must not be
// initialised again: it would vote twice in one term. Without Init it returns as a new replica.
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
	journal, err := journaler.Open(settings.DataFolder, journaler.NewIdentity(settings.VM, group, firstIncarnation))
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = journal.Close() }()
	if journal.Identity().Incarnation() != firstIncarnation {
		return Error.New("the folder of group %s belongs to a replica that has joined later", group)
	}
	return nil
}

// New builds the daemon of a VM. Nothing listens yet.
func New(settings *loader.Settings, log zerolog.Logger) (*Daemon, error) {
	key, err := readSecret(settings.Tokens.PeerKeyFile)
	if err != nil {
		return nil, err
	}
	transport, err := newTransport(settings, key, log)
	if err != nil {
		return nil, err
	}
	access, err := newAccess(settings, log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	daemon := &Daemon{
		environment: &environment{
			settings: settings, log: log, transport: transport, life: newLife(), callerMux: http.NewServeMux(), access: access,
		},
		kernel: kernel.New(), messenger: transport, metrics: reporter.New(), context: ctx, cancel: cancel,
	}
	daemon.kernel.Publish(serviceEnvironment, daemon.environment)
	if err := daemon.kernel.Build(settings.Roles); err != nil {
		cancel()
		return nil, Error.Wrap(err)
	}
	access.connect(daemon.environment, replicasOf(daemon.kernel))
	daemon.gateway, _ = daemon.kernel.Lookup(serviceGateway).(*gatewayRole)
	return daemon, nil
}

func readSecret(path string) (string, error) {
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

// Start opens the listeners and starts the roles. The VM is ready once its data centre's group has told
// it the configuration in force, which may be later.
func (daemon *Daemon) Start(ctx context.Context) error {
	settings := daemon.environment.settings
	peerMux := http.NewServeMux()
	peerMux.Handle(messenger.Path, daemon.messenger)
	if err := daemon.serve("peer", settings.Addresses.Peer.String(), peerMux); err != nil {
		return err
	}
	daemon.messenger.Start()
	if err := daemon.kernel.Start(ctx); err != nil {
		return errs.Combine(Error.Wrap(err), daemon.Stop(ctx))
	}
	if err := daemon.serve("api", settings.Addresses.API.String(), daemon.apiHandler()); err != nil {
		return errs.Combine(err, daemon.Stop(ctx))
	}
	if err := daemon.serve("metrics", settings.Addresses.Metrics.String(), daemon.metricsHandler()); err != nil {
		return errs.Combine(err, daemon.Stop(ctx))
	}
	daemon.metrics.Run(daemon.context, daemon.measure)
	daemon.environment.inService.Store(true)
	daemon.environment.log.Info().Str("event", "daemonStarted").Str("vm", string(settings.VM)).
		Strs("roles", settings.Roles).Msg("daemon started")
	return nil
}

func (daemon *Daemon) serve(name, address string, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(daemon.context, "tcp", address)
	if err != nil {
		return Error.New("listen for %s: %v", name, err)
	}
	listener, err = withTLS(listener, daemon.environment.settings.TLS, name == "peer")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerReadLimit}
	daemon.servers = append(daemon.servers, server)
	go func() {
		if err := server.Serve(listener); err != http.ErrServerClosed { //nolint:errorlint // Serve returns it unwrapped.
			daemon.environment.log.Error().Str("event", "listenerFailed").Str("listener", name).Err(err).Msg("listener ended")
		}
	}()
	return nil
}

// Stop stops the daemon gracefully: readiness goes off, requests in progress end, leadership moves on,
// and then the listeners close. When ctx ends first, what is left is cut.
func (daemon *Daemon) Stop(ctx context.Context) error {
	if daemon.environment.inService.Swap(false) {
		waiter.Sleep(ctx, balancerDelay)
	}
	err := daemon.kernel.Stop(ctx)
	daemon.cancel()
	for _, server := range daemon.servers {
		// Peer connections are hijacked, so Close does not touch them; the messenger ends them.
		_ = server.Close()
	}
	daemon.messenger.Close()
	daemon.metrics.Close()
	daemon.environment.log.Info().Str("event", "daemonStopped").Err(err).Msg("daemon stopped")
	return Error.Wrap(err)
}

// ready reports whether the platform's balancer may send requests to this VM, with the reason if not.
func (daemon *Daemon) ready() (bool, string) {
	if !daemon.environment.inService.Load() {
		return false, "the daemon is starting or stopping"
	}
	if daemon.gateway != nil && !daemon.gateway.hasListened() {
		return false, "the gateway has not been up for long enough to know the endpoints"
	}
	replicas := replicasOf(daemon.kernel)
	if replicas == nil {
		return true, ""
	}
	if err := replicas.err(); err != nil {
		return false, err.Error()
	}
	if _, _, ok := replicas.local.InForce(); !ok {
		return false, "the configuration in force has not been read from the data centre's group yet"
	}
	return true, ""
}

// Traffic returns the counts of the messages to and from other VMs.
func (daemon *Daemon) Traffic() []messenger.Traffic { return daemon.messenger.Traffic() }

// IsReady reports whether the platform's balancer may send requests to this VM.
func (daemon *Daemon) IsReady() bool {
	ready, _ := daemon.ready()
	return ready
}

// Revision returns the configuration revision in force on this VM, 0 when none has been read.
func (daemon *Daemon) Revision() scheduler.Revision {
	replicas := replicasOf(daemon.kernel)
	if replicas == nil {
		return 0
	}
	revision, _, _ := replicas.local.InForce()
	return revision
}

// EndpointCount returns the number of a service's endpoints that this VM's gateway knows.
func (daemon *Daemon) EndpointCount(service scheduler.ServiceName) int {
	if daemon.gateway == nil {
		return 0
	}
	return len(daemon.gateway.registrar.Endpoints(service))
}
