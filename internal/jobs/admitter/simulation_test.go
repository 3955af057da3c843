package admitter

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	simulationStep = 50 * time.Millisecond
	observeEvery   = 500 * time.Millisecond
	slotMilliCores = 1000
	taskRunTime    = 2 * time.Second
	simulationTime = 2 * time.Minute
)

// simulatedQueue has an objective of 5 s for a step of taskRunTime. Its results are of use for 15 s.
var simulatedQueue = scheduler.Queue{Name: "batch", Priority: 2, Slowdown: 2, LatencyTarget: time.Second}

// poolSimulation plays submissions to a pool that starts tasks in the order of urgency. Callers return when a refusal
// tells them to.
type poolSimulation struct {
	backlogAdmitter *BacklogAdmitter
	slots           int
	running         int
	blindUntil      time.Duration
	jobs            []*simulatedJob
	ends            map[time.Duration][]*simulatedJob
	refusedAt       []time.Duration
	// events change the pool at a time.
	events map[time.Duration]func(simulation *poolSimulation)
}

type simulatedJob struct {
	submission  Submission
	dataCentre  string
	submittedAt time.Duration
	nextTry     time.Duration
	acceptedAt  time.Duration
	accepted    bool
	gaveUp      bool
	refusals    int
	size        int
	waiting     int
	unfinished  int
	finishedAt  time.Duration
}

// urgency returns the urgency of an accepted job whose remaining steps take path.
func (job *simulatedJob) urgency(now, path time.Duration) packer.Urgency {
	epoch := time.Unix(0, 0)
	return packer.UrgencyOf(packer.UrgencyInput{
		Queue: *job.submission.Queue, ReleaseTime: epoch.Add(job.acceptedAt), CriticalPath: taskRunTime, RemainingPath: path,
		RemainingWork: int64(job.unfinished) * slotMilliCores * taskRunTime.Milliseconds(),
	}, epoch.Add(now))
}

func newPoolSimulation(slots int, admission bool) *poolSimulation {
	simulation := &poolSimulation{
		slots: slots, ends: map[time.Duration][]*simulatedJob{}, events: map[time.Duration]func(*poolSimulation){},
	}
	if admission {
		simulation.backlogAdmitter = NewBacklogAdmitter()
	}
	return simulation
}

// submit adds jobs of one data centre whose tasks request load times the pool's capacity between two times.
func (simulation *poolSimulation) submit(
	random *rand.Rand, from, until time.Duration, load float64, size func() int, dataCentre string,
) {
	requested := 0.0
	for requested < load*(until-from).Seconds()*float64(simulation.slots)/taskRunTime.Seconds() {
		tasks := size()
		requested += float64(tasks)
		at := from + time.Duration(random.Int64N(int64((until-from)/simulationStep)))*simulationStep
		simulation.jobs = append(simulation.jobs, &simulatedJob{
			submission: Submission{
				Job: scheduler.JobID(fmt.Sprintf("%016x", random.Uint64())), Queue: &simulatedQueue,
				Workflow: &scheduler.Workflow{Steps: []scheduler.Step{{
					Count: tasks, Request: scheduler.Resources{MilliCores: slotMilliCores}, Estimate: taskRunTime,
				}}},
			},
			dataCentre: dataCentre, submittedAt: at, nextTry: at, size: tasks, waiting: tasks, unfinished: tasks,
		})
	}
}

func (simulation *poolSimulation) run() {
	for now := time.Duration(0); now < simulationTime; now += simulationStep {
		if event := simulation.events[now]; event != nil {
			event(simulation)
		}
		simulation.finish(now)
		if now%observeEvery == 0 && simulation.backlogAdmitter != nil {
			simulation.observe(now)
		}
		for _, job := range simulation.jobs {
			if !job.accepted && !job.gaveUp && job.nextTry <= now {
				simulation.try(job, now)
			}
		}
		simulation.start(now)
	}
}

func (simulation *poolSimulation) finish(now time.Duration) {
	for _, job := range simulation.ends[now] {
		simulation.running--
		if simulation.backlogAdmitter != nil {
			simulation.backlogAdmitter.RecordFinished(CapacityReserved, slotMilliCores*taskRunTime.Milliseconds())
		}
		if job.unfinished--; job.unfinished == 0 {
			job.finishedAt = now
		}
	}
	delete(simulation.ends, now)
}

func (simulation *poolSimulation) observe(now time.Duration) {
	state := PoolState{Blind: now < simulation.blindUntil, Rooms: map[CapacityKind]Room{CapacityReserved: {
		Total: int64(simulation.slots) * slotMilliCores, Free: int64(max(0, simulation.slots-simulation.running)) * slotMilliCores,
	}}}
	for _, job := range simulation.jobs {
		if job.accepted && job.waiting > 0 {
			urgency := job.urgency(now, taskRunTime)
			state.Jobs = append(state.Jobs, JobBacklog{
				Kind: CapacityReserved, Priority: urgency.Priority, Prospect: urgency.Prospect, JobWork: urgency.RemainingWork,
				Work: int64(job.waiting) * slotMilliCores * taskRunTime.Milliseconds(), Waiting: int64(job.waiting) * slotMilliCores,
			})
		}
	}
	simulation.backlogAdmitter.Observe(now, state)
}

func (simulation *poolSimulation) try(job *simulatedJob, now time.Duration) {
	decision := Admitted()
	if simulation.backlogAdmitter != nil {
		decision = simulation.backlogAdmitter.Admit(now, job.submission)
	}
	if !decision.Admitted() {
		simulation.refusedAt = append(simulation.refusedAt, now)
	}
	switch {
	case decision.Admitted():
		job.accepted, job.acceptedAt = true, now
	case decision.RetryAfter() > 0:
		job.refusals++
		job.nextTry = now + decision.RetryAfter()
	default:
		job.refusals++
		job.gaveUp = true
	}
}

func (simulation *poolSimulation) start(now time.Duration) {
	if simulation.running >= simulation.slots {
		return
	}
	type candidate struct {
		job     *simulatedJob
		urgency packer.Urgency
	}
	var waiting []candidate
	for _, job := range simulation.jobs {
		if job.accepted && job.waiting > 0 {
			waiting = append(waiting, candidate{job: job, urgency: job.urgency(now, taskRunTime)})
		}
	}
	slices.SortStableFunc(waiting, func(a, b candidate) int { return a.urgency.Compare(b.urgency) })
	for _, candidate := range waiting {
		job := candidate.job
		started := min(job.waiting, max(0, simulation.slots-simulation.running))
		job.waiting -= started
		simulation.running += started
		for range started {
			simulation.ends[now+taskRunTime] = append(simulation.ends[now+taskRunTime], job)
		}
	}
}

// result is what callers got.
type result struct {
	jobs, useful, refused, maxRefusals int
	// prompt is the number of jobs that met their objective counted from their first submission.
	prompt int
	// lost is the number of accepted jobs that finished too late to be of use, or not at all.
	lost int
}

// add adds the results of another run.
func (result *result) add(other result) {
	result.jobs += other.jobs
	result.useful += other.useful
	result.refused += other.refused
	result.maxRefusals = max(result.maxRefusals, other.maxRefusals)
	result.prompt += other.prompt
	result.lost += other.lost
}

// results summarises the jobs for which include returns true.
func (simulation *poolSimulation) results(include func(job *simulatedJob) bool) result {
	var result result
	for _, job := range simulation.jobs {
		if !include(job) {
			continue
		}
		result.jobs++
		result.maxRefusals = max(result.maxRefusals, job.refusals)
		if job.refusals > 0 {
			result.refused++
		}
		took, isFinished := job.finishedAt-job.acceptedAt, job.finishedAt > 0
		if isFinished && job.finishedAt-job.submittedAt <= packer.Objective(&simulatedQueue, taskRunTime) {
			result.prompt++
		}
		switch {
		case isFinished && took <= packer.UsefulTime(&simulatedQueue, taskRunTime):
			result.useful++
		case job.accepted:
			result.lost++
		}
	}
	return result
}

func everyJob(*simulatedJob) bool { return true }

// exponentialSize returns sizes of which few are much larger than the others.
func exponentialSize(random *rand.Rand) func() int {
	return func() int { return 1 + int(6*random.ExpFloat64()*random.ExpFloat64()) }
}
