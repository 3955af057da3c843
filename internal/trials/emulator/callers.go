package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// callTimeout is longer than the gateways' default deadline for a request that waits for a slot.
const callTimeout = 10 * time.Second

// nonIdempotentPeriod is the interval between non-idempotent requests: every fourth one.
const nonIdempotentPeriod = 4

// readinessTimeout bounds a readiness check of the emulated load balancer.
const readinessTimeout = time.Second

// Callers generates requests to the entry VMs, distributes them as the platform's load balancer does, and
// records the responses. It is safe for concurrent use.
type Callers struct {
	client          *http.Client
	readinessClient *http.Client
	service         scheduler.ServiceName
	addresses       []string

	mutex          sync.Mutex
	keyPrefix      string
	lastNumber     int
	outcomes       map[scheduler.Outcome]int
	errorMessages  map[string]int
	notRunKeys     []string
	wrongResponses []string
	incomplete     []string
}

// NewCallers returns a load generator for a service. addresses are the entry VMs' addresses for callers.
func NewCallers(service scheduler.ServiceName, addresses []string) *Callers {
	return &Callers{
		client:          &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
		readinessClient: &http.Client{Timeout: readinessTimeout},
		service:         service,
		addresses:       addresses,
		outcomes:        map[scheduler.Outcome]int{},
		errorMessages:   map[string]int{},
	}
}

// Run sends count requests from concurrent callers. Every fourth request is non-idempotent and is sent a
// second time after its response.
func (callers *Callers) Run(ctx context.Context, count, concurrent int) error {
	numbers := make(chan int)
	var senders sync.WaitGroup
	for range concurrent {
		senders.Go(func() {
			for number := range numbers {
				callers.sendNumbered(ctx, number)
			}
		})
	}
	for range count {
		callers.mutex.Lock()
		callers.lastNumber++
		number := callers.lastNumber
		callers.mutex.Unlock()
		numbers <- number
	}
	close(numbers)
	senders.Wait()
	return Error.Wrap(ctx.Err())
}

func (callers *Callers) sendNumbered(ctx context.Context, number int) {
	address, ok := callers.readyAddress(ctx, number)
	if !ok {
		return
	}
	if number%nonIdempotentPeriod != 0 {
		callers.send(ctx, address, http.MethodGet, number, "")
		return
	}
	key := callers.idempotencyKey(number)
	callers.send(ctx, address, http.MethodPost, number, key)
	callers.send(ctx, address, http.MethodPost, number, key)
}

// readyAddress returns the address of an entry VM that reports itself ready.
func (callers *Callers) readyAddress(ctx context.Context, number int) (string, bool) {
	for attempt := range callers.addresses {
		address := callers.addresses[(number+attempt)%len(callers.addresses)]
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
		if err != nil {
			return "", false
		}
		response, err := callers.readinessClient.Do(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return address, true
		}
	}
	return "", false
}

func (callers *Callers) send(ctx context.Context, address, method string, number int, key string) {
	body := ""
	if key != "" {
		body = fmt.Sprintf("hand tracing %d", number)
	}
	path := fmt.Sprintf("/check/%d", number)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+string(callers.service)+path, strings.NewReader(body))
	if err != nil {
		return
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := callers.client.Do(request)
	if err != nil {
		callers.recordIncomplete(fmt.Sprintf("request %d: %v", number, err))
		return
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		callers.recordIncomplete(fmt.Sprintf("response to request %d truncated: %v", number, err))
		return
	}
	callers.recordResponse(response, number, key, string(got), path+" "+body)
}

func (callers *Callers) recordIncomplete(text string) {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.incomplete = append(callers.incomplete, text)
}

func (callers *Callers) recordResponse(response *http.Response, number int, key, got, want string) {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	outcome := scheduler.Outcome(response.Header.Get("Crocusplank-Outcome"))
	callers.outcomes[outcome]++
	if outcome != scheduler.OutcomeDone {
		callers.errorMessages[errorMessage(got)]++
	}
	switch {
	case outcome == scheduler.OutcomeNotRun && key != "":
		callers.notRunKeys = append(callers.notRunKeys, key)
	case outcome == scheduler.OutcomeNotRun:
	case outcome == scheduler.OutcomeDone && got != want:
		callers.wrongResponses = append(callers.wrongResponses, fmt.Sprintf("request %d: got %q, want %q", number, got, want))
	}
}

// Resend repeats all non-idempotent requests sent so far with their original idempotency keys.
func (callers *Callers) Resend(ctx context.Context) {
	callers.mutex.Lock()
	last := callers.lastNumber
	callers.mutex.Unlock()
	for number := nonIdempotentPeriod; number <= last; number += nonIdempotentPeriod {
		if address, ok := callers.readyAddress(ctx, number); ok {
			callers.send(ctx, address, http.MethodPost, number, callers.idempotencyKey(number))
		}
	}
}

// idempotencyKey returns the idempotency key of a request.
func (callers *Callers) idempotencyKey(number int) string {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return fmt.Sprintf("%scaller-%d", callers.keyPrefix, number)
}

// SetKeyHome prefixes the idempotency keys of later requests with the data centre that stores their records.
func (callers *Callers) SetKeyHome(dataCentre scheduler.DataCentreName) {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.keyPrefix = string(dataCentre) + ":"
}

// CompletedRequests returns the number of requests whose outcome is done.
func (callers *Callers) CompletedRequests() int {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return callers.outcomes[scheduler.OutcomeDone]
}

// FailedRequests returns the number of requests without a complete response or with an unknown outcome.
func (callers *Callers) FailedRequests() int {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return len(callers.incomplete) + callers.outcomes[scheduler.OutcomeUnknown]
}

// WrongResponses describes the responses whose content does not match their request.
func (callers *Callers) WrongResponses() []string {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return slices.Clone(callers.wrongResponses)
}

// ResponseFaults describes the responses that were wrong or incomplete.
func (callers *Callers) ResponseFaults() []string {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return append(append([]string{}, callers.wrongResponses...), callers.incomplete...)
}

// FalseNotRun describes the requests that an endpoint ran although both responses reported them as not run.
func (callers *Callers) FalseNotRun(runs map[string]int) []string {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	refused := map[string]int{}
	for _, key := range callers.notRunKeys {
		refused[key]++
	}
	var faults []string
	for key, count := range refused {
		if count == 2 && runs[key] > 0 {
			faults = append(faults, fmt.Sprintf("key %s was reported as not run twice, but an endpoint ran it", key))
		}
	}
	return faults
}

// Reasons counts the error messages of the requests whose outcome was not done.
func (callers *Callers) Reasons() map[string]int {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return maps.Clone(callers.errorMessages)
}

// errorMessage returns the code and message in the body of a gateway's error response, or the body itself if it
// is not JSON.
func errorMessage(body string) string {
	var decoded struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	if json.Unmarshal([]byte(body), &decoded) != nil {
		return body
	}
	return decoded.Code + ": " + decoded.Message
}

// Summary formats the outcome counts as one line of text.
func (callers *Callers) Summary() string {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return fmt.Sprintf("outcomes so far: done %d, notRun %d, unknown %d, incomplete response %d",
		callers.outcomes[scheduler.OutcomeDone], callers.outcomes[scheduler.OutcomeNotRun],
		callers.outcomes[scheduler.OutcomeUnknown], len(callers.incomplete))
}
