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

// network connects fake transports and counts the bytes of each kind.
type network struct {
	mutex    sync.Mutex
	handlers map[scheduler.VMName]map[scheduler.MessageKind]scheduler.MessageHandler
	cut      map[scheduler.VMName]bool
	bytes    map[scheduler.MessageKind]int
	delay    time.Duration
}

type wire struct {
	network *network
	self    scheduler.VMName
}

func newNetwork() *network {
	return &network{
		handlers: map[scheduler.VMName]map[scheduler.MessageKind]scheduler.MessageHandler{},
		cut:      map[scheduler.VMName]bool{}, bytes: map[scheduler.MessageKind]int{}, delay: time.Millisecond,
	}
}

func (network *network) with(change func()) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	change()
}

func (wire wire) Self() scheduler.VMName { return wire.self }

func (wire wire) Handle(_ scheduler.GroupName, kind scheduler.MessageKind, handler scheduler.MessageHandler) {
	if wire.network.handlers[wire.self] == nil {
		wire.network.handlers[wire.self] = map[scheduler.MessageKind]scheduler.MessageHandler{}
	}
	wire.network.handlers[wire.self][kind] = handler
}

// deliver runs the handler at the other end and counts the bytes of both directions.
func (wire wire) deliver(ctx context.Context, to scheduler.VMName, kind scheduler.MessageKind, body []byte) ([]byte, bool) {
	wire.network.mutex.Lock()
	cut := wire.network.cut[to] || wire.network.cut[wire.self]
	wire.network.mutex.Unlock()
	if cut {
		return nil, false
	}
	reply, err := wire.network.handlers[to][kind](ctx, wire.self, body)
	wire.network.mutex.Lock()
	defer wire.network.mutex.Unlock()
	wire.network.bytes[kind] += len(body) + len(reply)
	return reply, err == nil
}

func (wire wire) Call(ctx context.Context, to scheduler.VMName, _ scheduler.GroupName, kind scheduler.MessageKind, body []byte) ([]byte, error) {
	reply, ok := wire.deliver(ctx, to, kind, body)
	wait := wire.network.delay
	if !ok {
		wait = time.Hour
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(wait):
		return reply, nil
	}
}

func (wire wire) Send(to scheduler.VMName, _ scheduler.GroupName, kind scheduler.MessageKind, body []byte) {
	_, _ = wire.deliver(context.Background(), to, kind, body)
}

// start returns running registrars of couva-1, couva-2 and chaguanas-1.
func start(t *testing.T, network *network, options ...Option) []*Registrar {
	gateways := []scheduler.Gateway{{VM: "couva-1", DataCentre: "couva"}, {VM: "couva-2", DataCentre: "couva"}, {VM: "chaguanas-1", DataCentre: "chaguanas"}}
	var made []*Registrar
	for _, gateway := range gateways {
		made = append(made, New(gateway, 1, wire{network, gateway.VM}, func() []scheduler.Gateway { return gateways }, options...))
	}
	for _, registrar := range made {
		go func() { _ = registrar.Run(t.Context()) }()
	}
	return made
}

func desk(number int) scheduler.Announcement {
	return scheduler.Announcement{
		Endpoint: scheduler.EndpointName(fmt.Sprintf("desk-%d", number)), Service: "sizing", Address: fmt.Sprintf("10.0.%d.%d:8080", number/250, number%250+1),
		DataCentre: "couva", Incarnation: 1, Slots: 8, Connections: 64,
	}
}

func names(registrar *Registrar) []string {
	var found []string
	for _, endpoint := range registrar.Endpoints("sizing") {
		found = append(found, string(endpoint.Endpoint))
	}
	return found
}

// TestServeHTTP guards against refusals that name only the first fault, and against oversized input.
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
		"too large": {http.MethodPost, `{"endpoint":"` + strings.Repeat("a", bodyLimit) + `"}`, 413, []string{"unreadable"}},
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
			registrar := New(scheduler.Gateway{VM: "couva-1", DataCentre: "couva"}, 1, wire{newNetwork(), "couva-1"}, func() []scheduler.Gateway { return nil })
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

// TestAnnounce guards against work for the wrong one of two endpoints: steps run in order, and the
// listing of both gateways is checked 300 ms after the last step.
func TestAnnounce(t *testing.T) {
	type step struct {
		gateway int
		change  func(announcement *scheduler.Announcement)
		code    string
	}
	plain := func(*scheduler.Announcement) {}
	twin := func(incarnation scheduler.Incarnation) func(*scheduler.Announcement) {
		return func(a *scheduler.Announcement) { a.Endpoint, a.Incarnation = "twin", incarnation }
	}
	leave := func(a *scheduler.Announcement) { a.Leaving = true }
	life := func(incarnation scheduler.Incarnation) func(*scheduler.Announcement) {
		return func(a *scheduler.Announcement) { a.Incarnation = incarnation }
	}
	cases := map[string]struct {
		steps []step
		want  []string
	}{
		"one":                          {[]step{{0, plain, ""}}, []string{"desk-1"}},
		"same address, higher wins":    {[]step{{0, plain, ""}, {0, twin(2), ""}}, []string{"twin"}},
		"same address, lower refused":  {[]step{{0, life(3), ""}, {0, twin(2), "addressTaken"}}, []string{"desk-1"}},
		"same address, equal":          {[]step{{0, plain, ""}, {0, twin(1), "addressTaken"}, {0, plain, "addressTaken"}}, nil},
		"same address, other gateways": {[]step{{0, plain, ""}, {1, twin(1), ""}}, nil},
		"older incarnation":            {[]step{{0, life(2), ""}, {0, plain, "olderIncarnation"}}, []string{"desk-1"}},
		"leaving":                      {[]step{{0, plain, ""}, {0, leave, ""}}, nil},
		"leaving is final":             {[]step{{0, leave, ""}, {0, plain, ""}, {1, plain, ""}}, nil},
		"next life after leaving":      {[]step{{0, leave, ""}, {1, life(2), ""}}, []string{"desk-1"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				registrars := start(t, newNetwork())
				for _, step := range test.steps {
					announcement := desk(1)
					step.change(&announcement)
					code := ""
					if refused := registrars[step.gateway].Announce(announcement); refused != nil {
						code = refused.Code
					}
					if got, want := code, step.code; got != want {
						t.Errorf("code: got %q, want %q", got, want)
					}
				}
				time.Sleep(300 * time.Millisecond)
				for _, registrar := range registrars[:2] {
					if got := names(registrar); !slices.Equal(got, test.want) {
						t.Errorf("%s: got %v, want %v", registrar.self.VM, got, test.want)
					}
				}
			})
		})
	}
}

// TestExpiry guards against endpoints that outlive 3 s without an announcement: silence, a cut between
// gateways, and gateways that keep an entry alive by repeating it to each other.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork()
		registrars := start(t, network)
		_ = registrars[0].Announce(desk(1))
		time.Sleep(300 * time.Millisecond)
		heard, _ := registrars[1].LastAnnouncement("desk-1")
		own, _ := registrars[0].LastAnnouncement("desk-1")
		if got, want := heard.Received, own.Received; got.After(want) {
			t.Errorf("exchange made an announcement younger: got %v, want at most %v", got, want)
		}
		time.Sleep(lifetime - 300*time.Millisecond)
		for _, registrar := range registrars[:2] {
			if got := names(registrar); got != nil {
				t.Errorf("after 3 s of silence: got %v, want none", got)
			}
		}
		network.with(func() { network.cut["couva-2"] = true })
		for range 4 {
			_ = registrars[0].Announce(desk(2))
			time.Sleep(time.Second)
		}
		if got := names(registrars[1]); got != nil {
			t.Errorf("cut off: got %v, want none", got)
		}
		network.with(func() { network.cut["couva-2"] = false })
		_ = registrars[0].Announce(desk(2))
		time.Sleep(1500 * time.Millisecond)
		if got, want := names(registrars[1]), []string{"desk-2"}; !slices.Equal(got, want) {
			t.Errorf("after the cut: got %v, want %v", got, want)
		}
	})
}

// TestExchangeLarge guards against a batch limit that never lets all of a large data centre through
// while its endpoints go on announcing, and against lost counts of requests in progress.
func TestExchangeLarge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registrars := start(t, newNetwork())
		for round := range 3 {
			for number := range 2700 {
				announcement := desk(number)
				announcement.InProgress = map[scheduler.GatewayID]int{"couva-1/1": round, "couva-2/1": number % 8}
				_ = registrars[0].Announce(announcement)
			}
			time.Sleep(time.Second)
		}
		if got, want := len(registrars[1].Endpoints("sizing")), 2700; got != want {
			t.Errorf("endpoints: got %d, want %d", got, want)
		}
		heard, _ := registrars[1].LastAnnouncement("desk-15")
		if got, want := fmt.Sprint(heard.InProgress), "map[couva-1/1:2 couva-2/1:7]"; got != want {
			t.Errorf("in progress: got %s, want %s", got, want)
		}
	})
}

// TestFlood guards against a flood of new names that fills the memory or stops known endpoints.
func TestFlood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registrar := start(t, newNetwork(), WithTableSize(100), WithAdmissionRate(50, 90))[0]
		codes := map[string]int{}
		for range 3 {
			for number := range 5000 {
				if refused := registrar.Announce(desk(number)); refused != nil {
					codes[refused.Code]++
				}
			}
			time.Sleep(time.Second)
		}
		if got, want := fmt.Sprint(codes), "map[tableFull:9800 tooManyNew:4910]"; got != want {
			t.Errorf("refusals: got %s, want %s", got, want)
		}
		for range 30 {
			_ = registrar.Announce(desk(1))
		}
		if got, want := registrar.Announce(desk(1)).Code, "tooOften"; got != want {
			t.Errorf("repeats: got %s, want %s", got, want)
		}
		leaving := desk(1)
		leaving.Leaving = true
		if refused := registrar.Announce(leaving); refused != nil {
			t.Errorf("leaving during a flood: got %v, want it accepted", refused)
		}
	})
}

// TestSummary guards against summaries that a stranger sends and against ones that never expire.
func TestSummary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newNetwork()
		registrars := start(t, network, WithCallerAddress("10.1.0.1:80"), WithFreeSlots(func(scheduler.ServiceName) int { return 5 }))
		_ = registrars[0].Announce(desk(1))
		time.Sleep(1100 * time.Millisecond)
		want := []scheduler.RemoteService{{DataCentre: "couva", Address: "10.1.0.1:80", Endpoints: 1, Slots: 8, Free: 5}}
		if got := registrars[2].Remotes("sizing"); !slices.Equal(got, want) {
			t.Errorf("remotes: got %v, want %v", got, want)
		}
		if _, err := registrars[2].receiveSummary(t.Context(), "stranger", []byte{0xa1, 0x61, 0x64, 0x61, 0x78}); err == nil {
			t.Error("summary of a stranger: got no error, want one")
		}
		network.with(func() { network.cut["chaguanas-1"] = true })
		time.Sleep(lifetime)
		if got := registrars[2].Remotes("sizing"); got != nil {
			t.Errorf("remotes after a cut: got %v, want none", got)
		}
	})
}

// TestExchangeBytes reports the bytes per second of the exchange between two gateways and of the
// summaries to one other gateway while every count of requests in progress changes each second. It
// guards against an exchange that sends whole announcements again.
func TestExchangeBytes(t *testing.T) {
	for _, size := range []int{50, 500, 2700} {
		synctest.Test(t, func(t *testing.T) {
			network := newNetwork()
			registrars := start(t, network, WithTableSize(3000))
			const rounds = 20
			for round := range rounds + 3 {
				if round == 3 {
					network.with(func() { clear(network.bytes) })
				}
				for number := range size {
					announcement := desk(number)
					announcement.InProgress = map[scheduler.GatewayID]int{"couva-1/1": (number + round) % 5, "couva-2/1": (number + round) % 4}
					_ = registrars[number%2].Announce(announcement)
					time.Sleep(time.Second / time.Duration(size))
				}
			}
			var exchange, summaries int
			network.with(func() {
				exchange, summaries = network.bytes[kindAnnouncements]/rounds, network.bytes[kindSummary]/rounds
			})
			t.Logf("%d endpoints: exchange %d B/s, summaries %d B/s", size, exchange, summaries)
			if got, want := exchange, 300+20*size; got > want {
				t.Errorf("exchange: got %d B/s, want at most %d B/s", got, want)
			}
		})
	}
}
