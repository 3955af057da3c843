package composer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusplank/crocusplank/internal/operating/kernel"
	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/internal/requests/allocator"
	"github.com/crocusplank/crocusplank/internal/requests/balancer"
	"github.com/crocusplank/crocusplank/internal/requests/deduplicator"
	"github.com/crocusplank/crocusplank/internal/requests/forwarder"
	"github.com/crocusplank/crocusplank/internal/requests/gateway"
	"github.com/crocusplank/crocusplank/internal/requests/limiter"
	"github.com/crocusplank/crocusplank/internal/requests/registrar"
	"github.com/crocusplank/crocusplank/internal/requests/retrier"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// reservedPathSegment is the first segment of paths on the caller address that don't belong to a service.
const reservedPathSegment = "v1"

// endpointDiscoveryPeriod is how long a gateway stays unready after its start. It covers one announcement interval of
// the endpoints and one exchange between gateways. Before that, the gateway would reject requests to services that
// exist.
const endpointDiscoveryPeriod = 1500 * time.Millisecond

// callerQueueDivisor limits each caller to a fraction of a service's queue: the queue length divided by this value.
const callerQueueDivisor = 4

func init() {
	kernel.Register(loader.RoleGateway, newGatewayRole, loader.RoleReplica, loader.RoleScheduler)
}

// gatewayRole serves requests of callers and receives the announcements of endpoints.
type gatewayRole struct {
	environment *environment
	replicas    *replicaRole
	registrar   *registrar.Registrar
	shareClient *allocator.ShareClient
	queue       *limiter.Limiter
	keys        *deduplicator.Store
	gateway     *gateway.Gateway
	started     atomic.Pointer[time.Time]
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
}

func newGatewayRole(registry kernel.ServiceRegistry) (kernel.Role, error) {
	environment, replicas := lookupEnvironment(registry), lookupReplicas(registry)
	if replicas == nil {
		return nil, Error.New("the role gateway needs the role replica")
	}
	role := &gatewayRole{environment: environment, replicas: replicas}
	log := environment.log.With().Str("role", loader.RoleGateway).Logger()
	settings := environment.settings
	self := scheduler.Gateway{VM: settings.VM, DataCentre: settings.DataCentre}
	id := scheduler.NewGatewayID(settings.VM, environment.processIncarnation)
	group := replicas.groupView(environment.localGroup(), machineKeys)

	role.registrar = registrar.New(self, environment.processIncarnation, environment.transport, role.gateways,
		registrar.WithCallerAddress(settings.Addresses.Caller.String()),
		registrar.WithFreeSlots(func(service scheduler.ServiceName) int { return role.shareClient.FreeForService(service) }),
		registrar.WithLogger(log))
	shareAllocator := allocator.New(group, environment.transport, role.registrar, allocator.WithLogger(log))
	queue := limiter.New(limiter.WithQueueLimits(
		int(settings.Limits.QueueLength), max(1, int(settings.Limits.QueueLength)/callerQueueDivisor),
	))
	role.queue = queue
	role.shareClient = allocator.NewShareClient(id, group, environment.transport, role.registrar, shareAllocator,
		allocator.WithFreeSlotsHandler(queue.Wake), allocator.WithQueueLength(queue.QueuedRequests),
		allocator.WithShareClientLogger(log))
	role.keys = deduplicator.NewStore(self, environment.processIncarnation, role.dataCentres, role.proposer,
		deduplicator.WithMachine(replicas.keys), deduplicator.WithLogger(log))
	endpointBalancer := balancer.New(role.shareClient, balancer.WithLogger(log))
	role.gateway = gateway.New(settings.VM, gateway.Dependencies{
		Directory: role.registrar, KeyStore: role.keys, Free: role.shareClient.FreeForService, Balancer: endpointBalancer,
		Forwarder: forwarder.New(id, role.shareClient,
			forwarder.WithUnresponsiveHandler(endpointBalancer.Eject), forwarder.WithLogger(log)),
		Limiter: queue, Retrier: retrier.New(),
	},
		gateway.WithBodyLimit(settings.Limits.MaxBodyBytes),
		gateway.WithDeadline(settings.Limits.RequestTimeout, maxDeadline),
		gateway.WithSlotCount(role.shareClient.SlotsForService),
		gateway.WithSlotRelease(role.shareClient.ReleaseShares), gateway.WithServer(role.newServer),
		gateway.WithCrashSharing(environment.transport, role.gateways), gateway.WithIdempotent(role.isIdempotent),
		gateway.WithLogger(log))
	environment.callerMux.Handle("POST /v1/endpoints",
		environment.authorizer.requirePlatformToken("announce an endpoint", role.registrar))
	registry.Publish(serviceGateway, role)
	return role, nil
}

// maxDeadline is the longest deadline that a caller may request.
const maxDeadline = time.Hour

// newServer returns the server for callers, workers and endpoints.
func (gatewayRole *gatewayRole) newServer(requests http.Handler) *http.Server {
	return gatewayRole.environment.acceptors[listenerCallers].Server(gatewayRole.withInternalPaths(requests)).Server
}

// withInternalPaths routes the paths of workers, endpoints and health checks to callerMux and all other paths to next.
func (gatewayRole *gatewayRole) withInternalPaths(next http.Handler) http.Handler {
	mux := gatewayRole.environment.callerMux
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if isInternalPath(request.URL.Path) {
			mux.ServeHTTP(writer, request)
			return
		}
		next.ServeHTTP(writer, request)
	})
}

func isInternalPath(path string) bool {
	return path == "/healthz" || path == "/readyz" ||
		len(path) > len(reservedPathSegment)+1 && path[:len(reservedPathSegment)+2] == "/"+reservedPathSegment+"/"
}

// gateways returns one gateway for each VM in the settings, across all data centres.
func (gatewayRole *gatewayRole) gateways() []scheduler.Gateway {
	var gateways []scheduler.Gateway
	for _, vm := range gatewayRole.environment.settings.VMs {
		gateways = append(gateways, scheduler.Gateway{VM: vm.Name, DataCentre: vm.DataCentre})
	}
	return gateways
}

// dataCentres returns the data centres that store idempotency records. They are taken from the groups in the settings
// and not from the configuration, so that the data centre of a key does not depend on the revision that a gateway has
// read.
func (gatewayRole *gatewayRole) dataCentres() []scheduler.DataCentreName {
	var dataCentres []scheduler.DataCentreName
	for _, group := range gatewayRole.environment.settings.Groups {
		if group.Name != scheduler.GlobalGroup {
			dataCentres = append(dataCentres, scheduler.DataCentreName(group.Name))
		}
	}
	return dataCentres
}

func (gatewayRole *gatewayRole) proposer(dataCentre scheduler.DataCentreName) deduplicator.Proposer {
	if proposer := gatewayRole.replicas.proposer(dataCentre, machineKeys); proposer != nil {
		return proposer
	}
	return nil
}

// isIdempotent returns whether the current configuration declares all requests to a service as idempotent. configured
// is false if the configuration does not decide it for the whole service.
func (gatewayRole *gatewayRole) isIdempotent(name scheduler.ServiceName) (isIdempotent, configured bool) {
	_, document, ok := gatewayRole.replicas.local.InForce()
	if !ok || document == nil {
		return false, false
	}
	for _, service := range document.Services {
		if service.Name != name {
			continue
		}
		switch service.Idempotency {
		case scheduler.IdempotencyAlways:
			return true, true
		case scheduler.IdempotencyNever:
			return false, true
		case scheduler.IdempotencyByMethod:
		}
	}
	return false, false
}

// Start opens the caller listener and starts the exchange of announcements and slot shares between gateways.
func (gatewayRole *gatewayRole) Start(ctx context.Context) error {
	listener := gatewayRole.environment.newListener(
		listenerCallers, gatewayRole.environment.settings.Addresses.Caller.String(), gatewayRole.serve)
	if err := listener.Open(ctx); err != nil {
		return Error.New("listen for callers: %w", err)
	}
	runCtx, cancel := context.WithCancel(context.Background())
	gatewayRole.cancel = cancel
	now := time.Now()
	gatewayRole.started.Store(&now)
	gatewayRole.goroutines.Go(func() { _ = gatewayRole.registrar.Run(runCtx) })
	gatewayRole.goroutines.Go(func() { _ = gatewayRole.shareClient.Run(runCtx) })
	gatewayRole.goroutines.Go(func() { gatewayRole.environment.parts.Run(runCtx, "keys", gatewayRole.settleKeys) })
	gatewayRole.goroutines.Go(func() { gatewayRole.environment.runListener(runCtx, listenerCallers, listener) })
	return nil
}

// settleKeys ends the requests that were in progress at an earlier start. It is a supervisor.Part, because it fails while a
// group has no leader or the replica of this VM has not joined its group yet.
func (gatewayRole *gatewayRole) settleKeys(ctx context.Context) error {
	if err := gatewayRole.keys.Start(ctx); err != nil {
		return Error.New("requests in progress at an earlier start stay unresolved: %w", err)
	}
	<-ctx.Done()
	return nil
}

// serve turns the nil of a gateway that was stopped into the error that supervisor.Listener takes for a closed server.
func (gatewayRole *gatewayRole) serve(socket net.Listener) error {
	if err := gatewayRole.gateway.Serve(socket); err != nil {
		return err
	}
	return http.ErrServerClosed
}

// hasDiscoveredEndpoints reports whether endpointDiscoveryPeriod has passed since the start.
func (gatewayRole *gatewayRole) hasDiscoveredEndpoints() bool {
	started := gatewayRole.started.Load()
	return started != nil && time.Since(*started) >= endpointDiscoveryPeriod
}

// Stop waits for the requests in progress and releases the gateway's slot shares.
func (gatewayRole *gatewayRole) Stop(ctx context.Context) error {
	err := gatewayRole.gateway.Stop(ctx)
	gatewayRole.cancel()
	gatewayRole.keys.Close()
	gatewayRole.goroutines.Wait()
	return Error.Wrap(err)
}
