package overseer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	maintenanceTime   = 2 * time.Second
	maintenanceLease  = 3 * time.Second
	testWave          = 7
	testMaxConcurrent = 2
)

// fakePlatform performs the maintenance of VMs and reports invariant violations as test errors.
type fakePlatform struct {
	t          *testing.T
	simulation *simulation
	mutex      sync.Mutex
	down       map[scheduler.VMName]bool
	maintained map[scheduler.VMName]bool
	token      scheduler.Term
	orders     int
	// loseResponses is true if every second order is executed but not answered.
	loseResponses bool
	// busyUntil is the time until which orders are rejected as busy.
	busyUntil time.Time
}

// Maintain implements scheduler.Maintainer.
func (platform *fakePlatform) Maintain(
	ctx context.Context, order scheduler.MaintenanceOrder,
) (scheduler.MaintenanceResult, error) {
	time.Sleep(time.Millisecond)
	result := platform.handle(order)
	platform.mutex.Lock()
	platform.orders++
	lost := platform.loseResponses && platform.orders%2 == 1
	platform.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return "", scheduler.ErrOutcomeUnknown.Wrap(ctx.Err())
	}
	return result, nil
}

func (platform *fakePlatform) handle(order scheduler.MaintenanceOrder) scheduler.MaintenanceResult {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	name := scheduler.WorkerName(order.VM)
	switch {
	case order.Token < platform.token:
		return scheduler.MaintenanceFenced
	case time.Now().Before(platform.busyUntil):
		return scheduler.MaintenanceBusy
	case order.VM == "gone":
		return scheduler.MaintenanceNotApplicable
	}
	platform.token = order.Token
	if platform.maintained[order.VM] {
		return scheduler.MaintenanceAccepted
	}
	platform.maintained[order.VM], platform.down[order.VM] = true, true
	if len(platform.down) > testMaxConcurrent {
		platform.t.Errorf("got %d VMs down at the same time, want at most %d", len(platform.down), testMaxConcurrent)
	}
	platform.checkEmpty(name)
	platform.simulation.fleet.kill(name)
	go func() {
		time.Sleep(maintenanceTime)
		platform.simulation.restart(name)
		platform.mutex.Lock()
		defer platform.mutex.Unlock()
		delete(platform.down, order.VM)
	}()
	return scheduler.MaintenanceAccepted
}

// configureFaults makes the platform lose responses, and reject orders as busy for some time.
func (platform *fakePlatform) configureFaults(loseResponses bool, busyFor time.Duration) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.loseResponses, platform.busyUntil = loseResponses, time.Now().Add(busyFor)
}

func (platform *fakePlatform) checkEmpty(name scheduler.WorkerName) {
	fleet := platform.simulation.fleet
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if running := len(fleet.workers[addressOf(name)].runs); running > 0 {
		platform.t.Errorf("%s: got %d tasks running when maintenance starts, want none", name, running)
	}
}

// Guards against a wave that takes down too many VMs at once, ends running tasks, stops more tasks of a step than the
// step allows, or never completes, when the leader changes, orders fail or workers crash.
func TestWaveOfMaintenance(t *testing.T) {
	tests := map[string]func(simulation *simulation, platform *fakePlatform){
		"calm":               func(*simulation, *fakePlatform) {},
		"responses are lost": func(_ *simulation, platform *fakePlatform) { platform.configureFaults(true, 0) },
		"the platform is busy": func(_ *simulation, platform *fakePlatform) {
			platform.configureFaults(false, 8*time.Second)
		},
		"the leader changes": func(simulation *simulation, _ *fakePlatform) { simulation.domain.elect(1) },
		"the leader stalls":  func(simulation *simulation, _ *fakePlatform) { simulation.domain.stall(6*time.Second, 2) },
		"a worker crashes":   func(simulation *simulation, _ *fakePlatform) { simulation.restart(simulation.names[3]) },
		"a worker is partitioned": func(simulation *simulation, _ *fakePlatform) {
			simulation.setPartitioned(simulation.names[4], true)
		},
		"workers crash while the platform is busy": func(simulation *simulation, platform *fakePlatform) {
			platform.configureFaults(false, 6*time.Second)
			time.Sleep(3 * time.Second)
			for _, name := range simulation.names {
				simulation.restart(name)
			}
		},
		"lost responses and leader change": func(simulation *simulation, platform *fakePlatform) {
			platform.configureFaults(true, 0)
			simulation.domain.elect(2)
		},
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runWave(t, injectFault) })
		})
	}
}

func runWave(t *testing.T, injectFault func(simulation *simulation, platform *fakePlatform)) {
	simulation := newSimulation(t, 1)
	simulation.fleet.withVMs = true
	platform := &fakePlatform{
		t: t, simulation: simulation, down: map[scheduler.VMName]bool{},
		maintained: map[scheduler.VMName]bool{},
	}
	for number, overseer := range simulation.overseers {
		WithMaintainer(platform, vmName(number), maintenanceLease)(overseer)
	}
	stop := simulation.start()
	simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{
		Count: 6, Request: oneCore, LongRunning: true, MaxUnavailable: 1,
	}}})
	simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 6, Request: oneCore}}})
	time.Sleep(5 * time.Second)
	vms := []scheduler.VMName{"w0", "w1", "w2", "w3", "w4", "w5", "gone"}
	simulation.apply(jobkeeper.Command{SubmitWave: &jobkeeper.SubmitWave{
		Wave:     scheduler.Wave{Number: testWave, VMs: vms, MaxConcurrent: testMaxConcurrent, Duration: time.Minute},
		Accepted: time.Now(),
	}})
	time.Sleep(2 * time.Second)
	injectFault(simulation, platform)
	time.Sleep(50 * time.Second)
	simulation.domain.keeper.View(func(state *jobkeeper.State) {
		if wave, found := state.Wave(testWave); !found || !wave.Completed() {
			t.Errorf("wave is not completed: %+v", wave)
		}
	})
	platform.mutex.Lock()
	if got := len(platform.maintained); got != 6 {
		t.Errorf("got %d maintained VMs, want 6", got)
	}
	platform.mutex.Unlock()
	simulation.fleet.mutex.Lock()
	if got := simulation.fleet.maxStopped; got > 1 {
		t.Errorf("got %d tasks of a step stopped by orders at the same time, want at most 1", got)
	}
	for _, violation := range simulation.fleet.violations {
		t.Error(violation)
	}
	simulation.fleet.mutex.Unlock()
	stop()
	time.Sleep(20 * time.Second)
}

// Guards against a wave that stops a long-running task while as many others of its step as it allows are away with a lost worker,
// which reported them as operational last (review/10).
func TestWaveWaitsForTasksOfLostWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulation := newSimulation(t, 1)
		simulation.fleet.withVMs = true
		platform := &fakePlatform{
			t: t, simulation: simulation, down: map[scheduler.VMName]bool{}, maintained: map[scheduler.VMName]bool{},
		}
		for number, overseer := range simulation.overseers {
			WithMaintainer(platform, vmName(number), 0)(overseer)
		}
		stop := simulation.start()
		time.Sleep(startBound)
		job := simulation.submitLongRunning(scheduler.Step{Count: 4, MaxPerWorker: 1, MaxUnavailable: 1})
		waitUntil(startBound, func() bool { return simulation.waitingTasks(job) == 0 })
		var atWork []scheduler.WorkerName
		for _, name := range simulation.names {
			if simulation.runningOn(name) > 0 {
				atWork = append(atWork, name)
			}
		}
		time.Sleep(startBound)
		simulation.fleet.kill(atWork[0])
		time.Sleep(5200 * time.Millisecond)
		simulation.apply(jobkeeper.Command{SubmitWave: &jobkeeper.SubmitWave{
			Wave: scheduler.Wave{
				Number: testWave, VMs: []scheduler.VMName{scheduler.VMName(atWork[1])}, MaxConcurrent: 1, Duration: 20 * time.Second,
			},
			Accepted: time.Now(),
		}})
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if got, limit := simulation.waitingTasks(job), 1; got > limit {
				t.Errorf("got %d tasks of a step away, want at most %d", got, limit)
				break
			}
		}
		platform.mutex.Lock()
		if got, want := len(platform.maintained), 1; got != want {
			t.Errorf("got %d maintained VMs, want %d", got, want)
		}
		platform.mutex.Unlock()
		simulation.check()
		stop()
		time.Sleep(20 * time.Second)
	})
}
