package packer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// overload plays a pool for half a minute whose callers ask for a third more than it can do. Jobs have one step of
// equal tasks and differ widely in size.
type overload struct {
	jobs []*playedJob
	free int
	now  time.Time
}

type playedJob struct {
	since   time.Time
	size    int
	waiting int
	open    int
	ended   time.Time
	timely  bool
}

const (
	poolSlots = 200
	runTime   = 2 * time.Second
	playStep  = 50 * time.Millisecond
)

func newOverload(seed uint64) *overload {
	random := rand.New(rand.NewPCG(seed, seed))
	play := &overload{free: poolSlots, now: time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)}
	begin, asked := play.now, 0.0
	for asked < 30*1.33*poolSlots/runTime.Seconds() {
		size := 1 + int(6*random.ExpFloat64()*random.ExpFloat64())
		since := begin.Add(time.Duration(random.Int64N(int64(30 * time.Second))))
		play.jobs = append(play.jobs, &playedJob{since: since, size: size, waiting: size, open: size})
		asked += float64(size)
	}
	return play
}

func (job *playedJob) work() UrgencyInput {
	return UrgencyInput{
		Queue: scheduler.Queue{Slowdown: 2, LatencyTarget: time.Second}, ReleaseTime: job.since, CriticalPath: runTime, RemainingPath: runTime,
		RemainingWork: int64(job.open) * runTime.Milliseconds(),
	}
}

// run serves the jobs in an order of their urgencies and returns the share of the jobs that were in time, and the
// share of the largest tenth that was served at all.
func (play *overload) run(compare func(a, b Urgency) int) (timely, largest float64) {
	running := map[time.Time][]*playedJob{}
	end := play.now.Add(45 * time.Second)
	for ; play.now.Before(end); play.now = play.now.Add(playStep) {
		for _, job := range running[play.now] {
			play.free++
			if job.open--; job.open == 0 {
				job.ended = play.now
				job.timely = UrgencyOf(UrgencyInput{Queue: job.work().Queue, ReleaseTime: job.since, CriticalPath: runTime}, play.now).Prospect == ProspectTimely
			}
		}
		delete(running, play.now)
		until := play.now.Add(runTime)
		for _, job := range play.waiting(compare) {
			started := min(job.waiting, play.free)
			job.waiting -= started
			play.free -= started
			for range started {
				running[until] = append(running[until], job)
			}
		}
	}
	return play.shares()
}

func (play *overload) waiting(compare func(a, b Urgency) int) []*playedJob {
	var waiting []*playedJob
	for _, job := range play.jobs {
		if job.waiting > 0 && !play.now.Before(job.since) {
			waiting = append(waiting, job)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *playedJob) int {
		return compare(UrgencyOf(a.work(), play.now), UrgencyOf(b.work(), play.now))
	})
	return waiting
}

func (play *overload) shares() (timely, largest float64) {
	slices.SortFunc(play.jobs, func(a, b *playedJob) int { return b.size - a.size })
	tenth := len(play.jobs) / 10
	for position, job := range play.jobs {
		if job.timely {
			timely++
		}
		if position < tenth && !job.ended.IsZero() {
			largest++
		}
	}
	return timely / float64(len(play.jobs)), largest / float64(tenth)
}

// otherOrders are simpler than that of Urgency.
var otherOrders = map[string]func(a, b Urgency) int{
	"by deadline": func(a, b Urgency) int { return a.Deadline.Compare(b.Deadline) },
	"by prospect, then by deadline": func(a, b Urgency) int {
		return cmp.Or(cmp.Compare(ranks[a.Prospect], ranks[b.Prospect]), a.Deadline.Compare(b.Deadline))
	},
}

// Guards against an order in which most jobs of an overloaded pool are begun when it is too late for them, and
// against one that never serves the largest ones: the users ask that these are served at least half as often.
func TestOrderUnderOverload(t *testing.T) {
	for seed := range uint64(10) {
		timely, largest := newOverload(seed).run(Urgency.Compare)
		for name, other := range otherOrders {
			if share, _ := newOverload(seed).run(other); timely <= share {
				t.Errorf("seed %d: got %.2f of the jobs in time, want more than %.2f, the share %s", seed, timely, share, name)
			}
		}
		if largest < 0.5 {
			t.Errorf("seed %d: got %.2f of the largest tenth served, want half", seed, largest)
		}
	}
}

// suitedForecast forbids some images.
type suitedForecast struct {
	harmful string
}

func (forecast suitedForecast) Excess(image string, _ float64) float64 {
	if image == forecast.harmful {
		return 1
	}
	return -0.5
}

func (forecast suitedForecast) Add(string, float64) {}

// Guards against fill tasks that could run anywhere and take the only room of an image that waits.
func TestFillTasksLeaveScarceRoom(t *testing.T) {
	pool := workers(7, 8, 7)
	for position, harmful := range []string{"heavy", "", "heavy"} {
		pool[position].Forecast = suitedForecast{harmful: harmful}
	}
	light := group(scheduler.Step{Count: 2, Request: cores(4), Fill: true, Image: "light"})
	heavy := group(scheduler.Step{Count: 2, Request: cores(4), Fill: true, Image: "heavy"})
	for position := range heavy.Tasks {
		heavy.Tasks[position].Job = "h"
	}
	got := map[scheduler.JobID][]scheduler.WorkerName{}
	for _, choice := range Pack(pool, []Group{light, heavy}) {
		got[choice.Task.Job] = append(got[choice.Task.Job], choice.Worker)
	}
	if !slices.Equal(got["h"], []scheduler.WorkerName{"w1", "w1"}) || len(got["j"]) != 2 {
		t.Errorf("got %v, want both heavy tasks on w1 and the light ones elsewhere", got)
	}
}
