package messenger

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// countingConn counts the bytes that are written to it.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

func (conn countingConn) Write(data []byte) (int, error) {
	count, err := conn.Conn.Write(data)
	conn.written.Add(int64(count))
	return count, err
}

// Guards against heartbeats that alone exceed a VM's budget for control traffic, 4 KB/s, with nine entry VMs. That is
// the current maximum; each of them has one connection to and one from every other.
func TestIdleTrafficFitsTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var written atomic.Int64
		startPair(t, func(*Messenger) {}, func(messenger *Messenger) {
			transport := messenger.client.Transport.(*http.Transport)
			dial := transport.DialContext
			transport.DialContext = func(ctx context.Context, kind, address string) (net.Conn, error) {
				conn, err := dial(ctx, kind, address)
				return countingConn{Conn: conn, written: &written}, err
			}
		})
		time.Sleep(5 * time.Second)
		before := written.Load()
		time.Sleep(100 * time.Second)
		// Two dialled connections are counted, one in each direction. Both sides of a connection send
		// the same heartbeats.
		perConnection := float64(written.Load()-before) / 100 / 2
		const peers, connectionsPerPeer = 8, 2
		got := perConnection * peers * connectionsPerPeer
		t.Logf("heartbeats: %.1f bytes/s per connection and direction, %.0f bytes/s sent by one of nine idle VMs", perConnection, got)
		if perConnection == 0 || got > 4096 {
			t.Errorf("idle traffic: got %.0f bytes/s, want more than 0 and at most 4096", got)
		}
	})
}

// BenchmarkCall measures a call and its response over loopback sockets.
func BenchmarkCall(b *testing.B) {
	for _, size := range []int{64, 1 << 10, 16 << 10} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) { benchmarkCall(b, size) })
	}
}

func benchmarkCall(b *testing.B, size int) {
	peers := map[scheduler.VMName]string{"a": "127.0.0.1:1", "b": ""}
	responder := New("b", peers)
	responder.Handle("g", "echo", func(_ context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
		return body, nil
	})
	mux := http.NewServeMux()
	mux.Handle(Path, responder)
	server := httptest.NewServer(mux)
	defer server.Close()
	defer responder.Close()
	peers["b"] = server.Listener.Addr().String()
	requester := New("a", peers)
	requester.Start()
	defer requester.Close()
	for !requester.Connected("b") {
		time.Sleep(time.Millisecond)
	}
	body := make([]byte, size)
	b.SetBytes(int64(size))
	b.ReportAllocs()
	b.RunParallel(func(worker *testing.PB) {
		for worker.Next() {
			if _, err := requester.Call(b.Context(), "b", "g", "echo", body); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// Guards against responses that are counted under no kind or under another kind than their calls, and against
// messages that only one side counts.
func TestTrafficByKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b *Messenger
		a, _ := startPair(t, func(messenger *Messenger) {
			b = messenger
			b.Handle("g", "echo", func(_ context.Context, _ scheduler.VMName, body []byte) ([]byte, error) { return body, nil })
			b.Handle("g", "tell", func(context.Context, scheduler.VMName, []byte) ([]byte, error) { return nil, nil })
		})
		for range 3 {
			if _, err := a.Call(t.Context(), "b", "g", "echo", make([]byte, 100)); err != nil {
				t.Fatal(err)
			}
		}
		a.Send("b", "g", "tell", make([]byte, 10))
		synctest.Wait()
		counts := map[scheduler.MessageKind]Traffic{}
		for _, traffic := range a.Traffic() {
			counts[traffic.Kind] = traffic
		}
		if got := counts["echo"]; got.SentMessages != 3 || got.ReceivedMessages != 3 || got.SentBytes < 300 || got.ReceivedBytes < 300 {
			t.Errorf("calls: got %+v, want 3 messages of at least 100 bytes in each direction", got)
		}
		if got := counts["tell"]; got.SentMessages != 1 || got.ReceivedMessages != 0 {
			t.Errorf("messages: got %+v, want 1 sent and none received", got)
		}
		for _, there := range b.Traffic() {
			here := counts[there.Kind]
			if there.Kind == kindHeartbeat {
				continue
			}
			if there.ReceivedBytes != here.SentBytes || there.SentBytes != here.ReceivedBytes {
				t.Errorf("%s: got %+v on one side and %+v on the other, want the same bytes", there.Kind, there, here)
			}
		}
	})
}
