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

// fakeNetwork carries messages between VMs and can hold back or lose those to a VM.
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

// fakeTransport is the part of one VM in the network.
type fakeTransport struct {
	network *fakeNetwork
	self    scheduler.VMName
}

func (transport fakeTransport) Self() scheduler.VMName { return transport.self }

func (transport fakeTransport) Send(scheduler.VMName, scheduler.GroupName, scheduler.MessageKind, []byte) {
}

func (transport fakeTransport) Handle(_ scheduler.GroupName, kind scheduler.MessageKind, handler scheduler.MessageHandler) {
	network := transport.network
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if network.handlers[transport.self] == nil {
		network.handlers[transport.self] = map[scheduler.MessageKind]scheduler.MessageHandler{}
	}
	network.handlers[transport.self][kind] = handler
}

func (transport fakeTransport) Call(ctx context.Context, to scheduler.VMName, _ scheduler.GroupName, kind scheduler.MessageKind, body []byte) ([]byte, error) {
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
	go func() { // The message arrives also when its sender no longer waits.
		time.Sleep(delay)
		answer, err := handler(context.Background(), transport.self, body)
		results <- result{body: answer, err: err}
	}()
	select {
	case answered := <-results:
		return answered.body, answered.err
	case <-ctx.Done():
		return nil, scheduler.ErrOutcomeUnknown.Wrap(ctx.Err())
	}
}

// recordingClient counts the orders that a VM sends to workers.
type recordingClient struct {
	mutex  sync.Mutex
	starts int
	err    error
}

func (client *recordingClient) Start(context.Context, scheduler.WorkerRef, scheduler.StartOrder) (scheduler.OrderResponse, error) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.starts++
	return scheduler.OrderResponse{Result: scheduler.OrderAccepted, Clock: time.Second}, client.err
}

func (client *recordingClient) Stop(context.Context, scheduler.WorkerRef, scheduler.RunID, scheduler.Term) (scheduler.OrderResponse, error) {
	return scheduler.OrderResponse{Result: scheduler.OrderStaleAttempt}, nil
}

func (client *recordingClient) Renew(context.Context, scheduler.WorkerRef, scheduler.RenewOrder) (scheduler.WorkerReport, error) {
	return scheduler.WorkerReport{Result: scheduler.OrderAccepted, Instance: 7, Ended: []scheduler.AttemptEnd{{Number: 3, Kind: scheduler.EndFailed}}}, nil
}

func (client *recordingClient) Throttle(_ context.Context, _ scheduler.WorkerRef, _ scheduler.RunID, percent int, _ scheduler.Term) (scheduler.OrderResponse, error) {
	return scheduler.OrderResponse{Result: scheduler.OrderAccepted, Clock: time.Duration(percent)}, nil
}

func (client *recordingClient) count() int {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	return client.starts
}

// fakeGroup leads.
type fakeGroup struct{ scheduler.Group }

func (fakeGroup) Name() scheduler.GroupName { return "domain" }
func (fakeGroup) HoldsLeaderLease() bool    { return true }

// domain is a leader with one other VM that sends all of its orders.
type domain struct {
	network *fakeNetwork
	relayer *Relayer
	// near and far record what the leader and the other VM send.
	near, far recordingClient
}

func newDomain(t *testing.T) *domain {
	t.Helper()
	domain := &domain{network: newNetwork()}
	domain.restartHelper()
	members := func() []scheduler.VMName { return []scheduler.VMName{self, helperB} }
	domain.relayer = New(&domain.near, fakeTransport{network: domain.network, self: self}, fakeGroup{}, members, WithDirectWorkers(0))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		domain.relayer.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		time.Sleep(time.Minute) // Messages that were held back end before the bubble does.
	})
	time.Sleep(time.Second)
	return domain
}

// restartHelper begins a new process on the other VM.
func (domain *domain) restartHelper() {
	Serve(fakeTransport{network: domain.network, self: helperB}, "domain", &domain.far, stopwatch.Start())
}

func (domain *domain) delay(delay time.Duration) {
	domain.network.mutex.Lock()
	defer domain.network.mutex.Unlock()
	domain.network.delays[helperB] = delay
}

func (domain *domain) start(timeout time.Duration, token scheduler.Term) (scheduler.OrderResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return domain.relayer.Start(ctx, scheduler.WorkerRef{Worker: "w", Address: "10.0.0.1:80"}, scheduler.StartOrder{Token: token})
}

// Guards against answers that change on their way through another VM.
func TestOrdersThroughAnotherVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		domain := newDomain(t)
		worker := scheduler.WorkerRef{Worker: "w"}
		if answer, err := domain.start(time.Second, 1); err != nil || answer.Result != scheduler.OrderAccepted || answer.Clock != time.Second {
			t.Errorf("start: got %+v and %v, want it accepted at 1 s", answer, err)
		}
		if answer, err := domain.relayer.Stop(t.Context(), worker, scheduler.RunID{}, 1); err != nil || answer.Result != scheduler.OrderStaleAttempt {
			t.Errorf("stop: got %+v and %v, want it outdated", answer, err)
		}
		if answer, err := domain.relayer.Throttle(t.Context(), worker, scheduler.RunID{}, 40, 1); err != nil || answer.Clock != 40 {
			t.Errorf("throttle: got %+v and %v, want the clock 40", answer, err)
		}
		report, err := domain.relayer.Renew(t.Context(), worker, scheduler.RenewOrder{Token: 1})
		if err != nil || report.Instance != 7 || len(report.Ended) != 1 || report.Ended[0].Number != 3 {
			t.Errorf("renewal: got %+v and %v, want the report of life 7 with end 3", report, err)
		}
		if near, far := domain.near.count(), domain.far.count(); near != 0 || far != 1 {
			t.Errorf("got %d starts by the leader and %d by the other VM, want 0 and 1", near, far)
		}
	})
}

// Guards against a VM that was frozen or cut off, or whose process has changed, and sends an order that the leader has
// given up meanwhile.
func TestPermitEnds(t *testing.T) {
	tests := map[string]struct {
		disturb func(domain *domain)
		sent    bool
	}{
		"in time":                  {disturb: func(*domain) {}, sent: true},
		"order arrives late":       {disturb: func(domain *domain) { domain.delay(permitDuration + 100*time.Millisecond) }},
		"order arrives after 20 s": {disturb: func(domain *domain) { domain.delay(20 * time.Second) }},
		"another process":          {disturb: (*domain).restartHelper},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				domain := newDomain(t)
				test.disturb(domain)
				_, err := domain.start(30*time.Second, 1)
				if sent := domain.far.count() == 1; sent != test.sent {
					t.Errorf("got the order sent: %v, want %v", sent, test.sent)
				}
				if !test.sent && !scheduler.ErrNotRun.Has(err) {
					t.Errorf("got error %v, want one of class notRun", err)
				}
			})
		})
	}
}

// Guards against a VM that sends the orders of two leaders after a hand-over.
func TestOrderOfFormerLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		domain := newDomain(t)
		for _, token := range []scheduler.Term{5, 4} {
			answer, err := domain.start(time.Second, token)
			if want := token == 4; err != nil || (answer.Result == scheduler.OrderFenced) != want {
				t.Errorf("token %d: got %+v and %v, want it fenced: %v", token, answer, err, want)
			}
		}
		report, err := domain.relayer.Renew(t.Context(), scheduler.WorkerRef{Worker: "w"}, scheduler.RenewOrder{Token: 4})
		if err != nil || report.Result != scheduler.OrderFenced {
			t.Errorf("renewal: got %+v and %v, want it fenced", report, err)
		}
		if got := domain.far.count(); got != 1 {
			t.Errorf("got %d starts, want 1", got)
		}
	})
}

// Guards against workers that nobody calls while the other VM is lost, and against orders that wait for it.
func TestHelperIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		domain := newDomain(t)
		domain.network.mutex.Lock()
		domain.network.down[helperB] = true
		domain.network.mutex.Unlock()
		if _, err := domain.start(time.Second, 1); !scheduler.ErrNotRun.Has(err) {
			t.Errorf("first order: got error %v, want one of class notRun", err)
		}
		if _, err := domain.start(time.Second, 1); err != nil || domain.near.count() != 1 {
			t.Errorf("second order: got error %v and %d starts by the leader, want none and 1", err, domain.near.count())
		}
		time.Sleep(permitAge + permitInterval)
		domain.relayer.mutex.Lock()
		defer domain.relayer.mutex.Unlock()
		if got := len(domain.relayer.router.helpers); got != 0 {
			t.Errorf("got %d VMs that may send orders, want 0", got)
		}
	})
}
