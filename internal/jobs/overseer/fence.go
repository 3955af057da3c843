package overseer

import (
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// handleFenced records that a worker has rejected an order because it has seen a higher fencing token. For the rest of
// this leadership, the worker gets neither orders nor tasks. If this VM no longer leads, the leadership ends.
//
// The attempts of the worker may run under the orders of the next leader, so the lease of the worker is extended before
// they can end. The next leader sends orders only after this VM has lost the leader lease. If this VM still holds it when
// the lease of the worker expires, no next leader has renewed that lease. The mutex must be held.
func (leadership *leadership) handleFenced(instance *worker) {
	leadership.goroutines.Go(func() { leadership.settleFenced(instance) })
	if instance.fenced {
		return
	}
	instance.fenced = true
	instance.leaseExpiry = max(instance.leaseExpiry, leadership.leaseExpiryFrom(leadership.now()))
	leadership.overseer.metrics.fenced.Inc(1)
	if suppressed, allowed := leadership.repeatedWarnings.Allow("workerFenced"); allowed {
		leadership.logger.Warn().Str("event", "workerFenced").Str("worker", string(instance.name)).
			Uint64("life", uint64(instance.incarnation)).Int("attempts", len(instance.attempts)).
			Int("suppressed", suppressed).
			Msg("worker has seen a higher fencing token; it gets no more orders from this leadership")
	}
}

// settleFenced ends the leadership if this VM no longer leads the term or does not hold the leader lease. Otherwise no
// later leader had sent an order when the instance rejected this one, and the attempts whose start orders were all
// rejected or never sent end. The mutex must not be held.
func (leadership *leadership) settleFenced(instance *worker) {
	overseer := leadership.overseer
	if overseer.isLeaderOf(leadership.term) && overseer.group.HoldsLeaderLease() {
		leadership.endRejectedStarts(instance)
		return
	}
	if !leadership.deposed.Swap(true) {
		leadership.logger.Warn().Str("event", "tokenOutdated").Str("worker", string(instance.name)).
			Msg("a worker has seen a higher fencing token and this VM no longer leads; the leadership ends")
	}
}

// endRejectedStarts ends the attempts of which each start order was rejected or not sent.
func (leadership *leadership) endRejectedStarts(instance *worker) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	var ends []jobkeeper.End
	for id, attempt := range instance.attempts {
		if attempt.state != attemptStarting || attempt.recordingEnd || attempt.startSending || attempt.startUnanswered ||
			attempt.mayHaveStarted || instance.ended {
			continue
		}
		attempt.recordingEnd = true
		ends = append(ends, jobkeeper.End{Run: id, Kind: scheduler.EndRefused})
	}
	if len(ends) > 0 {
		leadership.overseer.metrics.refused.Inc(int64(len(ends)))
		leadership.goroutines.Go(func() { leadership.recordEnds(instance, ends) })
	}
}

// acceptsOrders reports whether orders may be sent to the instance.
func (worker *worker) acceptsOrders() bool {
	return !worker.ended && worker.hasHeartbeat && !worker.fenced
}
