package overseer

import (
	"slices"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// location is an address or a VM. At most one worker runs at a location at a time.
type location string

func addressLocation(address string) location { return location("address " + address) }

func vmLocation(vm scheduler.VMName) location { return location("VM " + string(vm)) }

func locationsAt(address string, vm scheduler.VMName) []location {
	locations := []location{addressLocation(address)}
	if vm != "" {
		locations = append(locations, vmLocation(vm))
	}
	return locations
}

func locationsOf(heartbeat *scheduler.WorkerHeartbeat) []location {
	return locationsAt(heartbeat.Address, heartbeat.VM)
}

// maxLocationBytes bounds the locations in one command of placements, whose own size maxBatchBytes bounds. Those that do not fit
// are recorded with the next placements on their workers.
const maxLocationBytes = 256 << 10

// unrecordedLocations returns the locations of the instances in placements that the replicated state does not hold.
func (leadership *leadership) unrecordedLocations(placements []jobkeeper.Placement) []jobkeeper.Location {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	var locations []jobkeeper.Location
	seen, bytes := map[scheduler.WorkerName]bool{}, 0
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		for position := range placements {
			instance := leadership.instances[placements[position].Worker]
			if instance == nil || !instance.hasHeartbeat || seen[instance.name] {
				continue
			}
			seen[instance.name] = true
			location := instance.location()
			if recorded, _ := state.Location(instance.name); recorded == location && instance.keepsLocation() {
				continue
			}
			bytes += itemBytes + len(location.Worker) + len(location.Address) + len(location.VM)
			if bytes > maxLocationBytes {
				return
			}
			locations = append(locations, location)
		}
	})
	return locations
}

// keepsLocation reports whether the replicated state keeps the location of the instance: it drops that with the last attempt,
// whose end may be on its way to the log.
func (worker *worker) keepsLocation() bool {
	for _, attempt := range worker.attempts {
		if !attempt.recordingEnd {
			return true
		}
	}
	return false
}

// location returns where the instance runs according to its heartbeats.
func (worker *worker) location() jobkeeper.Location {
	return jobkeeper.Location{
		Worker: worker.name, Instance: worker.incarnation, Address: worker.heartbeat.Address, VM: worker.heartbeat.VM,
	}
}

// adoptLocation takes over from the replicated state where an instance runs that this leadership has not heard of. The mutex
// must be held.
func (leadership *leadership) adoptLocation(recorded *jobkeeper.Location) {
	instance := leadership.instances[recorded.Worker]
	if instance == nil || instance.hasHeartbeat || instance.recorded != (jobkeeper.Location{}) ||
		instance.incarnation != recorded.Instance {
		return
	}
	instance.recorded = *recorded
	for _, place := range locationsAt(recorded.Address, recorded.VM) {
		leadership.adopted[place] = append(leadership.adopted[place], recorded.Worker)
	}
}

// isRecordedAt reports whether the instance ran at a location of a heartbeat according to the replicated state.
func (worker *worker) isRecordedAt(heartbeat *scheduler.WorkerHeartbeat) bool {
	recorded := &worker.recorded
	return recorded.Address != "" && recorded.Address == heartbeat.Address ||
		recorded.VM != "" && recorded.VM == heartbeat.VM
}

// othersAt returns the instances of other workers than the given one that were seen or recorded at a location. The mutex must
// be held.
func (leadership *leadership) othersAt(place location, name scheduler.WorkerName) []*worker {
	var others []*worker
	add := func(other scheduler.WorkerName) {
		instance := leadership.instances[other]
		if other != name && instance != nil && !slices.Contains(others, instance) {
			others = append(others, instance)
		}
	}
	add(leadership.occupants[place])
	for _, other := range leadership.adopted[place] {
		add(other)
	}
	return others
}
