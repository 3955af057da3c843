package experimenter

import (
	"fmt"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// deployment is the size of one user's fleet.
type deployment struct {
	workers, cores, gigabytes, perRack int
}

var deployments = map[string]deployment{
	"couva":   {workers: 50, cores: 32, gigabytes: 125, perRack: 8},
	"bramble": {workers: 65, cores: 64, gigabytes: 250, perRack: 11},
}

func (d deployment) inventory() []scheduler.Worker {
	workers := make([]scheduler.Worker, d.workers)
	for i := range workers {
		workers[i] = scheduler.Worker{
			Name: scheduler.WorkerName(fmt.Sprintf("worker%d", i)),
			Rack: fmt.Sprintf("rack%d", i/d.perRack),
			Capacity: scheduler.Resources{
				MilliCores: int64(d.cores) * 1000, MemoryBytes: int64(d.gigabytes) << 30,
			},
		}
	}
	return workers
}

// scenario is what goes wrong in a run.
type scenario struct {
	// offered is the batch work that arrives, as a share of the processors that services leave.
	offered float64
	// declaredLow and declaredHigh bound the factor by which declarations are off.
	declaredLow, declaredHigh float64
	// delay is how late usage reports arrive.
	delay                                           time.Duration
	waves, shift, failing, rackLoss, cancels, flood bool
}

// scenarios lists the scenarios by name. In all of them but wrongDeclarations, declared sizes and run
// times are off by a factor from 0.5 to 2. In all of them but light, the offered batch work is close
// to or above what the fleet can do, so that throughput depends on the policy.
var scenarios = map[string]scenario{
	"light":             {offered: 0.7, declaredLow: 0.5, declaredHigh: 2, delay: 30 * time.Second},
	"steady":            {offered: 0.95, declaredLow: 0.5, declaredHigh: 2, delay: 30 * time.Second},
	"overload":          {offered: 1.4, declaredLow: 0.5, declaredHigh: 2, delay: 30 * time.Second},
	"flood":             {offered: 0.7, declaredLow: 0.5, declaredHigh: 2, delay: 30 * time.Second, flood: true},
	"noisyWaves":        {offered: 0.75, declaredLow: 0.5, declaredHigh: 2, delay: 30 * time.Second, waves: true},
	"loadShift":         {offered: 0.95, declaredLow: 0.5, declaredHigh: 2, delay: 30 * time.Second, shift: true},
	"wrongDeclarations": {offered: 0.95, declaredLow: 0.3, declaredHigh: 5, delay: 30 * time.Second},
	"failingWorkers":    {offered: 0.8, declaredLow: 0.5, declaredHigh: 2, delay: 30 * time.Second, failing: true},
	"rackLoss":          {offered: 0.95, declaredLow: 0.5, declaredHigh: 2, delay: 30 * time.Second, rackLoss: true},
	"cancellationBurst": {offered: 0.95, declaredLow: 0.5, declaredHigh: 2, delay: 30 * time.Second, cancels: true},
	"promptUsage":       {offered: 0.95, declaredLow: 0.5, declaredHigh: 2, delay: 5 * time.Second},
	"delayedUsage":      {offered: 0.95, declaredLow: 0.5, declaredHigh: 2, delay: 120 * time.Second},
}

// Times of the run.
const (
	horizon        = 2 * time.Hour
	step           = 2 * time.Second
	reportInterval = 10 * time.Second
	// rollout is the time over which the services' first tasks arrive, between batch tasks.
	rollout    = 10 * time.Minute
	floodAt    = 20 * time.Minute
	waveEvery  = 15 * time.Minute
	waveLength = 5 * time.Minute
	// waveFactor multiplies the arrivals of the two harshest kinds during a wave.
	waveFactor     = 4.0
	shiftFrom      = 40 * time.Minute
	shiftUntil     = 80 * time.Minute
	rackDownFrom   = 50 * time.Minute
	rackDownUntil  = 70 * time.Minute
	failingFrom    = 20 * time.Minute
	failingUntil   = 90 * time.Minute
	failingWorkers = 3
)
