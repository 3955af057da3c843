package pacer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fleetTask is a fill task.
type fleetTask struct {
	run         scheduler.RunID
	left        float64 // Seconds of work at full speed.
	began       int     // Tick of the first placement.
	pausedFor   time.Duration
	share       int
	movingUntil int // Tick until which the task saves and restores its progress.
}

// fleet plays workers whose serving loads jump at random that share a first-come-first-served queue of fill tasks.
type fleet struct {
	random         *rand.Rand
	interference   *Interference
	workers        []*fleetWorker
	queue          []*fleetTask
	tick           int
	finished       int
	totalResidence float64
	started        int
}

type fleetWorker struct {
	pacer Pacer
	// burstUntil is the tick until which the serving load is high.
	burstUntil int
	fills      []*fleetTask
}

const (
	fleetTick   = 250 * time.Millisecond
	fillDemand  = 0.1
	fillWork    = 2.0 // Seconds.
	arrivals    = 2   // Tasks a tick.
	moveTicks   = 4
	burstChance = 0.03
	burstTicks  = 12
)

// step plays one tick. limit is how long a task may be paused.
func (fleet *fleet) step(limit time.Duration) {
	fleet.tick++
	for range arrivals {
		fleet.started++
		run := scheduler.RunID{Task: scheduler.StepTaskID{Job: "fill", Index: fleet.started}}
		fleet.queue = append(fleet.queue, &fleetTask{run: run, left: fillWork})
	}
	for _, worker := range fleet.workers {
		fleet.work(worker, limit)
	}
	for _, worker := range fleet.workers {
		forecast := worker.pacer.Forecast([]ImageUsage{{Image: "press", Fraction: fillDemand * float64(len(worker.fills))}}, fleet.interference)
		if len(fleet.queue) == 0 {
			return
		}
		if next := fleet.queue[0]; forecast.Excess("press", fillDemand) <= 0 && next.movingUntil <= fleet.tick {
			fleet.queue = fleet.queue[1:]
			next.share, next.pausedFor = fullShare, 0
			if next.began == 0 {
				next.began = fleet.tick
			}
			worker.fills = append(worker.fills, next)
		}
	}
}

func (fleet *fleet) work(worker *fleetWorker, limit time.Duration) {
	var sample Sample
	if worker.burstUntil < fleet.tick && fleet.random.Float64() < burstChance {
		worker.burstUntil = fleet.tick + burstTicks
	}
	load := 0.3
	if worker.burstUntil >= fleet.tick {
		load = 0.72
	}
	for _, fill := range worker.fills {
		usage := fillDemand * float64(fill.share) / fullShare
		load += usage
		sample.Fill = append(sample.Fill, FillSample{Run: fill.run, Image: "press", Usage: usage, Demand: fillDemand, Share: fill.share})
	}
	serving := scheduler.RunID{Task: scheduler.StepTaskID{Job: "serving"}}
	sample.Serving = []ServingSample{{Run: serving, Image: "chart", Ratio: idleLatency / max(1-load, 0.01)}}
	shares := worker.pacer.Decide(sample, fleet.interference)
	kept := worker.fills[:0]
	for _, fill := range worker.fills {
		fill.left -= fleetTick.Seconds() * float64(fill.share) / fullShare
		fill.share = shares[fill.run]
		fill.pausedFor += fleetTick
		if fill.share > 0 {
			fill.pausedFor = 0
		}
		switch {
		case fill.left <= 0:
			fleet.finished++
			fleet.totalResidence += float64(fleet.tick-fill.began) * fleetTick.Seconds()
		case fill.pausedFor > limit:
			fill.movingUntil = fleet.tick + moveTicks
			fleet.queue = append(fleet.queue, fill)
		default:
			kept = append(kept, fill)
		}
	}
	worker.fills = kept
}

func playFleet(limit time.Duration) *fleet {
	fleet := &fleet{random: rand.New(rand.NewPCG(1, 1)), interference: NewInterference()}
	for range 12 {
		fleet.workers = append(fleet.workers, &fleetWorker{})
	}
	for range 480 {
		fleet.step(limit)
	}
	return fleet
}

// Guards against steps that wait for a paused task although another worker has room: with bursts of 3 s on some workers,
// tasks must finish sooner after their first placement than with a pause of 1.5 s, and as many must finish.
func TestPausedTasksMoveDuringABurst(t *testing.T) {
	got, patient := playFleet(MaxPause), playFleet(1500*time.Millisecond)
	residence := got.totalResidence / float64(got.finished)
	if want := patient.totalResidence / float64(patient.finished); residence >= want {
		t.Errorf("got %.2f s from the first placement to the end, want less than %.2f s", residence, want)
	}
	if got.finished < patient.finished*95/100 {
		t.Errorf("got %d finished tasks, want at least 95%% of %d", got.finished, patient.finished)
	}
}
