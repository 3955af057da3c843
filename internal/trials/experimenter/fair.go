package experimenter

import (
	"github.com/crocusplank/crocusplank/internal/placement/quotakeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fair is the policy quarantined plus the quota keeper. Every team has the same quota of batch resources.
func fair(sim *simulation) (*policy, error) {
	p, err := quarantined(sim)
	if err != nil {
		return nil, err
	}
	d := sim.deployment
	batchCapacity := scheduler.Resources{
		MilliCores: int64(d.workers*d.cores) * 750, MemoryBytes: int64(d.workers*d.gigabytes) << 30 * 3 / 4,
	}
	keeper, err := quotakeeper.New(batchCapacity)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for n := range teamCount {
		keeper.SetQuota(teamName(n), scheduler.Resources{
			MilliCores: batchCapacity.MilliCores / teamCount, MemoryBytes: batchCapacity.MemoryBytes / teamCount,
		})
	}
	p.attached = func(sim *simulation, t *task) {
		if t.job.class == scheduler.ClassBatch {
			keeper.TaskStarted(epoch.Add(sim.now), t.id, t.job.team, sim.spec(t).Request)
		}
	}
	p.detached = func(_ *simulation, t *task) { keeper.TaskEnded(t.id) }
	p.order = func(sim *simulation, pending []scheduler.PendingTask) []scheduler.PendingTask {
		// The tasks after the first half of the round rotate, so that tasks that fit on no worker do not block the others.
		order := keeper.Order(epoch.Add(sim.now), pending, 4*roundSize)
		first := min(len(order), roundSize/2)
		rest := order[first:]
		turn := 0
		if len(rest) > 0 {
			turn = sim.rounds * roundSize / 2 % len(rest)
		}
		sim.rounds++
		return append(order[:first:first], rest[turn:min(turn+roundSize/2, len(rest))]...)
	}
	return p, nil
}
