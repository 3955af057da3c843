package crashclassifier

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// crashOf returns the evidence of a single crash against the first of the attempts.
func crashOf(rate float64, attempts ...Attempt) Evidence {
	ending := &Ending{ConnectionClosed: true, Replaced: true, At: crashedAt, Rate: rate, Attempts: attempts}
	return Classify(ending).Evidence()[attempts[0].Run]
}

// calmRate is the rate that is learned of a pool in which hardly any worker crashes.
const calmRate = 1e-4

// Guards against a task that crashes one worker after the other without an end, and against one that is given up after one crash.
func TestDeadlyTaskIsConvicted(t *testing.T) {
	tests := map[string]struct {
		age time.Duration
		// unanswered is true if the task crashes the worker before its start is answered.
		unanswered bool
		// known is true if the same leader sees all crashes.
		known bool
		// most is the largest number of crashes, the first of them beside nine others.
		most int
	}{
		"at its start":                          {age: 0, known: true, most: 3},
		"at its start, under new leaders":       {age: 0, most: 3},
		"before the answer":                     {unanswered: true, most: 3},
		"after 300 ms":                          {age: 300 * time.Millisecond, known: true, most: 3},
		"after 2 s":                             {age: 2 * time.Second, known: true, most: 4},
		"after 2 s, under new leaders":          {age: 2 * time.Second, most: 4},
		"after 6 s":                             {age: 6 * time.Second, known: true, most: 4},
		"after 6 s, under new leaders":          {age: 6 * time.Second, most: 5},
		"after 20 s, shortly before it is safe": {age: 20 * time.Second, known: true, most: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			deadly := accepted("deadly", test.age)
			deadly.Accepted = !test.unanswered
			crowd := []Attempt{deadly}
			for number := range 9 {
				crowd = append(crowd, accepted(scheduler.JobID(fmt.Sprint("innocent", number)), time.Duration(number)*time.Second))
			}
			evidence, crashes := max(crashOf(calmRate, crowd...), 0), 1
			for evidence < Conviction && crashes < 10 {
				if test.known {
					deadly.CrashedAfter = max(test.age, 1)
				}
				deadly.Evidence = evidence
				evidence = max(evidence+crashOf(calmRate, deadly), 0)
				crashes++
			}
			if crashes < 2 || crashes > test.most {
				t.Errorf("got a verdict after %d crashes, want 2 to %d", crashes, test.most)
			}
		})
	}
}

// Guards against evidence against what only ran beside the cause of a crash.
func TestNeighboursOfKnownCause(t *testing.T) {
	cause := accepted("cause", 20*time.Millisecond)
	cause.Evidence = Isolation
	for name, neighbour := range map[string]Attempt{
		"just started": accepted("neighbour", 30*time.Millisecond), "running": accepted("neighbour", 3*time.Second),
		"of an earlier leader": {Run: runID("neighbour"), Adopted: true, Accepted: true, Since: crashedAt},
		"unanswered":           {Run: runID("neighbour"), Sent: true},
	} {
		if got := crashOf(calmRate, neighbour, cause); got >= Suspicion/2 {
			t.Errorf("%s: got evidence %d beside a known cause, want less than %d", name, got, Suspicion/2)
		}
	}
	if got := crashOf(calmRate, cause, accepted("neighbour", 30*time.Millisecond)); got < Suspicion {
		t.Errorf("got evidence %d against the cause, want at least %d", got, Suspicion)
	}
}

// Guards against innocent tasks that are given up because their workers crash again and again (review/11): a share of 0.15 of the
// workers crashes in each round, every 4 s. Each worker runs one task after the other; a task that was hit starts anew at any time
// before the next round.
func TestInnocentTasksAmongManyCrashes(t *testing.T) {
	const (
		workers, rounds = 60, 5_000
		interval        = 4 * time.Second
		share           = 0.15
		// cleared is the number of rounds after which the suspects of crashes are known to be innocent.
		cleared = 10
	)
	for name, length := range map[string]time.Duration{
		"100 ms": 100 * time.Millisecond, "1 s": time.Second, "3 s": 3 * time.Second, "12 s": 12 * time.Second, "60 s": time.Minute,
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(length)))
			rate, tasks, worst := NewRate(0), make([]runningTask, workers), Evidence(0)
			for round := range rounds {
				now := time.Duration(round+1) * interval
				perSecond := rate.PerSecond(now, workers, func(task scheduler.StepTaskID) Evidence { return evidenceOf(tasks, task) })
				for number := range tasks {
					task := &tasks[number]
					task.advance(random, interval, length)
					if random.Float64() >= share {
						continue
					}
					hit := accepted(scheduler.JobID(fmt.Sprint("job", number)), task.age)
					hit.Evidence = task.evidence
					task.evidence = max(task.evidence+crashOf(perSecond, hit), 0)
					task.hit = true
					worst = max(worst, task.evidence)
					rate.AddCrash(now, []scheduler.StepTaskID{hit.Run.Task})
				}
				if round%cleared == 0 {
					for number := range workers {
						rate.Clear(scheduler.StepTaskID{Job: scheduler.JobID(fmt.Sprint("job", number))})
					}
				}
			}
			if worst >= Conviction {
				t.Errorf("got evidence %d against an innocent task, want less than %d", worst, Conviction)
			}
		})
	}
}

// evidenceOf returns the evidence against a task. Its job is named after the number of its worker.
func evidenceOf(tasks []runningTask, id scheduler.StepTaskID) Evidence {
	var number int
	if _, err := fmt.Sscanf(string(id.Job), "job%d", &number); err != nil {
		panic(err)
	}
	return tasks[number].evidence
}

// runningTask is the task that a worker runs.
type runningTask struct {
	age      time.Duration
	evidence Evidence
	// hit is true if the task was lost in the crash of the last round.
	hit bool
}

// advance lets the time between two rounds pass. A task that ends is replaced by another one of the same length.
func (runningTask *runningTask) advance(random *rand.Rand, interval, length time.Duration) {
	age := runningTask.age + interval
	if runningTask.hit {
		age = time.Duration(random.Int64N(int64(interval)))
	}
	runningTask.hit = false
	if age < length {
		runningTask.age = age
		if age >= SurvivalTime {
			runningTask.evidence = 0
		}
		return
	}
	runningTask.age, runningTask.evidence = age%length, 0
}

// Guards against a rate that counts crashes by tasks, or forgets those by chance at once.
func TestRate(t *testing.T) {
	task := func(job scheduler.JobID) scheduler.StepTaskID { return scheduler.StepTaskID{Job: job} }
	tests := map[string]struct {
		act func(rate *Rate)
		// evidence is that against each suspect.
		evidence Evidence
		// least and most bound the rate of 10 workers 100 s after the crash at 100 s.
		least, most float64
	}{
		"no crash":            {func(*Rate) {}, 0, 0, 1.01e-4},
		"nothing was running": {func(rate *Rate) { rate.AddCrash(100*time.Second, nil) }, 0, 1.6e-4, 3e-4},
		"the suspect is hardly suspected": {func(rate *Rate) {
			rate.AddCrash(100*time.Second, []scheduler.StepTaskID{task("a")})
		}, 0, 1.6e-4, 3e-4},
		"the suspect is nearly convicted": {func(rate *Rate) {
			rate.AddCrash(100*time.Second, []scheduler.StepTaskID{task("a")})
		}, Conviction - 1, 0, 1.01e-4},
		"all suspects are cleared": {func(rate *Rate) {
			rate.AddCrash(100*time.Second, []scheduler.StepTaskID{task("a"), task("b")})
			rate.Clear(task("a"))
			rate.Clear(task("b"))
		}, Conviction - 1, 1.6e-4, 3e-4},
		"the cause is found": {func(rate *Rate) {
			rate.AddCrash(100*time.Second, []scheduler.StepTaskID{task("a"), task("b")})
			rate.Explain("a")
			rate.Clear(task("a"))
			rate.Clear(task("b"))
		}, 0, 0, 1.01e-4},
		"one of two crashes is explained": {func(rate *Rate) {
			rate.AddCrash(100*time.Second, []scheduler.StepTaskID{task("a"), task("b")})
			rate.AddCrash(100*time.Second, []scheduler.StepTaskID{task("b"), task("c")})
			rate.Explain("a")
			rate.Clear(task("b"))
			rate.Clear(task("c"))
		}, Conviction, 1.6e-4, 2e-4},
		"more crashes than are kept open": {func(rate *Rate) {
			for number := range maxOpenCrashes + 10 {
				rate.AddCrash(100*time.Second, []scheduler.StepTaskID{task(scheduler.JobID(fmt.Sprint(number)))})
			}
			for number := range maxOpenCrashes + 10 {
				rate.Clear(task(scheduler.JobID(fmt.Sprint(number))))
			}
		}, 0, 0.0417, 0.0418},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rate := NewRate(0)
			test.act(rate)
			evidence := func(scheduler.StepTaskID) Evidence { return test.evidence }
			if got := rate.PerSecond(200*time.Second, 10, evidence); got < test.least || got > test.most {
				t.Errorf("got %v crashes of a worker in a second, want %v to %v", got, test.least, test.most)
			}
		})
	}
}
