package placer

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// init fixes the seed so that CI runs are reproducible. -rapid.seed overrides it.
func init() {
	if err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}
}

var start = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func resources(cores, gigabytes, accelerators int64) scheduler.Resources {
	return scheduler.Resources{MilliCores: cores * 1000, MemoryBytes: gigabytes << 30, Accelerators: accelerators}
}

func worker(name, rack string, cores int64, labels map[string]string) scheduler.Worker {
	return scheduler.Worker{
		Name: scheduler.WorkerName(name), Rack: rack, Capacity: resources(cores, 4*cores, 2), Labels: labels,
	}
}

func spec(class scheduler.Class, kind string, request scheduler.Resources) scheduler.TaskSpec {
	return scheduler.TaskSpec{Class: class, Kind: kind, Request: request, RunTime: time.Hour}
}

func running(id string, s scheduler.TaskSpec, age, checkpointAge time.Duration) scheduler.PlacedTask {
	job, _, _ := strings.Cut(id, "/")
	return scheduler.PlacedTask{
		Task: scheduler.TaskID(id), Job: scheduler.JobID(job), Spec: s,
		Started: start.Add(-age), LastCheckpoint: start.Add(-checkpointAge),
	}
}

func state(w scheduler.Worker, tasks ...scheduler.PlacedTask) scheduler.WorkerState {
	s := scheduler.WorkerState{Worker: w, Tasks: tasks, Schedulable: true}
	for _, task := range tasks {
		s.Reserved = s.Reserved.Plus(task.Spec.Request)
	}
	return s
}

type fixedEstimator map[string]float64

func (f fixedEstimator) Interference(colocation scheduler.Colocation) scheduler.Estimate {
	return scheduler.Estimate{Interference: f[colocation.Service+"+"+colocation.Kind]}
}

func (f fixedEstimator) Load(string) scheduler.LoadLevel { return scheduler.LoadMedium }

// Guards against placement on workers that lack capacity or labels or are not schedulable, and against placement
// failures without a specific reason.
func TestPlaceOneTask(t *testing.T) {
	batch := spec(scheduler.ClassBatch, "scaling", resources(4, 8, 0))
	service := spec(scheduler.ClassLatencyCritical, "desk", resources(4, 8, 0))
	full := spec(scheduler.ClassBatch, "report", resources(6, 30, 0))
	old := running("old/1", full, 20*time.Minute, 20*time.Minute)
	saved := running("saved/1", full, 20*time.Minute, time.Minute)
	ending := running("ending/1", full, 58*time.Minute, 58*time.Minute)
	unlisted := state(worker("a", "r1", 8, nil))
	unlisted.Reserved = resources(6, 30, 0)
	drained := state(worker("a", "r1", 8, nil))
	drained.Schedulable = false
	pool := map[string]string{"pool": "x"}
	cases := map[string]struct {
		workers   []scheduler.WorkerState
		pending   scheduler.PendingTask
		want      scheduler.WorkerName
		evict     []scheduler.TaskID
		reason    string
		permanent bool
	}{
		"fits": {workers: []scheduler.WorkerState{state(worker("a", "r1", 8, nil))}, pending: scheduler.PendingTask{Spec: batch}, want: "a"},
		"less loaded worker": {
			workers: []scheduler.WorkerState{state(worker("a", "r1", 16, nil), saved), state(worker("b", "r1", 16, nil))},
			pending: scheduler.PendingTask{Spec: batch}, want: "b",
		},
		"unlisted attempts stay reserved": {workers: []scheduler.WorkerState{unlisted}, pending: scheduler.PendingTask{Spec: batch}, reason: "1 are full"},
		"worker not schedulable":          {workers: []scheduler.WorkerState{drained}, pending: scheduler.PendingTask{Spec: batch}, reason: "1 are not usable"},
		"worker to avoid": {
			workers: []scheduler.WorkerState{state(worker("a", "r1", 8, nil))},
			pending: scheduler.PendingTask{Spec: batch, AvoidWorkers: []scheduler.WorkerName{"a"}}, reason: "1 are avoided",
		},
		"label": {
			workers: []scheduler.WorkerState{state(worker("a", "r1", 8, nil)), state(worker("b", "r1", 8, pool))},
			pending: scheduler.PendingTask{Spec: scheduler.TaskSpec{Request: batch.Request, Constraints: pool}}, want: "b",
		},
		"label on no worker": {
			workers: []scheduler.WorkerState{state(worker("a", "r1", 8, nil))},
			pending: scheduler.PendingTask{Spec: scheduler.TaskSpec{Constraints: pool}}, reason: `label pool is "", "x" is required`, permanent: true,
		},
		"larger than any worker": {
			workers: []scheduler.WorkerState{drained}, permanent: true, reason: "9.0 cores requested, worker capacity is 8.0",
			pending: scheduler.PendingTask{Spec: spec(scheduler.ClassBatch, "x", resources(9, 1, 0))},
		},
		"no worker": {pending: scheduler.PendingTask{Spec: batch}, reason: "no worker is known"},
		"urgent task evicts where least work is lost": {
			workers: []scheduler.WorkerState{state(worker("a", "r1", 8, nil), old), state(worker("b", "r1", 8, nil), saved)},
			pending: scheduler.PendingTask{Spec: service, Urgent: true}, want: "b", evict: []scheduler.TaskID{"saved/1"},
		},
		"task near completion is not evicted": {
			workers: []scheduler.WorkerState{state(worker("a", "r1", 8, nil), ending)},
			pending: scheduler.PendingTask{Spec: service, Urgent: true}, reason: "no permitted eviction",
		},
		"task that is not urgent evicts nothing": {
			workers: []scheduler.WorkerState{state(worker("a", "r1", 8, nil), old)},
			pending: scheduler.PendingTask{Spec: batch}, reason: "1 are full",
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p, err := New()
			if err != nil {
				t.Fatal(err)
			}
			for _, w := range c.workers {
				p.Update(w)
			}
			c.pending.Task, c.pending.Job = "new/1", "new"
			assignments, failures := p.Place(start, []scheduler.PendingTask{c.pending})
			if c.want != "" {
				if len(assignments) != 1 || assignments[0].Worker != c.want || !slices.Equal(assignments[0].Evict, c.evict) {
					t.Fatalf("got %v and %v, want worker %s with evictions %v", assignments, failures, c.want, c.evict)
				}
				return
			}
			if len(failures) != 1 || failures[0].Permanent != c.permanent || !strings.Contains(failures[0].Reason, c.reason) {
				t.Fatalf("got %v and %v, want failure with %q, permanent %v", assignments, failures, c.reason, c.permanent)
			}
		})
	}
}

// Guards against colocating a batch task with a service that it slows down, whichever is placed first, and against
// batch tasks that never start because of that.
func TestPlaceInterference(t *testing.T) {
	p, _ := New(WithEstimator(fixedEstimator{"desk+scaling": 2, "desk+report": 0.02}))
	desk := spec(scheduler.ClassLatencyCritical, "desk", resources(2, 2, 0))
	p.Update(state(worker("a", "r1", 8, nil), running("desk/1", desk, time.Hour, 0)))
	pending := func(kind string, waitTime time.Duration) []scheduler.PendingTask {
		return []scheduler.PendingTask{{
			Task: scheduler.TaskID(kind + "/1"), WaitTime: waitTime,
			Spec: spec(scheduler.ClassBatch, kind, resources(2, 2, 0)),
		}}
	}
	if got, failures := p.Place(start, pending("scaling", 0)); len(got) != 0 ||
		!strings.Contains(failures[0].Reason, "slow down") {
		t.Errorf("got %v %v, want no assignment of the kind that interferes", got, failures)
	}
	if got, _ := p.Place(start, pending("report", 0)); len(got) != 1 {
		t.Errorf("got %v, want the kind without interference placed", got)
	}
	if got, _ := p.Place(start, pending("scaling", time.Hour)); len(got) != 1 {
		t.Errorf("got %v, want the kind that interferes placed after a long wait", got)
	}
	p.Update(state(worker("b", "r1", 8, nil), running("x/1", spec(scheduler.ClassBatch, "scaling", resources(2, 2, 0)), 0, 0)))
	p.Update(state(worker("c", "r1", 8, nil), running("y/1", spec(scheduler.ClassBatch, "report", resources(4, 2, 0)), 0, 0)))
	if got, _ := p.Place(start, []scheduler.PendingTask{{Task: "desk/2", Spec: desk}}); len(got) != 1 || got[0].Worker != "c" {
		t.Errorf("got %v, want the service on the worker of the kind without interference", got)
	}
}

// Guards against placing all tasks of a job on one rack.
func TestPlaceSpread(t *testing.T) {
	p, _ := New()
	for i := range 6 {
		p.Update(state(worker(fmt.Sprint("w", i), fmt.Sprint("r", i%3), 8, nil)))
	}
	racks := map[scheduler.WorkerName]int{}
	for i := range 3 {
		s := spec(scheduler.ClassLatencyCritical, "desk", resources(1, 1, 0))
		s.Spread = spreadRack
		got, _ := p.Place(start, []scheduler.PendingTask{{Task: scheduler.TaskID(fmt.Sprint("desk/", i)), Job: "desk", Spec: s}})
		racks[scheduler.WorkerName(p.hosts[got[0].Worker].worker.Rack)]++
	}
	if got, want := len(racks), 3; got != want {
		t.Errorf("got %d racks in use, want %d", got, want)
	}
	// Counts that are not removed when a worker moves to another rack would distort later placements.
	for i := range 6 {
		p.Update(state(worker(fmt.Sprint("w", i), "moved", 8, nil)))
	}
	for i := range 3 {
		p.CancelAssignment(scheduler.TaskID(fmt.Sprint("desk/", i)))
	}
	if got := len(p.spreadCounts); got != 0 {
		t.Errorf("got spread counts of %d jobs after all tasks are gone, want 0", got)
	}
}

// Guards against evicting task after task of the same job for urgent tasks.
func TestEvictionBudget(t *testing.T) {
	p, _ := New(WithEvictionBudget(1, time.Minute))
	victim := spec(scheduler.ClassBatch, "report", resources(8, 1, 0))
	p.Update(state(worker("a", "r1", 8, nil), running("job/1", victim, time.Minute, 0)))
	p.Update(state(worker("b", "r1", 8, nil), running("job/2", victim, time.Minute, 0)))
	urgent := func(id scheduler.TaskID) []scheduler.PendingTask {
		return []scheduler.PendingTask{{Task: id, Urgent: true, Spec: spec(scheduler.ClassLatencyCritical, "desk", resources(8, 1, 0))}}
	}
	steps := []struct {
		after time.Duration
		task  scheduler.TaskID
		want  int
	}{{0, "u/1", 1}, {time.Second, "u/2", 0}, {2 * time.Minute, "u/3", 1}}
	for _, step := range steps {
		if got, failures := p.Place(start.Add(step.after), urgent(step.task)); len(got) != step.want {
			t.Errorf("after %v: got %v %v, want %d assignments", step.after, got, failures, step.want)
		}
	}
}

// Guards against allocating more memory or accelerators on a worker than it has, or more CPU time than the overcommit
// ratio allows, in any sequence of placements, confirmations and usage reports.
func TestNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, _ := New()
		states := map[scheduler.WorkerName]*scheduler.WorkerState{}
		for i := range 3 {
			s := state(worker(fmt.Sprint("w", i), "r", 8, nil))
			states[s.Worker.Name] = &s
			p.Update(s)
		}
		unconfirmed := map[scheduler.TaskID]scheduler.Assignment{}
		specs := map[scheduler.TaskID]scheduler.TaskSpec{}
		now := start
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Second / 4)
			name := scheduler.WorkerName(fmt.Sprint("w", rapid.IntRange(0, 2).Draw(t, "worker")))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				id := scheduler.TaskID(fmt.Sprint("j", i, "/1"))
				class := rapid.SampledFrom([]scheduler.Class{scheduler.ClassBatch, scheduler.ClassLatencyCritical}).Draw(t, "class")
				specs[id] = spec(class, "k", resources(rapid.Int64Range(1, 6).Draw(t, "cores"), rapid.Int64Range(1, 20).Draw(t, "memory"), rapid.Int64Range(0, 2).Draw(t, "accelerators")))
				got, _ := p.Place(now, []scheduler.PendingTask{{Task: id, Job: scheduler.JobID(id), Spec: specs[id], Urgent: rapid.Bool().Draw(t, "urgent")}})
				for _, a := range got {
					unconfirmed[id] = a
				}
			case 2:
				// Victims stop one at a time. A task starts once all its victims have stopped.
				confirmAssignments(states[name], unconfirmed, specs, now)
				p.Update(*states[name])
			case 3:
				p.Observe(scheduler.UsageReport{Worker: name, Tasks: usages(states[name])})
			}
			checkCapacity(t, states)
		}
	})
}

func confirmAssignments(
	s *scheduler.WorkerState, unconfirmed map[scheduler.TaskID]scheduler.Assignment,
	specs map[scheduler.TaskID]scheduler.TaskSpec, now time.Time,
) {
	for id, a := range unconfirmed {
		if a.Worker != s.Worker.Name {
			continue
		}
		stopped := false
		s.Tasks = slices.DeleteFunc(slices.Clone(s.Tasks), func(task scheduler.PlacedTask) bool {
			if stopped || !slices.Contains(a.Evict, task.Task) {
				return false
			}
			stopped = true
			return true
		})
		if !stopped {
			s.Tasks = append(s.Tasks, scheduler.PlacedTask{Task: id, Job: scheduler.JobID(id), Spec: specs[id], Started: now})
			delete(unconfirmed, id)
		}
	}
	*s = state(s.Worker, s.Tasks...)
}

func usages(s *scheduler.WorkerState) []scheduler.TaskUsage {
	var got []scheduler.TaskUsage
	for _, task := range s.Tasks {
		got = append(got, scheduler.TaskUsage{Task: task.Task, MilliCores: task.Spec.Request.MilliCores / 3})
	}
	return got
}

func checkCapacity(t *rapid.T, states map[scheduler.WorkerName]*scheduler.WorkerState) {
	for name, s := range states {
		if got, want := s.Reserved, s.Worker.Capacity; got.MemoryBytes > want.MemoryBytes || got.Accelerators > want.Accelerators {
			t.Fatalf("worker %s: got %v reserved, want at most %v", name, got, want)
		}
		var batch, critical int64
		for _, task := range s.Tasks {
			if task.Spec.Class == scheduler.ClassBatch {
				batch += task.Spec.Request.MilliCores
			} else {
				critical += task.Spec.Request.MilliCores
			}
		}
		if got, want := float64(batch), defaultOvercommit*float64(s.Worker.Capacity.MilliCores-critical); got > want+2 {
			t.Fatalf("worker %s: got %v declared batch milli-cores, want at most %v", name, got, want)
		}
	}
}
