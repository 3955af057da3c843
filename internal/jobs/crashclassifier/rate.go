package crashclassifier

import (
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
	// maxOpenCrashes bounds the crashes of which suspects remain. The oldest ones are dropped.
	maxOpenCrashes = 500
	// rateMemory is how long a crash without a cause among the tasks counts.
	rateMemory = 10 * time.Minute
)

// Rate learns how often the workers of a pool crash for other reasons than their tasks. A crash counts with the probability that
// none of the tasks that it made suspects is its cause: fully once all of them have been cleared, and not at all if one of them was
// given up.
type Rate struct {
	since time.Duration
	// open holds the crashes of which a suspect has not been cleared, in the order in which they were added, and suspects holds those
	// of each suspect.
	open     []*openCrash
	suspects map[scheduler.StepTaskID][]*openCrash
	// causeless holds the times of the crashes of which all suspects have been cleared, in any order.
	causeless []time.Duration
}

// openCrash is a crash with the suspects that have not been cleared.
type openCrash struct {
	at       time.Duration
	suspects map[scheduler.StepTaskID]bool
}

// NewRate returns a Rate that observes from the given time on.
func NewRate(now time.Duration) *Rate {
	return &Rate{since: now, suspects: map[scheduler.StepTaskID][]*openCrash{}}
}

// AddCrash adds a crash with the tasks that may have caused it.
func (rate *Rate) AddCrash(at time.Duration, suspects []scheduler.StepTaskID) {
	if len(suspects) == 0 {
		rate.causeless = append(rate.causeless, at)
		return
	}
	crash := &openCrash{at: at, suspects: map[scheduler.StepTaskID]bool{}}
	for _, suspect := range suspects {
		crash.suspects[suspect] = true
		rate.suspects[suspect] = append(rate.suspects[suspect], crash)
	}
	rate.open = append(rate.open, crash)
	if len(rate.open) > maxOpenCrashes {
		oldest := rate.open[0]
		rate.drop(func(crash *openCrash) bool { return crash == oldest })
	}
}

// Clear removes a task that has caused none of the crashes, because an attempt of it has finished or survived.
func (rate *Rate) Clear(task scheduler.StepTaskID) {
	crashes := rate.suspects[task]
	if len(crashes) == 0 {
		return
	}
	delete(rate.suspects, task)
	for _, crash := range crashes {
		delete(crash.suspects, task)
		if len(crash.suspects) == 0 {
			rate.causeless = append(rate.causeless, crash.at)
		}
	}
	rate.drop(func(crash *openCrash) bool { return len(crash.suspects) == 0 })
}

// Explain drops the crashes of which a task of the job, which was given up, was a suspect.
func (rate *Rate) Explain(job scheduler.JobID) {
	explained := map[*openCrash]bool{}
	for task, crashes := range rate.suspects {
		if task.Job != job {
			continue
		}
		for _, crash := range crashes {
			explained[crash] = true
		}
	}
	rate.drop(func(crash *openCrash) bool { return explained[crash] })
}

// drop removes open crashes, also from those of their suspects.
func (rate *Rate) drop(isDropped func(crash *openCrash) bool) {
	kept := rate.open[:0]
	for _, crash := range rate.open {
		if !isDropped(crash) {
			kept = append(kept, crash)
			continue
		}
		for suspect := range crash.suspects {
			rate.forget(suspect, crash)
		}
	}
	clear(rate.open[len(kept):])
	rate.open = kept
}

// forget removes a dropped crash from those of a suspect.
func (rate *Rate) forget(suspect scheduler.StepTaskID, dropped *openCrash) {
	others := slices.DeleteFunc(rate.suspects[suspect], func(crash *openCrash) bool { return crash == dropped })
	if len(others) == 0 {
		delete(rate.suspects, suspect)
		return
	}
	rate.suspects[suspect] = others
}

// PerSecond returns the crashes of a worker in a second. workers is the number of workers of the pool, evidence the present evidence
// against a suspect.
func (rate *Rate) PerSecond(now time.Duration, workers int, evidence func(task scheduler.StepTaskID) Evidence) float64 {
	rate.causeless = slices.DeleteFunc(rate.causeless, func(at time.Duration) bool { return now-at > rateMemory })
	rate.drop(func(crash *openCrash) bool { return now-crash.at > unresolvedTime })
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
	for _, crash := range rate.open {
		count(crash.at, crash.causelessChance(evidence))
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
