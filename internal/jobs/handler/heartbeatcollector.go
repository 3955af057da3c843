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
	// batchInterval is the interval at which repeated heartbeats are forwarded to the leader.
	batchInterval = 250 * time.Millisecond
	// batchTimeout bounds the time to forward one batch.
	batchTimeout = 700 * time.Millisecond
	// maxHandoverAge is the maximum age of a heartbeat that is forwarded to a new leader.
	maxHandoverAge = 2 * time.Second
	// heartbeatRetention is how long the last heartbeat of a worker is kept.
	heartbeatRetention = 30 * time.Second
)

// HeartbeatCollector receives heartbeats of workers on a VM that holds the replicated state. It forwards the first
// heartbeat of a worker and every heartbeat with changed content to the leader immediately. Heartbeats that only repeat
// the previous content are forwarded in batches with those of other workers. It is safe for concurrent use.
type HeartbeatCollector struct {
	leaderClient *LeaderClient
	logger       zerolog.Logger

	mutex sync.Mutex
	// latest holds the last heartbeat of each worker, with content that a leader has acknowledged.
	latest map[scheduler.WorkerName]receivedHeartbeat
	// pending holds the workers with a repeated heartbeat that has not been forwarded yet.
	pending map[scheduler.WorkerName]bool
	// syncedLeader is the leader to which all recent heartbeats were forwarded in full. It is empty if there is none.
	syncedLeader scheduler.VMName
}

type receivedHeartbeat struct {
	heartbeat  scheduler.WorkerHeartbeat
	receivedAt time.Time
}

// NewHeartbeatCollector returns a HeartbeatCollector that forwards heartbeats with leaderClient.
func NewHeartbeatCollector(leaderClient *LeaderClient, logger zerolog.Logger) *HeartbeatCollector {
	return &HeartbeatCollector{
		leaderClient: leaderClient, logger: logger,
		latest: map[scheduler.WorkerName]receivedHeartbeat{}, pending: map[scheduler.WorkerName]bool{},
	}
}

// Run forwards repeated heartbeats until ctx ends.
func (heartbeatCollector *HeartbeatCollector) Run(ctx context.Context) {
	for waiter.Sleep(ctx, batchInterval) {
		heartbeatCollector.flush(ctx)
	}
}

// Heartbeat handles a heartbeat. The status is StatusDone only if the leader has received the content of the heartbeat.
func (heartbeatCollector *HeartbeatCollector) Heartbeat(
	ctx context.Context, heartbeat *scheduler.WorkerHeartbeat,
) Response {
	if heartbeatCollector.acceptRepeated(heartbeat) {
		return Response{Status: StatusDone}
	}
	response := heartbeatCollector.leaderClient.Do(ctx, &Request{Heartbeat: heartbeat})
	if response.Status == StatusDone {
		heartbeatCollector.record(heartbeat)
	}
	return response
}

// Leave handles the deregistration of a worker that is shutting down.
func (heartbeatCollector *HeartbeatCollector) Leave(ctx context.Context, worker scheduler.WorkerName) Response {
	heartbeatCollector.mutex.Lock()
	delete(heartbeatCollector.latest, worker)
	delete(heartbeatCollector.pending, worker)
	heartbeatCollector.mutex.Unlock()
	return heartbeatCollector.leaderClient.Do(ctx, &Request{Leave: &LeaveRequest{Worker: worker}})
}

// acceptRepeated reports whether a heartbeat only repeats content that the current leader has received. If so, the
// heartbeat is queued for the next batch. Heartbeats of workers that are not ready never count as repeated, because the
// state that a draining worker reports changes each time. Neither do heartbeats that do not directly follow the last one
// received here: another VM may have received one in between, with other content that the leader now holds.
func (heartbeatCollector *HeartbeatCollector) acceptRepeated(heartbeat *scheduler.WorkerHeartbeat) bool {
	heartbeatCollector.mutex.Lock()
	defer heartbeatCollector.mutex.Unlock()
	known, found := heartbeatCollector.latest[heartbeat.Worker]
	if !found || !heartbeatCollector.isSynced(heartbeatCollector.leaderClient.Leader()) {
		return false
	}
	if heartbeat.Phase != scheduler.WorkerReady || !sameContent(&known.heartbeat, heartbeat) ||
		heartbeat.Sequence != known.heartbeat.Sequence+1 {
		return false
	}
	heartbeatCollector.latest[heartbeat.Worker] = receivedHeartbeat{heartbeat: *heartbeat, receivedAt: time.Now()}
	heartbeatCollector.pending[heartbeat.Worker] = true
	return true
}

// isSynced reports whether the current leader has received all recent heartbeats in full. leader is the known leader. After
// a request without a response it is empty, until the same or another leader responds. The mutex must be held.
func (heartbeatCollector *HeartbeatCollector) isSynced(leader scheduler.VMName) bool {
	return heartbeatCollector.syncedLeader != "" && heartbeatCollector.leaderClient.Reachable() &&
		(leader == "" || leader == heartbeatCollector.syncedLeader)
}

// sameContent reports whether two heartbeats of a worker differ only in sequence number and clock.
func sameContent(a, b *scheduler.WorkerHeartbeat) bool {
	return a.Instance == b.Instance && a.VM == b.VM && a.Pool == b.Pool && a.Address == b.Address &&
		a.DataCentre == b.DataCentre && a.Phase == b.Phase && a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}

func (heartbeatCollector *HeartbeatCollector) record(heartbeat *scheduler.WorkerHeartbeat) {
	heartbeatCollector.mutex.Lock()
	defer heartbeatCollector.mutex.Unlock()
	known, found := heartbeatCollector.latest[heartbeat.Worker]
	if found && known.heartbeat.Instance == heartbeat.Instance && known.heartbeat.Sequence >= heartbeat.Sequence {
		return
	}
	heartbeatCollector.latest[heartbeat.Worker] = receivedHeartbeat{heartbeat: *heartbeat, receivedAt: time.Now()}
}

// flush forwards the queued repeated heartbeats to the leader. A new leader receives all recent heartbeats in full, so
// that it does not have to wait for the next ones. Workers that the leader reports as unknown are sent in full, too.
func (heartbeatCollector *HeartbeatCollector) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	leader := heartbeatCollector.leaderClient.Leader()
	request, handover := heartbeatCollector.nextBatch(leader)
	if request == nil {
		return
	}
	response := heartbeatCollector.leaderClient.Do(ctx, request)
	if response.Status != StatusDone {
		heartbeatCollector.handleFailedBatch(request.Heartbeats, handover)
		return
	}
	if handover {
		heartbeatCollector.setSyncedLeader(leader)
		heartbeatCollector.logger.Info().Str("event", "beatsHandedOver").Str("leader", string(leader)).
			Int("workers", len(request.Heartbeats.Full)).Msg("recent heartbeats forwarded to the new leader")
	}
	if missing := heartbeatCollector.recentHeartbeats(response.UnknownWorkers); len(missing) > 0 {
		heartbeatCollector.leaderClient.Do(ctx, &Request{Heartbeats: &HeartbeatBatch{Full: missing}})
	}
}

// handleFailedBatch queues repeated heartbeats again. The leader still holds their content, or reports the workers as
// unknown if it has lost it. Forwarding each heartbeat on its own instead would multiply the load of a leader that is slow
// to respond.
func (heartbeatCollector *HeartbeatCollector) handleFailedBatch(batch *HeartbeatBatch, handover bool) {
	heartbeatCollector.mutex.Lock()
	defer heartbeatCollector.mutex.Unlock()
	if handover {
		heartbeatCollector.syncedLeader = ""
		return
	}
	for position := range batch.Repeated {
		worker := batch.Repeated[position].Worker
		if _, found := heartbeatCollector.latest[worker]; found {
			heartbeatCollector.pending[worker] = true
		}
	}
}

// nextBatch returns the next batch for the leader, or nil if there is nothing to forward. handover is true if the batch
// holds all recent heartbeats for a new leader.
func (heartbeatCollector *HeartbeatCollector) nextBatch(leader scheduler.VMName) (request *Request, handover bool) {
	heartbeatCollector.mutex.Lock()
	defer heartbeatCollector.mutex.Unlock()
	heartbeatCollector.evictExpired()
	if leader == "" {
		if !heartbeatCollector.isSynced(leader) {
			heartbeatCollector.syncedLeader = ""
		}
		return nil, false
	}
	batch := &HeartbeatBatch{}
	if leader != heartbeatCollector.syncedLeader {
		for worker := range heartbeatCollector.latest {
			batch.Full = append(batch.Full, heartbeatCollector.recentHeartbeat(worker)...)
		}
		clear(heartbeatCollector.pending)
		if len(batch.Full) == 0 {
			heartbeatCollector.syncedLeader = leader
			return nil, false
		}
		return &Request{Heartbeats: batch}, true
	}
	if len(heartbeatCollector.pending) == 0 {
		return nil, false
	}
	for worker := range heartbeatCollector.pending {
		known := heartbeatCollector.latest[worker]
		batch.Repeated = append(batch.Repeated, overseer.HeartbeatDelta{
			Worker: worker, Instance: known.heartbeat.Instance, Sequence: known.heartbeat.Sequence,
			Clock: known.heartbeat.Clock, Age: time.Since(known.receivedAt),
		})
	}
	clear(heartbeatCollector.pending)
	return &Request{Heartbeats: batch}, false
}

// evictExpired removes workers whose last heartbeat is older than heartbeatRetention. The mutex must be held.
func (heartbeatCollector *HeartbeatCollector) evictExpired() {
	for worker, known := range heartbeatCollector.latest {
		if time.Since(known.receivedAt) > heartbeatRetention {
			delete(heartbeatCollector.latest, worker)
			delete(heartbeatCollector.pending, worker)
		}
	}
}

// recentHeartbeat returns the last heartbeat of a worker if it is not older than maxHandoverAge. The mutex must be
// held.
func (heartbeatCollector *HeartbeatCollector) recentHeartbeat(worker scheduler.WorkerName) []overseer.RelayedHeartbeat {
	known, found := heartbeatCollector.latest[worker]
	if age := time.Since(known.receivedAt); found && age < maxHandoverAge {
		return []overseer.RelayedHeartbeat{{Heartbeat: known.heartbeat, Age: age}}
	}
	return nil
}

// recentHeartbeats returns the recent heartbeats of workers. It removes the workers that have none, so that their next
// heartbeat is forwarded in full.
func (heartbeatCollector *HeartbeatCollector) recentHeartbeats(
	workers []scheduler.WorkerName,
) []overseer.RelayedHeartbeat {
	heartbeatCollector.mutex.Lock()
	defer heartbeatCollector.mutex.Unlock()
	var heartbeats []overseer.RelayedHeartbeat
	for _, worker := range workers {
		recent := heartbeatCollector.recentHeartbeat(worker)
		if len(recent) == 0 {
			delete(heartbeatCollector.latest, worker)
		}
		heartbeats = append(heartbeats, recent...)
	}
	return heartbeats
}

func (heartbeatCollector *HeartbeatCollector) setSyncedLeader(leader scheduler.VMName) {
	heartbeatCollector.mutex.Lock()
	defer heartbeatCollector.mutex.Unlock()
	heartbeatCollector.syncedLeader = leader
}

// HeartbeatTarget returns the VM to which a worker should send its heartbeats. Workers are distributed evenly over the
// reachable VMs. The result is empty if no VM is reachable, since no other VM is then a better target than this one.
func (heartbeatCollector *HeartbeatCollector) HeartbeatTarget(worker scheduler.WorkerName) scheduler.VMName {
	return heartbeatCollector.leaderClient.heartbeatTarget(worker)
}
