package replicator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fakeNetwork connects fakeTransports. Without faults, the messages on a link arrive in order after delay.
type fakeNetwork struct {
	mutex     sync.Mutex
	random    *rand.Rand
	endpoints map[scheduler.VMName]*fakeTransport
	blocked   map[[2]scheduler.VMName]bool
	links     map[[2]scheduler.VMName]chan func()
	delay     time.Duration
	// dropPercent, duplicatePercent and reorder are the faults on every link. With reorder,
	// messages are delayed by up to ten times delay and may overtake one another.
	dropPercent      int
	duplicatePercent int
	reorder          bool
	// filter returns false for messages to be dropped.
	filter   func(from, to scheduler.VMName, kind scheduler.MessageKind) bool
	messages atomic.Int64
	bytes    atomic.Int64
	closed   chan struct{}
}

func newFakeNetwork(seed uint64, delay time.Duration) *fakeNetwork {
	return &fakeNetwork{
		random: newRandom(seed), endpoints: map[scheduler.VMName]*fakeTransport{}, delay: delay,
		blocked: map[[2]scheduler.VMName]bool{}, links: map[[2]scheduler.VMName]chan func(){},
		closed: make(chan struct{}),
	}
}

// block cuts or restores the link in one direction.
func (network *fakeNetwork) block(from, to scheduler.VMName, blocked bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.blocked[[2]scheduler.VMName{from, to}] = blocked
}

// isolate cuts or restores all links of a VM.
func (network *fakeNetwork) isolate(vm scheduler.VMName, isolated bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for other := range network.endpoints {
		network.blocked[[2]scheduler.VMName{vm, other}] = isolated
		network.blocked[[2]scheduler.VMName{other, vm}] = isolated
	}
}

// route returns the receiver, the delay of each copy that arrives (none if the message is lost), and whether
// the copies may overtake other messages.
func (network *fakeNetwork) route(from, to scheduler.VMName, kind scheduler.MessageKind) (
	endpoint *fakeTransport, delays []time.Duration, reorder bool,
) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	endpoint = network.endpoints[to]
	if endpoint == nil || network.blocked[[2]scheduler.VMName{from, to}] ||
		network.filter != nil && !network.filter(from, to, kind) ||
		network.dropPercent > 0 && network.random.IntN(100) < network.dropPercent {
		return nil, nil, false
	}
	delays = []time.Duration{network.delay}
	if network.duplicatePercent > 0 && network.random.IntN(100) < network.duplicatePercent {
		delays = append(delays, network.delay)
	}
	for position := range delays {
		if network.reorder {
			delays[position] += time.Duration(network.random.Int64N(int64(9*network.delay) + 1))
		}
	}
	return endpoint, delays, network.reorder
}

// link returns the queue that delivers the messages on a link in order.
func (network *fakeNetwork) link(from, to scheduler.VMName) chan func() {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	key := [2]scheduler.VMName{from, to}
	if network.links[key] == nil {
		queue := make(chan func(), 8192)
		network.links[key] = queue
		go func() {
			for {
				select {
				case deliver := <-queue:
					deliver()
				case <-network.closed:
					return
				}
			}
		}()
	}
	return network.links[key]
}

// fakeTransport is the Transport of a VM from one start to the next crash.
type fakeTransport struct {
	network        *fakeNetwork
	vm             scheduler.VMName
	handlers       map[scheduler.MessageKind]scheduler.MessageHandler
	disconnected   atomic.Bool
	disconnectedCh chan struct{}
}

func (network *fakeNetwork) connect(vm scheduler.VMName) *fakeTransport {
	return &fakeTransport{
		network: network, vm: vm, disconnectedCh: make(chan struct{}),
		handlers: map[scheduler.MessageKind]scheduler.MessageHandler{},
	}
}

// attach makes transport the receiver of the messages to its VM, in place of that before a restart.
func (network *fakeNetwork) attach(transport *fakeTransport) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.endpoints[transport.vm] = transport
}

func (transport *fakeTransport) disconnect() {
	transport.disconnected.Store(true)
	close(transport.disconnectedCh)
}

func (transport *fakeTransport) Self() scheduler.VMName { return transport.vm }

func (transport *fakeTransport) Handle(_ scheduler.GroupName, kind scheduler.MessageKind, handler scheduler.MessageHandler) {
	transport.handlers[kind] = handler
}

func (transport *fakeTransport) Send(to scheduler.VMName, _ scheduler.GroupName, kind scheduler.MessageKind, body []byte) {
	if transport.disconnected.Load() {
		return
	}
	network := transport.network
	network.messages.Add(1)
	network.bytes.Add(int64(len(body)))
	endpoint, delays, reorder := network.route(transport.vm, to, kind)
	for _, delay := range delays {
		deliver := func() {
			if !endpoint.disconnected.Load() {
				_, _ = endpoint.handlers[kind](context.Background(), transport.vm, body)
			}
		}
		if reorder {
			time.AfterFunc(delay, deliver)
			continue
		}
		due := time.Now().Add(delay)
		network.link(transport.vm, to) <- func() {
			if network.delay > 0 {
				time.Sleep(time.Until(due))
			}
			deliver()
		}
	}
}

var errConnectionBroken = errors.New("connection broken")

// Call delivers a request at most once. If the request or the response is lost, the connection breaks after
// 2 s.
func (transport *fakeTransport) Call(ctx context.Context, to scheduler.VMName, _ scheduler.GroupName,
	kind scheduler.MessageKind, body []byte,
) ([]byte, error) {
	network := transport.network
	endpoint, delays, _ := network.route(transport.vm, to, kind)
	if endpoint != nil && endpoint.disconnected.Load() {
		return nil, scheduler.ErrNotRun.New("connection refused")
	}
	type response struct {
		body []byte
		err  error
	}
	responses := make(chan response, 1)
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if endpoint != nil {
		network.messages.Add(2)
		network.bytes.Add(int64(len(body)))
		go func() {
			time.Sleep(delays[0])
			result, err := endpoint.handlers[kind](callCtx, transport.vm, body)
			if back, delays, _ := network.route(to, transport.vm, kind); back == transport && !endpoint.disconnected.Load() {
				time.Sleep(delays[0])
				network.bytes.Add(int64(len(result)))
				responses <- response{result, err}
			}
		}()
	}
	broken := time.NewTimer(2 * time.Second)
	defer broken.Stop()
	select {
	case response := <-responses:
		return response.body, response.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-transport.disconnectedCh:
	case <-broken.C:
	}
	return nil, errConnectionBroken
}

// set changes the settings of a network that is in use.
func (network *fakeNetwork) set(change func()) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	change()
}
