// Package assembler builds the VM of a scheduling domain from its parts: a VM that holds state and may lead,
// or one that only passes requests on.
package assembler

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/basics/stopwatch"
	"github.com/crocusplank/crocusplank/internal/jobs/handler"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/overseer"
	"github.com/crocusplank/crocusplank/internal/jobs/relayer"
	"github.com/crocusplank/crocusplank/internal/state/journaler"
	"github.com/crocusplank/crocusplank/internal/state/messenger"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/internal/state/steward"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("assembler")

// domainGroup is the group that holds the state of a domain.
const domainGroup scheduler.GroupName = "domain"

// clockDrift is by how much the clock of a worker may be slow.
const clockDrift = 0.02

// heartbeat is the interval of heartbeats between VMs. A VM that is cut off is given up after four of them,
// and requests are refused from then on rather than wait.
const heartbeat = 250 * time.Millisecond

// memoryShare is the part of the memory limit that Go's collector may fill. The rest is for stacks, for the
// runtime and for bytes that wait in sockets.
const memoryShare = 0.8

// VM is a running VM of a domain. Start and Stop are called once each.
type VM struct {
	settings           Settings
	logger             zerolog.Logger
	messenger          *messenger.Messenger
	leaderClient       *handler.LeaderClient
	heartbeatCollector *handler.HeartbeatCollector
	relayer            *relayer.Relayer
	overseer           *overseer.Overseer
	replicator         *replicator.Replicator
	steward            *steward.Steward
	journal            scheduler.Journal
	server             *http.Server
	cancel             context.CancelFunc
	workers            sync.WaitGroup
}

// Dependencies are what a VM takes from outside.
type Dependencies struct {
	Logger zerolog.Logger
	Scope  tally.Scope
	// Client sends orders to workers. It is needed on a VM that holds state.
	Client scheduler.WorkerClient
	// Approver is nil where no queue needs approval.
	Approver scheduler.Approver
	// Maintainer is nil where VMs have no maintenance.
	Maintainer scheduler.Maintainer
}

// New builds a VM. It opens the data folder of one that holds state.
func New(settings Settings, parts Dependencies) (*VM, error) {
	if err := settings.Validate(); err != nil {
		return nil, Error.New("settings: %w", err)
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimit)))
	}
	vm := &VM{settings: settings, logger: parts.Logger}
	self := scheduler.VMName(settings.Name)
	if settings.DataFolder != "" {
		self = scheduler.VMName(settings.Peer.String())
	}
	peers := map[scheduler.VMName]string{}
	for _, seed := range settings.seedNames() {
		peers[seed] = string(seed)
	}
	vm.messenger = messenger.New(self, peers, messenger.WithDiscovery(), messenger.WithHeartbeat(heartbeat), messenger.WithLogger(parts.Logger))
	var local *handler.Handler
	if settings.DataFolder != "" {
		var err error
		if local, err = vm.buildState(self, parts); err != nil {
			return nil, err
		}
	}
	vm.leaderClient = handler.NewLeaderClient(vm.messenger, domainGroup, settings.seedNames(), local, parts.Scope, parts.Logger)
	vm.heartbeatCollector = handler.NewHeartbeatCollector(vm.leaderClient, parts.Logger)
	return vm, nil
}

// buildState builds the parts of a VM that holds state.
func (vm *VM) buildState(self scheduler.VMName, parts Dependencies) (*handler.Handler, error) {
	settings := vm.settings
	incarnation := firstIncarnation
	if !settings.BootstrapDomain {
		incarnation = scheduler.Incarnation(time.Now().UnixNano())
	}
	journal, err := journaler.Open(settings.DataFolder, journaler.NewIdentity(self, domainGroup, incarnation))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	vm.journal = journal
	keeper := jobkeeper.New()
	member := replicator.Member{VM: self, Incarnation: journal.Identity().Incarnation(), Disk: true, StandsForElection: true}
	vm.replicator, err = replicator.New(domainGroup, member, firstVoters(settings.seedNames()), journal, vm.messenger, keeper,
		replicator.WithLogger(parts.Logger), replicator.WithSuspension())
	if err != nil {
		return nil, errs.Combine(Error.Wrap(err), journal.Close())
	}
	relayer.Serve(vm.messenger, domainGroup, parts.Client, stopwatch.StartBootTime())
	vm.relayer = relayer.New(parts.Client, vm.messenger, vm.replicator, vm.memberNames,
		relayer.WithLogger(parts.Logger), relayer.WithScope(parts.Scope), relayer.WithSuspension())
	vm.overseer = overseer.New(vm.replicator, keeper, vm.relayer,
		overseer.WithLogger(parts.Logger), overseer.WithScope(parts.Scope), overseer.WithSuspension(),
		overseer.WithLease(settings.LeaseDuration, clockDrift), overseer.WithHeartbeatInterval(settings.HeartbeatInterval),
		overseer.WithStopTime(settings.StopTime), overseer.WithApprover(parts.Approver),
		overseer.WithMaintainer(parts.Maintainer, self, settings.MaintenanceLease))
	vm.steward = steward.New(vm.replicator, vm.messenger, settings.seedNames(), 2*settings.ToleratedLosses+1, parts.Logger)
	local := handler.New(vm.replicator, keeper, vm.overseer, vm.memberNames, parts.Logger)
	handler.Serve(vm.messenger, domainGroup, local)
	return local, nil
}

// firstIncarnation is that of the voters with which a domain starts. It is stored with the first start, so
// that a VM that starts with an empty folder later is a new member.
const firstIncarnation scheduler.Incarnation = 1

func firstVoters(names []scheduler.VMName) []replicator.Member {
	members := make([]replicator.Member, len(names))
	for position, name := range names {
		members[position] = replicator.Member{VM: name, Incarnation: firstIncarnation, Disk: true, StandsForElection: true}
	}
	return members
}

func (vm *VM) memberNames() []scheduler.VMName {
	var names []scheduler.VMName
	for _, member := range vm.replicator.Members() {
		names = append(names, member.VM)
	}
	return names
}

// LeaderClient passes requests to the VM that leads the domain.
func (vm *VM) LeaderClient() *handler.LeaderClient { return vm.leaderClient }

// HeartbeatCollector takes the beats of workers.
func (vm *VM) HeartbeatCollector() *handler.HeartbeatCollector { return vm.heartbeatCollector }

// Start listens for other VMs and takes part in the domain.
func (vm *VM) Start(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle(messenger.Path, vm.messenger)
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", vm.settings.listenAddress().String())
	if err != nil {
		return Error.Wrap(err)
	}
	vm.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	vm.workers.Go(func() {
		if err := vm.server.Serve(listener); err != nil && err != http.ErrServerClosed {
			vm.logger.Error().Str("event", "peerListenerFailed").Err(err).Msg("other VMs cannot connect")
		}
	})
	running, cancel := context.WithCancel(context.Background())
	vm.cancel = cancel
	if vm.replicator != nil {
		if err := vm.replicator.Start(); err != nil {
			return Error.Wrap(err)
		}
		vm.workers.Go(func() { vm.overseer.Run(running) })
		vm.workers.Go(func() { vm.steward.Run(running) })
		vm.workers.Go(func() { vm.relayer.Run(running) })
		vm.workers.Go(func() { vm.heartbeatCollector.Run(running) })
	}
	vm.messenger.Start()
	vm.workers.Go(func() { vm.leaderClient.Run(running) })
	vm.logger.Info().Str("event", "started").Str("peer", vm.settings.Peer.String()).Bool("holdsState", vm.replicator != nil).
		Bool("firstStart", vm.settings.BootstrapDomain).Msg("VM of the domain started")
	return nil
}

// Failed is closed when this VM cannot hold state any longer, for example because of its disk. It is nil on
// a VM that holds no state.
func (vm *VM) Failed() <-chan struct{} {
	if vm.replicator == nil {
		return nil
	}
	return vm.replicator.Stopped()
}

// Stop hands leadership on and ends all parts until ctx ends.
func (vm *VM) Stop(ctx context.Context) error {
	var group errs.Group
	if vm.replicator != nil {
		group.Add(vm.replicator.Close(ctx))
	}
	vm.cancel()
	vm.messenger.Close()
	group.Add(vm.server.Close())
	vm.workers.Wait()
	if vm.journal != nil {
		group.Add(vm.journal.Close())
	}
	vm.logger.Info().Str("event", "stopped").Err(group.Err()).Msg("VM of the domain stopped")
	return Error.Wrap(group.Err())
}
