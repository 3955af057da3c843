package overseer

import (
	"context"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// claim is a heartbeat whose sender says that it runs in place of other instances. The start time in a heartbeat proves
// nothing, because others than workers may send some: the heartbeat is applied once the sender has answered at its address.
type claim struct {
	heartbeat  scheduler.WorkerHeartbeat
	receivedAt time.Duration
	// displaced holds the instances that end if the claim holds.
	displaced []*worker
}

// displacedBy returns the instances that cannot be up if the sender of a heartbeat is: another one of the same worker, and
// those of other workers at its locations. refuted is true if one of them started later, so that the heartbeat is one that
// arrives late, or if the sender is known under another name. The mutex must be held.
func (leadership *leadership) displacedBy(heartbeat *scheduler.WorkerHeartbeat) (displaced []*worker, refuted bool) {
	if known := leadership.instances[heartbeat.Worker]; known != nil && known.incarnation != heartbeat.Instance {
		displaced = append(displaced, known)
	}
	for _, location := range locationsOf(heartbeat) {
		for _, other := range leadership.othersAt(location, heartbeat.Worker) {
			if slices.Contains(displaced, other) {
				continue
			}
			if leadership.isLaterOccupant(other, heartbeat) ||
				leadership.isKnownPool(heartbeat.Pool) && other.isSupersededBy(heartbeat) {
				displaced = append(displaced, other)
			}
		}
	}
	refuted = leadership.isKnownUnderOtherName(heartbeat) || slices.ContainsFunc(displaced, func(other *worker) bool {
		return other.incarnation > heartbeat.Instance && other.mayRun()
	})
	return displaced, refuted
}

// isKnownUnderOtherName reports whether the instance at the address of a heartbeat answers under another name. Its answer
// would seem to prove the heartbeat, because responses do not name the worker. The mutex must be held.
func (leadership *leadership) isKnownUnderOtherName(heartbeat *scheduler.WorkerHeartbeat) bool {
	other := leadership.instances[leadership.occupants[addressLocation(heartbeat.Address)]]
	return other != nil && other.name != heartbeat.Worker && other.hasHeartbeat && other.responded &&
		other.incarnation == heartbeat.Instance && other.heartbeat.Address == heartbeat.Address
}

// isLaterOccupant reports whether another worker at a location of the heartbeat started after its sender.
func (leadership *leadership) isLaterOccupant(other *worker, heartbeat *scheduler.WorkerHeartbeat) bool {
	return other.incarnation > heartbeat.Instance && leadership.isKnownPool(other.heartbeat.Pool)
}

// mayRun reports whether the instance has answered, or attempts may run on it. Otherwise it is known from heartbeats only.
func (worker *worker) mayRun() bool { return worker.responded || len(worker.attempts) > 0 }

// needsProof reports whether a heartbeat counts only once its sender has answered. An instance that no longer answers may be
// cut off and running, so that its silence is no proof.
func needsProof(displaced []*worker, heartbeat *scheduler.WorkerHeartbeat) bool {
	return slices.ContainsFunc(displaced, func(other *worker) bool {
		return other.mayRun() && other.respondedAt == "" || other.incarnation > heartbeat.Instance
	})
}

// verifyClaim asks the sender of a heartbeat to answer at its address. Each displaced instance is subject to one
// verification at a time, which bounds their number; the sender repeats its heartbeat. The mutex must be held.
func (leadership *leadership) verifyClaim(claim *claim) {
	if slices.ContainsFunc(claim.displaced, func(other *worker) bool { return other.claimed }) {
		return
	}
	for _, other := range claim.displaced {
		other.claimed = true
	}
	leadership.goroutines.Go(func() {
		report, proven := leadership.askSender(&claim.heartbeat)
		leadership.settleClaim(claim, &report, proven)
	})
}

// askSender sends the sender of a heartbeat a renewal that extends no lease and acknowledges nothing. proven is true if the
// instance of the heartbeat answered.
func (leadership *leadership) askSender(
	heartbeat *scheduler.WorkerHeartbeat,
) (report scheduler.WorkerReport, proven bool) {
	if !leadership.mayAct() {
		return scheduler.WorkerReport{}, false
	}
	ctx, cancel := context.WithTimeout(leadership.context, orderTimeout)
	defer cancel()
	sender := scheduler.WorkerRef{Worker: heartbeat.Worker, Instance: heartbeat.Instance, Address: heartbeat.Address}
	report, err := leadership.overseer.client.Renew(ctx, sender, scheduler.RenewOrder{Token: leadership.term})
	return report, err == nil && report.Instance == heartbeat.Instance &&
		report.Result != scheduler.OrderIncarnationMismatch
}

// settleClaim applies the heartbeat of a claim if its sender has answered.
func (leadership *leadership) settleClaim(claim *claim, report *scheduler.WorkerReport, proven bool) {
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	for _, other := range claim.displaced {
		other.claimed = false
	}
	if !proven {
		leadership.logUnprovenClaim(claim)
		return
	}
	if leadership.knows(&claim.heartbeat) {
		return
	}
	displaced, refuted := leadership.displacedBy(&claim.heartbeat)
	isOther := func(other *worker) bool { return !slices.Contains(claim.displaced, other) }
	if refuted || slices.ContainsFunc(displaced, isOther) {
		return // The sender repeats its heartbeat, which is then compared with what is known by now.
	}
	for _, other := range claim.displaced {
		if other.incarnation > claim.heartbeat.Instance {
			leadership.endInstance(other, "another worker responds in its place")
		}
	}
	now := leadership.now()
	instance := leadership.acceptHeartbeat(claim.heartbeat, now-claim.receivedAt)
	leadership.recordResponse(instance, now)
	instance.updateClock(report.Clock, now)
	leadership.replan()
}

// knows reports whether a heartbeat of the same instance has been applied. The mutex must be held.
func (leadership *leadership) knows(heartbeat *scheduler.WorkerHeartbeat) bool {
	known := leadership.instances[heartbeat.Worker]
	return known != nil && known.hasHeartbeat && known.incarnation == heartbeat.Instance
}

func (leadership *leadership) logUnprovenClaim(claim *claim) {
	suppressed, allowed := leadership.repeatedWarnings.Allow("beatUnproven")
	if !allowed {
		return
	}
	heartbeat := &claim.heartbeat
	leadership.logger.Warn().Str("event", "beatUnproven").Str("worker", string(heartbeat.Worker)).
		Uint64("life", uint64(heartbeat.Instance)).Str("address", heartbeat.Address).
		Str("displaces", string(claim.displaced[0].name)).Uint64("displacedLife", uint64(claim.displaced[0].incarnation)).
		Int("suppressed", suppressed).
		Msg("heartbeat displaces a worker, but its sender does not answer at its address; ignored")
}
