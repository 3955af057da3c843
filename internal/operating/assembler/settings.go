package assembler

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/crocusplank/crocusplank/internal/state/budgeter"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Settings are the settings of a VM of a scheduling domain. VMs discover each other through the seeds, so the settings
// contain no list of all VMs.
type Settings struct {
	// Name identifies the VM in logs.
	Name string `json:"name"`
	// Peer is the address at which other VMs of the domain reach this VM. It is also the name of a VM that holds state.
	Peer netip.AddrPort `json:"peer"`
	// Listen is the address to listen on, if other VMs connect through a proxy. It defaults to Peer.
	Listen     netip.AddrPort           `json:"listen,omitzero"`
	DataCentre scheduler.DataCentreName `json:"dataCentre"`
	// DataCentres are the data centres in which workers may run. Only these can be evacuated; if the list is empty, any
	// name is accepted.
	DataCentres []scheduler.DataCentreName `json:"dataCentres,omitempty"`
	// Seeds are peer addresses of VMs that hold state. Some of these VMs may be down.
	Seeds []netip.AddrPort `json:"seeds"`
	// DataFolder is empty on a VM that holds no state.
	DataFolder string `json:"dataFolder"`
	// DiskBytes is the room of the disk that the state may take. 0 stands for budgeter.DefaultRoom.
	DiskBytes int64 `json:"diskBytes,omitempty"`
	// BootstrapDomain must be true only when the whole domain starts for the first time.
	BootstrapDomain bool `json:"firstStart"`
	// ToleratedLosses is the number of VMs that hold state that may be lost at the same time.
	ToleratedLosses int `json:"toleratedLosses"`
	// MemoryLimit is the memory limit of the process in bytes. 0 means no limit.
	MemoryLimit int64 `json:"memoryLimit"`
	// Descriptors is the maximum number of open file descriptors of the process. 0 stands for 4096.
	Descriptors int `json:"descriptors,omitempty"`
	// LeaseDuration is the maximum lease duration of workers.
	LeaseDuration time.Duration `json:"leaseDuration"`
	// HeartbeatInterval is the interval at which workers send heartbeats.
	HeartbeatInterval time.Duration `json:"beatInterval"`
	// StopTime is the maximum time that a worker takes to stop an attempt.
	StopTime time.Duration `json:"stopTime"`
	// MaxReportedEnds is how many ended attempts a worker lists in one report at most; a report with as many may be
	// incomplete. 0 means no limit.
	MaxReportedEnds int `json:"maxReportedEnds,omitempty"`
	// JobRetention is how long a job is kept after its end; a large number of them is kept for a shorter time. 0 keeps all
	// jobs for ever.
	JobRetention time.Duration `json:"jobRetention,omitempty"`
	// MaintenanceLease is how long maintenance orders of a former leader may still arrive. A new leader waits for this
	// time before its first order.
	MaintenanceLease time.Duration `json:"maintenanceLease"`
	// ForecastAdmission is true if jobs are refused that cannot finish while their result is of use. It applies to queues
	// that have an objective and a priority above 0.
	ForecastAdmission bool `json:"forecastAdmission"`
	// StopTimeout limits the duration of a graceful stop.
	StopTimeout time.Duration `json:"stopTimeout"`
	// MaxReservedIdle is the maximum time for which a reservation for a large task may hold capacity idle. 0 disables
	// reservations.
	MaxReservedIdle time.Duration `json:"maxReservedIdle,omitempty"`
}

// Validate returns an error for the first invalid setting.
func (settings *Settings) Validate() error {
	switch {
	case settings.Name == "":
		return fmt.Errorf("name is missing")
	case !settings.Peer.IsValid():
		return fmt.Errorf("peer is not an address and port")
	case len(settings.Seeds) == 0:
		return fmt.Errorf("seeds is empty")
	case settings.DataFolder != "" && settings.DiskBytes != 0 &&
		(settings.DiskBytes < budgeter.MinRoom || settings.DiskBytes > budgeter.MaxRoom):
		return fmt.Errorf("diskBytes is %d, want 0 or %d to %d", settings.DiskBytes, budgeter.MinRoom, int64(budgeter.MaxRoom))
	case settings.MemoryLimit < 0 || settings.Descriptors < 0:
		return fmt.Errorf("memoryLimit and descriptors must not be negative")
	case settings.ToleratedLosses < 0:
		return fmt.Errorf("toleratedLosses is negative")
	case settings.LeaseDuration <= 0 || settings.HeartbeatInterval <= 0 || settings.StopTime < 0 ||
		settings.MaintenanceLease < 0 || settings.StopTimeout <= 0 || settings.MaxReservedIdle < 0 ||
		settings.MaxReportedEnds < 0 || settings.JobRetention < 0:
		return fmt.Errorf("leaseDuration, beatInterval and stopTimeout must be positive; " +
			"stopTime, maintenanceLease, maxReservedIdle, maxReportedEnds and jobRetention must not be negative")
	}
	return nil
}

// diskBudget returns the division of the disk.
func (settings *Settings) diskBudget() budgeter.Budget { return budgeter.New(settings.DiskBytes, 1) }

// listenAddress returns the address on which the VM listens for other VMs.
func (settings *Settings) listenAddress() netip.AddrPort {
	if settings.Listen.IsValid() {
		return settings.Listen
	}
	return settings.Peer
}

// seedNames returns the VM names of the seeds, which are their addresses.
func (settings *Settings) seedNames() []scheduler.VMName {
	names := make([]scheduler.VMName, len(settings.Seeds))
	for index, seed := range settings.Seeds {
		names[index] = scheduler.VMName(seed.String())
	}
	return names
}
