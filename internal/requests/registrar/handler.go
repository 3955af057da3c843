package registrar

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/netip"
	"regexp"
	"strconv"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// maxBodyBytes leaves a margin: an announcement that lists 64 gateways takes about 2 KB.
	maxBodyBytes   = 8 << 10
	maxSlots       = 1 << 10
	maxConnections = 1 << 14
	maxGateways    = 64
	maxIncarnation = math.MaxInt64
)

var (
	serviceName  = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	endpointName = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)
)

// announcementResponse is the JSON body of every response to an announcement.
type announcementResponse struct {
	Accepted bool     `json:"accepted"`
	Code     string   `json:"code,omitempty"`
	Faults   []string `json:"faults,omitempty"`
}

// rejection is the HTTP status and response of an announcement that is not accepted.
type rejection struct {
	status int
	announcementResponse
}

// ServeHTTP handles an announcement. An endpoint cancels an announcement that gets no response within 1 s, so an
// announcement is at most 1 s old when it arrives.
func (registrar *Registrar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		respond(w, http.StatusMethodNotAllowed, announcementResponse{Code: "methodNotAllowed"})
		return
	}
	var announcement scheduler.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&announcement); err != nil {
		status := http.StatusBadRequest
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		respond(w, status, announcementResponse{Code: "unreadable", Faults: []string{err.Error()}})
		return
	}
	if rejected := registrar.Announce(announcement); rejected != nil {
		if rejected.status == http.StatusTooManyRequests {
			w.Header().Set("Retry-After", "1")
		}
		registrar.log.Debug().Str("event", "announcementRefused").Str("endpoint", string(announcement.Endpoint)).
			Str("code", rejected.Code).Msg("announcement rejected")
		respond(w, rejected.status, rejected.announcementResponse)
		return
	}
	respond(w, http.StatusOK, announcementResponse{Accepted: true})
}

func respond(w http.ResponseWriter, status int, body announcementResponse) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: writing fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// Announce stores an announcement that has just arrived. It returns nil if the announcement was accepted.
func (registrar *Registrar) Announce(announcement scheduler.Announcement) *rejection {
	if faults := registrar.validate(announcement); len(faults) > 0 {
		return reject(http.StatusBadRequest, "invalid", faults...)
	}
	now := time.Now()
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	existing := registrar.table.entries[announcement.Endpoint]
	if rejected := registrar.admit(existing, announcement, now); rejected != nil {
		return rejected
	}
	if !registrar.table.mergeLocal(announcement, now) {
		return reject(http.StatusConflict, "olderIncarnation",
			fmt.Sprintf("a newer incarnation %d is already registered", existing.announcement.Incarnation))
	}
	if other := registrar.table.addressConflict(registrar.table.entries[announcement.Endpoint], now); other != nil {
		return reject(http.StatusConflict, "addressTaken",
			fmt.Sprintf("endpoint %s announces the same address", other.announcement.Endpoint))
	}
	return nil
}

// admit limits the rate of announcements and the size of the table. Endpoints that are already in the table are not
// affected by the rate limit on new names, so a flood of new names does not block them.
func (registrar *Registrar) admit(existing *entry, announcement scheduler.Announcement, now time.Time) *rejection {
	table := registrar.table
	if table.byService[announcement.Service] == nil && len(table.byService) >= maxServices {
		table.expire(now)
		if len(table.byService) >= maxServices {
			return reject(http.StatusTooManyRequests, "tooManyServices")
		}
	}
	if existing != nil {
		// The first announcement with Leaving is exempt, so that an endpoint can always leave without delay.
		if existing.countAnnouncement(now) > maxAnnouncementsPerSecond &&
			(!announcement.Leaving || existing.announcement.Leaving) {
			return reject(http.StatusTooManyRequests, "tooOften")
		}
		return nil
	}
	if len(table.entries) >= registrar.tableSize {
		table.expire(now)
		if len(table.entries) >= registrar.tableSize {
			return reject(http.StatusTooManyRequests, "tableFull")
		}
	}
	if !registrar.admission.AllowN(now, 1) {
		return reject(http.StatusTooManyRequests, "tooManyNew")
	}
	return nil
}

func reject(status int, code string, faults ...string) *rejection {
	return &rejection{status: status, announcementResponse: announcementResponse{Code: code, Faults: faults}}
}

// validate returns a message for each invalid field of an announcement.
func (registrar *Registrar) validate(announcement scheduler.Announcement) []string {
	var faults []string
	check := func(valid bool, format string, arguments ...any) {
		if !valid {
			faults = append(faults, fmt.Sprintf(format, arguments...))
		}
	}
	check(endpointName.MatchString(string(announcement.Endpoint)),
		"endpoint: must be 1 to 128 letters, digits, '.', '_' or '-'")
	check(serviceName.MatchString(string(announcement.Service)),
		"service: must be 1 to 63 lower-case letters, digits or '-'")
	address, err := netip.ParseAddrPort(announcement.Address)
	check(err == nil, "address: must be an IP address with a port")
	if err == nil {
		check(address.Port() != 0, "address: port is 0")
		check(!address.Addr().IsUnspecified() && !address.Addr().IsMulticast(),
			"address: must be the address of one VM, not unspecified or multicast")
		check(address.String() == announcement.Address, "address: must be in the canonical form %s", address)
	}
	check(announcement.DataCentre == registrar.self.DataCentre,
		"dataCentre: this gateway is in %s", registrar.self.DataCentre)
	check(announcement.Incarnation > 0 && announcement.Incarnation <= maxIncarnation,
		"incarnation: must be between 1 and %d", int64(maxIncarnation))
	check(announcement.Slots > 0 && announcement.Slots <= maxSlots, "slots: must be between 1 and %d", maxSlots)
	check(announcement.Connections >= announcement.Slots && announcement.Connections <= maxConnections,
		"connections: must be between the number of slots and %d", maxConnections)
	check(len(announcement.InProgress) <= maxGateways, "inProgress: more than %d gateways", maxGateways)
	for gateway, count := range announcement.InProgress {
		check(count >= 0 && count <= maxConnections,
			"inProgress: invalid count %d for gateway %s", count, strconv.Quote(string(gateway)))
		check(len(gateway) <= 96, "inProgress: gateway name longer than 96 bytes")
	}
	return faults
}
