package allocator

import (
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// slot is an acquired slot or, if connection is true, a permit for one connection.
type slot struct {
	shareClient *ShareClient
	share       *share
	connection  bool
	expirations int
	started     time.Time
	once        sync.Once
}

// Acquire takes a slot of the endpoint. It fails if the share has no free slot or has expired.
func (shareClient *ShareClient) Acquire(endpoint scheduler.EndpointName) (scheduler.Slot, bool) {
	now := time.Now()
	shareClient.mutex.Lock()
	defer shareClient.mutex.Unlock()
	endpointShare := shareClient.shares[endpoint]
	if endpointShare == nil || endpointShare.free(now) <= 0 {
		return nil, false
	}
	acquired := &slot{shareClient: shareClient, share: endpointShare, expirations: endpointShare.expirations}
	endpointShare.active[acquired] = true
	endpointShare.peaks[0] = max(endpointShare.peaks[0], endpointShare.inUse())
	return acquired, true
}

// AcquireConnection takes a permit to open a connection to the endpoint. It fails if the share has no free connection
// or has expired.
func (shareClient *ShareClient) AcquireConnection(endpoint scheduler.EndpointName) (scheduler.Slot, bool) {
	shareClient.mutex.Lock()
	defer shareClient.mutex.Unlock()
	endpointShare := shareClient.shares[endpoint]
	if endpointShare == nil || !time.Now().Before(endpointShare.expires) ||
		endpointShare.openConnections >= endpointShare.connectionLimit {
		return nil, false
	}
	endpointShare.openConnections++
	return &slot{
		shareClient: shareClient, share: endpointShare, expirations: endpointShare.expirations, connection: true,
	}, true
}

// Free returns the number of slots of the endpoint that are available to Acquire.
func (shareClient *ShareClient) Free(endpoint scheduler.EndpointName) int {
	shareClient.mutex.Lock()
	defer shareClient.mutex.Unlock()
	endpointShare := shareClient.shares[endpoint]
	if endpointShare == nil {
		return 0
	}
	return max(0, endpointShare.free(time.Now()))
}

// FreeForService returns the number of slots that are available to Acquire at all endpoints of a service.
func (shareClient *ShareClient) FreeForService(service scheduler.ServiceName) int {
	free := 0
	for _, endpoint := range shareClient.directory.Endpoints(service) {
		free += shareClient.Free(endpoint.Endpoint)
	}
	return free
}

// SlotsForService returns the number of slots at all endpoints of a service that this gateway may use, free or not.
func (shareClient *ShareClient) SlotsForService(service scheduler.ServiceName) int {
	endpoints := shareClient.directory.Endpoints(service)
	now := time.Now()
	shareClient.mutex.Lock()
	defer shareClient.mutex.Unlock()
	slots := 0
	for _, endpoint := range endpoints {
		if endpointShare := shareClient.shares[endpoint.Endpoint]; endpointShare != nil && now.Before(endpointShare.expires) {
			slots += endpointShare.limit
		}
	}
	return slots
}

func (share *share) free(now time.Time) int {
	if !now.Before(share.expires) {
		return 0
	}
	return share.limit - share.inUse()
}

// Valid reports whether the share has remained valid since the slot was acquired. The first successful call marks the
// start of the request.
func (slot *slot) Valid() bool {
	slot.shareClient.mutex.Lock()
	defer slot.shareClient.mutex.Unlock()
	now := time.Now()
	valid := slot.expirations == slot.share.expirations && now.Before(slot.share.expires)
	if valid && slot.started.IsZero() {
		slot.started = now
	}
	return valid
}

// Release returns the slot or connection permit to the share.
func (slot *slot) Release() { slot.finish(false) }

// Abandon ends the use of the slot, but keeps it reserved until the endpoint is known to no longer run the request. For
// a connection it is the same as Release.
func (slot *slot) Abandon() { slot.finish(true) }

func (slot *slot) finish(abandoned bool) {
	slot.once.Do(func() {
		slot.shareClient.mutex.Lock()
		switch {
		case slot.connection:
			slot.share.openConnections--
		case abandoned:
			slot.share.abandoned = append(slot.share.abandoned, time.Now())
			delete(slot.share.active, slot)
		default:
			delete(slot.share.active, slot)
		}
		slot.shareClient.mutex.Unlock()
		if !slot.connection && !abandoned {
			slot.shareClient.onFreeSlots(1)
		}
	})
}
