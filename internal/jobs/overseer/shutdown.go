package overseer

import "github.com/crocusplank/crocusplank/pkg/scheduler"

// handleShutdown processes the notification that a draining worker is shutting down. A delayed notification from an
// earlier instance is ignored, because the current instance is not draining.
//
// The notification does not prove that the worker has ended: until it is answered, the worker runs on for seconds. Its
// attempts are therefore stopped, and each ends only with a proof: its end is listed, its stop is answered, or the lease of
// the worker has expired. The lease is not renewed any more.
func (leadership *leadership) handleShutdown(name scheduler.WorkerName) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	instance := leadership.instances[name]
	if instance == nil || instance.ended || instance.heartbeat.Phase != scheduler.WorkerDraining {
		return
	}
	if !instance.shuttingDown {
		leadership.logger.Info().Str("event", "workerShutsDown").Str("worker", string(name)).
			Uint64("life", uint64(instance.incarnation)).Int("attempts", len(instance.attempts)).
			Dur("lease", instance.leaseExpiry-leadership.now()).
			Msg("worker is shutting down; its attempts are stopped")
	}
	instance.shuttingDown = true
	for id := range instance.attempts {
		leadership.stopAttempt(instance, id, "the worker is shutting down")
	}
}

// endShutDown ends an instance that is shutting down, once nothing runs on it and it has no ends to report. The mutex must
// be held.
func (leadership *leadership) endShutDown(instance *worker) {
	if !instance.shuttingDown || len(instance.attempts) > 0 {
		return
	}
	reported := instance.renewalAnswered && instance.endsAcknowledged() && instance.unknownAttempts == 0
	if reported || leadership.now() > instance.leaseExpiry {
		leadership.endClassified(instance, "the worker has shut down", leadership.classifyEnding(instance, false))
	}
}
