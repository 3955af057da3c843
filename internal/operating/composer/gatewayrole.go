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

// reservedService is the first part of paths on the callers' address that are not a service's.
const reservedService = "v1"

// listenTime is how long a gateway that has just started waits for announcements before it takes requests:
// the endpoints' period and one exchange between gateways. Until then it would refuse services that exist.
const listenTime = 1500 * time.Millisecond

// queuePerCaller is the part of a service's queue that one caller may fill, as a divisor.
const queuePerCaller = 4

func init() {
	kernel.Register(loader.RoleGateway, newGatewayRole, loader.RoleReplica, loader.RoleScheduler)
}

// gatewayRole serves callers and hears endpoints.
type gatewayRole struct {
	environment *environment
	replicas    *replicaRole
	registrar   *registrar.Registrar
	shares      *allocator.Shares
	queue       *limiter.Limiter
	keys        *deduplicator.Store
	gateway     *gateway.Gateway
	started     atomic.Pointer[time.Time]
	cancel      context.CancelFunc
	workers     sync.WaitGroup
}

func newGatewayRole(host kernel.ServiceRegistry) (kernel.Role, error) {
	environment, replicas := environmentOf(host), replicasOf(host)
	if replicas == nil {
		return nil, Error.New("the role gateway needs the role replica")
	}
	role := &gatewayRole{environment: environment, replicas: replicas}
	log := environment.log.With().Str("role", loader.RoleGateway).Logger()
	settings := environment.settings
	self := scheduler.Gateway{VM: settings.VM, DataCentre: settings.DataCentre}
	id := scheduler.NewGatewayID(settings.VM, environment.life)
	group := replicas.member(environment.homeGroup(), machineKeys)

	role.registrar = registrar.New(self, environment.life, environment.transport, role.gateways,
		registrar.WithAddress(settings.Addresses.Caller.String()),
		registrar.WithFree(func(service scheduler.ServiceName) int { return role.shares.FreeOf(service) }),
		registrar.WithLogger(log))
	granting := allocator.New(group, environment.transport, role.registrar, allocator.WithLogger(log))
	queue := limiter.New(limiter.WithLength(int(settings.Limits.QueueLength), max(1, int(settings.Limits.QueueLength)/queuePerCaller)))
	role.queue = queue
	role.shares = allocator.NewShares(id, group, environment.transport, role.registrar, granting,
		allocator.WithNotify(queue.Wake), allocator.WithWaiting(queue.Waiting), allocator.WithSharesLogger(log))
	role.keys = deduplicator.NewStore(self, environment.life, role.homes, role.proposer,
		deduplicator.WithMachine(replicas.keys), deduplicator.WithLogger(log))
	choosing := balancer.New(role.shares, balancer.WithLogger(log))
	role.gateway = gateway.New(settings.VM, gateway.Parts{
		Directory: role.registrar, Keys: role.keys, Free: role.shares.FreeOf, Balancer: choosing,
		Forwarder: forwarder.New(id, role.shares, forwarder.WithBad(choosing.Eject), forwarder.WithLogger(log)),
		Limiter:   queue, Retrier: retrier.New(),
	},
		gateway.WithBodyLimit(settings.Limits.MaxBodyBytes),
		gateway.WithDeadline(settings.Limits.RequestTimeout, longestDeadline),
		gateway.WithHandBack(role.shares.HandBack), gateway.WithHandler(role.withOwnPaths),
		gateway.WithIdempotent(role.idempotent), gateway.WithLogger(log))
	environment.callerMux.Handle("POST /v1/endpoints", environment.access.guard("announce an endpoint", role.registrar))
	host.Publish(serviceGateway, role)
	return role, nil
}

// longestDeadline is the longest deadline that a caller may state.
const longestDeadline = time.Hour

// withOwnPaths serves the paths of workers and endpoints next to the callers' requests.
func (gatewayRole *gatewayRole) withOwnPaths(requests http.Handler) http.Handler {
	mux := gatewayRole.environment.callerMux
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if isOwnPath(request.URL.Path) {
			mux.ServeHTTP(writer, request)
			return
		}
		requests.ServeHTTP(writer, request)
	})
}

func isOwnPath(path string) bool {
	return path == "/healthz" || path == "/readyz" || len(path) > len(reservedService)+1 && path[:len(reservedService)+2] == "/"+reservedService+"/"
}

// gateways returns the gateways of all data centres.
func (gatewayRole *gatewayRole) gateways() []scheduler.Gateway {
	var gateways []scheduler.Gateway
	for _, vm := range gatewayRole.environment.settings.VMs {
		gateways = append(gateways, scheduler.Gateway{VM: vm.Name, DataCentre: vm.DataCentre})
	}
	return gateways
}

// homes returns the data centres that keep idempotency records. They are those of the settings, which
// name the groups, so that a key's home does not depend on the revision that a gateway has seen.
func (gatewayRole *gatewayRole) homes() []scheduler.DataCentreName {
	var homes []scheduler.DataCentreName
	for _, group := range gatewayRole.environment.settings.Groups {
		if group.Name != scheduler.GlobalGroup {
			homes = append(homes, scheduler.DataCentreName(group.Name))
		}
	}
	return homes
}

func (gatewayRole *gatewayRole) proposer(home scheduler.DataCentreName) deduplicator.Proposer {
	if proposer := gatewayRole.replicas.proposer(home, machineKeys); proposer != nil {
		return proposer
	}
	return nil
}

// idempotent returns what the configuration in force says of a service's requests.
func (gatewayRole *gatewayRole) idempotent(name scheduler.ServiceName) (idempotent, configured bool) {
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

// Start starts the exchanges and listens for callers.
func (gatewayRole *gatewayRole) Start(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", gatewayRole.environment.settings.Addresses.Caller.String())
	if err != nil {
		return Error.New("listen for callers: %v", err)
	}
	if listener, err = withTLS(listener, gatewayRole.environment.settings.TLS, false); err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	gatewayRole.cancel = cancel
	now := time.Now()
	gatewayRole.started.Store(&now)
	gatewayRole.workers.Go(func() { _ = gatewayRole.registrar.Run(running) })
	gatewayRole.workers.Go(func() { _ = gatewayRole.shares.Run(running) })
	gatewayRole.workers.Go(func() {
		// Requests of earlier lives are settled by their deadlines if this fails.
		if err := gatewayRole.keys.Start(running); err != nil && running.Err() == nil {
			gatewayRole.environment.log.Warn().Str("event", "keysNotSettled").Err(err).Msg("requests of earlier starts wait for their deadlines")
		}
	})
	gatewayRole.workers.Go(func() {
		if err := gatewayRole.gateway.Serve(listener); err != nil {
			gatewayRole.environment.log.Error().Str("event", "listenerFailed").Str("listener", "caller").Err(err).Msg("listener ended")
		}
	})
	return nil
}

// hasListened reports whether the gateway has been up for long enough to know the endpoints.
func (gatewayRole *gatewayRole) hasListened() bool {
	started := gatewayRole.started.Load()
	return started != nil && time.Since(*started) >= listenTime
}

// Stop waits for the requests in progress and hands the shares back.
func (gatewayRole *gatewayRole) Stop(ctx context.Context) error {
	err := gatewayRole.gateway.Stop(ctx)
	gatewayRole.cancel()
	gatewayRole.keys.Close()
	gatewayRole.workers.Wait()
	return Error.Wrap(err)
}
