package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/crocusplank/crocusplank/internal/requests/balancer"
	"github.com/crocusplank/crocusplank/internal/requests/deduplicator"
	"github.com/crocusplank/crocusplank/internal/requests/forwarder"
	"github.com/crocusplank/crocusplank/internal/requests/limiter"
	"github.com/crocusplank/crocusplank/internal/requests/retrier"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fixture is a fake scheduler.Directory and scheduler.SlotSource without limits. It also applies the commands of the
// key store directly to machine, which stands for the replicated group.
type fixture struct {
	unlimitedSource
	endpoints []scheduler.Announcement
	remotes   []scheduler.RemoteService
	free      int
	machine   *deduplicator.Machine
	// blocked, if not nil, receives a value for each call of Free that returns 0, until released is closed.
	blocked  chan struct{}
	released chan struct{}
}

// Free returns 0 until released is closed if blocked is set, and otherwise 1.
func (fixture *fixture) Free(scheduler.EndpointName) int {
	if fixture.blocked == nil {
		return 1
	}
	select {
	case fixture.blocked <- struct{}{}:
		return 0
	case <-fixture.released:
		return 1
	}
}

func (fixture *fixture) Services() []scheduler.ServiceName { return nil }

func (fixture *fixture) Endpoints(service scheduler.ServiceName) []scheduler.Announcement {
	if service != "sizing" {
		return nil
	}
	return fixture.endpoints
}

func (fixture *fixture) LastAnnouncement(scheduler.EndpointName) (scheduler.ReceivedAnnouncement, bool) {
	return scheduler.ReceivedAnnouncement{}, false
}

func (fixture *fixture) Remotes(scheduler.ServiceName) []scheduler.RemoteService {
	return fixture.remotes
}

func (fixture *fixture) Propose(_ context.Context, command []byte) ([]byte, error) {
	return fixture.machine.Apply(1, command), nil
}

// startGateway starts a gateway on 127.0.0.1 for endpoints at the given addresses and returns its address.
func startGateway(t *testing.T, fixture *fixture, addresses ...string) (*Gateway, string) {
	t.Helper()
	for number, address := range addresses {
		fixture.endpoints = append(fixture.endpoints, scheduler.Announcement{
			Endpoint: scheduler.EndpointName(fmt.Sprintf("desk-%d", number)), Address: address, Slots: 8, Connections: 64,
		})
	}
	if fixture.machine == nil {
		fixture.machine = deduplicator.NewMachine()
	}
	dataCentres := func() []scheduler.DataCentreName { return []scheduler.DataCentreName{"couva"} }
	store := deduplicator.NewStore(scheduler.Gateway{VM: "couva-1", DataCentre: "couva"}, 1, dataCentres,
		func(scheduler.DataCentreName) deduplicator.Proposer { return fixture })
	gateway := New("couva-1", Dependencies{
		Directory: fixture, KeyStore: store,
		Free: func(scheduler.ServiceName) int { return fixture.free }, Balancer: balancer.New(fixture),
		Forwarder: forwarder.New("couva-1/1", fixture), Limiter: limiter.New(), Retrier: retrier.New(),
	}, WithBodyLimit(200_000))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- gateway.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = gateway.Stop(ctx)
		if err := <-served; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return gateway, listener.Addr().String()
}

// startEndpoint starts a test server as endpoint and counts the requests that reach it.
func startEndpoint(t *testing.T, handler http.HandlerFunc) (string, *atomic.Int64) {
	count := &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodOptions {
			return
		}
		count.Add(1)
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), count
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	connection, _, _ := http.NewResponseController(w).Hijack()
	_ = connection.Close()
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	return listener.Addr().String()
}

// receivedResponse is a response whose body has been read.
type receivedResponse struct {
	status int
	header http.Header
	body   string
}

// sendRaw sends the bytes of raw over a new connection and reads the response.
func sendRaw(t *testing.T, address, raw string) (receivedResponse, error) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	go func() { _, _ = io.WriteString(connection, raw) }()
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return receivedResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return receivedResponse{response.StatusCode, response.Header, string(body)}, err
}

// TestServeHTTP guards against wrong outcomes, rejected requests that reach an endpoint, and requests that the endpoint
// parses differently from the gateway. reached is -1 if the endpoint may or may not have received the request when the
// response arrives.
func TestServeHTTP(t *testing.T) {
	notRun503 := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(forwarder.HeaderOutcome, "notRun")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	cases := map[string]struct {
		raw     string
		handler http.HandlerFunc
		status  int
		outcome string
		body    string
		reached int64
	}{
		"path and query":        {"GET /sizing//a%2Fb/../c?d=%26 HTTP/1.1\r\nHost: x\r\n\r\n", echo, 200, "done", "GET //a%2Fb/../c?d=%26 ", 1},
		"absolute form":         {"GET http://x/sizing/a HTTP/1.1\r\nHost: x\r\n\r\n", echo, 200, "done", "GET /a ", 1},
		"body":                  {"POST /sizing/a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi", echo, 200, "done", "POST /a hi", 1},
		"chunked body":          {"POST /sizing/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", echo, 200, "done", "POST /a hi", 1},
		"unknown service":       {"GET /other/a HTTP/1.1\r\nHost: x\r\n\r\n", echo, 404, "notRun", "unknownService", 0},
		"unknown service, POST": {"POST /other/a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", echo, 404, "notRun", "unknownService", 0},
		"unknown service, key":  {"POST /other/a HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a\r\nContent-Length: 0\r\n\r\n", echo, 404, "unknown", "may have run", 0},
		"deadline passed, key":  {"POST /sizing/a HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a\r\nCrocusplank-Deadline-Ms: 0\r\nContent-Length: 0\r\n\r\n", echo, 504, "unknown", "may have run", 0},
		"malformed, key":        {"POST /sizing/a HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a\r\nCrocusplank-Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n", echo, 400, "notRun", "deadlineInvalid", 0},
		"no service":            {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", echo, 404, "notRun", "noService", 0},
		"CONNECT":               {"CONNECT sizing:80 HTTP/1.1\r\nHost: x\r\n\r\n", echo, 404, "notRun", "noService", 0},
		"OPTIONS *":             {"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n", echo, 200, "", "", 0},
		"deadline passed":       {"GET /sizing/a HTTP/1.1\r\nHost: x\r\nCrocusplank-Deadline-Ms: 0\r\n\r\n", echo, 504, "notRun", "deadlinePassed", 0},
		"deadline invalid":      {"GET /sizing/a HTTP/1.1\r\nHost: x\r\nCrocusplank-Deadline-Ms: soon\r\n\r\n", echo, 400, "notRun", "deadlineInvalid", 0},
		"deadline enormous":     {"GET /sizing/a HTTP/1.1\r\nHost: x\r\nCrocusplank-Deadline-Ms: 9223372036854775807\r\n\r\n", echo, 200, "done", "GET /a ", 1},
		"idempotent invalid":    {"GET /sizing/a HTTP/1.1\r\nHost: x\r\nCrocusplank-Idempotent: maybe\r\n\r\n", echo, 400, "notRun", "idempotentInvalid", 0},
		"two keys":              {"POST /sizing/a HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n", echo, 400, "notRun", "keyInvalid", 0},
		"header too large":      {"GET /sizing/a HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 2*maxHeaderBytes) + "\r\n\r\n", echo, 431, "", "", 0},
		"body too large":        {"POST /sizing/a HTTP/1.1\r\nHost: x\r\nContent-Length: 200001\r\n\r\n", echo, 413, "notRun", "bodyTooLarge", 0},
		"chunked too large":     {"POST /sizing/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n" + strings.Repeat("x", 0x40000) + "\r\n0\r\n\r\n", echo, 413, "unknown", "bodyTooLarge", -1},
		"two lengths":           {"POST /sizing/a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\nContent-Length: 40\r\n\r\nhi", echo, 400, "", "", 0},
		"signed length":         {"POST /sizing/a HTTP/1.1\r\nHost: x\r\nContent-Length: +2\r\n\r\nhi", echo, 400, "", "", 0},
		"unknown coding":        {"POST /sizing/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", echo, 501, "", "", 0},
		"space before colon":    {"GET /sizing/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n", echo, 400, "", "", 0},
		"length and chunked":    {"POST /sizing/a HTTP/1.1\r\nHost: x\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\nGET /sizing/smuggled HTTP/1.1\r\nHost: x\r\n\r\n", echo, 200, "done", "POST /a hi", 1},
		"dropped, GET":          {"GET /sizing/a HTTP/1.1\r\nHost: x\r\n\r\n", closeConnection, 502, "unknown", "endpointFailed", 4},
		"dropped, POST":         {"POST /sizing/a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", closeConnection, 502, "unknown", "endpointFailed", 1},
		"dropped, declared":     {"GET /sizing/a HTTP/1.1\r\nHost: x\r\nCrocusplank-Idempotent: false\r\n\r\n", closeConnection, 502, "unknown", "endpointFailed", 1},
		"refused by endpoint":   {"POST /sizing/a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", notRun503, 503, "notRun", "notRun", 4},
		"forwarded, no retry":   {"GET /sizing/a HTTP/1.1\r\nHost: x\r\nCrocusplank-Forwarded-By: x\r\n\r\n", notRun503, 503, "notRun", "notRun", 1},
		"slow endpoint":         {"GET /sizing/a HTTP/1.1\r\nHost: x\r\nCrocusplank-Deadline-Ms: 500\r\n\r\n", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, 504, "unknown", "deadlinePassed", 1},
		"endpoint's own error":  {"GET /sizing/a HTTP/1.1\r\nHost: x\r\n\r\n", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, 500, "done", "", 1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			address, count := startEndpoint(t, test.handler)
			_, gatewayAddress := startGateway(t, &fixture{free: 1}, address)
			response, err := sendRaw(t, gatewayAddress, test.raw)
			if err != nil {
				t.Fatal(err)
			}
			if got := response.status; got != test.status {
				t.Errorf("status: got %d, want %d", got, test.status)
			}
			if got := response.header.Get(forwarder.HeaderOutcome); got != test.outcome {
				t.Errorf("outcome: got %q, want %q", got, test.outcome)
			}
			if !strings.Contains(response.body, test.body) {
				t.Errorf("body: got %q, want it to contain %q", response.body, test.body)
			}
			if got := count.Load(); test.reached >= 0 && got != test.reached {
				t.Errorf("requests at the endpoint: got %d, want %d", got, test.reached)
			}
		})
	}
}

// TestEndpoints guards against returning the failure of one endpoint to the caller although another endpoint or another
// data centre can serve the request.
func TestEndpoints(t *testing.T) {
	working, _ := startEndpoint(t, echo)
	_, remoteAddress := startGateway(t, &fixture{free: 1}, working)
	closing, _ := startEndpoint(t, closeConnection)
	remotes := []scheduler.RemoteService{{DataCentre: "chaguanas", Address: remoteAddress, Free: 5}}
	closedRemote := []scheduler.RemoteService{{DataCentre: "chaguanas", Address: closedAddress(t), Free: 5}}
	cases := map[string]struct {
		fixture   *fixture
		addresses []string
		method    string
		status    int
	}{
		"refusing endpoint, POST":   {&fixture{free: 1}, []string{closedAddress(t), working}, http.MethodPost, 200},
		"dropping endpoint, GET":    {&fixture{free: 1}, []string{closing, working}, http.MethodGet, 200},
		"spill without endpoints":   {&fixture{remotes: remotes}, nil, http.MethodPost, 200},
		"spill without a slot":      {&fixture{remotes: remotes}, []string{closing}, http.MethodPost, 200},
		"spill refused, then local": {&fixture{remotes: closedRemote}, []string{working}, http.MethodPost, 200},
		"no spill with free slots": {
			&fixture{remotes: remotes, free: 1}, []string{closedAddress(t), closedAddress(t)}, http.MethodPost, 503,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, gatewayAddress := startGateway(t, test.fixture, test.addresses...)
			for range 2 {
				response, err := sendRaw(t, gatewayAddress,
					test.method+" /sizing/a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
				if err != nil {
					t.Fatal(err)
				}
				if got, want := response.status, test.status; got != want {
					t.Errorf("status: got %d (%s), want %d", got, response.body, want)
				}
			}
		})
	}
}

// TestResend guards against executing a non-idempotent request again when it is resent with its key.
func TestResend(t *testing.T) {
	const post = "POST /sizing/a HTTP/1.1\r\nHost: x\r\nIdempotency-Key: couva:x\r\nContent-Length: 5\r\n\r\n"
	cases := map[string]struct {
		handler http.HandlerFunc
		first   int
		resend  string
		status  int
	}{
		"answered":        {echo, 200, post + "palms", 200},
		"unknown":         {closeConnection, 502, post + "palms", 409},
		"another request": {echo, 200, post + "thumb", 422},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			address, count := startEndpoint(t, test.handler)
			gateway, gatewayAddress := startGateway(t, &fixture{free: 1}, address)
			for _, step := range []struct {
				raw    string
				status int
			}{{post + "palms", test.first}, {test.resend, test.status}} {
				response, err := sendRaw(t, gatewayAddress, step.raw)
				if err != nil {
					t.Fatal(err)
				}
				if got, want := response.status, step.status; got != want {
					t.Errorf("status: got %d, want %d", got, want)
				}
				gateway.outcomeWrites.Wait()
			}
			if got, want := count.Load(), int64(1); got != want {
				t.Errorf("requests at the endpoint: got %d, want %d", got, want)
			}
		})
	}
}

// TestBrokenBody guards against a response that is interrupted by the endpoint but appears complete to the caller.
func TestBrokenBody(t *testing.T) {
	for name, length := range map[string]string{"with a length": "100", "chunked": ""} {
		for _, version := range []string{"1.1", "1.0"} {
			t.Run(name+", HTTP/"+version, func(t *testing.T) {
				address, _ := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
					if length != "" {
						w.Header().Set("Content-Length", length)
					}
					_, _ = io.WriteString(w, "half")
					_ = http.NewResponseController(w).Flush()
					closeConnection(w, r)
				})
				_, gatewayAddress := startGateway(t, &fixture{free: 1}, address)
				if response, err := sendRaw(t, gatewayAddress, "GET /sizing/a HTTP/"+version+"\r\nHost: x\r\n\r\n"); err == nil {
					t.Errorf("got a complete response %q, want an error", response.body)
				}
			})
		}
	}
}

// TestStop guards against a graceful shutdown that interrupts a stream, accepts new connections or never ends.
func TestStop(t *testing.T) {
	for name, interrupted := range map[string]bool{"stream ends": false, "limit reached": true} {
		t.Run(name, func(t *testing.T) {
			parts, stop := make(chan string), make(chan error, 1)
			address, _ := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
				for {
					select {
					case part, ok := <-parts:
						if !ok {
							return
						}
						_, _ = io.WriteString(w, part)
						_ = http.NewResponseController(w).Flush()
					case <-r.Context().Done():
						return
					}
				}
			})
			gateway, gatewayAddress := startGateway(t, &fixture{free: 1}, address)
			connection, err := net.Dial("tcp", gatewayAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = connection.Close() }()
			_, _ = io.WriteString(connection, "GET /sizing/a HTTP/1.1\r\nHost: x\r\n\r\n")
			parts <- "first"
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = response.Body.Close() }()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			slotsReleased := make(chan struct{})
			gateway.releaseSlots = sync.OnceFunc(func() { close(slotsReleased) })
			go func() { stop <- gateway.Stop(ctx) }()
			<-slotsReleased
			if got, want := gateway.Ready(), false; got != want {
				t.Errorf("ready: got %v, want %v", got, want)
			}
			if interrupted {
				cancel()
			} else {
				parts <- " second"
				close(parts)
			}
			body, err := io.ReadAll(response.Body)
			if got, want := err != nil, interrupted; got != want {
				t.Errorf("stream interrupted: got %v (%q, %v), want %v", got, body, err, want)
			}
			if got, want := string(body), "first second"; !interrupted && got != want {
				t.Errorf("body: got %q, want %q", got, want)
			}
			if err := <-stop; (err != nil) != interrupted {
				t.Errorf("stop: got %v, want an error: %v", err, interrupted)
			}
			if _, err := net.Dial("tcp", gatewayAddress); err == nil {
				t.Error("connection after the stop: got one, want it refused")
			}
		})
	}
}

// TestStopQueue guards against a graceful shutdown that releases the shares while a request is waiting for a slot.
func TestStopQueue(t *testing.T) {
	address, _ := startEndpoint(t, echo)
	fixture := &fixture{free: 1, blocked: make(chan struct{}, 100), released: make(chan struct{})}
	gateway, gatewayAddress := startGateway(t, fixture, address)
	var releasedEarly atomic.Bool
	gateway.releaseSlots = func() {
		select {
		case <-fixture.released:
		default:
			releasedEarly.Store(true)
		}
	}
	status := make(chan int, 1)
	go func() {
		response, _ := sendRaw(t, gatewayAddress, "GET /sizing/a HTTP/1.1\r\nHost: x\r\n\r\n")
		status <- response.status
	}()
	<-fixture.blocked
	stop := make(chan error, 1)
	go func() { stop <- gateway.Stop(t.Context()) }()
	for gateway.Ready() {
		runtime.Gosched()
	}
	close(fixture.released)
	for stopped := false; !stopped; {
		gateway.dependencies.Limiter.Wake(0)
		select {
		case err := <-stop:
			stopped = true
			if err != nil {
				t.Errorf("stop: got %v, want none", err)
			}
		default:
		}
	}
	if got, want := <-status, http.StatusOK; got != want {
		t.Errorf("status of the waiting request: got %d, want %d", got, want)
	}
	if releasedEarly.Load() {
		t.Error("shares released while a request is waiting for a slot: got true, want false")
	}
}

// TestStreamMemory guards against buffering streamed bodies in memory, in either direction. It reports the memory that
// is allocated to stream 64 MiB to the endpoint and back.
func TestStreamMemory(t *testing.T) {
	const size = 64 << 20
	address, _ := startEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		_, _ = io.Copy(w, r.Body)
	})
	gateway, gatewayAddress := startGateway(t, &fixture{free: 1}, address)
	gateway.bodyLimit = size
	connection, err := net.Dial("tcp", gatewayAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = connection.Close() }()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var writing sync.WaitGroup
	writing.Go(func() {
		_, _ = fmt.Fprintf(connection, "PUT /sizing/a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
		part := make([]byte, 32<<10)
		for range size / len(part) {
			_, _ = connection.Write(part)
		}
	})
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	got, err := io.Copy(io.Discard, response.Body)
	if err != nil || got != size {
		t.Errorf("body: got %d bytes (%v), want %d", got, err, size)
	}
	writing.Wait()
	runtime.ReadMemStats(&after)
	t.Logf("allocated %d KiB for %d MiB each way", (after.TotalAlloc-before.TotalAlloc)>>10, size>>20)
	if got, want := after.TotalAlloc-before.TotalAlloc, uint64(8<<20); got > want {
		t.Errorf("allocated: got %d bytes, want at most %d", got, want)
	}
}
