package scheduler

import "time"

// Revision numbers the accepted configurations consecutively from 1. 0 means that no configuration has been
// accepted yet.
type Revision uint64

// Configuration is the cluster-wide configuration that operators change. It is a wire type. The lists of an
// accepted configuration are sorted by name. An accepted configuration is immutable.
type Configuration struct {
	DataCentres []DataCentre `json:"dataCentres,omitempty" cbor:"dataCentres,omitempty"`
	Racks       []Rack       `json:"racks,omitempty" cbor:"racks,omitempty"`
	VMs         []VM         `json:"vms,omitempty" cbor:"vms,omitempty"`
	Workers     []Worker     `json:"workers,omitempty" cbor:"workers,omitempty"`
	Services    []Service    `json:"services,omitempty" cbor:"services,omitempty"`
	Rules       []Rule       `json:"rules,omitempty" cbor:"rules,omitempty"`
	Teams       []Team       `json:"teams,omitempty" cbor:"teams,omitempty"`
}

// DataCentre is a data centre in the inventory. It is a wire type.
type DataCentre struct {
	Name   DataCentreName `json:"name" cbor:"name"`
	Region string         `json:"region,omitempty" cbor:"region,omitempty"`
}

// Rack is a rack in the inventory. It is a wire type.
type Rack struct {
	Name       string         `json:"name" cbor:"name"`
	DataCentre DataCentreName `json:"dataCentre" cbor:"dataCentre"`
}

// VM is a VM in the inventory that runs one or more roles of the system. It is a wire type. Address is the IP
// address and port at which other VMs reach it.
type VM struct {
	Name       VMName         `json:"name" cbor:"name"`
	DataCentre DataCentreName `json:"dataCentre" cbor:"dataCentre"`
	Address    string         `json:"address" cbor:"address"`
	Roles      []string       `json:"roles" cbor:"roles"`
	Disk       bool           `json:"disk,omitempty" cbor:"disk,omitempty"`
}

// Idempotency specifies which requests of a service may be executed more than once.
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

// Service is the configuration of a service that endpoints announce. It is a wire type. A limit of zero selects
// the default of the gateway.
type Service struct {
	Name        ServiceName   `json:"name" cbor:"name"`
	Class       Class         `json:"class" cbor:"class"`
	Team        TeamName      `json:"team,omitempty" cbor:"team,omitempty"`
	Idempotency Idempotency   `json:"idempotency,omitempty" cbor:"idempotency,omitempty"`
	Queue       int           `json:"queue,omitempty" cbor:"queue,omitempty"`
	InProgress  int           `json:"inProgress,omitempty" cbor:"inProgress,omitempty"`
	Timeout     time.Duration `json:"timeout,omitempty" cbor:"timeout,omitempty"`
}

// Rule assigns a class to the work of a service, a kind or a team. It is a wire type. Exactly one of Service,
// Kind and Team is set.
type Rule struct {
	Name    string      `json:"name" cbor:"name"`
	Service ServiceName `json:"service,omitempty" cbor:"service,omitempty"`
	Kind    string      `json:"kind,omitempty" cbor:"kind,omitempty"`
	Team    TeamName    `json:"team,omitempty" cbor:"team,omitempty"`
	Class   Class       `json:"class" cbor:"class"`
}

// Team is a team that owns jobs. It is a wire type. Quota is the amount that the team may use without borrowing
// unused quota of other teams.
type Team struct {
	Name      TeamName  `json:"name" cbor:"name"`
	Quota     Resources `json:"quota" cbor:"quota"`
	MayBorrow bool      `json:"mayBorrow,omitempty" cbor:"mayBorrow,omitempty"`
}
