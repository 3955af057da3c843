package messenger

import (
	"cmp"
	"slices"
	"sync"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// kindHeartbeat is the kind under which the heartbeats of connections are counted.
const kindHeartbeat scheduler.MessageKind = "heartbeat"

// Traffic counts the messages of one kind in one group since the messenger was created. Responses are counted
// under the kind of their call. Byte counts are those of the CBOR frames, without the WebSocket, TCP and IP
// headers. It is a wire type.
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
	mutex   sync.Mutex
	byRoute map[route]Traffic
}

func newCounter() *counter { return &counter{byRoute: map[route]Traffic{}} }

func (counter *counter) countSent(key route, bytes int) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	traffic := counter.byRoute[key]
	traffic.SentMessages++
	traffic.SentBytes += int64(bytes)
	counter.byRoute[key] = traffic
}

func (counter *counter) countReceived(key route, bytes int) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	traffic := counter.byRoute[key]
	traffic.ReceivedMessages++
	traffic.ReceivedBytes += int64(bytes)
	counter.byRoute[key] = traffic
}

// Traffic returns the counts of all groups and kinds, sorted by group and kind. It does not block on the network.
func (messenger *Messenger) Traffic() []Traffic {
	messenger.counter.mutex.Lock()
	defer messenger.counter.mutex.Unlock()
	var counts []Traffic
	for key, traffic := range messenger.counter.byRoute {
		traffic.Group, traffic.Kind = key.group, key.kind
		counts = append(counts, traffic)
	}
	slices.SortFunc(counts, func(a, b Traffic) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Kind, b.Kind))
	})
	return counts
}

// routeOf returns the route under which a frame is counted. A response does not contain its route on the wire, so
// both sides take it from the call.
func routeOf(message frame) route {
	if message.Type == frameHeartbeat {
		return route{kind: kindHeartbeat}
	}
	return route{group: message.Group, kind: message.Kind}
}
