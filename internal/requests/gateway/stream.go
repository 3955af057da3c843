package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// One slot in reservedSlotDivisor is not available to requests whose bodies are still arriving, because these hold a slot
// for as long as their callers take.
const reservedSlotDivisor = 4

// maxStreamWait is how long a request waits for a slot while nobody reads its body.
const maxStreamWait = 10 * time.Second

// beginStream counts a request whose body is still arriving, unless such requests hold as many slots as they may. Other
// requests are not counted. end must be called when the request no longer waits for its body or got no slot.
func (gateway *Gateway) beginStream(request *callerRequest) (end func(), ok bool) {
	if !request.isStreaming() {
		return func() {}, true
	}
	slots := gateway.slotCount(request.service)
	reserved := (slots + reservedSlotDivisor - 1) / reservedSlotDivisor
	gateway.streamsMutex.Lock()
	defer gateway.streamsMutex.Unlock()
	// A service with a single slot also serves large bodies.
	if gateway.streams[request.service] >= max(slots-reserved, 1) {
		return nil, false
	}
	gateway.streams[request.service]++
	return sync.OnceFunc(func() { gateway.endStream(request.service) }), true
}

func (gateway *Gateway) endStream(service scheduler.ServiceName) {
	gateway.streamsMutex.Lock()
	defer gateway.streamsMutex.Unlock()
	gateway.streams[service]--
	if gateway.streams[service] == 0 {
		delete(gateway.streams, service)
	}
}

// queueContext returns the context in which a request waits for a slot. A caller that leaves is not noticed while nobody
// reads the body, so that a streaming request waits no longer than maxStreamWait. The deadline stays that of the request,
// because the forecast of waits depends on it.
func (gateway *Gateway) queueContext(request *callerRequest) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(request.incoming.Context())
	if !request.isStreaming() {
		return ctx, cancel
	}
	timer := time.AfterFunc(maxStreamWait, cancel)
	return ctx, func() { timer.Stop(); cancel() }
}

// announcedSlots returns the number of slots that the endpoints of a service announce.
func (gateway *Gateway) announcedSlots(service scheduler.ServiceName) int {
	slots := 0
	for _, endpoint := range gateway.dependencies.Directory.Endpoints(service) {
		slots += endpoint.Slots
	}
	return slots
}

// endStallCheck ends the demand that the body goes on arriving, if it is streamed.
func (request *callerRequest) endStallCheck() {
	if request.isStreaming() {
		request.body.endStallCheck()
	}
}
