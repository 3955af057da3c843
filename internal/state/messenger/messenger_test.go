package messenger

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// network connects messengers through in-memory pipes. Its open connections can drop or stall writes.
type network struct {
	mutex     sync.Mutex
	listeners map[string]*listener
	open      []*faultConn
	refuse    atomic.Bool
}

type listener struct {
	accept chan net.Conn
	closed chan struct{}
}

func (listener *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-listener.accept:
		return conn, nil
	case <-listener.closed:
		return nil, net.ErrClosed
	}
}

func (listener *listener) Close() error   { close(listener.closed); return nil }
func (listener *listener) Addr() net.Addr { return &net.TCPAddr{} }

// faultConn is a connection whose writes can be dropped, as by a middlebox that has lost the state of the
// connection, or stalled, as by a peer that does not read.
type faultConn struct {
	net.Conn
	dropWrites  *atomic.Bool
	stallWrites *atomic.Bool
}

func (conn *faultConn) Write(data []byte) (int, error) {
	if conn.dropWrites.Load() {
		return len(data), nil
	}
	for conn.stallWrites.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	return conn.Conn.Write(data)
}

func (network *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	network.mutex.Lock()
	listener := network.listeners[address]
	network.mutex.Unlock()
	if listener == nil || network.refuse.Load() {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	dropWrites, stallWrites := &atomic.Bool{}, &atomic.Bool{}
	dialled := &faultConn{Conn: near, dropWrites: dropWrites, stallWrites: stallWrites}
	select {
	case listener.accept <- &faultConn{Conn: far, dropWrites: dropWrites, stallWrites: &atomic.Bool{}}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.open = append(network.open, dialled)
	return dialled, nil
}

// forEachConn calls change for every connection opened so far.
func (network *network) forEachConn(change func(conn *faultConn)) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	for _, conn := range network.open {
		change(conn)
	}
}

// startPair returns two messengers, "a" and "b"; register adds the handlers of b before it starts.
func startPair(t *testing.T, register func(b *Messenger), options ...Option) (*Messenger, *network) {
	t.Helper()
	network := &network{listeners: map[string]*listener{}}
	peers := map[scheduler.VMName]string{"a": "a:1", "b": "b:1"}
	var messengers []*Messenger
	for name, address := range peers {
		all := append([]Option{WithDialer(network.dial), WithPeerKey("key")}, options...)
		messenger := New(name, peers, all...)
		if name == "b" {
			register(messenger)
		}
		listener := &listener{accept: make(chan net.Conn), closed: make(chan struct{})}
		network.listeners[address] = listener
		mux := http.NewServeMux()
		mux.Handle(Path, messenger)
		server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		messengers = append(messengers, messenger)
	}
	var a *Messenger
	for _, messenger := range messengers {
		messenger.Start()
		t.Cleanup(messenger.Close)
		if messenger.Self() == "a" {
			a = messenger
		}
	}
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
	return a, network
}

// Guards against responses that are delivered to another call because they arrive in another order than the
// requests were sent.
func TestCallGetsItsOwnResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := startPair(t, func(b *Messenger) {
			b.Handle("g", "echo", func(_ context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
				time.Sleep(time.Duration(255-body[0]) * time.Millisecond)
				return body, nil
			})
		})
		var calls sync.WaitGroup
		for value := range 200 {
			calls.Go(func() {
				got, err := a.Call(t.Context(), "b", "g", "echo", []byte{byte(value)})
				if err != nil || len(got) != 1 || got[0] != byte(value) {
					t.Errorf("call %d: got %v, %v; want its own body", value, got, err)
				}
			})
		}
		calls.Wait()
	})
}

// Guards against a connection that stays silent although a new one would work. It must be detected, closed and
// replaced, and the call in flight must not be reported as not run.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, network := startPair(t, func(b *Messenger) {
			b.Handle("g", "echo", func(_ context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
				return body, nil
			})
		})
		network.forEachConn(func(conn *faultConn) { conn.dropWrites.Store(true) })
		start := time.Now()
		_, err := a.Call(t.Context(), "b", "g", "echo", []byte("lost"))
		if !scheduler.ErrOutcomeUnknown.Has(err) {
			t.Errorf("call over a silent connection: got %v, want class unknown", err)
		}
		if got, want := time.Since(start), (readTimeoutHeartbeats+1)*defaultHeartbeatInterval; got > want {
			t.Errorf("silent connection detected after %v, want at most %v", got, want)
		}
		time.Sleep(time.Second)
		got, err := a.Call(t.Context(), "b", "g", "echo", []byte("again"))
		if err != nil || string(got) != "again" {
			t.Errorf("call over the new connection: got %q, %v; want \"again\"", got, err)
		}
	})
}

// Guards against a call that is reported as not run and reaches the peer later.
func TestNotRunIsNeverDelivered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var seen sync.Map
		a, network := startPair(t, func(b *Messenger) {
			b.Handle("g", "note", func(_ context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
				seen.Store(string(body), true)
				return nil, nil
			})
		})
		network.forEachConn(func(conn *faultConn) { conn.stallWrites.Store(true) })
		var calls sync.WaitGroup
		results := make([]error, 20)
		for number := range results {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				defer cancel()
				_, results[number] = a.Call(ctx, "b", "g", "note", []byte{byte('a' + number)})
			})
			if number == 0 {
				time.Sleep(10 * time.Millisecond) // The other calls are queued behind the stalled message.
			}
		}
		calls.Wait()
		network.forEachConn(func(conn *faultConn) { conn.stallWrites.Store(false) })
		time.Sleep(5 * time.Second)
		notRun := 0
		for number, err := range results {
			_, delivered := seen.Load(string([]byte{byte('a' + number)}))
			if scheduler.ErrNotRun.Has(err) {
				notRun++
				if delivered {
					t.Errorf("call %d: reported as not run and delivered", number)
				}
			}
		}
		if notRun == 0 {
			t.Error("no call was cancelled before it was written; the test did not reach the case")
		}
	})
}

// Guards against handler errors that lose their class in transit, which would make a call with an unknown outcome
// look safe to retry, or a process that has exited look like one that is silent.
func TestHandlerErrorsKeepTheirClass(t *testing.T) {
	tests := map[string]struct {
		err         error
		wantNotRun  bool
		wantUnknown bool
		wantClosed  bool
	}{
		"not run": {err: scheduler.ErrNotRun.New("refused"), wantNotRun: true},
		"unknown": {err: scheduler.ErrOutcomeUnknown.New("lost"), wantUnknown: true},
		"refused by the target": {
			err: scheduler.ErrNotRun.Wrap(scheduler.ErrConnectionClosed.New("refused")), wantNotRun: true, wantClosed: true,
		},
		"closed by the target": {
			err:         scheduler.ErrOutcomeUnknown.Wrap(scheduler.ErrConnectionClosed.New("EOF")),
			wantUnknown: true, wantClosed: true,
		},
		"other": {err: errors.New("plain")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, _ := startPair(t, func(b *Messenger) {
					b.Handle("g", "fail", func(context.Context, scheduler.VMName, []byte) ([]byte, error) {
						return nil, test.err
					})
				})
				_, err := a.Call(t.Context(), "b", "g", "fail", nil)
				if got := scheduler.ErrNotRun.Has(err); got != test.wantNotRun {
					t.Errorf("not run: got %v, want %v (%v)", got, test.wantNotRun, err)
				}
				if got := scheduler.ErrOutcomeUnknown.Has(err); got != test.wantUnknown {
					t.Errorf("unknown: got %v, want %v (%v)", got, test.wantUnknown, err)
				}
				if got := scheduler.ErrConnectionClosed.Has(err); got != test.wantClosed {
					t.Errorf("connection closed: got %v, want %v (%v)", got, test.wantClosed, err)
				}
				if err == nil {
					t.Error("got no error, want the handler's")
				}
			})
		})
	}
}

// Guards against a VM that connects without the shared key, and against calls that block on an unreachable peer.
func TestUnreachablePeers(t *testing.T) {
	tests := map[string]struct {
		to      scheduler.VMName
		options []Option
	}{
		"unknown peer": {to: "c"},
		"wrong key":    {to: "b", options: []Option{differentKeys()}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, _ := startPair(t, func(*Messenger) {}, test.options...)
				_, err := a.Call(t.Context(), test.to, "g", "echo", nil)
				if !scheduler.ErrNotRun.Has(err) {
					t.Errorf("got %v, want class not run", err)
				}
			})
		})
	}
}

// Guards against VMs without a shared key that refuse each other. The header of an empty key loses its trailing
// space in transit.
func TestEmptyKeyConnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, _ := startPair(t, func(*Messenger) {}, WithPeerKey(""))
		if !a.Connected("b") {
			t.Error("connected: got false, want true")
		}
	})
}

// differentKeys gives every messenger its own key.
func differentKeys() Option {
	return func(messenger *Messenger) { messenger.peerKey = "key of " + string(messenger.self) }
}
