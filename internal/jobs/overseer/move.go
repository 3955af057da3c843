package overseer

import (
	"github.com/crocusplank/crocusplank/internal/jobs/pacer"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// poolImage is an image of fill tasks in a pool.
type poolImage struct {
	pool  scheduler.PoolName
	image string
}

// recordWaitingImages records the images of the fill tasks that a planning cycle assigned to no worker of a pool. The
// mutex must be held.
func (leadership *leadership) recordWaitingImages(
	pool scheduler.PoolName, groups []packer.Group, assignments []packer.Assignment,
) {
	assigned := map[stepKey]int{}
	for _, assignment := range assignments {
		assigned[keyOf(assignment.Task)]++
	}
	for position := range groups {
		group := &groups[position]
		if group.Step.Fill && len(group.Tasks) > assigned[keyOf(group.Tasks[0])] {
			leadership.waitingImages[poolImage{pool: pool, image: group.Step.Image}] = true
		}
	}
}

// moveIfPausedTooLong stops a paused fill task that is to be moved to another worker. The mutex must be held.
func (leadership *leadership) moveIfPausedTooLong(instance *worker, id scheduler.RunID, attempt *attempt) {
	othersWait := leadership.waitingImages[poolImage{pool: instance.heartbeat.Pool, image: attempt.spec.Image}]
	if leadership.now()-attempt.pausedSince <= pacer.MaxPause(othersWait) {
		return
	}
	reason := "paused for too long because of the latency of a serving task; no task of its image waits for a worker"
	if othersWait {
		reason = "paused for too long because of the latency of a serving task, while tasks of its image wait for a worker"
	}
	leadership.stopAttempt(instance, id, reason)
}
