package overseer

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var evacuationSeeds = flag.Int("evacuation-seeds", 20, "number of random failure schedules with evacuations to run")

const (
	// evacuationBound is the time after the acknowledgement of an evacuation from which on no VM sends a start to the
	// data centre. It is the bound of the deployments that have evacuations.
	evacuationBound       = 5 * time.Second
	simulationDataCentres = 3
)

func dataCentreName(number int) scheduler.DataCentreName {
	return scheduler.DataCentreName(fmt.Sprintf("d%d", number))
}

// spread assigns the workers of the simulation to data centres in turn.
func (simulation *simulation) spread() {
	for number, name := range simulation.names {
		simulation.fleet.dataCentres[name] = dataCentreName(number % simulationDataCentres)
	}
}

// checkEvacuation reports a start order that is sent to a worker of an evacuated data centre too late. It is checked when
// the order is sent, because a worker may carry out an order seconds later.
func (fleet *fakeFleet) checkEvacuation(ref scheduler.WorkerRef, order scheduler.StartOrder) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	dataCentre := fleet.dataCentres[ref.Worker]
	if acknowledged, evacuated := fleet.evacuated[dataCentre]; evacuated && time.Since(acknowledged) > evacuationBound {
		fleet.reportViolation("%v is sent to %s in %s, evacuated %v ago: %v", order.Run, ref.Worker, dataCentre,
			time.Since(acknowledged), fleet.history[order.Run.Task])
	}
}

// evacuate commits a request for a data centre, as the handler does.
func (simulation *simulation) evacuate(dataCentre scheduler.DataCentreName, action scheduler.EvacuationAction) {
	simulation.t.Helper()
	var revision uint64
	simulation.domain.keeper.View(func(state *jobkeeper.State) { revision = state.Evacuation(dataCentre).Revision() })
	fleet := simulation.fleet
	fleet.mutex.Lock()
	if action == scheduler.EvacuationEnd {
		delete(fleet.evacuated, dataCentre)
	}
	fleet.mutex.Unlock()
	simulation.apply(jobkeeper.Command{Evacuate: &jobkeeper.Evacuate{
		Evacuation: scheduler.Evacuation{DataCentre: dataCentre, Action: action}, Revision: revision, Accepted: time.Now(),
	}})
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if _, known := fleet.evacuated[dataCentre]; !known && action == scheduler.EvacuationBegin {
		fleet.evacuated[dataCentre] = time.Now()
	}
}

// evacuateRandomly begins and ends evacuations until ctx is done, and then ends all of them. Up to all data centres are
// evacuated at the same time.
func (simulation *simulation) evacuateRandomly(ctx context.Context, random *rand.Rand) {
	actions := []scheduler.EvacuationAction{scheduler.EvacuationBegin, scheduler.EvacuationBegin, scheduler.EvacuationEnd}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.Int64N(int64(4 * time.Second))))
		simulation.evacuate(dataCentreName(random.IntN(simulationDataCentres)), actions[random.IntN(len(actions))])
	}
	for number := range simulationDataCentres {
		simulation.evacuate(dataCentreName(number), scheduler.EvacuationEnd)
	}
}

// Guards against starts in an evacuated data centre, and against work that is never resumed after evacuations, under
// random failures. The other invariants of TestRandomFailures hold too.
func TestRandomEvacuations(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*evacuationSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, uint64(seed))
				simulation.spread()
				simulation.fleet.lateRate, simulation.fleet.failureRate = 0.05, 0.05
				// The evacuations end before the schedule settles, so that all jobs can end.
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				go simulation.evacuateRandomly(ctx, rand.New(rand.NewPCG(uint64(seed), 3)))
				simulation.run()
				time.Sleep(20 * time.Second) // Late orders must end before the synctest bubble does.
				for _, violation := range simulation.fleet.violations {
					t.Error(violation)
				}
				if got := simulation.openJobs(); got != 0 {
					t.Errorf("got %d jobs that have not ended, want 0", got)
				}
			})
		})
	}
}

// runningIn returns the number of tasks that run in a data centre, and the number of starts of all workers so far.
func (simulation *simulation) runningIn(dataCentre scheduler.DataCentreName) (running, starts int) {
	simulation.fleet.mutex.Lock()
	defer simulation.fleet.mutex.Unlock()
	for _, worker := range simulation.fleet.workers {
		if simulation.fleet.dataCentres[worker.name] == dataCentre && !worker.dead {
			running += len(worker.runs)
		}
	}
	return running, simulation.fleet.starts
}

// Guards against the start of a task in an evacuated data centre after a failure, and against tasks that do not run
// elsewhere instead.
func TestEvacuationThroughFailures(t *testing.T) {
	// Each failure happens after the evacuation of d0 was acknowledged and before more work arrives.
	tests := map[string]func(simulation *simulation){
		"calm":               func(*simulation) {},
		"the leader changes": func(simulation *simulation) { simulation.domain.elect(1) },
		"the leader stalls":  func(simulation *simulation) { simulation.domain.stall(6*time.Second, 2) },
		"a relay is frozen":  func(simulation *simulation) { simulation.network.freeze(vmName(1), 8*time.Second) },
		"orders are not answered": func(simulation *simulation) {
			simulation.fleet.mutex.Lock()
			defer simulation.fleet.mutex.Unlock()
			simulation.fleet.lateRate = 0.3
		},
		"a worker of the data centre restarts": func(simulation *simulation) { simulation.restart("w0") },
		"the data centre is cut off": func(simulation *simulation) {
			simulation.setPartitioned("w0", true)
			simulation.setPartitioned("w3", true)
			time.Sleep(15 * time.Second)
			simulation.setPartitioned("w0", false)
			simulation.setPartitioned("w3", false)
		},
		"all VMs restart from a snapshot": func(simulation *simulation) {
			simulation.domain.leader.Store(noLeader)
			time.Sleep(3 * time.Second)
			var snapshot bytes.Buffer
			if err := simulation.domain.keeper.Snapshot(&snapshot); err != nil {
				simulation.t.Fatal(err)
			}
			if err := simulation.domain.keeper.Restore(&snapshot); err != nil {
				simulation.t.Fatal(err)
			}
			simulation.domain.elect(1)
		},
	}
	for name, fail := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				simulation.spread()
				stop := simulation.start()
				steps := []scheduler.Step{{Count: 20, Request: oneCore}}
				simulation.submitWorkflow(&scheduler.Workflow{Steps: steps})
				time.Sleep(2 * time.Second)
				simulation.evacuate("d0", scheduler.EvacuationBegin)
				simulation.submitWorkflow(&scheduler.Workflow{Steps: steps})
				fail(simulation)
				simulation.submitWorkflow(&scheduler.Workflow{Steps: steps})
				simulation.settle()
				time.Sleep(12 * time.Second) // Late orders must end before the synctest bubble does.
				if got, _ := simulation.runningIn("d0"); got != 0 || simulation.openJobs() != 0 {
					t.Errorf("got %d tasks in the evacuated data centre and %d open jobs, want none", got, simulation.openJobs())
				}
				for _, violation := range simulation.fleet.violations {
					t.Error(violation)
				}
				stop()
			})
		})
	}
}

// Guards against work that is started or lost while all data centres are evacuated, and against data centres that stay
// unused after their evacuation.
func TestAllDataCentresEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		simulation.spread()
		stop := simulation.start()
		defer stop()
		simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{
			{Count: simulationWorkers, Request: oneCore, LongRunning: true, MaxPerWorker: 1},
		}})
		time.Sleep(2 * time.Second)
		for number := range simulationDataCentres {
			simulation.evacuate(dataCentreName(number), scheduler.EvacuationBegin)
		}
		_, before := simulation.runningIn("d0")
		simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 3, Request: oneCore}}})
		time.Sleep(10 * time.Second)
		if running, after := simulation.runningIn("d0"); running != 2 || after != before {
			t.Errorf("got %d tasks in d0 and %d starts, want 2 that stay and no start", running, after-before)
		}
		simulation.evacuate("d1", scheduler.EvacuationEnd)
		time.Sleep(10 * time.Second)
		if got := simulation.openJobs(); got != 0 {
			t.Errorf("got %d open jobs after the evacuation of d1, want 0", got)
		}
		for _, violation := range simulation.fleet.violations {
			t.Error(violation)
		}
	})
}

// Guards against a task that runs twice: the VM leads again in the same term, withholds the start of an attempt that its
// earlier leadership has sent, and the earlier start takes effect after the task was placed elsewhere.
func TestWithheldStartAfterNewLeadershipInTerm(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, seed)
				simulation.spread()
				stop := simulation.start()
				time.Sleep(2 * time.Second)
				simulation.setRunTime(func(scheduler.RunID) time.Duration { return 15 * time.Second })
				id := scheduler.RunID{Task: scheduler.StepTaskID{Job: "job0"}, Attempt: 1}
				simulation.fleet.mutex.Lock()
				simulation.fleet.lateStart = id
				simulation.fleet.mutex.Unlock()
				simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 1, Request: oneCore}}})
				time.Sleep(300 * time.Millisecond)
				var worker scheduler.WorkerName
				simulation.domain.keeper.View(func(state *jobkeeper.State) {
					job, _ := state.Job("job0")
					for _, run := range job.Step(0, 0).Tasks()[0].Runs() {
						worker = run.Worker()
					}
				})
				simulation.evacuate(simulation.fleet.dataCentres[worker], scheduler.EvacuationBegin)
				simulation.leading().deposed.Store(true) // As handlePanic does.
				time.Sleep(40 * time.Second)
				simulation.checkSettled()
				stop()
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// leading returns the current leadership.
func (simulation *simulation) leading() *leadership {
	for _, overseer := range simulation.overseers {
		if leadership := overseer.current.Load(); leadership != nil {
			return leadership
		}
	}
	simulation.t.Fatal("no VM leads")
	return nil
}

// recordLogs makes all VMs log into the returned buffer, which may be read once the simulation has stopped.
func (simulation *simulation) recordLogs() *bytes.Buffer {
	logs := &bytes.Buffer{}
	writer := zerolog.SyncWriter(logs)
	for _, overseer := range simulation.overseers {
		overseer.logger = zerolog.New(writer)
	}
	return logs
}

// Guards against a log line for each step that waits during an evacuation.
func TestStepsWaitingForEvacuationAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		simulation.spread()
		logs := simulation.recordLogs()
		stop := simulation.start()
		time.Sleep(2 * time.Second)
		for number := range simulationDataCentres {
			simulation.evacuate(dataCentreName(number), scheduler.EvacuationBegin)
		}
		for range 20 {
			simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 1, Request: oneCore}}})
			time.Sleep(2 * evacuationInterval)
		}
		stop()
		if got, want := bytes.Count(logs.Bytes(), []byte(`"stepWaitsForEvacuation"`)), 1; got != want {
			t.Errorf("got %d log lines for steps of one pool, want %d", got, want)
		}
		time.Sleep(20 * time.Second)
	})
}

// Guards against new leaders that record the duration of an evacuation again.
func TestEmptyDataCentreIsRecordedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		simulation.spread()
		logs := simulation.recordLogs()
		stop := simulation.start()
		time.Sleep(2 * time.Second)
		simulation.evacuate("d0", scheduler.EvacuationBegin)
		time.Sleep(time.Minute)
		for number := range 4 {
			simulation.domain.elect(number % len(simulation.overseers))
			time.Sleep(20 * time.Second)
		}
		stop()
		if got, want := bytes.Count(logs.Bytes(), []byte(`"dataCentreEmpty"`)), 1; got != want {
			t.Errorf("got %d records of an empty data centre, want %d", got, want)
		}
		time.Sleep(20 * time.Second)
	})
}
