// Package scheduler is the root package of crocusplank. It holds the value types and the interfaces
// of what varies; implementations are in the packages under internal/.
package scheduler

// VMName is the name of a VM in the inventory, for example "couva-1".
type VMName string

// DataCentreName is the name of a data centre in the inventory, for example "couva".
type DataCentreName string

// WorkerName is the name of a worker in the inventory.
type WorkerName string

// EndpointName identifies one announced service instance.
type EndpointName string

// ServiceName is the name under which endpoints serve and callers ask.
type ServiceName string

// TeamName is the name of a team that owns jobs and has quotas.
type TeamName string

// GroupName is the name of a replicated group: GlobalGroup or a data centre's name.
type GroupName string

// GlobalGroup is the group that replicates the configuration.
const GlobalGroup GroupName = "global"

// Term numbers the leaders of a group. It starts at 1 and never decreases; 0 means unknown.
type Term uint64

// Index is the position of an entry in a group's log. The first entry has index 1.
type Index uint64

// Incarnation distinguishes lives of a process that share a name. It starts at 1; a higher one is
// the later life. Voters without a disk and endpoints get a new incarnation at each start.
type Incarnation uint64
