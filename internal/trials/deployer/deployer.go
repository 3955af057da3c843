// Package deployer writes the settings files of a complete system on loopback addresses, for the demo and for tests
// with one process per VM.
package deployer

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("deployer")

// Deployment describes a system whose settings files have been written to a folder.
type Deployment struct {
	folder string
	vms    []loader.VM
}

// New writes the settings files of a system with two VMs in each of three data centres to a folder. The first VM of
// each data centre has a disk. The groups follow the voter rule of the design page.
func New(folder string, dataCentres ...scheduler.DataCentreName) (*Deployment, error) {
	if len(dataCentres) != 3 {
		return nil, Error.New("want 3 data centres, got %d", len(dataCentres))
	}
	deployment := &Deployment{folder: folder}
	addresses, err := freeAddresses(len(dataCentres) * 2 * 4)
	if err != nil {
		return nil, err
	}
	for _, dataCentre := range dataCentres {
		for number := 1; number <= 2; number++ {
			deployment.vms = append(deployment.vms, loader.VM{
				Name:          scheduler.VMName(fmt.Sprintf("%s-%d", dataCentre, number)),
				DataCentre:    dataCentre,
				PeerAddress:   addresses[0],
				CallerAddress: addresses[1],
				APIAddress:    addresses[2],
			})
			addresses = append(addresses[4:], addresses[3])
		}
	}
	if err := deployment.writePeerKey(); err != nil {
		return nil, err
	}
	groups := newGroups(dataCentres)
	for index, vm := range deployment.vms {
		metrics := addresses[len(addresses)-len(deployment.vms)+index]
		if err := deployment.writeSettings(vm, metrics, groups); err != nil {
			return nil, err
		}
	}
	return deployment, nil
}

func (deployment *Deployment) peerKeyFile() string {
	return filepath.Join(deployment.folder, "peer.key")
}

func (deployment *Deployment) writePeerKey() error {
	return Error.Wrap(os.WriteFile(deployment.peerKeyFile(), []byte("loopback\n"), 0o600))
}

// freeAddresses returns loopback addresses with ports that are currently free. All listeners stay open until the end,
// so that no port is returned twice.
func freeAddresses(count int) ([]netip.AddrPort, error) {
	var addresses []netip.AddrPort
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // Closed when all ports are known.
		if err != nil {
			return nil, Error.Wrap(err)
		}
		defer func() { _ = listener.Close() }()
		address, err := netip.ParseAddrPort(listener.Addr().String())
		if err != nil {
			return nil, Error.Wrap(err)
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func newGroups(dataCentres []scheduler.DataCentreName) []loader.Group {
	global := loader.Group{Name: scheduler.GlobalGroup}
	groups := []loader.Group{{}}
	for index, dataCentre := range dataCentres {
		next := dataCentres[(index+1)%len(dataCentres)]
		first, second, remote := newMember(dataCentre, 1), newMember(dataCentre, 2), newMember(next, 1)
		remote.StandsForElection = false
		groups = append(groups, loader.Group{Name: scheduler.GroupName(dataCentre), Members: []loader.Member{first, second, remote}})
		second.Voter, second.StandsForElection = false, false
		global.Members = append(global.Members, first, second)
	}
	groups[0] = global
	return groups
}

func newMember(dataCentre scheduler.DataCentreName, number int) loader.Member {
	return loader.Member{
		VM: scheduler.VMName(fmt.Sprintf("%s-%d", dataCentre, number)), DataCentre: dataCentre,
		Disk: number == 1, Voter: true, StandsForElection: true,
	}
}

// settingsFile is the JSON form of a settings file. Durations are strings in the file, so the limits are omitted and
// their defaults apply.
type settingsFile struct {
	VM         scheduler.VMName         `json:"vm"`
	DataCentre scheduler.DataCentreName `json:"dataCentre"`
	Roles      []string                 `json:"roles"`
	Addresses  loader.Addresses         `json:"addresses"`
	DataFolder string                   `json:"dataFolder,omitempty"`
	Groups     []loader.Group           `json:"groups"`
	VMs        []loader.VM              `json:"vms"`
	Tokens     map[string]string        `json:"tokens"`
}

func (deployment *Deployment) writeSettings(vm loader.VM, metrics netip.AddrPort, groups []loader.Group) error {
	file := settingsFile{
		VM: vm.Name, DataCentre: vm.DataCentre,
		Roles:     []string{loader.RoleReplica, loader.RoleScheduler, loader.RoleGateway},
		Addresses: loader.Addresses{Peer: vm.PeerAddress, Caller: vm.CallerAddress, API: vm.APIAddress, Metrics: metrics},
		Groups:    groups, VMs: deployment.vms,
		Tokens: map[string]string{"peerKeyFile": deployment.peerKeyFile()},
	}
	if member, _ := groups[0].Member(vm.Name); member.Disk {
		file.DataFolder = filepath.Join(deployment.folder, string(vm.Name))
	}
	data, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(deployment.SettingsFile(vm.Name), data, 0o600))
}

// VMs returns the VMs of the system.
func (deployment *Deployment) VMs() []loader.VM { return deployment.vms }

// SettingsFile returns the path of a VM's settings file.
func (deployment *Deployment) SettingsFile(vm scheduler.VMName) string {
	return filepath.Join(deployment.folder, string(vm)+".jsonc")
}

// HasDisk reports whether a VM has a data folder.
func (deployment *Deployment) HasDisk(vm scheduler.VMName) bool {
	settings, err := loader.Load(deployment.SettingsFile(vm))
	return err == nil && settings.HasDisk()
}

// CallerAddresses returns the addresses for callers of the VMs in a data centre, or of all VMs if dataCentre is empty.
func (deployment *Deployment) CallerAddresses(dataCentre scheduler.DataCentreName) []string {
	return deployment.addresses(dataCentre, func(vm loader.VM) netip.AddrPort { return vm.CallerAddress })
}

// APIAddresses returns the API addresses of the VMs in a data centre, or of all VMs if dataCentre is empty.
func (deployment *Deployment) APIAddresses(dataCentre scheduler.DataCentreName) []string {
	return deployment.addresses(dataCentre, func(vm loader.VM) netip.AddrPort { return vm.APIAddress })
}

func (deployment *Deployment) addresses(dataCentre scheduler.DataCentreName, addressOf func(vm loader.VM) netip.AddrPort) []string {
	var addresses []string
	for _, vm := range deployment.vms {
		if dataCentre == "" || vm.DataCentre == dataCentre {
			addresses = append(addresses, addressOf(vm).String())
		}
	}
	return addresses
}
