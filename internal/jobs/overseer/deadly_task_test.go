package overseer

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/crashclassifier"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var (
	errConnectionClosed  = scheduler.ErrOutcomeUnknown.Wrap(scheduler.ErrConnectionClosed.Wrap(io.ErrUnexpectedEOF))
	errConnectionRefused = scheduler.ErrNotRun.Wrap(scheduler.ErrConnectionClosed.Wrap(syscall.ECONNREFUSED))
)

const (
	// crashRestartTime is the time until a later instance of a crashed worker runs.
	crashRestartTime = 3 * time.Second
	// gangBreakTime is the time from a crash until the other members of a gang end.
	gangBreakTime = 200 * time.Millisecond
	// contactTime is how long after a disruption of the VMs the number of starts is not limited, because a new leader knows
	// nothing of the crashes that its predecessor was about to record.
	contactTime = 3 * time.Second
	// After toleratedCrashes, a deadly task may start maxStartsAfterCrashes times more.
	toleratedCrashes      = 3
	maxStartsAfterCrashes = 2
)

// crashDelays are the times after which deadly tasks crash their workers. Those that do it at once are the most frequent.
var crashDelays = []time.Duration{
	0, 0, 0, 10 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond, 300 * time.Millisecond,
	300 * time.Millisecond, 2 * time.Second, 6 * time.Second,
}

// deadlyTasks holds the tasks that crash each worker that starts them. The mutex of the fleet guards it.
type deadlyTasks struct {
	random *rand.Rand
	// fraction is the fraction of the jobs that have a deadly task.
	fraction float64
	tasks    map[scheduler.StepTaskID]*deadlyTask
	// restart starts the next instance of a worker that has crashed.
	restart func(crashed *fakeWorker)
	// isStable reports whether no VM was disrupted within contactTime.
	isStable func() bool
	// isSuspect reports whether a task must start apart from others. If it is nil, that is not checked.
	isSuspect func(task scheduler.StepTaskID) bool
}

type deadlyTask struct {
	delay time.Duration
	// crashes counts the crashes of workers that were not partitioned, startsAfterCrashes the starts after
	// toleratedCrashes of them while all VMs were stable.
	crashes            int
	startsAfterCrashes int
}

// choose makes one task of some jobs deadly.
func (deadlyTasks *deadlyTasks) choose(job scheduler.JobID, workflow *scheduler.Workflow) {
	if deadlyTasks == nil || deadlyTasks.random.Float64() >= deadlyTasks.fraction {
		return
	}
	step := deadlyTasks.random.IntN(len(workflow.Steps))
	task := scheduler.StepTaskID{Job: job, Step: step, Index: deadlyTasks.random.IntN(workflow.Steps[step].Count)}
	deadlyTasks.tasks[task] = &deadlyTask{delay: crashDelays[deadlyTasks.random.IntN(len(crashDelays))]}
}

// begin makes a run of a deadly task crash its worker later. The other members of its gang end without a result.
func (deadlyTasks *deadlyTasks) begin(worker *fakeWorker, id scheduler.RunID, run *fakeRun) {
	if deadlyTasks == nil {
		return
	}
	deadlyTasks.checkApart(worker, id, run)
	task := deadlyTasks.tasks[id.Task]
	if task == nil {
		if member := deadlyTasks.gangMember(worker.fleet, id.Task); member != nil {
			run.breaksGang, run.endsAt = true, time.Now().Add(member.delay+gangBreakTime)
		}
		return
	}
	run.endsAt, run.crashesAt = time.Time{}, time.Now().Add(task.delay)
	if task.crashes < toleratedCrashes || !deadlyTasks.isStable() {
		return
	}
	if task.startsAfterCrashes++; task.startsAfterCrashes > maxStartsAfterCrashes {
		worker.fleet.reportViolation("%v, which crashes its worker after %v, starts again after %d crashes: %v", id, task.delay,
			task.crashes, worker.fleet.history[id.Task])
	}
}

// checkApart checks that a suspect starts on a worker on which no other run has just begun, and that nothing begins beside
// a suspect that has just begun. The members of a gang may begin together.
func (deadlyTasks *deadlyTasks) checkApart(worker *fakeWorker, id scheduler.RunID, begun *fakeRun) {
	if deadlyTasks.isSuspect == nil {
		return
	}
	begun.suspect = deadlyTasks.isSuspect(id.Task)
	for other, run := range worker.runs {
		if packer.StepOf(other.Task) == packer.StepOf(id.Task) || time.Since(run.startedAt) >= crashclassifier.StartWindow {
			continue
		}
		if begun.suspect || run.suspect {
			worker.fleet.reportViolation("%v starts on %s %v after %v, and one of them is a suspect", id, worker.name,
				time.Since(run.startedAt), other)
		}
	}
}

// gangMember returns the deadly task of the gang to which a task belongs, or nil.
func (deadlyTasks *deadlyTasks) gangMember(fleet *fakeFleet, id scheduler.StepTaskID) *deadlyTask {
	step := fleet.workflows[id.Job].Steps[id.Step]
	for index := range step.Count {
		id.Index = index
		if step.Gang && deadlyTasks.tasks[id] != nil {
			return deadlyTasks.tasks[id]
		}
	}
	return nil
}

// crashIfDue crashes the process of the worker if a run on it is due to do so.
func (worker *fakeWorker) crashIfDue() bool {
	for id, run := range worker.runs {
		if run.crashesAt.IsZero() || time.Now().Before(run.crashesAt) {
			continue
		}
		deadly := worker.fleet.deadly
		worker.logEvent(id, "crashed its worker")
		if !worker.partitioned {
			deadly.tasks[id.Task].crashes++
		}
		worker.closed = true
		worker.crash()
		close(worker.endSignal)
		go deadly.restart(worker)
		return true
	}
	return false
}

// isDeadly reports whether a job has a deadly task.
func (deadlyTasks *deadlyTasks) isDeadly(job scheduler.JobID) bool {
	for task := range deadlyTasks.tasks {
		if task.Job == job {
			return true
		}
	}
	return false
}

// addDeadlyTasks makes a fraction of the jobs that are submitted from now on deadly.
func (simulation *simulation) addDeadlyTasks(seed uint64, fraction float64) {
	simulation.fleet.withVMs = true
	simulation.fleet.deadly = &deadlyTasks{
		random: rand.New(rand.NewPCG(seed, 4)), fraction: fraction, tasks: map[scheduler.StepTaskID]*deadlyTask{},
		restart: simulation.restartCrashed, isStable: simulation.isStable,
	}
}

// isStable reports whether no VM was disrupted within contactTime.
func (simulation *simulation) isStable() bool {
	return time.Since(simulation.domain.lastDisruption()) > contactTime &&
		time.Since(simulation.network.lastThaw()) > contactTime
}

// restartCrashed starts the next instance of a worker that has crashed, by turns under its own name and under a new one
// at the same address. Now and then the leader fails at the moment of the crash.
func (simulation *simulation) restartCrashed(crashed *fakeWorker) {
	fleet := simulation.fleet
	fleet.mutex.Lock()
	leaderFails, next := fleet.deadly.random.IntN(10) == 0, fleet.deadly.random.IntN(simulationVMs)
	fleet.mutex.Unlock()
	if leaderFails {
		simulation.electFromSnapshot(next)
	}
	time.Sleep(crashRestartTime)
	fleet.mutex.Lock()
	replaced := fleet.workers[crashed.address] != crashed
	fleet.mutex.Unlock()
	if replaced {
		return
	}
	base := scheduler.WorkerName(strings.TrimPrefix(crashed.address, addressOf("")))
	incarnation := simulation.nextIncarnation(base)
	name := crashed.name
	if incarnation%2 == 0 {
		name = scheduler.WorkerName(fmt.Sprintf("%s-%d", base, incarnation))
	}
	fleet.addAt(crashed.address, name, incarnation)
}

// electFromSnapshot makes a VM the leader whose state was restored from a snapshot.
func (simulation *simulation) electFromSnapshot(number int) {
	simulation.domain.leader.Store(noLeader)
	simulation.domain.mutex.Lock()
	var snapshot bytes.Buffer
	err := simulation.domain.keeper.Snapshot(&snapshot)
	if err == nil {
		err = simulation.domain.keeper.Restore(&snapshot)
	}
	simulation.domain.mutex.Unlock()
	if err != nil {
		simulation.t.Error(err)
	}
	simulation.domain.elect(number)
}

// Guards against a task that crashes worker after worker, and against innocent jobs that end as failed or are never
// finished beside it, because their attempts were lost with the workers.
func TestRandomDeadlyTasks(t *testing.T) {
	crashes := 0
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, uint64(seed))
				simulation.addDeadlyTasks(uint64(seed), 0.15)
				simulation.fleet.lateRate = 0.02
				simulation.speculative, simulation.gangs = seed%3 == 1, seed%3 == 2
				simulation.run()
				time.Sleep(20 * time.Second) // Late orders must end before the synctest bubble does.
				for _, violation := range simulation.fleet.violations {
					t.Error(violation)
				}
				simulation.checkDeadlyJobs(t)
				for _, task := range simulation.fleet.deadly.tasks {
					crashes += task.crashes
				}
			})
		})
	}
	if crashes == 0 {
		t.Error("no worker has crashed")
	}
}

// Guards against starts beside a suspect by any path: placements, copies, gangs, reservations and repeated orders.
func TestSuspectsStartApart(t *testing.T) {
	suspects := 0
	for seed := *firstSeed; seed < *firstSeed+(*seeds+1)/2; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, uint64(seed), WithLookAhead(20*time.Second))
				simulation.addDeadlyTasks(uint64(seed), 0.15)
				simulation.speculative, simulation.gangs = seed%3 == 1, seed%3 == 2
				simulation.fleet.deadly.isSuspect = func(task scheduler.StepTaskID) bool {
					suspect := simulation.isSuspect(task)
					if suspect {
						suspects++
					}
					return suspect
				}
				stop := simulation.start()
				for range 40 {
					simulation.submit()
					time.Sleep(500 * time.Millisecond)
				}
				stop()
				time.Sleep(20 * time.Second)
				for _, violation := range simulation.fleet.violations {
					if strings.Contains(violation, "suspect") {
						t.Error(violation)
					}
				}
			})
		})
	}
	if suspects == 0 {
		t.Error("no suspect has started")
	}
}

// isSuspect reports whether a task is suspected of crashing workers.
func (simulation *simulation) isSuspect(task scheduler.StepTaskID) (suspect bool) {
	simulation.domain.keeper.View(func(state *jobkeeper.State) {
		job, _ := state.Job(task.Job)
		if step := job.Step(task.Occurrence, task.Step); step != nil {
			suspect = isSuspect(step.Tasks()[task.Index])
		}
	})
	return suspect
}

// checkDeadlyJobs checks that exactly the jobs with a deadly task have failed, and that the others have finished. Jobs
// that were cancelled may be in any state.
func (simulation *simulation) checkDeadlyJobs(t *testing.T) {
	t.Helper()
	simulation.domain.keeper.View(func(state *jobkeeper.State) {
		for number := range simulation.jobs {
			id := scheduler.JobID(fmt.Sprintf("job%d", number))
			job, _ := state.Job(id)
			deadly := simulation.fleet.deadly.isDeadly(id)
			switch {
			case job.State() == scheduler.WorkflowCancelled:
			case deadly && job.State() != scheduler.WorkflowFailed:
				t.Errorf("%s with a deadly task: got state %q, want %q", id, job.State(), scheduler.WorkflowFailed)
			case !deadly && job.State() == scheduler.WorkflowFailed:
				t.Errorf("%s without a deadly task: got state %q", id, job.State())
			case !deadly && !job.State().Ended() && !job.Workflow().Steps[0].LongRunning:
				t.Errorf("%s without a deadly task: got state %q, want an ended one", id, job.State())
			}
		}
	})
}
