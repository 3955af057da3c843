package scheduler

import (
	"context"
	"fmt"
	"time"
)

// maxWaveVMs is the maximum number of VMs in a wave.
const maxWaveVMs = 10_000

// Wave requests maintenance of a set of VMs within Duration, with at most MaxConcurrent of them down for maintenance
// at the same time. It is a wire type.
type Wave struct {
	_             struct{} `cbor:",toarray"`
	Number        uint64
	VMs           []VMName
	Duration      time.Duration
	MaxConcurrent int
}

// Validate returns an error that describes the first invalid value of a wave.
func (wave *Wave) Validate() error {
	switch {
	case wave.MaxConcurrent < 1:
		return fmt.Errorf("%d VMs in maintenance at the same time, want at least 1", wave.MaxConcurrent)
	case wave.Duration < 0:
		return fmt.Errorf("duration is %v, want at least 0", wave.Duration)
	case len(wave.VMs) > maxWaveVMs:
		return fmt.Errorf("a wave has more than %d VMs", maxWaveVMs)
	}
	return nil
}

// MaintenanceOrder starts the maintenance of a VM. All processes on the VM end, and a new worker runs there after
// the maintenance.
type MaintenanceOrder struct {
	VM   VMName
	Wave uint64
	// Holder is the VM that issues the order. Token is its fencing token.
	Holder VMName
	Token  Term
}

// MaintenanceResult is the result of a MaintenanceOrder.
type MaintenanceResult string

// Values of MaintenanceResult. Every value other than MaintenanceAccepted means that this order had no effect.
const (
	// MaintenanceAccepted means that the maintenance has started or is already complete.
	MaintenanceAccepted MaintenanceResult = "accepted"
	// MaintenanceFenced means that an order with a higher fencing token has been issued for the VM.
	MaintenanceFenced MaintenanceResult = "fenced"
	// MaintenanceBusy means that the VM is down or about to shut down, or that the platform accepts no orders at
	// the moment.
	MaintenanceBusy MaintenanceResult = "busy"
	// MaintenanceNotApplicable means that the VM does not exist or is not part of the wave.
	MaintenanceNotApplicable MaintenanceResult = "notWanted"
)

// Maintainer starts the maintenance of VMs. Orders are idempotent. After an error, the order may have taken effect.
// It is safe for concurrent use.
type Maintainer interface {
	Maintain(ctx context.Context, order MaintenanceOrder) (MaintenanceResult, error)
}
