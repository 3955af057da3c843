package packer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// oneCoreGroup returns a group of tasks that request one core each.
func oneCoreGroup(job string, tasks int, suspect bool) Group {
	group := Group{Step: &scheduler.Step{Count: tasks, Request: cores(1)}, Suspect: suspect}
	for index := range tasks {
		group.Tasks = append(group.Tasks, scheduler.StepTaskID{Job: scheduler.JobID(job), Index: index})
	}
	return group
}

func isolatedWorker(name string, isolation Isolation) *Worker {
	return &Worker{
		Name: scheduler.WorkerName(name), Labels: []string{"a"}, Capacity: cores(8), Free: cores(8), Slack: 8000,
		Isolation: isolation,
	}
}

// Guards against a crash that does not show which task has caused it, because a suspect started beside others.
func TestSuspectsStartApart(t *testing.T) {
	recent := Isolation{Attempts: 1, Starts: 1, RecentFor: time.Second}
	running := Isolation{Attempts: 1, Suspects: 1}
	starting := Isolation{Attempts: 1, Suspects: 1, Starts: 1, SuspectStarts: 1, RecentFor: time.Second}
	gang := oneCoreGroup("gang", 3, true)
	gang.Step.Gang = true
	labelled := oneCoreGroup("labelled", 1, true)
	labelled.Step.RequiredLabel = "b"
	urgent := oneCoreGroup("urgent", 1, false)
	suspect, suspects := oneCoreGroup("suspect", 1, true), oneCoreGroup("suspects", 3, true)
	urgent.Priority, suspect.Priority = 0, 1
	other := oneCoreGroup("other", 2, false)
	other.Priority = 1
	tests := map[string]struct {
		workers []Isolation
		groups  []Group
		want    map[string]int
	}{
		"recent start":                      {[]Isolation{recent}, []Group{suspect}, nil},
		"running suspect":                   {[]Isolation{running}, []Group{suspect}, nil},
		"other task beside running suspect": {[]Isolation{running}, []Group{other}, map[string]int{"other w0": 2}},
		"other task beside starting suspect": {
			[]Isolation{starting, recent}, []Group{other}, map[string]int{"other w1": 2},
		},
		"two suspects in one decision": {
			[]Isolation{{}, {}}, []Group{suspects}, map[string]int{"suspects w0": 1, "suspects w1": 1},
		},
		"suspect, then another task":     {[]Isolation{{}}, []Group{suspect, other}, map[string]int{"suspect w0": 1}},
		"another task, then suspect":     {[]Isolation{{}}, []Group{other, suspect}, map[string]int{"suspect w0": 1}},
		"waits without blocking others":  {[]Isolation{running, running}, []Group{suspect, other}, map[string]int{"other w0": 2}},
		"kept from equal priority":       {[]Isolation{recent}, []Group{other, suspect}, nil},
		"not kept from higher priority":  {[]Isolation{recent}, []Group{urgent, suspect}, map[string]int{"urgent w0": 1}},
		"gang shares a worker":           {[]Isolation{{}}, []Group{gang}, map[string]int{"gang w0": 3}},
		"gang beside a recent start":     {[]Isolation{recent}, []Group{gang}, nil},
		"gang, then another task":        {[]Isolation{{}}, []Group{gang, other}, map[string]int{"gang w0": 3}},
		"label still required":           {[]Isolation{{}}, []Group{labelled, other}, map[string]int{"other w0": 2}},
		"fewest attempts":                {[]Isolation{{Attempts: 3}, {Attempts: 1}}, []Group{suspect}, map[string]int{"suspect w1": 1}},
		"one of many workers is enough":  {make([]Isolation, 20), []Group{suspect, other}, map[string]int{"suspect w0": 1, "other w1": 2}},
		"soonest worker kept for it":     {[]Isolation{{Starts: 1, RecentFor: 2}, {Starts: 1, RecentFor: 1}}, []Group{other, suspect}, map[string]int{"other w0": 2}},
		"unplaceable tasks cover no one": {[]Isolation{recent}, []Group{other, oneCoreGroup("x", 1, false)}, map[string]int{"other w0": 2, "x w0": 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var workers []*Worker
			for position, isolation := range test.workers {
				workers = append(workers, isolatedWorker(fmt.Sprintf("w%d", position), isolation))
			}
			got := map[string]int{}
			for _, assignment := range Pack(workers, test.groups) {
				got[fmt.Sprintf("%s %s", assignment.Task.Job, assignment.Worker)]++
			}
			if fmt.Sprint(got) != fmt.Sprint(test.want) {
				t.Errorf("got assignments %v, want %v", got, test.want)
			}
		})
	}
}

// suspectLoad plays suspects on busy workers, which also run a stream of other tasks.
type suspectLoad struct {
	random *rand.Rand
	now    time.Duration
	// workers holds the tasks that run on each worker.
	workers map[scheduler.WorkerName][]*playedTask
	// waiting holds the waiting tasks in the order of arrival.
	waiting []*playedTask
	// maxWait is the longest wait of suspects and of others.
	maxWait map[bool]time.Duration
}

type playedTask struct {
	suspect                bool
	arrived, began, runsTo time.Duration
}

const (
	playedStep       = 50 * time.Millisecond
	maxPlayedRunTime = 4 * time.Second
	startWindow      = time.Second
)

// play plays a minute in which one task arrives at the given intervals, and the suspects after ten seconds.
func (load *suspectLoad) play(suspects int, arrivalInterval time.Duration) {
	next := time.Duration(0)
	for ; load.now < time.Minute; load.now += playedStep {
		for ; next <= load.now; next += arrivalInterval {
			load.arrive(false)
		}
		if load.now == 10*time.Second {
			for range suspects {
				load.arrive(true)
			}
		}
		load.decide()
	}
	for _, task := range load.waiting {
		load.maxWait[task.suspect] = max(load.maxWait[task.suspect], load.now-task.arrived)
	}
}

func (load *suspectLoad) arrive(suspect bool) {
	load.waiting = append(load.waiting, &playedTask{suspect: suspect, arrived: load.now})
}

// current returns a worker with the tasks that are still running on it.
func (load *suspectLoad) current(name scheduler.WorkerName) *Worker {
	worker := isolatedWorker(string(name), Isolation{})
	load.workers[name] = slices.DeleteFunc(load.workers[name], func(task *playedTask) bool { return load.now >= task.runsTo })
	for _, task := range load.workers[name] {
		group := Group{Step: &scheduler.Step{Request: cores(1)}, Suspect: task.suspect}
		reserve(worker, &group)
		recentFor := startWindow - (load.now - task.began)
		worker.Isolation.RecentFor = max(worker.Isolation.RecentFor, recentFor)
		if recentFor > 0 {
			continue
		}
		worker.Isolation.Starts--
		if task.suspect {
			worker.Isolation.SuspectStarts--
		}
	}
	return worker
}

// decide ends tasks and places the waiting ones.
func (load *suspectLoad) decide() {
	var workers []*Worker
	for _, name := range slices.Sorted(maps.Keys(load.workers)) {
		workers = append(workers, load.current(name))
	}
	var groups []Group
	for position, task := range load.waiting {
		groups = append(groups, oneCoreGroup(fmt.Sprint(position), 1, task.suspect))
	}
	placed := map[*playedTask]bool{}
	for _, assignment := range Pack(workers, groups) {
		position, _ := strconv.Atoi(string(assignment.Task.Job))
		task := load.waiting[position]
		placed[task] = true
		load.maxWait[task.suspect] = max(load.maxWait[task.suspect], load.now-task.arrived)
		task.began = load.now
		task.runsTo = load.now + maxPlayedRunTime/2 + time.Duration(load.random.Int64N(int64(maxPlayedRunTime/2)))
		load.workers[assignment.Worker] = append(load.workers[assignment.Worker], task)
	}
	load.waiting = slices.DeleteFunc(load.waiting, func(task *playedTask) bool { return placed[task] })
}

// Guards against suspects that never start on busy workers, because something else is always starting there, and against
// other tasks that wait for many suspects.
func TestManySuspectsOnBusyWorkers(t *testing.T) {
	tests := map[string]struct {
		workers, suspects int
		arrivalInterval   time.Duration
	}{
		"busy workers":        {60, 200, 8 * time.Millisecond},
		"nearly full workers": {60, 200, 6600 * time.Microsecond},
		"one worker":          {1, 5, 500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			load := suspectLoad{
				random: rand.New(rand.NewPCG(1, 1)), workers: map[scheduler.WorkerName][]*playedTask{}, maxWait: map[bool]time.Duration{},
			}
			for position := range test.workers {
				load.workers[scheduler.WorkerName(fmt.Sprintf("w%d", position))] = nil
			}
			load.play(test.suspects, test.arrivalInterval)
			// A worker runs one suspect at a time and is kept for the next one for at most a window.
			rounds := (test.suspects + test.workers - 1) / test.workers
			if got, want := load.maxWait[true], time.Duration(rounds)*(maxPlayedRunTime+startWindow); got > want {
				t.Errorf("got a suspect that waited for %v, want at most %v", got, want)
			}
			// A worker is closed to others while it is kept and while a suspect is starting.
			if got, want := load.maxWait[false], 2*startWindow; got > want {
				t.Errorf("got another task that waited for %v, want at most %v", got, want)
			}
		})
	}
}

// survivalTime is how long a suspect must run until it is no longer one.
const survivalTime = 30 * time.Second

// Guards against suspects that wait until others have survived, because each worker already runs one.
func TestSuspectsOutnumberWorkers(t *testing.T) {
	tests := map[string]int{"small pool": 6, "pool": 48, "large pool": 540}
	for name, size := range tests {
		t.Run(name, func(t *testing.T) {
			waiting := oneCoreGroup("suspects", 2*size, true)
			waiting.Step.LongRunning = true
			startedAt := map[scheduler.WorkerName][]time.Duration{}
			now := time.Duration(0)
			for ; len(waiting.Tasks) > 0 && now < time.Minute; now += playedStep {
				waiting.Waited = now
				var workers []*Worker
				for number := range size {
					name := fmt.Sprintf("w%d", number)
					workers = append(workers, suspectsWorker(name, startedAt[scheduler.WorkerName(name)], now))
				}
				assignments := Pack(workers, []Group{waiting})
				for _, assignment := range assignments {
					startedAt[assignment.Worker] = append(startedAt[assignment.Worker], now)
				}
				waiting.Tasks = waiting.Tasks[len(assignments):]
			}
			if got, want := now, 3*time.Second; got > want {
				t.Errorf("got all suspects started after %v, want at most %v", got, want)
			}
		})
	}
}

// suspectsWorker returns a worker with running suspects that have started at the given times.
func suspectsWorker(name string, startedAt []time.Duration, now time.Duration) *Worker {
	worker := isolatedWorker(name, Isolation{Attempts: len(startedAt)})
	worker.Free = cores(int64(8 - len(startedAt)))
	for _, at := range startedAt {
		age := now - at
		if age < survivalTime {
			worker.Isolation.Suspects++
			worker.Isolation.ClosedFor = max(worker.Isolation.ClosedFor, 2*startWindow-age)
		}
		if age < startWindow {
			worker.Isolation.Starts++
			worker.Isolation.SuspectStarts++
			worker.Isolation.RecentFor = max(worker.Isolation.RecentFor, startWindow-age)
		}
	}
	return worker
}
