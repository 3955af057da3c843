package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	loadSeeds      = 4
	overloadFrom   = 10 * time.Second
	overloadUntil  = 100 * time.Second
	simulatedSlots = 100
)

// overloads holds the loads that are played with and without a BacklogAdmitter.
var overloads = map[string]func(simulation *poolSimulation, random *rand.Rand){
	"no overload": func(simulation *poolSimulation, random *rand.Rand) {
		simulation.submit(random, 0, overloadUntil, 0.7, exponentialSize(random), "a")
	},
	"lasting overload": func(simulation *poolSimulation, random *rand.Rand) {
		simulation.submit(random, 0, overloadUntil, 1.6, exponentialSize(random), "a")
	},
	"extreme overload": func(simulation *poolSimulation, random *rand.Rand) {
		simulation.submit(random, 0, overloadUntil, 2.5, exponentialSize(random), "a")
	},
	"burst of large jobs": func(simulation *poolSimulation, random *rand.Rand) {
		simulation.submit(random, 0, overloadUntil, 0.8, exponentialSize(random), "a")
		simulation.submit(random, overloadFrom, overloadFrom+20*time.Second, 2, func() int { return 60 }, "a")
	},
	"burst from one data centre": func(simulation *poolSimulation, random *rand.Rand) {
		simulation.submit(random, 0, overloadUntil, 0.7, exponentialSize(random), "a")
		simulation.submit(random, overloadFrom, overloadFrom+20*time.Second, 2, exponentialSize(random), "b")
	},
	"half of the workers lost": func(simulation *poolSimulation, random *rand.Rand) {
		simulation.submit(random, 0, overloadUntil, 1.1, exponentialSize(random), "a")
		simulation.events[30*time.Second] = func(simulation *poolSimulation) { simulation.slots /= 2 }
	},
	"leader change in overload": func(simulation *poolSimulation, random *rand.Rand) {
		simulation.submit(random, 0, overloadUntil, 1.6, exponentialSize(random), "a")
		simulation.events[30*time.Second] = changeLeader
	},
}

// leaders holds the number of leaders of a load if there is more than one. Each counts refusals anew.
var leaders = map[string]int{"leader change in overload": 2}

// changeLeader replaces the BacklogAdmitter by one that knows nothing, as a new leader does.
func changeLeader(simulation *poolSimulation) {
	if simulation.backlogAdmitter != nil {
		simulation.backlogAdmitter, simulation.blindUntil = NewBacklogAdmitter(), 33*time.Second
	}
}

func playOverload(play func(*poolSimulation, *rand.Rand), seed uint64, admission bool) *poolSimulation {
	simulation := newPoolSimulation(simulatedSlots, admission)
	play(simulation, rand.New(rand.NewPCG(seed, seed)))
	simulation.run()
	return simulation
}

// Guards against refusals that cost callers more than they spare them: fewer jobs in time, counted from the first
// submission, or as many accepted jobs that are of no use, or larger jobs that are served less often.
func TestOverload(t *testing.T) {
	isLarge := func(job *simulatedJob) bool { return job.size >= 20 }
	fromA := func(job *simulatedJob) bool { return job.dataCentre == "a" }
	for name, play := range overloads {
		t.Run(name, func(t *testing.T) {
			var with, without, withLarge, withoutLarge, withA, withoutA result
			for seed := range uint64(loadSeeds) {
				refusing, admitting := playOverload(play, seed, true), playOverload(play, seed, false)
				with.add(refusing.results(everyJob))
				without.add(admitting.results(everyJob))
				withLarge.add(refusing.results(isLarge))
				withoutLarge.add(admitting.results(isLarge))
				withA.add(refusing.results(fromA))
				withoutA.add(admitting.results(fromA))
			}
			t.Logf("with admission %+v, without %+v; large jobs %+v, %+v", with, without, withLarge, withoutLarge)
			if float64(with.prompt) < 0.99*float64(without.prompt) {
				t.Errorf("got %d jobs in time, want within 1%% of the %d without refusals", with.prompt, without.prompt)
			}
			if float64(withA.prompt) < 0.99*float64(withoutA.prompt) {
				t.Errorf("got %d jobs of data centre a in time, want within 1%% of %d", withA.prompt, withoutA.prompt)
			}
			if with.lost > without.lost || with.refused > 0 && with.lost == without.lost {
				t.Errorf("got %d accepted jobs of no use, want fewer than the %d without refusals", with.lost, without.lost)
			}
			if withLarge.useful < withoutLarge.useful {
				t.Errorf("got %d large jobs of use, want at least %d", withLarge.useful, withoutLarge.useful)
			}
			if limit := leaders[name] * maxRefusals; with.maxRefusals > max(limit, maxRefusals) {
				t.Errorf("got a job that was refused %d times, want at most %d by each leader", with.maxRefusals, maxRefusals)
			}
		})
	}
}

// Guards against forecasts that refuse jobs for which there is room: none may be refused without overload, and in an
// overload that lasts at most a tenth of the refusals may be wrong.
func TestWrongRefusals(t *testing.T) {
	var audit Audit
	for seed := range uint64(loadSeeds) {
		if got := len(playOverload(overloads["no overload"], seed, true).refusedAt); got != 0 {
			t.Errorf("seed %d: got %d refusals without overload, want none", seed, got)
		}
		result := playOverload(overloads["lasting overload"], seed, true).backlogAdmitter.Audit()
		audit.right, audit.wrong = audit.right+result.Right(), audit.wrong+result.Wrong()
	}
	if audit.right == 0 || audit.wrong > (audit.right+audit.wrong)/10 {
		t.Errorf("got %d wrong refusals and %d right ones, want at most a tenth wrong", audit.wrong, audit.right)
	}
}

// Guards against refusals by a new leader that has not measured anything.
func TestNoRefusalsAfterLeaderChange(t *testing.T) {
	for seed := range uint64(loadSeeds) {
		simulation := playOverload(overloads["leader change in overload"], seed, true)
		before, after := 0, 0
		for _, at := range simulation.refusedAt {
			switch {
			case at < 30*time.Second:
				before++
			case at < 33*time.Second+minMeasuringTime:
				t.Errorf("seed %d: got a refusal at %v, want none before the drain rate is measured", seed, at)
			default:
				after++
			}
		}
		if before+after == 0 {
			t.Errorf("seed %d: got no refusals, want some in an overload", seed)
		}
	}
}

// overloadedAdmitter returns a BacklogAdmitter of a pool of 10 cores that drains 10 cores and has a backlog of 100 s.
func overloadedAdmitter() (*BacklogAdmitter, time.Duration) {
	return admitterWithBacklog(10_000, 1_000_000_000)
}

// admitterWithBacklog returns a BacklogAdmitter of an overloaded pool of 10 cores with a drain rate, in millicores, and a
// backlog.
func admitterWithBacklog(drain, work int64) (*BacklogAdmitter, time.Duration) {
	backlogAdmitter, now := NewBacklogAdmitter(), time.Duration(0)
	for ; now < 20*time.Second; now += observeEvery {
		backlogAdmitter.RecordFinished(CapacityReserved, drain*observeEvery.Milliseconds())
		backlogAdmitter.Observe(now, PoolState{
			Rooms: map[CapacityKind]Room{CapacityReserved: {Total: 10_000}},
			Jobs: []JobBacklog{{
				Kind: CapacityReserved, Priority: 2, Prospect: packer.ProspectTimely, JobWork: 1, Work: work, Waiting: 1_000_000,
			}},
		})
	}
	return backlogAdmitter, now
}

func submission(job scheduler.JobID, queue scheduler.Queue, steps ...scheduler.Step) Submission {
	return Submission{Job: job, Queue: &queue, Workflow: &scheduler.Workflow{Steps: steps}}
}

var shortStep = scheduler.Step{
	Count: 1, Request: scheduler.Resources{MilliCores: 1000}, Estimate: taskRunTime,
}

// Guards against refusals of jobs that no forecast may refuse: with precedence, without an objective, of a later time,
// or with room for them.
func TestNeverRefused(t *testing.T) {
	urgent, aimless := simulatedQueue, simulatedQueue
	urgent.Priority, aimless.Slowdown, aimless.LatencyTarget = 0, 0, 0
	lasting, fill := shortStep, shortStep
	lasting.LongRunning, fill.Fill = true, true
	repeated := submission("j", simulatedQueue, shortStep)
	repeated.Workflow.Repeat = &scheduler.Repeat{Times: 2}
	tests := map[string]struct {
		submission Submission
		want       bool
	}{
		"overload":                    {submission("j", simulatedQueue, shortStep), false},
		"queue with precedence":       {submission("j", urgent, shortStep), true},
		"queue without objective":     {submission("j", aimless, shortStep), true},
		"tasks that do not end":       {submission("j", simulatedQueue, lasting), true},
		"job of a later time":         {repeated, true},
		"other capacity is available": {submission("j", simulatedQueue, fill), true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			backlogAdmitter, now := overloadedAdmitter()
			if got := backlogAdmitter.Admit(now, test.submission).Admitted(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against refusals while no task ends for a while because all of them are long.
func TestLongTasks(t *testing.T) {
	const backlogTime = 7 * time.Second
	backlogAdmitter, now := admitterWithBacklog(0, 10_000*backlogTime.Milliseconds())
	if !backlogAdmitter.Admit(now, submission("j", simulatedQueue, shortStep)).Admitted() {
		t.Errorf("got refused with a backlog of %v, want admitted", backlogTime)
	}
}

// Guards against refusals on an old or blind observation.
func TestBlindBacklogAdmitter(t *testing.T) {
	job := submission("j", simulatedQueue, shortStep)
	backlogAdmitter, now := overloadedAdmitter()
	if !backlogAdmitter.Admit(now+observationGap, job).Admitted() {
		t.Error("got refused without a recent observation, want admitted")
	}
	backlogAdmitter, now = overloadedAdmitter()
	backlogAdmitter.Observe(now, PoolState{Blind: true, Rooms: map[CapacityKind]Room{CapacityReserved: {Total: 10_000}}})
	if !backlogAdmitter.Admit(now, job).Admitted() {
		t.Error("got refused while blind, want admitted")
	}
}

// Guards against a refusal that becomes false because a copy of the request arrives late, and against a job that keeps
// its times and is refused for ever.
func TestReturns(t *testing.T) {
	backlogAdmitter, now := overloadedAdmitter()
	job := submission("j", simulatedQueue, shortStep)
	for refusal := range maxRefusals {
		decision := backlogAdmitter.Admit(now, job)
		if decision.Admitted() || decision.RetryAfter() < minRetryAfter || decision.RetryAfter() > maxRetryAfter {
			t.Fatalf("refusal %d: got admitted %v, retry after %v, want a refusal and at most %v", refusal,
				decision.Admitted(), decision.RetryAfter(), maxRetryAfter)
		}
		if copied := backlogAdmitter.Admit(now+time.Second/2, job); copied.Admitted() || copied.Reason() != ReasonEarlyReturn {
			t.Errorf("refusal %d: got a copy admitted %v, reason %q, want refused", refusal, copied.Admitted(), copied.Reason())
		}
		now += decision.RetryAfter()
		backlogAdmitter.observedAt, backlogAdmitter.supplies[CapacityReserved].measuredAt = now, now
	}
	if !backlogAdmitter.Admit(now, job).Admitted() || backlogAdmitter.ReturnsServed() != 1 {
		t.Errorf("got refused after %d refusals, want admitted", maxRefusals)
	}
}

// Guards against a Retry-After that the caller cannot follow, and against jobs that all return at the same time.
func TestRetryAfter(t *testing.T) {
	backlogAdmitter, now := overloadedAdmitter()
	impatient := submission("j", simulatedQueue, shortStep)
	impatient.Timeout = 3 * time.Second
	if decision := backlogAdmitter.Admit(now, impatient); decision.Reason() != ReasonNoReturn || decision.RetryAfter() != 0 {
		t.Errorf("got %q, retry after %v, want %q and no time", decision.Reason(), decision.RetryAfter(), ReasonNoReturn)
	}
	times := map[time.Duration]int{}
	for _, job := range []scheduler.JobID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "k", "l", "m"} {
		times[backlogAdmitter.Admit(now, submission(job, simulatedQueue, shortStep)).RetryAfter()]++
	}
	if len(times) < 4 {
		t.Errorf("got %d different times for 12 jobs, want at least 4: %v", len(times), times)
	}
}

// Guards against forecasts that leave out the arrivals of the most urgent work because it is never refused, and against
// arrivals of jobs that start later or never end.
func TestArrivalsOfUrgentJobs(t *testing.T) {
	urgent := simulatedQueue
	urgent.Priority = 0
	lasting := shortStep
	lasting.LongRunning = true
	repeated := submission("j", urgent, shortStep)
	repeated.Workflow.Repeat = &scheduler.Repeat{Times: 2}
	tests := map[string]struct {
		submission Submission
		want       bool
	}{
		"urgent":       {submission("j", urgent, shortStep), true},
		"long-running": {submission("j", urgent, lasting), false},
		"repeated":     {repeated, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			backlogAdmitter, now := overloadedAdmitter()
			backlogAdmitter.Admit(now, test.submission)
			rate := backlogAdmitter.arrivals.rate(now, CapacityReserved, rank{priority: 2})
			if got := rate > 0; got != test.want {
				t.Errorf("got an arrival rate of %v, want one above 0: %v", rate, test.want)
			}
		})
	}
}
