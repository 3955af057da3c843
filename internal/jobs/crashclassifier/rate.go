package crashclassifier

import (
	"maps"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// priorExposure is the time of a worker in which one crash is expected before any is observed.
	priorExposure = 10_000 * time.Second
	// recentWindow is the time over which a sudden rise of the rate shows. recentExposure is added to it, so that a single crash in
	// a small pool is no rise.
	recentWindow   = 15 * time.Second
	recentExposure = 300 * time.Second
	// unresolvedTime is how long a crash may stay unexplained before it is dropped. It exceeds SurvivalTime.
	unresolvedTime = 2 * time.Minute
	// rateMemory is how long a crash without a cause among the tasks counts.
	rateMemory = 10 * time.Minute
)

// Rate learns how often the workers of a pool crash for other reasons than their tasks. A crash counts with the probability that
// none of the tasks that it made suspects is its cause: fully once all of them have been cleared, and not at all if one of them was
// given up.
type Rate struct {
	since time.Duration
	open  []openCrash
	// causeless holds the times of the crashes that count, in any order.
	causeless []time.Duration
}

// openCrash is a crash of which a suspect has not been cleared.
type openCrash struct {
	at       time.Duration
	suspects map[scheduler.StepTaskID]bool
}

// NewRate returns a Rate that observes from the given time on.
func NewRate(now time.Duration) *Rate { return &Rate{since: now} }

// AddCrash adds a crash with the tasks that may have caused it.
func (rate *Rate) AddCrash(at time.Duration, suspects []scheduler.StepTaskID) {
	crash := openCrash{at: at, suspects: map[scheduler.StepTaskID]bool{}}
	for _, suspect := range suspects {
		crash.suspects[suspect] = true
	}
	rate.open = append(rate.open, crash)
	rate.resolve()
}

// Clear removes tasks that have caused none of the crashes, because an attempt of them has finished or survived.
func (rate *Rate) Clear(isCleared func(task scheduler.StepTaskID) bool) {
	for _, crash := range rate.open {
		maps.DeleteFunc(crash.suspects, func(task scheduler.StepTaskID, _ bool) bool { return isCleared(task) })
	}
	rate.resolve()
}

// Explain drops the crashes of which a task of the job, which was given up, was a suspect.
func (rate *Rate) Explain(job scheduler.JobID) {
	rate.open = slices.DeleteFunc(rate.open, func(crash openCrash) bool {
		for task := range crash.suspects {
			if task.Job == job {
				return true
			}
		}
		return false
	})
}

// resolve counts the crashes without suspects.
func (rate *Rate) resolve() {
	rate.open = slices.DeleteFunc(rate.open, func(crash openCrash) bool {
		if len(crash.suspects) > 0 {
			return false
		}
		rate.causeless = append(rate.causeless, crash.at)
		return true
	})
}

// PerSecond returns the crashes of a worker in a second. workers is the number of workers of the pool, evidence the present evidence
// against a suspect.
func (rate *Rate) PerSecond(now time.Duration, workers int, evidence func(task scheduler.StepTaskID) Evidence) float64 {
	rate.causeless = slices.DeleteFunc(rate.causeless, func(at time.Duration) bool { return now-at > rateMemory })
	rate.open = slices.DeleteFunc(rate.open, func(crash openCrash) bool { return now-crash.at > unresolvedTime })
	all, recent := 1.0, 0.0
	count := func(at time.Duration, chance float64) {
		all += chance
		if now-at <= recentWindow {
			recent += chance
		}
	}
	for _, at := range rate.causeless {
		count(at, 1)
	}
	for position := range rate.open {
		count(rate.open[position].at, rate.open[position].causelessChance(evidence))
	}
	observed := float64(workers) * min(now-rate.since, rateMemory).Seconds()
	average := all / (observed + priorExposure.Seconds())
	return max(average, recent/(float64(workers)*recentWindow.Seconds()+recentExposure.Seconds()))
}

// causelessChance returns the probability that none of the suspects has caused the crash.
func (openCrash *openCrash) causelessChance(evidence func(task scheduler.StepTaskID) Evidence) float64 {
	chance := 1.0
	for suspect := range openCrash.suspects {
		chance *= 1 - evidence(suspect).Probability()
	}
	return chance
}
