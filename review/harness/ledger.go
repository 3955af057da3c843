package harness

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Run is one run of a task on a runner.
type Run struct {
	Task    string
	Attempt uint32
	Runner  string
	// Began and Ended are the times of the run. Ended is zero while it goes on.
	Began, Ended time.Time
	// How is how the run ended, as the runner lists it, or "crashed".
	How string
	// Noted is true once the end was acknowledged by a renewal.
	Noted bool
	// lapsed is true if the lease of the runner lapsed after the end and before its acknowledgement. The end then does not
	// count as taken note of, for good.
	lapsed bool
}

// Ledger holds all runs that the runners have begun, and judges rule TWICE. It is safe for concurrent use.
type Ledger struct {
	recorder *Recorder
	mutex    sync.Mutex
	runs     map[string][]*Run
	breaks   []string
}

// NewLedger returns a Ledger without runs.
func NewLedger(recorder *Recorder) *Ledger {
	return &Ledger{recorder: recorder, runs: map[string][]*Run{}}
}

// begin records a run. Another run of the task that goes on breaks the rule. Runs of a runner that is down have ended.
func (ledger *Ledger) begin(run *Run) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.recorder.Printf("runner %s: begins %s run %d", run.Runner, run.Task, run.Attempt)
	for _, earlier := range ledger.runs[run.Task] {
		if earlier.Ended.IsZero() {
			ledger.addBreak("%s run %d begins on %s while run %d works on %s", run.Task, run.Attempt, run.Runner, earlier.Attempt, earlier.Runner)
		}
	}
	ledger.runs[run.Task] = append(ledger.runs[run.Task], run)
}

func (ledger *Ledger) addBreak(format string, arguments ...any) {
	text := fmt.Sprintf(format, arguments...)
	ledger.breaks = append(ledger.breaks, text)
	ledger.recorder.Printf("TWICE: %s", text)
}

func (ledger *Ledger) end(run *Run, how string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	run.Ended, run.How = time.Now(), how
	ledger.recorder.Printf("runner %s: ends %s run %d: %s", run.Runner, run.Task, run.Attempt, how)
}

func (ledger *Ledger) note(run *Run) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	run.Noted = run.Noted || !run.lapsed
}

func (ledger *Ledger) lapse(run *Run) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	run.lapsed = run.lapsed || !run.Noted
}

// Breaks returns how rule TWICE was broken: two runs of a task at the same time, or a start after a run that ended `done`
// and whose end was taken note of.
func (ledger *Ledger) Breaks() []string {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	breaks := append([]string{}, ledger.breaks...)
	for task, runs := range ledger.runs {
		for _, ended := range runs {
			for _, later := range runs {
				if ended.How == endDone && ended.Noted && later.Began.After(ended.Ended) {
					breaks = append(breaks, fmt.Sprintf("%s run %d begins on %s after run %d has ended done on %s, whose end was taken note of",
						task, later.Attempt, later.Runner, ended.Attempt, ended.Runner))
				}
			}
		}
	}
	return breaks
}

// Begun returns the number of tasks of which a run has begun.
func (ledger *Ledger) Begun() int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return len(ledger.runs)
}

// Progress returns how many tasks of a job have begun, how many of its runs go on, and how many have ended done.
func (ledger *Ledger) Progress(job string) (begun, working, done int) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	for task, runs := range ledger.runs {
		if !strings.HasPrefix(task, job+".") {
			continue
		}
		begun++
		for _, run := range runs {
			switch {
			case run.Ended.IsZero():
				working++
			case run.How == endDone:
				done++
			}
		}
	}
	return begun, working, done
}

// Ends returns how many runs ended in the given way.
func (ledger *Ledger) Ends(how string) int {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	count := 0
	for _, runs := range ledger.runs {
		for _, run := range runs {
			if run.How == how {
				count++
			}
		}
	}
	return count
}
