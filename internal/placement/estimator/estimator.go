// Package estimator learns how much batch tasks slow down latency-critical services. It is a linear
// model for each service and load level: a reported latency is the latency without neighbours plus
// a coefficient for each batch kind times the share of the worker that tasks of the kind used.
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
	// maxKinds bounds the batch kinds of a model; further kinds share one coefficient.
	maxKinds = 24
	// otherKinds is the coefficient of the kinds beyond the bound.
	otherKinds = "\x00other"
	// remembered is the number of reports for each worker among which duplicates are found.
	remembered = 32
	// loadGain is the share of a new report in the load of a service.
	loadGain = 0.2
	// minReports is the number of reports from which a latency without neighbours counts as known.
	minReports = 20
	// pooled is the weight of the general prior when a kind is known from other services.
	pooled = 1.0
)

// Coefficient is what was learned of a pairing, for a snapshot. It is a wire type.
type Coefficient struct {
	Service      string              `json:"service" cbor:"service"`
	Kind         string              `json:"kind" cbor:"kind"`
	Load         scheduler.LoadLevel `json:"load" cbor:"load"`
	Interference float64             `json:"harm" cbor:"harm"`
	Deviation    float64             `json:"deviation" cbor:"deviation"`
}

// Estimator implements scheduler.Estimator. It is used from one goroutine at a time.
type Estimator struct {
	models map[modelKey]*model
	order  []modelKey
	loads  map[string]*load
	seen   map[scheduler.WorkerName][]time.Time
	priors map[scheduler.Colocation]Coefficient
}

type modelKey struct {
	service string
	level   scheduler.LoadLevel
}

type load struct {
	value  float64
	newest time.Time
}

var _ scheduler.Estimator = (*Estimator)(nil)

// Option changes an Estimator that New builds.
type Option func(*Estimator)

// WithPriors starts from coefficients of an earlier Estimator, for example after a fail-over.
func WithPriors(coefficients []Coefficient) Option {
	return func(estimator *Estimator) {
		for _, c := range coefficients {
			estimator.priors[scheduler.Colocation{Service: c.Service, Kind: c.Kind, Load: c.Load}] = c
		}
	}
}

// New returns an Estimator that knows nothing but its priors.
func New(options ...Option) *Estimator {
	estimator := &Estimator{
		models: map[modelKey]*model{}, loads: map[string]*load{},
		seen: map[scheduler.WorkerName][]time.Time{}, priors: map[scheduler.Colocation]Coefficient{},
	}
	for _, option := range options {
		option(estimator)
	}
	return estimator
}

// Observe learns from the report of a worker with the given processors. Reports may come late and in
// any order; each is credited to the tasks that it lists. A duplicate is ignored. It returns an error
// when the report is not plausible.
func (estimator *Estimator) Observe(report scheduler.UsageReport, milliCores int64) error {
	if milliCores <= 0 || !report.Until.After(report.From) {
		return Error.New("report of worker %s from %v to %v with %d milli-cores is not plausible",
			report.Worker, report.From, report.Until, milliCores)
	}
	if estimator.isDuplicate(report) {
		return nil
	}
	shares := map[string]float64{}
	for _, task := range report.Tasks {
		if task.Class == scheduler.ClassBatch {
			shares[task.Kind] += float64(task.MilliCores) / float64(milliCores)
		}
	}
	for _, task := range report.Tasks {
		if task.Class != scheduler.ClassLatencyCritical {
			continue
		}
		estimator.observeLoad(task, report.Until)
		if task.Latency > 0 {
			estimator.observeLatency(task, shares, report.Until)
		}
	}
	return nil
}

func (estimator *Estimator) isDuplicate(report scheduler.UsageReport) bool {
	seen := estimator.seen[report.Worker]
	if slices.Contains(seen, report.Until) {
		return true
	}
	if len(seen) >= remembered {
		seen = slices.Delete(seen, 0, 1)
	}
	estimator.seen[report.Worker] = append(seen, report.Until)
	return false
}

func (estimator *Estimator) observeLoad(task scheduler.TaskUsage, at time.Time) {
	l := estimator.loads[task.Kind]
	if l == nil {
		estimator.loads[task.Kind] = &load{value: task.Load, newest: at}
		return
	}
	if at.Before(l.newest) {
		return
	}
	l.value += loadGain * (task.Load - l.value)
	l.newest = at
}

func (estimator *Estimator) observeLatency(task scheduler.TaskUsage, shares map[string]float64, at time.Time) {
	key := modelKey{service: task.Kind, level: scheduler.LoadLevelOf(task.Load)}
	m := estimator.models[key]
	if m == nil {
		m = newModel(float64(task.Latency))
		if base, ok := estimator.Baseline(key.service, key.level); ok {
			m.scale = float64(base)
		}
		estimator.add(key, m)
	}
	features := []feature{{index: 0, value: 1}}
	// The order of kinds decides the positions of new coefficients; it must not vary.
	for _, kind := range sortedKeys(shares) {
		i := m.index(kind, estimator.prior(key, kind).Interference)
		features = append(features, feature{index: i, value: shares[kind]})
	}
	m.observe(features, float64(task.Latency), at)
}

func sortedKeys(shares map[string]float64) []string {
	keys := make([]string, 0, len(shares))
	for key := range shares {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Interference implements scheduler.Estimator.
func (estimator *Estimator) Interference(pairing scheduler.Colocation) scheduler.Estimate {
	key := modelKey{service: pairing.Service, level: pairing.Load}
	if m := estimator.models[key]; m != nil {
		if harm, deviation, ok := m.harm(pairing.Kind); ok {
			return scheduler.Estimate{Interference: harm, Deviation: deviation}
		}
	}
	return estimator.prior(key, pairing.Kind)
}

// prior returns what is expected of a pairing that has not been seen: the snapshot's value, else the
// value at the nearest other load level, else the mean of the kind over other services.
func (estimator *Estimator) prior(key modelKey, kind string) scheduler.Estimate {
	if c, ok := estimator.priors[scheduler.Colocation{Service: key.service, Kind: kind, Load: key.level}]; ok {
		return scheduler.Estimate{Interference: c.Interference, Deviation: max(c.Deviation, priorDeviation/2)}
	}
	for _, level := range nearest(key.level) {
		if m := estimator.models[modelKey{key.service, level}]; m != nil {
			if harm, deviation, ok := m.harm(kind); ok {
				return scheduler.Estimate{Interference: harm, Deviation: min(priorDeviation, deviation+0.5*harm)}
			}
		}
	}
	sum, weight := pooled*priorHarm, pooled
	for _, k := range estimator.order {
		if harm, deviation, ok := estimator.models[k].harm(kind); ok {
			w := 1 / (0.1 + deviation*deviation)
			sum, weight = sum+w*harm, weight+w
		}
	}
	return scheduler.Estimate{Interference: sum / weight, Deviation: priorDeviation}
}

func nearest(level scheduler.LoadLevel) []scheduler.LoadLevel {
	switch level {
	case scheduler.LoadLow:
		return []scheduler.LoadLevel{scheduler.LoadMedium, scheduler.LoadHigh}
	case scheduler.LoadHigh:
		return []scheduler.LoadLevel{scheduler.LoadMedium, scheduler.LoadLow}
	default:
		return []scheduler.LoadLevel{scheduler.LoadHigh, scheduler.LoadLow}
	}
}

// add stores a model. The order is kept, because floating-point sums depend on it.
func (estimator *Estimator) add(key modelKey, m *model) {
	estimator.models[key] = m
	i, _ := slices.BinarySearchFunc(estimator.order, key, func(a, b modelKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.level, b.level))
	})
	estimator.order = slices.Insert(estimator.order, i, key)
}

// Load implements scheduler.Estimator.
func (estimator *Estimator) Load(service string) scheduler.LoadLevel {
	if l := estimator.loads[service]; l != nil {
		return scheduler.LoadLevelOf(l.value)
	}
	return scheduler.LoadMedium
}

// Baseline returns the 99th latency percentile of a service without neighbours, from the nearest load
// level that is known. ok is false while nothing is known of the service.
func (estimator *Estimator) Baseline(service string, level scheduler.LoadLevel) (latency time.Duration, ok bool) {
	for _, l := range append([]scheduler.LoadLevel{level}, nearest(level)...) {
		if m := estimator.models[modelKey{service, l}]; m != nil && m.reports >= minReports {
			return time.Duration(math.Round(m.scale * m.state[0])), true
		}
	}
	return 0, false
}

// Coefficients returns everything learned, in a fixed order.
func (estimator *Estimator) Coefficients() []Coefficient {
	var coefficients []Coefficient
	for _, key := range estimator.order {
		m := estimator.models[key]
		for _, kind := range sortedKinds(m) {
			harm, deviation, _ := m.harm(kind)
			coefficients = append(coefficients, Coefficient{
				Service: key.service, Kind: kind, Load: key.level, Interference: harm, Deviation: deviation,
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
