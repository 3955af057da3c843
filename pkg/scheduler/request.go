package scheduler

import (
	"context"
	"strconv"
	"time"
)

// GatewayID identifies one life of a gateway, written "couva-1/7": the VM's name and incarnation.
type GatewayID string

// NewGatewayID returns the GatewayID of one life of a gateway. The incarnation is new at each start of
// the process, also on a VM whose replica keeps its incarnation on disk, because slots that were in use
// before a restart are unknown after it.
func NewGatewayID(vm VMName, incarnation Incarnation) GatewayID {
	return GatewayID(string(vm) + "/" + strconv.FormatUint(uint64(incarnation), 10))
}

// Gateway is an entry VM that accepts requests and announcements.
type Gateway struct {
	VM         VMName
	DataCentre DataCentreName
}

// Announcement is what an endpoint states about itself every second. It is a wire type.
type Announcement struct {
	Endpoint    EndpointName   `json:"endpoint" cbor:"e"`
	Service     ServiceName    `json:"service" cbor:"s"`
	Address     string         `json:"address" cbor:"a"`
	DataCentre  DataCentreName `json:"dataCentre" cbor:"d"`
	Incarnation Incarnation    `json:"incarnation" cbor:"i"`
	Slots       int            `json:"slots" cbor:"n"`
	Connections int            `json:"connections" cbor:"c"`
	Leaving     bool           `json:"leaving,omitempty" cbor:"l,omitempty"`
	// InProgress counts the requests that the endpoint is running, per gateway that sent them.
	InProgress map[GatewayID]int `json:"inProgress,omitempty" cbor:"p,omitempty"`
}

// ReceivedAnnouncement is an announcement with the time at which a gateway of the data centre received
// it. Received may be earlier than the true time, never later.
type ReceivedAnnouncement struct {
	Announcement
	Received time.Time
}

// RemoteService is what another data centre reports about a service.
type RemoteService struct {
	DataCentre DataCentreName
	// Address is the callers' address of a gateway there.
	Address   string
	Endpoints int
	Slots     int
	Free      int
}

// Directory knows the endpoints that have announced themselves. It is safe for concurrent use.
type Directory interface {
	// Services returns the names of the services that have endpoints.
	Services() []ServiceName
	// Endpoints returns the endpoints of a service that may get new work. The slice is shared
	// and must not be changed.
	Endpoints(service ServiceName) []Announcement
	// LastAnnouncement returns the last announcement of an endpoint, whether or not it may get new work.
	LastAnnouncement(endpoint EndpointName) (ReceivedAnnouncement, bool)
	// Remotes returns what other data centres reported about a service in the last 3 s.
	Remotes(service ServiceName) []RemoteService
}

// Slot is the permission to have one request in progress at an endpoint, or one connection open.
type Slot interface {
	// Valid reports whether the request may be started now. It is asked right before the first
	// byte is written, because the share may have expired since the slot was taken.
	Valid() bool
	// Release gives the slot back. Calls after the first Release or Abandon have no effect.
	Release()
	// Abandon gives the slot back once an announcement shows that the endpoint no longer runs the
	// request. It replaces Release when the gateway stops waiting for an endpoint's response.
	Abandon()
}

// SlotSource hands out a gateway's part of the endpoints' slots and connections. It is safe for
// concurrent use.
type SlotSource interface {
	// Acquire takes a slot of the endpoint. ok is false when the gateway's share has none free.
	Acquire(endpoint EndpointName) (slot Slot, ok bool)
	// AcquireConnection takes the permission to open a connection to the endpoint.
	AcquireConnection(endpoint EndpointName) (slot Slot, ok bool)
	// Free returns how many slots Acquire could take now.
	Free(endpoint EndpointName) int
}

// Balancer chooses an endpoint for a request. It is safe for concurrent use.
type Balancer interface {
	// Choose takes a slot at one of the candidates, which exclude those tried before. ok is false
	// when no candidate has a free slot.
	Choose(candidates []Announcement) (endpoint Announcement, slot Slot, ok bool)
	// Report states the result of a request at an endpoint.
	Report(endpoint EndpointName, result EndpointResult)
}

// EndpointResult is what a balancer learns from one forwarded request.
type EndpointResult struct {
	// Failed is true for connection faults and for answers with status 5xx.
	Failed bool
	// Refused is true when the endpoint answered that it did not run the request.
	Refused bool
	// Latency is the time until the response's headers arrived.
	Latency time.Duration
}

// StoredResponse is the part of a response that is kept for resends. It is a wire type.
type StoredResponse struct {
	Status int               `cbor:"s"`
	Header map[string]string `cbor:"h,omitempty"`
	Body   []byte            `cbor:"b,omitempty"`
	// Truncated is true when the response was longer than what is kept; Body is then empty.
	Truncated bool `cbor:"t,omitempty"`
}

// KeyDecision is the result of KeyStore.Begin.
type KeyDecision string

// Values of KeyDecision.
const (
	// KeyRun means that the caller of Begin is the one that runs the request.
	KeyRun KeyDecision = "run"
	// KeyCompleted means that the request has run; its stored answer follows.
	KeyCompleted KeyDecision = "answered"
	// KeyUnknown means that the request may have run; its answer is not known.
	KeyUnknown KeyDecision = "unknown"
	// KeyConflict means that the key belongs to a request with another digest.
	KeyConflict KeyDecision = "conflict"
)

// KeyRequest names a non-idempotent request.
type KeyRequest struct {
	Key      string
	Digest   []byte
	Deadline time.Time
}

// KeyStore makes non-idempotent requests run at most once. It is safe for concurrent use.
type KeyStore interface {
	// NewKey returns a key for a request that came without one.
	NewKey() string
	// Begin records that the request starts. It waits while another gateway runs the same
	// request. An error of class ErrNotRun means that nothing was recorded; an error of class
	// ErrUnknown means that the request must not be run.
	Begin(ctx context.Context, request KeyRequest) (KeyDecision, StoredResponse, error)
	// Finish records the outcome of a request for which Begin returned KeyRun. After
	// OutcomeNotRun the key is free again.
	Finish(ctx context.Context, request KeyRequest, outcome Outcome, answer StoredResponse) error
}
