// Package measurer measures latency and goodput of the request path against simulated endpoints, and of a simple
// gateway as the baseline. It is meant to run in the virtual time of testing/synctest.
package measurer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("measurer")

const (
	slotsPerEndpoint       = 8
	connectionsPerEndpoint = 64
	// oneWayLatency is the one-way latency between a gateway and an endpoint of the same data centre, well below
	// the 1 ms between data centres.
	oneWayLatency = 250 * time.Microsecond
	// meanServiceTime is the mean of the exponentially distributed time that a request takes.
	meanServiceTime = 20 * time.Millisecond
	deadline        = time.Second
	service         = "sizing"
)

// Fault is the fault of the first endpoint.
type Fault string

// Values of Fault.
const (
	FaultNone    Fault = "even load"
	FaultSlow    Fault = "one slow endpoint"
	FaultFailing Fault = "one endpoint fails everything"
)

// Scenario holds the parameters of a run.
type Scenario struct {
	Seed      uint64
	Gateways  int
	Endpoints int
	// Load is the request rate relative to the total capacity of the endpoints without a fault.
	Load     float64
	Fault    Fault
	Baseline bool
	Duration time.Duration
	// WarmUp is the time before Duration whose requests are excluded from the result, except AttemptsPerRequest.
	WarmUp time.Duration
}

// Result holds the measurements of a run. The latency percentiles cover successful requests only.
type Result struct {
	Sent        int
	Succeeded   int
	StatusCodes map[string]int
	P50         time.Duration
	P99         time.Duration
	P999        time.Duration
	// MaxInFlight is the largest number of concurrent requests at any endpoint.
	MaxInFlight int
	// AttemptsPerRequest is the number of requests that reached endpoints per caller's request, including warm-up.
	AttemptsPerRequest float64
}

// Goodput returns the fraction of requests that succeeded before their deadline.
func (result Result) Goodput() float64 {
	return float64(result.Succeeded) / float64(max(1, result.Sent))
}

// Run runs a scenario and returns its result after all requests have ended.
func Run(ctx context.Context, scenario Scenario) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	model := newModel(scenario)
	var handlers []http.Handler
	var stop func()
	if scenario.Baseline {
		handlers, stop = model.newBaselines()
	} else {
		handlers, stop = model.startGateways(ctx)
	}
	result := model.generateLoad(ctx, scenario, handlers)
	cancel()
	stop()
	model.close()
	return result, nil
}

// generateLoad sends requests round-robin to the gateways, with exponentially distributed intervals (open loop) at the
// rate of the scenario.
func (model *model) generateLoad(ctx context.Context, scenario Scenario, handlers []http.Handler) Result {
	random := rand.New(rand.NewPCG(scenario.Seed, 1))
	capacity := float64(scenario.Endpoints*slotsPerEndpoint) / meanServiceTime.Seconds()
	meanInterval := float64(time.Second) / (capacity * scenario.Load)
	histogram := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
	result := Result{StatusCodes: map[string]int{}}
	var mutex sync.Mutex
	var requests sync.WaitGroup
	startTime, total := time.Now(), 0
	for number := 0; time.Since(startTime) < scenario.WarmUp+scenario.Duration; number++ {
		time.Sleep(time.Duration(random.ExpFloat64() * meanInterval))
		total++
		counted := time.Since(startTime) >= scenario.WarmUp
		requests.Go(func() {
			sentAt := time.Now()
			status := send(ctx, handlers[number%len(handlers)], number)
			mutex.Lock()
			defer mutex.Unlock()
			if !counted {
				return
			}
			result.Sent++
			result.StatusCodes[strconv.Itoa(status)]++
			if status == http.StatusOK {
				result.Succeeded++
				_ = histogram.RecordValue(time.Since(sentAt).Microseconds())
			}
		})
	}
	requests.Wait()
	percentile := func(percent float64) time.Duration {
		return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
	}
	result.P50, result.P99, result.P999 = percentile(50), percentile(99), percentile(99.9)
	maxInFlight, attempts := model.inFlightAndAttempts()
	result.MaxInFlight, result.AttemptsPerRequest = maxInFlight, float64(attempts)/float64(total)
	return result
}

// send passes one idempotent request to a handler and returns its status code, or 0 if the deadline has passed.
func send(ctx context.Context, handler http.Handler, number int) int {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	request := httptest.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("/%s/%d", service, number), nil)
	request.Header.Set("Crocusplank-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.RemoteAddr = fmt.Sprintf("10.9.0.%d:1000", number%50)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	if ctx.Err() != nil {
		return 0
	}
	return recorder.Code
}
