package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	announcePeriod  = time.Second
	announceTimeout = time.Second
	endpointHeader  = 5 * time.Second

	headerGateway = "Crocusplank-Gateway"
	headerOutcome = "Crocusplank-Outcome"
	headerKey     = "Idempotency-Key"
)

// Endpoint is a stand-in for a service instance. It announces itself, runs requests, which only take
// time, and echoes their bodies. It is safe for concurrent use.
type Endpoint struct {
	announcement scheduler.Announcement
	gateways     []string
	work         time.Duration
	token        string
	client       *http.Client
	server       *http.Server

	mutex      sync.Mutex
	leaving    bool
	inProgress map[scheduler.GatewayID]int
	running    int
	record     EndpointRecord
}

// EndpointRecord is what an endpoint has seen.
type EndpointRecord struct {
	// Runs counts the requests that were run, and RunsByKey those with an idempotency key.
	Runs      int
	RunsByKey map[string]int
	// Most is the largest number of requests that ran at once.
	Most int
	// Refused counts the requests that arrived when no slot was free.
	Refused int
	// LateRuns counts the requests that arrived more than LeaveLimit after the leaving flag was
	// announced.
	LateRuns int
	left     time.Time
}

// LeaveGracePeriod is how long after its announcement a leaving endpoint may still get new requests.
const LeaveGracePeriod = 3 * time.Second

// EndpointOption changes an Endpoint under construction.
type EndpointOption func(endpoint *Endpoint)

// WithEndpointToken sends a token of the role platform with each announcement.
func WithEndpointToken(token string) EndpointOption {
	return func(endpoint *Endpoint) { endpoint.token = token }
}

// NewEndpoint returns an endpoint of a service that takes work for each request. gateways are the
// callers' addresses of the data centre's entry VMs.
func NewEndpoint(name scheduler.EndpointName, service scheduler.ServiceName, dataCentre scheduler.DataCentreName,
	slots int, work time.Duration, gateways []string, options ...EndpointOption,
) *Endpoint {
	endpoint := &Endpoint{
		announcement: scheduler.Announcement{
			Endpoint: name, Service: service, DataCentre: dataCentre, Slots: slots, Connections: 64,
			Incarnation: scheduler.Incarnation(time.Now().UnixNano()),
		},
		gateways: gateways, work: work,
		client:     &http.Client{Timeout: announceTimeout},
		inProgress: map[scheduler.GatewayID]int{},
		record:     EndpointRecord{RunsByKey: map[string]int{}},
	}
	for _, option := range options {
		option(endpoint)
	}
	return endpoint
}

// Start listens on an address, "127.0.0.1:0" for a free port, and announces the endpoint until ctx ends.
func (endpoint *Endpoint) Start(ctx context.Context, address string) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	endpoint.announcement.Address = listener.Addr().String()
	endpoint.server = &http.Server{Handler: endpoint, ReadHeaderTimeout: endpointHeader}
	go func() { _ = endpoint.server.Serve(listener) }()
	go func() {
		endpoint.announceUntil(ctx)
		_ = endpoint.server.Close()
	}()
	return nil
}

func (endpoint *Endpoint) announceUntil(ctx context.Context) {
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	for number := 0; ; number++ {
		endpoint.announce(ctx, number)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announce tells one gateway, another one each time, as the platform's balancer would; a gateway that
// does not answer is skipped.
func (endpoint *Endpoint) announce(ctx context.Context, number int) {
	body, err := json.Marshal(endpoint.current())
	if err != nil {
		return
	}
	for attempt := range endpoint.gateways {
		gateway := endpoint.gateways[(number+attempt)%len(endpoint.gateways)]
		if endpoint.post(ctx, "http://"+gateway+"/v1/endpoints", body) == nil {
			return
		}
	}
}

func (endpoint *Endpoint) post(ctx context.Context, url string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if endpoint.token != "" {
		request.Header.Set("Authorization", "Bearer "+endpoint.token)
	}
	response, err := endpoint.client.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return Error.New("announcement answered with status %d: %s", response.StatusCode, text)
	}
	return nil
}

func (endpoint *Endpoint) current() scheduler.Announcement {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	announcement := endpoint.announcement
	announcement.Leaving = endpoint.leaving
	announcement.InProgress = maps.Clone(endpoint.inProgress)
	return announcement
}

// Leave announces that the endpoint is leaving.
func (endpoint *Endpoint) Leave(ctx context.Context) {
	endpoint.mutex.Lock()
	endpoint.leaving = true
	endpoint.mutex.Unlock()
	endpoint.announce(ctx, 0)
	endpoint.mutex.Lock()
	endpoint.record.left = time.Now()
	endpoint.mutex.Unlock()
}

// Record returns what the endpoint has seen so far.
func (endpoint *Endpoint) Record() EndpointRecord {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	record := endpoint.record
	record.RunsByKey = maps.Clone(endpoint.record.RunsByKey)
	return record
}

// Name returns the endpoint's name.
func (endpoint *Endpoint) Name() scheduler.EndpointName { return endpoint.announcement.Endpoint }

// Address returns the address at which the endpoint serves, empty before Start.
func (endpoint *Endpoint) Address() string { return endpoint.announcement.Address }

// Slots returns the endpoint's number of slots.
func (endpoint *Endpoint) Slots() int { return endpoint.announcement.Slots }

// ServeHTTP runs a request and echoes its path and body.
func (endpoint *Endpoint) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	gateway := scheduler.GatewayID(request.Header.Get(headerGateway))
	if !endpoint.begin(gateway, request.Header.Get(headerKey)) {
		writer.Header().Set(headerOutcome, string(scheduler.OutcomeNotRun))
		http.Error(writer, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	defer endpoint.end(gateway)
	// The work goes on when the gateway gives up, as that of a real service would.
	time.Sleep(endpoint.work)
	_, _ = fmt.Fprintf(writer, "%s %s", request.URL.Path, body)
}

func (endpoint *Endpoint) begin(gateway scheduler.GatewayID, key string) bool {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	if endpoint.running >= endpoint.announcement.Slots {
		endpoint.record.Refused++
		return false
	}
	endpoint.running++
	endpoint.inProgress[gateway]++
	endpoint.record.Runs++
	endpoint.record.Most = max(endpoint.record.Most, endpoint.running)
	if key != "" {
		endpoint.record.RunsByKey[key]++
	}
	if !endpoint.record.left.IsZero() && time.Since(endpoint.record.left) > LeaveGracePeriod {
		endpoint.record.LateRuns++
	}
	return true
}

func (endpoint *Endpoint) end(gateway scheduler.GatewayID) {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	endpoint.running--
	endpoint.inProgress[gateway]--
	if endpoint.inProgress[gateway] == 0 {
		delete(endpoint.inProgress, gateway)
	}
}
