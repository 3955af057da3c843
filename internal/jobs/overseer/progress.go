package overseer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/progresswatcher"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// stateReadInterval is how often a leadership shows that its state can be read.
	stateReadInterval = 250 * time.Millisecond
	// stateLimitShare and renewalLimitShare are the limits of standstills, as fractions of the lease of a worker. The rest of
	// the lease suffices for another VM to take over, hear of the workers and renew.
	stateLimitShare   = 0.3
	renewalLimitShare = 0.15
	// minLimit is the smallest of these limits, for short leases. It is a multiple of stateReadInterval.
	minLimit = time.Second
	// planningLimit is the limit of the planning cycle. It is longer than a proposal that times out and the copies after it.
	planningLimit = 4 * proposeTimeout
	// renewalGrace is added to the timeout of a renewal before it counts as one that does not return.
	renewalGrace = 250 * time.Millisecond
	// minSuspicionBackoff is how long a VM does not lead after a suspicion, doubled with each recent one.
	minSuspicionBackoff = 5 * time.Second
	// maxLeaderless is the time without another leader after which the VM leads again all the same. An election takes less.
	maxLeaderless = 3 * time.Second
)

// progress is what a leadership has done. It is safe for concurrent use.
type progress struct {
	stateReads, plans atomic.Uint64
	renewalsOverdue   atomic.Bool
	// suspected is the part that stood still, or nil.
	suspected atomic.Pointer[progresswatcher.Part]
}

func (overseer *Overseer) newProgressWatcher() *progresswatcher.Watcher {
	share := func(fraction float64) time.Duration {
		return max(time.Duration(fraction*float64(overseer.leaseDuration)), minLimit)
	}
	return progresswatcher.New(progresswatcher.Limits{
		State: share(stateLimitShare), Renewals: share(renewalLimitShare), Planning: planningLimit,
	}, leaseCheckInterval)
}

// showProgress checks the renewals and reads the state again and again, and counts the reads, until the leadership ends.
func (leadership *leadership) showProgress() {
	for leadership.context.Err() == nil {
		leadership.progress.renewalsOverdue.Store(leadership.areRenewalsOverdue())
		leadership.overseer.keeper.View(func(*jobkeeper.State) {})
		leadership.progress.stateReads.Add(1)
		leadership.pause(stateReadInterval)
	}
}

// areRenewalsOverdue reports whether the renewals of most workers that have attempts and answer do not return.
func (leadership *leadership) areRenewalsOverdue() bool {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	now := leadership.now()
	inTime, overdue := 0, 0
	for _, instance := range leadership.instances {
		if !instance.renewing || len(instance.attempts) == 0 || instance.consecutiveFailures > 0 || instance.shuttingDown {
			continue
		}
		if instance.renewalDue > 0 && now > instance.renewalDue+renewalGrace {
			overdue++
		} else {
			inTime++
		}
	}
	return overdue > inTime
}

// watchProgress reports whether the leadership works. If not, this VM withdraws from leading.
func (overseer *Overseer) watchProgress(leadership *leadership) bool {
	progress := &leadership.progress
	part, suspected := overseer.watcher.Observe(overseer.clock.Elapsed(), progresswatcher.Record{
		StateReads: progress.stateReads.Load(), Plans: progress.plans.Load(),
		RenewalsOverdue: progress.renewalsOverdue.Load(), Acting: leadership.mayAct(),
	})
	if !suspected {
		return true
	}
	progress.suspected.Store(&part)
	overseer.withdraw("leadershipHangs", leadership, "a part of the leadership stands still: "+string(part))
	return false
}

// recoverFromSuspicion lets this VM lead again some time after a suspicion, so that another VM can take over. If none does,
// the VM leads again sooner. It returns early when ctx is done.
func (overseer *Overseer) recoverFromSuspicion(ctx context.Context) {
	defer overseer.candidacy.Restore()
	suspicions := overseer.watcher.RecentSuspicions(overseer.clock.Elapsed())
	leaderless := time.Duration(0)
	for left := minSuspicionBackoff << max(suspicions-1, 0); left > 0 && leaderless < maxLeaderless; left -= stateReadInterval {
		if !waiter.Sleep(ctx, stateReadInterval) {
			return
		}
		leaderless += stateReadInterval
		if status := overseer.group.Status(); status.Leader() != "" && status.Role() != scheduler.GroupLeader {
			leaderless = 0
		}
	}
}
