package handler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/internal/jobs/overseer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// collectInterval is how often repeated beats are passed on.
	collectInterval = 250 * time.Millisecond
	// collectTimeout bounds that.
	collectTimeout = 700 * time.Millisecond
	// beatAge is how old a beat may be that a new leader is told.
	beatAge = 2 * time.Second
	// forgetBeat is after how long without a further one a beat is forgotten.
	forgetBeat = 30 * time.Second
)

// HeartbeatCollector takes the beats of workers on a VM that holds state. It passes to the leader at once what a worker states
// for the first time or in another form; that a worker goes on as it was reaches the leader together with the same of
// other workers. It is safe for concurrent use.
type HeartbeatCollector struct {
	courier *LeaderClient
	logger  zerolog.Logger

	mutex sync.Mutex
	// heard holds the last beat of each worker that the leader knows of.
	heard map[scheduler.WorkerName]heardBeat
	// repeated holds the workers whose beats have not been passed on yet.
	repeated map[scheduler.WorkerName]bool
	// leader is the VM that was told the beats, empty after one that could not be reached.
	leader scheduler.VMName
}

type heardBeat struct {
	beat scheduler.WorkerHeartbeat
	at   time.Time
}

// NewHeartbeatCollector returns a Collector that passes beats on with a courier.
func NewHeartbeatCollector(courier *LeaderClient, logger zerolog.Logger) *HeartbeatCollector {
	return &HeartbeatCollector{
		courier: courier, logger: logger, heard: map[scheduler.WorkerName]heardBeat{}, repeated: map[scheduler.WorkerName]bool{},
	}
}

// Run passes on repeated beats until ctx ends.
func (collector *HeartbeatCollector) Run(ctx context.Context) {
	for waiter.Sleep(ctx, collectInterval) {
		collector.flush(ctx)
	}
}

// Heartbeat takes a beat. The answer is StatusDone only if the leader knows what the worker states.
func (collector *HeartbeatCollector) Heartbeat(ctx context.Context, beat *scheduler.WorkerHeartbeat) Response {
	if collector.repeats(beat) {
		return Response{Status: StatusDone}
	}
	answer := collector.courier.Do(ctx, &Request{Heartbeat: beat})
	if answer.Status == StatusDone {
		collector.note(beat)
	}
	return answer
}

// Leave takes the statement of a worker that it ends now.
func (collector *HeartbeatCollector) Leave(ctx context.Context, worker scheduler.WorkerName) Response {
	collector.mutex.Lock()
	delete(collector.heard, worker)
	delete(collector.repeated, worker)
	collector.mutex.Unlock()
	return collector.courier.Do(ctx, &Request{Leave: &LeaveRequest{Worker: worker}})
}

// repeats reports whether a beat only repeats what the present leader was told, and if so keeps it for the next flush.
// What a draining worker states changes from beat to beat.
func (collector *HeartbeatCollector) repeats(beat *scheduler.WorkerHeartbeat) bool {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	known, found := collector.heard[beat.Worker]
	if !found || collector.leader == "" || !collector.courier.Reachable() || collector.courier.Leader() != collector.leader {
		return false
	}
	if beat.Phase != scheduler.WorkerReady || !sameStatement(&known.beat, beat) || beat.Sequence <= known.beat.Sequence {
		return false
	}
	collector.heard[beat.Worker] = heardBeat{beat: *beat, at: time.Now()}
	collector.repeated[beat.Worker] = true
	return true
}

// sameStatement reports whether two beats of a worker differ only in their number and time.
func sameStatement(a, b *scheduler.WorkerHeartbeat) bool {
	return a.Instance == b.Instance && a.VM == b.VM && a.Pool == b.Pool && a.Address == b.Address && a.DataCentre == b.DataCentre &&
		a.Phase == b.Phase && a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}

func (collector *HeartbeatCollector) note(beat *scheduler.WorkerHeartbeat) {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	known, found := collector.heard[beat.Worker]
	if found && known.beat.Instance == beat.Instance && known.beat.Sequence >= beat.Sequence {
		return
	}
	collector.heard[beat.Worker] = heardBeat{beat: *beat, at: time.Now()}
}

// flush tells the leader which workers go on as they were. A leader that is new is told all beats that are recent, so
// that it does not have to wait for the next ones; so is one that does not know some of the workers.
func (collector *HeartbeatCollector) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	leader := collector.courier.Leader()
	request, fresh := collector.nextFlush(leader)
	if request == nil {
		return
	}
	answer := collector.courier.Do(ctx, request)
	if answer.Status != StatusDone {
		collector.setLeader("")
		return
	}
	if fresh {
		collector.setLeader(leader)
		collector.logger.Info().Str("event", "beatsHandedOver").Str("leader", string(leader)).Int("workers", len(request.Heartbeats.Full)).
			Msg("a new leader was told the beats of workers")
	}
	if missing := collector.beatsOf(answer.UnknownWorkers); len(missing) > 0 {
		collector.courier.Do(ctx, &Request{Heartbeats: &HeartbeatBatch{Full: missing}})
	}
}

// nextFlush returns what the leader is to be told, nil for nothing. fresh is true if the leader was told nothing yet.
func (collector *HeartbeatCollector) nextFlush(leader scheduler.VMName) (request *Request, fresh bool) {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	collector.forget()
	if leader == "" {
		collector.leader = ""
		return nil, false
	}
	heard := &HeartbeatBatch{}
	if leader != collector.leader {
		for worker := range collector.heard {
			heard.Full = append(heard.Full, collector.aged(worker)...)
		}
		clear(collector.repeated)
		if len(heard.Full) == 0 {
			collector.leader = leader
			return nil, false
		}
		return &Request{Heartbeats: heard}, true
	}
	if len(collector.repeated) == 0 {
		return nil, false
	}
	for worker := range collector.repeated {
		known := collector.heard[worker]
		heard.Repeated = append(heard.Repeated, overseer.HeardWorker{
			Worker: worker, Instance: known.beat.Instance, Sequence: known.beat.Sequence, Clock: known.beat.Clock, Age: time.Since(known.at),
		})
	}
	clear(collector.repeated)
	return &Request{Heartbeats: heard}, false
}

// forget drops workers that have not been heard of for long. The mutex is held.
func (collector *HeartbeatCollector) forget() {
	for worker, known := range collector.heard {
		if time.Since(known.at) > forgetBeat {
			delete(collector.heard, worker)
			delete(collector.repeated, worker)
		}
	}
}

// aged returns the beat of a worker if it is recent. The mutex is held.
func (collector *HeartbeatCollector) aged(worker scheduler.WorkerName) []overseer.AgedBeat {
	known, found := collector.heard[worker]
	if age := time.Since(known.at); found && age < beatAge {
		return []overseer.AgedBeat{{Beat: known.beat, Age: age}}
	}
	return nil
}

func (collector *HeartbeatCollector) beatsOf(workers []scheduler.WorkerName) []overseer.AgedBeat {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	var beats []overseer.AgedBeat
	for _, worker := range workers {
		recent := collector.aged(worker)
		if len(recent) == 0 {
			delete(collector.heard, worker)
		}
		beats = append(beats, recent...)
	}
	return beats
}

func (collector *HeartbeatCollector) setLeader(leader scheduler.VMName) {
	collector.mutex.Lock()
	defer collector.mutex.Unlock()
	collector.leader = leader
}

// HeartbeatTarget returns the VM to which a worker should send its beats: each VM that can be reached is home to an equal part
// of the workers. It is empty where this VM is as good as any other.
func (collector *HeartbeatCollector) HeartbeatTarget(worker scheduler.WorkerName) scheduler.VMName {
	return collector.courier.home(worker)
}
