package harness

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gangWait is gangMs, the time for which a member of a gang waits for the others.
const gangWait = 3 * time.Second

// gangs holds the runs of gangs. Their members work from the moment when all of them are present, and end at the same
// moment. It is safe for concurrent use.
type gangs struct {
	mutex sync.Mutex
	runs  map[string]*gangRun
}

// gangRun is one run of a gang.
type gangRun struct {
	members map[string]*Runner
	// endsAt is when the work of the gang ends, zero until all members are present.
	endsAt time.Time
	// broken is true once a member has ended before that.
	broken bool
}

// gangKey identifies the run of a gang: members share the step and the number of the attempt.
func gangKey(run *Run) string {
	return fmt.Sprintf("%s#%d", run.Task[:strings.LastIndex(run.Task, ".")], run.Attempt)
}

// join adds a member that has begun on a runner.
func (gangs *gangs) join(run *Run, runner *Runner, size int, work time.Duration) {
	gangs.mutex.Lock()
	defer gangs.mutex.Unlock()
	gang := gangs.runs[gangKey(run)]
	if gang == nil {
		gang = &gangRun{members: map[string]*Runner{}}
		gangs.runs[gangKey(run)] = gang
	}
	gang.members[run.Task] = runner
	if len(gang.members) == size {
		gang.endsAt = time.Now().Add(work)
	}
}

// end returns how a member ends now, or an empty string if it works or waits on. A runner fails its members at the end of
// the work; members on other runners are broken by that.
func (gangs *gangs) end(run *Run, now time.Time) string {
	gangs.mutex.Lock()
	defer gangs.mutex.Unlock()
	gang := gangs.runs[gangKey(run)]
	switch {
	case gang.broken:
		return endBroken
	case gang.endsAt.IsZero() && now.Sub(run.Began) > gangWait:
		return endAlone
	case gang.endsAt.IsZero() || now.Before(gang.endsAt):
		return ""
	case gang.members[run.Task].fails(gang.endsAt):
		return endFailed
	}
	for _, runner := range gang.members {
		if runner.fails(gang.endsAt) {
			return endBroken
		}
	}
	return endDone
}

// leave records that a member has ended before the work of its gang.
func (gangs *gangs) leave(run *Run) {
	gangs.mutex.Lock()
	defer gangs.mutex.Unlock()
	gangs.runs[gangKey(run)].broken = true
}
