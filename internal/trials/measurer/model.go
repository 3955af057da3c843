package measurer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/internal/requests/forwarder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// slowFactor is the ratio between the processing times of the slow endpoint and the others.
const slowFactor = 10

// maxRequestTime exceeds the processing time of any request of the model.
const maxRequestTime = 15 * time.Second

// model is a set of simulated endpoints that are reached over in-memory connections.
type model struct {
	scenario  Scenario
	endpoints []*endpoint
	servers   sync.WaitGroup
}

// endpoint runs up to slotsPerEndpoint requests concurrently. Up to connectionsPerEndpoint requests are accepted, the
// excess waiting in arrival order; further requests are rejected.
type endpoint struct {
	name      scheduler.EndpointName
	fault     Fault
	seed      uint64
	server    *http.Server
	incoming  chan net.Conn
	closed    chan struct{}
	busySlots chan struct{}

	mutex               sync.Mutex
	inProgressByGateway map[scheduler.GatewayID]int
	inFlight            int
	maxInFlight         int
	attemptCount        int
}

func newModel(scenario Scenario) *model {
	created := &model{scenario: scenario}
	for number := range scenario.Endpoints {
		added := &endpoint{
			name: scheduler.EndpointName(fmt.Sprintf("desk-%d", number)), seed: scenario.Seed, fault: FaultNone,
			incoming: make(chan net.Conn), closed: make(chan struct{}), busySlots: make(chan struct{}, slotsPerEndpoint),
			inProgressByGateway: map[scheduler.GatewayID]int{},
		}
		if number == 0 {
			added.fault = scenario.Fault
		}
		added.server = &http.Server{Handler: added, ReadHeaderTimeout: time.Minute}
		created.endpoints = append(created.endpoints, added)
		created.servers.Go(func() { _ = added.server.Serve(added) })
	}
	return created
}

func (model *model) close() {
	for _, endpoint := range model.endpoints {
		_ = endpoint.server.Close()
	}
	// Requests abandoned by their caller still run to completion.
	time.Sleep(maxRequestTime)
	model.servers.Wait()
}

// inFlightAndAttempts returns the largest number of concurrent requests at any endpoint and the total number of
// requests that reached endpoints.
func (model *model) inFlightAndAttempts() (maxInFlight, attempts int) {
	for _, endpoint := range model.endpoints {
		endpoint.mutex.Lock()
		maxInFlight = max(maxInFlight, endpoint.maxInFlight)
		attempts += endpoint.attemptCount
		endpoint.mutex.Unlock()
	}
	return maxInFlight, attempts
}

// Accept returns the next in-memory connection. With Close and Addr it makes the endpoint a net.Listener for its own
// server.
func (endpoint *endpoint) Accept() (net.Conn, error) {
	select {
	case connection := <-endpoint.incoming:
		return connection, nil
	case <-endpoint.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept fail with net.ErrClosed.
func (endpoint *endpoint) Close() error {
	select {
	case <-endpoint.closed:
	default:
		close(endpoint.closed)
	}
	return nil
}

// Addr returns an empty address, which net.Listener requires.
func (endpoint *endpoint) Addr() net.Addr { return &net.TCPAddr{} }

// dial connects to the endpoint whose number is the port of the address.
func (model *model) dial(ctx context.Context, address string) (net.Conn, error) {
	_, port, _ := strings.Cut(address, ":")
	number, err := strconv.Atoi(port)
	if err != nil || number >= len(model.endpoints) {
		return nil, Error.New("no endpoint at %s", address)
	}
	clientSide, serverSide := net.Pipe()
	time.Sleep(2 * oneWayLatency)
	select {
	case model.endpoints[number].incoming <- serverSide:
		return clientSide, nil
	case <-model.endpoints[number].closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ServeHTTP runs a request for its processing time, after waiting for a slot.
func (endpoint *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodOptions {
		return
	}
	time.Sleep(oneWayLatency)
	defer time.Sleep(oneWayLatency)
	if endpoint.fault == FaultFailing {
		endpoint.beginRequest("")
		endpoint.endRequest("")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	gateway := scheduler.GatewayID(r.Header.Get(forwarder.HeaderGateway))
	if !endpoint.beginRequest(gateway) {
		w.Header().Set(forwarder.HeaderOutcome, string(scheduler.OutcomeNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer endpoint.endRequest(gateway)
	select {
	case endpoint.busySlots <- struct{}{}:
		time.Sleep(endpoint.processingTime(r))
		<-endpoint.busySlots
	case <-r.Context().Done():
	}
}

// processingTime depends only on the request, the seed and the endpoint's fault, so that repeated runs and both
// request paths process the same work.
func (endpoint *endpoint) processingTime(r *http.Request) time.Duration {
	number, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/"), 10, 64)
	duration := time.Duration(rand.New(rand.NewPCG(endpoint.seed, number)).ExpFloat64() * float64(meanServiceTime))
	if endpoint.fault == FaultSlow {
		duration *= slowFactor
	}
	return duration
}

func (endpoint *endpoint) beginRequest(gateway scheduler.GatewayID) bool {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	endpoint.attemptCount++
	if endpoint.inFlight >= connectionsPerEndpoint {
		return false
	}
	endpoint.inFlight++
	endpoint.inProgressByGateway[gateway]++
	endpoint.maxInFlight = max(endpoint.maxInFlight, endpoint.inFlight)
	return true
}

func (endpoint *endpoint) endRequest(gateway scheduler.GatewayID) {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	endpoint.inFlight--
	endpoint.inProgressByGateway[gateway]--
}

func (endpoint *endpoint) announcement(number int) scheduler.Announcement {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	return scheduler.Announcement{
		Endpoint: endpoint.name, Service: service, Address: fmt.Sprintf("10.0.0.1:%d", number), DataCentre: "couva", Incarnation: 1,
		Slots: slotsPerEndpoint, Connections: connectionsPerEndpoint, InProgress: maps.Clone(endpoint.inProgressByGateway),
	}
}

// directory holds the latest announcements of the model's endpoints.
type directory struct {
	model         *model
	mutex         sync.Mutex
	received      []scheduler.ReceivedAnnouncement
	announcements []scheduler.Announcement
}

// run collects an announcement from each endpoint every second.
func (directory *directory) run(ctx context.Context) {
	for {
		var received []scheduler.ReceivedAnnouncement
		var announcements []scheduler.Announcement
		for number, endpoint := range directory.model.endpoints {
			announcements = append(announcements, endpoint.announcement(number))
			received = append(received, scheduler.ReceivedAnnouncement{Announcement: announcements[number], Received: time.Now()})
		}
		directory.mutex.Lock()
		directory.received, directory.announcements = received, announcements
		directory.mutex.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
}

// Services returns the model's only service.
func (directory *directory) Services() []scheduler.ServiceName {
	return []scheduler.ServiceName{service}
}

// Endpoints returns the latest announcements of all endpoints.
func (directory *directory) Endpoints(scheduler.ServiceName) []scheduler.Announcement {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.announcements
}

// LastAnnouncement returns the latest announcement of an endpoint and when it was received.
func (directory *directory) LastAnnouncement(name scheduler.EndpointName) (scheduler.ReceivedAnnouncement, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for _, received := range directory.received {
		if received.Endpoint == name {
			return received, true
		}
	}
	return scheduler.ReceivedAnnouncement{}, false
}

// Remotes returns nil, as the model has a single data centre.
func (directory *directory) Remotes(scheduler.ServiceName) []scheduler.RemoteService { return nil }

// baseline is a simple gateway for comparison: it selects endpoints at random, without slot shares, queue or outlier
// ejection, and makes up to three attempts without a retry budget.
type baseline struct {
	model     *model
	transport *http.Transport
	random    *lockedRandom
}

const baselineAttempts = 3

func (model *model) newBaselines() (handlers []http.Handler, stop func()) {
	var created []*baseline
	for number := range model.scenario.Gateways {
		random := &lockedRandom{random: rand.New(rand.NewPCG(model.scenario.Seed, uint64(number)))} //nolint:gosec // a small number
		added := &baseline{model: model, random: random, transport: &http.Transport{
			DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return model.dial(ctx, address) },
			MaxIdleConnsPerHost: connectionsPerEndpoint,
		}}
		created, handlers = append(created, added), append(handlers, added)
	}
	return handlers, func() {
		for _, baseline := range created {
			baseline.transport.CloseIdleConnections()
		}
	}
}

// ServeHTTP forwards a request to random endpoints until one responds with a status below 500, the deadline
// passes or the attempts are used up.
func (baseline *baseline) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status := http.StatusBadGateway
	for range baselineAttempts {
		target := fmt.Sprintf("http://10.0.0.1:%d%s", baseline.random.intN(len(baseline.model.endpoints)), strings.TrimPrefix(r.URL.Path, "/"+service))
		request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, target, nil)
		if err != nil {
			break
		}
		response, err := baseline.transport.RoundTrip(request)
		if errors.Is(err, context.DeadlineExceeded) {
			break
		}
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if status = response.StatusCode; status < http.StatusInternalServerError {
			break
		}
	}
	w.WriteHeader(status)
}
