package estimator

import (
	"math"
	"time"
)

// Parameters of the filter. Latencies are divided by the first one seen, so they are of order 1.
const (
	// priorHarm and priorDeviation describe a pairing of which nothing is known.
	priorHarm      = 0.5
	priorDeviation = 1.0
	// baseDeviation is the initial doubt about the latency without neighbours.
	baseDeviation = 0.5
	// reportNoise is the relative spread of a reported percentile that is assumed at first and
	// below which the learned spread never falls.
	reportNoise = 0.1
	// noiseGain is the share of a new residual in the learned spread.
	noiseGain = 0.01
	// robustBound is the number of standard deviations from which a report loses weight.
	robustBound = 3.0
	// driftPerHour is the standard deviation that a coefficient is taken to drift by in an hour.
	driftPerHour = 0.3
	// halfWeightAge is the age at which a late report counts half.
	halfWeightAge = 10 * time.Minute
	// surpriseGain and surpriseBound detect a change: the mean squared error of predictions, in
	// units of the expected one, exceeds the bound for about 1/gain reports.
	surpriseGain  = 0.05
	surpriseBound = 6.0
	// reopen is the share of the prior variance that is added after a change.
	reopen = 0.1
)

// model is a Kalman filter of one service at one load level. Its state is the latency without
// neighbours, followed by one coefficient for each batch kind: the rise of the latency if tasks of
// the kind used the whole worker.
type model struct {
	scale    float64
	kinds    map[string]int
	state    []float64
	cov      [][]float64
	noise    float64
	surprise float64
	newest   time.Time
	reports  int
}

// feature is the share of the worker that tasks of a kind used.
type feature struct {
	index int
	value float64
}

func newModel(scale float64) *model {
	return &model{
		scale: scale, kinds: map[string]int{}, state: []float64{1},
		cov: [][]float64{{baseDeviation * baseDeviation}}, noise: reportNoise * reportNoise, surprise: 1,
	}
}

// index returns the position of a kind's coefficient, adding it with a prior if it is new. Kinds
// beyond the bound share the last coefficient.
func (m *model) index(kind string, prior float64) int {
	if i, ok := m.kinds[kind]; ok {
		return i
	}
	i := len(m.state)
	if i > maxKinds {
		return m.kinds[otherKinds]
	}
	if i == maxKinds {
		kind = otherKinds
	}
	m.kinds[kind] = i
	m.state = append(m.state, prior*m.state[0])
	for row := range m.cov {
		m.cov[row] = append(m.cov[row], 0)
	}
	m.cov = append(m.cov, make([]float64, i+1))
	m.cov[i][i] = priorDeviation * priorDeviation
	return i
}

// observe corrects the state by one report.
func (m *model) observe(features []feature, latency float64, at time.Time) {
	m.drift(at)
	y := latency / m.scale
	gain := make([]float64, len(m.state))
	var predicted, spread float64
	for _, f := range features {
		predicted += m.state[f.index] * f.value
		for i := range gain {
			gain[i] += m.cov[i][f.index] * f.value
		}
	}
	for _, f := range features {
		spread += gain[f.index] * f.value
	}
	noise := m.noise * max(predicted, 0.2) * max(predicted, 0.2)
	if age := m.newest.Sub(at); age > 0 {
		noise *= 1 + float64(age)/float64(halfWeightAge)
	}
	residual := y - predicted
	m.learnNoise(residual, noise, spread, predicted)
	total := spread + noise
	// A residual beyond the bound is taken as an outlier: its weight falls with its size.
	if size := math.Abs(residual) / math.Sqrt(total); size > robustBound {
		total *= size / robustBound
	}
	for i := range m.state {
		m.state[i] += gain[i] / total * residual
		for j := range m.state {
			m.cov[i][j] -= gain[i] * gain[j] / total
		}
	}
	m.state[0] = max(m.state[0], 0.05)
	m.reports++
}

// drift lets the doubt grow with time, so that old knowledge is forgotten.
func (m *model) drift(at time.Time) {
	if m.newest.IsZero() {
		m.newest = at
	}
	elapsed := at.Sub(m.newest)
	if elapsed <= 0 {
		return
	}
	m.newest = at
	growth := driftPerHour * driftPerHour * elapsed.Hours()
	for i := 1; i < len(m.state); i++ {
		m.cov[i][i] = min(m.cov[i][i]+growth, priorDeviation*priorDeviation)
	}
}

// learnNoise follows the spread of reports and reopens the model when predictions have become bad.
func (m *model) learnNoise(residual, noise, spread, predicted float64) {
	squared := residual * residual
	relative := min(squared/max(predicted*predicted, 0.04), 9*m.noise)
	m.noise = max(reportNoise*reportNoise/4, (1-noiseGain)*m.noise+noiseGain*relative)
	m.surprise = (1-surpriseGain)*m.surprise + surpriseGain*min(squared/(noise+spread), 100)
	if m.surprise < surpriseBound {
		return
	}
	m.surprise = 1
	m.cov[0][0] += reopen * baseDeviation * baseDeviation
	for i := 1; i < len(m.state); i++ {
		m.cov[i][i] += reopen * priorDeviation * priorDeviation
	}
}

// harm returns the coefficient of a kind relative to the latency without neighbours.
func (m *model) harm(kind string) (harm, deviation float64, ok bool) {
	i, ok := m.kinds[kind]
	if !ok {
		if i, ok = m.kinds[otherKinds]; !ok {
			return 0, 0, false
		}
	}
	return max(0, m.state[i]/m.state[0]), math.Sqrt(max(0, m.cov[i][i])) / m.state[0], true
}
