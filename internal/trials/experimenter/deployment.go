package experimenter

import (
	"fmt"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// deployment describes the cluster of one user.
type deployment struct {
	workers, cores, gigabytes, workersPerRack int
}

var deployments = map[string]deployment{
	"couva":   {workers: 50, cores: 32, gigabytes: 125, workersPerRack: 8},
	"bramble": {workers: 65, cores: 64, gigabytes: 250, workersPerRack: 11},
}

func (d deployment) inventory() []scheduler.Worker {
	workers := make([]scheduler.Worker, d.workers)
	for i := range workers {
		workers[i] = scheduler.Worker{
			Name: scheduler.WorkerName(fmt.Sprintf("worker%d", i)),
			Rack: fmt.Sprintf("rack%d", i/d.workersPerRack),
			Capacity: scheduler.Resources{
				MilliCores: int64(d.cores) * 1000, MemoryBytes: int64(d.gigabytes) << 30,
			},
		}
	}
	return workers
}

// scenario describes the load and the faults of a run.
type scenario struct {
	// offeredLoad is the arriving batch work, as a fraction of the processors that services do not reserve.
	offeredLoad float64
	// declaredLow and declaredHigh bound the ratio of declared to actual sizes and run times.
	declaredLow, declaredHigh float64
	// reportDelay is the mean delay of usage reports.
	reportDelay                                     time.Duration
	waves, shift, failing, rackLoss, cancels, flood bool
}

// scenarios lists the scenarios by name. Except in wrongDeclarations, declared sizes and run times differ from the actual
// ones by a factor from 0.5 to 2. Except in light, the offered batch work is close to or above the capacity of the cluster,
// so that throughput depends on the policy.
var scenarios = map[string]scenario{
	"light":             {offeredLoad: 0.7, declaredLow: 0.5, declaredHigh: 2, reportDelay: 30 * time.Second},
	"steady":            {offeredLoad: 0.95, declaredLow: 0.5, declaredHigh: 2, reportDelay: 30 * time.Second},
	"overload":          {offeredLoad: 1.4, declaredLow: 0.5, declaredHigh: 2, reportDelay: 30 * time.Second},
	"flood":             {offeredLoad: 0.7, declaredLow: 0.5, declaredHigh: 2, reportDelay: 30 * time.Second, flood: true},
	"noisyWaves":        {offeredLoad: 0.75, declaredLow: 0.5, declaredHigh: 2, reportDelay: 30 * time.Second, waves: true},
	"loadShift":         {offeredLoad: 0.95, declaredLow: 0.5, declaredHigh: 2, reportDelay: 30 * time.Second, shift: true},
	"wrongDeclarations": {offeredLoad: 0.95, declaredLow: 0.3, declaredHigh: 5, reportDelay: 30 * time.Second},
	"failingWorkers":    {offeredLoad: 0.8, declaredLow: 0.5, declaredHigh: 2, reportDelay: 30 * time.Second, failing: true},
	"rackLoss":          {offeredLoad: 0.95, declaredLow: 0.5, declaredHigh: 2, reportDelay: 30 * time.Second, rackLoss: true},
	"cancellationBurst": {offeredLoad: 0.95, declaredLow: 0.5, declaredHigh: 2, reportDelay: 30 * time.Second, cancels: true},
	"promptUsage":       {offeredLoad: 0.95, declaredLow: 0.5, declaredHigh: 2, reportDelay: 5 * time.Second},
	"delayedUsage":      {offeredLoad: 0.95, declaredLow: 0.5, declaredHigh: 2, reportDelay: 120 * time.Second},
}

// Timing of a run.
const (
	horizon        = 2 * time.Hour
	step           = 2 * time.Second
	reportInterval = 10 * time.Second
	// rolloutTime is the period at the start of a run over which the services' tasks arrive, interleaved with batch tasks.
	rolloutTime  = 10 * time.Minute
	floodAt      = 20 * time.Minute
	waveInterval = 15 * time.Minute
	waveLength   = 5 * time.Minute
	// waveFactor multiplies the arrival rate of the two most interfering kinds during a wave.
	waveFactor     = 4.0
	shiftFrom      = 40 * time.Minute
	shiftUntil     = 80 * time.Minute
	rackDownFrom   = 50 * time.Minute
	rackDownUntil  = 70 * time.Minute
	failingFrom    = 20 * time.Minute
	failingUntil   = 90 * time.Minute
	failingWorkers = 3
)
