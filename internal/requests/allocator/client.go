package allocator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// peakPeriods is over how many asks the highest use counts as demand.
const peakPeriods = 4

// arrivalDelay is how long a request that has been started may be on its way to the endpoint.
const arrivalDelay = time.Second

// ShareClient is the gateway's side: it asks for shares and hands out slots within them. It implements
// scheduler.ShareSource and is safe for concurrent use.
type ShareClient struct {
	gateway   scheduler.GatewayID
	group     scheduler.Group
	transport scheduler.Transport
	directory scheduler.Directory
	allocator *Allocator
	waiting   func(service scheduler.ServiceName) int
	notify    func(slots int)
	log       zerolog.Logger

	mutex   sync.Mutex
	shares  map[scheduler.EndpointName]*share
	session scheduler.Term
	number  uint64
	leaving bool
	// base is the last ask that was answered, with its whole claims and grants.
	base answeredAsk
}

// answeredAsk is an ask that both sides know. Its number is 0 before the first one.
type answeredAsk struct {
	number uint64
	claims map[scheduler.EndpointName]claim
	grants map[scheduler.EndpointName]grant
}

// share is what this gateway may use at one endpoint.
type share struct {
	limit, connectionLimit int
	expires                time.Time
	// lapses counts how often the share has expired. A slot that was taken before a lapse is not
	// covered by the share that followed.
	lapses int
	active map[*slot]bool
	// abandoned holds the times at which requests were abandoned that the endpoint may still run.
	abandoned []time.Time
	open      int
	peaks     [peakPeriods]int
}

func (share *share) inUse() int { return len(share.active) + len(share.abandoned) }

// ShareClientOption changes Shares at its creation.
type ShareClientOption func(shares *ShareClient)

// WithQueueLength sets the source of the number of requests that wait for a slot of a service.
func WithQueueLength(waiting func(service scheduler.ServiceName) int) ShareClientOption {
	return func(shares *ShareClient) { shares.waiting = waiting }
}

// WithFreeSlotsHandler sets a function that is called when slots may have become free, with their number or with 0
// when it is not known. It is called without a lock held and must not block.
func WithFreeSlotsHandler(notify func(slots int)) ShareClientOption {
	return func(shares *ShareClient) { shares.notify = notify }
}

// WithShareClientLogger sets the logger.
func WithShareClientLogger(log zerolog.Logger) ShareClientOption {
	return func(shares *ShareClient) { shares.log = log }
}

// NewShareClient returns Shares without any share. allocator is the one of this VM; it is asked directly
// when this VM leads.
func NewShareClient(gateway scheduler.GatewayID, group scheduler.Group, transport scheduler.Transport,
	directory scheduler.Directory, allocator *Allocator, options ...ShareClientOption,
) *ShareClient {
	shares := &ShareClient{
		gateway: gateway, group: group, transport: transport, directory: directory, allocator: allocator,
		waiting: func(scheduler.ServiceName) int { return 0 },
		notify:  func(int) {},
		log:     zerolog.Nop(),
		shares:  map[scheduler.EndpointName]*share{},
	}
	for _, option := range options {
		option(shares)
	}
	return shares
}

// Run asks for shares until ctx ends.
func (shares *ShareClient) Run(ctx context.Context) error {
	ticker := time.NewTicker(askPeriod)
	defer ticker.Stop()
	for {
		shares.ask(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// ReleaseShares gives up all shares for good: no slot is handed out from now on, and the asks of Run report
// only what is still in use.
func (shares *ShareClient) ReleaseShares() {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	shares.leaving = true
	for _, own := range shares.shares {
		own.limit, own.connectionLimit = 0, 0
	}
}

// ask states the needs once, and once more when the answer names another allocator than expected.
func (shares *ShareClient) ask(ctx context.Context) {
	for range 2 {
		if !shares.askOnce(ctx) {
			return
		}
	}
}

func (shares *ShareClient) askOnce(ctx context.Context) (again bool) {
	asked := time.Now()
	question, claims := shares.compose(asked)
	body, err := cbor.Marshal(question)
	if err != nil {
		return false
	}
	reply, err := shares.send(ctx, body)
	if err != nil {
		shares.log.Debug().Str("event", "shareAskFailed").Err(err).Msg("no shares granted")
		return false
	}
	var answered answerMessage
	if err := cbor.Unmarshal(reply, &answered); err != nil {
		return false
	}
	again = shares.accept(question, claims, answered, asked)
	shares.notify(0)
	return again
}

func (shares *ShareClient) send(ctx context.Context, body []byte) ([]byte, error) {
	leader := shares.group.Status().Leader()
	if leader == "" {
		return nil, Error.New("no leader of %s is known", shares.group.Name())
	}
	if leader == shares.transport.Self() {
		return shares.allocator.handle(ctx, leader, body)
	}
	ctx, cancel := context.WithTimeout(ctx, shareLife/2)
	defer cancel()
	reply, err := shares.transport.Call(ctx, leader, shares.group.Name(), kindShareAsk, body)
	return reply, Error.Wrap(err)
}

// compose states what the gateway holds, and returns the whole claims as well. From here until the answer
// nothing but the reported shares is used.
func (shares *ShareClient) compose(now time.Time) (ask, map[scheduler.EndpointName]claim) {
	needs := shares.needs()
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	for endpoint := range needs {
		if shares.shares[endpoint] == nil {
			shares.shares[endpoint] = &share{active: map[*slot]bool{}}
		}
	}
	shares.number++
	claims := make(map[scheduler.EndpointName]claim, len(shares.shares))
	for endpoint, own := range shares.shares {
		waiting, listed := needs[endpoint]
		shares.settle(endpoint, own)
		if !listed && own.inUse() == 0 && own.open == 0 {
			delete(shares.shares, endpoint)
			continue
		}
		claims[endpoint] = own.claim(endpoint, waiting, now)
	}
	question := ask{Gateway: shares.gateway, Session: shares.session, Number: shares.number, Leaving: shares.leaving, Base: shares.base.number}
	question.list(claims, shares.base.claims)
	return question, claims
}

// needs returns the endpoints that may get work with the number of requests that wait for each.
func (shares *ShareClient) needs() map[scheduler.EndpointName]int {
	needs := map[scheduler.EndpointName]int{}
	for _, service := range shares.directory.Services() {
		endpoints := shares.directory.Endpoints(service)
		waiting := shares.waiting(service)
		for _, endpoint := range endpoints {
			needs[endpoint.Endpoint] = (waiting + len(endpoints) - 1) / len(endpoints)
		}
	}
	return needs
}

func (share *share) claim(endpoint scheduler.EndpointName, waiting int, now time.Time) claim {
	made := claim{Endpoint: endpoint, InUse: share.inUse(), Open: share.open}
	if now.Before(share.expires) {
		made.Limit, made.ConnectionLimit = share.limit, share.connectionLimit
	}
	peak := share.inUse()
	for _, earlier := range share.peaks {
		peak = max(peak, earlier)
	}
	copy(share.peaks[1:], share.peaks[:])
	share.peaks[0] = share.inUse()
	made.Demand = peak + waiting
	return made
}

// settle frees the slots of abandoned requests that the endpoint no longer runs. Requests that reached
// the endpoint before the announcement was sent and still go on are part of its count; what exceeds
// them may be abandoned ones.
func (shares *ShareClient) settle(endpoint scheduler.EndpointName, own *share) {
	heard, known := shares.directory.LastAnnouncement(endpoint)
	if !known {
		// An endpoint that has been silent for so long does not run the request for this gateway.
		own.abandoned = slices.DeleteFunc(own.abandoned, func(at time.Time) bool { return time.Since(at) > connectionLife })
		return
	}
	sent := heard.Received.Add(-announcementDelay)
	excess := heard.InProgress[shares.gateway]
	for active := range own.active {
		if !active.started.IsZero() && active.started.Before(sent.Add(-arrivalDelay)) {
			excess--
		}
	}
	own.abandoned = slices.DeleteFunc(own.abandoned, func(at time.Time) bool {
		excess--
		return !at.After(sent) && excess < 0
	})
}

// accept takes over an answer. The shares count from when the gateway asked.
func (shares *ShareClient) accept(question ask, claims map[scheduler.EndpointName]claim, answered answerMessage, asked time.Time) (again bool) {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	if answered.Refused || answered.Rebase {
		shares.session, shares.base = answered.Session, answeredAsk{}
		return true
	}
	if answered.Session != question.Session {
		return false
	}
	grants, ok := answered.all(claims, shares.base.grants)
	if !ok {
		shares.base = answeredAsk{}
		return false
	}
	shares.base = answeredAsk{number: question.Number, claims: claims, grants: grants}
	for endpoint, given := range grants {
		own := shares.shares[endpoint]
		if own == nil || shares.leaving {
			continue
		}
		if !time.Now().Before(own.expires) {
			own.lapses++
		}
		own.limit, own.connectionLimit, own.expires = given.Slots, given.Connections, asked.Add(shareLife)
	}
	return false
}
