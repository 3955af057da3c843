package messenger

import (
	"cmp"
	"slices"
	"sync"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// kindHeartbeat is the kind under which a connection's own heartbeats are counted.
const kindHeartbeat scheduler.MessageKind = "heartbeat"

// Traffic counts the messages of one kind in one group since the messenger was created. The answers to
// calls count as messages of the call's kind. Bytes are those of the CBOR frames, without the headers of
// WebSocket, TCP and IP. It is a wire type.
type Traffic struct {
	Group            scheduler.GroupName   `json:"group"`
	Kind             scheduler.MessageKind `json:"kind"`
	SentMessages     int64                 `json:"sentMessages"`
	SentBytes        int64                 `json:"sentBytes"`
	ReceivedMessages int64                 `json:"receivedMessages"`
	ReceivedBytes    int64                 `json:"receivedBytes"`
}

// counter counts messages by group and kind. It is safe for concurrent use.
type counter struct {
	mutex  sync.Mutex
	counts map[route]Traffic
}

func newCounter() *counter { return &counter{counts: map[route]Traffic{}} }

func (counter *counter) sent(counted route, bytes int) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	traffic := counter.counts[counted]
	traffic.SentMessages++
	traffic.SentBytes += int64(bytes)
	counter.counts[counted] = traffic
}

func (counter *counter) received(counted route, bytes int) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	traffic := counter.counts[counted]
	traffic.ReceivedMessages++
	traffic.ReceivedBytes += int64(bytes)
	counter.counts[counted] = traffic
}

// Traffic returns the counts of all kinds, sorted by group and kind. It does not block on the network.
func (messenger *Messenger) Traffic() []Traffic {
	messenger.counter.mutex.Lock()
	defer messenger.counter.mutex.Unlock()
	var counts []Traffic
	for counted, traffic := range messenger.counter.counts {
		traffic.Group, traffic.Kind = counted.group, counted.kind
		counts = append(counts, traffic)
	}
	slices.SortFunc(counts, func(a, b Traffic) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Kind, b.Kind))
	})
	return counts
}

// routeOf returns the route under which a frame is counted. An answer does not carry its route on the
// wire, so both sides fill it in from the call.
func routeOf(counted frame) route {
	if counted.Type == frameHeartbeat {
		return route{kind: kindHeartbeat}
	}
	return route{group: counted.Group, kind: counted.Kind}
}
