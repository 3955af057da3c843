package assembler

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Settings are the settings of a VM of a scheduling domain. VMs find each other from the seeds, so no list
// of them is needed.
type Settings struct {
	// Name identifies the VM in logs.
	Name string `json:"name"`
	// Peer is the address for other VMs of the domain. A VM that holds state is named by it.
	Peer netip.AddrPort `json:"peer"`
	// Listen is where the VM listens for other VMs, if they reach it through a proxy. Peer by default.
	Listen     netip.AddrPort           `json:"listen,omitzero"`
	DataCentre scheduler.DataCentreName `json:"dataCentre"`
	// Seeds are peer addresses of VMs that hold state, some of which may be down.
	Seeds []netip.AddrPort `json:"seeds"`
	// DataFolder is empty on a VM that holds no state.
	DataFolder string `json:"dataFolder"`
	// BootstrapDomain is true only while the whole domain starts for the first time.
	BootstrapDomain bool `json:"firstStart"`
	// ToleratedLosses is how many VMs that hold state may be lost at a time.
	ToleratedLosses int `json:"toleratedLosses"`
	// MemoryLimit is how many bytes the process may use, 0 for no limit.
	MemoryLimit int64 `json:"memoryLimit"`
	// LeaseDuration is the longest lease of a worker.
	LeaseDuration time.Duration `json:"leaseDuration"`
	// HeartbeatInterval is how often workers send beats.
	HeartbeatInterval time.Duration `json:"beatInterval"`
	// StopTime is how long a worker takes at most to stop an attempt.
	StopTime time.Duration `json:"stopTime"`
	// MaintenanceLease is for how long orders of a former leader about the maintenance of VMs may come.
	MaintenanceLease time.Duration `json:"maintenanceLease"`
	// StopTimeout bounds a planned stop of the process.
	StopTimeout time.Duration `json:"stopTimeout"`
}

// Validate returns an error that names the first fault.
func (settings *Settings) Validate() error {
	switch {
	case settings.Name == "":
		return fmt.Errorf("name is missing")
	case !settings.Peer.IsValid():
		return fmt.Errorf("peer is not an address and port")
	case len(settings.Seeds) == 0:
		return fmt.Errorf("seeds is empty")
	case settings.ToleratedLosses < 0:
		return fmt.Errorf("toleratedLosses is negative")
	case settings.LeaseDuration <= 0 || settings.HeartbeatInterval <= 0 || settings.StopTime < 0 || settings.MaintenanceLease < 0 || settings.StopTimeout <= 0:
		return fmt.Errorf("leaseDuration, beatInterval and stopTimeout must be more than 0")
	}
	return nil
}

// listenAddress returns where the VM listens for other VMs.
func (settings *Settings) listenAddress() netip.AddrPort {
	if settings.Listen.IsValid() {
		return settings.Listen
	}
	return settings.Peer
}

// seedNames returns the seeds as names of VMs.
func (settings *Settings) seedNames() []scheduler.VMName {
	names := make([]scheduler.VMName, len(settings.Seeds))
	for position, seed := range settings.Seeds {
		names[position] = scheduler.VMName(seed.String())
	}
	return names
}
