// Package isolator finds requests that crash the endpoints that run them. It counts crashes against the requests that
// were running at the time, runs suspects apart from each other, and tells when a request must not be tried again.
package isolator

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// CrashLimit is the number of endpoints that a request may crash before it is given up.
	CrashLimit = 2
	// freshTime separates requests that have just begun, which are blamed for a crash first, from older ones.
	freshTime = time.Second
	// confirmationTime is how long after a broken connection a later incarnation of the endpoint confirms a crash.
	confirmationTime = 10 * time.Second
	// settleTime is how long after a broken connection a new announcement shows that the same incarnation goes on.
	// An earlier one may have been sent before the crash.
	settleTime = time.Second
	// memoryTime is how long the crashes of a request are remembered after the last one.
	memoryTime = 5 * time.Minute
	maxRecords = 10_000
	// settleInterval limits how often the possible crashes are compared with the announcements.
	settleInterval = 10 * time.Millisecond
	// suspectDivisor bounds the suspects of a service that have a turn to a fraction of its endpoints.
	suspectDivisor = 2
	// turnTime bounds a turn, so that long responses to suspects don't keep others waiting.
	turnTime = 5 * time.Second
)

// Fingerprint identifies requests with the same content. The zero value belongs to requests that cannot be identified.
type Fingerprint [sha256.Size]byte

// Isolator keeps the evidence of one gateway. It is safe for concurrent use.
type Isolator struct {
	lastAnnouncement func(endpoint scheduler.EndpointName) (scheduler.ReceivedAnnouncement, bool)
	log              zerolog.Logger
	// share tells other gateways of the blame of a fingerprint. It must not block.
	share func(fingerprint Fingerprint, crashes int)

	mutex   sync.Mutex
	running map[scheduler.EndpointName]map[*Run]struct{}
	crashes map[instance]*crash
	records map[Fingerprint]*record
	// lastSettle is when the crashes were last compared with the announcements.
	lastSettle time.Time
	// turns is the number of suspects that have a turn, by service, and turning their fingerprints. turnEnded is
	// closed when one of them ends.
	turns     map[scheduler.ServiceName]int
	turning   map[Fingerprint]struct{}
	turnEnded chan struct{}
	// runningSuspects is the number of suspects in running.
	runningSuspects int
	counts          Counts
}

// Counts are numbers of events since the start.
type Counts struct {
	// Crashes is the number of endpoints that crashed while they ran requests of this gateway.
	Crashes int
	// GivenUp is the number of requests that were answered without another attempt.
	GivenUp int
}

// record holds the crashes for which the requests with one fingerprint were blamed.
type record struct {
	crashes int
	last    time.Time
}

// Option configures an Isolator.
type Option func(isolator *Isolator)

// WithLogger sets the logger. By default, nothing is logged.
func WithLogger(log zerolog.Logger) Option {
	return func(isolator *Isolator) { isolator.log = log }
}

// New returns an Isolator. lastAnnouncement returns the last announcement of an endpoint.
func New(
	lastAnnouncement func(endpoint scheduler.EndpointName) (scheduler.ReceivedAnnouncement, bool), options ...Option,
) *Isolator {
	isolator := &Isolator{
		lastAnnouncement: lastAnnouncement, log: zerolog.Nop(), share: func(Fingerprint, int) {},
		running: map[scheduler.EndpointName]map[*Run]struct{}{}, crashes: map[instance]*crash{},
		records: map[Fingerprint]*record{}, turns: map[scheduler.ServiceName]int{},
		turning: map[Fingerprint]struct{}{}, turnEnded: make(chan struct{}),
	}
	for _, option := range options {
		option(isolator)
	}
	return isolator
}

// Crashes returns the number of crashes for which requests like this one have been blamed since one was last answered.
func (isolator *Isolator) Crashes(identify func() Fingerprint) int {
	isolator.mutex.Lock()
	defer isolator.mutex.Unlock()
	now := time.Now()
	isolator.settle(now)
	if len(isolator.records) == 0 {
		return 0
	}
	record := isolator.records[identify()]
	if record == nil || now.Sub(record.last) > memoryTime {
		return 0
	}
	return record.crashes
}

// Clear forgets the crashes for which requests like this one have been blamed, because one has been answered.
func (isolator *Isolator) Clear(identify func() Fingerprint) {
	isolator.mutex.Lock()
	defer isolator.mutex.Unlock()
	isolator.clear(identify)
}

func (isolator *Isolator) clear(identify func() Fingerprint) {
	if len(isolator.records) > 0 {
		delete(isolator.records, identify())
	}
}

// CountGivenUp counts a request that is answered without another attempt.
func (isolator *Isolator) CountGivenUp() {
	isolator.mutex.Lock()
	defer isolator.mutex.Unlock()
	isolator.counts.GivenUp++
}

// Counts returns the numbers of events since the start.
func (isolator *Isolator) Counts() Counts {
	isolator.mutex.Lock()
	defer isolator.mutex.Unlock()
	return isolator.counts
}

// Turn waits until a suspect of the service may run, and returns a function that ends its turn. Of suspects with the
// same content, one runs at a time. ok is false if ctx is done first. Suspects wait here rather than in the queue for
// slots, where they would block other requests.
func (isolator *Isolator) Turn(
	ctx context.Context, service scheduler.ServiceName, fingerprint Fingerprint, countEndpoints func() int,
) (end func(), ok bool) {
	for {
		ended := isolator.takeTurn(service, fingerprint, max(1, countEndpoints()/suspectDivisor))
		if ended == nil {
			end := sync.OnceFunc(func() { isolator.endTurn(service, fingerprint) })
			timer := time.AfterFunc(turnTime, end)
			return func() { timer.Stop(); end() }, true
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// takeTurn takes a turn, or returns a channel that is closed when a turn ends.
func (isolator *Isolator) takeTurn(
	service scheduler.ServiceName, fingerprint Fingerprint, limit int,
) (ended <-chan struct{}) {
	isolator.mutex.Lock()
	defer isolator.mutex.Unlock()
	if _, ok := isolator.turning[fingerprint]; ok || isolator.turns[service] >= limit {
		return isolator.turnEnded
	}
	isolator.turns[service]++
	if fingerprint != (Fingerprint{}) {
		isolator.turning[fingerprint] = struct{}{}
	}
	return nil
}

func (isolator *Isolator) endTurn(service scheduler.ServiceName, fingerprint Fingerprint) {
	isolator.mutex.Lock()
	defer isolator.mutex.Unlock()
	isolator.turns[service]--
	if isolator.turns[service] == 0 {
		delete(isolator.turns, service)
	}
	delete(isolator.turning, fingerprint)
	close(isolator.turnEnded)
	isolator.turnEnded = make(chan struct{})
}

// Candidates returns the endpoints at which a request may run, without those that have ended. A suspect runs only
// where no other suspect does. Other requests don't start beside a suspect that has just begun, because they would be
// cut by its crash. If no endpoint is left, all are returned, so that isolation never stops a service.
func (isolator *Isolator) Candidates(endpoints []scheduler.Announcement, suspect bool) []scheduler.Announcement {
	isolator.mutex.Lock()
	defer isolator.mutex.Unlock()
	if isolator.runningSuspects == 0 && len(isolator.crashes) == 0 {
		return endpoints
	}
	now := time.Now()
	var permitted []scheduler.Announcement
	for _, endpoint := range endpoints {
		crash := isolator.crashes[instance{endpoint.Endpoint, endpoint.Incarnation}]
		if (crash == nil || !crash.refused && !crash.confirmed) && !isolator.hasSuspect(endpoint.Endpoint, now, suspect) {
			permitted = append(permitted, endpoint)
		}
	}
	if len(permitted) == 0 {
		return endpoints
	}
	return permitted
}

// hasSuspect reports whether a suspect runs at an endpoint. Unless older is set, only one that has just begun counts.
func (isolator *Isolator) hasSuspect(endpoint scheduler.EndpointName, now time.Time, older bool) bool {
	for run := range isolator.running[endpoint] {
		if run.suspect && (older || run.fresh(now)) {
			return true
		}
	}
	return false
}

// LeastUsed returns the endpoints that run the fewest requests of this gateway.
func (isolator *Isolator) LeastUsed(endpoints []scheduler.Announcement) []scheduler.Announcement {
	isolator.mutex.Lock()
	defer isolator.mutex.Unlock()
	var least []scheduler.Announcement
	fewest := 0
	for _, endpoint := range endpoints {
		count := len(isolator.running[endpoint.Endpoint])
		if len(least) == 0 || count < fewest {
			least, fewest = nil, count
		}
		if count == fewest {
			least = append(least, endpoint)
		}
	}
	return least
}
