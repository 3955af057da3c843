package jobkeeper

import (
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against waiting jobs that callers no longer see because their queue has another name at the same route.
func TestQueuedJobsOfRenamedQueue(t *testing.T) {
	queue := func(name scheduler.QueueName, prefix string) scheduler.Queue {
		return scheduler.Queue{Name: name, Host: "a", PathPrefix: prefix, Pool: "pool", Timeout: time.Second}
	}
	fixture := &fixture{t: t, keeper: New()}
	check := func(step string, queue scheduler.Queue, want int) {
		t.Helper()
		fixture.keeper.View(func(state *State) {
			if got := state.Queued(&queue); got != want {
				t.Errorf("%s: got %d queued jobs of %s, want %d", step, got, queue.Name, want)
			}
		})
	}
	fixture.apply(Command{Configure: configuration(1, queue("checks", "/c/"), queue("other", "/o/"))})
	fixture.submit("j1", singleTask())
	fixture.submit("j2", singleTask())
	fixture.apply(Command{Configure: configuration(2, queue("renamed", "/c/"), queue("other", "/o/"))})
	check("renamed", queue("renamed", "/c/"), 2)
	check("renamed", queue("other", "/o/"), 0)
	fixture.restart()
	check("restored", queue("renamed", "/c/"), 2)
	fixture.apply(Command{Configure: configuration(3, queue("again", "/c/"))})
	check("renamed again", queue("again", "/c/"), 2)
	fixture.place("j1", 0, 0)
	check("one is placed", queue("again", "/c/"), 2)
	fixture.begin("j1")
	check("one has started", queue("again", "/c/"), 1)
	fixture.apply(Command{Configure: configuration(4, queue("checks", "/elsewhere/"))})
	check("its first name has another route", queue("checks", "/elsewhere/"), 1)
}

// Guards against a submission that is acknowledged and stored nowhere because its id belongs to a job of another queue, and
// against a resend that is refused because its queue has another name now.
func TestSubmissionWithTheIDOfAnotherQueue(t *testing.T) {
	queue := func(name scheduler.QueueName, prefix string) scheduler.Queue {
		return scheduler.Queue{Name: name, Host: "a", PathPrefix: prefix, Pool: "pool", Timeout: time.Second}
	}
	fixture := &fixture{t: t, keeper: New()}
	submit := func(queue scheduler.QueueName) Status {
		return fixture.apply(Command{Submit: &Submit{
			Job: "j", Queue: queue, Workflow: scheduler.Workflow{Steps: []scheduler.Step{singleTask()}},
		}}).Status
	}
	check := func(name string, got, want Status) {
		t.Helper()
		if got != want {
			t.Errorf("%s: got %s, want %s", name, got, want)
		}
	}
	fixture.apply(Command{Configure: configuration(1, queue("checks", "/c/"), queue("other", "/o/"))})
	check("first", submit("checks"), StatusDone)
	check("resend", submit("checks"), StatusDone)
	check("other queue", submit("other"), StatusOtherQueue)
	fixture.apply(Command{Configure: configuration(2, queue("renamed", "/c/"), queue("other", "/o/"))})
	check("resend to the renamed queue", submit("renamed"), StatusDone)
	check("other queue after that", submit("other"), StatusOtherQueue)
}
