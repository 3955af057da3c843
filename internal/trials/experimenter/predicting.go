package experimenter

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/placement/predictor"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// predictorWarmUp is the time at the start of a run when the predictor has too little history. Dates stated for jobs
// submitted in it are not evaluated.
const predictorWarmUp = 20 * time.Minute

// predicting is the policy fair plus the predictor, which states a completion date for each batch job that is to be met
// with a probability of 90%.
func predicting(sim *simulation) (*policy, error) {
	p, err := fair(sim)
	if err != nil {
		return nil, err
	}
	dates, err := predictor.New()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	stated := map[*job]time.Time{}
	p.submitted = func(sim *simulation, j *job) {
		if j.class == scheduler.ClassBatch {
			stated[j] = dates.Predict(epoch.Add(sim.now), predictor.Query{
				Job: j.id, Team: j.team, Kind: kindName(j.kind), DeclaredRunTime: j.declaredRunTime, Backlog: sim.backlog(),
			})
		}
	}
	p.cancelled = func(_ *simulation, j *job) {
		dates.Remove(j.id)
		delete(stated, j)
	}
	finished := p.finished
	p.finished = func(sim *simulation, t *task, w *simulatedWorker, ran time.Duration, last bool) {
		finished(sim, t, w, ran, last)
		dates.ObserveRunTime(t.job.team, kindName(t.job.kind), t.job.declaredRunTime, ran)
		if last {
			dates.JobFinished(epoch.Add(sim.now), t.job.id)
			t.job.endedAt = sim.now
		}
	}
	p.runEnded = func(sim *simulation) { recordDateAccuracy(sim, stated) }
	return p, nil
}

// recordDateAccuracy records which stated dates were met. Dates after the end of the run are not evaluated.
func recordDateAccuracy(sim *simulation, stated map[*job]time.Time) {
	var judged, met, length, took float64
	for _, j := range sim.submitted {
		date, ok := stated[j]
		if !ok || j.submittedAt < predictorWarmUp || date.After(epoch.Add(sim.horizon)) {
			continue
		}
		judged++
		if j.endedAt > 0 && !epoch.Add(j.endedAt).After(date) {
			met++
			length += date.Sub(epoch.Add(j.submittedAt)).Seconds()
			took += (j.endedAt - j.submittedAt).Seconds()
		}
	}
	sim.recorder.extra["statedDatesJudged"] = judged
	sim.recorder.extra["statedDatesMet"] = met / max(1, judged)
	sim.recorder.extra["statedOverTaken"] = length / max(1, took)
}

// backlog returns the declared work of all pending batch tasks as the time that the cluster needs for it. Batch tasks get
// three quarters of the processors, because services declare a quarter.
func (sim *simulation) backlog() time.Duration {
	var waiting float64
	for _, t := range sim.pending {
		if t.job.class == scheduler.ClassBatch {
			waiting += float64(t.job.request.MilliCores) / 1000 * t.job.declaredRunTime.Seconds()
		}
	}
	cores := 0.75 * float64(sim.deployment.workers*sim.deployment.cores)
	return time.Duration(waiting / cores * float64(time.Second))
}
