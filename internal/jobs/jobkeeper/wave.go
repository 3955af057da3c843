package jobkeeper

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// SubmitWave takes on a wave of maintenance.
type SubmitWave struct {
	_    struct{} `cbor:",toarray"`
	Wave scheduler.Wave
	// Accepted is when the wave was ordered, by the leader's wall clock.
	Accepted time.Time
}

// MaintenancePhase tells how far the maintenance of a VM has come.
type MaintenancePhase string

// Values of MaintenancePhase.
const (
	// MaintenanceWaiting means that the VM has not been ordered to begin.
	MaintenanceWaiting MaintenancePhase = "waiting"
	// MaintenanceBegun means that an order was or is about to be given, so that the VM may be down.
	MaintenanceBegun MaintenancePhase = "begun"
	// MaintenanceDone means that the VM is back, or no longer there.
	MaintenanceDone MaintenancePhase = "done"
)

// MaintenanceStep records how far the maintenance of a VM has come.
type MaintenanceStep struct {
	_     struct{} `cbor:",toarray"`
	Wave  uint64
	VM    scheduler.VMName
	Phase MaintenancePhase
}

// Wave is a wave of maintenance and how far it has come.
type Wave struct {
	wave     scheduler.Wave
	accepted time.Time
	vms      []VMMaintenance
}

// VMMaintenance is the maintenance of one VM of a wave.
type VMMaintenance struct {
	name  scheduler.VMName
	phase MaintenancePhase
}

// Name returns the name of the VM.
func (maintenance VMMaintenance) Name() scheduler.VMName { return maintenance.name }

// Phase returns how far the maintenance has come.
func (maintenance VMMaintenance) Phase() MaintenancePhase { return maintenance.phase }

// Number returns the number of the wave.
func (wave *Wave) Number() uint64 { return wave.wave.Number }

// MaxConcurrent returns how many VMs may be down at a time.
func (wave *Wave) MaxConcurrent() int { return wave.wave.MaxConcurrent }

// Deadline returns until when the wave should be completed, by the wall clock.
func (wave *Wave) Deadline() time.Time { return wave.accepted.Add(wave.wave.Duration) }

// VMs returns the VMs of the wave.
func (wave *Wave) VMs() []VMMaintenance { return wave.vms }

// Completed reports whether all VMs have had their maintenance.
func (wave *Wave) Completed() bool {
	return !slices.ContainsFunc(wave.vms, func(maintenance VMMaintenance) bool { return maintenance.phase != MaintenanceDone })
}

// Wave returns a wave.
func (state *State) Wave(number uint64) (*Wave, bool) {
	position := slices.IndexFunc(state.waves, func(wave *Wave) bool { return wave.Number() == number })
	if position < 0 {
		return nil, false
	}
	return state.waves[position], true
}

// Waves returns the waves in the order in which they were taken on.
func (state *State) Waves() []*Wave { return state.waves }

// maintain takes on a wave. One that is known stays as it is: the same order arrives again when its answer was lost.
func (state *State) maintain(maintain *SubmitWave) Status {
	if _, known := state.Wave(maintain.Wave.Number); known {
		return StatusUnchanged
	}
	if maintain.Wave.Validate() != nil {
		return StatusInvalid
	}
	wave := &Wave{wave: maintain.Wave, accepted: maintain.Accepted}
	for _, name := range maintain.Wave.VMs {
		if !slices.ContainsFunc(wave.vms, func(known VMMaintenance) bool { return known.name == name }) {
			wave.vms = append(wave.vms, VMMaintenance{name: name, phase: MaintenanceWaiting})
		}
	}
	state.waves = append(state.waves, wave)
	return StatusDone
}

// stepMaintenance takes over how far the maintenance of a VM has come. What is done stays done.
func (state *State) stepMaintenance(step MaintenanceStep) {
	wave, found := state.Wave(step.Wave)
	if !found {
		return
	}
	for position := range wave.vms {
		if vm := &wave.vms[position]; vm.name == step.VM && vm.phase != MaintenanceDone {
			vm.phase = step.Phase
		}
	}
}

// The types below are the form of a wave in a snapshot.
type storedWave struct {
	_        struct{} `cbor:",toarray"`
	Wave     scheduler.Wave
	Accepted time.Time
	VMs      []storedMaintenance
}

type storedMaintenance struct {
	_     struct{} `cbor:",toarray"`
	Name  scheduler.VMName
	Phase MaintenancePhase
}

func (wave *Wave) store() storedWave {
	stored := storedWave{Wave: wave.wave, Accepted: wave.accepted}
	for _, vm := range wave.vms {
		stored.VMs = append(stored.VMs, storedMaintenance{Name: vm.name, Phase: vm.phase})
	}
	return stored
}

func (stored *storedWave) restore() *Wave {
	wave := &Wave{wave: stored.Wave, accepted: stored.Accepted}
	for _, vm := range stored.VMs {
		wave.vms = append(wave.vms, VMMaintenance{name: vm.Name, phase: vm.Phase})
	}
	return wave
}
