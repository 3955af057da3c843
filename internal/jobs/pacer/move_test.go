package pacer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// backlogTask is a fill task of a backlog that is larger than what the serving tasks tolerate.
type backlogTask struct {
	run        scheduler.RunID
	left       float64 // Seconds of work at full speed.
	began      int     // Tick of the first placement.
	pausedFor  time.Duration
	share      int
	unplacedTo int // Tick until which the task saves and restores its progress.
}

// backlog plays workers whose serving loads jump at random that share a first-come-first-served queue of fill tasks.
type backlog struct {
	random         *rand.Rand
	interference   *Interference
	workers        []*backlogWorker
	queue          []*backlogTask
	tick, stops    int
	finished       int
	totalResidence float64
	started        int
}

type backlogWorker struct {
	pacer Pacer
	// burstUntil is the tick until which the serving load is high.
	burstUntil int
	fills      []*backlogTask
}

const (
	backlogTick   = 250 * time.Millisecond
	fillDemand    = 0.1
	fillWork      = 2.0 // Seconds.
	backlogLength = 60  // More than run at a time.
	moveTicks     = 4
	burstChance   = 0.03
	burstTicks    = 12
)

// step plays one tick. limit returns how long a task may be paused.
func (backlog *backlog) step(limit func(othersWait bool) time.Duration) {
	backlog.tick++
	for len(backlog.queue) < backlogLength {
		backlog.started++
		run := scheduler.RunID{Task: scheduler.StepTaskID{Job: "fill", Index: backlog.started}}
		backlog.queue = append(backlog.queue, &backlogTask{run: run, left: fillWork})
	}
	for _, worker := range backlog.workers {
		backlog.work(worker, limit)
	}
	for _, worker := range backlog.workers {
		forecast := worker.pacer.Forecast([]ImageUsage{{Image: "press", Fraction: fillDemand * float64(len(worker.fills))}}, backlog.interference)
		if next := backlog.queue[0]; forecast.Excess("press", fillDemand) <= 0 && next.unplacedTo <= backlog.tick {
			backlog.queue = backlog.queue[1:]
			next.share, next.pausedFor = fullShare, 0
			if next.began == 0 {
				next.began = backlog.tick
			}
			worker.fills = append(worker.fills, next)
		}
	}
}

func (backlog *backlog) work(worker *backlogWorker, limit func(bool) time.Duration) {
	var sample Sample
	if worker.burstUntil < backlog.tick && backlog.random.Float64() < burstChance {
		worker.burstUntil = backlog.tick + burstTicks
	}
	load := 0.3
	if worker.burstUntil >= backlog.tick {
		load = 0.72
	}
	for _, fill := range worker.fills {
		usage := fillDemand * float64(fill.share) / fullShare
		load += usage
		sample.Fill = append(sample.Fill, FillSample{Run: fill.run, Image: "press", Usage: usage, Demand: fillDemand, Share: fill.share})
	}
	serving := scheduler.RunID{Task: scheduler.StepTaskID{Job: "serving"}}
	sample.Serving = []ServingSample{{Run: serving, Image: "chart", Ratio: idleLatency / max(1-load, 0.01)}}
	shares := worker.pacer.Decide(sample, backlog.interference)
	kept := worker.fills[:0]
	for _, fill := range worker.fills {
		fill.left -= backlogTick.Seconds() * float64(fill.share) / fullShare
		fill.share = shares[fill.run]
		fill.pausedFor += backlogTick
		if fill.share > 0 {
			fill.pausedFor = 0
		}
		switch {
		case fill.left <= 0:
			backlog.finished++
			backlog.totalResidence += float64(backlog.tick-fill.began) * backlogTick.Seconds()
		case fill.pausedFor > limit(true):
			backlog.stops++
			fill.unplacedTo = backlog.tick + moveTicks
			backlog.queue = append(backlog.queue, fill)
		default:
			kept = append(kept, fill)
		}
	}
	worker.fills = kept
}

func playBacklog(limit func(othersWait bool) time.Duration) *backlog {
	backlog := &backlog{random: rand.New(rand.NewPCG(1, 1)), interference: NewInterference()}
	for range 12 {
		backlog.workers = append(backlog.workers, &backlogWorker{})
	}
	for range 480 {
		backlog.step(limit)
	}
	return backlog
}

// Guards against fill tasks that are stopped at each burst of load and then wait behind a backlog: tasks must
// finish sooner after their first placement, with at most half of the stops, and as many must finish. Where workers accept a task,
// it must be moved as soon as before.
func TestPausedTasksOutlastABurst(t *testing.T) {
	if got, want := MaxPause(false), 1500*time.Millisecond; got != want {
		t.Errorf("got %s where workers accept the task, want %s", got, want)
	}
	got := playBacklog(MaxPause)
	impatient := playBacklog(func(bool) time.Duration { return maxPause })
	if want := impatient.stops / 2; got.stops > want {
		t.Errorf("got %d stops, want at most %d", got.stops, want)
	}
	residence := got.totalResidence / float64(got.finished)
	if want := impatient.totalResidence / float64(impatient.finished); residence > want {
		t.Errorf("got %.2f s from the first placement to the end, want at most %.2f s", residence, want)
	}
	if got.finished < impatient.finished*95/100 {
		t.Errorf("got %d finished tasks, want at least 95%% of %d", got.finished, impatient.finished)
	}
}
