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

// workers returns one worker with 8 cores for each number of free cores.
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

// Guards against tasks on a worker that lacks the capacity or violates a constraint, and against fragmentation of the
// free capacity.
func TestPack(t *testing.T) {
	tests := map[string]struct {
		workers []*Worker
		group   Group
		want    []scheduler.WorkerName
	}{
		"fullest worker on which the task fits":       {workers(8, 3, 1), group(scheduler.Step{Count: 1, Request: cores(2)}), []scheduler.WorkerName{"w1"}},
		"as many tasks as fit":                        {workers(3), group(scheduler.Step{Count: 4, Request: cores(1)}), []scheduler.WorkerName{"w0", "w0", "w0"}},
		"no worker fits":                              {workers(1, 1), group(scheduler.Step{Count: 1, Request: cores(2)}), nil},
		"limit of tasks per worker":                   {workers(8, 8), group(scheduler.Step{Count: 3, Request: cores(1), MaxPerWorker: 1}), []scheduler.WorkerName{"w0", "w1"}},
		"label that no worker has":                    {workers(8), group(scheduler.Step{Count: 1, RequiredLabel: "gpu"}), nil},
		"preferred rack":                              {workers(1, 1, 8), group(scheduler.Step{Count: 1, Request: cores(1), PreferredRack: "r1"}), []scheduler.WorkerName{"w2"}},
		"single rack for a rack-local step":           {workers(2, 2, 2, 2), group(scheduler.Step{Count: 4, Request: cores(1), RackLocal: true}), []scheduler.WorkerName{"w0", "w0", "w1", "w1"}},
		"gang that does not fit":                      {workers(1, 1), group(scheduler.Step{Count: 3, Request: cores(1), Gang: true}), nil},
		"gang that fits":                              {workers(1, 2), group(scheduler.Step{Count: 3, Request: cores(1), Gang: true}), []scheduler.WorkerName{"w0", "w1", "w1"}},
		"fill task on the worker with the most slack": {workers(2, 7), group(scheduler.Step{Count: 1, Request: cores(4), Fill: true}), []scheduler.WorkerName{"w1"}},
		"no fill task without enough slack":           {workers(1), group(scheduler.Step{Count: 1, Request: cores(4), Fill: true}), nil},
		"serving tasks of the same image together":    {withImages(workers(8, 8, 8), "x", "y", ""), group(scheduler.Step{Count: 1, Request: cores(1), LatencyTarget: 1, Image: "y"}), []scheduler.WorkerName{"w1"}},
		"empty worker preferred to mixed images":      {withImages(workers(4, 8), "x", ""), group(scheduler.Step{Count: 1, Request: cores(1), LatencyTarget: 1, Image: "y"}), []scheduler.WorkerName{"w1"}},
		"mixed images rather than no worker":          {withImages(workers(4), "x"), group(scheduler.Step{Count: 1, Request: cores(1), LatencyTarget: 1, Image: "y"}), []scheduler.WorkerName{"w0"}},
		"no fill task that would interfere":           {withExcess(workers(8, 8), 0.1, -0.2), group(scheduler.Step{Count: 1, Request: cores(1), Fill: true}), []scheduler.WorkerName{"w1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []scheduler.WorkerName
			for _, assignment := range Pack(test.workers, []Group{test.group}) {
				got = append(got, assignment.Worker)
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// withImages adds a serving task of one image to each worker. An empty image adds none.
func withImages(workers []*Worker, images ...string) []*Worker {
	for position, image := range images {
		if image != "" {
			workers[position].Images = ImageCounts{{Image: image, Count: 1}}
		}
	}
	return workers
}

// withExcess sets the predicted excess utilisation of each worker.
func withExcess(workers []*Worker, excess ...float64) []*Worker {
	for position, predicted := range excess {
		workers[position].Forecast = &fakeForecast{excess: predicted}
	}
	return workers
}

// fakeForecast predicts the same excess for every task and counts the calls of Excess.
type fakeForecast struct {
	excess float64
	calls  int
}

func (forecast *fakeForecast) Excess(string, float64) float64 {
	forecast.calls++
	return forecast.excess
}

func (forecast *fakeForecast) Add(string, float64) {}

// Guards against decisions whose cost grows with the length of the queue. With a thousand pending fill tasks, the leader
// used up its CPU time on decisions and placed hardly any task (hunt-2c06-31 of cmgsu-plank).
func TestLongQueueDecisionCost(t *testing.T) {
	list := withExcess(workers(8, 8), 0.1, 0.1)
	var groups []Group
	for range 1000 {
		groups = append(groups, group(scheduler.Step{Count: 5, Request: cores(1), Fill: true, Image: "x"}))
	}
	larger := group(scheduler.Step{Count: 1, Request: cores(2), Fill: true, Image: "x"})
	if got := len(Pack(list, append(groups, larger))); got != 0 {
		t.Errorf("got %d assignments, want none", got)
	}
	if got, want := list[0].Forecast.(*fakeForecast).calls, 1; got != want {
		t.Errorf("got %d calls of Excess for a worker, want %d", got, want)
	}
}

// Guards against a job of which no task runs although half of the pool is free, and against more than one task of such a
// job on workers where it interferes.
func TestStarvedJobGetsOneTask(t *testing.T) {
	starved := group(scheduler.Step{Count: 3, Request: cores(1), Fill: true})
	starved.Starved = true
	got := Pack(withExcess(workers(8, 8), 0.5, 0.2), []Group{group(scheduler.Step{Count: 1, Request: cores(1), Fill: true}), starved})
	if len(got) != 1 || got[0].Worker != "w1" {
		t.Errorf("got %v, want one task on w1", got)
	}
}

// Guards against the starvation of a long-running task because short tasks take all capacity that becomes free.
func TestCapacityIsHeldForLongRunningTasks(t *testing.T) {
	list := workers(2, 2, 2, 2, 2, 3, 2, 2, 2, 2)
	groups := []Group{
		group(scheduler.Step{Count: 1, Request: cores(4), LongRunning: true}),
		group(scheduler.Step{Count: 30, Request: cores(1)}),
	}
	assignments := Pack(list, groups)
	for _, assignment := range assignments {
		if assignment.Worker == "w5" {
			t.Fatal("got a short task on the worker with the most free capacity")
		}
	}
	if got, want := len(assignments), 18; got != want {
		t.Errorf("got %d short tasks placed, want %d on the other workers", got, want)
	}
}

// Guards against a group that is skipped because of an unplaceable step with a larger request or of another kind.
func TestUnplaceableStepsCoverOnlyEquivalents(t *testing.T) {
	list := workers(2, 2)
	groups := []Group{
		group(scheduler.Step{Count: 1, Request: cores(3)}),
		group(scheduler.Step{Count: 1, Request: cores(2)}),
		group(scheduler.Step{Count: 1, Request: cores(3), Fill: true}),
		group(scheduler.Step{Count: 1, Request: cores(1)}),
	}
	if got, want := len(Pack(list, groups)), 2; got != want {
		t.Errorf("got %d assignments, want %d", got, want)
	}
}

// Guards against assignments that together exceed a worker's capacity, and against capacity that stays reserved for a
// gang that did not fit.
func TestAssignmentsReserveCapacity(t *testing.T) {
	list := workers(4)
	gang := group(scheduler.Step{Count: 5, Request: cores(1), Gang: true})
	plain := group(scheduler.Step{Count: 6, Request: cores(1)})
	if got, want := len(Pack(list, []Group{gang, plain})), 4; got != want {
		t.Errorf("got %d assignments, want %d", got, want)
	}
	if got := list[0].Free; got.MilliCores != 0 {
		t.Errorf("got %v free, want no free CPU", got)
	}
}

// Guards against batch jobs that start before urgent ones, and against jobs that are already late and delay all others.
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
	for position, input := range order {
		urgency := UrgencyOf(input, now)
		if urgency.Prospect != prospects[position] {
			t.Errorf("input %d: got prospect %s, want %s", position, urgency.Prospect, prospects[position])
		}
		if position > 0 && UrgencyOf(order[position-1], now).Compare(urgency) >= 0 {
			t.Errorf("input %d is at least as urgent as input %d, want less urgent", position, position-1)
		}
	}
}

// Guards against the sum of all steps instead of the longest dependency chain.
func TestCriticalPath(t *testing.T) {
	steps := []scheduler.Step{{}, {}, {DependsOn: []int{0}}, {DependsOn: []int{1, 2}}}
	weights := []time.Duration{2 * time.Second, 5 * time.Second, time.Second, time.Second}
	got := CriticalPath(steps, func(step int) time.Duration { return weights[step] })
	if want := 6 * time.Second; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
