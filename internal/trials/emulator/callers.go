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

// callTimeout is above the gateways' usual deadline for a request that waits for a slot.
const callTimeout = 10 * time.Second

// keyPeriod makes every fourth request non-idempotent.
const keyPeriod = 4

// readyTimeout is how long the emulated balancer waits for a VM's readiness.
const readyTimeout = time.Second

// Callers sends callers' requests to the entry VMs as the platform's balancer would, and records what
// comes back. It is safe for concurrent use.
type Callers struct {
	client    *http.Client
	balancer  *http.Client
	service   scheduler.ServiceName
	addresses []string

	mutex    sync.Mutex
	prefix   string
	next     int
	outcomes map[scheduler.Outcome]int
	reasons  map[string]int
	notRun   []string
	wrong    []string
	cut      []string
}

// NewCallers returns callers of a service. addresses are the callers' addresses of the entry VMs.
func NewCallers(service scheduler.ServiceName, addresses []string) *Callers {
	return &Callers{
		client:    &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
		balancer:  &http.Client{Timeout: readyTimeout},
		service:   service,
		addresses: addresses,
		outcomes:  map[scheduler.Outcome]int{},
		reasons:   map[string]int{},
	}
}

// Run sends a number of requests from several callers at once. Every fourth one is non-idempotent and
// is sent again after its answer.
func (callers *Callers) Run(ctx context.Context, count, concurrent int) error {
	numbers := make(chan int)
	var workers sync.WaitGroup
	for range concurrent {
		workers.Go(func() {
			for number := range numbers {
				callers.one(ctx, number)
			}
		})
	}
	for range count {
		callers.mutex.Lock()
		callers.next++
		number := callers.next
		callers.mutex.Unlock()
		numbers <- number
	}
	close(numbers)
	workers.Wait()
	return Error.Wrap(ctx.Err())
}

func (callers *Callers) one(ctx context.Context, number int) {
	address, ok := callers.ready(ctx, number)
	if !ok {
		return
	}
	if number%keyPeriod != 0 {
		callers.send(ctx, address, http.MethodGet, number, "")
		return
	}
	key := callers.key(number)
	callers.send(ctx, address, http.MethodPost, number, key)
	callers.send(ctx, address, http.MethodPost, number, key)
}

// ready returns an entry VM that says that it is ready.
func (callers *Callers) ready(ctx context.Context, number int) (string, bool) {
	for attempt := range callers.addresses {
		address := callers.addresses[(number+attempt)%len(callers.addresses)]
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
		if err != nil {
			return "", false
		}
		response, err := callers.balancer.Do(request)
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
		callers.noteCut(fmt.Sprintf("request %d: %v", number, err))
		return
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		callers.noteCut(fmt.Sprintf("request %d broke off: %v", number, err))
		return
	}
	callers.note(response, number, key, string(got), path+" "+body)
}

func (callers *Callers) noteCut(text string) {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.cut = append(callers.cut, text)
}

func (callers *Callers) note(response *http.Response, number int, key, got, want string) {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	outcome := scheduler.Outcome(response.Header.Get("Crocusplank-Outcome"))
	callers.outcomes[outcome]++
	if outcome != scheduler.OutcomeDone {
		callers.reasons[reasonOf(got)]++
	}
	switch {
	case outcome == scheduler.OutcomeNotRun && key != "":
		callers.notRun = append(callers.notRun, key)
	case outcome == scheduler.OutcomeNotRun:
	case outcome == scheduler.OutcomeDone && got != want:
		callers.wrong = append(callers.wrong, fmt.Sprintf("request %d: got %q, want %q", number, got, want))
	}
}

// Resend sends every non-idempotent request so far once more, under the same key.
func (callers *Callers) Resend(ctx context.Context) {
	callers.mutex.Lock()
	last := callers.next
	callers.mutex.Unlock()
	for number := keyPeriod; number <= last; number += keyPeriod {
		if address, ok := callers.ready(ctx, number); ok {
			callers.send(ctx, address, http.MethodPost, number, callers.key(number))
		}
	}
}

// key returns the key of a non-idempotent request.
func (callers *Callers) key(number int) string {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return fmt.Sprintf("%scaller-%d", callers.prefix, number)
}

// SetKeyHome has the keys of later requests name the data centre that keeps their records.
func (callers *Callers) SetKeyHome(dataCentre scheduler.DataCentreName) {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	callers.prefix = string(dataCentre) + ":"
}

// CompletedRequests returns the number of requests with the outcome done.
func (callers *Callers) CompletedRequests() int {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return callers.outcomes[scheduler.OutcomeDone]
}

// FailedRequests returns the number of requests that got no whole answer.
func (callers *Callers) FailedRequests() int {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return len(callers.cut) + callers.outcomes[scheduler.OutcomeUnknown]
}

// WrongResponses returns the answers that were not those to their requests.
func (callers *Callers) WrongResponses() []string {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return slices.Clone(callers.wrong)
}

// ResponseFaults returns the answers that were wrong or broke off.
func (callers *Callers) ResponseFaults() []string {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return append(append([]string{}, callers.wrong...), callers.cut...)
}

// FalseNotRun returns the requests that an endpoint ran although every answer said that they were not.
func (callers *Callers) FalseNotRun(runs map[string]int) []string {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	refused := map[string]int{}
	for _, key := range callers.notRun {
		refused[key]++
	}
	var faults []string
	for key, count := range refused {
		if count == 2 && runs[key] > 0 {
			faults = append(faults, fmt.Sprintf("key %s was answered as not run twice and ran", key))
		}
	}
	return faults
}

// Reasons counts the messages of the answers that were not done.
func (callers *Callers) Reasons() map[string]int {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return maps.Clone(callers.reasons)
}

// reasonOf returns the message of a gateway's error body.
func reasonOf(body string) string {
	var answer struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	}
	if json.Unmarshal([]byte(body), &answer) != nil {
		return body
	}
	return answer.Code + ": " + answer.Message
}

// Summary counts the outcomes in a line.
func (callers *Callers) Summary() string {
	callers.mutex.Lock()
	defer callers.mutex.Unlock()
	return fmt.Sprintf("outcomes so far: done %d, notRun %d, unknown %d, without a whole answer %d",
		callers.outcomes[scheduler.OutcomeDone], callers.outcomes[scheduler.OutcomeNotRun],
		callers.outcomes[scheduler.OutcomeUnknown], len(callers.cut))
}
