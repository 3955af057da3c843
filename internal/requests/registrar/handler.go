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
	// bodyLimit is far above the 2 KB of an announcement that lists 64 gateways.
	bodyLimit        = 8 << 10
	slotLimit        = 1 << 10
	connectionLimit  = 1 << 14
	gatewayLimit     = 64
	incarnationLimit = math.MaxInt64
)

var (
	serviceName  = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	endpointName = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._-]{0,126}[A-Za-z0-9])?$`)
)

// answer is the JSON body of every response to an announcement.
type answer struct {
	Accepted bool     `json:"accepted"`
	Code     string   `json:"code,omitempty"`
	Faults   []string `json:"faults,omitempty"`
}

// refusal states why an announcement was not accepted.
type refusal struct {
	status int
	answer
}

// ServeHTTP accepts an announcement. An endpoint abandons an announcement that is not answered within
// 1 s, so an announcement is at most 1 s old when it arrives.
func (registrar *Registrar) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		respond(w, http.StatusMethodNotAllowed, answer{Code: "methodNotAllowed"})
		return
	}
	var announcement scheduler.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&announcement); err != nil {
		status := http.StatusBadRequest
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		respond(w, status, answer{Code: "unreadable", Faults: []string{err.Error()}})
		return
	}
	if refused := registrar.Announce(announcement); refused != nil {
		if refused.status == http.StatusTooManyRequests {
			w.Header().Set("Retry-After", "1")
		}
		registrar.log.Debug().Str("event", "announcementRefused").Str("endpoint", string(announcement.Endpoint)).
			Str("code", refused.Code).Msg("announcement refused")
		respond(w, refused.status, refused.answer)
		return
	}
	respond(w, http.StatusOK, answer{Accepted: true})
}

func respond(w http.ResponseWriter, status int, body answer) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone away cannot be told anything.
	_ = json.NewEncoder(w).Encode(body)
}

// Announce takes over an announcement that arrives now. It returns nil when it was accepted.
func (registrar *Registrar) Announce(announcement scheduler.Announcement) *refusal {
	if faults := registrar.validate(announcement); len(faults) > 0 {
		return refuse(http.StatusBadRequest, "invalid", faults...)
	}
	now := time.Now()
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	known := registrar.table.entries[announcement.Endpoint]
	if refused := registrar.admit(known, announcement, now); refused != nil {
		return refused
	}
	if !registrar.table.mergeLocal(announcement, now) {
		return refuse(http.StatusConflict, "olderIncarnation",
			fmt.Sprintf("incarnation %d is known", known.announcement.Incarnation))
	}
	if rival := registrar.table.rival(registrar.table.entries[announcement.Endpoint], now); rival != nil {
		return refuse(http.StatusConflict, "addressTaken",
			fmt.Sprintf("endpoint %s announces the same address", rival.announcement.Endpoint))
	}
	return nil
}

// admit bounds what announcements cost. Endpoints that are known are not held up by a flood of
// unknown names.
func (registrar *Registrar) admit(known *entry, announcement scheduler.Announcement, now time.Time) *refusal {
	table := registrar.table
	if table.byService[announcement.Service] == nil && len(table.byService) >= serviceLimit {
		table.expire(now)
		if len(table.byService) >= serviceLimit {
			return refuse(http.StatusTooManyRequests, "tooManyServices")
		}
	}
	if known != nil {
		// An endpoint that starts to leave is heard at once.
		if known.countRepeat(now) > defaultRepeats && (!announcement.Leaving || known.announcement.Leaving) {
			return refuse(http.StatusTooManyRequests, "tooOften")
		}
		return nil
	}
	if len(table.entries) >= registrar.tableSize {
		table.expire(now)
		if len(table.entries) >= registrar.tableSize {
			return refuse(http.StatusTooManyRequests, "tableFull")
		}
	}
	if !registrar.admission.AllowN(now, 1) {
		return refuse(http.StatusTooManyRequests, "tooManyNew")
	}
	return nil
}

func refuse(status int, code string, faults ...string) *refusal {
	return &refusal{status: status, answer: answer{Code: code, Faults: faults}}
}

// validate returns all faults of an announcement.
func (registrar *Registrar) validate(announcement scheduler.Announcement) []string {
	var faults []string
	check := func(holds bool, format string, arguments ...any) {
		if !holds {
			faults = append(faults, fmt.Sprintf(format, arguments...))
		}
	}
	check(endpointName.MatchString(string(announcement.Endpoint)), "endpoint: not a name of 1 to 128 letters, digits, '.', '_' or '-'")
	check(serviceName.MatchString(string(announcement.Service)), "service: not a name of 1 to 63 lower-case letters, digits or '-'")
	address, err := netip.ParseAddrPort(announcement.Address)
	check(err == nil, "address: not an IP address with a port")
	if err == nil {
		check(address.Port() != 0, "address: port is 0")
		check(!address.Addr().IsUnspecified() && !address.Addr().IsMulticast(), "address: does not name one VM")
		check(address.String() == announcement.Address, "address: not in its shortest form %s", address)
	}
	check(announcement.DataCentre == registrar.self.DataCentre, "dataCentre: this gateway is in %s", registrar.self.DataCentre)
	check(announcement.Incarnation > 0 && announcement.Incarnation <= incarnationLimit, "incarnation: not in 1 to %d", int64(incarnationLimit))
	check(announcement.Slots > 0 && announcement.Slots <= slotLimit, "slots: not in 1 to %d", slotLimit)
	check(announcement.Connections >= announcement.Slots && announcement.Connections <= connectionLimit,
		"connections: not in slots to %d", connectionLimit)
	check(len(announcement.InProgress) <= gatewayLimit, "inProgress: more than %d gateways", gatewayLimit)
	for gateway, count := range announcement.InProgress {
		check(count >= 0 && count <= connectionLimit, "inProgress: count %d of %s", count, strconv.Quote(string(gateway)))
		check(len(gateway) <= 96, "inProgress: gateway name longer than 96 bytes")
	}
	return faults
}
