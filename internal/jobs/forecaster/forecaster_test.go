package forecaster

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var (
	kind   = scheduler.NewTaskKind("queue", "image")
	second = time.Second
)

// observeMany records tasks of which every 33rd runs seven times as long, with estimates of a tenth of the usual run
// time.
func observeMany(forecaster *Forecaster, count int, worker scheduler.WorkerName, slowness float64) {
	for number := range count {
		runTime := time.Duration(slowness * float64(second))
		if number%33 == 32 {
			runTime *= 7
		}
		forecaster.Observe(Observation{Kind: kind, Estimate: second / 10, RunTime: runTime, Worker: worker})
	}
}

func isNear(got, want time.Duration) bool {
	return float64(got) > 0.9*float64(want) && float64(got) < 1.1*float64(want)
}

// Guards against predictions that repeat wrong estimates, ignore the tail, or apply one kind to all others.
func TestPredictions(t *testing.T) {
	learned := New()
	observeMany(learned, 330, "w", 1)
	few := New()
	observeMany(few, 7, "w", 1)
	other := scheduler.NewTaskKind("queue", "other")
	foreign := scheduler.NewTaskKind("foreign", "image")
	tests := map[string]struct{ got, want time.Duration }{
		"median":                   {learned.RunTime(kind, second/10, 0.5), second},
		"scales with estimate":     {learned.RunTime(kind, second, 0.5), 10 * second},
		"tail":                     {learned.RunTime(kind, second/10, 0.99), 7 * second},
		"kind without ends":        {learned.RunTime(other, second/10, 0.5), second},
		"queue without ends":       {learned.RunTime(foreign, second/10, 0.5), second / 10},
		"few ends":                 {few.RunTime(kind, second/10, 0.9), second / 10},
		"no estimate":              {learned.RunTime(kind, 0, 0.5), second},
		"no estimate, no ends":     {learned.RunTime(foreign, 0, 0.5) + 1, 1},
		"remaining at start":       {learned.Remaining(kind, second/10, 0, 0.5), second},
		"remaining of a straggler": {learned.Remaining(kind, second/10, 2*second, 0.5), 5 * second},
		"remaining by estimate":    {learned.Remaining(foreign, second, second/4, 0.5), 3 * second / 4},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if !isNear(test.got, test.want) {
				t.Errorf("got %v, want about %v", test.got, test.want)
			}
		})
	}
}

// Guards against a remaining time that is zero, negative or falls although a task runs longer than any before, and
// against an overflow from an absurd estimate.
func TestRemainingIsPositive(t *testing.T) {
	learned := New()
	observeMany(learned, 330, "w", 1)
	last := time.Duration(0)
	for elapsed := 8 * second; elapsed < 200*second; elapsed *= 2 {
		got := learned.Remaining(kind, second/10, elapsed, 0.5)
		if got <= last {
			t.Errorf("got %v after %v, want more than %v", got, elapsed, last)
		}
		last = got
	}
	for _, estimate := range []time.Duration{-second, 0, 1, 1<<63 - 1} {
		for _, quantile := range []float64{0, 0.5, 1} {
			if got := learned.Remaining(kind, estimate, second, quantile); got <= 0 {
				t.Errorf("got %v for estimate %v, want a positive time", got, estimate)
			}
		}
	}
}

// Guards against random estimates that hide how similar the run times of a program are.
func TestRandomEstimates(t *testing.T) {
	forecaster, random := New(), rand.New(rand.NewPCG(5, 6))
	randomEstimate := func() time.Duration { return time.Duration((0.1 + 1.8*random.Float64()) * float64(second)) }
	for range 300 {
		forecaster.Observe(Observation{Kind: kind, Estimate: randomEstimate(), RunTime: second, Worker: "w"})
	}
	for range 20 {
		if got := forecaster.RunTime(kind, randomEstimate(), 0.9); !isNear(got, second) {
			t.Errorf("got %v, want about 1s", got)
		}
	}
}

// Guards against predictions of tasks without an estimate, which have no ratio.
func TestPlainRunTimes(t *testing.T) {
	forecaster := New()
	for range 50 {
		forecaster.Observe(Observation{Kind: kind, RunTime: 3 * second, Worker: "w"})
	}
	if got, want := forecaster.RunTime(kind, 0, 0.9), 3*second; !isNear(got, want) {
		t.Errorf("got %v, want about %v", got, want)
	}
}

// Guards against a program that has changed and whose new run times are taken for slow workers.
func TestOldObservationsDecay(t *testing.T) {
	forecaster := New()
	observeMany(forecaster, 5000, "w", 1)
	for number := range 700 {
		observeMany(forecaster, 1, scheduler.WorkerName(fmt.Sprint("w", number%5)), 4)
	}
	if got, want := forecaster.RunTime(kind, second/10, 0.5), 4*second; !isNear(got, want) {
		t.Errorf("got %v, want about %v", got, want)
	}
}

// Guards against a tail that disappears because its attempts are stopped when their copies finish.
func TestStoppedAttemptsKeepTheTail(t *testing.T) {
	forecaster := New()
	observeMany(forecaster, 330, "w", 1)
	for number := range 600 {
		observation := Observation{Kind: kind, Estimate: second / 10, RunTime: second, Worker: "w"}
		if number%33 == 32 {
			observation.RunTime, observation.Stopped = 2*second, true
		}
		forecaster.Observe(observation)
	}
	if got := forecaster.RunTime(kind, second/10, 0.99); got < 4*second {
		t.Errorf("got %v, want at least 4s", got)
	}
}

// Guards against long tasks that make a worker look slow, and against a slow worker that is not noticed.
func TestSlowWorkers(t *testing.T) {
	forecaster := New()
	random := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		worker := scheduler.WorkerName(fmt.Sprint("w", random.IntN(40)))
		// The estimates are wrong by a factor of 0.1 to 1.9.
		runTime := time.Duration((0.1 + 1.8*random.Float64()) * float64(second))
		if random.IntN(33) == 0 {
			runTime *= 7
		}
		if worker == "w7" {
			runTime *= 3
		}
		forecaster.Observe(Observation{Kind: kind, Estimate: second, RunTime: runTime, Worker: worker})
	}
	for number := range 40 {
		worker := scheduler.WorkerName(fmt.Sprint("w", number))
		if got, want := forecaster.IsSlow(worker), worker == "w7"; got != want {
			t.Errorf("%s: got slow = %v at %.2f, want %v", worker, got, forecaster.Slowness(worker), want)
		}
	}
}

// Guards against run times on a slow worker that spoil the predictions for all others.
func TestSlowWorkerDoesNotChangePredictions(t *testing.T) {
	forecaster := New()
	for number := range 800 {
		runTime := second
		if number%4 == 0 {
			runTime *= 3
		}
		worker := scheduler.WorkerName(fmt.Sprint("w", number%4))
		forecaster.Observe(Observation{Kind: kind, Estimate: second, RunTime: runTime, Worker: worker})
	}
	if got := forecaster.RunTime(kind, second, 0.85); !isNear(got, second) {
		t.Errorf("got %v, want about 1s", got)
	}
}

// Guards against memory that grows with the number of kinds: 72 queues with 20 images each fit into 8 MB, and a flood
// of further kinds does not exceed it.
func TestMemoryIsBounded(t *testing.T) {
	const kinds, limit = 72 * 20, 8 << 20
	before := heapInUse()
	forecaster := New()
	for number := range kinds + kinds/2 {
		kind := scheduler.NewTaskKind(scheduler.QueueName(fmt.Sprint("q", number%72)), fmt.Sprint("image", number))
		for repetition := range 20 {
			runTime := second * time.Duration(1+repetition)
			forecaster.Observe(Observation{Kind: kind, Estimate: second, RunTime: runTime, Worker: "w"})
		}
		forecaster.RunTime(kind, second, 0.5)
	}
	got := heapInUse() - before
	t.Logf("%d bytes", got)
	if got > limit {
		t.Errorf("got %d bytes, want at most %d", got, limit)
	}
	if kept := len(forecaster.histories.elements); kept > defaultMaxKinds || kept < kinds {
		t.Errorf("got %d kinds, want %d to %d", kept, kinds, defaultMaxKinds)
	}
	data, err := forecaster.Encode(64 << 10)
	if err != nil || len(data) > 64<<10 {
		t.Errorf("got a digest of %d bytes and error %v, want at most 64 KB", len(data), err)
	}
}

func heapInUse() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// Guards against a restored forecaster that predicts something else.
func TestRestore(t *testing.T) {
	original, restored := New(), New()
	for _, worker := range []scheduler.WorkerName{"a", "b", "c"} {
		observeMany(original, 100, worker, 1)
	}
	observeMany(original, 80, "slow", 3)
	data, err := original.Encode(1 << 20)
	if err != nil {
		t.Fatal(err)
	}
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	for _, quantile := range []float64{0.1, 0.5, 0.9, 0.99} {
		got, want := restored.RunTime(kind, second, quantile), original.RunTime(kind, second, quantile)
		if !isNear(got, want) {
			t.Errorf("quantile %v: got %v, want about %v", quantile, got, want)
		}
	}
	if got, want := restored.Slowness("slow"), original.Slowness("slow"); got != want || got < 2 {
		t.Errorf("got slowness %v, want %v", got, want)
	}
}

// Guards against a malformed digest that ends the process or replaces what was learned.
func TestRestoreRejectsMalformedDigests(t *testing.T) {
	valid := New()
	observeMany(valid, 100, "w", 1)
	data, _ := valid.Encode(1 << 20)
	want := valid.RunTime(kind, second, 0.5)
	for length := range data {
		if valid.Restore(data[:length]) == nil {
			t.Errorf("got no error for %d of %d bytes", length, len(data))
		}
	}
	for position := range data {
		changed := append([]byte(nil), data...)
		changed[position] ^= 0xff
		if New().Restore(changed) == nil {
			continue // Some changes give another valid digest.
		}
		_ = valid.Restore(changed)
	}
	if got := valid.RunTime(kind, second, 0.5); got != want {
		t.Errorf("got %v after rejected digests, want %v", got, want)
	}
}

// Guards against a calibration that counts predictions from estimates, or that is far from its quantiles.
func TestCalibration(t *testing.T) {
	forecaster, random := New(), rand.New(rand.NewPCG(3, 4))
	predicted, belowMedian, belowUpper := 0, 0, 0
	for range 2000 {
		runTime := time.Duration((0.2 + random.ExpFloat64()) * float64(second))
		calibration := forecaster.Observe(Observation{Kind: kind, Estimate: second, RunTime: runTime, Worker: "w"})
		if !calibration.Predicted() {
			continue
		}
		predicted++
		if calibration.BelowMedian() {
			belowMedian++
		}
		if calibration.BelowUpper() {
			belowUpper++
		}
	}
	if predicted != 2000-minWeight/observationWeight {
		t.Errorf("got %d predictions, want all but the first %d", predicted, minWeight/observationWeight)
	}
	for name, share := range map[string][2]float64{
		"median": {float64(belowMedian) / float64(predicted), 0.5}, "upper": {float64(belowUpper) / float64(predicted), 0.9},
	} {
		if got, want := share[0], share[1]; got < want-0.05 || got > want+0.05 {
			t.Errorf("%s: got %.3f below, want about %.2f", name, got, want)
		}
	}
}
