// Package predictor predicts the completion time of jobs at a given confidence. It corrects declared run times with the
// actual run times of tasks of the same team and kind, and derives a safety margin from the errors of earlier
// predictions.
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
	// maxScores is the number of most recently finished jobs from which the margin is computed.
	maxScores = 500
	// minScores is the number of finished jobs from which the margin is computed. With fewer, initialMargin is used.
	minScores     = 20
	initialMargin = 4.0
	// adaptationRate is the step size with which each met or missed prediction adjusts the quantile. At 0.03, the
	// margin adapts to a series of missed predictions within about 30 jobs.
	adaptationRate = 0.03
	// learningRate is the weight of a new run time in the correction. shrinkage is the number of run times from which
	// a team's own correction has more weight than that of the kind.
	learningRate = 0.05
	shrinkage    = 5.0
	// extrapolation is the factor by which the margin exceeds the largest score if too many jobs are unfinished for
	// the quantile to be reached.
	extrapolation = 1.5
	// minRunTime is a lower bound for run times. It keeps ratios finite for jobs that declare almost no run time.
	minRunTime = time.Second
)

// Query describes a job when it is submitted.
type Query struct {
	Job             scheduler.JobID
	Team            scheduler.TeamName
	Kind            string
	DeclaredRunTime time.Duration
	// Backlog is the time that the cluster needs to complete the work queued before the job.
	Backlog time.Duration
}

// Predictor predicts completion times. It is not safe for concurrent use.
type Predictor struct {
	confidence float64
	quantile   float64
	ratios     map[ratioKey]*runTimeRatio
	// scores holds, for each finished job, the ratio of the actual time to completion to the base estimate.
	scores      []float64
	nextScore   int
	predictions map[scheduler.JobID]*prediction
}

type ratioKey struct {
	team scheduler.TeamName
	kind string
}

// runTimeRatio is a running mean of the logarithm of the ratio of actual to declared run time.
type runTimeRatio struct {
	mean  float64
	count float64
}

// prediction is the prediction for one unfinished job.
type prediction struct {
	madeAt       time.Time
	completion   time.Time
	baseEstimate time.Duration
	missed       bool
}

// Option configures a Predictor.
type Option func(*Predictor)

// WithConfidence sets the fraction of jobs that are to complete by their predicted time.
func WithConfidence(confidence float64) Option {
	return func(predictor *Predictor) { predictor.confidence = confidence }
}

// New returns a Predictor without history. It returns an error if the confidence is out of range.
func New(options ...Option) (*Predictor, error) {
	predictor := &Predictor{
		confidence: defaultConfidence, ratios: map[ratioKey]*runTimeRatio{}, predictions: map[scheduler.JobID]*prediction{},
	}
	for _, option := range options {
		option(predictor)
	}
	if predictor.confidence <= 0 || predictor.confidence >= 1 {
		return nil, Error.New("confidence %v is not between 0 and 1", predictor.confidence)
	}
	predictor.quantile = predictor.confidence
	return predictor, nil
}

// Predict returns the time by which the job will be complete at the configured confidence. It records the prediction
// until JobFinished or Remove is called for the job.
func (predictor *Predictor) Predict(now time.Time, query Query) time.Time {
	predictor.MarkMissed(now)
	corrected := float64(max(minRunTime, query.DeclaredRunTime)) * math.Exp(predictor.correction(query.Team, query.Kind))
	baseEstimate := time.Duration(corrected) + max(0, query.Backlog)
	completion := now.Add(time.Duration(float64(baseEstimate) * predictor.margin(now)))
	predictor.predictions[query.Job] = &prediction{madeAt: now, completion: completion, baseEstimate: baseEstimate}
	return completion
}

// ObserveRunTime updates the corrections with the run time of one task at full speed.
func (predictor *Predictor) ObserveRunTime(team scheduler.TeamName, kind string, declared, runTime time.Duration) {
	value := math.Log(float64(max(minRunTime, runTime)) / float64(max(minRunTime, declared)))
	for _, key := range []ratioKey{{team, kind}, {"", kind}, {"", ""}} {
		ratio := predictor.ratios[key]
		if ratio == nil {
			ratio = &runTimeRatio{}
			predictor.ratios[key] = ratio
		}
		ratio.count++
		ratio.mean += max(learningRate, 1/ratio.count) * (value - ratio.mean)
	}
}

// JobFinished records that a job has finished and updates the margin with the error of its prediction.
func (predictor *Predictor) JobFinished(now time.Time, job scheduler.JobID) {
	predictor.MarkMissed(now)
	prediction := predictor.predictions[job]
	if prediction == nil {
		return
	}
	delete(predictor.predictions, job)
	if !prediction.missed {
		predictor.adjustQuantile(true)
	}
	score := float64(now.Sub(prediction.madeAt)) / float64(prediction.baseEstimate)
	if len(predictor.scores) < maxScores {
		predictor.scores = append(predictor.scores, score)
		return
	}
	predictor.scores[predictor.nextScore] = score
	predictor.nextScore = (predictor.nextScore + 1) % maxScores
}

// Remove removes the prediction of a job that was cancelled or rejected.
func (predictor *Predictor) Remove(job scheduler.JobID) { delete(predictor.predictions, job) }

// MarkMissed counts the predictions whose time has passed as missed, without waiting for the jobs to finish.
func (predictor *Predictor) MarkMissed(now time.Time) {
	for _, prediction := range predictor.predictions {
		if !prediction.missed && now.After(prediction.completion) {
			prediction.missed = true
			predictor.adjustQuantile(false)
		}
	}
}

// adjustQuantile adjusts the quantile so that the long-term fraction of met predictions equals the confidence. This
// also holds when the load changes and the history is no longer representative.
func (predictor *Predictor) adjustQuantile(met bool) {
	if met {
		predictor.quantile -= adaptationRate * (1 - predictor.confidence)
	} else {
		predictor.quantile += adaptationRate * predictor.confidence
	}
	predictor.quantile = min(max(predictor.quantile, 0.5), 0.999)
}

// correction returns the logarithm of the expected ratio of actual to declared run time for a team and kind. While few
// run times are known, the ratio is shrunk towards that of the kind, which in turn is shrunk towards that of all tasks.
func (predictor *Predictor) correction(team scheduler.TeamName, kind string) float64 {
	var value float64
	for _, key := range []ratioKey{{"", ""}, {"", kind}, {team, kind}} {
		if ratio := predictor.ratios[key]; ratio != nil {
			value += ratio.count / (ratio.count + shrinkage) * (ratio.mean - value)
		}
	}
	return value
}

// margin returns the current quantile of the scores. Unfinished jobs are included as censored observations with their
// lower bound (Kaplan-Meier estimator). Without them, the scores would be biased towards jobs that finish quickly while
// the queue grows.
func (predictor *Predictor) margin(now time.Time) float64 {
	if len(predictor.scores) < minScores {
		return initialMargin
	}
	type observation struct {
		score    float64
		finished bool
	}
	all := make([]observation, 0, len(predictor.scores)+len(predictor.predictions))
	for _, score := range predictor.scores {
		all = append(all, observation{score: score, finished: true})
	}
	for _, prediction := range predictor.predictions {
		all = append(all, observation{score: float64(now.Sub(prediction.madeAt)) / float64(prediction.baseEstimate)})
	}
	slices.SortFunc(all, func(a, b observation) int { return cmp.Compare(a.score, b.score) })
	survival := 1.0
	for i, current := range all {
		if !current.finished {
			continue
		}
		if survival *= 1 - 1/float64(len(all)-i); survival <= 1-predictor.quantile {
			return current.score
		}
	}
	return extrapolation * all[len(all)-1].score
}
