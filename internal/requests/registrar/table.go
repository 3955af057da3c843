package registrar

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// entry is what a gateway knows of one endpoint.
type entry struct {
	announcement scheduler.Announcement
	received     time.Time
	// local is when this gateway itself last received an announcement, zero if it never did. Only
	// such entries are passed on, so an announcement cannot be kept alive by two gateways that
	// repeat it to each other.
	local time.Time
	// number, contentSequence, progressSequence and localSequence are the state of the exchange:
	// the sequence numbers of the last changes that were received locally.
	number                                           uint64
	contentSequence, progressSequence, localSequence uint64
	// repeats counts the announcements received locally since window.
	window  time.Time
	repeats int
}

// countRepeat counts one more announcement and returns the count of the current second.
func (entry *entry) countRepeat(now time.Time) int {
	if now.Sub(entry.window) >= time.Second {
		entry.window, entry.repeats = now, 0
	}
	entry.repeats++
	return entry.repeats
}

func (entry *entry) alive(now time.Time) bool { return now.Sub(entry.received) < lifetime }

func (entry *entry) localAlive(now time.Time) bool {
	return !entry.local.IsZero() && now.Sub(entry.local) < lifetime
}

// table holds the entries by name and by address. It is not safe for concurrent use.
type table struct {
	entries    map[scheduler.EndpointName]*entry
	byAddress  map[string]map[scheduler.EndpointName]*entry
	byService  map[scheduler.ServiceName]map[scheduler.EndpointName]*entry
	sequence   uint64
	nextNumber uint64
	// version rises whenever a listing may have changed other than by expiry.
	version    uint64
	nextExpiry time.Time
}

type snapshot struct {
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

// merge takes over an announcement unless a higher incarnation is known. It returns the entry and
// whether the announcement was taken.
func (table *table) merge(announcement scheduler.Announcement, received time.Time) (*entry, bool) {
	known := table.entries[announcement.Endpoint]
	switch {
	case known == nil:
		known = &entry{announcement: announcement, received: received}
		table.entries[announcement.Endpoint] = known
		table.index(known)
		return known, true
	case announcement.Incarnation < known.announcement.Incarnation:
		return known, false
	case announcement.Incarnation == known.announcement.Incarnation:
		// An incarnation that leaves never returns, so the flag holds even when an older
		// announcement overtakes the one that carried it.
		announcement.Leaving = announcement.Leaving || known.announcement.Leaving
		if received.Before(known.received) {
			if announcement.Leaving && !known.announcement.Leaving {
				known.announcement.Leaving = true
				table.version++
			}
			return known, true
		}
	}
	changed := !sameContent(known.announcement, announcement)
	if changed {
		table.unindex(known)
	}
	known.announcement, known.received = announcement, received
	if changed {
		table.index(known)
	}
	return known, true
}

// mergeLocal merges an announcement that this gateway received and marks it for the exchange.
func (table *table) mergeLocal(announcement scheduler.Announcement, now time.Time) bool {
	before, had := scheduler.Announcement{}, false
	if known := table.entries[announcement.Endpoint]; known != nil && known.localAlive(now) {
		before, had = known.announcement, true
	}
	merged, taken := table.merge(announcement, now)
	if !taken {
		return false
	}
	table.sequence++
	merged.local, merged.localSequence = now, table.sequence
	if !had {
		table.nextNumber++
		merged.number = table.nextNumber
	}
	if !had || !sameContent(before, merged.announcement) {
		merged.contentSequence = table.sequence
	}
	if !had || !maps.Equal(before.InProgress, merged.announcement.InProgress) {
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
	put(table.byAddress, added.announcement.Address, added)
	put(table.byService, added.announcement.Service, added)
}

func (table *table) unindex(removed *entry) {
	table.version++
	drop(table.byAddress, removed.announcement.Address, removed)
	drop(table.byService, removed.announcement.Service, removed)
}

func put[K comparable](index map[K]map[scheduler.EndpointName]*entry, key K, added *entry) {
	if index[key] == nil {
		index[key] = map[scheduler.EndpointName]*entry{}
	}
	index[key][added.announcement.Endpoint] = added
}

func drop[K comparable](index map[K]map[scheduler.EndpointName]*entry, key K, removed *entry) {
	delete(index[key], removed.announcement.Endpoint)
	if len(index[key]) == 0 {
		delete(index, key)
	}
}

// expire removes what has not been announced for the lifetime. It looks at the entries at most ten
// times a second.
func (table *table) expire(now time.Time) {
	if now.Before(table.nextExpiry) {
		return
	}
	table.nextExpiry = now.Add(100 * time.Millisecond)
	for name, found := range table.entries {
		if !found.alive(now) {
			table.unindex(found)
			delete(table.entries, name)
		}
	}
}

// rival returns an endpoint that announces the same address and keeps this one from getting work:
// one with the same or a higher incarnation.
func (table *table) rival(own *entry, now time.Time) *entry {
	for _, other := range table.byAddress[own.announcement.Address] {
		if other != own && other.alive(now) && other.announcement.Incarnation >= own.announcement.Incarnation {
			return other
		}
	}
	return nil
}

// list returns the endpoints of a service that may get work.
func (table *table) list(service scheduler.ServiceName, now time.Time) snapshot {
	made := snapshot{version: table.version, validUntil: now.Add(lifetime)}
	for _, found := range table.byService[service] {
		if !found.alive(now) {
			continue
		}
		if expiry := found.received.Add(lifetime); expiry.Before(made.validUntil) {
			made.validUntil = expiry
		}
		if !found.announcement.Leaving && table.rival(found, now) == nil {
			made.endpoints = append(made.endpoints, found.announcement)
		}
	}
	slices.SortFunc(made.endpoints, func(a, b scheduler.Announcement) int {
		return strings.Compare(string(a.Endpoint), string(b.Endpoint))
	})
	return made
}
