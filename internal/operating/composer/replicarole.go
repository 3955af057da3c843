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
	"github.com/crocusplank/crocusplank/internal/requests/deduplicator"
	"github.com/crocusplank/crocusplank/internal/state/configurator"
	"github.com/crocusplank/crocusplank/internal/state/journaler"
	"github.com/crocusplank/crocusplank/internal/state/multiplexer"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Names of the state machines in a group's log. They are stored in logs and snapshots.
const (
	machineConfiguration = "configuration"
	machineDispatcher    = "dispatcher"
	machineKeys          = "keys"
)

// kindPropose carries a command from a VM that is not a member of the group.
const kindPropose scheduler.MessageKind = "foreignPropose"

const readyRetryPause = 500 * time.Millisecond

func init() {
	kernel.Register(loader.RoleReplica, newReplicaRole)
}

// replicaRole keeps the VM's replicas of its groups.
type replicaRole struct {
	environment *environment
	replicas    map[scheduler.GroupName]*replica
	global      *configurator.Global
	local       *configurator.Local
	jobs        *dispatcher.Machine
	keys        *deduplicator.Machine
	recorder    *recorder // nil on a VM without a disk
	cancel      context.CancelFunc
	workers     sync.WaitGroup
}

// replica is one group's part on this VM.
type replica struct {
	journal    scheduler.Journal
	replicator *replicator.Replicator
}

func replicasOf(host kernel.ServiceRegistry) *replicaRole {
	replicas, _ := host.Lookup(serviceReplicas).(*replicaRole)
	return replicas
}

func newReplicaRole(host kernel.ServiceRegistry) (kernel.Role, error) {
	environment := environmentOf(host)
	replicas := &replicaRole{
		environment: environment,
		replicas:    map[scheduler.GroupName]*replica{},
		global:      configurator.NewGlobal(),
		local:       configurator.NewLocal(),
		jobs:        dispatcher.NewMachine(environment.homeGroup()),
		keys:        deduplicator.NewMachine(),
	}
	for _, group := range environment.settings.OwnGroups() {
		if err := replicas.open(group); err != nil {
			return nil, errs.Combine(err, replicas.close())
		}
	}
	if replicas.replicas[environment.homeGroup()] == nil {
		return nil, errs.Combine(Error.New("VM %s is not a member of group %s", environment.settings.VM, environment.homeGroup()), replicas.close())
	}
	if environment.settings.HasDisk() {
		recorder, err := openRecorder(environment.settings.DataFolder, environment.log)
		if err != nil {
			return nil, errs.Combine(err, replicas.close())
		}
		replicas.recorder = recorder
	}
	host.Publish(serviceReplicas, replicas)
	return replicas, nil
}

// open opens the journal of a group and builds its replica.
func (replicaRole *replicaRole) open(group loader.Group) error {
	machine, err := replicaRole.machine(group.Name)
	if err != nil {
		return Error.Wrap(err)
	}
	opened := &replica{}
	incarnation := replicaRole.environment.life
	if replicaRole.environment.settings.HasDisk() {
		identity := journaler.NewIdentity(replicaRole.environment.settings.VM, group.Name, incarnation)
		folder, err := journaler.Open(replicaRole.environment.settings.DataFolder, identity)
		if err != nil {
			return Error.Wrap(err)
		}
		opened.journal, incarnation = folder, folder.Identity().Incarnation()
	} else {
		opened.journal = journaler.NewMemoryJournal()
	}
	replicaRole.replicas[group.Name] = opened
	members := firstMembers(group)
	self := ownMember(group, replicaRole.environment.settings.VM)
	self.Incarnation = incarnation
	opened.replicator, err = replicator.New(group.Name, self, members, opened.journal, replicaRole.environment.transport, machine,
		replicator.WithLogger(replicaRole.environment.log))
	if err != nil {
		return Error.Wrap(err)
	}
	replicaRole.environment.transport.Handle(group.Name, kindPropose, func(ctx context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
		return opened.replicator.Propose(ctx, body)
	})
	return nil
}

// machine returns the state machine of a group. The machines of other data centres' groups, for which
// this VM only votes and stores, are private to their replica.
func (replicaRole *replicaRole) machine(group scheduler.GroupName) (scheduler.StateMachine, error) {
	if group == scheduler.GlobalGroup {
		return multiplexer.New(multiplexer.WithMachine(machineConfiguration, replicaRole.global))
	}
	local, jobs, keys := replicaRole.local, replicaRole.jobs, replicaRole.keys
	if group != replicaRole.environment.homeGroup() {
		local, jobs, keys = configurator.NewLocal(), dispatcher.NewMachine(group), deduplicator.NewMachine()
	}
	return multiplexer.New(
		multiplexer.WithMachine(machineConfiguration, local),
		multiplexer.WithMachine(machineDispatcher, jobs),
		multiplexer.WithMachine(machineKeys, keys),
	)
}

// firstMembers returns the voter set with which a group begins.
func firstMembers(group loader.Group) []replicator.Member {
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
		converted.Incarnation = firstIncarnation
	}
	return converted
}

func ownMember(group loader.Group, vm scheduler.VMName) replicator.Member {
	member, _ := group.Member(vm)
	return toMember(member)
}

// Start starts the replicas and reads the configuration in force in the background, because a VM may
// have to wait for others before its group has a majority.
func (replicaRole *replicaRole) Start(context.Context) error {
	for name, replica := range replicaRole.replicas {
		if err := replica.replicator.Start(); err != nil {
			return Error.New("group %s: %v", name, err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	replicaRole.cancel = cancel
	replicaRole.workers.Go(func() { replicaRole.awaitConfiguration(ctx) })
	replicaRole.workers.Go(func() { replicaRole.watch(ctx) })
	if replicaRole.recorder != nil {
		replicaRole.workers.Go(func() {
			replicaRole.recorder.run(ctx, replicaRole.environment.homeGroup(), replicaRole.global, replicaRole.jobs)
		})
	}
	return nil
}

func (replicaRole *replicaRole) awaitConfiguration(ctx context.Context) {
	home := replicaRole.member(replicaRole.environment.homeGroup(), machineConfiguration)
	for ctx.Err() == nil {
		err := replicaRole.local.AwaitReady(ctx, home)
		if err == nil {
			revision, _, _ := replicaRole.local.InForce()
			replicaRole.environment.log.Info().Str("event", "configurationRead").Uint64("revision", uint64(revision)).
				Msg("configuration in force read from the data centre's group")
			return
		}
		replicaRole.environment.log.Debug().Str("event", "configurationNotRead").Err(err).Msg("no majority answers yet")
		waiter.Sleep(ctx, readyRetryPause)
	}
}

// watch logs the failure of a replica, for example of its disk.
func (replicaRole *replicaRole) watch(ctx context.Context) {
	for name, replica := range replicaRole.replicas {
		replicaRole.workers.Go(func() {
			select {
			case <-ctx.Done():
			case <-replica.replicator.Stopped():
				replicaRole.environment.log.Error().Str("event", "replicaFailed").Str("group", string(name)).
					Err(replica.replicator.Err()).Msg("this VM has left the group")
			}
		})
	}
}

// err returns the failure of the home group's replica, nil while it works.
func (replicaRole *replicaRole) err() error {
	if err := replicaRole.replicas[replicaRole.environment.homeGroup()].replicator.Err(); err != nil {
		return Error.New("the replica of group %s has failed: %v", replicaRole.environment.homeGroup(), err)
	}
	return nil
}

// member returns a group as one of its state machines sees it, nil when this VM is not a member.
func (replicaRole *replicaRole) member(group scheduler.GroupName, machine string) *multiplexer.Member {
	replica := replicaRole.replicas[group]
	if replica == nil {
		return nil
	}
	return multiplexer.NewMember(replica.replicator, machine)
}

// Stop hands leadership on, ends the replicas and closes their journals.
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
	replicaRole.workers.Wait()
	group.Add(replicaRole.close())
	return group.Err()
}

func (replicaRole *replicaRole) close() error {
	var group errs.Group
	for _, replica := range replicaRole.replicas {
		group.Add(Error.Wrap(replica.journal.Close()))
	}
	if replicaRole.recorder != nil {
		group.Add(Error.Wrap(replicaRole.recorder.trail.Close()))
	}
	return group.Err()
}
