package measurer

import (
	"flag"
	"os"
	"runtime"
	"testing"
	"testing/synctest"
	"time"
)

var (
	full = flag.Bool("full", false, "measure all loads and faults")
	seed = flag.Uint64("seed", 1, "seed of the measurement")
)

// TestMeasure guards against a request path whose goodput under overload is below 90% of the baseline's, or that sends
// more concurrent requests to an endpoint than it has slots. With -full it measures all loads and faults.
func TestMeasure(t *testing.T) {
	loads, faults, length := []float64{1.3}, []Fault{FaultNone}, time.Second
	if *full {
		loads, faults, length = []float64{0.7, 0.95, 1.3, 2}, []Fault{FaultNone, FaultSlow, FaultFailing}, 10*time.Second
		defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	}
	for _, fault := range faults {
		for _, load := range loads {
			var goodput [2]float64
			for index, baseline := range []bool{true, false} {
				scenario := Scenario{
					Seed: *seed, Gateways: 3, Endpoints: 10, Load: load, Fault: fault, Baseline: baseline, Duration: length, WarmUp: 2 * time.Second,
				}
				synctest.Test(t, func(t *testing.T) {
					result, err := Run(t.Context(), scenario)
					if err != nil {
						t.Fatal(err)
					}
					if got := result.MaxInFlight; !baseline && got > slotsPerEndpoint {
						t.Errorf("requests at one endpoint: got %d, want at most %d", got, slotsPerEndpoint)
					}
					goodput[index] = result.Goodput()
					result.PrintRow(os.Stdout, scenario)
				})
			}
			if got, want := goodput[1], 0.9*goodput[0]; got < want {
				t.Errorf("goodput at load %.2f, %s: got %.3f, want at least %.3f", load, fault, got, want)
			}
		}
	}
}
