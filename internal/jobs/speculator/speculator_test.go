package speculator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/forecaster"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	queue         scheduler.QueueName = "queue"
	tick                              = 250 * time.Millisecond
	fleetSize                         = 40
	tasksPerJob                       = 10
	jobsPerWave                       = 20
	waves                             = 30
	tailRate                          = 0.03
	tailFactor                        = 7
	leaseDuration                     = 10 * time.Second
)

var kind = scheduler.NewTaskKind(queue, "image")

// play runs jobs of ten tasks on a model of a pool. Tasks take 1 to 3 s on a healthy worker, 3% of the attempts take
// seven times as long, and the estimates are wrong by a factor of 0.1 to 1.9.
type play struct {
	random     *rand.Rand
	forecaster *forecaster.Forecaster
	speculator *Speculator
	load       QueueLoad
	// slowness holds the factor by which tasks run longer on a worker, if it is not 1.
	slowness map[int]float64
	// isSilent reports whether a worker stops responding half a second after its tasks have started.
	isSilent func(worker int) bool
	// inherent is true if a copy takes as long as the attempt that it is a copy of.
	inherent   bool
	copies     int
	copyWorker int
}

// playedTask is a task of a play. Ends are times since the start of its wave.
type playedTask struct {
	base     time.Duration
	estimate time.Duration
	tail     float64
	worker   int
	end      time.Duration
	copied   bool
	copyAt   time.Duration
	copyEnd  time.Duration
	copyOn   int
}

func newPlay() *play {
	predictor := forecaster.New()
	return &play{
		random: rand.New(rand.NewPCG(1, 2)), forecaster: predictor, speculator: New(predictor),
		slowness: map[int]float64{}, isSilent: func(int) bool { return false },
	}
}

func (play *play) slownessOf(worker int) float64 { return max(play.slowness[worker], 1) }

func (play *play) newTask(number int) *playedTask {
	task := &playedTask{worker: number % fleetSize, tail: 1}
	task.base = time.Duration((1 + 2*play.random.Float64()) * float64(time.Second))
	task.estimate = time.Duration((0.1 + 1.8*play.random.Float64()) * float64(task.base))
	if play.random.Float64() < tailRate {
		task.tail = tailFactor
	}
	task.end = time.Duration(float64(task.base) * task.tail * play.slownessOf(task.worker))
	if play.isSilent(task.worker) {
		task.end = leaseDuration + task.base // The task runs again after the lease has expired.
	}
	return task
}

// finish returns when the task finishes by the attempt that ends first.
func (playedTask *playedTask) finish() time.Duration {
	if playedTask.copied {
		return min(playedTask.end, playedTask.copyEnd)
	}
	return playedTask.end
}

// run plays all waves and returns the time that each job took, in ascending order.
func (play *play) run(withCopies bool) []time.Duration {
	var took []time.Duration
	for range waves {
		var tasks []*playedTask
		for number := range jobsPerWave * tasksPerJob {
			tasks = append(tasks, play.newTask(number))
		}
		for now := tick; withCopies && now < 30*time.Second; now += tick {
			play.startCopies(tasks, now)
		}
		for _, task := range tasks {
			play.observe(task)
		}
		for job := range jobsPerWave {
			slowest := time.Duration(0)
			for _, task := range tasks[job*tasksPerJob : (job+1)*tasksPerJob] {
				slowest = max(slowest, task.finish())
			}
			took = append(took, slowest)
		}
	}
	slices.Sort(took)
	return took
}

// startCopies decides on copies at time now and starts those that the queue allows.
func (play *play) startCopies(tasks []*playedTask, now time.Duration) {
	load := play.load
	var attempts []Attempt
	for index, task := range tasks {
		if task.finish() <= now {
			continue
		}
		load.Running++
		if task.copied {
			load.Running++
			load.Copies++
			continue
		}
		attempts = append(attempts, Attempt{
			Task: scheduler.StepTaskID{Index: index}, Kind: kind, Estimate: task.estimate, Elapsed: now, Share: fullShare,
			Slowness: play.forecaster.Slowness(workerName(task.worker)),
			Silent:   play.isSilent(task.worker) && now > 3*time.Second, LeaseRemaining: leaseDuration - now,
		})
	}
	for _, candidate := range play.speculator.Choose(attempts) {
		if play.speculator.Allowance(queue, load) == 0 {
			return
		}
		load.Copies++
		play.startCopy(tasks[candidate.Task().Index], now)
	}
}

// startCopy starts a copy on the next worker that responds.
func (play *play) startCopy(task *playedTask, now time.Duration) {
	play.copies++
	for play.copyWorker++; play.isSilent(play.copyWorker % fleetSize); play.copyWorker++ {
	}
	task.copied, task.copyAt, task.copyOn = true, now, play.copyWorker%fleetSize
	tail := 1.0
	switch {
	case play.inherent:
		tail = task.tail
	case play.random.Float64() < tailRate:
		tail = tailFactor
	}
	task.copyEnd = now + time.Duration(float64(task.base)*tail*play.slownessOf(task.copyOn))
}

// observe lets the forecaster and the speculator learn from a task that has finished.
func (play *play) observe(task *playedTask) {
	finish := task.finish()
	if task.copied {
		won := task.copyEnd < task.end
		play.speculator.RecordResult(queue, won)
		play.observeAttempt(task, task.copyOn, finish-task.copyAt, !won)
		if play.isSilent(task.worker) {
			return
		}
		play.observeAttempt(task, task.worker, finish, won)
		return
	}
	if !play.isSilent(task.worker) {
		play.observeAttempt(task, task.worker, finish, false)
	}
}

func (play *play) observeAttempt(task *playedTask, worker int, runTime time.Duration, stopped bool) {
	play.forecaster.Observe(forecaster.Observation{
		Kind: kind, Estimate: task.estimate, RunTime: runTime, Worker: workerName(worker), Stopped: stopped,
	})
}

func workerName(number int) scheduler.WorkerName {
	return scheduler.WorkerName(fmt.Sprint("w", number))
}

func percentile(sorted []time.Duration, percent int) time.Duration {
	return sorted[len(sorted)*percent/100]
}

// Guards against callers who wait for the slowest task of their job although the pool has room for a copy, and against
// copies that cost more than their budget.
func TestCopiesShortenTheTail(t *testing.T) {
	tests := map[string]struct {
		prepare func(play *play)
		// wantRatio is the highest allowed ratio of the 99th percentile of job times with copies to that without.
		wantRatio float64
	}{
		"long tasks": {func(*play) {}, 0.8},
		"a slow worker": {func(play *play) {
			play.slowness[7] = 6
		}, 0.8},
		"a silent rack": {func(play *play) {
			play.isSilent = func(worker int) bool { return worker < 4 }
		}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plain, copying := newPlay(), newPlay()
			test.prepare(plain)
			test.prepare(copying)
			without, with := percentile(plain.run(false), 99), percentile(copying.run(true), 99)
			t.Logf("99th percentile of job times: %v without copies, %v with %d copies of %d tasks", without, with,
				copying.copies, waves*jobsPerWave*tasksPerJob)
			if ratio := float64(with) / float64(without); ratio > test.wantRatio {
				t.Errorf("got a ratio of %.2f, want at most %.2f", ratio, test.wantRatio)
			}
			if got, limit := copying.copies, waves*jobsPerWave*tasksPerJob*2*maxFraction; float64(got) > limit {
				t.Errorf("got %d copies, want at most %.0f", got, limit)
			}
		})
	}
}

// Guards against copies of tasks that take long wherever they run.
func TestUselessCopiesAreReduced(t *testing.T) {
	useful, useless := newPlay(), newPlay()
	useless.inherent = true
	useful.run(true)
	useless.run(true)
	t.Logf("%d copies of tasks that are long once, %d of tasks that are long on every worker", useful.copies, useless.copies)
	if got, want := useless.speculator.Allowance(queue, QueueLoad{Running: 100}), 10; got >= want {
		t.Errorf("got an allowance of %d after useless copies, want less than %d", got, want)
	}
}

// Guards against copies that take room from tasks that wait or arrive.
func TestAllowance(t *testing.T) {
	tests := map[string]struct {
		load QueueLoad
		want int
	}{
		"a tenth of the running tasks": {QueueLoad{Running: 100}, 10},
		"some have copies":             {QueueLoad{Running: 100, Copies: 8}, 2},
		"exhausted":                    {QueueLoad{Running: 100, Copies: 11}, 0},
		"few tasks are left":           {QueueLoad{Running: 3, Copies: 2}, minBudget - 2},
		"nothing running":              {QueueLoad{}, 0},
		"a task waits":                 {QueueLoad{Running: 100, WaitingTasks: 1}, 0},
		"a full pool":                  {QueueLoad{Running: 100, PoolLoad: 0.9}, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := newPlay().speculator.Allowance(queue, test.load); got != test.want {
				t.Errorf("got %d, want %d", got, test.want)
			}
		})
	}
}

// Guards against copies without a sufficient gain, and against a wrong reason in the log.
func TestReasons(t *testing.T) {
	predictor := forecaster.New()
	for range 100 {
		predictor.Observe(forecaster.Observation{Kind: kind, Estimate: time.Second, RunTime: time.Second, Worker: "w"})
	}
	second, minute := time.Second, time.Minute
	tests := map[string]struct {
		attempt Attempt
		want    Reason
	}{
		"just started":        {Attempt{Estimate: second, Elapsed: second / 2, Share: fullShare}, ""},
		"long":                {Attempt{Estimate: second, Elapsed: 4 * second, Share: fullShare}, ReasonLong},
		"throttled":           {Attempt{Estimate: second, Elapsed: second / 4, Share: 20}, ReasonThrottled},
		"paused":              {Attempt{Estimate: second, Elapsed: second / 4, Share: 0}, ReasonThrottled},
		"slow worker":         {Attempt{Estimate: second, Elapsed: second / 4, Share: fullShare, Slowness: 4}, ReasonSlowWorker},
		"silent":              {Attempt{Estimate: second, Silent: true, LeaseRemaining: 7 * second}, ReasonSilentWorker},
		"silent, long task":   {Attempt{Estimate: minute, Silent: true, LeaseRemaining: 7 * second}, ""},
		"small gain":          {Attempt{Estimate: second / 10, Elapsed: second / 4, Share: fullShare}, ""},
		"nothing is known":    {Attempt{Kind: scheduler.NewTaskKind("other", ""), Elapsed: minute, Share: fullShare}, ""},
		"fast worker is 1":    {Attempt{Estimate: second, Elapsed: second / 4, Share: fullShare, Slowness: 0.2}, ""},
		"negative estimate":   {Attempt{Estimate: -second, Kind: scheduler.NewTaskKind("other", ""), Elapsed: minute}, ""},
		"expired lease":       {Attempt{Estimate: second, Silent: true, LeaseRemaining: -second}, ""},
		"almost done, silent": {Attempt{Estimate: second, Silent: true, LeaseRemaining: second / 10}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if test.attempt.Kind == (scheduler.TaskKind{}) {
				test.attempt.Kind = kind
			}
			got := Reason("")
			if candidates := New(predictor).Choose([]Attempt{test.attempt}); len(candidates) > 0 {
				got = candidates[0].Reason()
			}
			if got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}
