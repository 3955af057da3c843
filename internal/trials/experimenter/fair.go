package experimenter

import (
	"github.com/crocusplank/crocusplank/internal/placement/quotakeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fair is quarantined with the quota keeper. Every team has the same quota of batch resources.
func fair(w *world) (*policy, error) {
	p, err := quarantined(w)
	if err != nil {
		return nil, err
	}
	d := w.deployment
	fleet := scheduler.Resources{
		MilliCores: int64(d.workers*d.cores) * 750, MemoryBytes: int64(d.workers*d.gigabytes) << 30 * 3 / 4,
	}
	keeper, err := quotakeeper.New(fleet)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for n := range teamCount {
		keeper.SetQuota(teamName(n), scheduler.Resources{
			MilliCores: fleet.MilliCores / teamCount, MemoryBytes: fleet.MemoryBytes / teamCount,
		})
	}
	p.attached = func(w *world, t *task) {
		if t.job.class == scheduler.ClassBatch {
			keeper.TaskStarted(epoch.Add(w.now), t.id, t.job.team, w.spec(t).Request)
		}
	}
	p.detached = func(_ *world, t *task) { keeper.TaskEnded(t.id) }
	p.order = func(w *world, pending []scheduler.PendingTask) []scheduler.PendingTask {
		// Tasks behind the first ones take turns, so that tasks that fit nowhere block nobody.
		order := keeper.Order(epoch.Add(w.now), pending, 4*window)
		first := min(len(order), window/2)
		rest := order[first:]
		turn := 0
		if len(rest) > 0 {
			turn = w.rounds * window / 2 % len(rest)
		}
		w.rounds++
		return append(order[:first:first], rest[turn:min(turn+window/2, len(rest))]...)
	}
	return p, nil
}
