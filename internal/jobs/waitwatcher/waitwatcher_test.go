package waitwatcher

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

func taskOf(job scheduler.JobID, index int, attempt scheduler.AttemptNumber) scheduler.RunID {
	return scheduler.RunID{Task: scheduler.StepTaskID{Job: job, Index: index}, Attempt: attempt}
}

func stepOf(job scheduler.JobID, room Room) Step {
	return Step{ID: packer.StepOf(scheduler.StepTaskID{Job: job}), Examine: func() Room { return room }}
}

// Guards against a task that waits beside free workers unseen, and against one that is reported although it could not have
// run for long, or was running in between.
func TestObserve(t *testing.T) {
	const late = 5
	waiting := func(attempt scheduler.AttemptNumber, places int) Room {
		return Room{Queue: "q", Tasks: []scheduler.RunID{taskOf("job", 0, attempt), taskOf("job", 1, attempt)}, Places: places, Reason: "suspect"}
	}
	gang := func(places int) Room {
		room := waiting(0, places)
		room.Gang = true
		return room
	}
	tests := map[string]struct {
		// roomAt returns the room at each observation; ok is false if the step does not wait.
		roomAt    func(second int) (room Room, ok bool)
		wantTasks int
		wantAge   time.Duration
	}{
		"room twice over": {
			func(int) (Room, bool) { return waiting(0, 4), true }, 2, late * Interval,
		},
		"room for one of two tasks": {
			func(int) (Room, bool) { return waiting(0, 3), true }, 1, late * Interval,
		},
		"room once": {
			func(int) (Room, bool) { return waiting(0, 1), true }, 0, 0,
		},
		"gang without room for all twice over": {
			func(int) (Room, bool) { return gang(3), true }, 0, 0,
		},
		"gang with room": {
			func(int) (Room, bool) { return gang(4), true }, 2, late * Interval,
		},
		"no room in between": {
			func(second int) (Room, bool) { return waiting(0, 4*min(1, max(second-2, 2-second))), true }, 0, 0,
		},
		"ran in between": {
			func(second int) (Room, bool) { return waiting(scheduler.AttemptNumber(second/3), 4), true }, 0, 0,
		},
		"did not wait in between": {
			func(second int) (Room, bool) { return waiting(0, 4), second != 2 }, 0, 0,
		},
		"room since a second": {
			func(second int) (Room, bool) { return waiting(0, 4*max(0, second-late+1)), true }, 0, 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			watcher := New()
			var overdue []Overdue
			for second := range late + 1 {
				var steps []Step
				if room, ok := test.roomAt(second); ok {
					steps = []Step{stepOf("job", room)}
				}
				overdue = watcher.Observe(time.Duration(second)*Interval, steps)
			}
			if test.wantTasks == 0 {
				if len(overdue) > 0 {
					t.Errorf("got %+v, want no overdue tasks", overdue)
				}
				return
			}
			if len(overdue) != 1 || overdue[0].Tasks() != test.wantTasks || overdue[0].Age() != test.wantAge {
				t.Fatalf("got %+v, want %d tasks of age %s", overdue, test.wantTasks, test.wantAge)
			}
			if got, want := overdue[0].Oldest(), taskOf("job", 0, 0).Task; got != want {
				t.Errorf("got oldest task %v, want %v", got, want)
			}
		})
	}
}

// Guards against counts that mix queues or reasons.
func TestObserveGroupsByQueueAndReason(t *testing.T) {
	watcher := New()
	room := func(queue scheduler.QueueName, job scheduler.JobID, reason string) Step {
		return stepOf(job, Room{Queue: queue, Tasks: []scheduler.RunID{taskOf(job, 0, 0)}, Places: RoomFactor, Reason: reason})
	}
	steps := []Step{room("a", "1", "suspect"), room("a", "2", "reserved"), room("b", "3", "suspect"), room("a", "4", "suspect")}
	watcher.Observe(0, steps)
	got := map[string]int{}
	for _, overdue := range watcher.Observe(OverdueAfter+1, steps) {
		got[fmt.Sprint(overdue.Queue(), " ", overdue.Reason())] += overdue.Tasks()
	}
	want := map[string]int{"a suspect": 2, "a reserved": 1, "b suspect": 1}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// Guards against an observation that examines all of a long queue, and against steps that are never examined.
func TestObserveIsBoundedAndFair(t *testing.T) {
	const count = 500
	watcher := New()
	examined := map[int]int{}
	var steps []Step
	for number := range count {
		job := scheduler.JobID(fmt.Sprint(number))
		// Every seventh step has room.
		room := Room{Tasks: []scheduler.RunID{taskOf(job, 0, 0)}, Places: RoomFactor * max(0, 1-number%7)}
		step := stepOf(job, room)
		step.Examine = func() Room {
			examined[number]++
			return room
		}
		steps = append(steps, step)
	}
	total := 0
	for second := range 2 * count / maxOtherSteps {
		watcher.Observe(time.Duration(second)*Interval, steps)
		sum := 0
		for _, times := range examined {
			sum += times
		}
		if got := sum - total; got > maxWatchedSteps+maxOtherSteps {
			t.Fatalf("got %d steps examined at once, want at most %d", got, maxWatchedSteps+maxOtherSteps)
		}
		total = sum
	}
	if got := len(examined); got != count {
		t.Errorf("got %d steps examined, want all %d", got, count)
	}
}
