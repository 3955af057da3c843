package scheduler

import "time"

// Revision numbers the accepted configurations. The first accepted one has revision 1; 0 means that
// none has been accepted.
type Revision uint64

// Configuration is the document that operators change and that is in force everywhere. It is a wire
// type. Lists are sorted by name once a document has been accepted; an accepted document is never
// modified.
type Configuration struct {
	DataCentres []DataCentre `json:"dataCentres,omitempty" cbor:"dataCentres,omitempty"`
	Racks       []Rack       `json:"racks,omitempty" cbor:"racks,omitempty"`
	VMs         []VM         `json:"vms,omitempty" cbor:"vms,omitempty"`
	Workers     []Worker     `json:"workers,omitempty" cbor:"workers,omitempty"`
	Services    []Service    `json:"services,omitempty" cbor:"services,omitempty"`
	Rules       []Rule       `json:"rules,omitempty" cbor:"rules,omitempty"`
	Teams       []Team       `json:"teams,omitempty" cbor:"teams,omitempty"`
}

// DataCentre is a data centre of the inventory. It is a wire type.
type DataCentre struct {
	Name   DataCentreName `json:"name" cbor:"name"`
	Region string         `json:"region,omitempty" cbor:"region,omitempty"`
}

// Rack is a rack of the inventory. It is a wire type.
type Rack struct {
	Name       string         `json:"name" cbor:"name"`
	DataCentre DataCentreName `json:"dataCentre" cbor:"dataCentre"`
}

// VM is a VM of the inventory that runs roles of the system. It is a wire type. Address is the IP
// address and port at which other VMs reach it.
type VM struct {
	Name       VMName         `json:"name" cbor:"name"`
	DataCentre DataCentreName `json:"dataCentre" cbor:"dataCentre"`
	Address    string         `json:"address" cbor:"address"`
	Roles      []string       `json:"roles" cbor:"roles"`
	Disk       bool           `json:"disk,omitempty" cbor:"disk,omitempty"`
}

// Idempotency states which requests of a service may run more than once.
type Idempotency string

// Values of Idempotency.
const (
	// IdempotencyByMethod treats POST and PATCH as non-idempotent. It is the default.
	IdempotencyByMethod Idempotency = "byMethod"
	// IdempotencyAlways treats every request as idempotent.
	IdempotencyAlways Idempotency = "always"
	// IdempotencyNever treats every request as non-idempotent.
	IdempotencyNever Idempotency = "never"
)

// Service is a service that endpoints announce. It is a wire type. A limit of zero means the
// default of the gateway.
type Service struct {
	Name        ServiceName   `json:"name" cbor:"name"`
	Class       Class         `json:"class" cbor:"class"`
	Team        TeamName      `json:"team,omitempty" cbor:"team,omitempty"`
	Idempotency Idempotency   `json:"idempotency,omitempty" cbor:"idempotency,omitempty"`
	Queue       int           `json:"queue,omitempty" cbor:"queue,omitempty"`
	InProgress  int           `json:"inProgress,omitempty" cbor:"inProgress,omitempty"`
	Timeout     time.Duration `json:"timeout,omitempty" cbor:"timeout,omitempty"`
}

// Rule states for work of a service, a kind or a team whether it must stay prompt or may wait. It is
// a wire type. Exactly one selector is set.
type Rule struct {
	Name    string      `json:"name" cbor:"name"`
	Service ServiceName `json:"service,omitempty" cbor:"service,omitempty"`
	Kind    string      `json:"kind,omitempty" cbor:"kind,omitempty"`
	Team    TeamName    `json:"team,omitempty" cbor:"team,omitempty"`
	Class   Class       `json:"class" cbor:"class"`
}

// Team owns jobs. It is a wire type. Quota is what the team may use without borrowing.
type Team struct {
	Name      TeamName  `json:"name" cbor:"name"`
	Quota     Resources `json:"quota" cbor:"quota"`
	MayBorrow bool      `json:"mayBorrow,omitempty" cbor:"mayBorrow,omitempty"`
}
