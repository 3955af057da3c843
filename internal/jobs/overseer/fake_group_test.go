package overseer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fakeGroup is the view of one VM on a group whose state machine all VMs share, so that a committed command is
// applied everywhere at once.
type fakeGroup struct {
	domain *fakeDomain
	number int
}

// fakeDomain is the whole group. At most one VM leads at a time.
type fakeDomain struct {
	mutex  sync.Mutex
	random *rand.Rand
	keeper *jobkeeper.Keeper
	leader atomic.Int32
	term   atomic.Uint64
	index  scheduler.Index
	// proposalDelay is added to the duration of each proposal of a leadership.
	proposalDelay time.Duration
	// stalledUntil is the time until which the process of each VM is stalled, see HoldsLeaderLease.
	stalledUntil [simulationVMs]time.Time
	// earlierBuild is the VM of an earlier build, which records no beginnings, or noLeader if there is none.
	earlierBuild int
	electedAt    time.Time
}

const noLeader = -1

// maxFakeCommandBytes is the limit of the replicator.
const maxFakeCommandBytes = 1 << 20

func (group *fakeGroup) Name() scheduler.GroupName { return "domain" }

func (group *fakeGroup) Propose(ctx context.Context, command []byte) ([]byte, error) {
	domain := group.domain
	if len(command) > maxFakeCommandBytes {
		return nil, scheduler.ErrNotRun.New("command of %d bytes exceeds the limit", len(command))
	}
	domain.mutex.Lock()
	delay := domain.proposalDelay + time.Duration(domain.random.Int64N(int64(30*time.Millisecond)))
	domain.mutex.Unlock()
	term := domain.term.Load()
	select {
	case <-ctx.Done():
		return nil, scheduler.ErrNotRun.Wrap(ctx.Err())
	case <-time.After(delay):
	}
	domain.mutex.Lock()
	defer domain.mutex.Unlock()
	if int(domain.leader.Load()) != group.number || domain.term.Load() != term {
		if domain.leader.Load() == noLeader || domain.random.IntN(2) == 0 || ctx.Err() != nil {
			return nil, scheduler.ErrOutcomeUnknown.New("the leader has changed")
		}
		// The group forwards a proposal that has not run to the new leader.
	}
	if group.number == domain.earlierBuild {
		command = withoutBeginnings(command)
	}
	domain.index++
	result := domain.keeper.Apply(domain.index, command)
	if domain.random.IntN(50) == 0 {
		return nil, scheduler.ErrOutcomeUnknown.New("the response was lost")
	}
	return result, nil
}

// withoutBeginnings returns a command as an earlier build would have encoded it.
func withoutBeginnings(data []byte) []byte {
	var command jobkeeper.Command
	if err := encoder.Unmarshal(data, &command); err != nil {
		panic(err)
	}
	command.Begun = nil
	data, err := command.Encode()
	if err != nil {
		panic(err)
	}
	return data
}

func (group *fakeGroup) ReadBarrier(context.Context) error { return nil }

func (group *fakeGroup) Status() scheduler.GroupStatus {
	role := scheduler.GroupFollower
	if group.HoldsLeaderLease() {
		role = scheduler.GroupLeader
	}
	return scheduler.NewGroupStatus(role, scheduler.Term(group.domain.term.Load()), "", 0, 0, nil)
}

// HoldsLeaderLease returns the state at the time of the call. In a stalled process the result arrives late, so the
// caller may act on a lease that another VM has taken over in the meantime.
func (group *fakeGroup) HoldsLeaderLease() bool {
	held := int(group.domain.leader.Load()) == group.number
	group.domain.mutex.Lock()
	stalled := time.Until(group.domain.stalledUntil[group.number])
	group.domain.mutex.Unlock()
	if held && stalled > 0 {
		time.Sleep(stalled)
	}
	return held
}

// stall stalls the process of the leader. Another VM takes over after one second.
func (domain *fakeDomain) stall(duration time.Duration, next int) {
	leader := int(domain.leader.Load())
	if leader == noLeader {
		return
	}
	domain.mutex.Lock()
	domain.stalledUntil[leader] = time.Now().Add(duration)
	domain.mutex.Unlock()
	time.Sleep(time.Second)
	domain.elect(next)
}

// elect makes a VM the leader of a new term.
func (domain *fakeDomain) elect(number int) {
	domain.mutex.Lock()
	defer domain.mutex.Unlock()
	domain.leader.Store(noLeader)
	domain.term.Add(1)
	domain.keeper.ObserveTerm(scheduler.Term(domain.term.Load()))
	domain.leader.Store(int32(number))
	domain.electedAt = time.Now()
}

// lastDisruption returns when the latest election or stall ended, or will end.
func (domain *fakeDomain) lastDisruption() time.Time {
	domain.mutex.Lock()
	defer domain.mutex.Unlock()
	last := domain.electedAt
	for _, until := range domain.stalledUntil {
		if until.After(last) {
			last = until
		}
	}
	return last
}
