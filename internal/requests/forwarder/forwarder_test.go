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

// shares is a fake of scheduler.ShareSource that counts what happened to the slots.
type shares struct {
	mutex               sync.Mutex
	expired, full       bool
	released, abandoned int
	open                int
}

type slot struct {
	shares     *shares
	connection bool
	once       sync.Once
}

func (shares *shares) Acquire(scheduler.EndpointName) (scheduler.Slot, bool) {
	return &slot{shares: shares}, true
}
func (shares *shares) Free(scheduler.EndpointName) int { return 1 }

func (shares *shares) AcquireConnection(scheduler.EndpointName) (scheduler.Slot, bool) {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	shares.open++
	return &slot{shares: shares, connection: true}, !shares.full
}

func (slot *slot) Valid() bool { return !slot.shares.expired }
func (slot *slot) Release()    { slot.end(&slot.shares.released) }
func (slot *slot) Abandon()    { slot.end(&slot.shares.abandoned) }

func (slot *slot) end(count *int) {
	slot.once.Do(func() {
		slot.shares.mutex.Lock()
		defer slot.shares.mutex.Unlock()
		if slot.connection {
			slot.shares.open--
		} else {
			*count++
		}
	})
}

// endpoint is a stand-in endpoint behind in-memory connections. serve gets the requests with their number
// and returns the raw response; "close" closes the connection, "swallow" never answers, "refuse" refuses
// the connection that would follow.
type endpoint struct {
	mutex    sync.Mutex
	serve    func(number int, request *http.Request) string
	requests []string
	refuse   bool
}

func (endpoint *endpoint) dial(context.Context, string) (net.Conn, error) {
	if endpoint.refuse {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	go endpoint.run(far)
	return near, nil
}

func (endpoint *endpoint) run(far net.Conn) {
	defer func() { _ = far.Close() }()
	reader := bufio.NewReader(far)
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
			_, _ = io.Copy(io.Discard, far)
			return
		default:
			_, _ = io.WriteString(far, reply)
		}
	}
}

const plain = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func always(reply string) func(int, *http.Request) string {
	return func(int, *http.Request) string { return reply }
}

// second answers the first request and, on the connection that is then reused, the second one otherwise.
func second(reply string) func(int, *http.Request) string {
	return func(number int, request *http.Request) string {
		if number == 0 || request.Method == http.MethodOptions {
			return plain
		}
		return reply
	}
}

// TestSend guards against outcomes that are not true, above all notRun for a request that reached the
// endpoint, and against requests that net/http repeats on its own. The last of count requests is checked.
func TestSend(t *testing.T) {
	cases := map[string]struct {
		endpoint       *endpoint
		shares         *shares
		method, body   string
		count          int
		want           scheduler.Outcome
		seen           int
		slots          string
		silent, badded bool
	}{
		"answered":                      {endpoint: &endpoint{serve: always(plain)}, method: "POST", body: "x", count: 1, want: "done", seen: 1, slots: "released"},
		"answered on a reused one":      {endpoint: &endpoint{serve: always(plain)}, method: "POST", body: "x", count: 2, want: "done", seen: 2, slots: "released"},
		"connection refused":            {endpoint: &endpoint{refuse: true}, method: "POST", count: 1, want: "notRun", slots: "released"},
		"no connection in the share":    {shares: &shares{full: true}, method: "POST", count: 1, want: "notRun", slots: "released"},
		"share expired":                 {endpoint: &endpoint{serve: always(plain)}, shares: &shares{expired: true}, method: "POST", body: "x", count: 1, want: "notRun", slots: "released"},
		"refused by the endpoint":       {endpoint: &endpoint{serve: always("HTTP/1.1 503 Busy\r\nCrocusplank-Outcome: notRun\r\nContent-Length: 0\r\n\r\n")}, method: "POST", count: 1, want: "notRun", seen: 1, slots: "released"},
		"plain 503":                     {endpoint: &endpoint{serve: always("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")}, method: "POST", count: 1, want: "done", seen: 1, slots: "released"},
		"closed after the request":      {endpoint: &endpoint{serve: always("close")}, method: "POST", body: "x", count: 1, want: "unknown", seen: 1, slots: "abandoned"},
		"reused closed, GET":            {endpoint: &endpoint{serve: second("close")}, method: "GET", count: 2, want: "unknown", seen: 2, slots: "abandoned"},
		"reused closed, HEAD":           {endpoint: &endpoint{serve: second("close")}, method: "HEAD", count: 2, want: "unknown", seen: 2, slots: "abandoned"},
		"reused closed, POST":           {endpoint: &endpoint{serve: second("close")}, method: "POST", count: 2, want: "unknown", seen: 2, slots: "abandoned"},
		"reused closed, POST with body": {endpoint: &endpoint{serve: second("close")}, method: "POST", body: "x", count: 2, want: "unknown", seen: 2, slots: "abandoned"},
		"not HTTP":                      {endpoint: &endpoint{serve: always("nonsense\r\n\r\n")}, method: "POST", count: 1, want: "unknown", seen: 1, slots: "abandoned"},
		"headers too large":             {endpoint: &endpoint{serve: always("HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*responseHeaderLimit) + "\r\n\r\n")}, method: "GET", count: 1, want: "unknown", seen: 1, slots: "abandoned"},
		"silent connection":             {endpoint: &endpoint{serve: second("swallow")}, method: "GET", count: 2, want: "unknown", seen: 2, slots: "abandoned", silent: true},
		"silent endpoint":               {endpoint: &endpoint{serve: always("swallow")}, method: "GET", count: 1, want: "unknown", seen: 1, slots: "abandoned", badded: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stand, shares, badded := test.endpoint, cmp.Or(test.shares, &shares{}), false
				if stand == nil {
					stand = &endpoint{}
				}
				forwarder := New("couva-1/1", shares, WithDial(stand.dial), WithUnresponsiveHandler(func(scheduler.EndpointName) { badded = true }))
				var result Result
				for range test.count {
					ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
					defer cancel()
					incoming := httptest.NewRequestWithContext(ctx, test.method, "/ignored", nil)
					taken, _ := shares.Acquire("desk-1")
					shares.released, shares.abandoned = 0, 0
					result = forwarder.Send(Call{
						Endpoint: scheduler.Announcement{Endpoint: "desk-1", Address: "10.0.0.1:80", Slots: 8}, Slot: taken, Incoming: incoming,
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
				stand.mutex.Lock()
				if got, want := len(stand.requests), test.seen; got != want {
					t.Errorf("requests at the endpoint: got %d %v, want %d", got, stand.requests, want)
				}
				stand.mutex.Unlock()
				if got, want := map[bool]string{true: "released"}[shares.released == 1]+map[bool]string{true: "abandoned"}[shares.abandoned == 1], test.slots; got != want {
					t.Errorf("slot: got %s, want %s", got, want)
				}
				if got, want := result.Stalled, test.silent; got != want {
					t.Errorf("silent: got %v, want %v", got, want)
				}
				if got, want := badded, test.badded; got != want {
					t.Errorf("endpoint reported bad: got %v, want %v", got, want)
				}
				if got := len(forwarder.pools); test.silent && got != 0 {
					t.Errorf("pools kept after a silent connection: got %d, want 0", got)
				}
				forwarder.Close()
				synctest.Wait()
				if got := shares.open; !shares.full && got != 0 {
					t.Errorf("open connections after Close: got %d, want 0", got)
				}
			})
		})
	}
}

// TestHeaders guards against headers of one connection that reach the other, and against a missing
// deadline.
func TestHeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got http.Header
		endpoint := &endpoint{serve: func(_ int, request *http.Request) string {
			got = request.Header
			return "HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 1\r\nContent-Length: 0\r\n\r\n"
		}}
		shares := &shares{}
		forwarder := New("couva-1/1", shares, WithDial(endpoint.dial))
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		incoming := httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
		incoming.Header = http.Header{"Connection": {"close, X-Private"}, "X-Private": {"1"}, "Upgrade": {"h2c"}, "Te": {"trailers"}, "X-End": {"1"}, HeaderIdempotencyKey: {"own"}}
		taken, _ := shares.Acquire("desk-1")
		result := forwarder.Send(Call{Endpoint: scheduler.Announcement{Address: "10.0.0.1:80"}, Slot: taken, Incoming: incoming, Target: "//a%2Fb?c", RequestID: "r1"})
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

// BenchmarkSend measures one exchange over loopback: by the Forwarder and by a plain transport.
func BenchmarkSend(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	b.Run("forwarder", func(b *testing.B) {
		shares := &shares{}
		forwarder := New("couva-1/1", shares)
		defer forwarder.Close()
		for b.Loop() {
			ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
			taken, _ := shares.Acquire("desk-1")
			result := forwarder.Send(Call{
				Endpoint: scheduler.Announcement{Address: address, Slots: 8}, Slot: taken,
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
