package experimenter

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/placement/quarantiner"
)

// survival is the age from which a running attempt counts as a success.
const survival = 30 * time.Second

// quarantined is controlled with the quarantiner.
func quarantined(w *world) (*policy, error) {
	p, err := controlled(w)
	if err != nil {
		return nil, err
	}
	q, err := quarantiner.New()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	for _, name := range []string{"jobsRefused", "jobsRefusedWrongly", "wrongQuarantineMinutes"} {
		w.measure.extra[name] = 0
	}
	for _, v := range w.vms {
		q.Add(v.worker.Name)
	}
	observe := func(w *world, t *task, v *vm, started time.Duration, outcome quarantiner.Outcome) {
		q.Observe(quarantiner.Attempt{
			Job: t.job.id, Worker: v.worker.Name, Outcome: outcome,
			Started: epoch.Add(started), Ended: epoch.Add(w.now),
		})
	}
	p.failed = func(w *world, t *task, v *vm, started time.Duration) {
		observe(w, t, v, started, quarantiner.OutcomeFailed)
		if _, hopeless := q.JobFault(t.job.id); hopeless {
			w.cancel(t.job)
			w.measure.extra["jobsRefused"]++
			if !t.job.failsAlways {
				w.measure.extra["jobsRefusedWrongly"]++
			}
		}
	}
	p.survived = func(w *world, t *task) { observe(w, t, t.worker, t.started, quarantiner.OutcomeRunning) }
	p.finished = func(w *world, t *task, v *vm, ran time.Duration, _ bool) {
		observe(w, t, v, w.now-ran, quarantiner.OutcomeSucceeded)
	}
	p.usable = func(w *world, v *vm) bool {
		usable := q.Status(v.worker.Name, epoch.Add(w.now)) != quarantiner.StatusQuarantined
		if !usable && !v.failing {
			w.measure.extra["wrongQuarantineMinutes"] += step.Minutes()
		}
		return usable
	}
	return p, nil
}
