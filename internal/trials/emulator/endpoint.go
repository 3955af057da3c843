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
	announcementPeriod  = time.Second
	announcementTimeout = time.Second
	readHeaderTimeout   = 5 * time.Second

	headerGateway = "Crocusplank-Gateway"
	headerOutcome = "Crocusplank-Outcome"
	headerKey     = "Idempotency-Key"
)

// Endpoint emulates an instance of a service. It announces itself, delays each request by a fixed time and echoes
// its body. It is safe for concurrent use.
type Endpoint struct {
	announcement scheduler.Announcement
	gateways     []string
	serviceTime  time.Duration
	token        string
	client       *http.Client
	server       *http.Server

	mutex      sync.Mutex
	leaving    bool
	inProgress map[scheduler.GatewayID]int
	running    int
	record     EndpointRecord
}

// EndpointRecord holds the request counts of an endpoint.
type EndpointRecord struct {
	// Runs counts the requests that were run; RunsByKey counts those with an idempotency key, by key.
	Runs      int
	RunsByKey map[string]int
	// Most is the largest number of concurrent requests.
	Most int
	// Refused counts the requests that were rejected because no slot was free.
	Refused int
	// LateRuns counts the requests that arrived more than LeaveGracePeriod after the endpoint announced that it
	// was leaving.
	LateRuns  int
	leaveTime time.Time
}

// LeaveGracePeriod is how long an endpoint may still receive new requests after it has announced that it is
// leaving.
const LeaveGracePeriod = 3 * time.Second

// EndpointOption configures an Endpoint.
type EndpointOption func(endpoint *Endpoint)

// WithEndpointToken sends a bearer token for the platform role with each announcement.
func WithEndpointToken(token string) EndpointOption {
	return func(endpoint *Endpoint) { endpoint.token = token }
}

// NewEndpoint returns an endpoint of a service that takes serviceTime for each request. gateways are the
// addresses for callers of the data centre's entry VMs.
func NewEndpoint(name scheduler.EndpointName, service scheduler.ServiceName, dataCentre scheduler.DataCentreName,
	slots int, serviceTime time.Duration, gateways []string, options ...EndpointOption,
) *Endpoint {
	endpoint := &Endpoint{
		announcement: scheduler.Announcement{
			Endpoint: name, Service: service, DataCentre: dataCentre, Slots: slots, Connections: 64,
			Incarnation: scheduler.Incarnation(time.Now().UnixNano()),
		},
		gateways: gateways, serviceTime: serviceTime,
		client:     &http.Client{Timeout: announcementTimeout},
		inProgress: map[scheduler.GatewayID]int{},
		record:     EndpointRecord{RunsByKey: map[string]int{}},
	}
	for _, option := range options {
		option(endpoint)
	}
	return endpoint
}

// Start listens on an address ("127.0.0.1:0" selects a free port) and announces the endpoint until ctx ends.
func (endpoint *Endpoint) Start(ctx context.Context, address string) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return Error.Wrap(err)
	}
	endpoint.announcement.Address = listener.Addr().String()
	endpoint.server = &http.Server{Handler: endpoint, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = endpoint.server.Serve(listener) }()
	go func() {
		endpoint.announcePeriodically(ctx)
		_ = endpoint.server.Close()
	}()
	return nil
}

func (endpoint *Endpoint) announcePeriodically(ctx context.Context) {
	ticker := time.NewTicker(announcementPeriod)
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

// announce sends the announcement to one gateway, selected round-robin by number as the platform's load balancer
// does. If a gateway does not accept it, the next one is tried.
func (endpoint *Endpoint) announce(ctx context.Context, number int) {
	body, err := json.Marshal(endpoint.currentAnnouncement())
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
		return Error.New("announcement failed with status %d: %s", response.StatusCode, text)
	}
	return nil
}

func (endpoint *Endpoint) currentAnnouncement() scheduler.Announcement {
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
	endpoint.record.leaveTime = time.Now()
	endpoint.mutex.Unlock()
}

// Record returns a copy of the request counts so far.
func (endpoint *Endpoint) Record() EndpointRecord {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	record := endpoint.record
	record.RunsByKey = maps.Clone(endpoint.record.RunsByKey)
	return record
}

// Name returns the name of the endpoint.
func (endpoint *Endpoint) Name() scheduler.EndpointName { return endpoint.announcement.Endpoint }

// Address returns the address on which the endpoint listens; it is empty before Start.
func (endpoint *Endpoint) Address() string { return endpoint.announcement.Address }

// Slots returns the maximum number of requests that the endpoint runs concurrently.
func (endpoint *Endpoint) Slots() int { return endpoint.announcement.Slots }

// ServeHTTP runs a request and echoes its path and body. It rejects the request if no slot is free.
func (endpoint *Endpoint) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	gateway := scheduler.GatewayID(request.Header.Get(headerGateway))
	if !endpoint.acquireSlot(gateway, request.Header.Get(headerKey)) {
		writer.Header().Set(headerOutcome, string(scheduler.OutcomeNotRun))
		http.Error(writer, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	defer endpoint.releaseSlot(gateway)
	// As in a real service, processing continues after the gateway has abandoned the request.
	time.Sleep(endpoint.serviceTime)
	_, _ = fmt.Fprintf(writer, "%s %s", request.URL.Path, body)
}

func (endpoint *Endpoint) acquireSlot(gateway scheduler.GatewayID, key string) bool {
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
	if !endpoint.record.leaveTime.IsZero() && time.Since(endpoint.record.leaveTime) > LeaveGracePeriod {
		endpoint.record.LateRuns++
	}
	return true
}

func (endpoint *Endpoint) releaseSlot(gateway scheduler.GatewayID) {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	endpoint.running--
	endpoint.inProgress[gateway]--
	if endpoint.inProgress[gateway] == 0 {
		delete(endpoint.inProgress, gateway)
	}
}
