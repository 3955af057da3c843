// Package balancer chooses endpoints: the less loaded of two random candidates, without those that have
// been ejected, and with few requests to those that have just come back.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// failuresToEject is how many failures in a row eject an endpoint.
	failuresToEject = 5
	// firstEjection doubles with every ejection that follows, up to longestEjection.
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// slowStart is how long an endpoint that returns gets a growing part of the requests, beginning
	// with slowStartFloor.
	slowStart      = 5 * time.Second
	slowStartFloor = 0.1
	// slowFactor is how much slower than the others' median an endpoint must be to be ejected. Half of
	// all endpoints may be ejected at most, so that a general slowdown does not stop a service.
	slowFactor     = 4
	slowSamples    = 20
	slowCheck      = time.Second
	latencyWeight  = 0.1
	ejectableShare = 2
	// forgetAfter is how long an endpoint's record is kept without a request.
	forgetAfter = 10 * time.Minute
	// serviceLimit bounds the services whose last check is remembered.
	serviceLimit = 1000
)

// Balancer implements scheduler.Balancer. It is safe for concurrent use.
type Balancer struct {
	shares scheduler.SlotSource
	random func(n int) int
	log    zerolog.Logger

	mutex   sync.Mutex
	records map[scheduler.EndpointName]*record
	checked map[scheduler.ServiceName]time.Time
	started time.Time
}

// greet starts the record of new endpoints and new lives of known ones. They get a slow start, except for
// those that are there when the gateway itself starts.
func (balancer *Balancer) greet(candidates []scheduler.Announcement, now time.Time) {
	if balancer.started.IsZero() {
		balancer.started = now
	}
	for _, candidate := range candidates {
		own := balancer.records[candidate.Endpoint]
		if own != nil && own.incarnation == candidate.Incarnation {
			continue
		}
		fresh := &record{incarnation: candidate.Incarnation, used: now}
		if now.Sub(balancer.started) > slowStart {
			fresh.returned = now
		}
		balancer.records[candidate.Endpoint] = fresh
	}
}

// record is what the balancer has learned of one endpoint.
type record struct {
	failures  int
	ejections int
	until     time.Time
	returned  time.Time
	used      time.Time
	latency   time.Duration
	samples   int
	// trial is true while one request tries an endpoint that was ejected for failures.
	trial       bool
	incarnation scheduler.Incarnation
}

func (record *record) ejected(now time.Time) bool { return now.Before(record.until) }

// Option changes a Balancer at its creation.
type Option func(balancer *Balancer)

// WithLogger sets the logger.
func WithLogger(log zerolog.Logger) Option {
	return func(balancer *Balancer) { balancer.log = log }
}

// WithRandom replaces the source of random numbers below n.
func WithRandom(random func(n int) int) Option {
	return func(balancer *Balancer) { balancer.random = random }
}

// New returns a Balancer that takes slots from shares.
func New(shares scheduler.SlotSource, options ...Option) *Balancer {
	balancer := &Balancer{shares: shares, random: rand.IntN, log: zerolog.Nop(), records: map[scheduler.EndpointName]*record{}, checked: map[scheduler.ServiceName]time.Time{}}
	for _, option := range options {
		option(balancer)
	}
	return balancer
}

// Choose takes a slot at one of the candidates. Of two random ones it prefers the one with more free
// slots relative to its size. When neither has a free slot it looks at all candidates.
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
	if balancer.load(b, now) > balancer.load(a, now) {
		a = b
	}
	if slot, ok := balancer.take(a, now); ok {
		return a, slot, true
	}
	for offset := range candidates {
		candidate := candidates[(first+offset)%len(candidates)]
		if slot, ok := balancer.take(candidate, now); ok {
			return candidate, slot, true
		}
	}
	return scheduler.Announcement{}, nil, false
}

// load returns the free part of an endpoint, 0 when it may not be used. During the slow start it is made
// smaller, so that the endpoint is chosen less often, but not passed over when it is the only one.
func (balancer *Balancer) load(candidate scheduler.Announcement, now time.Time) float64 {
	free := float64(balancer.usable(candidate, now)) / float64(max(1, candidate.Slots))
	own := balancer.records[candidate.Endpoint]
	if own == nil || own.returned.IsZero() || now.Sub(own.returned) >= slowStart {
		return free
	}
	return free * (slowStartFloor + (1-slowStartFloor)*float64(now.Sub(own.returned))/float64(slowStart))
}

// usable returns how many slots may be taken now.
func (balancer *Balancer) usable(candidate scheduler.Announcement, now time.Time) int {
	if own := balancer.records[candidate.Endpoint]; own != nil && (own.ejected(now) || own.trial) {
		return 0
	}
	return balancer.shares.Free(candidate.Endpoint)
}

func (balancer *Balancer) take(candidate scheduler.Announcement, now time.Time) (scheduler.Slot, bool) {
	if balancer.usable(candidate, now) <= 0 {
		return nil, false
	}
	slot, ok := balancer.shares.Acquire(candidate.Endpoint)
	if own := balancer.records[candidate.Endpoint]; ok && own != nil && own.failures >= failuresToEject {
		// After an ejection one request tries the endpoint before others follow.
		own.trial = true
	}
	return slot, ok
}

// Report states the result of a request at an endpoint.
func (balancer *Balancer) Report(endpoint scheduler.EndpointName, result scheduler.EndpointResult) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := time.Now()
	own := balancer.record(endpoint, now)
	own.trial = false
	switch {
	case result.Failed:
		own.failures++
		if own.failures >= failuresToEject && !own.ejected(now) {
			balancer.eject(endpoint, own, now, "failures")
		}
	case !result.Refused:
		own.failures = 0
		own.samples++
		if own.samples == 1 {
			own.latency = result.Latency
		}
		own.latency += time.Duration(latencyWeight * float64(result.Latency-own.latency))
		if own.ejections > 0 && now.Sub(own.returned) > 2*longestEjection {
			own.ejections = 0
		}
	}
}

// Eject keeps new requests from an endpoint for a while, for example after a failed probe.
func (balancer *Balancer) Eject(endpoint scheduler.EndpointName) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := time.Now()
	if own := balancer.record(endpoint, now); !own.ejected(now) {
		own.failures = failuresToEject
		balancer.eject(endpoint, own, now, "probe")
	}
}

// Ejected reports whether an endpoint is ejected now.
func (balancer *Balancer) Ejected(endpoint scheduler.EndpointName) bool {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	own := balancer.records[endpoint]
	return own != nil && own.ejected(time.Now())
}

func (balancer *Balancer) record(endpoint scheduler.EndpointName, now time.Time) *record {
	own := balancer.records[endpoint]
	if own == nil {
		own = &record{}
		balancer.records[endpoint] = own
	}
	own.used = now
	return own
}

func (balancer *Balancer) eject(endpoint scheduler.EndpointName, own *record, now time.Time, reason string) {
	length := min(firstEjection<<min(own.ejections, 10), longestEjection)
	own.ejections++
	own.until, own.returned, own.samples = now.Add(length), now.Add(length), 0
	balancer.log.Warn().Str("event", "endpointEjected").Str("endpoint", string(endpoint)).Str("reason", reason).
		Dur("length", length).Msg("endpoint ejected")
}

// ejectSlow ejects endpoints that are much slower than the median of the candidates, and forgets records
// that are no longer used. It runs once per second and service.
func (balancer *Balancer) ejectSlow(candidates []scheduler.Announcement, now time.Time) {
	checkedService := candidates[0].Service
	if now.Sub(balancer.checked[checkedService]) < slowCheck {
		return
	}
	if len(balancer.checked) > serviceLimit {
		clear(balancer.checked)
	}
	balancer.checked[checkedService] = now
	for name, own := range balancer.records {
		if now.Sub(own.used) > forgetAfter {
			delete(balancer.records, name)
		}
	}
	balancer.greet(candidates, now)
	median, ejected := balancer.median(candidates, now)
	for _, candidate := range candidates {
		own := balancer.records[candidate.Endpoint]
		if own == nil || median == 0 || own.samples < slowSamples || own.ejected(now) || own.latency < slowFactor*median {
			continue
		}
		if ejected*ejectableShare >= len(candidates) {
			return
		}
		ejected++
		balancer.eject(candidate.Endpoint, own, now, "slow")
	}
}
