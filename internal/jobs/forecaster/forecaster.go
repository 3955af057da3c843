// Package forecaster predicts how long tasks run from the tasks that have ended. It contains only decision logic. It is
// meant for demand whose estimates are wrong by a factor that depends on the program, with a few tasks that run many
// times as long as the others, on workers of unequal speed.
//
// For each kind of tasks it holds the distributions of the run time and of the ratio of the run time to the submitter's
// estimate, and predicts by the narrower one: estimates may be wrong by the same factor for all tasks of a kind, or at
// random. A kind of which too few tasks have ended is predicted from all tasks of
// its queue, and a queue without ends by the submitter's estimate.
package forecaster

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("forecaster")

const (
	// defaultMaxKinds is the maximum number of distributions, counting those of whole queues. A kind takes about 5 KB,
	// so that the whole stays under 8 MB.
	defaultMaxKinds = 1600
	// ratioUnit is the number of steps of a ratio of 1, and maxRatio the highest recorded ratio.
	ratioUnit = 100
	maxRatio  = 160
	// runTimeUnit is the precision of a recorded run time, and maxRunTime the longest one.
	runTimeUnit = 20 * time.Millisecond
	maxRunTime  = 3 * time.Hour
	// maxPrediction limits predictions, so that they can be added without overflow.
	maxPrediction = 10_000 * time.Hour
	// minRemaining is the least remaining time that is predicted for a running task.
	minRemaining = time.Millisecond
	// medianQuantile and calibrationQuantile are the quantiles whose calibration is measured.
	medianQuantile      = 0.5
	calibrationQuantile = 0.9
)

// Observation describes an attempt that has ended.
type Observation struct {
	Kind scheduler.TaskKind
	// Estimate is the submitter's estimate, or zero if there is none.
	Estimate time.Duration
	// RunTime is how long the attempt ran, converted to full speed if it was throttled.
	RunTime time.Duration
	Worker  scheduler.WorkerName
	// Fill is true for a fill task. Its run time depends on its neighbours, so it does not show how fast its worker is.
	Fill bool
	// Stopped is true for an attempt that was stopped after RunTime because another attempt of its task had finished.
	// Leaving such attempts out would remove the longest run times.
	Stopped bool
}

// Calibration compares an observation with its prediction.
type Calibration struct {
	predicted   bool
	belowMedian bool
	belowUpper  bool
}

// Predicted reports whether the run time was predicted from earlier ends. Otherwise, the rest is meaningless.
func (calibration Calibration) Predicted() bool { return calibration.predicted }

// BelowMedian reports whether the run time was at most its predicted 0.5 quantile.
func (calibration Calibration) BelowMedian() bool { return calibration.belowMedian }

// BelowUpper reports whether the run time was at most its predicted 0.9 quantile.
func (calibration Calibration) BelowUpper() bool { return calibration.belowUpper }

// kindKey identifies the distribution of a kind or, if wholeQueue is true, that of all tasks of a queue.
type kindKey struct {
	kind       scheduler.TaskKind
	wholeQueue bool
}

// history holds the distributions of one key. They are nil until a value has been recorded.
type history struct {
	ratios   *distribution
	runTimes *distribution
}

// Forecaster implements scheduler.RunTimePredictor. It is not safe for concurrent use.
type Forecaster struct {
	maxKinds  int
	histories *recencyMap[kindKey, *history]
	fleet     *fleet
}

// Option configures a Forecaster.
type Option func(forecaster *Forecaster)

// WithMaxKinds sets the maximum number of distributions, 1,600 by default. Those that were updated least recently are
// removed first.
func WithMaxKinds(maxKinds int) Option {
	return func(forecaster *Forecaster) { forecaster.maxKinds = max(maxKinds, 2) }
}

// New returns a Forecaster without history.
func New(options ...Option) *Forecaster {
	forecaster := &Forecaster{maxKinds: defaultMaxKinds}
	for _, option := range options {
		option(forecaster)
	}
	forecaster.histories = newRecencyMap[kindKey, *history](forecaster.maxKinds)
	forecaster.fleet = newFleet()
	return forecaster
}

// Observe records the end of an attempt and compares it with what was predicted before.
func (forecaster *Forecaster) Observe(observation Observation) Calibration {
	if observation.RunTime <= 0 {
		return Calibration{}
	}
	observation.Estimate = min(observation.Estimate, maxPrediction)
	runTime := time.Duration(float64(observation.RunTime) / forecaster.Slowness(observation.Worker))
	var calibration Calibration
	switch {
	case observation.Stopped:
		runTime += forecaster.Remaining(observation.Kind, observation.Estimate, runTime, medianQuantile)
	case forecaster.isKnown(observation.Kind, observation.Estimate):
		calibration = forecaster.calibration(observation, runTime)
		forecaster.observeWorker(observation)
	}
	forecaster.historyOf(kindKey{kind: observation.Kind}).add(observation.Estimate, runTime)
	forecaster.historyOf(queueKey(observation.Kind)).add(observation.Estimate, runTime)
	return calibration
}

func queueKey(kind scheduler.TaskKind) kindKey {
	return kindKey{kind: scheduler.NewTaskKind(kind.Queue(), ""), wholeQueue: true}
}

func (forecaster *Forecaster) historyOf(key kindKey) *history {
	return forecaster.histories.touch(key, func() *history { return &history{} })
}

func (forecaster *Forecaster) calibration(observation Observation, runTime time.Duration) Calibration {
	return Calibration{
		predicted:   true,
		belowMedian: runTime <= forecaster.RunTime(observation.Kind, observation.Estimate, medianQuantile),
		belowUpper:  runTime <= forecaster.RunTime(observation.Kind, observation.Estimate, calibrationQuantile),
	}
}

// observeWorker records the ratio of a run time to its predicted median for the worker.
func (forecaster *Forecaster) observeWorker(observation Observation) {
	median := forecaster.RunTime(observation.Kind, observation.Estimate, medianQuantile)
	if observation.Fill || median <= 0 {
		return
	}
	forecaster.fleet.add(observation.Worker, float64(observation.RunTime)/float64(median))
}

// Slowness returns the factor by which tasks run longer on a worker than on others, or 1 as long as
// too few have ended.
func (forecaster *Forecaster) Slowness(worker scheduler.WorkerName) float64 {
	return forecaster.fleet.slowness(worker)
}

// IsSlow reports whether a worker is so slow that its tasks are worth running elsewhere.
func (forecaster *Forecaster) IsSlow(worker scheduler.WorkerName) bool {
	return forecaster.Slowness(worker) >= slowThreshold
}

// RunTime implements scheduler.RunTimePredictor. It returns 0 if nothing is known and there is no estimate.
func (forecaster *Forecaster) RunTime(kind scheduler.TaskKind, estimate time.Duration, quantile float64) time.Duration {
	distribution, unit := forecaster.distribution(kind, estimate)
	if distribution == nil {
		return min(max(estimate, 0), maxPrediction)
	}
	return duration(distribution.quantile(quantile) * unit)
}

// Remaining implements scheduler.RunTimePredictor.
func (forecaster *Forecaster) Remaining(
	kind scheduler.TaskKind, estimate, elapsed time.Duration, quantile float64,
) time.Duration {
	elapsed = max(elapsed, 0)
	distribution, unit := forecaster.distribution(kind, estimate)
	switch {
	case distribution != nil:
		remaining := distribution.remaining(float64(elapsed)/unit, quantile)
		return max(duration(remaining*unit), minRemaining)
	case elapsed < estimate:
		return min(max(estimate-elapsed, minRemaining), maxPrediction)
	}
	return max(duration(tailExcess(float64(elapsed), quantile)), minRemaining)
}

// duration converts nanoseconds. It limits the result, because a submitter may state any estimate.
func duration(nanoseconds float64) time.Duration {
	return time.Duration(min(nanoseconds, float64(maxPrediction)))
}

func (forecaster *Forecaster) isKnown(kind scheduler.TaskKind, estimate time.Duration) bool {
	distribution, _ := forecaster.distribution(kind, estimate)
	return distribution != nil
}

// distribution returns the distribution for a task with an estimate and the duration of its unit in nanoseconds, or nil
// if too few tasks have ended.
func (forecaster *Forecaster) distribution(
	kind scheduler.TaskKind, estimate time.Duration,
) (found *distribution, unit float64) {
	for _, key := range [...]kindKey{{kind: kind}, queueKey(kind)} {
		history, known := forecaster.histories.find(key)
		if !known {
			continue
		}
		if estimate > 0 && history.ratios.isUsable() && history.ratios.spread() <= history.runTimes.spread() {
			return history.ratios, float64(estimate) / ratioUnit
		}
		if history.runTimes.isUsable() {
			return history.runTimes, float64(runTimeUnit)
		}
	}
	return nil, 0
}

// add records a run time.
func (history *history) add(estimate, runTime time.Duration) {
	history.ensureRunTimes().add(int64(runTime/runTimeUnit), observationWeight)
	if estimate <= 0 {
		return
	}
	ratio := min(float64(runTime)/float64(estimate), maxRatio)
	history.ensureRatios().add(int64(ratio*ratioUnit), observationWeight)
}

func (history *history) ensureRatios() *distribution {
	if history.ratios == nil {
		history.ratios = newDistribution(maxRatio * ratioUnit)
	}
	return history.ratios
}

func (history *history) ensureRunTimes() *distribution {
	if history.runTimes == nil {
		history.runTimes = newDistribution(int64(maxRunTime / runTimeUnit))
	}
	return history.runTimes
}
