package experimenter

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/placement/predictor"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// predictionWarmUp is the time without history, whose stated dates are not measured.
const predictionWarmUp = 20 * time.Minute

// predicting is fair with dates stated at 90%.
func predicting(w *world) (*policy, error) {
	p, err := fair(w)
	if err != nil {
		return nil, err
	}
	dates, err := predictor.New()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	stated := map[*job]time.Time{}
	p.submitted = func(w *world, j *job) {
		if j.class == scheduler.ClassBatch {
			stated[j] = dates.Predict(epoch.Add(w.now), predictor.Query{
				Job: j.id, Team: j.team, Kind: kindName(j.kind), DeclaredRunTime: j.declared, Backlog: w.backlog(),
			})
		}
	}
	p.cancelled = func(_ *world, j *job) {
		dates.Remove(j.id)
		delete(stated, j)
	}
	finished := p.finished
	p.finished = func(w *world, t *task, v *vm, ran time.Duration, last bool) {
		finished(w, t, v, ran, last)
		dates.ObserveRunTime(t.job.team, kindName(t.job.kind), t.job.declared, ran)
		if last {
			dates.JobFinished(epoch.Add(w.now), t.job.id)
			t.job.ended = w.now
		}
	}
	p.closing = func(w *world) { measureDates(w, stated) }
	return p, nil
}

// measureDates counts the dates that fall into the run. Dates after its end are not judged.
func measureDates(w *world, stated map[*job]time.Time) {
	var judged, met, length, took float64
	for _, j := range w.submitted {
		date, ok := stated[j]
		if !ok || j.at < predictionWarmUp || date.After(epoch.Add(w.horizon)) {
			continue
		}
		judged++
		if j.ended > 0 && !epoch.Add(j.ended).After(date) {
			met++
			length += date.Sub(epoch.Add(j.at)).Seconds()
			took += (j.ended - j.at).Seconds()
		}
	}
	w.measure.extra["statedDatesJudged"] = judged
	w.measure.extra["statedDatesMet"] = met / max(1, judged)
	w.measure.extra["statedOverTaken"] = length / max(1, took)
}

// backlog returns the declared work that waits, as the time that the fleet takes for it.
func (w *world) backlog() time.Duration {
	var waiting float64
	for _, t := range w.pending {
		if t.job.class == scheduler.ClassBatch {
			waiting += float64(t.job.request.MilliCores) / 1000 * t.job.declared.Seconds()
		}
	}
	cores := 0.75 * float64(w.deployment.workers*w.deployment.cores)
	return time.Duration(waiting / cores * float64(time.Second))
}
