package overseer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fakeNetwork carries messages between the VMs of a simulation. A VM can be frozen: messages to it are delivered when
// it resumes, even if the sender no longer waits for the response.
type fakeNetwork struct {
	mutex    sync.Mutex
	random   *rand.Rand
	handlers map[scheduler.VMName]map[scheduler.MessageKind]scheduler.MessageHandler
	thawAt   map[scheduler.VMName]time.Time
	// calls are the calls in progress, including those whose sender no longer waits.
	calls sync.WaitGroup
}

func newFakeNetwork(seed uint64) *fakeNetwork {
	return &fakeNetwork{
		random:   rand.New(rand.NewPCG(seed, 3)),
		handlers: map[scheduler.VMName]map[scheduler.MessageKind]scheduler.MessageHandler{},
		thawAt:   map[scheduler.VMName]time.Time{},
	}
}

// freeze suspends a VM for the given duration.
func (network *fakeNetwork) freeze(vm scheduler.VMName, duration time.Duration) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.thawAt[vm] = time.Now().Add(duration)
}

// delay returns the delivery time of a message to a VM.
func (network *fakeNetwork) delay(to scheduler.VMName) time.Duration {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	return max(0, time.Until(network.thawAt[to])) + time.Duration(network.random.Int64N(int64(3*time.Millisecond)))
}

// lastThaw returns when the latest frozen VM has resumed, or will resume.
func (network *fakeNetwork) lastThaw() time.Time {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	var last time.Time
	for _, at := range network.thawAt {
		if at.After(last) {
			last = at
		}
	}
	return last
}

// fakeTransport is the network endpoint of one VM.
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
	handlers := transport.network.handlers
	if handlers[transport.self] == nil {
		handlers[transport.self] = map[scheduler.MessageKind]scheduler.MessageHandler{}
	}
	handlers[transport.self][kind] = handler
}

func (transport fakeTransport) Call(
	ctx context.Context, to scheduler.VMName, _ scheduler.GroupName, kind scheduler.MessageKind, body []byte,
) ([]byte, error) {
	type result struct {
		body []byte
		err  error
	}
	results := make(chan result, 1)
	transport.network.calls.Go(func() {
		time.Sleep(transport.network.delay(to))
		response, err := transport.network.handlers[to][kind](context.Background(), transport.self, body)
		time.Sleep(transport.network.delay(transport.self))
		results <- result{body: response, err: err}
	})
	select {
	case received := <-results:
		return received.body, received.err
	case <-ctx.Done():
		return nil, scheduler.ErrOutcomeUnknown.Wrap(ctx.Err())
	}
}
