// Package loader reads the daemon's settings from a file of JSON with comments and trailing commas.
//
// Load lists all faults of a file at once, each with line and column. Only a syntax error stops it at
// the first one, since what follows it cannot be interpreted.
package loader

import (
	"net/netip"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("loader")

// Names of the roles.
const (
	RoleReplica   = "replica"
	RoleScheduler = "scheduler"
	RoleGateway   = "gateway"
)

// Settings are the settings of one VM. docs/settings.md describes them.
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

// Addresses are the addresses on which the VM listens.
type Addresses struct {
	Peer    netip.AddrPort `json:"peer"`
	Caller  netip.AddrPort `json:"caller"`
	API     netip.AddrPort `json:"api"`
	Metrics netip.AddrPort `json:"metrics"`
}

// Group is a replicated group with its first members.
type Group struct {
	Name    scheduler.GroupName `json:"name"`
	Members []Member            `json:"members"`
}

// Member is a VM in a group. It is a learner if it is not a voter.
type Member struct {
	VM                scheduler.VMName         `json:"vm"`
	DataCentre        scheduler.DataCentreName `json:"dataCentre"`
	Disk              bool                     `json:"disk"`
	Voter             bool                     `json:"voter"`
	StandsForElection bool                     `json:"standsForElection"`
}

// VM is a VM of the system with the addresses at which others reach it.
type VM struct {
	Name          scheduler.VMName         `json:"name"`
	DataCentre    scheduler.DataCentreName `json:"dataCentre"`
	PeerAddress   netip.AddrPort           `json:"peerAddress"`
	CallerAddress netip.AddrPort           `json:"callerAddress"`
	APIAddress    netip.AddrPort           `json:"apiAddress"`
}

// Limits bound what the gateway accepts and how long it takes.
type Limits struct {
	MaxHeaderBytes int64         `json:"maxHeaderBytes"`
	MaxBodyBytes   int64         `json:"maxBodyBytes"`
	QueueLength    int64         `json:"queueLength"`
	RequestTimeout time.Duration `json:"requestTimeout"`
	StopTimeout    time.Duration `json:"stopTimeout"`
}

// Log describes the log output.
type Log struct {
	Level  string `json:"level"`
	Format string `json:"format"`
}

// Tokens names the files of secrets.
type Tokens struct {
	PeerKeyFile string `json:"peerKeyFile"`
	// APITokensFile is empty when the API is open to everyone who reaches it.
	APITokensFile string `json:"apiTokensFile"`
}

// TLS names the files for encrypted connections.
type TLS struct {
	CertificateFile string `json:"certificateFile"`
	KeyFile         string `json:"keyFile"`
	CAFile          string `json:"caFile"`
}

// defaults returns the settings that hold for keys which a file leaves out.
func defaults() *Settings {
	return &Settings{
		Limits: Limits{
			MaxHeaderBytes: 64 << 10,
			MaxBodyBytes:   16 << 20,
			QueueLength:    1000,
			RequestTimeout: 30 * time.Second,
			StopTimeout:    60 * time.Second,
		},
		Log: Log{Level: "info", Format: "json"},
	}
}

// HasRole reports whether the VM runs a role.
func (settings *Settings) HasRole(name string) bool { return slices.Contains(settings.Roles, name) }

// HasDisk reports whether the VM stores its groups in the data folder.
func (settings *Settings) HasDisk() bool { return settings.DataFolder != "" }

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

// Member returns the member with a VM's name.
func (group Group) Member(vm scheduler.VMName) (Member, bool) {
	for _, member := range group.Members {
		if member.VM == vm {
			return member, true
		}
	}
	return Member{}, false
}
