package jobkeeper

import (
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// SubmitWave submits a maintenance wave.
type SubmitWave struct {
	_    struct{} `cbor:",toarray"`
	Wave scheduler.Wave
	// Accepted is the time of the submission by the leader's wall clock.
	Accepted time.Time
}

// MaintenancePhase is the phase of the maintenance of a VM.
type MaintenancePhase string

// Values of MaintenancePhase.
const (
	// MaintenanceWaiting means that the maintenance has not been ordered.
	MaintenanceWaiting MaintenancePhase = "waiting"
	// MaintenanceBegun means that the maintenance has been ordered or is about to be, so that the VM may be down.
	MaintenanceBegun MaintenancePhase = "begun"
	// MaintenanceDone means that the VM has returned or no longer exists.
	MaintenanceDone MaintenancePhase = "done"
)

// MaintenanceStep records the phase of the maintenance of a VM.
type MaintenanceStep struct {
	_     struct{} `cbor:",toarray"`
	Wave  uint64
	VM    scheduler.VMName
	Phase MaintenancePhase
}

// Wave is a maintenance wave and its progress.
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

// Phase returns the phase of the maintenance.
func (maintenance VMMaintenance) Phase() MaintenancePhase { return maintenance.phase }

// Number returns the number of the wave.
func (wave *Wave) Number() uint64 { return wave.wave.Number }

// MaxConcurrent returns the maximum number of VMs that may be down at the same time.
func (wave *Wave) MaxConcurrent() int { return wave.wave.MaxConcurrent }

// Deadline returns the wall-clock time by which the wave should be completed.
func (wave *Wave) Deadline() time.Time { return wave.accepted.Add(wave.wave.Duration) }

// VMs returns the VMs of the wave.
func (wave *Wave) VMs() []VMMaintenance { return wave.vms }

// Completed reports whether the maintenance of all VMs is done.
func (wave *Wave) Completed() bool {
	return !slices.ContainsFunc(wave.vms, func(maintenance VMMaintenance) bool {
		return maintenance.phase != MaintenanceDone
	})
}

// Wave returns a wave.
func (state *State) Wave(number uint64) (*Wave, bool) {
	position := slices.IndexFunc(state.waves, func(wave *Wave) bool { return wave.Number() == number })
	if position < 0 {
		return nil, false
	}
	return state.waves[position], true
}

// Waves returns the waves in the order of their acceptance.
func (state *State) Waves() []*Wave { return state.waves }

// submitWave adds a wave. It does not change a wave that already exists, because a submission is repeated if its
// response was lost.
func (state *State) submitWave(submitWave *SubmitWave) Status {
	if _, known := state.Wave(submitWave.Wave.Number); known {
		return StatusUnchanged
	}
	if submitWave.Wave.Validate() != nil {
		return StatusInvalid
	}
	wave := &Wave{wave: submitWave.Wave, accepted: submitWave.Accepted}
	for _, name := range submitWave.Wave.VMs {
		if !slices.ContainsFunc(wave.vms, func(known VMMaintenance) bool { return known.name == name }) {
			wave.vms = append(wave.vms, VMMaintenance{name: name, phase: MaintenanceWaiting})
		}
	}
	state.waves = append(state.waves, wave)
	return StatusDone
}

// recordMaintenance records the phase of the maintenance of a VM. A maintenance that is done stays done, since steps
// may arrive late.
func (state *State) recordMaintenance(step MaintenanceStep) {
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

// The types below define the encoding of a wave in a snapshot.
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
