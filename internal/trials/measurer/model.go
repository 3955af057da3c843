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

// slowFactor is how much slower the slow endpoint is than the others.
const slowFactor = 10

// drainTime is longer than any request of the model runs.
const drainTime = 15 * time.Second

// model is a set of endpoints behind in-memory connections. It is a directory as well.
type model struct {
	scenario  Scenario
	endpoints []*endpoint
	servers   sync.WaitGroup
}

// endpoint runs 8 requests at a time. Further ones wait in the order of their arrival, up to its number of
// connections; what exceeds them it refuses.
type endpoint struct {
	name   scheduler.EndpointName
	fault  Fault
	seed   uint64
	server *http.Server
	pipes  chan net.Conn
	closed chan struct{}
	free   chan struct{}

	mutex      sync.Mutex
	inProgress map[scheduler.GatewayID]int
	present    int
	most       int
	attempts   int
}

func newModel(scenario Scenario) *model {
	made := &model{scenario: scenario}
	for number := range scenario.Endpoints {
		added := &endpoint{
			name: scheduler.EndpointName(fmt.Sprintf("desk-%d", number)), seed: scenario.Seed, fault: FaultNone,
			pipes: make(chan net.Conn), closed: make(chan struct{}), free: make(chan struct{}, slots),
			inProgress: map[scheduler.GatewayID]int{},
		}
		if number == 0 {
			added.fault = scenario.Fault
		}
		added.server = &http.Server{Handler: added, ReadHeaderTimeout: time.Minute}
		made.endpoints = append(made.endpoints, added)
		made.servers.Go(func() { _ = added.server.Serve(added) })
	}
	return made
}

func (model *model) close() {
	for _, endpoint := range model.endpoints {
		_ = endpoint.server.Close()
	}
	// Requests that were given up still run to their end.
	time.Sleep(drainTime)
	model.servers.Wait()
}

// most returns the highest number of requests that any endpoint had at once, and the number of all
// requests at endpoints.
func (model *model) most() (most, attempts int) {
	for _, endpoint := range model.endpoints {
		endpoint.mutex.Lock()
		most = max(most, endpoint.most)
		attempts += endpoint.attempts
		endpoint.mutex.Unlock()
	}
	return most, attempts
}

// Accept, Close and Addr make the endpoint its server's listener.
func (endpoint *endpoint) Accept() (net.Conn, error) {
	select {
	case connection := <-endpoint.pipes:
		return connection, nil
	case <-endpoint.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (endpoint *endpoint) Close() error {
	select {
	case <-endpoint.closed:
	default:
		close(endpoint.closed)
	}
	return nil
}

// Addr returns an address that only serves to name the listener.
func (endpoint *endpoint) Addr() net.Addr { return &net.TCPAddr{} }

// dial connects to the endpoint whose number is the address's port.
func (model *model) dial(ctx context.Context, address string) (net.Conn, error) {
	_, port, _ := strings.Cut(address, ":")
	number, err := strconv.Atoi(port)
	if err != nil || number >= len(model.endpoints) {
		return nil, Error.New("no endpoint at %s", address)
	}
	near, far := net.Pipe()
	time.Sleep(2 * hop)
	select {
	case model.endpoints[number].pipes <- far:
		return near, nil
	case <-model.endpoints[number].closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// ServeHTTP runs a request of the model.
func (endpoint *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodOptions {
		return
	}
	time.Sleep(hop)
	defer time.Sleep(hop)
	if endpoint.fault == FaultFailing {
		endpoint.enter("")
		endpoint.leave("")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	gateway := scheduler.GatewayID(r.Header.Get(forwarder.HeaderGateway))
	if !endpoint.enter(gateway) {
		w.Header().Set(forwarder.HeaderOutcome, string(scheduler.OutcomeNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer endpoint.leave(gateway)
	select {
	case endpoint.free <- struct{}{}:
		time.Sleep(endpoint.length(r))
		<-endpoint.free
	case <-r.Context().Done():
	}
}

// length depends on the request alone, so that it is the same wherever and whenever the request runs.
func (endpoint *endpoint) length(r *http.Request) time.Duration {
	number, _ := strconv.ParseUint(strings.TrimPrefix(r.URL.Path, "/"), 10, 64)
	length := time.Duration(rand.New(rand.NewPCG(endpoint.seed, number)).ExpFloat64() * float64(serviceTime))
	if endpoint.fault == FaultSlow {
		length *= slowFactor
	}
	return length
}

func (endpoint *endpoint) enter(gateway scheduler.GatewayID) bool {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	endpoint.attempts++
	if endpoint.present >= connections {
		return false
	}
	endpoint.present++
	endpoint.inProgress[gateway]++
	endpoint.most = max(endpoint.most, endpoint.present)
	return true
}

func (endpoint *endpoint) leave(gateway scheduler.GatewayID) {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	endpoint.present--
	endpoint.inProgress[gateway]--
}

func (endpoint *endpoint) announcement(number int) scheduler.Announcement {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	return scheduler.Announcement{
		Endpoint: endpoint.name, Service: service, Address: fmt.Sprintf("10.0.0.1:%d", number), DataCentre: "couva", Incarnation: 1,
		Slots: slots, Connections: connections, InProgress: maps.Clone(endpoint.inProgress),
	}
}

// directory is what the endpoints of the model announced last.
type directory struct {
	model *model
	mutex sync.Mutex
	heard []scheduler.ReceivedAnnouncement
	list  []scheduler.Announcement
}

// run takes over an announcement of each endpoint every second.
func (directory *directory) run(ctx context.Context) {
	for {
		var heard []scheduler.ReceivedAnnouncement
		var list []scheduler.Announcement
		for number, endpoint := range directory.model.endpoints {
			list = append(list, endpoint.announcement(number))
			heard = append(heard, scheduler.ReceivedAnnouncement{Announcement: list[number], Received: time.Now()})
		}
		directory.mutex.Lock()
		directory.heard, directory.list = heard, list
		directory.mutex.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
	}
}

// Services returns the only service.
func (directory *directory) Services() []scheduler.ServiceName {
	return []scheduler.ServiceName{service}
}

// Endpoints returns all endpoints.
func (directory *directory) Endpoints(scheduler.ServiceName) []scheduler.Announcement {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	return directory.list
}

// LastAnnouncement returns the last announcement of an endpoint.
func (directory *directory) LastAnnouncement(name scheduler.EndpointName) (scheduler.ReceivedAnnouncement, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	for _, heard := range directory.heard {
		if heard.Endpoint == name {
			return heard, true
		}
	}
	return scheduler.ReceivedAnnouncement{}, false
}

// Remotes returns none.
func (directory *directory) Remotes(scheduler.ServiceName) []scheduler.RemoteService { return nil }

// baseline is a plain gateway: a random endpoint, no shares, no queue, no ejection, and up to three attempts
// without a budget.
type baseline struct {
	model     *model
	transport *http.Transport
	random    *lockedRandom
}

const baselineAttempts = 3

func (model *model) baselines() (handlers []http.Handler, stop func()) {
	var made []*baseline
	for number := range model.scenario.Gateways {
		random := &lockedRandom{random: rand.New(rand.NewPCG(model.scenario.Seed, uint64(number)))} //nolint:gosec // a small number
		added := &baseline{model: model, random: random, transport: &http.Transport{
			DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return model.dial(ctx, address) },
			MaxIdleConnsPerHost: connections,
		}}
		made, handlers = append(made, added), append(handlers, added)
	}
	return handlers, func() {
		for _, baseline := range made {
			baseline.transport.CloseIdleConnections()
		}
	}
}

// ServeHTTP forwards a request.
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
