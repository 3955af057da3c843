package overseer

import (
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/stallmeter"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// ErrHangs means that a goroutine of a former leadership does not end. This VM must not lead beside it, because an order
// that the goroutine still sends would carry the same fencing token if the VM led again in the same term.
var ErrHangs = Error.New("a former leadership does not end")

const (
	// formerLeadershipGrace is the time within which the goroutines of a leadership end, since each of their waits ends with
	// its context. It is a small part of the lease of a worker.
	formerLeadershipGrace = 500 * time.Millisecond
	// formerLeadershipLimit is the time after which the VM is taken to be unable to lead again.
	formerLeadershipLimit = 15 * time.Second
	// formerLeadershipCheck is the interval at which the time without an end is measured.
	formerLeadershipCheck = 50 * time.Millisecond
	// maxStackBytes bounds the stacks in a log line.
	maxStackBytes = 16 << 10
)

// noCandidacy is the Candidacy of a VM that cannot withdraw.
type noCandidacy struct{}

func (noCandidacy) Withdraw(string) {}

func (noCandidacy) Restore() {}

// awaitEnd waits until the goroutines of a former leadership have ended, and then resets the gauges that they set. If that
// takes longer than formerLeadershipGrace, this VM does not stand for election meanwhile; otherwise it might lead the group and
// serve nobody. After formerLeadershipLimit it returns ErrHangs.
func (overseer *Overseer) awaitEnd(former *leadership) error {
	ended := former.goroutines.BeginClose()
	ticker := time.NewTicker(formerLeadershipCheck)
	defer ticker.Stop()
	meter := stallmeter.New(formerLeadershipCheck)
	for withdrawn := false; ; {
		select {
		case <-ended:
			overseer.metrics.resetGauges()
			if withdrawn && former.progress.suspected.Load() == nil {
				overseer.candidacy.Restore()
			}
			return nil
		case <-ticker.C:
		}
		stood := meter.Observe(overseer.clock.Elapsed(), false)
		if stood > formerLeadershipGrace && !withdrawn {
			withdrawn = true
			overseer.withdraw("formerLeadershipHangs", former, ErrHangs.Error())
		}
		if stood > formerLeadershipLimit {
			return ErrHangs
		}
	}
}

// withdraw withdraws this VM from leading, and logs what the goroutines of the leadership are waiting for.
func (overseer *Overseer) withdraw(event string, leadership *leadership, reason string) {
	overseer.metrics.withdrawals.Inc(1)
	overseer.candidacy.Withdraw(reason)
	overseer.logger.Error().Str("event", event).Uint64("term", uint64(leadership.term)).Str("reason", reason).
		Str("stacks", leadershipStacks()).Msg("this VM withdraws from leading, because a part that a leader needs stands still")
}

// stackNames are parts of function names that identify the stacks of leaderships and of what they wait for.
var stackNames = []string{"jobs/overseer", "jobs/jobkeeper", "runner.(*Runner)"}

// leadershipStacks returns the stacks of the goroutines of leaderships, at most maxStackBytes of them.
func leadershipStacks() string {
	buffer := make([]byte, 4<<20)
	var stacks strings.Builder
	for stack := range strings.SplitSeq(string(buffer[:runtime.Stack(buffer, true)]), "\n\n") {
		isInStack := func(name string) bool { return strings.Contains(stack, name) }
		if slices.ContainsFunc(stackNames, isInStack) && stacks.Len()+len(stack) <= maxStackBytes {
			stacks.WriteString(stack + "\n\n")
		}
	}
	return stacks.String()
}

var _ scheduler.Candidacy = noCandidacy{}
