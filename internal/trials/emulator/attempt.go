package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// attempt is an attempt that runs. Times are by the worker's clock.
type attempt struct {
	execution  *Execution
	spec       scheduler.TaskSpec
	renewed    time.Duration
	leaseEnd   time.Duration
	urgentSave bool
	stopAt     time.Duration
	throttled  bool
	saves      uint32
	nextSave   time.Duration
	lastStep   time.Duration
	started    time.Duration
}

// start runs a new attempt, unless the worker has had this lease or a higher one of the task.
func (worker *Worker) start(command scheduler.WorkerCommand, sent, duration time.Duration) {
	if _, refused := worker.refused[command.Lease]; refused || command.Lease <= worker.highest[command.Task] || command.Spec == nil {
		return
	}
	worker.highest[command.Task] = command.Lease
	now := worker.now()
	execution := &Execution{
		Lease: command.Lease, Task: command.Task, Attempt: command.Attempt, Worker: worker.name,
		Request: command.Spec.Request, StartProgress: ParseCheckpoint(command.Checkpoint), FirstEffect: time.Now(), LastEffect: time.Now(),
	}
	execution.Progress, execution.SavedProgress = execution.StartProgress, execution.StartProgress
	worker.executions = append(worker.executions, execution)
	worker.attempts[command.Lease] = &attempt{
		execution: execution, spec: *command.Spec, renewed: sent, leaseEnd: sent + duration,
		lastStep: now, started: now, nextSave: now + worker.saveEach,
	}
	if kind := worker.faults.FailKind; worker.faults.FailStarts || kind != "" && kind == command.Spec.Kind {
		worker.end(worker.attempts[command.Lease], scheduler.AttemptFailed, "exit status 1")
	}
}

// step checks the lease of every attempt before it has a further effect.
func (worker *Worker) step() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.faults.Frozen {
		return
	}
	now := worker.now()
	worker.endUnrenewed(now)
	for _, lease := range slices.Sorted(maps.Keys(worker.attempts)) {
		worker.advance(worker.attempts[lease], now)
	}
	worker.measure(now)
}

// endUnrenewed ends the attempts whose leases have run out by the worker's clock. They have had no
// effect since the last step.
func (worker *Worker) endUnrenewed(now time.Duration) {
	for _, lease := range slices.Sorted(maps.Keys(worker.attempts)) {
		if attempt := worker.attempts[lease]; now >= attempt.leaseEnd && !worker.faults.IgnoreLeases {
			worker.end(attempt, scheduler.AttemptStopped, "lease not renewed")
		}
	}
}

func (worker *Worker) advance(attempt *attempt, now time.Duration) {
	// A frozen task makes no progress, so a step counts for little more than its period.
	progress := min(now-attempt.lastStep, 2*stepPeriod)
	attempt.lastStep = now
	if attempt.throttled {
		progress /= 2
	}
	execution := attempt.execution
	execution.LastEffect = time.Now()
	execution.Progress += progress
	switch {
	case attempt.spec.RunTime > 0 && execution.Progress >= attempt.spec.RunTime:
		worker.end(attempt, scheduler.AttemptFinished, "")
		return
	case attempt.stopAt != 0 && now >= attempt.stopAt:
		execution.SavedProgress = execution.Progress
		worker.end(attempt, scheduler.AttemptStopped, "")
		return
	case now-attempt.renewed >= saveAt && !attempt.urgentSave:
		attempt.urgentSave = true
		worker.save(attempt)
	case worker.saveEach > 0 && now >= attempt.nextSave:
		attempt.nextSave = now + worker.saveEach
		worker.save(attempt)
	}
}

func (worker *Worker) save(attempt *attempt) {
	execution := attempt.execution
	execution.SavedProgress = execution.Progress
	attempt.saves++
	worker.saved = append(worker.saved, scheduler.Checkpoint{
		Lease: execution.Lease, Number: attempt.saves, Name: formatCheckpoint(execution),
	})
}

func (worker *Worker) end(attempt *attempt, outcome scheduler.AttemptOutcome, message string) {
	execution := attempt.execution
	execution.Outcome = outcome
	now := worker.now()
	if used := worker.used(attempt, now); used.report.Interval > 0 {
		worker.endedUsage = append(worker.endedUsage, used)
	}
	delete(worker.attempts, execution.Lease)
	ended := scheduler.EndedAttempt{Lease: execution.Lease, Outcome: outcome, Message: message}
	if execution.SavedProgress > 0 {
		ended.Checkpoint = formatCheckpoint(execution)
	}
	worker.ended[execution.Lease] = ended
}

func formatCheckpoint(execution *Execution) string {
	return fmt.Sprintf("%s@%d", execution.Task, execution.SavedProgress.Milliseconds())
}

// ParseCheckpoint returns the progress that a checkpoint of an emulated task holds, 0 for none.
func ParseCheckpoint(name string) time.Duration {
	milliseconds, err := strconv.ParseInt(name[strings.LastIndexByte(name, '@')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}
