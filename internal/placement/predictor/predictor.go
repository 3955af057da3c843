// Package predictor states by when a job will be done, at a given confidence. It corrects declared run
// times by what tasks of the same team and kind really took, and sets the margin by how far earlier
// dates were off.
package predictor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("predictor")

const (
	defaultConfidence = 0.9
	// remembered is the number of finished jobs from which the margin is taken.
	remembered = 500
	// enough is the number of finished jobs before which firstMargin is used.
	enough      = 20
	firstMargin = 4.0
	// adaptation is how strongly one met or missed date moves the quantile in use. At 0.03 a run of
	// missed dates is answered within about 30 jobs.
	adaptation = 0.03
	// ratioGain is the weight of a new run time in the correction, pull the number of run times
	// from which a team's own correction weighs more than that of the kind.
	ratioGain = 0.05
	pull      = 5.0
	// beyond extends the margin past the largest score when too many jobs are still open.
	beyond = 1.5
	// shortest keeps ratios finite for jobs that declare nearly no time.
	shortest = time.Second
)

// Query describes a job at its submission.
type Query struct {
	Job             scheduler.JobID
	Team            scheduler.TeamName
	Kind            string
	DeclaredRunTime time.Duration
	// Backlog is the work that waits ahead, as the time that the fleet takes for it.
	Backlog time.Duration
}

// Predictor is used from one goroutine at a time.
type Predictor struct {
	confidence float64
	level      float64
	ratios     map[ratioKey]*ratio
	scores     []float64
	next       int
	open       map[scheduler.JobID]*stated
}

type ratioKey struct {
	team scheduler.TeamName
	kind string
}

// ratio follows the logarithm of the real run time divided by the declared one.
type ratio struct {
	mean  float64
	count float64
}

type stated struct {
	at     time.Time
	date   time.Time
	base   time.Duration
	missed bool
}

// Option changes a Predictor that New builds.
type Option func(*Predictor)

// WithConfidence sets the share of stated dates that are to be met.
func WithConfidence(confidence float64) Option {
	return func(predictor *Predictor) { predictor.confidence = confidence }
}

// New returns a Predictor without history.
func New(options ...Option) (*Predictor, error) {
	predictor := &Predictor{
		confidence: defaultConfidence, ratios: map[ratioKey]*ratio{}, open: map[scheduler.JobID]*stated{},
	}
	for _, option := range options {
		option(predictor)
	}
	if predictor.confidence <= 0 || predictor.confidence >= 1 {
		return nil, Error.New("confidence %v is not between 0 and 1", predictor.confidence)
	}
	predictor.level = predictor.confidence
	return predictor, nil
}

// Predict returns the date by which the job will be done at the confidence, and remembers it.
func (predictor *Predictor) Predict(now time.Time, query Query) time.Time {
	predictor.MarkMissed(now)
	corrected := float64(max(shortest, query.DeclaredRunTime)) * math.Exp(predictor.correction(query.Team, query.Kind))
	base := time.Duration(corrected) + max(0, query.Backlog)
	date := now.Add(time.Duration(float64(base) * predictor.margin(now)))
	predictor.open[query.Job] = &stated{at: now, date: date, base: base}
	return date
}

// ObserveRunTime learns from the run time of one task at full speed.
func (predictor *Predictor) ObserveRunTime(team scheduler.TeamName, kind string, declared, ran time.Duration) {
	value := math.Log(float64(max(shortest, ran)) / float64(max(shortest, declared)))
	for _, key := range []ratioKey{{team, kind}, {"", kind}, {"", ""}} {
		r := predictor.ratios[key]
		if r == nil {
			r = &ratio{}
			predictor.ratios[key] = r
		}
		r.count++
		r.mean += max(ratioGain, 1/r.count) * (value - r.mean)
	}
}

// JobFinished takes over the end of a job.
func (predictor *Predictor) JobFinished(now time.Time, job scheduler.JobID) {
	predictor.MarkMissed(now)
	s := predictor.open[job]
	if s == nil {
		return
	}
	delete(predictor.open, job)
	if !s.missed {
		predictor.adapt(true)
	}
	score := float64(now.Sub(s.at)) / float64(s.base)
	if len(predictor.scores) < remembered {
		predictor.scores = append(predictor.scores, score)
		return
	}
	predictor.scores[predictor.next] = score
	predictor.next = (predictor.next + 1) % remembered
}

// Remove forgets a job that was cancelled or refused.
func (predictor *Predictor) Remove(job scheduler.JobID) { delete(predictor.open, job) }

// MarkMissed counts the dates that have passed as missed, without waiting for the jobs' end.
func (predictor *Predictor) MarkMissed(now time.Time) {
	for _, s := range predictor.open {
		if !s.missed && now.After(s.date) {
			s.missed = true
			predictor.adapt(false)
		}
	}
}

// adapt moves the quantile in use so that, in the long run, the share of met dates is the confidence,
// also when the load changes and history alone would mislead.
func (predictor *Predictor) adapt(met bool) {
	if met {
		predictor.level -= adaptation * (1 - predictor.confidence)
	} else {
		predictor.level += adaptation * predictor.confidence
	}
	predictor.level = min(max(predictor.level, 0.5), 0.999)
}

// correction returns the logarithm of the expected ratio for a team and kind, pulled towards that of
// the kind, and that towards the one of all work, while there are few run times.
func (predictor *Predictor) correction(team scheduler.TeamName, kind string) float64 {
	var value float64
	for _, key := range []ratioKey{{"", ""}, {"", kind}, {team, kind}} {
		if r := predictor.ratios[key]; r != nil {
			value += r.count / (r.count + pull) * (r.mean - value)
		}
	}
	return value
}

// margin returns the quantile of the earlier scores at the level in use. Jobs that have not ended count
// with the score that they have at least (the estimator of Kaplan and Meier); without them a growing
// queue would show only the jobs that were lucky.
func (predictor *Predictor) margin(now time.Time) float64 {
	if len(predictor.scores) < enough {
		return firstMargin
	}
	type observation struct {
		score float64
		ended bool
	}
	all := make([]observation, 0, len(predictor.scores)+len(predictor.open))
	for _, score := range predictor.scores {
		all = append(all, observation{score: score, ended: true})
	}
	for _, s := range predictor.open {
		all = append(all, observation{score: float64(now.Sub(s.at)) / float64(s.base)})
	}
	slices.SortFunc(all, func(a, b observation) int { return cmp.Compare(a.score, b.score) })
	open := 1.0
	for i, o := range all {
		if !o.ended {
			continue
		}
		if open *= 1 - 1/float64(len(all)-i); open <= 1-predictor.level {
			return o.score
		}
	}
	return beyond * all[len(all)-1].score
}
