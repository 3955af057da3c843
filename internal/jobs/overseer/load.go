package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// loadInterval is how often the load of the domain is logged.
const loadInterval = 2 * time.Second

// load is a summary of what the domain's workers do.
type load struct {
	workers, usable         int
	withoutServing          int
	capacity, reserved      int64
	serving, running, fills int
	fillUsage               int64
	held                    int
	readyServing            int
	readyFill               int
	ready                   int
	readyCores              int64
}

// logLoad writes one line about the load, so that a late job can be explained afterwards.
func (leadership *leadership) logLoad() {
	load := leadership.summarise()
	leadership.logger.Info().Str("event", "load").Int("workers", load.workers).Int("usable", load.usable).Int("withoutServing", load.withoutServing).
		Int64("capacity", load.capacity).Int64("reserved", load.reserved).Int("serving", load.serving).Int("running", load.running).
		Int("fills", load.fills).Int64("fillUsage", load.fillUsage).Int("held", load.held).Int("readyServing", load.readyServing).
		Int("readyFill", load.readyFill).Int("ready", load.ready).Int64("readyCores", load.readyCores).Msg("load of the domain")
}

func (leadership *leadership) summarise() load {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	var load load
	now := leadership.now()
	silence := leadership.silence()
	for _, life := range leadership.lives {
		load.workers++
		if life.mayTakeWork(now, silence) {
			load.usable++
		}
		load.capacity += life.beat.Capacity.MilliCores
		for _, attempt := range life.attempts {
			load.add(attempt)
		}
		if len(life.survey().images) == 0 {
			load.withoutServing++
		}
	}
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		state.VisitReady(func(task *jobkeeper.Task) {
			load.addReady(task.Step().Spec())
		})
	})
	return load
}

func (load *load) add(attempt *attempt) {
	load.reserved += attempt.spec.Reserved().MilliCores
	switch {
	case attempt.spec.LongRunning:
		load.serving++
	case attempt.spec.Fill:
		load.fills++
		load.fillUsage += int64(attempt.running.LoadSample)
		if attempt.wantedShare == 0 {
			load.held++
		}
	default:
		load.running++
	}
}

func (load *load) addReady(spec *scheduler.Step) {
	load.readyCores += spec.Reserved().MilliCores
	switch {
	case spec.LongRunning:
		load.readyServing++
	case spec.Fill:
		load.readyFill++
	default:
		load.ready++
	}
}
