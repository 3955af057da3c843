package overseer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/jobs/crashclassifier"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// crashRate returns the crash rate of a pool. The mutex must be held.
func (leadership *leadership) crashRate(pool scheduler.PoolName) *crashclassifier.Rate {
	rates := leadership.crashes.rates
	if rates[pool] == nil {
		rates[pool] = crashclassifier.NewRate(leadership.startedAt)
	}
	return rates[pool]
}

// crashRateInterval is how often the rates are computed at most, because many workers may crash at once.
const crashRateInterval = 250 * time.Millisecond

// crashesPerSecond returns how often a worker of a pool crashes in a second for other reasons than its tasks. The mutex must be held.
func (leadership *leadership) crashesPerSecond(pool scheduler.PoolName, workers int) float64 {
	crashes, now := &leadership.crashes, leadership.now()
	if now-crashes.ratesAt >= crashRateInterval {
		crashes.ratesAt, crashes.perSecond = now, map[scheduler.PoolName]float64{}
	}
	perSecond, known := crashes.perSecond[pool]
	if !known {
		perSecond = leadership.crashRate(pool).PerSecond(now, workers, leadership.taskEvidence)
		crashes.perSecond[pool] = perSecond
	}
	return perSecond
}

// recordAges records how old the blamed attempts on a crashed worker were. The mutex must be held.
func (leadership *leadership) recordAges(instance *worker, decision crashclassifier.Decision) {
	for id, attempt := range instance.attempts {
		blamed := !attempt.recordingEnd && decision.Kind(id) != scheduler.EndLost
		if blamed && attempt.times.acceptedAt > 0 && !attempt.adopted {
			leadership.crashes.ages[id.Task] = max(instance.failingSince-attempt.times.acceptedAt, 1)
		}
	}
}

// taskEvidence returns the evidence that a task crashes its workers.
func (leadership *leadership) taskEvidence(id scheduler.StepTaskID) (evidence crashclassifier.Evidence) {
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		if task, found := state.Task(id); found {
			evidence = task.Evidence()
		}
	})
	return evidence
}

// evidenceOf returns the evidence of crashes against the attempts of items, for the command that records how they end.
func evidenceOf[T any](leadership *leadership, items []T, runOf func(item *T) scheduler.RunID) []jobkeeper.RunEvidence {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	if len(leadership.crashes.evidence) == 0 {
		return nil
	}
	var list []jobkeeper.RunEvidence
	for position := range items {
		run := runOf(&items[position])
		if evidence, found := leadership.crashes.evidence[run]; found {
			list = append(list, jobkeeper.RunEvidence{Run: run, Evidence: evidence})
		}
	}
	return list
}

func runOfEnd(end *jobkeeper.End) scheduler.RunID { return end.Run }

func runOfMark(mark *jobkeeper.Mark) scheduler.RunID { return mark.Run }

// observeCrashSuspects learns from the end of an attempt whether its task has caused crashes. The mutex must be held.
func (leadership *leadership) observeCrashSuspects(end *jobkeeper.End) {
	delete(leadership.crashes.evidence, end.Run)
	if end.Kind != scheduler.EndFinished || len(leadership.crashes.rates) == 0 {
		return
	}
	for _, task := range leadership.finishedWith(end.Run.Task) {
		leadership.clearCrashSuspect(task)
	}
}

// finishedWith returns the tasks that have finished with one: all members of a gang have. None has if the result came too late.
func (leadership *leadership) finishedWith(id scheduler.StepTaskID) []scheduler.StepTaskID {
	tasks := []scheduler.StepTaskID{id}
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		task, found := state.Task(id)
		switch {
		case !found: // Its job has ended.
		case !task.Finished():
			tasks = nil
		case task.Step().Spec().Gang:
			tasks = nil
			for _, member := range task.Step().Tasks() {
				tasks = append(tasks, member.ID())
			}
		}
	})
	return tasks
}

// clearCrashSuspect clears a task of the crashes of which it was a suspect. The mutex must be held.
func (leadership *leadership) clearCrashSuspect(task scheduler.StepTaskID) {
	for _, rate := range leadership.crashes.rates {
		rate.Clear(task)
	}
	delete(leadership.crashes.ages, task)
}

// forgetCrashSuspects drops what is known of the tasks of a job that has ended. givenUp is true if one of them has caused the
// crashes of which it was a suspect. The mutex must be held.
func (leadership *leadership) forgetCrashSuspects(job scheduler.JobID, givenUp bool) {
	maps.DeleteFunc(leadership.crashes.ages, func(task scheduler.StepTaskID, _ time.Duration) bool { return task.Job == job })
	if !givenUp {
		return
	}
	for _, rate := range leadership.crashes.rates {
		rate.Explain(job)
	}
}

// maxLoggedEvidence bounds the attempts in the log line of a crash.
const maxLoggedEvidence = 8

// evidenceDict returns the strongest evidence of a crash by attempt.
func evidenceDict(decision crashclassifier.Decision) *zerolog.Event {
	evidence, dict := decision.Evidence(), zerolog.Dict()
	runs := slices.SortedFunc(maps.Keys(evidence), func(a, b scheduler.RunID) int {
		return cmp.Or(cmp.Compare(evidence[b], evidence[a]), cmp.Compare(a.String(), b.String()))
	})
	for _, run := range runs[:min(len(runs), maxLoggedEvidence)] {
		dict.Int(run.String(), int(evidence[run]))
	}
	return dict
}

func tasksOf(runs []scheduler.RunID) []scheduler.StepTaskID {
	tasks := make([]scheduler.StepTaskID, len(runs))
	for position := range runs {
		tasks[position] = runs[position].Task
	}
	return tasks
}
