package reserver

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	simulationStep = 100 * time.Millisecond
	arrivalTime    = 90 * time.Second
	longestRunTime = 4 * time.Second
	// maxLargeWait is the longest time for which a large task may wait on a pool that is full but not overloaded.
	maxLargeWait = 10 * longestRunTime
)

// simulation plays jobs of one step on a pool of unequal workers, without a network. Small jobs arrive at a rate that
// keeps the pool full. Every tenth job is large: a gang, or a task that needs all of a medium worker or more.
type simulation struct {
	workers  []*packer.Worker
	jobs     []*simulatedJob
	byID     map[scheduler.JobID]*simulatedJob
	running  map[scheduler.WorkerName][]*simulatedTask
	reserver *Reserver
	now      time.Duration
	// tailFactor is by how much the run times of 3 % of the tasks exceed all predictions.
	tailFactor float64
	// lostRack fails for lostRackTime, from lostRackAt on. Its tasks run again.
	lostRack string
	// heldTime sums up the CPU time that is kept idle.
	heldTime float64
	random   *rand.Rand
}

const (
	lostRackAt   = 30 * time.Second
	lostRackTime = 10 * time.Second
)

type simulatedJob struct {
	id        scheduler.JobID
	step      scheduler.Step
	arrivedAt time.Duration
	waiting   []scheduler.StepTaskID
	startedAt time.Duration
	started   bool
}

type simulatedTask struct {
	job       *simulatedJob
	id        scheduler.StepTaskID
	startedAt time.Duration
	endsAt    time.Duration
}

func newSimulation(seed uint64, load float64, reserver *Reserver) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	simulation := &simulation{
		running: map[scheduler.WorkerName][]*simulatedTask{}, reserver: reserver, tailFactor: 1, random: random,
		byID: map[scheduler.JobID]*simulatedJob{},
	}
	total := int64(0)
	for position := range 20 {
		size := []int64{4, 8, 8, 16}[position%4]
		total += size
		simulation.workers = append(simulation.workers, &packer.Worker{
			Name: scheduler.WorkerName(fmt.Sprintf("w%02d", position)), Rack: fmt.Sprintf("r%d", position/5),
			Capacity: cores(size), Free: cores(size),
		})
	}
	work := 0.0
	for work < load*float64(total)*arrivalTime.Seconds() {
		job := &simulatedJob{
			id: scheduler.JobID(fmt.Sprint(len(simulation.jobs))), arrivedAt: time.Duration(random.Int64N(int64(arrivalTime))),
		}
		job.step = scheduler.Step{
			Count: 1 + random.IntN(8), Request: cores(1),
			Estimate: time.Second + time.Duration(random.Int64N(int64(longestRunTime-time.Second))),
		}
		switch random.IntN(30) {
		case 0, 1:
			job.step.Count, job.step.Request = 1, cores(8+4*random.Int64N(3))
		case 2:
			job.step.Count, job.step.Request, job.step.Gang = 4, cores(4), true
		}
		for index := range job.step.Count {
			job.waiting = append(job.waiting, scheduler.StepTaskID{Job: job.id, Index: index})
		}
		work += float64(job.step.Count) * float64(job.step.Request.MilliCores) / 1000 * job.step.Estimate.Seconds()
		simulation.jobs, simulation.byID[job.id] = append(simulation.jobs, job), job
	}
	return simulation
}

func cores(count int64) scheduler.Resources {
	return scheduler.Resources{MilliCores: 1000 * count, MemoryBytes: count << 30}
}

func (simulation *simulation) run() {
	for ; simulation.now < arrivalTime; simulation.now += simulationStep {
		simulation.endTasks()
		pool := &Pool{
			Now: simulation.now, Workers: simulation.schedulable(), Groups: simulation.groups(),
			MeanRequest: simulation.meanRequest, Releases: simulation.releases,
		}
		groups := make([]packer.Group, len(pool.Groups))
		for position, group := range pool.Groups {
			groups[position] = *group.Group
		}
		if simulation.reserver != nil {
			simulation.reserver.Plan(pool)
		}
		assignments := packer.Pack(pool.Workers, groups)
		simulation.start(assignments)
		if simulation.reserver != nil {
			simulation.reserver.Observe(simulation.now, assignments)
			simulation.heldTime += float64(simulation.reserver.HeldIdle(pool.Workers)) / 1000 * simulationStep.Seconds()
		}
	}
}

func (simulation *simulation) isLost(worker *packer.Worker) bool {
	return worker.Rack == simulation.lostRack && simulation.now >= lostRackAt && simulation.now < lostRackAt+lostRackTime
}

// schedulable returns the workers that are not lost, as the overseer passes them: without holds.
func (simulation *simulation) schedulable() []*packer.Worker {
	var workers []*packer.Worker
	for _, worker := range simulation.workers {
		worker.Hold = nil
		if !simulation.isLost(worker) {
			workers = append(workers, worker)
		}
	}
	return workers
}

func (simulation *simulation) endTasks() {
	for _, worker := range simulation.workers {
		lost := simulation.isLost(worker)
		simulation.running[worker.Name] = slices.DeleteFunc(simulation.running[worker.Name], func(task *simulatedTask) bool {
			if lost {
				task.job.waiting = append(task.job.waiting, task.id)
			}
			if lost || simulation.now >= task.endsAt {
				worker.Free = worker.Free.Plus(task.job.step.Request)
				return true
			}
			return false
		})
	}
}

// groups returns the waiting jobs, those with the least work first, like Urgency.
func (simulation *simulation) groups() []Group {
	var waiting []*simulatedJob
	for _, job := range simulation.jobs {
		if job.arrivedAt <= simulation.now && len(job.waiting) > 0 {
			waiting = append(waiting, job)
		}
	}
	work := func(job *simulatedJob) int64 {
		return int64(len(job.waiting)) * job.step.Request.MilliCores * job.step.Estimate.Milliseconds()
	}
	slices.SortStableFunc(waiting, func(a, b *simulatedJob) int { return cmp.Compare(work(a), work(b)) })
	groups := make([]Group, len(waiting))
	for position, job := range waiting {
		groups[position] = Group{
			Group: &packer.Group{Step: &job.step, Tasks: job.waiting, RunTime: job.step.Estimate}, Since: job.arrivedAt,
		}
	}
	return groups
}

func (simulation *simulation) meanRequest() scheduler.Resources {
	var sum scheduler.Resources
	count := int64(0)
	for _, tasks := range simulation.running {
		for _, task := range tasks {
			sum = sum.Plus(task.job.step.Request)
			count++
		}
	}
	return scheduler.Resources{MilliCores: sum.MilliCores / max(count, 1), MemoryBytes: sum.MemoryBytes / max(count, 1)}
}

func (simulation *simulation) releases(worker scheduler.WorkerName) []Release {
	var releases []Release
	for _, task := range simulation.running[worker] {
		elapsed := simulation.now - task.startedAt
		releases = append(releases, Release{
			After: max(task.job.step.Estimate-elapsed, elapsed/2), Amount: task.job.step.Request,
		})
	}
	return releases
}

func (simulation *simulation) start(assignments []packer.Assignment) {
	for _, assignment := range assignments {
		job := simulation.byID[assignment.Task.Job]
		job.waiting = slices.DeleteFunc(job.waiting, func(task scheduler.StepTaskID) bool { return task == assignment.Task })
		runTime := job.step.Estimate
		if simulation.random.IntN(100) < 3 {
			runTime = time.Duration(simulation.tailFactor * float64(runTime))
		}
		simulation.running[assignment.Worker] = append(simulation.running[assignment.Worker],
			&simulatedTask{job: job, id: assignment.Task, startedAt: simulation.now, endsAt: simulation.now + runTime})
		if len(job.waiting) == 0 && !job.started {
			job.started, job.startedAt = true, simulation.now
		}
	}
}

// outcome is what the callers of a set of jobs get: the fraction that was started, and the longest wait, which for a
// job that was not started lasts until the end of the simulation.
type outcome struct {
	served  float64
	longest time.Duration
}

// outcome returns the outcome of the selected jobs that arrived early enough to be started.
func (simulation *simulation) outcome(selects func(job *simulatedJob) bool) outcome {
	var outcome outcome
	count := 0
	for _, job := range simulation.jobs {
		if !selects(job) || job.arrivedAt > arrivalTime-maxLargeWait {
			continue
		}
		count++
		wait := simulation.now - job.arrivedAt
		if job.started {
			outcome.served++
			wait = job.startedAt - job.arrivedAt
		}
		outcome.longest = max(outcome.longest, wait)
	}
	outcome.served /= float64(max(count, 1))
	return outcome
}

// sizes select the jobs of each size.
var sizes = map[string]func(job *simulatedJob) bool{
	"all":   func(*simulatedJob) bool { return true },
	"small": func(job *simulatedJob) bool { return job.step.Request == cores(1) },
	"large": func(job *simulatedJob) bool { return job.step.Request.MilliCores >= cores(8).MilliCores },
	"gang":  func(job *simulatedJob) bool { return job.step.Gang },
}

// Guards against large tasks that wait without end while small ones take all capacity that becomes free, against small
// tasks that starve because of reservations, and against predictions or failures that keep reservations from being used.
// Users require that no size of job is served less than half as often as all jobs.
func TestSmallAgainstLarge(t *testing.T) {
	tests := map[string]struct {
		load       float64
		tailFactor float64
		lostRack   string
		maxWait    time.Duration
	}{
		"full pool":         {load: 0.85, tailFactor: 1, maxWait: maxLargeWait},
		"overload":          {load: 1.2, tailFactor: 1, maxWait: arrivalTime},
		"wrong predictions": {load: 1, tailFactor: 7, maxWait: arrivalTime},
		"lost rack":         {load: 0.9, tailFactor: 1, lostRack: "r1", maxWait: arrivalTime},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				play := func(reserver *Reserver) *simulation {
					simulation := newSimulation(seed, test.load, reserver)
					simulation.tailFactor, simulation.lostRack = test.tailFactor, test.lostRack
					simulation.run()
					return simulation
				}
				with, without := play(New()), play(nil)
				all := with.outcome(sizes["all"])
				for size, selects := range sizes {
					got, before := with.outcome(selects), without.outcome(selects)
					t.Logf("seed %d: %s jobs: %.2f served, longest wait %v; without reservations %.2f, %v",
						seed, size, got.served, got.longest, before.served, before.longest)
					if got.served < all.served/2 {
						t.Errorf("seed %d: got %.2f of the %s jobs served, want half of the %.2f of all", seed, got.served, size, all.served)
					}
					if got.longest > test.maxWait {
						t.Errorf("seed %d: got a wait of %v of a %s job, want at most %v", seed, got.longest, size, test.maxWait)
					}
				}
				if got, want := with.outcome(sizes["large"]).served, without.outcome(sizes["large"]).served; got < want {
					t.Errorf("seed %d: got %.2f of the large jobs served, want at least %.2f as without reservations", seed, got, want)
				}
			}
		})
	}
}
