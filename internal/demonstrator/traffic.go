package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// traffic sends callers' requests to the entry VMs as the platform's balancer would, and records what
// comes back. It is safe for concurrent use.
type traffic struct {
	client    *http.Client
	addresses []string

	mutex    sync.Mutex
	next     int
	outcomes map[scheduler.Outcome]int
	notRun   []string
	wrong    []string
	cut      []string
}

func newTraffic(addresses []string) *traffic {
	return &traffic{
		client:    &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
		addresses: addresses,
		outcomes:  map[scheduler.Outcome]int{},
	}
}

// run sends a number of requests from several callers at once. Every fourth one is non-idempotent and
// is sent again after its answer.
func (traffic *traffic) run(ctx context.Context, count, callers int) error {
	numbers := make(chan int)
	var workers sync.WaitGroup
	for range callers {
		workers.Go(func() {
			for number := range numbers {
				traffic.one(ctx, number)
			}
		})
	}
	for range count {
		traffic.mutex.Lock()
		traffic.next++
		number := traffic.next
		traffic.mutex.Unlock()
		numbers <- number
	}
	close(numbers)
	workers.Wait()
	return Error.Wrap(ctx.Err())
}

func (traffic *traffic) one(ctx context.Context, number int) {
	address, ok := traffic.ready(ctx, number)
	if !ok {
		return
	}
	if number%4 != 0 {
		traffic.send(ctx, address, http.MethodGet, number, "")
		return
	}
	key := fmt.Sprintf("demo-%d", number)
	traffic.send(ctx, address, http.MethodPost, number, key)
	traffic.send(ctx, address, http.MethodPost, number, key)
}

// ready returns an entry VM that says that it is ready.
func (traffic *traffic) ready(ctx context.Context, number int) (string, bool) {
	for attempt := range traffic.addresses {
		address := traffic.addresses[(number+attempt)%len(traffic.addresses)]
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
		if err != nil {
			return "", false
		}
		response, err := traffic.client.Do(request)
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

func (traffic *traffic) send(ctx context.Context, address, method string, number int, key string) {
	body := ""
	if key != "" {
		body = fmt.Sprintf("hand tracing %d", number)
	}
	path := fmt.Sprintf("/check/%d", number)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/charts"+path, strings.NewReader(body))
	if err != nil {
		return
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := traffic.client.Do(request)
	if err != nil {
		traffic.noteCut(fmt.Sprintf("request %d: %v", number, err))
		return
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		traffic.noteCut(fmt.Sprintf("request %d broke off: %v", number, err))
		return
	}
	traffic.note(response, number, key, string(got), path+" "+body)
}

func (traffic *traffic) noteCut(text string) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	traffic.cut = append(traffic.cut, text)
}

func (traffic *traffic) note(response *http.Response, number int, key, got, want string) {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	outcome := scheduler.Outcome(response.Header.Get("Crocusplank-Outcome"))
	traffic.outcomes[outcome]++
	switch {
	case outcome == scheduler.OutcomeNotRun && key != "":
		traffic.notRun = append(traffic.notRun, key)
	case outcome == scheduler.OutcomeDone && got != want:
		traffic.wrong = append(traffic.wrong, fmt.Sprintf("request %d: got %q, want %q", number, got, want))
	}
}

// failures returns the number of requests that got no whole answer.
func (traffic *traffic) failures() int {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return len(traffic.cut) + traffic.outcomes[scheduler.OutcomeUnknown]
}

func (traffic *traffic) faults() []string {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return append(append([]string{}, traffic.wrong...), traffic.cut...)
}

// falseNotRun returns the requests that an endpoint ran although every answer said that they were not.
func (traffic *traffic) falseNotRun(runs map[string]int) []string {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	refused := map[string]int{}
	for _, key := range traffic.notRun {
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

func (traffic *traffic) summary() string {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	return fmt.Sprintf("outcomes so far: done %d, notRun %d, unknown %d, without a whole answer %d",
		traffic.outcomes[scheduler.OutcomeDone], traffic.outcomes[scheduler.OutcomeNotRun],
		traffic.outcomes[scheduler.OutcomeUnknown], len(traffic.cut))
}
