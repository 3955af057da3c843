package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/crocusplank/crocusplank/internal/requests/forwarder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// startCrashingEndpoint starts an endpoint that crashes when it gets a request to /deadly, and returns its address.
// Another path that begins with /slow is answered when release is closed.
func startCrashingEndpoint(t *testing.T, crashes *atomic.Int64, release chan struct{}) string {
	t.Helper()
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/deadly"):
			crashes.Add(1)
			_ = server.Listener.Close()
			server.CloseClientConnections()
		case strings.HasPrefix(r.URL.Path, "/slow"):
			<-release
			echo(w, r)
		default:
			echo(w, r)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// startCrashingEndpoints starts several endpoints and a gateway for them.
func startCrashingEndpoints(
	t *testing.T, count int, crashes *atomic.Int64, release chan struct{},
) (gateway *Gateway, address string) {
	t.Helper()
	var addresses []string
	for range count {
		addresses = append(addresses, startCrashingEndpoint(t, crashes, release))
	}
	return startGateway(t, &fixture{free: 1}, addresses...)
}

// TestRequestCrashesEndpoints guards against a request that crashes one endpoint after another, by retries or resends.
func TestRequestCrashesEndpoints(t *testing.T) {
	const get, post = "GET /sizing/deadly HTTP/1.1\r\nHost: x\r\n", "POST /sizing/deadly HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
	type answer struct {
		status  int
		outcome string
	}
	cases := map[string]struct {
		requests []string
		answers  []answer
		crashes  int64
	}{
		"idempotent": {
			[]string{get, get, get}, []answer{{422, "unknown"}, {422, "unknown"}, {422, "unknown"}}, 2,
		},
		"not idempotent": {
			[]string{post, post, post}, []answer{{502, "unknown"}, {502, "unknown"}, {422, "notRun"}}, 2,
		},
		"resend with the key": {
			[]string{post + "Idempotency-Key: couva:a\r\n", post + "Idempotency-Key: couva:a\r\n", post + "Idempotency-Key: couva:b\r\n", post + "Idempotency-Key: couva:a\r\n"},
			[]answer{{502, "unknown"}, {409, "unknown"}, {502, "unknown"}, {409, "unknown"}},
			2,
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var crashes atomic.Int64
			gateway, address := startCrashingEndpoints(t, 6, &crashes, nil)
			for i, raw := range test.requests {
				response, err := sendRaw(t, address, raw+"\r\n")
				if err != nil {
					t.Fatal(err)
				}
				gateway.outcomeWrites.Wait()
				got := answer{response.status, response.header.Get(forwarder.HeaderOutcome)}
				if want := test.answers[i]; got != want {
					t.Errorf("request %d: got %v (%s), want %v", i, got, response.body, want)
				}
				if got := response.header.Get("Retry-After"); got != "" && response.status == http.StatusUnprocessableEntity {
					t.Errorf("request %d: got Retry-After %s, want none", i, got)
				}
			}
			if got := crashes.Load(); got != test.crashes {
				t.Errorf("crashed endpoints: got %d, want %d", got, test.crashes)
			}
		})
	}
}

// TestBurstOfDeadlyRequests guards against innocent requests that are given up because they ran beside deadly ones.
func TestBurstOfDeadlyRequests(t *testing.T) {
	const deadly, innocents, endpoints = 3, 60, 24
	var crashes atomic.Int64
	release := make(chan struct{})
	_, address := startCrashingEndpoints(t, endpoints, &crashes, release)
	send := func(path string, answers chan<- string) {
		response, err := http.Get("http://" + address + "/sizing/" + path)
		if err != nil {
			answers <- err.Error()
			return
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		answers <- fmt.Sprintf("%d %s", response.StatusCode, body)
	}
	deadlyAnswers, innocentAnswers := make(chan string), make(chan string)
	for number := range innocents {
		go send(fmt.Sprintf("slow-%d", number), innocentAnswers)
	}
	for number := range deadly {
		go send(fmt.Sprintf("deadly-%d", number), deadlyAnswers)
	}
	for range deadly {
		if got, want := <-deadlyAnswers, "422 "; !strings.HasPrefix(got, want) {
			t.Errorf("deadly request: got %q, want %q", got, want)
		}
	}
	close(release)
	for range innocents {
		if got, want := <-innocentAnswers, "200 "; !strings.HasPrefix(got, want) {
			t.Errorf("innocent request: got %q, want %q", got, want)
		}
	}
	if got, want := crashes.Load(), int64(2*deadly); got > want {
		t.Errorf("crashed endpoints: got %d, want at most %d", got, want)
	}
}

// TestCopiesOfDeadlyRequest guards against copies of a suspect that crash an endpoint each because they run at once.
func TestCopiesOfDeadlyRequest(t *testing.T) {
	const copies, post = 12, "POST /sizing/deadly HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	var crashes atomic.Int64
	_, address := startCrashingEndpoints(t, 24, &crashes, nil)
	if _, err := sendRaw(t, address, post); err != nil {
		t.Fatal(err)
	}
	statuses := make(chan int)
	for range copies {
		go func() {
			response, err := sendRaw(t, address, post)
			if err != nil {
				t.Error(err)
			}
			statuses <- response.status
		}()
	}
	counts := map[int]int{}
	for range copies {
		counts[<-statuses]++
	}
	if got, want := counts[http.StatusUnprocessableEntity], copies-1; got != want {
		t.Errorf("copies that were given up: got %d (%v), want %d", got, counts, want)
	}
	if got, want := crashes.Load(), int64(2); got != want {
		t.Errorf("crashed endpoints: got %d, want %d", got, want)
	}
}

// TestSuspectWithoutLocalEndpoint guards against a suspect that is refused although another data centre can answer it,
// and against one that stays suspect although it was answered there.
func TestSuspectWithoutLocalEndpoint(t *testing.T) {
	var crashes atomic.Int64
	working, _ := startEndpoint(t, echo)
	_, remote := startGateway(t, &fixture{free: 1}, working)
	local := &fixture{free: 1, remotes: []scheduler.RemoteService{{DataCentre: "chaguanas", Address: remote, Free: 5}}}
	gateway, _ := startGateway(t, local, startCrashingEndpoint(t, &crashes, nil))
	send := func() *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/sizing/deadly", nil))
		return recorder
	}
	request := &callerRequest{
		incoming: httptest.NewRequest(http.MethodGet, "/sizing/deadly", nil), service: "sizing", target: "/deadly", buffered: []byte{},
	}
	if got, want := send().Code, http.StatusServiceUnavailable; got != want {
		t.Errorf("at the local endpoint: got %d, want %d", got, want)
	}
	if got, want := gateway.isolator.Crashes(request.fingerprint), 1; got != want {
		t.Errorf("crashes after the local endpoint: got %d, want %d", got, want)
	}
	local.free = 0
	for range 2 {
		response := send()
		if got, want := response.Code, http.StatusOK; got != want {
			t.Errorf("at the other data centre: got %d (%s), want %d", got, response.Body, want)
		}
	}
	if got, want := gateway.isolator.Crashes(request.fingerprint), 0; got != want {
		t.Errorf("remembered crashes: got %d, want %d", got, want)
	}
	if got, want := crashes.Load(), int64(1); got != want {
		t.Errorf("crashed endpoints: got %d, want %d", got, want)
	}
}
