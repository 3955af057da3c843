package packer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// overloadSimulation simulates a pool to which jobs are submitted for 30 s at 133 % of its capacity. Each job has one
// step of identical tasks, and the sizes of the jobs differ widely.
type overloadSimulation struct {
	jobs []*simulatedJob
	free int
	now  time.Time
}

type simulatedJob struct {
	submittedAt time.Time
	size        int
	waiting     int
	unfinished  int
	finishedAt  time.Time
	onTime      bool
}

const (
	poolSlots      = 200
	runTime        = 2 * time.Second
	simulationStep = 50 * time.Millisecond
)

func newOverloadSimulation(seed uint64) *overloadSimulation {
	random := rand.New(rand.NewPCG(seed, seed))
	simulation := &overloadSimulation{free: poolSlots, now: time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)}
	start, requested := simulation.now, 0.0
	for requested < 30*1.33*poolSlots/runTime.Seconds() {
		size := 1 + int(6*random.ExpFloat64()*random.ExpFloat64())
		submittedAt := start.Add(time.Duration(random.Int64N(int64(30 * time.Second))))
		simulation.jobs = append(simulation.jobs, &simulatedJob{
			submittedAt: submittedAt, size: size, waiting: size, unfinished: size,
		})
		requested += float64(size)
	}
	return simulation
}

func (job *simulatedJob) urgencyInput() UrgencyInput {
	return UrgencyInput{
		Queue: scheduler.Queue{Slowdown: 2, LatencyTarget: time.Second}, ReleaseTime: job.submittedAt,
		CriticalPath: runTime, RemainingPath: runTime, RemainingWork: int64(job.unfinished) * runTime.Milliseconds(),
	}
}

// run runs the jobs in the order of compare. It returns the fraction of all jobs that met their objective, and the
// fraction of the largest tenth of the jobs that finished at all.
func (simulation *overloadSimulation) run(compare func(a, b Urgency) int) (onTime, largest float64) {
	running := map[time.Time][]*simulatedJob{}
	end := simulation.now.Add(45 * time.Second)
	for ; simulation.now.Before(end); simulation.now = simulation.now.Add(simulationStep) {
		for _, job := range running[simulation.now] {
			simulation.free++
			if job.unfinished--; job.unfinished == 0 {
				job.finishedAt = simulation.now
				job.onTime = UrgencyOf(UrgencyInput{
					Queue: job.urgencyInput().Queue, ReleaseTime: job.submittedAt, CriticalPath: runTime,
				}, simulation.now).Prospect == ProspectTimely
			}
		}
		delete(running, simulation.now)
		until := simulation.now.Add(runTime)
		for _, job := range simulation.waiting(compare) {
			started := min(job.waiting, simulation.free)
			job.waiting -= started
			simulation.free -= started
			for range started {
				running[until] = append(running[until], job)
			}
		}
	}
	return simulation.shares()
}

func (simulation *overloadSimulation) waiting(compare func(a, b Urgency) int) []*simulatedJob {
	var waiting []*simulatedJob
	for _, job := range simulation.jobs {
		if job.waiting > 0 && !simulation.now.Before(job.submittedAt) {
			waiting = append(waiting, job)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *simulatedJob) int {
		return compare(UrgencyOf(a.urgencyInput(), simulation.now), UrgencyOf(b.urgencyInput(), simulation.now))
	})
	return waiting
}

func (simulation *overloadSimulation) shares() (onTime, largest float64) {
	slices.SortFunc(simulation.jobs, func(a, b *simulatedJob) int { return b.size - a.size })
	tenth := len(simulation.jobs) / 10
	for position, job := range simulation.jobs {
		if job.onTime {
			onTime++
		}
		if position < tenth && !job.finishedAt.IsZero() {
			largest++
		}
	}
	return onTime / float64(len(simulation.jobs)), largest / float64(tenth)
}

// alternativeOrders are simpler orders than that of Urgency.
var alternativeOrders = map[string]func(a, b Urgency) int{
	"by deadline": func(a, b Urgency) int { return a.Deadline.Compare(b.Deadline) },
	"by prospect, then by deadline": func(a, b Urgency) int {
		return cmp.Or(cmp.Compare(ranks[a.Prospect], ranks[b.Prospect]), a.Deadline.Compare(b.Deadline))
	},
}

// Guards against an order in which an overloaded pool starts most jobs when they can no longer meet their objective,
// and against the starvation of the largest jobs. Users require that at least half of those are served.
func TestOrderUnderOverload(t *testing.T) {
	for seed := range uint64(10) {
		onTime, largest := newOverloadSimulation(seed).run(Urgency.Compare)
		for name, other := range alternativeOrders {
			if share, _ := newOverloadSimulation(seed).run(other); onTime <= share {
				t.Errorf("seed %d: got %.2f of the jobs on time, want more than the %.2f of the order %s", seed, onTime, share, name)
			}
		}
		if largest < 0.5 {
			t.Errorf("seed %d: got %.2f of the largest tenth served, want half", seed, largest)
		}
	}
}

// imageForecast predicts interference for one image only.
type imageForecast struct {
	interferingImage string
}

func (forecast imageForecast) Excess(image string, _ float64) float64 {
	if image == forecast.interferingImage {
		return 1
	}
	return -0.5
}

func (forecast imageForecast) Add(string, float64) {}

// Guards against fill tasks that could run on any worker and take the only capacity on which a pending image could run.
func TestFillTasksLeaveScarceCapacity(t *testing.T) {
	pool := workers(7, 8, 7)
	for position, harmful := range []string{"heavy", "", "heavy"} {
		pool[position].Forecast = imageForecast{interferingImage: harmful}
	}
	light := group(scheduler.Step{Count: 2, Request: cores(4), Fill: true, Image: "light"})
	heavy := group(scheduler.Step{Count: 2, Request: cores(4), Fill: true, Image: "heavy"})
	for position := range heavy.Tasks {
		heavy.Tasks[position].Job = "h"
	}
	got := map[scheduler.JobID][]scheduler.WorkerName{}
	for _, assignment := range Pack(pool, []Group{light, heavy}) {
		got[assignment.Task.Job] = append(got[assignment.Task.Job], assignment.Worker)
	}
	if !slices.Equal(got["h"], []scheduler.WorkerName{"w1", "w1"}) || len(got["j"]) != 2 {
		t.Errorf("got %v, want both heavy tasks on w1 and the light ones on other workers", got)
	}
}
