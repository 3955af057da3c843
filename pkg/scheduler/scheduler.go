// Package scheduler is the root package of crocusplank. It defines the value types that all packages share and the
// interfaces that have several implementations, which are in the packages under internal/.
package scheduler

// VMName is the name of a VM in the inventory, for example "couva-1".
type VMName string

// DataCentreName is the name of a data centre in the inventory, for example "couva".
type DataCentreName string

// WorkerName is the name of a worker in the inventory.
type WorkerName string

// EndpointName identifies one announced instance of a service.
type EndpointName string

// ServiceName is the name under which endpoints announce a service and callers request it.
type ServiceName string

// TeamName is the name of a team that owns jobs and has quotas.
type TeamName string

// GroupName is the name of a replicated group: GlobalGroup or the name of a data centre.
type GroupName string

// GlobalGroup is the group that replicates the configuration.
const GlobalGroup GroupName = "global"

// Term numbers the leadership terms of a group. It starts at 1 and never decreases. 0 means unknown.
type Term uint64

// Index is the position of an entry in a group's log. The first entry has index 1.
type Index uint64

// Incarnation distinguishes the instances of a process that restarts under the same name. It starts at 1, and a
// higher value is a later instance. Voters without a disk and endpoints get a new incarnation at each start.
type Incarnation uint64
