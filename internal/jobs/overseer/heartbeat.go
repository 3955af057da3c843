package overseer

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// HeartbeatDelta tells that a worker goes on as it was in the last beat that the leader was told. It is a wire type.
type HeartbeatDelta struct {
	_        struct{} `cbor:",toarray"`
	Worker   scheduler.WorkerName
	Instance scheduler.Incarnation
	Sequence uint64
	// Clock is the worker's clock in the beat.
	Clock time.Duration
	// Age is for how long another VM has held the beat.
	Age time.Duration
}

// RelayedHeartbeat is a beat that another VM has held for some time. It is a wire type.
type RelayedHeartbeat struct {
	_         struct{} `cbor:",toarray"`
	Heartbeat scheduler.WorkerHeartbeat
	Age       time.Duration
}

// HandleHeartbeat takes what a worker has stated about itself. It returns an error of class scheduler.ErrNotRun when
// this VM does not lead.
func (overseer *Overseer) HandleHeartbeat(beat scheduler.WorkerHeartbeat) error {
	leadership, err := overseer.acting()
	if err != nil {
		return err
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.beat(beat, 0)
	return nil
}

// HandleRelayedHeartbeats takes what other VMs have heard of workers. It returns the workers of which the leader has to be told in full.
// The error is that of Beat.
func (overseer *Overseer) HandleRelayedHeartbeats(workers []HeartbeatDelta, beats []RelayedHeartbeat) (unknown []scheduler.WorkerName, err error) {
	leadership, err := overseer.acting()
	if err != nil {
		return nil, err
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	for position := range beats {
		leadership.beat(beats[position].Heartbeat, beats[position].Age)
	}
	for position := range workers {
		if !leadership.goesOn(&workers[position]) {
			unknown = append(unknown, workers[position].Worker)
		}
	}
	return unknown, nil
}

// HandleShutdown takes the statement of a worker that it ends now. See Beat.
func (overseer *Overseer) HandleShutdown(worker scheduler.WorkerName) error {
	leadership, err := overseer.acting()
	if err != nil {
		return err
	}
	leadership.leave(worker)
	return nil
}

// acting returns the present leadership, or an error of class scheduler.ErrNotRun when this VM does not lead.
func (overseer *Overseer) acting() (*leadership, error) {
	leadership := overseer.current.Load()
	if leadership == nil || !overseer.group.HoldsLeaderLease() {
		return nil, scheduler.ErrNotRun.New("this VM does not lead the domain")
	}
	return leadership, nil
}

// goesOn takes a beat that repeats the last one. It returns false if that one is not known. The mutex is held.
func (leadership *leadership) goesOn(heard *HeartbeatDelta) bool {
	life := leadership.lives[heard.Worker]
	if life == nil || !life.known || life.over || life.life != heard.Instance || life.beat.Phase != scheduler.WorkerReady {
		return false
	}
	if heard.Sequence <= life.beat.Sequence {
		return true
	}
	now := leadership.now()
	life.beat.Sequence, life.beat.Clock = heard.Sequence, heard.Clock
	life.heard = max(life.heard, now-heard.Age)
	life.noteOldClock(heard.Clock, now)
	leadership.watchWorker(life)
	return true
}

// beat takes what a worker stated about itself some time ago. A beat of an earlier life, or one that was overtaken by
// a later one, changes nothing. The mutex is held.
func (leadership *leadership) beat(beat scheduler.WorkerHeartbeat, age time.Duration) {
	life := leadership.lives[beat.Worker]
	switch {
	case life != nil && beat.Instance < life.life, life != nil && life.known && beat.Instance == life.life && beat.Sequence <= life.beat.Sequence:
		return
	case leadership.isReplaced(&beat):
		return
	case life != nil && life.life < beat.Instance:
		life = leadership.succeed(life, beat.Instance)
	}
	if life == nil {
		life = newWorker(beat.Worker, beat.Instance)
		life.synced = true // No leader has sent orders to this life: its attempts would be in the log.
		leadership.lives[beat.Worker] = life
	}
	leadership.replaceOthers(&beat)
	if !life.known || life.beat.Phase != beat.Phase {
		leadership.logger.Info().Str("event", "workerHeard").Str("worker", string(beat.Worker)).Uint64("life", uint64(beat.Instance)).
			Str("phase", string(beat.Phase)).Dur("remaining", beat.DrainRemaining).Dur("age", age).Str("dataCentre", string(beat.DataCentre)).
			Str("address", beat.Address).Msg("worker state changed")
		leadership.replan()
	}
	now := leadership.now()
	life.known, life.beat, life.heard = true, beat, max(life.heard, now-age)
	leadership.failures.quarantiner.Add(beat.Worker)
	life.noteOldClock(beat.Clock, now)
	leadership.watchWorker(life)
}

// place is where only one worker can run at a time: an address or a VM.
type place string

func placesOf(beat *scheduler.WorkerHeartbeat) []place {
	places := []place{place("address " + beat.Address)}
	if beat.VM != "" {
		places = append(places, vmPlace(beat.VM))
	}
	return places
}

func vmPlace(vm scheduler.VMName) place { return place("VM " + string(vm)) }

// isReplaced reports whether a later worker runs in the place of one whose beat arrives late.
func (leadership *leadership) isReplaced(beat *scheduler.WorkerHeartbeat) bool {
	for _, place := range placesOf(beat) {
		if other := leadership.lives[leadership.places[place]]; other != nil && other.name != beat.Worker && other.life > beat.Instance {
			return true
		}
	}
	return false
}

// replaceOthers ends the lives of other workers in the same place that began before.
func (leadership *leadership) replaceOthers(beat *scheduler.WorkerHeartbeat) {
	for _, place := range placesOf(beat) {
		other := leadership.lives[leadership.places[place]]
		if other != nil && other.name != beat.Worker && other.known && other.life < beat.Instance {
			leadership.endLife(other, "another worker runs in its place")
		}
		leadership.places[place] = beat.Worker
	}
}
