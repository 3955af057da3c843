package packer

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

func cores(count int64) scheduler.Resources {
	return scheduler.Resources{MilliCores: 1000 * count, MemoryBytes: count << 30}
}

// workers returns a worker with 8 cores for each amount of free ones.
func workers(free ...int64) []*Worker {
	var list []*Worker
	for position, count := range free {
		list = append(list, &Worker{
			Name: scheduler.WorkerName(fmt.Sprintf("w%d", position)), Rack: fmt.Sprintf("r%d", position/2), Labels: []string{"a"},
			Capacity: cores(8), Free: cores(count), Slack: 1000 * count,
		})
	}
	return list
}

func group(step scheduler.Step) Group {
	group := Group{Step: &step}
	for index := range step.Count {
		group.Tasks = append(group.Tasks, scheduler.StepTaskID{Job: "j", Index: index})
	}
	return group
}

// Guards against work on a worker that cannot hold it or must not have it, and against room that is lost to
// fragments.
func TestPack(t *testing.T) {
	tests := map[string]struct {
		workers []*Worker
		group   Group
		want    []scheduler.WorkerName
	}{
		"the fullest worker that holds the task":   {workers(8, 3, 1), group(scheduler.Step{Count: 1, Request: cores(2)}), []scheduler.WorkerName{"w1"}},
		"as many as fit":                           {workers(3), group(scheduler.Step{Count: 4, Request: cores(1)}), []scheduler.WorkerName{"w0", "w0", "w0"}},
		"nothing fits":                             {workers(1, 1), group(scheduler.Step{Count: 1, Request: cores(2)}), nil},
		"a bound for each worker":                  {workers(8, 8), group(scheduler.Step{Count: 3, Request: cores(1), MaxPerWorker: 1}), []scheduler.WorkerName{"w0", "w1"}},
		"a label that no worker has":               {workers(8), group(scheduler.Step{Count: 1, RequiredLabel: "gpu"}), nil},
		"the rack of the data":                     {workers(1, 1, 8), group(scheduler.Step{Count: 1, Request: cores(1), PreferredRack: "r1"}), []scheduler.WorkerName{"w2"}},
		"one rack for a rack-local step":           {workers(2, 2, 2, 2), group(scheduler.Step{Count: 4, Request: cores(1), RackLocal: true}), []scheduler.WorkerName{"w0", "w0", "w1", "w1"}},
		"a gang that does not fit waits":           {workers(1, 1), group(scheduler.Step{Count: 3, Request: cores(1), Gang: true}), nil},
		"a gang that fits":                         {workers(1, 2), group(scheduler.Step{Count: 3, Request: cores(1), Gang: true}), []scheduler.WorkerName{"w0", "w1", "w1"}},
		"fill work where most is unused":           {workers(2, 7), group(scheduler.Step{Count: 1, Request: cores(4), Fill: true}), []scheduler.WorkerName{"w1"}},
		"no fill work where next to nothing is":    {workers(1), group(scheduler.Step{Count: 1, Request: cores(4), Fill: true}), nil},
		"serving tasks of an image stay together":  {imaged(workers(8, 8, 8), "x", "y", ""), group(scheduler.Step{Count: 1, Request: cores(1), LatencyTarget: 1, Image: "y"}), []scheduler.WorkerName{"w1"}},
		"an empty worker before one that is mixed": {imaged(workers(4, 8), "x", ""), group(scheduler.Step{Count: 1, Request: cores(1), LatencyTarget: 1, Image: "y"}), []scheduler.WorkerName{"w1"}},
		"mixed before not at all":                  {imaged(workers(4), "x"), group(scheduler.Step{Count: 1, Request: cores(1), LatencyTarget: 1, Image: "y"}), []scheduler.WorkerName{"w0"}},
		"no fill work that harms":                  {harmed(workers(8, 8), 0.1, -0.2), group(scheduler.Step{Count: 1, Request: cores(1), Fill: true}), []scheduler.WorkerName{"w1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []scheduler.WorkerName
			for _, choice := range Pack(test.workers, []Group{test.group}) {
				got = append(got, choice.Worker)
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// imaged gives each worker a serving task of an image, if it is not empty.
func imaged(workers []*Worker, images ...string) []*Worker {
	for position, image := range images {
		if image != "" {
			workers[position].Images = ImageCounts{{Image: image, Count: 1}}
		}
	}
	return workers
}

// harmed gives each worker an expected excess.
func harmed(workers []*Worker, excess ...float64) []*Worker {
	for position, expected := range excess {
		workers[position].Forecast = &fakeForecast{excess: expected}
	}
	return workers
}

// fakeForecast expects the same excess of every task and counts how often it is asked.
type fakeForecast struct {
	excess float64
	asked  int
}

func (forecast *fakeForecast) Excess(string, float64) float64 {
	forecast.asked++
	return forecast.excess
}

func (forecast *fakeForecast) Add(string, float64) {}

// Guards against a decision whose cost grows with the queue: with a thousand fill tasks that waited, the leader
// spent its processor on decisions and placed next to nothing (hunt-2c06-31 of cmgsu-plank).
func TestLongQueueCostsNoMore(t *testing.T) {
	list := harmed(workers(8, 8), 0.1, 0.1)
	var groups []Group
	for range 1000 {
		groups = append(groups, group(scheduler.Step{Count: 5, Request: cores(1), Fill: true, Image: "x"}))
	}
	larger := group(scheduler.Step{Count: 1, Request: cores(2), Fill: true, Image: "x"})
	if got := len(Pack(list, append(groups, larger))); got != 0 {
		t.Errorf("got %d choices, want none", got)
	}
	if got, want := list[0].Forecast.(*fakeForecast).asked, 1; got != want {
		t.Errorf("got %d questions about a worker, want %d", got, want)
	}
}

// Guards against a job of which nothing runs while half of the pool is free, and against more than one task of it
// where it harms.
func TestStarvedJobGetsOneTask(t *testing.T) {
	starved := group(scheduler.Step{Count: 3, Request: cores(1), Fill: true})
	starved.Starved = true
	got := Pack(harmed(workers(8, 8), 0.5, 0.2), []Group{group(scheduler.Step{Count: 1, Request: cores(1), Fill: true}), starved})
	if len(got) != 1 || got[0].Worker != "w1" {
		t.Errorf("got %v, want one task on w1", got)
	}
}

// Guards against a long-running task that never finds room because short tasks fill each gap.
func TestRoomIsHeldForLongRunningTasks(t *testing.T) {
	list := workers(2, 2, 2, 2, 2, 3, 2, 2, 2, 2)
	groups := []Group{
		group(scheduler.Step{Count: 1, Request: cores(4), LongRunning: true}),
		group(scheduler.Step{Count: 30, Request: cores(1)}),
	}
	choices := Pack(list, groups)
	for _, choice := range choices {
		if choice.Worker == "w5" {
			t.Fatal("got a short task on the worker with most room")
		}
	}
	if got, want := len(choices), 18; got != want {
		t.Errorf("got %d short tasks placed, want %d on the other workers", got, want)
	}
}

// Guards against a refusal that is taken for one of another kind.
func TestRefusalsCoverOnlyTheLikes(t *testing.T) {
	list := workers(2, 2)
	groups := []Group{
		group(scheduler.Step{Count: 1, Request: cores(3)}),
		group(scheduler.Step{Count: 1, Request: cores(2)}),
		group(scheduler.Step{Count: 1, Request: cores(3), Fill: true}),
		group(scheduler.Step{Count: 1, Request: cores(1)}),
	}
	if got, want := len(Pack(list, groups)), 2; got != want {
		t.Errorf("got %d choices, want %d", got, want)
	}
}

// Guards against choices that together exceed a worker, or that leave room behind after a gang was given up.
func TestChoicesCountAsReserved(t *testing.T) {
	list := workers(4)
	gang := group(scheduler.Step{Count: 5, Request: cores(1), Gang: true})
	plain := group(scheduler.Step{Count: 6, Request: cores(1)})
	if got, want := len(Pack(list, []Group{gang, plain})), 4; got != want {
		t.Errorf("got %d choices, want %d", got, want)
	}
	if got := list[0].Free; got.MilliCores != 0 {
		t.Errorf("got %v free, want none", got)
	}
}

// Guards against batch work that starts before urgent work, and against a queue in which jobs that are too late
// make all others late as well.
func TestUrgency(t *testing.T) {
	now := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	queue := func(priority int) scheduler.Queue {
		return scheduler.Queue{Priority: priority, Slowdown: 2, LatencyTarget: time.Second}
	}
	// The objective of each job is 2 x 4 s + 1 s.
	order := []UrgencyInput{
		{Queue: queue(0), ReleaseTime: now.Add(-20 * time.Second), CriticalPath: 4 * time.Second, RemainingPath: 4 * time.Second},
		{Queue: queue(2), ReleaseTime: now.Add(-4 * time.Second), CriticalPath: 4 * time.Second, RemainingPath: 4 * time.Second},
		{Queue: queue(2), ReleaseTime: now.Add(-time.Second), CriticalPath: 4 * time.Second, RemainingPath: 4 * time.Second},
		{Queue: queue(2), ReleaseTime: now.Add(-20 * time.Second), CriticalPath: 4 * time.Second, RemainingPath: 4 * time.Second},
		{Queue: queue(2), ReleaseTime: now.Add(-10 * time.Second), CriticalPath: 4 * time.Second, RemainingPath: 4 * time.Second},
		{Queue: queue(2), ReleaseTime: now.Add(-60 * time.Second), CriticalPath: 4 * time.Second, RemainingPath: 4 * time.Second},
	}
	prospects := []Prospect{ProspectLate, ProspectTimely, ProspectTimely, ProspectLate, ProspectLate, ProspectLost}
	for position, work := range order {
		urgency := UrgencyOf(work, now)
		if urgency.Prospect != prospects[position] {
			t.Errorf("%d: got prospect %s, want %s", position, urgency.Prospect, prospects[position])
		}
		if position > 0 && UrgencyOf(order[position-1], now).Compare(urgency) >= 0 {
			t.Errorf("%d comes before %d, want after", position, position-1)
		}
	}
}

// Guards against the sum of all steps in place of the longest chain.
func TestChain(t *testing.T) {
	steps := []scheduler.Step{{}, {}, {DependsOn: []int{0}}, {DependsOn: []int{1, 2}}}
	weights := []time.Duration{2 * time.Second, 5 * time.Second, time.Second, time.Second}
	got := CriticalPath(steps, func(step int) time.Duration { return weights[step] })
	if want := 6 * time.Second; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
