package overseer

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// Workers shut down for the time of the random failures, at most maxShutdownGap apart.
	shutdownPeriod = 20 * time.Second
	maxShutdownGap = 3 * time.Second
	// maxRunsOn is the maximum time for which a worker runs on after its deregistration.
	maxRunsOn = 12 * time.Second
	// shortReport is so small a number of ends in a report that most reports leave out some.
	shortReport = 2
)

// shutDown lets a worker drain and deregister. It then runs on for some time, half of the time cut off, and is replaced by a
// later instance.
func (simulation *simulation) shutDown(seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	name := simulation.names[random.IntN(len(simulation.names))]
	simulation.fleet.mutex.Lock()
	worker := simulation.fleet.workers[addressOf(name)]
	running := worker != nil && !worker.dead
	if running {
		worker.draining = true
	}
	simulation.fleet.mutex.Unlock()
	if !running {
		return
	}
	simulation.sendHeartbeats()
	time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
	if random.IntN(2) == 0 {
		simulation.setPartitioned(name, true)
	}
	for _, overseer := range simulation.overseers {
		if overseer.HandleShutdown(name) == nil {
			break
		}
	}
	time.Sleep(time.Duration(random.Int64N(int64(maxRunsOn))))
	simulation.fleet.mutex.Lock()
	current := simulation.fleet.workers[addressOf(name)] == worker
	simulation.fleet.mutex.Unlock()
	if current {
		simulation.restart(name)
	}
}

// Guards against the faults that TestRandomFailures guards against while workers shut down without an acknowledgement and
// their reports leave out most ends.
func TestRandomShutdownsAndShortReports(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, uint64(seed), WithMaxReportedEnds(shortReport))
				simulation.fleet.lateRate, simulation.fleet.failureRate = 0.05, 0.05
				simulation.fleet.maxListedEnds = shortReport
				random := rand.New(rand.NewPCG(uint64(seed), 3))
				var shutdowns sync.WaitGroup
				shutdowns.Go(func() {
					for began := time.Now(); time.Since(began) < shutdownPeriod; {
						time.Sleep(time.Duration(random.Int64N(int64(maxShutdownGap))))
						seed := random.Uint64()
						shutdowns.Go(func() { simulation.shutDown(seed) })
					}
				})
				simulation.run()
				shutdowns.Wait()
				time.Sleep(20 * time.Second) // Late orders must end before the synctest bubble does.
				simulation.check()
			})
		})
	}
}
