package registrar

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// network connects fake transports in memory and counts the bytes of each message kind.
type network struct {
	mutex        sync.Mutex
	handlers     map[scheduler.VMName]map[scheduler.MessageKind]scheduler.MessageHandler
	disconnected map[scheduler.VMName]bool
	bytes        map[scheduler.MessageKind]int
	latency      time.Duration
}

// transport implements scheduler.Transport for one VM of a network.
type transport struct {
	network *network
	self    scheduler.VMName
}

func newFakeNetwork() *network {
	return &network{
		handlers:     map[scheduler.VMName]map[scheduler.MessageKind]scheduler.MessageHandler{},
		disconnected: map[scheduler.VMName]bool{}, bytes: map[scheduler.MessageKind]int{}, latency: time.Millisecond,
	}
}

func (network *network) update(change func()) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	change()
}

func (transport transport) Self() scheduler.VMName { return transport.self }

func (transport transport) Handle(_ scheduler.GroupName, kind scheduler.MessageKind, handler scheduler.MessageHandler) {
	if transport.network.handlers[transport.self] == nil {
		transport.network.handlers[transport.self] = map[scheduler.MessageKind]scheduler.MessageHandler{}
	}
	transport.network.handlers[transport.self][kind] = handler
}

// deliver calls the handler of the receiver and counts the bytes of both directions. It returns false if either VM is
// disconnected or the handler fails.
func (transport transport) deliver(ctx context.Context, to scheduler.VMName, kind scheduler.MessageKind,
	body []byte,
) ([]byte, bool) {
	transport.network.mutex.Lock()
	disconnected := transport.network.disconnected[to] || transport.network.disconnected[transport.self]
	transport.network.mutex.Unlock()
	if disconnected {
		return nil, false
	}
	reply, err := transport.network.handlers[to][kind](ctx, transport.self, body)
	transport.network.mutex.Lock()
	defer transport.network.mutex.Unlock()
	transport.network.bytes[kind] += len(body) + len(reply)
	return reply, err == nil
}

func (transport transport) Call(ctx context.Context, to scheduler.VMName, _ scheduler.GroupName,
	kind scheduler.MessageKind, body []byte,
) ([]byte, error) {
	reply, ok := transport.deliver(ctx, to, kind, body)
	delay := transport.network.latency
	if !ok {
		delay = time.Hour
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(delay):
		return reply, nil
	}
}

func (transport transport) Send(to scheduler.VMName, _ scheduler.GroupName, kind scheduler.MessageKind, body []byte) {
	_, _ = transport.deliver(context.Background(), to, kind, body)
}

// startRegistrars starts registrars on couva-1, couva-2 and chaguanas-1.
func startRegistrars(t *testing.T, network *network, options ...Option) []*Registrar {
	gateways := []scheduler.Gateway{
		{VM: "couva-1", DataCentre: "couva"},
		{VM: "couva-2", DataCentre: "couva"},
		{VM: "chaguanas-1", DataCentre: "chaguanas"},
	}
	var registrars []*Registrar
	for _, gateway := range gateways {
		registrars = append(registrars, New(gateway, 1, transport{network, gateway.VM},
			func() []scheduler.Gateway { return gateways }, options...))
	}
	for _, registrar := range registrars {
		go func() { _ = registrar.Run(t.Context()) }()
	}
	return registrars
}

// testAnnouncement returns a valid announcement of one of several endpoints of the service sizing.
func testAnnouncement(number int) scheduler.Announcement {
	return scheduler.Announcement{
		Endpoint: scheduler.EndpointName(fmt.Sprintf("desk-%d", number)), Service: "sizing",
		Address:    fmt.Sprintf("10.0.%d.%d:8080", number/250, number%250+1),
		DataCentre: "couva", Incarnation: 1, Slots: 8, Connections: 64,
	}
}

func endpointNames(registrar *Registrar) []string {
	var found []string
	for _, endpoint := range registrar.Endpoints("sizing") {
		found = append(found, string(endpoint.Endpoint))
	}
	return found
}

// TestServeHTTP checks the validation of announcements: a rejection must list all invalid fields, and an oversized
// body must be rejected.
func TestServeHTTP(t *testing.T) {
	valid := `{"endpoint":"a","service":"sizing","address":"10.0.0.1:80","dataCentre":"couva","incarnation":1,"slots":8,"connections":64}`
	cases := map[string]struct {
		method, body string
		status       int
		contains     []string
	}{
		"valid":     {http.MethodPost, valid, 200, []string{`"accepted":true`}},
		"method":    {http.MethodGet, valid, 405, []string{"methodNotAllowed"}},
		"not JSON":  {http.MethodPost, "{", 400, []string{"unreadable"}},
		"too large": {http.MethodPost, `{"endpoint":"` + strings.Repeat("a", maxBodyBytes) + `"}`, 413, []string{"unreadable"}},
		"all faults listed": {
			http.MethodPost, `{"service":"A","address":"0.0.0.0:0","dataCentre":"x","slots":-1,"connections":-2,"inProgress":{"g":-1}}`,
			400,
			[]string{"endpoint:", "service:", "port is 0", "one VM", "dataCentre:", "incarnation:", "slots:", "connections:", "inProgress:"},
		},
		"host name": {http.MethodPost, strings.Replace(valid, "10.0.0.1:80", "desk.example:80", 1), 400, []string{"address:"}},
		"long form": {http.MethodPost, strings.Replace(valid, "10.0.0.1:80", "[0::1]:80", 1), 400, []string{"[::1]:80"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			registrar := New(scheduler.Gateway{VM: "couva-1", DataCentre: "couva"}, 1,
				transport{newFakeNetwork(), "couva-1"}, func() []scheduler.Gateway { return nil })
			recorder := httptest.NewRecorder()
			registrar.ServeHTTP(recorder, httptest.NewRequest(test.method, "/v1/endpoints", strings.NewReader(test.body)))
			if got, want := recorder.Code, test.status; got != want {
				t.Errorf("status: got %d, want %d", got, want)
			}
			for _, want := range test.contains {
				if got := recorder.Body.String(); !strings.Contains(got, want) {
					t.Errorf("body: got %s, want it to contain %s", got, want)
				}
			}
		})
	}
}

// TestAnnounce checks which endpoint is listed if two endpoints or two incarnations compete for an address or a name.
// The steps run in order, and the listings of both gateways are checked 300 ms after the last step.
func TestAnnounce(t *testing.T) {
	type step struct {
		gateway int
		change  func(announcement *scheduler.Announcement)
		code    string
	}
	unchanged := func(*scheduler.Announcement) {}
	sameAddress := func(incarnation scheduler.Incarnation) func(*scheduler.Announcement) {
		return func(a *scheduler.Announcement) { a.Endpoint, a.Incarnation = "twin", incarnation }
	}
	leaving := func(a *scheduler.Announcement) { a.Leaving = true }
	withIncarnation := func(incarnation scheduler.Incarnation) func(*scheduler.Announcement) {
		return func(a *scheduler.Announcement) { a.Incarnation = incarnation }
	}
	cases := map[string]struct {
		steps []step
		want  []string
	}{
		"one":                            {[]step{{0, unchanged, ""}}, []string{"desk-1"}},
		"same address, higher wins":      {[]step{{0, unchanged, ""}, {0, sameAddress(2), ""}}, []string{"twin"}},
		"same address, lower rejected":   {[]step{{0, withIncarnation(3), ""}, {0, sameAddress(2), "addressTaken"}}, []string{"desk-1"}},
		"same address, equal":            {[]step{{0, unchanged, ""}, {0, sameAddress(1), "addressTaken"}, {0, unchanged, "addressTaken"}}, nil},
		"same address, other gateways":   {[]step{{0, unchanged, ""}, {1, sameAddress(1), ""}}, nil},
		"older incarnation":              {[]step{{0, withIncarnation(2), ""}, {0, unchanged, "olderIncarnation"}}, []string{"desk-1"}},
		"leaving":                        {[]step{{0, unchanged, ""}, {0, leaving, ""}}, nil},
		"leaving is final":               {[]step{{0, leaving, ""}, {0, unchanged, ""}, {1, unchanged, ""}}, nil},
		"next incarnation after leaving": {[]step{{0, leaving, ""}, {1, withIncarnation(2), ""}}, []string{"desk-1"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				registrars := startRegistrars(t, newFakeNetwork())
				for _, step := range test.steps {
					announcement := testAnnouncement(1)
					step.change(&announcement)
					code := ""
					if rejected := registrars[step.gateway].Announce(announcement); rejected != nil {
						code = rejected.Code
					}
					if got, want := code, step.code; got != want {
						t.Errorf("code: got %q, want %q", got, want)
					}
				}
				time.Sleep(300 * time.Millisecond)
				for _, registrar := range registrars[:2] {
					if got := endpointNames(registrar); !slices.Equal(got, test.want) {
						t.Errorf("%s: got %v, want %v", registrar.self.VM, got, test.want)
					}
				}
			})
		})
	}
}

// TestExpiry guards against endpoints that stay listed after 3 s without an announcement. Causes would be a missing
// expiry, a disconnected gateway, and two gateways that keep an entry alive by sending it to each other.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork()
		registrars := startRegistrars(t, network)
		_ = registrars[0].Announce(testAnnouncement(1))
		time.Sleep(300 * time.Millisecond)
		received, _ := registrars[1].LastAnnouncement("desk-1")
		original, _ := registrars[0].LastAnnouncement("desk-1")
		if got, want := received.Received, original.Received; got.After(want) {
			t.Errorf("time of the exchanged announcement: got %v, want at most %v", got, want)
		}
		time.Sleep(ttl - 300*time.Millisecond)
		for _, registrar := range registrars[:2] {
			if got := endpointNames(registrar); got != nil {
				t.Errorf("3 s after the last announcement: got %v, want none", got)
			}
		}
		network.update(func() { network.disconnected["couva-2"] = true })
		for range 4 {
			_ = registrars[0].Announce(testAnnouncement(2))
			time.Sleep(time.Second)
		}
		if got := endpointNames(registrars[1]); got != nil {
			t.Errorf("disconnected: got %v, want none", got)
		}
		network.update(func() { network.disconnected["couva-2"] = false })
		_ = registrars[0].Announce(testAnnouncement(2))
		time.Sleep(1500 * time.Millisecond)
		if got, want := endpointNames(registrars[1]), []string{"desk-2"}; !slices.Equal(got, want) {
			t.Errorf("after reconnecting: got %v, want %v", got, want)
		}
	})
}

// TestExchangeLarge checks that all endpoints of a large data centre reach the other gateway although each response is
// limited to maxBatchSize and the endpoints keep announcing, and that no count of requests in progress is lost.
func TestExchangeLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registrars := startRegistrars(t, newFakeNetwork())
		for round := range 3 {
			for number := range 2700 {
				announcement := testAnnouncement(number)
				announcement.InProgress = map[scheduler.GatewayID]int{"couva-1/1": round, "couva-2/1": number % 8}
				_ = registrars[0].Announce(announcement)
			}
			time.Sleep(time.Second)
		}
		if got, want := len(registrars[1].Endpoints("sizing")), 2700; got != want {
			t.Errorf("endpoints: got %d, want %d", got, want)
		}
		received, _ := registrars[1].LastAnnouncement("desk-15")
		if got, want := fmt.Sprint(received.InProgress), "map[couva-1/1:2 couva-2/1:7]"; got != want {
			t.Errorf("in progress: got %s, want %s", got, want)
		}
	})
}

// TestFlood guards against a flood of new names that exhausts memory or blocks the announcements of known endpoints.
func TestFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registrar := startRegistrars(t, newFakeNetwork(), WithTableSize(100), WithAdmissionRate(50, 90))[0]
		codes := map[string]int{}
		for range 3 {
			for number := range 5000 {
				if rejected := registrar.Announce(testAnnouncement(number)); rejected != nil {
					codes[rejected.Code]++
				}
			}
			time.Sleep(time.Second)
		}
		if got, want := fmt.Sprint(codes), "map[tableFull:9800 tooManyNew:4910]"; got != want {
			t.Errorf("rejections: got %s, want %s", got, want)
		}
		for range 30 {
			_ = registrar.Announce(testAnnouncement(1))
		}
		if got, want := registrar.Announce(testAnnouncement(1)).Code, "tooOften"; got != want {
			t.Errorf("code above the rate limit: got %s, want %s", got, want)
		}
		leaving := testAnnouncement(1)
		leaving.Leaving = true
		if rejected := registrar.Announce(leaving); rejected != nil {
			t.Errorf("leaving during a flood: got %v, want it accepted", rejected)
		}
	})
}

// TestSummary guards against summaries that are accepted from an unknown VM and against summaries that never expire.
func TestSummary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork()
		registrars := startRegistrars(t, network, WithCallerAddress("10.1.0.1:80"),
			WithFreeSlots(func(scheduler.ServiceName) int { return 5 }))
		_ = registrars[0].Announce(testAnnouncement(1))
		time.Sleep(1100 * time.Millisecond)
		want := []scheduler.RemoteService{{DataCentre: "couva", Address: "10.1.0.1:80", Endpoints: 1, Slots: 8, Free: 5}}
		if got := registrars[2].Remotes("sizing"); !slices.Equal(got, want) {
			t.Errorf("remotes: got %v, want %v", got, want)
		}
		if _, err := registrars[2].handleSummary(t.Context(), "stranger", []byte{0xa1, 0x61, 0x64, 0x61, 0x78}); err == nil {
			t.Error("summary of an unknown VM: got no error, want one")
		}
		network.update(func() { network.disconnected["chaguanas-1"] = true })
		time.Sleep(ttl)
		if got := registrars[2].Remotes("sizing"); got != nil {
			t.Errorf("remotes after a disconnection: got %v, want none", got)
		}
	})
}

// TestExchangeBytes reports the bytes per second of the exchange between two gateways and of the summaries to another
// data centre while every count of requests in progress changes each second. It guards against an exchange that sends
// unchanged announcements in full.
func TestExchangeBytes(t *testing.T) {
	for _, size := range []int{50, 500, 2700} {
		synctest.Test(t, func(t *testing.T) {
			network := newFakeNetwork()
			registrars := startRegistrars(t, network, WithTableSize(3000))
			const rounds = 20
			for round := range rounds + 3 {
				if round == 3 {
					network.update(func() { clear(network.bytes) })
				}
				for number := range size {
					announcement := testAnnouncement(number)
					announcement.InProgress = map[scheduler.GatewayID]int{
						"couva-1/1": (number + round) % 5, "couva-2/1": (number + round) % 4,
					}
					_ = registrars[number%2].Announce(announcement)
					time.Sleep(time.Second / time.Duration(size))
				}
			}
			var exchange, summaries int
			network.update(func() {
				exchange, summaries = network.bytes[kindAnnouncements]/rounds, network.bytes[kindSummary]/rounds
			})
			t.Logf("%d endpoints: exchange %d B/s, summaries %d B/s", size, exchange, summaries)
			if got, want := exchange, 300+20*size; got > want {
				t.Errorf("exchange: got %d B/s, want at most %d B/s", got, want)
			}
		})
	}
}
