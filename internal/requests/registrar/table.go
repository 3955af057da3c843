package registrar

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// entry is the last announcement of one endpoint and the state of its exchange with other gateways.
type entry struct {
	announcement scheduler.Announcement
	received     time.Time
	// receivedLocally is when this gateway last received an announcement from the endpoint itself; zero if it never
	// did. Only such entries are sent to other gateways. Otherwise two gateways could keep an expired entry alive by
	// sending it to each other.
	receivedLocally time.Time
	// number identifies the entry in exchange messages. contentSequence, progressSequence and localSequence are the
	// sequence numbers of the last local announcement that changed the content, that changed the requests in
	// progress, and of the last local announcement of any kind.
	number                                           uint64
	contentSequence, progressSequence, localSequence uint64
	// announcementCount is the number of announcements received locally since windowStart.
	windowStart       time.Time
	announcementCount int
}

// countAnnouncement increments and returns the number of announcements in the current window of 1 s.
func (entry *entry) countAnnouncement(now time.Time) int {
	if now.Sub(entry.windowStart) >= time.Second {
		entry.windowStart, entry.announcementCount = now, 0
	}
	entry.announcementCount++
	return entry.announcementCount
}

func (entry *entry) isLive(now time.Time) bool { return now.Sub(entry.received) < ttl }

func (entry *entry) isLiveLocally(now time.Time) bool {
	return !entry.receivedLocally.IsZero() && now.Sub(entry.receivedLocally) < ttl
}

// table stores the entries and indexes them by address and by service. It is not safe for concurrent use.
type table struct {
	entries    map[scheduler.EndpointName]*entry
	byAddress  map[string]map[scheduler.EndpointName]*entry
	byService  map[scheduler.ServiceName]map[scheduler.EndpointName]*entry
	sequence   uint64
	nextNumber uint64
	// version is incremented whenever a listing may have changed for a reason other than expiry.
	version    uint64
	nextExpiry time.Time
}

// listing is a cached result of listEndpoints. It is valid until validUntil, as long as the version of the table does
// not change.
type listing struct {
	version    uint64
	validUntil time.Time
	endpoints  []scheduler.Announcement
}

func newTable() *table {
	return &table{
		entries:   map[scheduler.EndpointName]*entry{},
		byAddress: map[string]map[scheduler.EndpointName]*entry{},
		byService: map[scheduler.ServiceName]map[scheduler.EndpointName]*entry{},
	}
}

// merge stores an announcement unless one of a higher incarnation is present. It returns the entry and whether the
// announcement was accepted.
func (table *table) merge(announcement scheduler.Announcement, received time.Time) (*entry, bool) {
	existing := table.entries[announcement.Endpoint]
	switch {
	case existing == nil:
		existing = &entry{announcement: announcement, received: received}
		table.entries[announcement.Endpoint] = existing
		table.index(existing)
		return existing, true
	case announcement.Incarnation < existing.announcement.Incarnation:
		return existing, false
	case announcement.Incarnation == existing.announcement.Incarnation:
		// An incarnation that has announced Leaving never becomes available again. The flag is therefore kept even
		// if an older announcement without it arrives later.
		announcement.Leaving = announcement.Leaving || existing.announcement.Leaving
		if received.Before(existing.received) {
			if announcement.Leaving && !existing.announcement.Leaving {
				existing.announcement.Leaving = true
				table.version++
			}
			return existing, true
		}
	}
	changed := !sameContent(existing.announcement, announcement)
	if changed {
		table.unindex(existing)
	}
	existing.announcement, existing.received = announcement, received
	if changed {
		table.index(existing)
	}
	return existing, true
}

// mergeLocal merges an announcement that this gateway received and marks it to be sent to the other gateways.
func (table *table) mergeLocal(announcement scheduler.Announcement, now time.Time) bool {
	previous, hadPrevious := scheduler.Announcement{}, false
	if existing := table.entries[announcement.Endpoint]; existing != nil && existing.isLiveLocally(now) {
		previous, hadPrevious = existing.announcement, true
	}
	merged, accepted := table.merge(announcement, now)
	if !accepted {
		return false
	}
	table.sequence++
	merged.receivedLocally, merged.localSequence = now, table.sequence
	if !hadPrevious {
		table.nextNumber++
		merged.number = table.nextNumber
	}
	if !hadPrevious || !sameContent(previous, merged.announcement) {
		merged.contentSequence = table.sequence
	}
	if !hadPrevious || !maps.Equal(previous.InProgress, merged.announcement.InProgress) {
		merged.progressSequence = table.sequence
	}
	return true
}

func sameContent(a, b scheduler.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Address == b.Address &&
		a.DataCentre == b.DataCentre && a.Slots == b.Slots && a.Connections == b.Connections && a.Leaving == b.Leaving
}

func (table *table) index(added *entry) {
	table.version++
	addToIndex(table.byAddress, added.announcement.Address, added)
	addToIndex(table.byService, added.announcement.Service, added)
}

func (table *table) unindex(removed *entry) {
	table.version++
	removeFromIndex(table.byAddress, removed.announcement.Address, removed)
	removeFromIndex(table.byService, removed.announcement.Service, removed)
}

func addToIndex[K comparable](index map[K]map[scheduler.EndpointName]*entry, key K, added *entry) {
	if index[key] == nil {
		index[key] = map[scheduler.EndpointName]*entry{}
	}
	index[key][added.announcement.Endpoint] = added
}

func removeFromIndex[K comparable](index map[K]map[scheduler.EndpointName]*entry, key K, removed *entry) {
	delete(index[key], removed.announcement.Endpoint)
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

// expire removes the entries whose last announcement is older than ttl. It scans the table at most ten times per
// second.
func (table *table) expire(now time.Time) {
	if now.Before(table.nextExpiry) {
		return
	}
	table.nextExpiry = now.Add(100 * time.Millisecond)
	for name, entry := range table.entries {
		if !entry.isLive(now) {
			table.unindex(entry)
			delete(table.entries, name)
		}
	}
}

// addressConflict returns another live endpoint that announces the same address with the same or a higher incarnation,
// or nil. An endpoint with such a conflict gets no requests.
func (table *table) addressConflict(announced *entry, now time.Time) *entry {
	for _, other := range table.byAddress[announced.announcement.Address] {
		if other != announced && other.isLive(now) && other.announcement.Incarnation >= announced.announcement.Incarnation {
			return other
		}
	}
	return nil
}

// listEndpoints returns the endpoints of a service that may get requests, sorted by name.
func (table *table) listEndpoints(service scheduler.ServiceName, now time.Time) listing {
	result := listing{version: table.version, validUntil: now.Add(ttl)}
	for _, entry := range table.byService[service] {
		if !entry.isLive(now) {
			continue
		}
		if expiry := entry.received.Add(ttl); expiry.Before(result.validUntil) {
			result.validUntil = expiry
		}
		if !entry.announcement.Leaving && table.addressConflict(entry, now) == nil {
			result.endpoints = append(result.endpoints, entry.announcement)
		}
	}
	slices.SortFunc(result.endpoints, func(a, b scheduler.Announcement) int {
		return strings.Compare(string(a.Endpoint), string(b.Endpoint))
	})
	return result
}
