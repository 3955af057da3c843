package experimenter

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// recorder collects the metrics of one run.
type recorder struct {
	isolatedLatency, sharedLatency *hdrhistogram.Histogram
	// otherWaits holds the wait times in seconds of batch tasks of all teams except team 0.
	otherWaits  []float64
	urgentWaits []float64

	usefulCoreSeconds, lostCoreSeconds                      float64
	started, evictions, throttles, failures, abandonedTasks int
	completed, cancelled, jobs, jobsInTime                  int
	pendingSum, throttledSum, steps                         int
	// overfullWorkerSteps counts, over all workers and steps, those with more memory reserved than the worker has.
	overfullWorkerSteps int
	// extra holds metrics that only some policies have, by name.
	extra map[string]float64
}

func newRecorder() *recorder {
	return &recorder{
		extra:           map[string]float64{},
		isolatedLatency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		sharedLatency:   hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
}

func (r *recorder) recordLatency(alone, shared float64) {
	// RecordValue fails only above the histogram's range of one minute, which no isolated latency reaches.
	_ = r.isolatedLatency.RecordValue(int64(alone / 1000))
	_ = r.sharedLatency.RecordValue(min(int64(shared/1000), int64(time.Minute/time.Microsecond)))
}

func (r *recorder) recordWait(t *task, now time.Duration) {
	if t.job.class == scheduler.ClassLatencyCritical && t.pendingSince > rolloutTime {
		r.urgentWaits = append(r.urgentWaits, (now - t.pendingSince).Seconds())
	}
	if t.job.class == scheduler.ClassBatch && t.job.team != "team0" {
		r.otherWaits = append(r.otherWaits, (now - t.pendingSince).Seconds())
	}
}

func (r *recorder) recordJobEnd(j *job, now, horizon time.Duration) {
	if now <= j.deadline && j.deadline <= horizon && j.cancelledAt == 0 && !j.failsAlways {
		r.jobsInTime++
	}
}

func (r *recorder) recordStep(sim *simulation) {
	r.steps++
	r.pendingSum += len(sim.pending)
	for _, w := range sim.workers {
		var memory int64
		for _, t := range w.tasks {
			memory += t.job.request.MemoryBytes
			if t.throttled {
				r.throttledSum++
			}
		}
		if memory > w.worker.Capacity.MemoryBytes {
			r.overfullWorkerSteps++
		}
	}
}

// finish records the metrics that are known only at the end of a run.
func (sim *simulation) finish() {
	if sim.policy.runEnded != nil {
		sim.policy.runEnded(sim)
	}
	// The wait time of a task that never started is counted until the end of the run.
	for _, t := range sim.pending {
		sim.recorder.recordWait(t, sim.horizon)
	}
	for _, j := range sim.submitted {
		tasks := sim.jobs[j.id]
		if j.class != scheduler.ClassBatch {
			continue
		}
		for _, t := range tasks {
			sim.recorder.usefulCoreSeconds += t.progress.Seconds() * j.cores
		}
		if j.deadline <= sim.horizon && j.cancelledAt == 0 && !j.failsAlways {
			sim.recorder.jobs++
		}
	}
}

// Names of the metrics in results.
const (
	metricP50              = "p50LatencyMs"
	metricP99              = "p99LatencyMs"
	metricP999             = "p999LatencyMs"
	metricInterferenceP50  = "p50Harm"
	metricInterferenceP99  = "p99Harm"
	metricInterferenceP999 = "p999Harm"
	metricThroughput       = "batchCores"
	metricCompleted        = "tasksCompleted"
	metricInTime           = "jobsInTime"
	metricEvictions        = "evictions"
	metricLost             = "lostCoreHours"
	metricThrottles        = "throttles"
	metricThrottled        = "meanThrottled"
	metricFailures         = "failures"
	metricPending          = "meanPending"
	metricUrgentP99        = "p99UrgentWaitSeconds"
	metricOverfull         = "overfullWorkerSteps"
	metricOtherWait        = "p99OtherTeamsWaitSeconds"
	metricAbandoned        = "tasksGivenUp"
)

// metrics returns the metrics by name. Interference is the relative increase of a latency percentile over the same
// percentile of the same samples without co-located batch tasks.
func (r *recorder) metrics() map[string]float64 {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	interference := func(q float64) float64 { return ms(r.sharedLatency, q)/ms(r.isolatedLatency, q) - 1 }
	rounds := float64(max(1, r.steps))
	got := map[string]float64{
		metricP50: ms(r.sharedLatency, 50), metricP99: ms(r.sharedLatency, 99), metricP999: ms(r.sharedLatency, 99.9),
		metricInterferenceP50: interference(50), metricInterferenceP99: interference(99),
		metricInterferenceP999: interference(99.9),
		metricThroughput:       r.usefulCoreSeconds / (rounds * step.Seconds()), metricCompleted: float64(r.completed),
		metricInTime:    float64(r.jobsInTime) / float64(max(1, r.jobs)),
		metricEvictions: float64(r.evictions), metricLost: r.lostCoreSeconds / 3600,
		metricThrottles: float64(r.throttles), metricThrottled: float64(r.throttledSum) / rounds,
		metricFailures: float64(r.failures), metricPending: float64(r.pendingSum) / rounds,
		metricAbandoned: float64(r.abandonedTasks), metricOverfull: float64(r.overfullWorkerSteps),
	}
	if len(r.urgentWaits) > 0 {
		got[metricUrgentP99] = percentile(r.urgentWaits, 0.99)
	}
	if len(r.otherWaits) > 0 {
		got[metricOtherWait] = percentile(r.otherWaits, 0.99)
	}
	maps.Copy(got, r.extra)
	return got
}

func percentile(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}
