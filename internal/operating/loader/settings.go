// Package loader reads and validates the daemon's settings from a file in JSON with comments and trailing commas.
//
// Load reports all faults of a file at once, each with its line and column. Only a syntax error is reported alone,
// because the rest of the file cannot be parsed.
package loader

import (
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/state/budgeter"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("loader")

// Names of the roles that a VM can run.
const (
	RoleReplica   = "replica"
	RoleScheduler = "scheduler"
	RoleGateway   = "gateway"
)

// Settings are the settings of one VM. See docs/settings.md.
type Settings struct {
	VM         scheduler.VMName         `json:"vm"`
	DataCentre scheduler.DataCentreName `json:"dataCentre"`
	Roles      []string                 `json:"roles"`
	Addresses  Addresses                `json:"addresses"`
	DataFolder string                   `json:"dataFolder"`
	Groups     []Group                  `json:"groups"`
	VMs        []VM                     `json:"vms"`
	Limits     Limits                   `json:"limits"`
	Log        Log                      `json:"log"`
	Tokens     Tokens                   `json:"tokens"`
	TLS        *TLS                     `json:"tls"`
}

// Addresses are the addresses that the VM listens on.
type Addresses struct {
	Peer    netip.AddrPort `json:"peer"`
	Caller  netip.AddrPort `json:"caller"`
	API     netip.AddrPort `json:"api"`
	Metrics netip.AddrPort `json:"metrics"`
}

// Group is a replication group with its initial members.
type Group struct {
	Name    scheduler.GroupName `json:"name"`
	Members []Member            `json:"members"`
}

// Member is a VM that is a member of a group: a voter, or otherwise a learner.
type Member struct {
	VM                scheduler.VMName         `json:"vm"`
	DataCentre        scheduler.DataCentreName `json:"dataCentre"`
	Disk              bool                     `json:"disk"`
	Voter             bool                     `json:"voter"`
	StandsForElection bool                     `json:"standsForElection"`
}

// VM is a VM of the deployment with the addresses at which other processes reach it.
type VM struct {
	Name          scheduler.VMName         `json:"name"`
	DataCentre    scheduler.DataCentreName `json:"dataCentre"`
	PeerAddress   netip.AddrPort           `json:"peerAddress"`
	CallerAddress netip.AddrPort           `json:"callerAddress"`
	APIAddress    netip.AddrPort           `json:"apiAddress"`
}

// Limits bound the requests that the gateway accepts, the room of the disk, and the duration of requests and of a
// graceful stop.
type Limits struct {
	MaxHeaderBytes int64 `json:"maxHeaderBytes"`
	MaxBodyBytes   int64 `json:"maxBodyBytes"`
	QueueLength    int64 `json:"queueLength"`
	// DiskBytes is the room of the disk that the logs of all groups and the audit trail may take.
	DiskBytes      int64         `json:"diskBytes"`
	RequestTimeout time.Duration `json:"requestTimeout"`
	StopTimeout    time.Duration `json:"stopTimeout"`
	// ClientMemoryBytes and ClientConnections are what the clients of all listeners may take. 0 connections stand for half
	// of the descriptors that the process may open.
	ClientMemoryBytes int64 `json:"clientMemoryBytes"`
	ClientConnections int64 `json:"clientConnections"`
}

// Log configures the log output.
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

// Tokens contains the paths of the files with the peer key and the API tokens.
type Tokens struct {
	PeerKeyFile string `json:"peerKeyFile"`
	// APITokensFile is optional. If it is empty, the API does not authenticate its clients.
	APITokensFile string `json:"apiTokensFile"`
}

// TLS contains the paths of the certificate files. Connections are not encrypted without it.
type TLS struct {
	CertificateFile string `json:"certificateFile"`
	KeyFile         string `json:"keyFile"`
	CAFile          string `json:"caFile"`
}

// defaults returns the default values of optional keys.
func defaults() *Settings {
	return &Settings{
		Limits: Limits{
			MaxHeaderBytes: 64 << 10,
			MaxBodyBytes:   16 << 20,
			QueueLength:    1000,
			DiskBytes:      budgeter.DefaultRoom,
			RequestTimeout: 30 * time.Second,
			StopTimeout:    60 * time.Second,

			ClientMemoryBytes: 512 << 20,
		},
		Log: Log{Level: "info", Format: "json"},
	}
}

// HasRole reports whether the VM runs a role.
func (settings *Settings) HasRole(name string) bool { return slices.Contains(settings.Roles, name) }

// HasDisk reports whether the VM stores the logs of its groups on disk, in the data folder.
func (settings *Settings) HasDisk() bool { return settings.DataFolder != "" }

// DiskBudget returns the division of the disk. Each group of the VM and the audit trail have equal parts.
func (settings *Settings) DiskBudget() budgeter.Budget {
	return budgeter.New(settings.Limits.DiskBytes, len(settings.OwnGroups())+1)
}

// OwnGroups returns the groups of which the VM is a member.
func (settings *Settings) OwnGroups() []Group {
	var groups []Group
	for _, group := range settings.Groups {
		if _, found := group.Member(settings.VM); found {
			groups = append(groups, group)
		}
	}
	return groups
}

// Member returns the member that runs on a VM.
func (group Group) Member(vm scheduler.VMName) (Member, bool) {
	for _, member := range group.Members {
		if member.VM == vm {
			return member, true
		}
	}
	return Member{}, false
}
