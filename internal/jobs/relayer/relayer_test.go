package relayer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/stopwatch"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fakeNetwork transports messages between VMs. It can delay or reject the messages to a VM.
type fakeNetwork struct {
	mutex    sync.Mutex
	handlers map[scheduler.VMName]map[scheduler.MessageKind]scheduler.MessageHandler
	delays   map[scheduler.VMName]time.Duration
	down     map[scheduler.VMName]bool
}

func newNetwork() *fakeNetwork {
	return &fakeNetwork{
		handlers: map[scheduler.VMName]map[scheduler.MessageKind]scheduler.MessageHandler{},
		delays:   map[scheduler.VMName]time.Duration{}, down: map[scheduler.VMName]bool{},
	}
}

// fakeTransport is the scheduler.Transport of one VM in a fakeNetwork.
type fakeTransport struct {
	network *fakeNetwork
	self    scheduler.VMName
}

func (transport fakeTransport) Self() scheduler.VMName { return transport.self }

func (transport fakeTransport) Send(scheduler.VMName, scheduler.GroupName, scheduler.MessageKind, []byte) {
}

func (transport fakeTransport) Handle(
	_ scheduler.GroupName, kind scheduler.MessageKind, handler scheduler.MessageHandler,
) {
	network := transport.network
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.handlers[transport.self] == nil {
		network.handlers[transport.self] = map[scheduler.MessageKind]scheduler.MessageHandler{}
	}
	network.handlers[transport.self][kind] = handler
}

func (transport fakeTransport) Call(
	ctx context.Context, to scheduler.VMName, _ scheduler.GroupName, kind scheduler.MessageKind, body []byte,
) ([]byte, error) {
	network := transport.network
	network.mutex.Lock()
	handler, delay, down := network.handlers[to][kind], network.delays[to], network.down[to]
	network.mutex.Unlock()
	if down || handler == nil {
		return nil, scheduler.ErrNotRun.New("no connection to %s", to)
	}
	type result struct {
		body []byte
		err  error
	}
	results := make(chan result, 1)
	go func() { // The message arrives even if the sender has stopped waiting.
		time.Sleep(delay)
		response, err := handler(context.Background(), transport.self, body)
		results <- result{body: response, err: err}
	}()
	select {
	case received := <-results:
		return received.body, received.err
	case <-ctx.Done():
		return nil, scheduler.ErrOutcomeUnknown.Wrap(ctx.Err())
	}
}

// recordingClient counts the start orders that a VM sends to workers.
type recordingClient struct {
	mutex  sync.Mutex
	starts int
	err    error
}

func (client *recordingClient) Start(
	context.Context, scheduler.WorkerRef, scheduler.StartOrder,
) (scheduler.OrderResponse, error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.starts++
	return scheduler.OrderResponse{Result: scheduler.OrderAccepted, Clock: time.Second}, client.err
}

func (client *recordingClient) Stop(
	context.Context, scheduler.WorkerRef, scheduler.RunID, scheduler.Term,
) (scheduler.OrderResponse, error) {
	return scheduler.OrderResponse{Result: scheduler.OrderStaleAttempt}, nil
}

func (client *recordingClient) Renew(
	context.Context, scheduler.WorkerRef, scheduler.RenewOrder,
) (scheduler.WorkerReport, error) {
	return scheduler.WorkerReport{
		Result: scheduler.OrderAccepted, Instance: 7, Ended: []scheduler.AttemptEnd{{Number: 3, Kind: scheduler.EndFailed}},
	}, nil
}

func (client *recordingClient) Throttle(
	_ context.Context, _ scheduler.WorkerRef, _ scheduler.RunID, percent int, _ scheduler.Term,
) (scheduler.OrderResponse, error) {
	return scheduler.OrderResponse{Result: scheduler.OrderAccepted, Clock: time.Duration(percent)}, nil
}

func (client *recordingClient) count() int {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.starts
}

// fakeGroup is a group of which this VM is the leader.
type fakeGroup struct{ scheduler.Group }

func (fakeGroup) Name() scheduler.GroupName { return "domain" }
func (fakeGroup) HoldsLeaderLease() bool    { return true }

// domain is a leader with one relay that sends all of its orders.
type domain struct {
	network *fakeNetwork
	relayer *Relayer
	// leaderClient and relayClient record the orders sent by the leader and by the relay.
	leaderClient, relayClient recordingClient
}

func newDomain(t *testing.T) *domain {
	t.Helper()
	domain := &domain{network: newNetwork()}
	domain.restartRelay()
	members := func() []scheduler.VMName { return []scheduler.VMName{self, relayB} }
	domain.relayer = New(
		&domain.leaderClient, fakeTransport{network: domain.network, self: self}, fakeGroup{}, members, WithDirectWorkers(0),
	)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		domain.relayer.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		time.Sleep(time.Minute) // Delayed messages must arrive before the synctest bubble ends.
	})
	time.Sleep(time.Second)
	return domain
}

// restartRelay starts a new process on the relay.
func (domain *domain) restartRelay() {
	Serve(fakeTransport{network: domain.network, self: relayB}, "domain", &domain.relayClient, stopwatch.Start())
}

func (domain *domain) delay(delay time.Duration) {
	domain.network.mutex.Lock()
	defer domain.network.mutex.Unlock()
	domain.network.delays[relayB] = delay
}

func (domain *domain) start(timeout time.Duration, token scheduler.Term) (scheduler.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return domain.relayer.Start(
		ctx, scheduler.WorkerRef{Worker: "w", Address: "10.0.0.1:80"}, scheduler.StartOrder{Token: token},
	)
}

// Guards against responses that are changed by the relay.
func TestOrdersThroughRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		domain := newDomain(t)
		worker := scheduler.WorkerRef{Worker: "w"}
		if response, err := domain.start(time.Second, 1); err != nil || response.Result != scheduler.OrderAccepted ||
			response.Clock != time.Second {
			t.Errorf("start: got %+v and %v, want it accepted at 1 s", response, err)
		}
		if response, err := domain.relayer.Stop(t.Context(), worker, scheduler.RunID{}, 1); err != nil ||
			response.Result != scheduler.OrderStaleAttempt {
			t.Errorf("stop: got %+v and %v, want it rejected as a stale attempt", response, err)
		}
		if response, err := domain.relayer.Throttle(t.Context(), worker, scheduler.RunID{}, 40, 1); err != nil ||
			response.Clock != 40 {
			t.Errorf("throttle: got %+v and %v, want the clock 40", response, err)
		}
		report, err := domain.relayer.Renew(t.Context(), worker, scheduler.RenewOrder{Token: 1})
		if err != nil || report.Instance != 7 || len(report.Ended) != 1 || report.Ended[0].Number != 3 {
			t.Errorf("renewal: got %+v and %v, want the report of instance 7 with end 3", report, err)
		}
		if byLeader, byRelay := domain.leaderClient.count(), domain.relayClient.count(); byLeader != 0 || byRelay != 1 {
			t.Errorf("got %d starts by the leader and %d by the relay, want 0 and 1", byLeader, byRelay)
		}
	})
}

// Guards against a relay that sends an order which the leader has abandoned, after the relay was suspended, partitioned
// or restarted.
func TestPermitExpires(t *testing.T) {
	tests := map[string]struct {
		trigger func(domain *domain)
		sent    bool
	}{
		"in time":                  {trigger: func(*domain) {}, sent: true},
		"order arrives late":       {trigger: func(domain *domain) { domain.delay(permitDuration + 100*time.Millisecond) }},
		"order arrives after 20 s": {trigger: func(domain *domain) { domain.delay(20 * time.Second) }},
		"another process":          {trigger: (*domain).restartRelay},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				domain := newDomain(t)
				test.trigger(domain)
				_, err := domain.start(30*time.Second, 1)
				if sent := domain.relayClient.count() == 1; sent != test.sent {
					t.Errorf("got the order sent: %v, want %v", sent, test.sent)
				}
				if !test.sent && !scheduler.ErrNotRun.Has(err) {
					t.Errorf("got error %v, want one of class notRun", err)
				}
			})
		})
	}
}

// Guards against a relay that still sends orders of the former leader after a change of the leader.
func TestOrderOfFormerLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		domain := newDomain(t)
		for _, token := range []scheduler.Term{5, 4} {
			response, err := domain.start(time.Second, token)
			if want := token == 4; err != nil || (response.Result == scheduler.OrderFenced) != want {
				t.Errorf("token %d: got %+v and %v, want it fenced: %v", token, response, err, want)
			}
		}
		report, err := domain.relayer.Renew(t.Context(), scheduler.WorkerRef{Worker: "w"}, scheduler.RenewOrder{Token: 4})
		if err != nil || report.Result != scheduler.OrderFenced {
			t.Errorf("renewal: got %+v and %v, want it fenced", report, err)
		}
		if got := domain.relayClient.count(); got != 1 {
			t.Errorf("got %d starts, want 1", got)
		}
	})
}

// Guards against workers that receive no orders after a relay is lost, and against orders that wait for it.
func TestLostRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		domain := newDomain(t)
		domain.network.mutex.Lock()
		domain.network.down[relayB] = true
		domain.network.mutex.Unlock()
		if _, err := domain.start(time.Second, 1); !scheduler.ErrNotRun.Has(err) {
			t.Errorf("first order: got error %v, want one of class notRun", err)
		}
		if _, err := domain.start(time.Second, 1); err != nil || domain.leaderClient.count() != 1 {
			t.Errorf("second order: got error %v and %d starts by the leader, want none and 1", err,
				domain.leaderClient.count())
		}
		time.Sleep(maxReadingAge + clockReadInterval)
		domain.relayer.mutex.Lock()
		defer domain.relayer.mutex.Unlock()
		if got := len(domain.relayer.router.relays); got != 0 {
			t.Errorf("got %d relays, want 0", got)
		}
	})
}
