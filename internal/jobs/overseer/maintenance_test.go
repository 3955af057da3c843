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
	maintenanceTime  = 2 * time.Second
	maintenanceLease = 3 * time.Second
	testWave         = 7
	testAtOnce       = 2
)

// fakePlatform carries out the maintenance of VMs and records breaches.
type fakePlatform struct {
	t        *testing.T
	schedule *schedule
	mutex    sync.Mutex
	down     map[scheduler.VMName]bool
	had      map[scheduler.VMName]bool
	token    scheduler.Term
	orders   int
	// loseAnswers is true when every second order is carried out and not answered.
	loseAnswers bool
	// busy is until when orders are refused.
	busy time.Time
}

// Maintain implements scheduler.Maintainer.
func (platform *fakePlatform) Maintain(ctx context.Context, order scheduler.MaintenanceOrder) (scheduler.MaintenanceResult, error) {
	time.Sleep(time.Millisecond)
	verdict := platform.take(order)
	platform.mutex.Lock()
	platform.orders++
	lost := platform.loseAnswers && platform.orders%2 == 1
	platform.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return "", scheduler.ErrOutcomeUnknown.Wrap(ctx.Err())
	}
	return verdict, nil
}

func (platform *fakePlatform) take(order scheduler.MaintenanceOrder) scheduler.MaintenanceResult {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	name := scheduler.WorkerName(order.VM)
	switch {
	case order.Token < platform.token:
		return scheduler.MaintenanceFenced
	case time.Now().Before(platform.busy):
		return scheduler.MaintenanceBusy
	case order.VM == "gone":
		return scheduler.MaintenanceNotApplicable
	}
	platform.token = order.Token
	if platform.had[order.VM] {
		return scheduler.MaintenanceAccepted
	}
	platform.had[order.VM], platform.down[order.VM] = true, true
	if len(platform.down) > testAtOnce {
		platform.t.Errorf("got %d VMs down, want at most %d", len(platform.down), testAtOnce)
	}
	platform.checkEmpty(name)
	platform.schedule.fleet.kill(name)
	go func() {
		time.Sleep(maintenanceTime)
		platform.schedule.rebirth(name)
		platform.mutex.Lock()
		defer platform.mutex.Unlock()
		delete(platform.down, order.VM)
	}()
	return scheduler.MaintenanceAccepted
}

// disturb loses answers, and refuses orders for some time.
func (platform *fakePlatform) disturb(loseAnswers bool, busy time.Duration) {
	platform.mutex.Lock()
	defer platform.mutex.Unlock()
	platform.loseAnswers, platform.busy = loseAnswers, time.Now().Add(busy)
}

func (platform *fakePlatform) checkEmpty(name scheduler.WorkerName) {
	fleet := platform.schedule.fleet
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if running := len(fleet.workers["10.0.0.1:"+string(name)].runs); running > 0 {
		platform.t.Errorf("%s: got %d tasks that its maintenance ends, want none", name, running)
	}
}

// Guards against a wave that takes down more VMs than it may, ends work, takes away more tasks of a step than that allows,
// or never ends, whatever happens to the leader and to orders.
func TestWaveOfMaintenance(t *testing.T) {
	tests := map[string]func(schedule *schedule, platform *fakePlatform){
		"calm":             func(*schedule, *fakePlatform) {},
		"answers are lost": func(_ *schedule, platform *fakePlatform) { platform.disturb(true, 0) },
		"platform is busy": func(_ *schedule, platform *fakePlatform) { platform.disturb(false, 8*time.Second) },
		"leader changes":   func(schedule *schedule, _ *fakePlatform) { schedule.domain.elect(1) },
		"leader stalls":    func(schedule *schedule, _ *fakePlatform) { schedule.domain.stall(6*time.Second, 2) },
		"a worker crashes": func(schedule *schedule, _ *fakePlatform) { schedule.rebirth(schedule.names[3]) },
		"a worker is mute": func(schedule *schedule, _ *fakePlatform) { schedule.setCut(schedule.names[4], true) },
		"workers crash while the platform is busy": func(schedule *schedule, platform *fakePlatform) {
			platform.disturb(false, 6*time.Second)
			time.Sleep(3 * time.Second)
			for _, name := range schedule.names {
				schedule.rebirth(name)
			}
		},
		"several together": func(schedule *schedule, platform *fakePlatform) { platform.disturb(true, 0); schedule.domain.elect(2) },
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playWave(t, disturb) })
		})
	}
}

func playWave(t *testing.T, disturb func(schedule *schedule, platform *fakePlatform)) {
	schedule := newSchedule(t, 1)
	schedule.fleet.withVMs = true
	platform := &fakePlatform{t: t, schedule: schedule, down: map[scheduler.VMName]bool{}, had: map[scheduler.VMName]bool{}}
	for number, overseer := range schedule.overseers {
		WithMaintainer(platform, vmName(number), maintenanceLease)(overseer)
	}
	stop := schedule.start()
	schedule.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 6, Request: oneCore, LongRunning: true, MaxUnavailable: 1}}})
	schedule.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{Count: 6, Request: oneCore}}})
	time.Sleep(5 * time.Second)
	vms := []scheduler.VMName{"w0", "w1", "w2", "w3", "w4", "w5", "gone"}
	schedule.apply(jobkeeper.Command{SubmitWave: &jobkeeper.SubmitWave{
		Wave: scheduler.Wave{Number: testWave, VMs: vms, MaxConcurrent: testAtOnce, Duration: time.Minute}, Accepted: time.Now(),
	}})
	time.Sleep(2 * time.Second)
	disturb(schedule, platform)
	time.Sleep(50 * time.Second)
	schedule.domain.keeper.View(func(state *jobkeeper.State) {
		if wave, found := state.Wave(testWave); !found || !wave.Completed() {
			t.Errorf("got the wave unfinished, want it completed: %+v", wave)
		}
	})
	platform.mutex.Lock()
	if got := len(platform.had); got != 6 {
		t.Errorf("got %d VMs with maintenance, want 6", got)
	}
	platform.mutex.Unlock()
	schedule.fleet.mutex.Lock()
	if got := schedule.fleet.mostAway; got > 1 {
		t.Errorf("got %d tasks of a step away at a time by orders, want 1", got)
	}
	for _, breach := range schedule.fleet.breaches {
		t.Error(breach)
	}
	schedule.fleet.mutex.Unlock()
	stop()
	time.Sleep(20 * time.Second)
}
