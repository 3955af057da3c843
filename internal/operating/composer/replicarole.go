package composer

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/internal/jobs/dispatcher"
	"github.com/crocusplank/crocusplank/internal/operating/kernel"
	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/internal/operating/rejoiner"
	"github.com/crocusplank/crocusplank/internal/operating/supervisor"
	"github.com/crocusplank/crocusplank/internal/requests/deduplicator"
	"github.com/crocusplank/crocusplank/internal/state/configurator"
	"github.com/crocusplank/crocusplank/internal/state/journaler"
	"github.com/crocusplank/crocusplank/internal/state/multiplexer"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Names of the state machines of a group. They are stored in logs and snapshots and must not change.
const (
	machineConfiguration = "configuration"
	machineDispatcher    = "dispatcher"
	machineKeys          = "keys"
)

// kindPropose sends a command from a VM that is not a member of the group.
const kindPropose scheduler.MessageKind = "foreignPropose"

const configurationRetryInterval = 500 * time.Millisecond

func init() {
	kernel.Register(loader.RoleReplica, newReplicaRole)
}

// replicaRole runs the VM's replicas of its groups.
type replicaRole struct {
	environment   *environment
	replicas      map[scheduler.GroupName]*replica
	global        *configurator.GlobalMachine
	local         *configurator.LocalMachine
	jobs          *dispatcher.Machine
	keys          *deduplicator.Machine
	auditRecorder *auditRecorder // nil on a VM without a disk
	cancel        context.CancelFunc
	goroutines    sync.WaitGroup
}

// replica is this VM's replica of one group.
type replica struct {
	journal    scheduler.Journal
	replicator *replicator.Replicator
	// rejoiner is nil until the replicator is built. It then owns the journal.
	rejoiner *rejoiner.Rejoiner
}

func (replica *replica) close() error {
	if replica.rejoiner != nil {
		return replica.rejoiner.Close()
	}
	return replica.journal.Close()
}

func lookupReplicas(registry kernel.ServiceRegistry) *replicaRole {
	replicas, _ := registry.Lookup(serviceReplicas).(*replicaRole)
	return replicas
}

func newReplicaRole(registry kernel.ServiceRegistry) (kernel.Role, error) {
	environment := lookupEnvironment(registry)
	replicas := &replicaRole{
		environment: environment,
		replicas:    map[scheduler.GroupName]*replica{},
		global:      configurator.NewGlobalMachine(),
		local:       configurator.NewLocalMachine(),
		jobs:        dispatcher.NewMachine(environment.localGroup()),
		keys:        deduplicator.NewMachine(),
	}
	for _, group := range environment.settings.OwnGroups() {
		if err := replicas.openReplica(group); err != nil {
			return nil, errs.Combine(err, replicas.close())
		}
	}
	if replicas.replicas[environment.localGroup()] == nil {
		return nil, errs.Combine(
			Error.New("VM %s is not a member of group %s", environment.settings.VM, environment.localGroup()),
			replicas.close(),
		)
	}
	if environment.settings.HasDisk() {
		auditRecorder, err := openAuditRecorder(environment.settings.DataFolder, environment.log)
		if err != nil {
			return nil, errs.Combine(err, replicas.close())
		}
		replicas.auditRecorder = auditRecorder
	}
	registry.Publish(serviceReplicas, replicas)
	return replicas, nil
}

// openReplica opens the journal of a group and builds the group's replica.
func (replicaRole *replicaRole) openReplica(group loader.Group) error {
	machine, err := replicaRole.stateMachine(group.Name)
	if err != nil {
		return Error.Wrap(err)
	}
	journal, incarnation, err := replicaRole.openJournal(group.Name, replicaRole.environment.processIncarnation)
	if err != nil {
		return Error.Wrap(err)
	}
	budget := replicaRole.environment.settings.DiskBudget()
	newReplica := &replica{journal: journal}
	replicaRole.replicas[group.Name] = newReplica
	members := initialMembers(group)
	self := ownMember(group, replicaRole.environment.settings.VM)
	self.Incarnation = incarnation
	newReplica.replicator, err = replicator.New(group.Name, self, members, newReplica.journal,
		replicaRole.environment.transport, machine, replicator.WithLogger(replicaRole.environment.log),
		replicator.WithLogLimit(budget.LogBytes(), budget.KeptBytes()))
	if err != nil {
		return Error.Wrap(err)
	}
	reopen := func() (scheduler.Journal, scheduler.Incarnation, error) {
		return replicaRole.openJournal(group.Name, newIncarnation())
	}
	newReplica.rejoiner = rejoiner.New(newReplica.replicator, journal, reopen, replicaRole.environment.log,
		replicaRole.environment.scope)
	replicaRole.environment.transport.Handle(group.Name, kindPropose,
		func(ctx context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
			return newReplica.replicator.Propose(ctx, body)
		})
	return nil
}

// openJournal opens the journal of a group. It returns the incarnation under which the journal was created, which is the
// given one if it is new.
func (replicaRole *replicaRole) openJournal(
	group scheduler.GroupName, incarnation scheduler.Incarnation,
) (scheduler.Journal, scheduler.Incarnation, error) {
	settings := replicaRole.environment.settings
	if !settings.HasDisk() {
		return journaler.NewMemoryJournal(), incarnation, nil
	}
	folder, err := journaler.Open(settings.DataFolder, journaler.NewIdentity(settings.VM, group, incarnation),
		journaler.WithSegmentBytes(settings.DiskBudget().SegmentBytes()))
	if err != nil {
		return nil, 0, err
	}
	return folder, folder.Identity().Incarnation(), nil
}

// stateMachine returns the state machine of a group. In a group of another data centre, this VM only votes and stores
// the log, so the replica gets state machines of its own that no other role reads.
func (replicaRole *replicaRole) stateMachine(group scheduler.GroupName) (scheduler.StateMachine, error) {
	if group == scheduler.GlobalGroup {
		return multiplexer.New(multiplexer.WithMachine(machineConfiguration, replicaRole.global))
	}
	local, jobs, keys := replicaRole.local, replicaRole.jobs, replicaRole.keys
	if group != replicaRole.environment.localGroup() {
		local, jobs, keys = configurator.NewLocalMachine(), dispatcher.NewMachine(group), deduplicator.NewMachine()
	}
	return multiplexer.New(
		multiplexer.WithMachine(machineConfiguration, local),
		multiplexer.WithMachine(machineDispatcher, jobs),
		multiplexer.WithMachine(machineKeys, keys),
	)
}

// initialMembers returns the members with which a group is bootstrapped.
func initialMembers(group loader.Group) []replicator.Member {
	var members []replicator.Member
	for _, member := range group.Members {
		members = append(members, toMember(member))
	}
	return members
}

func toMember(member loader.Member) replicator.Member {
	converted := replicator.Member{
		VM: member.VM, Disk: member.Disk, StandsForElection: member.StandsForElection, Learner: !member.Voter,
	}
	if member.Disk && member.Voter {
		converted.Incarnation = initialIncarnation
	}
	return converted
}

func ownMember(group loader.Group, vm scheduler.VMName) replicator.Member {
	member, _ := group.Member(vm)
	return toMember(member)
}

// Start starts the replicas. They join their groups in the background, because a disk may refuse writes at first, and so
// is the current configuration read, because the group may have no majority until other VMs have started.
func (replicaRole *replicaRole) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	replicaRole.cancel = cancel
	for name, replica := range replicaRole.replicas {
		replicaRole.run(ctx, "replica "+string(name), replica.rejoiner.Run)
	}
	replicaRole.goroutines.Go(func() { replicaRole.awaitConfiguration(ctx) })
	if replicaRole.auditRecorder != nil {
		replicaRole.run(ctx, "auditTrail", func(ctx context.Context) error {
			return replicaRole.auditRecorder.run(
				ctx, replicaRole.environment.localGroup(), replicaRole.global, replicaRole.jobs)
		})
	}
	return nil
}

// run runs a part of the role until ctx ends.
func (replicaRole *replicaRole) run(ctx context.Context, name string, part supervisor.Part) {
	replicaRole.goroutines.Go(func() { replicaRole.environment.parts.Run(ctx, name, part) })
}

func (replicaRole *replicaRole) awaitConfiguration(ctx context.Context) {
	localGroup := replicaRole.groupView(replicaRole.environment.localGroup(), machineConfiguration)
	for ctx.Err() == nil {
		err := replicaRole.local.AwaitReady(ctx, localGroup)
		if err == nil {
			revision, _, _ := replicaRole.local.InForce()
			replicaRole.environment.log.Info().Str("event", "configurationRead").Uint64("revision", uint64(revision)).
				Msg("current configuration read from the data centre's group")
			return
		}
		replicaRole.environment.log.Debug().Str("event", "configurationNotRead").Err(err).
			Msg("no majority of the group has responded yet")
		waiter.Sleep(ctx, configurationRetryInterval)
	}
}

// err returns why the replica of the local data centre's group is out of its group, or nil if it takes part.
func (replicaRole *replicaRole) err() error {
	local := replicaRole.environment.localGroup()
	if outage, out := replicaRole.replicas[local].replicator.Outage(); out {
		return Error.New("the replica of group %s has been out of its group for %v: %w",
			local, time.Since(outage.Since()).Round(time.Second), outage.Cause())
	}
	return nil
}

// groupView returns the view that a state machine has of its group, or nil if this VM is not a member of the group.
func (replicaRole *replicaRole) groupView(group scheduler.GroupName, machine string) *multiplexer.GroupView {
	replica := replicaRole.replicas[group]
	if replica == nil {
		return nil
	}
	return multiplexer.NewGroupView(replica.replicator, machine)
}

// Stop transfers leadership, stops the replicas and closes their journals and the audit trail. If a disk hangs, it returns
// when ctx ends and closes none of them, because that would wait for the disk too.
func (replicaRole *replicaRole) Stop(ctx context.Context) error {
	if replicaRole.cancel != nil {
		replicaRole.cancel()
	}
	var group errs.Group
	for name, replica := range replicaRole.replicas {
		if err := replica.replicator.Close(ctx); err != nil {
			group.Add(Error.New("group %s: %v", name, err))
		}
	}
	group.Add(Error.Wrap(waiter.Join(ctx, &replicaRole.goroutines)))
	if err := group.Err(); err != nil {
		return err
	}
	return replicaRole.close()
}

func (replicaRole *replicaRole) close() error {
	var group errs.Group
	for _, replica := range replicaRole.replicas {
		group.Add(Error.Wrap(replica.close()))
	}
	if replicaRole.auditRecorder != nil {
		group.Add(Error.Wrap(replicaRole.auditRecorder.trail.Close()))
	}
	return group.Err()
}
