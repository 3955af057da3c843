// Package assembler builds a VM of a scheduling domain from its components. A VM either replicates the state of the
// domain and can become its leader, or only forwards requests to the leader.
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
	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/internal/jobs/handler"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/overseer"
	"github.com/crocusplank/crocusplank/internal/jobs/relayer"
	"github.com/crocusplank/crocusplank/internal/operating/acceptor"
	"github.com/crocusplank/crocusplank/internal/operating/inspector"
	"github.com/crocusplank/crocusplank/internal/operating/rejoiner"
	"github.com/crocusplank/crocusplank/internal/operating/supervisor"
	"github.com/crocusplank/crocusplank/internal/state/journaler"
	"github.com/crocusplank/crocusplank/internal/state/messenger"
	"github.com/crocusplank/crocusplank/internal/state/reconciler"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("assembler")

// DomainGroup is the name of the group that replicates the state of a domain.
const DomainGroup scheduler.GroupName = "domain"

// maxClockDrift is the maximum fraction by which the clock of a worker may run slow.
const maxClockDrift = 0.02

// peerHeartbeatInterval is the interval of heartbeats between VMs. The connection to a VM that is cut off is closed
// after four missed heartbeats; from then on requests are rejected instead of waiting.
const peerHeartbeatInterval = 250 * time.Millisecond

// heapMemoryFraction is the fraction of the memory limit that is set as the soft memory limit of the Go runtime. The
// rest is headroom for stacks, for the runtime and for data in socket buffers.
const heapMemoryFraction = 0.8

// VM is a VM of a domain. Start and Stop must be called once each.
type VM struct {
	settings           Settings
	logger             zerolog.Logger
	messenger          *messenger.Messenger
	leaderClient       *handler.LeaderClient
	heartbeatCollector *handler.HeartbeatCollector
	relayer            *relayer.Relayer
	overseer           *overseer.Overseer
	replicator         *replicator.Replicator
	reconciler         *reconciler.Reconciler
	rejoiner           *rejoiner.Rejoiner
	supervisor         *supervisor.Supervisor
	server             *acceptor.Server
	cancel             context.CancelFunc
	goroutines         sync.WaitGroup
}

// Dependencies are the external dependencies of a VM.
type Dependencies struct {
	Logger zerolog.Logger
	Scope  tally.Scope
	// Client sends orders to workers. It is required on a VM that holds state.
	Client scheduler.WorkerClient
	// Approver is optional. It is nil if no queue requires approval.
	Approver scheduler.Approver
	// Maintainer is optional. It is nil if VMs are not maintained.
	Maintainer scheduler.Maintainer
	// Supervisor runs the parts of the VM. Its owner ends the process when one fails permanently. If it is nil, the VM
	// creates one.
	Supervisor *supervisor.Supervisor
	// Acceptor admits the connections of other VMs. If it is nil, the VM creates one.
	Acceptor *acceptor.Acceptor
}

// New builds a VM. On a VM that holds state, it opens the data folder.
func New(settings Settings, dependencies Dependencies) (*VM, error) {
	if err := settings.Validate(); err != nil {
		return nil, Error.New("settings: %w", err)
	}
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(heapMemoryFraction * float64(settings.MemoryLimit)))
	}
	vm := &VM{settings: settings, logger: dependencies.Logger, supervisor: dependencies.Supervisor}
	if vm.supervisor == nil {
		vm.supervisor = supervisor.New(supervisor.WithLogger(dependencies.Logger))
	}
	acceptor, err := peerAcceptor(&settings, &dependencies)
	if err != nil {
		return nil, err
	}
	self := scheduler.VMName(settings.Name)
	if settings.DataFolder != "" {
		self = scheduler.VMName(settings.Peer.String())
	}
	peers := map[scheduler.VMName]string{}
	for _, seed := range settings.seedNames() {
		peers[seed] = string(seed)
	}
	vm.messenger = messenger.New(self, peers, messenger.WithDiscovery(),
		messenger.WithHeartbeatInterval(peerHeartbeatInterval), messenger.WithLogger(dependencies.Logger),
		messenger.WithMessageBudget(acceptor.Limits().BodyBytes))
	var local *handler.Handler
	if settings.DataFolder != "" {
		if local, err = vm.buildState(self, dependencies); err != nil {
			return nil, err
		}
	}
	vm.leaderClient = handler.NewLeaderClient(vm.messenger, DomainGroup, settings.seedNames(), local,
		dependencies.Scope, dependencies.Logger)
	vm.heartbeatCollector = handler.NewHeartbeatCollector(vm.leaderClient, dependencies.Logger)
	vm.buildServer(acceptor)
	return vm, nil
}

// buildServer builds the server for other VMs.
func (vm *VM) buildServer(acceptor *acceptor.Acceptor) {
	mux := http.NewServeMux()
	mux.Handle(messenger.Path, vm.messenger)
	vm.server = acceptor.Server(mux)
}

// peerAcceptor returns the acceptor for the connections of other VMs.
func peerAcceptor(settings *Settings, dependencies *Dependencies) (*acceptor.Acceptor, error) {
	if dependencies.Acceptor != nil {
		return dependencies.Acceptor, nil
	}
	acceptors, err := NewAcceptors(settings, dependencies.Logger, dependencies.Scope)
	return acceptors[ListenerPeers], err
}

// buildState builds the components of a VM that holds state.
func (vm *VM) buildState(self scheduler.VMName, dependencies Dependencies) (*handler.Handler, error) {
	settings := vm.settings
	budget := settings.diskBudget()
	incarnation := initialIncarnation
	if !settings.BootstrapDomain {
		incarnation = newIncarnation()
	}
	journal, err := vm.openJournal(self, incarnation)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	keeper := jobkeeper.New()
	member := replicator.Member{
		VM: self, Incarnation: journal.Identity().Incarnation(), Disk: true, StandsForElection: true,
	}
	vm.replicator, err = replicator.New(DomainGroup, member, initialVoters(settings.seedNames()), journal,
		vm.messenger, keeper, replicator.WithLogger(dependencies.Logger), replicator.WithSuspension(),
		replicator.WithLogLimit(budget.LogBytes(), budget.KeptBytes()))
	if err != nil {
		return nil, errs.Combine(Error.Wrap(err), journal.Close())
	}
	vm.rejoiner = rejoiner.New(vm.replicator, journal, func() (scheduler.Journal, scheduler.Incarnation, error) {
		reopened, err := vm.openJournal(self, newIncarnation())
		if err != nil {
			return nil, 0, err
		}
		return reopened, reopened.Identity().Incarnation(), nil
	}, dependencies.Logger, dependencies.Scope)
	relayer.Serve(vm.messenger, DomainGroup, dependencies.Client, stopwatch.StartBootTime())
	vm.relayer = relayer.New(dependencies.Client, vm.messenger, vm.replicator, vm.memberNames,
		relayer.WithLogger(dependencies.Logger), relayer.WithScope(dependencies.Scope), relayer.WithSuspension())
	options := []overseer.Option{
		overseer.WithLogger(dependencies.Logger), overseer.WithScope(dependencies.Scope), overseer.WithSuspension(),
		overseer.WithLease(settings.LeaseDuration, maxClockDrift), overseer.WithHeartbeatInterval(settings.HeartbeatInterval),
		overseer.WithStopTime(settings.StopTime), overseer.WithMaxReportedEnds(settings.MaxReportedEnds),
		overseer.WithJobRetention(settings.JobRetention), overseer.WithHandOver(vm.replicator.TransferLeadership),
		overseer.WithApprover(dependencies.Approver),
		overseer.WithMaintainer(dependencies.Maintainer, self, settings.MaintenanceLease),
		overseer.WithLookAhead(settings.MaxReservedIdle),
		overseer.WithDiskBudget(budget, func() int64 { return vm.replicator.JournalUsage().FolderBytes() }),
	}
	if settings.ForecastAdmission {
		options = append(options, overseer.WithForecastAdmission())
	}
	vm.overseer = overseer.New(vm.replicator, keeper, vm.relayer, options...)
	vm.reconciler = reconciler.New(vm.replicator, vm.messenger, settings.seedNames(),
		2*settings.ToleratedLosses+1, dependencies.Logger)
	local := handler.New(vm.replicator, keeper, vm.overseer, vm.memberNames, dependencies.Logger,
		handler.WithDataCentres(settings.DataCentres))
	handler.Serve(vm.messenger, DomainGroup, local)
	inspector.Serve(vm.messenger, DomainGroup, vm.replicator)
	return local, nil
}

func (vm *VM) openJournal(
	self scheduler.VMName, incarnation scheduler.Incarnation,
) (*journaler.FolderJournal, error) {
	return journaler.Open(vm.settings.DataFolder, journaler.NewIdentity(self, DomainGroup, incarnation),
		journaler.WithSegmentBytes(vm.settings.diskBudget().SegmentBytes()))
}

// newIncarnation returns an incarnation that no replica of this VM has had.
func newIncarnation() scheduler.Incarnation { return scheduler.Incarnation(time.Now().UnixNano()) }

// initialIncarnation is the incarnation of the initial voters of a domain. It is stored when the domain is
// bootstrapped, so that a VM that starts with an empty data folder later joins as a new member.
const initialIncarnation scheduler.Incarnation = 1

func initialVoters(names []scheduler.VMName) []replicator.Member {
	members := make([]replicator.Member, len(names))
	for index, name := range names {
		members[index] = replicator.Member{VM: name, Incarnation: initialIncarnation, Disk: true, StandsForElection: true}
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

// LeaderClient returns the client that forwards requests to the leader of the domain.
func (vm *VM) LeaderClient() *handler.LeaderClient { return vm.leaderClient }

// HeartbeatCollector returns the collector of the heartbeats of workers.
func (vm *VM) HeartbeatCollector() *handler.HeartbeatCollector { return vm.heartbeatCollector }

// Start opens the listener for other VMs and starts all components. The replica joins its group in the background,
// because its disk may refuse writes at first.
func (vm *VM) Start(ctx context.Context) error {
	listener := supervisor.NewListener(func(ctx context.Context) (net.Listener, error) {
		var config net.ListenConfig
		return config.Listen(ctx, "tcp", vm.settings.listenAddress().String())
	}, vm.server.Serve)
	if err := listener.Open(ctx); err != nil {
		return Error.Wrap(err)
	}
	runCtx, cancel := context.WithCancel(context.Background())
	vm.cancel = cancel
	vm.run(runCtx, "peerListener", listener.Run, supervisor.WithFailureLimit(supervisor.ListenerFailureLimit))
	if vm.replicator != nil {
		vm.run(runCtx, "replica", vm.rejoiner.Run)
		vm.run(runCtx, "overseer", withoutError(vm.overseer.Run))
		vm.run(runCtx, "reconciler", withoutError(vm.reconciler.Run))
		vm.run(runCtx, "relayer", withoutError(vm.relayer.Run))
		vm.run(runCtx, "heartbeatCollector", withoutError(vm.heartbeatCollector.Run))
	}
	vm.messenger.Start()
	vm.run(runCtx, "leaderClient", withoutError(vm.leaderClient.Run))
	vm.logger.Info().Str("event", "started").Str("peer", vm.settings.Peer.String()).
		Bool("holdsState", vm.replicator != nil).Int64("diskBytes", vm.settings.diskBudget().Room()).
		Bool("firstStart", vm.settings.BootstrapDomain).Msg("VM of the domain started")
	return nil
}

// run runs a part of the VM until ctx ends.
func (vm *VM) run(ctx context.Context, name string, part supervisor.Part, options ...supervisor.PartOption) {
	vm.goroutines.Go(func() { vm.supervisor.Run(ctx, name, part, options...) })
}

func withoutError(run func(ctx context.Context)) supervisor.Part {
	return func(ctx context.Context) error {
		run(ctx)
		return nil
	}
}

// Stop transfers leadership, waiting for it at most until ctx ends, and stops all components.
func (vm *VM) Stop(ctx context.Context) error {
	var group errs.Group
	var closeErr error
	if vm.replicator != nil {
		closeErr = vm.replicator.Close(ctx)
		group.Add(closeErr)
	}
	vm.cancel()
	vm.messenger.Close()
	group.Add(vm.server.Close())
	// A call that waits for a disk that hangs cannot be interrupted, and the journal cannot be closed beside it.
	joinErr := waiter.Join(ctx, &vm.goroutines)
	group.Add(joinErr)
	if vm.rejoiner != nil && closeErr == nil && joinErr == nil {
		group.Add(vm.rejoiner.Close())
	}
	vm.logger.Info().Str("event", "stopped").Err(group.Err()).Msg("VM of the domain stopped")
	return Error.Wrap(group.Err())
}
