// Package measurer runs the request path against a model of endpoints and measures latencies and goodput,
// next to a plain baseline. It is meant to run in the virtual time of testing/synctest.
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
	slots       = 8
	connections = 64
	// hop is the one-way latency between a gateway and an endpoint of the same data centre, well below
	// the 1 ms between data centres.
	hop = 250 * time.Microsecond
	// serviceTime is the mean of the exponentially distributed time that a request takes.
	serviceTime = 20 * time.Millisecond
	deadline    = time.Second
	service     = "sizing"
)

// Fault is what is wrong with the first endpoint.
type Fault string

// Values of Fault.
const (
	FaultNone    Fault = "even load"
	FaultSlow    Fault = "one slow endpoint"
	FaultFailing Fault = "one endpoint fails everything"
)

// Scenario describes a run.
type Scenario struct {
	Seed      uint64
	Gateways  int
	Endpoints int
	// Load is the rate of the requests relative to the capacity of all endpoints without a fault.
	Load     float64
	Fault    Fault
	Baseline bool
	Duration time.Duration
	// WarmUp is left out of the result.
	WarmUp time.Duration
}

// Result are the result of a run. Latencies are those of answered requests.
type Result struct {
	Sent        int
	Succeeded   int
	StatusCodes map[string]int
	P50         time.Duration
	P99         time.Duration
	P999        time.Duration
	// MaxInFlight is the highest number of requests that any endpoint had at once.
	MaxInFlight int
	// AttemptsPerRequest is how many requests reached endpoints per request of a caller, warm-up included.
	AttemptsPerRequest float64
}

// Goodput returns the part of the requests that were answered well before their deadline.
func (result Result) Goodput() float64 {
	return float64(result.Succeeded) / float64(max(1, result.Sent))
}

// Run runs a scenario until all requests have ended.
func Run(ctx context.Context, scenario Scenario) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	model := newModel(scenario)
	var handlers []http.Handler
	var stop func()
	if scenario.Baseline {
		handlers, stop = model.baselines()
	} else {
		handlers, stop = model.gateways(ctx)
	}
	result := model.load(ctx, scenario, handlers)
	cancel()
	stop()
	model.close()
	return result, nil
}

// load sends requests at random times with the rate of the scenario, to the gateways in turn.
func (model *model) load(ctx context.Context, scenario Scenario, handlers []http.Handler) Result {
	random := rand.New(rand.NewPCG(scenario.Seed, 1))
	capacity := float64(scenario.Endpoints*slots) / serviceTime.Seconds()
	gap := float64(time.Second) / (capacity * scenario.Load)
	histogram := hdrhistogram.New(1, int64(10*time.Second/time.Microsecond), 3)
	result := Result{StatusCodes: map[string]int{}}
	var mutex sync.Mutex
	var requests sync.WaitGroup
	began, all := time.Now(), 0
	for number := 0; time.Since(began) < scenario.WarmUp+scenario.Duration; number++ {
		time.Sleep(time.Duration(random.ExpFloat64() * gap))
		all++
		counted := time.Since(began) >= scenario.WarmUp
		requests.Go(func() {
			started := time.Now()
			code := send(ctx, handlers[number%len(handlers)], number)
			mutex.Lock()
			defer mutex.Unlock()
			if !counted {
				return
			}
			result.Sent++
			result.StatusCodes[strconv.Itoa(code)]++
			if code == http.StatusOK {
				result.Succeeded++
				_ = histogram.RecordValue(time.Since(started).Microseconds())
			}
		})
	}
	requests.Wait()
	quantile := func(part float64) time.Duration {
		return time.Duration(histogram.ValueAtQuantile(part)) * time.Microsecond
	}
	result.P50, result.P99, result.P999 = quantile(50), quantile(99), quantile(99.9)
	most, attempts := model.most()
	result.MaxInFlight, result.AttemptsPerRequest = most, float64(attempts)/float64(all)
	return result
}

// send has a handler serve one idempotent request and returns the status, 0 after the deadline.
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
