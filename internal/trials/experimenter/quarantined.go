package experimenter

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/placement/quarantiner"
)

// survivalTime is the age from which a running attempt counts as a success of its worker.
const survivalTime = 30 * time.Second

// quarantined is the policy controlled plus the quarantiner.
func quarantined(sim *simulation) (*policy, error) {
	p, err := controlled(sim)
	if err != nil {
		return nil, err
	}
	q, err := quarantiner.New()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for _, name := range []string{"jobsRefused", "jobsRefusedWrongly", "wrongQuarantineMinutes"} {
		sim.recorder.extra[name] = 0
	}
	for _, w := range sim.workers {
		q.Add(w.worker.Name)
	}
	observe := func(sim *simulation, t *task, w *simulatedWorker, started time.Duration, outcome quarantiner.Outcome) {
		q.Observe(quarantiner.Attempt{
			Job: t.job.id, Worker: w.worker.Name, Outcome: outcome,
			Started: epoch.Add(started), Ended: epoch.Add(sim.now),
		})
	}
	p.failed = func(sim *simulation, t *task, w *simulatedWorker, started time.Duration) {
		observe(sim, t, w, started, quarantiner.OutcomeFailed)
		if _, hopeless := q.JobFault(t.job.id); hopeless {
			sim.cancel(t.job)
			sim.recorder.extra["jobsRefused"]++
			if !t.job.failsAlways {
				sim.recorder.extra["jobsRefusedWrongly"]++
			}
		}
	}
	p.survived = func(sim *simulation, t *task) { observe(sim, t, t.worker, t.started, quarantiner.OutcomeRunning) }
	p.finished = func(sim *simulation, t *task, w *simulatedWorker, ran time.Duration, _ bool) {
		observe(sim, t, w, sim.now-ran, quarantiner.OutcomeSucceeded)
	}
	p.usable = func(sim *simulation, w *simulatedWorker) bool {
		usable := q.Status(w.worker.Name, epoch.Add(sim.now)) != quarantiner.StatusQuarantined
		if !usable && !w.failing {
			sim.recorder.extra["wrongQuarantineMinutes"] += step.Minutes()
		}
		return usable
	}
	return p, nil
}
