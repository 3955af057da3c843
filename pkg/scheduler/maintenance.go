package scheduler

import (
	"context"
	"fmt"
	"time"
)

// maxWaveVMs bounds the VMs of a wave.
const maxWaveVMs = 10_000

// Wave asks that each of some VMs has its maintenance within a time, with at most AtOnce of them down for it at a time. It
// is a wire type.
type Wave struct {
	_             struct{} `cbor:",toarray"`
	Number        uint64
	VMs           []VMName
	Duration      time.Duration
	MaxConcurrent int
}

// Validate returns an error that names the first fault of a wave.
func (wave *Wave) Validate() error {
	switch {
	case wave.MaxConcurrent < 1:
		return fmt.Errorf("%d VMs at a time, want at least 1", wave.MaxConcurrent)
	case wave.Duration < 0:
		return fmt.Errorf("duration is %v, want at least 0", wave.Duration)
	case len(wave.VMs) > maxWaveVMs:
		return fmt.Errorf("a wave has more than %d VMs", maxWaveVMs)
	}
	return nil
}

// MaintenanceOrder begins the maintenance of a VM. All that runs on it ends, and a new worker runs there afterwards.
type MaintenanceOrder struct {
	VM   VMName
	Wave uint64
	// Holder is the VM that gives the order, Token its fencing token.
	Holder VMName
	Token  Term
}

// MaintenanceResult is how a MaintenanceOrder was answered.
type MaintenanceResult string

// Values of MaintenanceVerdict. All but MaintenanceAccepted mean that this order had no effect.
const (
	// MaintenanceAccepted means that the maintenance has begun or was had before.
	MaintenanceAccepted MaintenanceResult = "accepted"
	// MaintenanceFenced means that an order with a higher token was given for the VM.
	MaintenanceFenced MaintenanceResult = "fenced"
	// MaintenanceBusy means that the VM is down or leaves, or that the platform takes no orders now.
	MaintenanceBusy MaintenanceResult = "busy"
	// MaintenanceNotApplicable means that there is no such VM, or that it is not part of the wave.
	MaintenanceNotApplicable MaintenanceResult = "notWanted"
)

// Maintainer begins the maintenance of VMs. An order is idempotent. After an error it may have taken effect. It is safe for
// concurrent use.
type Maintainer interface {
	Maintain(ctx context.Context, order MaintenanceOrder) (MaintenanceResult, error)
}
