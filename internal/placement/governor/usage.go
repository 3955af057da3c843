package governor

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// intervalTolerance is how far the bounds of intervals in the same window may differ. The ages of the intervals
// are computed from the worker's clock, which is read at slightly different times.
const intervalTolerance = 200 * time.Millisecond

// window holds the usage of a worker's attempts in one interval.
type window struct {
	from, until time.Time
	usage       []scheduler.AttemptUsage
}

// HandleUsage processes the usage that a worker has reported in a sync request. It is passed to the engine as a
// handler and must be called only while this VM holds the leader lease.
func (governor *Governor) HandleUsage(worker scheduler.WorkerName, reported []scheduler.AttemptUsage) {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	governor.syncTerm()
	state, known := governor.leaseTable.states[worker]
	if !known {
		return
	}
	for _, window := range windows(time.Now(), reported) {
		governor.observe(state, window)
	}
	governor.estimateCache.invalidate()
}

// windows groups the usage by interval. The usage of an attempt that ran for only part of an interval is added to
// the window of that interval.
func windows(now time.Time, reported []scheduler.AttemptUsage) []window {
	var windows []window
	byLength := slices.SortedStableFunc(slices.Values(reported), func(a, b scheduler.AttemptUsage) int {
		return cmp.Compare(b.Interval, a.Interval)
	})
	for _, usage := range byLength {
		until := now.Add(-usage.Age)
		from := until.Add(-usage.Interval)
		i := slices.IndexFunc(windows, func(w window) bool {
			return !from.Before(w.from.Add(-intervalTolerance)) && !until.After(w.until.Add(intervalTolerance))
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

// observe passes the usage of one interval to the placer, the estimator and the controller. Intervals that contain
// an unknown attempt are ignored, because its interference would be attributed to the other attempts.
func (governor *Governor) observe(state scheduler.WorkerState, window window) {
	report := scheduler.UsageReport{Worker: state.Worker.Name, From: window.from, Until: window.until}
	measured := report
	for _, usage := range window.usage {
		entry := governor.leaseTable.leases[usage.Lease]
		if entry == nil || entry.worker != state.Worker.Name {
			governor.log.Debug().Str("event", "usageNotCredited").Uint64("lease", uint64(usage.Lease)).
				Str("worker", string(state.Worker.Name)).Msg("usage of a lease that is not known on this worker; interval ignored")
			return
		}
		task := scheduler.TaskUsage{
			Task: entry.task.Task, Kind: entry.task.Spec.Kind, Class: entry.task.Spec.Class,
			MilliCores: usage.Used.MilliCores, Latency: usage.Latency, Load: usage.Load,
		}
		if entry.endedAt.IsZero() {
			measured.Tasks = append(measured.Tasks, task)
		}
		// The services were affected by the average usage over the whole interval.
		fraction := float64(usage.Interval) / float64(window.until.Sub(window.from))
		task.MilliCores = int64(float64(task.MilliCores) * min(1, fraction))
		report.Tasks = append(report.Tasks, task)
	}
	governor.placer.Observe(measured)
	if err := governor.estimator.Observe(report, state.Worker.Capacity.MilliCores); err != nil {
		governor.log.Warn().Str("event", "usageRefused").Err(err).Str("worker", string(state.Worker.Name)).
			Msg("estimator rejected usage report")
		return
	}
	if !report.From.Before(governor.termStart) {
		governor.controller.Observe(report)
	}
}
