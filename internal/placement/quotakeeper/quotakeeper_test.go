package quotakeeper

import (
	"slices"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func cores(n int64) scheduler.Resources { return scheduler.Resources{MilliCores: n * 1000} }

func newQuotakeeper(t *testing.T) *Quotakeeper {
	t.Helper()
	k, err := New(scheduler.Resources{MilliCores: 100_000, MemoryBytes: 1000, Accelerators: 10})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []scheduler.TeamName{"a", "b", "c"} {
		k.SetQuota(name, scheduler.Resources{MilliCores: 30_000, MemoryBytes: 300, Accelerators: 3})
	}
	return k
}

func pending(id string, request scheduler.Resources, waitTime time.Duration, urgent bool) scheduler.PendingTask {
	return scheduler.PendingTask{
		Task: scheduler.TaskID(id), Team: scheduler.TeamName(id[:1]), WaitTime: waitTime, Urgent: urgent,
		Spec: scheduler.TaskSpec{Class: scheduler.ClassBatch, Request: request},
	}
}

// Guards against preferring a team because it uses little of one resource although it uses much of another, against
// serving a team that submits many tasks before the others, and against starvation.
func TestOrder(t *testing.T) {
	cases := map[string]struct {
		used    map[string]scheduler.Resources
		pending []scheduler.PendingTask
		limit   int
		want    []string
	}{
		"lowest share first": {
			used:    map[string]scheduler.Resources{"a/0": cores(20), "b/0": cores(10)},
			pending: []scheduler.PendingTask{pending("a/1", cores(1), time.Minute, false), pending("b/1", cores(1), 0, false)}, want: []string{"b/1", "a/1"},
		},
		"dominant resource": {
			used:    map[string]scheduler.Resources{"a/0": {MilliCores: 1000, MemoryBytes: 250}, "b/0": cores(10)},
			pending: []scheduler.PendingTask{pending("a/1", cores(1), time.Minute, false), pending("b/1", cores(1), 0, false)}, want: []string{"b/1", "a/1"},
		},
		"teams alternate": {
			pending: []scheduler.PendingTask{pending("a/1", cores(5), 9, false), pending("a/2", cores(5), 8, false), pending("b/1", cores(5), 1, false), pending("b/2", cores(5), 0, false)},
			want:    []string{"a/1", "b/1", "a/2", "b/2"},
		},
		"urgent first": {
			pending: []scheduler.PendingTask{pending("a/1", cores(1), time.Hour, false), pending("b/1", cores(1), 0, true)}, want: []string{"b/1 urgent", "a/1"},
		},
		"urgent beyond quota is not urgent": {
			used:    map[string]scheduler.Resources{"b/0": cores(30)},
			pending: []scheduler.PendingTask{pending("a/1", cores(1), 0, false), pending("b/1", cores(1), 0, true)}, want: []string{"a/1", "b/1"},
		},
		"starved team gets one task first": {
			pending: []scheduler.PendingTask{pending("z/1", cores(1), time.Hour, false), pending("z/2", cores(1), time.Hour, false), pending("a/1", cores(1), 0, false)},
			want:    []string{"z/1", "a/1", "z/2"},
		},
		"limit": {limit: 1, pending: []scheduler.PendingTask{pending("a/1", cores(1), 0, false), pending("b/1", cores(1), 0, false)}, want: []string{"a/1"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			k := newQuotakeeper(t)
			for id, request := range c.used {
				k.TaskStarted(start.Add(-time.Hour), scheduler.TaskID(id), scheduler.TeamName(id[:1]), request)
			}
			if c.limit == 0 {
				c.limit = 100
			}
			var got []string
			for _, task := range k.Order(start, c.pending, c.limit) {
				text := string(task.Task)
				if task.Urgent {
					text += " urgent"
				}
				got = append(got, text)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against usage that is counted twice or never subtracted, which would block a team.
func TestShare(t *testing.T) {
	k := newQuotakeeper(t)
	for range 2 {
		k.TaskStarted(start, "a/1", "a", cores(15))
	}
	k.TaskStarted(start, "a/2", "a", scheduler.Resources{Accelerators: 6})
	if got, want := k.DominantShare("a"), 2.0; got != want {
		t.Errorf("got share %v, want %v", got, want)
	}
	for range 2 {
		k.TaskEnded("a/2")
	}
	if got, want := k.DominantShare("a"), 0.5; got != want {
		t.Errorf("got share %v, want %v", got, want)
	}
	k.TaskEnded("a/1")
	if got := k.DominantShare("a"); got != 0 {
		t.Errorf("got share %v after the end of all tasks, want 0", got)
	}
	if _, err := New(cores(1), WithAging(0)); !Error.Has(err) {
		t.Errorf("got %v, want an error for an aging time of 0", err)
	}
}
