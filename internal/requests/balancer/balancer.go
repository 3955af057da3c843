// Package balancer selects endpoints for requests. It picks the less loaded of two random candidates, skips endpoints
// that are ejected, and sends fewer requests to endpoints that were started or readmitted recently.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// consecutiveFailureLimit is the number of consecutive failures that eject an endpoint.
	consecutiveFailureLimit = 5
	// initialEjection is the duration of the first ejection. It doubles with every further ejection, up to
	// maxEjection.
	initialEjection = time.Second
	maxEjection     = 30 * time.Second
	// slowStartWindow is the time over which the weight of a new or readmitted endpoint rises from slowStartMinWeight
	// to 1.
	slowStartWindow    = 5 * time.Second
	slowStartMinWeight = 0.1
	// slowLatencyFactor is the multiple of the median latency from which an endpoint is ejected as slow. None is
	// ejected as slow while one in ejectableDivisor endpoints or more are ejected, so that a general slowdown does
	// not stop a service.
	slowLatencyFactor   = 4
	minLatencySamples   = 20
	slowCheckInterval   = time.Second
	latencySampleWeight = 0.1
	ejectableDivisor    = 2
	// stateTTL is how long the state of an endpoint is kept without a request.
	stateTTL = 10 * time.Minute
	// maxCheckedServices bounds the number of services whose last check is stored.
	maxCheckedServices = 1000
)

// Balancer implements scheduler.Balancer. It is safe for concurrent use.
type Balancer struct {
	slotSource scheduler.SlotSource
	random     func(n int) int
	log        zerolog.Logger

	mutex     sync.Mutex
	states    map[scheduler.EndpointName]*endpointState
	lastCheck map[scheduler.ServiceName]time.Time
	startTime time.Time
}

// addCandidates creates the state of new endpoints and of new incarnations of known endpoints. These get a slow start,
// except for the endpoints that are present when the gateway starts.
func (balancer *Balancer) addCandidates(candidates []scheduler.Announcement, now time.Time) {
	if balancer.startTime.IsZero() {
		balancer.startTime = now
	}
	for _, candidate := range candidates {
		state := balancer.states[candidate.Endpoint]
		if state != nil && state.incarnation == candidate.Incarnation {
			continue
		}
		added := &endpointState{incarnation: candidate.Incarnation, lastUsed: now}
		if now.Sub(balancer.startTime) > slowStartWindow {
			added.readmitted = now
		}
		balancer.states[candidate.Endpoint] = added
	}
}

// endpointState is the failure and latency history of one endpoint.
type endpointState struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	readmitted   time.Time
	lastUsed     time.Time
	latency      time.Duration
	samples      int
	// halfOpen is true while a single trial request tests an endpoint that was ejected for failures.
	halfOpen    bool
	incarnation scheduler.Incarnation
}

func (endpointState *endpointState) ejected(now time.Time) bool {
	return now.Before(endpointState.ejectedUntil)
}

// addLatency adds a sample to the mean latency. An unknown latency, 0, is no sample.
func (endpointState *endpointState) addLatency(latency time.Duration) {
	if latency == 0 {
		return
	}
	endpointState.samples++
	if endpointState.samples == 1 {
		endpointState.latency = latency
	}
	endpointState.latency += time.Duration(latencySampleWeight * float64(latency-endpointState.latency))
}

// Option configures a Balancer.
type Option func(balancer *Balancer)

// WithLogger sets the logger. By default, nothing is logged.
func WithLogger(log zerolog.Logger) Option {
	return func(balancer *Balancer) { balancer.log = log }
}

// WithRandom sets the function that returns a random number in [0, n).
func WithRandom(random func(n int) int) Option {
	return func(balancer *Balancer) { balancer.random = random }
}

// New returns a Balancer that acquires slots from slotSource.
func New(slotSource scheduler.SlotSource, options ...Option) *Balancer {
	balancer := &Balancer{
		slotSource: slotSource, random: rand.IntN, log: zerolog.Nop(),
		states: map[scheduler.EndpointName]*endpointState{}, lastCheck: map[scheduler.ServiceName]time.Time{},
	}
	for _, option := range options {
		option(balancer)
	}
	return balancer
}

// Choose acquires a slot at one of the candidates. Of two random candidates, it tries the one with the larger fraction
// of free slots, weighted by its slow start. If that one has no slot, it tries all candidates.
func (balancer *Balancer) Choose(candidates []scheduler.Announcement) (scheduler.Announcement, scheduler.Slot, bool) {
	if len(candidates) == 0 {
		return scheduler.Announcement{}, nil, false
	}
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := time.Now()
	balancer.ejectSlow(candidates, now)
	first, second := balancer.random(len(candidates)), balancer.random(len(candidates))
	a, b := candidates[first], candidates[second]
	if balancer.weight(b, now) > balancer.weight(a, now) {
		a = b
	}
	if slot, ok := balancer.acquire(a, now); ok {
		return a, slot, true
	}
	for offset := range candidates {
		candidate := candidates[(first+offset)%len(candidates)]
		if slot, ok := balancer.acquire(candidate, now); ok {
			return candidate, slot, true
		}
	}
	return scheduler.Announcement{}, nil, false
}

// weight returns the fraction of free slots of an endpoint, or 0 if it must not be used. The slow start reduces the
// weight, so that the endpoint is chosen less often, but still used if it is the only one.
func (balancer *Balancer) weight(candidate scheduler.Announcement, now time.Time) float64 {
	free := float64(balancer.availableSlots(candidate, now)) / float64(max(1, candidate.Slots))
	state := balancer.states[candidate.Endpoint]
	if state == nil || state.readmitted.IsZero() || now.Sub(state.readmitted) >= slowStartWindow {
		return free
	}
	return free * (slowStartMinWeight + (1-slowStartMinWeight)*float64(now.Sub(state.readmitted))/float64(slowStartWindow))
}

// availableSlots returns the number of free slots, or 0 if the endpoint is ejected or runs a trial request.
func (balancer *Balancer) availableSlots(candidate scheduler.Announcement, now time.Time) int {
	if state := balancer.states[candidate.Endpoint]; state != nil && (state.ejected(now) || state.halfOpen) {
		return 0
	}
	return balancer.slotSource.Free(candidate.Endpoint)
}

func (balancer *Balancer) acquire(candidate scheduler.Announcement, now time.Time) (scheduler.Slot, bool) {
	if balancer.availableSlots(candidate, now) <= 0 {
		return nil, false
	}
	slot, ok := balancer.slotSource.Acquire(candidate.Endpoint)
	if state := balancer.states[candidate.Endpoint]; ok && state != nil && state.failures >= consecutiveFailureLimit {
		// After an ejection for failures, a single trial request tests the endpoint before others are sent.
		state.halfOpen = true
	}
	return slot, ok
}

// Report records the result of a request at an endpoint.
func (balancer *Balancer) Report(endpoint scheduler.EndpointName, result scheduler.EndpointResult) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := time.Now()
	state := balancer.endpointState(endpoint, now)
	state.halfOpen = false
	switch {
	case result.Failed:
		state.failures++
		if state.failures >= consecutiveFailureLimit && !state.ejected(now) {
			balancer.eject(endpoint, state, now, "failures")
		}
	case !result.Refused:
		state.failures = 0
		state.addLatency(result.Latency)
		if state.ejections > 0 && now.Sub(state.readmitted) > 2*maxEjection {
			state.ejections = 0
		}
	}
}

// Eject temporarily excludes an endpoint from new requests, for example after a failed probe.
func (balancer *Balancer) Eject(endpoint scheduler.EndpointName) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := time.Now()
	if state := balancer.endpointState(endpoint, now); !state.ejected(now) {
		state.failures = consecutiveFailureLimit
		balancer.eject(endpoint, state, now, "probe")
	}
}

// Ejected reports whether an endpoint is currently ejected.
func (balancer *Balancer) Ejected(endpoint scheduler.EndpointName) bool {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	state := balancer.states[endpoint]
	return state != nil && state.ejected(time.Now())
}

func (balancer *Balancer) endpointState(endpoint scheduler.EndpointName, now time.Time) *endpointState {
	state := balancer.states[endpoint]
	if state == nil {
		state = &endpointState{}
		balancer.states[endpoint] = state
	}
	state.lastUsed = now
	return state
}

func (balancer *Balancer) eject(endpoint scheduler.EndpointName, state *endpointState, now time.Time, reason string) {
	duration := min(initialEjection<<min(state.ejections, 10), maxEjection)
	state.ejections++
	state.ejectedUntil, state.readmitted, state.samples = now.Add(duration), now.Add(duration), 0
	balancer.log.Warn().Str("event", "endpointEjected").Str("endpoint", string(endpoint)).Str("reason", reason).
		Dur("length", duration).Msg("endpoint ejected")
}

// ejectSlow ejects endpoints that are much slower than the median of the candidates, and removes the state of endpoints
// that are no longer used. It runs at most once per slowCheckInterval for each service.
func (balancer *Balancer) ejectSlow(candidates []scheduler.Announcement, now time.Time) {
	service := candidates[0].Service
	if now.Sub(balancer.lastCheck[service]) < slowCheckInterval {
		return
	}
	if len(balancer.lastCheck) > maxCheckedServices {
		clear(balancer.lastCheck)
	}
	balancer.lastCheck[service] = now
	for name, state := range balancer.states {
		if now.Sub(state.lastUsed) > stateTTL {
			delete(balancer.states, name)
		}
	}
	balancer.addCandidates(candidates, now)
	median, ejected := balancer.latencyMedian(candidates, now)
	for _, candidate := range candidates {
		state := balancer.states[candidate.Endpoint]
		if state == nil || median == 0 || state.samples < minLatencySamples || state.ejected(now) ||
			state.latency < slowLatencyFactor*median {
			continue
		}
		if ejected*ejectableDivisor >= len(candidates) {
			return
		}
		ejected++
		balancer.eject(candidate.Endpoint, state, now, "slow")
	}
}
