// Package estimator estimates how much batch tasks slow down latency-critical services. It fits one linear model per
// service and load level: a reported latency is the baseline latency, without colocated batch tasks, plus the sum over
// the batch kinds of a coefficient times the fraction of the worker's CPUs that tasks of the kind used.
package estimator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("estimator")

const (
	// maxBatchKinds limits the coefficients of a model, including the one that all further batch kinds share.
	maxBatchKinds = 24
	// otherKinds is the key of the coefficient that the kinds beyond the limit share.
	otherKinds = "\x00other"
	// duplicateWindow is the number of most recent reports of a worker that are checked for duplicates.
	duplicateWindow = 32
	// loadSmoothing is the weight of a new report in the moving average of a service's load.
	loadSmoothing = 0.2
	// minBaselineReports is the number of reports from which the baseline latency of a model counts as known.
	minBaselineReports = 20
	// generalPriorWeight is the weight of priorInterference in the mean over other services that know the kind.
	generalPriorWeight = 1.0
)

// Coefficient is the estimate for a colocation, as stored in a snapshot. It is a wire type.
type Coefficient struct {
	Service      string              `json:"service" cbor:"service"`
	Kind         string              `json:"kind" cbor:"kind"`
	Load         scheduler.LoadLevel `json:"load" cbor:"load"`
	Interference float64             `json:"harm" cbor:"harm"`
	Deviation    float64             `json:"deviation" cbor:"deviation"`
}

// Estimator implements scheduler.Estimator. It is not safe for concurrent use.
type Estimator struct {
	models        map[modelKey]*model
	modelOrder    []modelKey
	loads         map[string]*loadAverage
	recentReports map[scheduler.WorkerName][]time.Time
	priors        map[scheduler.Colocation]Coefficient
}

type modelKey struct {
	service string
	level   scheduler.LoadLevel
}

type loadAverage struct {
	value        float64
	latestReport time.Time
}

var _ scheduler.Estimator = (*Estimator)(nil)

// Option configures an Estimator.
type Option func(*Estimator)

// WithPriors sets the coefficients of an earlier Estimator as priors, for example after a failover.
func WithPriors(coefficients []Coefficient) Option {
	return func(estimator *Estimator) {
		for _, c := range coefficients {
			estimator.priors[scheduler.Colocation{Service: c.Service, Kind: c.Kind, Load: c.Load}] = c
		}
	}
}

// New returns an Estimator without observations.
func New(options ...Option) *Estimator {
	estimator := &Estimator{
		models: map[modelKey]*model{}, loads: map[string]*loadAverage{},
		recentReports: map[scheduler.WorkerName][]time.Time{}, priors: map[scheduler.Colocation]Coefficient{},
	}
	for _, option := range options {
		option(estimator)
	}
	return estimator
}

// Observe updates the models with a report of a worker that has milliCores of CPU time. Reports may arrive late and in
// any order, because each lists the tasks that ran in its interval. Duplicates are ignored. It returns an error if the
// interval of the report is empty or the worker has no CPUs.
func (estimator *Estimator) Observe(report scheduler.UsageReport, milliCores int64) error {
	if milliCores <= 0 || !report.Until.After(report.From) {
		return Error.New("invalid report of worker %s from %v to %v with %d millicores",
			report.Worker, report.From, report.Until, milliCores)
	}
	if estimator.isDuplicate(report) {
		return nil
	}
	fractions := map[string]float64{}
	for _, task := range report.Tasks {
		if task.Class == scheduler.ClassBatch {
			fractions[task.Kind] += float64(task.MilliCores) / float64(milliCores)
		}
	}
	for _, task := range report.Tasks {
		if task.Class != scheduler.ClassLatencyCritical {
			continue
		}
		estimator.observeLoad(task, report.Until)
		if task.Latency > 0 {
			estimator.observeLatency(task, fractions, report.Until)
		}
	}
	return nil
}

func (estimator *Estimator) isDuplicate(report scheduler.UsageReport) bool {
	seen := estimator.recentReports[report.Worker]
	if slices.Contains(seen, report.Until) {
		return true
	}
	if len(seen) >= duplicateWindow {
		seen = slices.Delete(seen, 0, 1)
	}
	estimator.recentReports[report.Worker] = append(seen, report.Until)
	return false
}

func (estimator *Estimator) observeLoad(task scheduler.TaskUsage, at time.Time) {
	average := estimator.loads[task.Kind]
	if average == nil {
		estimator.loads[task.Kind] = &loadAverage{value: task.Load, latestReport: at}
		return
	}
	if at.Before(average.latestReport) {
		return
	}
	average.value += loadSmoothing * (task.Load - average.value)
	average.latestReport = at
}

func (estimator *Estimator) observeLatency(task scheduler.TaskUsage, fractions map[string]float64, at time.Time) {
	key := modelKey{service: task.Kind, level: scheduler.LoadLevelOf(task.Load)}
	m := estimator.models[key]
	if m == nil {
		m = newModel(float64(task.Latency))
		if baseline, ok := estimator.Baseline(key.service, key.level); ok {
			m.scale = float64(baseline)
		}
		estimator.insertModel(key, m)
	}
	features := []feature{{index: 0, value: 1}}
	// Kinds are sorted because their order determines the indexes of new coefficients, which must be reproducible.
	for _, kind := range sortedKeys(fractions) {
		i := m.index(kind, estimator.prior(key, kind).Interference)
		features = append(features, feature{index: i, value: fractions[kind]})
	}
	m.observe(features, float64(task.Latency), at)
}

func sortedKeys(values map[string]float64) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Interference implements scheduler.Estimator.
func (estimator *Estimator) Interference(colocation scheduler.Colocation) scheduler.Estimate {
	key := modelKey{service: colocation.Service, level: colocation.Load}
	if m := estimator.models[key]; m != nil {
		if interference, deviation, ok := m.interference(colocation.Kind); ok {
			return scheduler.Estimate{Interference: interference, Deviation: deviation}
		}
	}
	return estimator.prior(key, colocation.Kind)
}

// prior returns the estimate for a colocation that has not been observed: the value of the snapshot, or else the
// estimate at the nearest load level that has one, or else the mean over the other services that know the kind,
// weighted by certainty.
func (estimator *Estimator) prior(key modelKey, kind string) scheduler.Estimate {
	if c, ok := estimator.priors[scheduler.Colocation{Service: key.service, Kind: kind, Load: key.level}]; ok {
		return scheduler.Estimate{Interference: c.Interference, Deviation: max(c.Deviation, priorDeviation/2)}
	}
	for _, level := range otherLevels(key.level) {
		if m := estimator.models[modelKey{key.service, level}]; m != nil {
			if interference, deviation, ok := m.interference(kind); ok {
				return scheduler.Estimate{Interference: interference, Deviation: min(priorDeviation, deviation+0.5*interference)}
			}
		}
	}
	sum, weight := generalPriorWeight*priorInterference, generalPriorWeight
	for _, k := range estimator.modelOrder {
		if interference, deviation, ok := estimator.models[k].interference(kind); ok {
			w := 1 / (0.1 + deviation*deviation)
			sum, weight = sum+w*interference, weight+w
		}
	}
	return scheduler.Estimate{Interference: sum / weight, Deviation: priorDeviation}
}

// otherLevels returns the other load levels, the nearest first.
func otherLevels(level scheduler.LoadLevel) []scheduler.LoadLevel {
	switch level {
	case scheduler.LoadLow:
		return []scheduler.LoadLevel{scheduler.LoadMedium, scheduler.LoadHigh}
	case scheduler.LoadHigh:
		return []scheduler.LoadLevel{scheduler.LoadMedium, scheduler.LoadLow}
	default:
		return []scheduler.LoadLevel{scheduler.LoadHigh, scheduler.LoadLow}
	}
}

// insertModel stores a model. modelOrder stays sorted, because floating-point sums depend on the order of the terms.
func (estimator *Estimator) insertModel(key modelKey, m *model) {
	estimator.models[key] = m
	i, _ := slices.BinarySearchFunc(estimator.modelOrder, key, func(a, b modelKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.level, b.level))
	})
	estimator.modelOrder = slices.Insert(estimator.modelOrder, i, key)
}

// Load implements scheduler.Estimator.
func (estimator *Estimator) Load(service string) scheduler.LoadLevel {
	if average := estimator.loads[service]; average != nil {
		return scheduler.LoadLevelOf(average.value)
	}
	return scheduler.LoadMedium
}

// Baseline returns the 99th percentile latency of a service without colocated batch tasks. It uses the nearest load
// level with enough reports. ok is false if there is none.
func (estimator *Estimator) Baseline(service string, level scheduler.LoadLevel) (latency time.Duration, ok bool) {
	for _, candidate := range append([]scheduler.LoadLevel{level}, otherLevels(level)...) {
		if m := estimator.models[modelKey{service, candidate}]; m != nil && m.reportCount >= minBaselineReports {
			return time.Duration(math.Round(m.scale * m.state[0])), true
		}
	}
	return 0, false
}

// Coefficients returns the estimates of all observed colocations in a fixed order.
func (estimator *Estimator) Coefficients() []Coefficient {
	var coefficients []Coefficient
	for _, key := range estimator.modelOrder {
		m := estimator.models[key]
		for _, kind := range sortedKinds(m) {
			interference, deviation, _ := m.interference(kind)
			coefficients = append(coefficients, Coefficient{
				Service: key.service, Kind: kind, Load: key.level, Interference: interference, Deviation: deviation,
			})
		}
	}
	return coefficients
}

func sortedKinds(m *model) []string {
	kinds := make([]string, 0, len(m.kinds))
	for kind := range m.kinds {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}
