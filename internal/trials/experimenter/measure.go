package experimenter

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// measure collects the figures of one run.
type measure struct {
	alone, shared *hdrhistogram.Histogram
	// otherWaits are the waits of batch tasks of all teams but team 0.
	otherWaits  []float64
	urgentWaits []float64

	useful, lost                                     float64
	started, evictions, throttles, failures, givenUp int
	completed, cancelled, jobs, jobsInTime           int
	pendingSum, throttledSum, rounds                 int
	// overfull counts worker steps with more memory reserved than the worker has.
	overfull int
	// extra holds figures that only some policies have.
	extra map[string]float64
}

func newMeasure() *measure {
	return &measure{
		extra:  map[string]float64{},
		alone:  hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		shared: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
}

func (m *measure) latency(alone, shared float64) {
	// Values beyond the range of the histogram would need a latency of over a minute.
	_ = m.alone.RecordValue(int64(alone / 1000))
	_ = m.shared.RecordValue(min(int64(shared/1000), int64(time.Minute/time.Microsecond)))
}

func (m *measure) waited(t *task, now time.Duration) {
	if t.job.class == scheduler.ClassLatencyCritical && t.waiting > rollout {
		m.urgentWaits = append(m.urgentWaits, (now - t.waiting).Seconds())
	}
	if t.job.class == scheduler.ClassBatch && t.job.team != "team0" {
		m.otherWaits = append(m.otherWaits, (now - t.waiting).Seconds())
	}
}

func (m *measure) jobDone(j *job, now, horizon time.Duration) {
	if now <= j.date && j.date <= horizon && j.cancelled == 0 && !j.failsAlways {
		m.jobsInTime++
	}
}

func (m *measure) sample(w *world) {
	m.rounds++
	m.pendingSum += len(w.pending)
	for _, v := range w.vms {
		var memory int64
		for _, t := range v.tasks {
			memory += t.job.request.MemoryBytes
			if t.throttled {
				m.throttledSum++
			}
		}
		if memory > v.worker.Capacity.MemoryBytes {
			m.overfull++
		}
	}
}

// finish adds up what is known only at the end of a run.
func (w *world) finish() {
	if w.policy.closing != nil {
		w.policy.closing(w)
	}
	// A task that never started has waited until the end of the run.
	for _, t := range w.pending {
		w.measure.waited(t, w.horizon)
	}
	for _, j := range w.submitted {
		tasks := w.jobs[j.id]
		if j.class != scheduler.ClassBatch {
			continue
		}
		for _, t := range tasks {
			w.measure.useful += t.done.Seconds() * j.cores
		}
		if j.date <= w.horizon && j.cancelled == 0 && !j.failsAlways {
			w.measure.jobs++
		}
	}
}

// Names of the metrics in results.
const (
	metricP50        = "p50LatencyMs"
	metricP99        = "p99LatencyMs"
	metricP999       = "p999LatencyMs"
	metricHarmP50    = "p50Harm"
	metricHarmP99    = "p99Harm"
	metricHarmP999   = "p999Harm"
	metricThroughput = "batchCores"
	metricCompleted  = "tasksCompleted"
	metricInTime     = "jobsInTime"
	metricEvictions  = "evictions"
	metricLost       = "lostCoreHours"
	metricThrottles  = "throttles"
	metricThrottled  = "meanThrottled"
	metricFailures   = "failures"
	metricPending    = "meanPending"
	metricUrgentP99  = "p99UrgentWaitSeconds"
	metricOverfull   = "overfullWorkerSteps"
	metricOtherWait  = "p99OtherTeamsWaitSeconds"
	metricGivenUp    = "tasksGivenUp"
)

// metrics returns the figures by name. Harm is the relative rise of a latency percentile over the
// same percentile of the same samples without neighbours.
func (m *measure) metrics() map[string]float64 {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	harm := func(q float64) float64 { return ms(m.shared, q)/ms(m.alone, q) - 1 }
	rounds := float64(max(1, m.rounds))
	got := map[string]float64{
		metricP50: ms(m.shared, 50), metricP99: ms(m.shared, 99), metricP999: ms(m.shared, 99.9),
		metricHarmP50: harm(50), metricHarmP99: harm(99), metricHarmP999: harm(99.9),
		metricThroughput: m.useful / (rounds * step.Seconds()), metricCompleted: float64(m.completed),
		metricInTime:    float64(m.jobsInTime) / float64(max(1, m.jobs)),
		metricEvictions: float64(m.evictions), metricLost: m.lost / 3600,
		metricThrottles: float64(m.throttles), metricThrottled: float64(m.throttledSum) / rounds,
		metricFailures: float64(m.failures), metricPending: float64(m.pendingSum) / rounds,
		metricGivenUp: float64(m.givenUp), metricOverfull: float64(m.overfull),
	}
	if len(m.urgentWaits) > 0 {
		got[metricUrgentP99] = quantile(m.urgentWaits, 0.99)
	}
	if len(m.otherWaits) > 0 {
		got[metricOtherWait] = quantile(m.otherWaits, 0.99)
	}
	maps.Copy(got, m.extra)
	return got
}

func quantile(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}
