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

// attempt is the state of a running attempt. Times are readings of the worker's clock.
type attempt struct {
	execution             *Execution
	spec                  scheduler.TaskSpec
	renewedAt             time.Duration
	leaseEnd              time.Duration
	urgentCheckpointTaken bool
	stopAt                time.Duration
	throttled             bool
	checkpointCount       uint32
	nextCheckpoint        time.Duration
	lastStep              time.Duration
	startedAt             time.Duration
}

// start begins a new attempt, unless the worker has already received this lease or a higher one for the task.
func (worker *Worker) start(command scheduler.WorkerCommand, sent, duration time.Duration) {
	if _, refused := worker.refusedLeases[command.Lease]; refused || command.Lease <= worker.highestLeases[command.Task] || command.Spec == nil {
		return
	}
	worker.highestLeases[command.Task] = command.Lease
	now := worker.now()
	execution := &Execution{
		Lease: command.Lease, Task: command.Task, Attempt: command.Attempt, Worker: worker.name,
		Request: command.Spec.Request, StartProgress: ParseCheckpoint(command.Checkpoint), FirstEffect: time.Now(), LastEffect: time.Now(),
	}
	execution.Progress, execution.SavedProgress = execution.StartProgress, execution.StartProgress
	worker.executions = append(worker.executions, execution)
	worker.attempts[command.Lease] = &attempt{
		execution: execution, spec: *command.Spec, renewedAt: sent, leaseEnd: sent + duration,
		lastStep: now, startedAt: now, nextCheckpoint: now + worker.checkpointPeriod,
	}
	if kind := worker.faults.FailKind; worker.faults.FailStarts || kind != "" && kind == command.Spec.Kind {
		worker.end(worker.attempts[command.Lease], scheduler.AttemptFailed, "exit status 1")
	}
}

// step advances all attempts by one period. Leases are checked first, so that an attempt whose lease has
// expired has no further effect.
func (worker *Worker) step() {
	worker.mutex.Lock()
	defer worker.mutex.Unlock()
	if worker.faults.Frozen {
		return
	}
	now := worker.now()
	if worker.crashes(now) {
		worker.loseAttempts()
		worker.downUntil = now + crashDowntime
		return
	}
	worker.stopExpired(now)
	for _, lease := range slices.Sorted(maps.Keys(worker.attempts)) {
		worker.advance(worker.attempts[lease], now)
	}
	worker.closeUsageInterval(now)
}

// crashes reports whether an attempt makes the worker crash now.
func (worker *Worker) crashes(now time.Duration) bool {
	kind := worker.faults.CrashKind
	for _, lease := range slices.Sorted(maps.Keys(worker.attempts)) {
		attempt := worker.attempts[lease]
		if kind != "" && attempt.spec.Kind == kind && now-attempt.startedAt >= worker.faults.CrashAfter {
			attempt.execution.CrashedWorker = true
			return true
		}
	}
	return false
}

// stopExpired ends the attempts whose leases have expired by the worker's clock. They have had no effect since
// the previous step.
func (worker *Worker) stopExpired(now time.Duration) {
	for _, lease := range slices.Sorted(maps.Keys(worker.attempts)) {
		if attempt := worker.attempts[lease]; now >= attempt.leaseEnd && !worker.faults.IgnoreLeases {
			worker.end(attempt, scheduler.AttemptStopped, "lease not renewed")
		}
	}
}

func (worker *Worker) advance(attempt *attempt, now time.Duration) {
	// A task makes no progress while the worker is frozen, so the progress of a step is capped at twice its period.
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
	case now-attempt.renewedAt >= urgentCheckpointAge && !attempt.urgentCheckpointTaken:
		attempt.urgentCheckpointTaken = true
		worker.takeCheckpoint(attempt)
	case worker.checkpointPeriod > 0 && now >= attempt.nextCheckpoint:
		attempt.nextCheckpoint = now + worker.checkpointPeriod
		worker.takeCheckpoint(attempt)
	}
}

func (worker *Worker) takeCheckpoint(attempt *attempt) {
	execution := attempt.execution
	execution.SavedProgress = execution.Progress
	attempt.checkpointCount++
	worker.pendingCheckpoints = append(worker.pendingCheckpoints, scheduler.Checkpoint{
		Lease: execution.Lease, Number: attempt.checkpointCount, Name: formatCheckpoint(execution),
	})
}

func (worker *Worker) end(attempt *attempt, outcome scheduler.AttemptOutcome, message string) {
	execution := attempt.execution
	execution.Outcome = outcome
	now := worker.now()
	if usage := worker.usageOf(attempt, now); usage.report.Interval > 0 {
		worker.endedUsage = append(worker.endedUsage, usage)
	}
	delete(worker.attempts, execution.Lease)
	ended := scheduler.EndedAttempt{Lease: execution.Lease, Outcome: outcome, Message: message}
	if execution.SavedProgress > 0 {
		ended.Checkpoint = formatCheckpoint(execution)
	}
	worker.endedAttempts[execution.Lease] = ended
}

func formatCheckpoint(execution *Execution) string {
	return fmt.Sprintf("%s@%d", execution.Task, execution.SavedProgress.Milliseconds())
}

// ParseCheckpoint returns the progress stored in the name of an emulated task's checkpoint, or 0 if there is none.
func ParseCheckpoint(name string) time.Duration {
	milliseconds, err := strconv.ParseInt(name[strings.LastIndexByte(name, '@')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}
