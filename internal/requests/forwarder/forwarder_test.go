package forwarder

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fakeSlots is a fake scheduler.SlotSource that counts released and abandoned slots and open connections.
type fakeSlots struct {
	mutex                  sync.Mutex
	expired, noConnections bool
	released, abandoned    int
	openConnections        int
}

type slot struct {
	fakeSlots  *fakeSlots
	connection bool
	once       sync.Once
}

func (fakeSlots *fakeSlots) Acquire(scheduler.EndpointName) (scheduler.Slot, bool) {
	return &slot{fakeSlots: fakeSlots}, true
}
func (fakeSlots *fakeSlots) Free(scheduler.EndpointName) int { return 1 }

func (fakeSlots *fakeSlots) AcquireConnection(scheduler.EndpointName) (scheduler.Slot, bool) {
	fakeSlots.mutex.Lock()
	defer fakeSlots.mutex.Unlock()
	fakeSlots.openConnections++
	return &slot{fakeSlots: fakeSlots, connection: true}, !fakeSlots.noConnections
}

func (slot *slot) Valid() bool { return !slot.fakeSlots.expired }
func (slot *slot) Release()    { slot.end(&slot.fakeSlots.released) }
func (slot *slot) Abandon()    { slot.end(&slot.fakeSlots.abandoned) }

func (slot *slot) end(count *int) {
	slot.once.Do(func() {
		slot.fakeSlots.mutex.Lock()
		defer slot.fakeSlots.mutex.Unlock()
		if slot.connection {
			slot.fakeSlots.openConnections--
		} else {
			*count++
		}
	})
}

// endpoint is a fake endpoint: an HTTP server on in-memory connections. serve gets each request with its number and
// returns the raw response; "close" closes the connection and "swallow" sends no response. refuseDial refuses new
// connections.
type endpoint struct {
	mutex      sync.Mutex
	serve      func(number int, request *http.Request) string
	requests   []string
	refuseDial bool
}

func (endpoint *endpoint) dial(context.Context, string) (net.Conn, error) {
	if endpoint.refuseDial {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	go endpoint.run(server)
	return client, nil
}

func (endpoint *endpoint) run(server net.Conn) {
	defer func() { _ = server.Close() }()
	reader := bufio.NewReader(server)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		endpoint.mutex.Lock()
		number := len(endpoint.requests)
		if request.Method != http.MethodOptions {
			endpoint.requests = append(endpoint.requests, request.Method+" "+request.RequestURI+" "+string(body))
		}
		endpoint.mutex.Unlock()
		switch reply := endpoint.serve(number, request); reply {
		case "close":
			return
		case "swallow":
			_, _ = io.Copy(io.Discard, server)
			return
		default:
			_, _ = io.WriteString(server, reply)
		}
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func always(reply string) func(int, *http.Request) string {
	return func(int, *http.Request) string { return reply }
}

// afterFirst responds to the first request with okResponse and to later ones, on the reused connection, with reply.
func afterFirst(reply string) func(int, *http.Request) string {
	return func(number int, request *http.Request) string {
		if number == 0 || request.Method == http.MethodOptions {
			return okResponse
		}
		return reply
	}
}

// TestSend guards against wrong outcomes, in particular notRun for a request that reached the endpoint, and against
// requests that net/http retries by itself. Only the result of the last of count requests is checked.
func TestSend(t *testing.T) {
	cases := map[string]struct {
		endpoint              *endpoint
		fakeSlots             *fakeSlots
		method, body          string
		count                 int
		want                  scheduler.Outcome
		seen                  int
		slots                 string
		stalled, unresponsive bool
	}{
		"answered":                      {endpoint: &endpoint{serve: always(okResponse)}, method: "POST", body: "x", count: 1, want: "done", seen: 1, slots: "released"},
		"reused connection":             {endpoint: &endpoint{serve: always(okResponse)}, method: "POST", body: "x", count: 2, want: "done", seen: 2, slots: "released"},
		"connection refused":            {endpoint: &endpoint{refuseDial: true}, method: "POST", count: 1, want: "notRun", slots: "released"},
		"connection limit reached":      {fakeSlots: &fakeSlots{noConnections: true}, method: "POST", count: 1, want: "notRun", slots: "released"},
		"share expired":                 {endpoint: &endpoint{serve: always(okResponse)}, fakeSlots: &fakeSlots{expired: true}, method: "POST", body: "x", count: 1, want: "notRun", slots: "released"},
		"refused by the endpoint":       {endpoint: &endpoint{serve: always("HTTP/1.1 503 Busy\r\nCrocusplank-Outcome: notRun\r\nContent-Length: 0\r\n\r\n")}, method: "POST", count: 1, want: "notRun", seen: 1, slots: "released"},
		"plain 503":                     {endpoint: &endpoint{serve: always("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")}, method: "POST", count: 1, want: "done", seen: 1, slots: "released"},
		"closed after the request":      {endpoint: &endpoint{serve: always("close")}, method: "POST", body: "x", count: 1, want: "unknown", seen: 1, slots: "abandoned"},
		"reused closed, GET":            {endpoint: &endpoint{serve: afterFirst("close")}, method: "GET", count: 2, want: "unknown", seen: 2, slots: "abandoned"},
		"reused closed, HEAD":           {endpoint: &endpoint{serve: afterFirst("close")}, method: "HEAD", count: 2, want: "unknown", seen: 2, slots: "abandoned"},
		"reused closed, POST":           {endpoint: &endpoint{serve: afterFirst("close")}, method: "POST", count: 2, want: "unknown", seen: 2, slots: "abandoned"},
		"reused closed, POST with body": {endpoint: &endpoint{serve: afterFirst("close")}, method: "POST", body: "x", count: 2, want: "unknown", seen: 2, slots: "abandoned"},
		"not HTTP":                      {endpoint: &endpoint{serve: always("nonsense\r\n\r\n")}, method: "POST", count: 1, want: "unknown", seen: 1, slots: "abandoned"},
		"headers too large":             {endpoint: &endpoint{serve: always("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxResponseHeaderBytes) + "\r\n\r\n")}, method: "GET", count: 1, want: "unknown", seen: 1, slots: "abandoned"},
		"stalled connection":            {endpoint: &endpoint{serve: afterFirst("swallow")}, method: "GET", count: 2, want: "unknown", seen: 2, slots: "abandoned", stalled: true},
		"unresponsive endpoint":         {endpoint: &endpoint{serve: always("swallow")}, method: "GET", count: 1, want: "unknown", seen: 1, slots: "abandoned", unresponsive: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, fakeSlots, unresponsive := test.endpoint, cmp.Or(test.fakeSlots, &fakeSlots{}), false
				if server == nil {
					server = &endpoint{}
				}
				forwarder := New("couva-1/1", fakeSlots, WithDial(server.dial), WithUnresponsiveHandler(func(scheduler.EndpointName) { unresponsive = true }))
				var result Result
				for range test.count {
					ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
					defer cancel()
					incoming := httptest.NewRequestWithContext(ctx, test.method, "/ignored", nil)
					slot, _ := fakeSlots.Acquire("desk-1")
					fakeSlots.released, fakeSlots.abandoned = 0, 0
					result = forwarder.Send(Call{
						Endpoint: scheduler.Announcement{Endpoint: "desk-1", Address: "10.0.0.1:80", Slots: 8}, Slot: slot, Incoming: incoming,
						Target: "/check?a=1", Body: strings.NewReader(test.body), Length: int64(len(test.body)), IdempotencyKey: "k", Restart: func() bool { return true },
					})
					if result.Response != nil {
						_, _ = io.Copy(io.Discard, result.Response.Body)
						_ = result.Response.Body.Close()
					}
				}
				synctest.Wait()
				if got := result.Outcome; got != test.want {
					t.Errorf("outcome: got %s (%v), want %s", got, result.Err, test.want)
				}
				server.mutex.Lock()
				if got, want := len(server.requests), test.seen; got != want {
					t.Errorf("requests at the endpoint: got %d %v, want %d", got, server.requests, want)
				}
				server.mutex.Unlock()
				if got, want := map[bool]string{true: "released"}[fakeSlots.released == 1]+map[bool]string{true: "abandoned"}[fakeSlots.abandoned == 1], test.slots; got != want {
					t.Errorf("slot: got %s, want %s", got, want)
				}
				if got, want := result.Stalled, test.stalled; got != want {
					t.Errorf("stalled: got %v, want %v", got, want)
				}
				if got, want := unresponsive, test.unresponsive; got != want {
					t.Errorf("endpoint reported as unresponsive: got %v, want %v", got, want)
				}
				if got := len(forwarder.pools); test.stalled && got != 0 {
					t.Errorf("pools after a stalled connection: got %d, want 0", got)
				}
				forwarder.Close()
				synctest.Wait()
				if got := fakeSlots.openConnections; !fakeSlots.noConnections && got != 0 {
					t.Errorf("open connections after Close: got %d, want 0", got)
				}
			})
		})
	}
}

// TestHeaders guards against forwarding hop-by-hop headers and against a missing deadline header.
func TestHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got http.Header
		endpoint := &endpoint{serve: func(_ int, request *http.Request) string {
			got = request.Header
			return "HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 1\r\nContent-Length: 0\r\n\r\n"
		}}
		fakeSlots := &fakeSlots{}
		forwarder := New("couva-1/1", fakeSlots, WithDial(endpoint.dial))
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		incoming := httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
		incoming.Header = http.Header{"Connection": {"close, X-Private"}, "X-Private": {"1"}, "Upgrade": {"h2c"}, "Te": {"trailers"}, "X-End": {"1"}, HeaderIdempotencyKey: {"own"}}
		slot, _ := fakeSlots.Acquire("desk-1")
		result := forwarder.Send(Call{Endpoint: scheduler.Announcement{Address: "10.0.0.1:80"}, Slot: slot, Incoming: incoming, Target: "//a%2Fb?c", RequestID: "r1"})
		for name, want := range map[string]string{
			"Connection": "", "X-Private": "", "Upgrade": "", "Te": "", "X-End": "1", "User-Agent": "", HeaderIdempotencyKey: "",
			HeaderDeadline: "4000", HeaderRequestID: "r1", HeaderGateway: "couva-1/1",
		} {
			if got := got.Get(name); got != want {
				t.Errorf("request header %s: got %q, want %q", name, got, want)
			}
		}
		if got, want := endpoint.requests[0], "GET //a%2Fb?c "; got != want {
			t.Errorf("request line: got %q, want %q", got, want)
		}
		recorder := httptest.NewRecorder()
		if err := Relay(recorder, result.Response, result.Outcome, "r1", nil); err != nil {
			t.Fatal(err)
		}
		for name, want := range map[string]string{"X-Hop": "", "Connection": "", "X-End": "1", HeaderOutcome: "done"} {
			if got := recorder.Header().Get(name); got != want {
				t.Errorf("response header %s: got %q, want %q", name, got, want)
			}
		}
		forwarder.Close()
	})
}

// BenchmarkSend measures one request over loopback, sent by the Forwarder and by a plain http.Transport.
func BenchmarkSend(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	b.Run("forwarder", func(b *testing.B) {
		fakeSlots := &fakeSlots{}
		forwarder := New("couva-1/1", fakeSlots)
		defer forwarder.Close()
		for b.Loop() {
			ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
			slot, _ := fakeSlots.Acquire("desk-1")
			result := forwarder.Send(Call{
				Endpoint: scheduler.Announcement{Address: address, Slots: 8}, Slot: slot,
				Incoming: httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil), Target: "/",
			})
			_, _ = io.Copy(io.Discard, result.Response.Body)
			_ = result.Response.Body.Close()
			cancel()
		}
	})
	b.Run("plain", func(b *testing.B) {
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		for b.Loop() {
			request, _ := http.NewRequestWithContext(b.Context(), http.MethodGet, server.URL, nil)
			response, err := transport.RoundTrip(request)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
}
