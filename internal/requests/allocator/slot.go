package allocator

import (
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// slot is a slot or, when connection is true, the permission to hold a connection.
type slot struct {
	shares     *ShareClient
	share      *share
	connection bool
	lapses     int
	started    time.Time
	once       sync.Once
}

// Acquire takes a slot of the endpoint. ok is false when the share has none free or has expired.
func (shares *ShareClient) Acquire(endpoint scheduler.EndpointName) (scheduler.Slot, bool) {
	now := time.Now()
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	own := shares.shares[endpoint]
	if own == nil || own.free(now) <= 0 {
		return nil, false
	}
	taken := &slot{shares: shares, share: own, lapses: own.lapses}
	own.active[taken] = true
	own.peaks[0] = max(own.peaks[0], own.inUse())
	return taken, true
}

// AcquireConnection takes the permission to open a connection to the endpoint.
func (shares *ShareClient) AcquireConnection(endpoint scheduler.EndpointName) (scheduler.Slot, bool) {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	own := shares.shares[endpoint]
	if own == nil || !time.Now().Before(own.expires) || own.open >= own.connectionLimit {
		return nil, false
	}
	own.open++
	return &slot{shares: shares, share: own, lapses: own.lapses, connection: true}, true
}

// Free returns how many slots of the endpoint Acquire could take now.
func (shares *ShareClient) Free(endpoint scheduler.EndpointName) int {
	shares.mutex.Lock()
	defer shares.mutex.Unlock()
	own := shares.shares[endpoint]
	if own == nil {
		return 0
	}
	return max(0, own.free(time.Now()))
}

// FreeForService returns how many slots of a service Acquire could take now.
func (shares *ShareClient) FreeForService(service scheduler.ServiceName) int {
	free := 0
	for _, endpoint := range shares.directory.Endpoints(service) {
		free += shares.Free(endpoint.Endpoint)
	}
	return free
}

func (share *share) free(now time.Time) int {
	if !now.Before(share.expires) {
		return 0
	}
	return share.limit - share.inUse()
}

// Valid reports whether the share under which the slot was taken has not expired since. The request
// counts as started from the first time that it does.
func (slot *slot) Valid() bool {
	slot.shares.mutex.Lock()
	defer slot.shares.mutex.Unlock()
	now := time.Now()
	valid := slot.lapses == slot.share.lapses && now.Before(slot.share.expires)
	if valid && slot.started.IsZero() {
		slot.started = now
	}
	return valid
}

// Release gives the slot back.
func (slot *slot) Release() { slot.end(false) }

// Abandon gives the slot back once the endpoint is known not to run the request any more. For a
// connection it is the same as Release.
func (slot *slot) Abandon() { slot.end(true) }

func (slot *slot) end(abandoned bool) {
	slot.once.Do(func() {
		slot.shares.mutex.Lock()
		switch {
		case slot.connection:
			slot.share.open--
		case abandoned:
			slot.share.abandoned = append(slot.share.abandoned, time.Now())
			delete(slot.share.active, slot)
		default:
			delete(slot.share.active, slot)
		}
		slot.shares.mutex.Unlock()
		if !slot.connection && !abandoned {
			slot.shares.notify(1)
		}
	})
}
