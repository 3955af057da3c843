package governor

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// slack is how far the intervals of one report may differ. Their ages are stated by the worker's clock,
// which reads the time at slightly different moments.
const slack = 200 * time.Millisecond

// window is the usage of a worker's attempts in one interval.
type window struct {
	from, until time.Time
	usage       []scheduler.AttemptUsage
}

// HandleUsage takes over the usage that a worker reported in an exchange. It has the type that the engine
// asks for and must be called only where the leader lease is held.
func (governor *Governor) HandleUsage(worker scheduler.WorkerName, reported []scheduler.AttemptUsage) {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	governor.follow()
	state, known := governor.ledger.states[worker]
	if !known {
		return
	}
	for _, window := range windows(time.Now(), reported) {
		governor.observe(state, window)
	}
	governor.harms.forget()
}

// windows groups the usage by interval. An attempt that ran during a part of an interval belongs to it.
func windows(now time.Time, reported []scheduler.AttemptUsage) []window {
	var windows []window
	byLength := slices.SortedStableFunc(slices.Values(reported), func(a, b scheduler.AttemptUsage) int {
		return cmp.Compare(b.Interval, a.Interval)
	})
	for _, usage := range byLength {
		until := now.Add(-usage.Age)
		from := until.Add(-usage.Interval)
		i := slices.IndexFunc(windows, func(w window) bool {
			return !from.Before(w.from.Add(-slack)) && !until.After(w.until.Add(slack))
		})
		if i < 0 {
			i = len(windows)
			windows = append(windows, window{from: from, until: until})
		}
		windows[i].usage = append(windows[i].usage, usage)
	}
	slices.SortStableFunc(windows, func(a, b window) int { return a.until.Compare(b.until) })
	return windows
}

// observe gives one interval to the parts. An interval in which an unknown attempt ran is left out,
// because its harm would be credited to the others.
func (governor *Governor) observe(state scheduler.WorkerState, window window) {
	report := scheduler.UsageReport{Worker: state.Worker.Name, From: window.from, Until: window.until}
	measured := report
	for _, usage := range window.usage {
		known := governor.ledger.leases[usage.Lease]
		if known == nil || known.worker != state.Worker.Name {
			governor.log.Debug().Str("event", "usageNotCredited").Uint64("lease", uint64(usage.Lease)).
				Str("worker", string(state.Worker.Name)).Msg("usage not credited")
			return
		}
		task := scheduler.TaskUsage{
			Task: known.task.Task, Kind: known.task.Spec.Kind, Class: known.task.Spec.Class,
			MilliCores: usage.Used.MilliCores, Latency: usage.Latency, Load: usage.Load,
		}
		if known.until.IsZero() {
			measured.Tasks = append(measured.Tasks, task)
		}
		// The average over the whole interval is what the services felt.
		part := float64(usage.Interval) / float64(window.until.Sub(window.from))
		task.MilliCores = int64(float64(task.MilliCores) * min(1, part))
		report.Tasks = append(report.Tasks, task)
	}
	governor.placer.Observe(measured)
	if err := governor.estimator.Observe(report, state.Worker.Capacity.MilliCores); err != nil {
		governor.log.Warn().Str("event", "usageRefused").Err(err).Str("worker", string(state.Worker.Name)).Msg("usage refused")
		return
	}
	if !report.From.Before(governor.since) {
		governor.controller.Observe(report)
	}
}
