package scheduler

import (
	"context"
	"strconv"
	"time"
)

// GatewayID identifies one incarnation of a gateway. It has the form "VM/incarnation", for example "couva-1/7".
type GatewayID string

// NewGatewayID returns the GatewayID of one incarnation of a gateway. The incarnation must be new at each start of the
// process, even on a VM whose replica persists its incarnation on disk, because a restarted gateway does not know
// which slots were in use before the restart.
func NewGatewayID(vm VMName, incarnation Incarnation) GatewayID {
	return GatewayID(string(vm) + "/" + strconv.FormatUint(uint64(incarnation), 10))
}

// Gateway is an entry VM, which accepts requests and announcements.
type Gateway struct {
	VM         VMName
	DataCentre DataCentreName
}

// Announcement is the state that an endpoint reports every second. It is a wire type.
type Announcement struct {
	Endpoint    EndpointName   `json:"endpoint" cbor:"e"`
	Service     ServiceName    `json:"service" cbor:"s"`
	Address     string         `json:"address" cbor:"a"`
	DataCentre  DataCentreName `json:"dataCentre" cbor:"d"`
	Incarnation Incarnation    `json:"incarnation" cbor:"i"`
	Slots       int            `json:"slots" cbor:"n"`
	Connections int            `json:"connections" cbor:"c"`
	Leaving     bool           `json:"leaving,omitempty" cbor:"l,omitempty"`
	// InProgress is the number of requests that the endpoint is executing, by the gateway that sent them.
	InProgress map[GatewayID]int `json:"inProgress,omitempty" cbor:"p,omitempty"`
}

// ReceivedAnnouncement is an announcement with the time at which a gateway of the data centre received it. Received
// may be earlier than the actual time, but is never later.
type ReceivedAnnouncement struct {
	Announcement
	Received time.Time
}

// RemoteService is the state of a service that another data centre reports.
type RemoteService struct {
	DataCentre DataCentreName
	// Address is the address at which a gateway of the data centre accepts requests of callers.
	Address   string
	Endpoints int
	Slots     int
	Free      int
}

// Directory is the registry of announced endpoints. It is safe for concurrent use.
type Directory interface {
	// Services returns the names of the services that have at least one endpoint.
	Services() []ServiceName
	// Endpoints returns the endpoints of a service that may get new requests. The slice is shared and must not
	// be modified.
	Endpoints(service ServiceName) []Announcement
	// LastAnnouncement returns the last announcement of an endpoint, whether or not it may get new requests.
	LastAnnouncement(endpoint EndpointName) (ReceivedAnnouncement, bool)
	// Remotes returns the reports of other data centres about a service that are at most 3 s old.
	Remotes(service ServiceName) []RemoteService
}

// Slot is a permit for one request in progress at an endpoint, or for one open connection to it.
type Slot interface {
	// Valid reports whether the request may still be started. It must be called immediately before the first
	// byte is written, because the share may have expired since the slot was acquired.
	Valid() bool
	// Release returns the slot. Calls after the first Release or Abandon have no effect.
	Release()
	// Abandon returns the slot as soon as an announcement shows that the endpoint is no longer executing the
	// request. It is called instead of Release when the gateway stops waiting for the response of the endpoint.
	Abandon()
}

// SlotSource allocates slots and connections from the gateway's share of each endpoint. A share is the part of an
// endpoint's slots that one gateway may use for a limited time. SlotSource is safe for concurrent use.
type SlotSource interface {
	// Acquire takes a slot of the endpoint. ok is false if the share of the gateway has no free slot.
	Acquire(endpoint EndpointName) (slot Slot, ok bool)
	// AcquireConnection takes a permit to open a connection to the endpoint.
	AcquireConnection(endpoint EndpointName) (slot Slot, ok bool)
	// Free returns the number of slots that are available to Acquire.
	Free(endpoint EndpointName) int
}

// Balancer chooses an endpoint for a request. It is safe for concurrent use.
type Balancer interface {
	// Choose selects one of the candidates and takes a slot at it. The candidates must not include endpoints that
	// the request has already tried. ok is false if no candidate has a free slot.
	Choose(candidates []Announcement) (endpoint Announcement, slot Slot, ok bool)
	// Report records the result of a request at an endpoint.
	Report(endpoint EndpointName, result EndpointResult)
}

// EndpointResult is the result of one forwarded request, from which a Balancer learns.
type EndpointResult struct {
	// Failed is true for connection errors and for responses with a 5xx status.
	Failed bool
	// Refused is true if the endpoint responded that it did not execute the request.
	Refused bool
	// Latency is the time until the response headers arrived, or 0 if it does not depend on the endpoint alone.
	Latency time.Duration
}

// StoredResponse is the part of a response that is stored and returned for repeated requests. It is a wire type.
type StoredResponse struct {
	Status int               `cbor:"s"`
	Header map[string]string `cbor:"h,omitempty"`
	Body   []byte            `cbor:"b,omitempty"`
	// Truncated is true if the response exceeded the storage limit. Body is then empty.
	Truncated bool `cbor:"t,omitempty"`
}

// KeyDecision is the result of KeyStore.Begin.
type KeyDecision string

// Values of KeyDecision.
const (
	// KeyRun means that the caller of Begin must execute the request.
	KeyRun KeyDecision = "run"
	// KeyCompleted means that the request has already been executed; its stored response follows.
	KeyCompleted KeyDecision = "answered"
	// KeyUnknown means that the request may have been executed and that its response is unknown.
	KeyUnknown KeyDecision = "unknown"
	// KeyConflict means that the key is already in use for a request with a different digest.
	KeyConflict KeyDecision = "conflict"
)

// KeyRequest identifies a non-idempotent request by its idempotency key.
type KeyRequest struct {
	Key      string
	Digest   []byte
	Deadline time.Time
}

// KeyStore ensures that non-idempotent requests are executed at most once. It is safe for concurrent use.
type KeyStore interface {
	// NewKey returns a key for a request that has none.
	NewKey() string
	// Begin records the start of the request. It blocks while another gateway is executing the same request. An
	// error of class ErrNotRun means that nothing was recorded; after an error of class ErrOutcomeUnknown the
	// request must not be executed.
	Begin(ctx context.Context, request KeyRequest) (KeyDecision, StoredResponse, error)
	// Finish records the outcome of a request for which Begin returned KeyRun. After OutcomeNotRun, the key may
	// be used again.
	Finish(ctx context.Context, request KeyRequest, outcome Outcome, response StoredResponse) error
}
