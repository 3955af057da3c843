package estimator

import (
	"math"
	"time"
)

// Parameters of the Kalman filter. Latencies are divided by the scale of the model, so they are of order 1.
const (
	// priorInterference and priorDeviation are the estimate for a colocation without any observations.
	priorInterference = 0.5
	priorDeviation    = 1.0
	// baselineDeviation is the initial standard deviation of the baseline latency.
	baselineDeviation = 0.5
	// initialNoiseDeviation is the initial relative standard deviation of a reported percentile. The adapted
	// deviation never falls below half of it.
	initialNoiseDeviation = 0.1
	// noiseSmoothing is the weight of a new residual in the moving average of the noise variance.
	noiseSmoothing = 0.01
	// outlierDeviations is the number of standard deviations above which the weight of a report is reduced.
	outlierDeviations = 3.0
	// driftPerHour is the assumed standard deviation of the drift of a coefficient in one hour.
	driftPerHour = 0.3
	// halfWeightAge is the age at which a late report has half the weight.
	halfWeightAge = 10 * time.Minute
	// maxNormalizedError detects a change of the service or of a kind: it limits the moving average of the squared
	// prediction errors divided by their expected variance. errorSmoothing is the weight of a new report, so the
	// average covers about 1/errorSmoothing reports.
	errorSmoothing     = 0.05
	maxNormalizedError = 6.0
	// covarianceInflation is the fraction of the prior variance that is added when a change is detected.
	covarianceInflation = 0.1
)

// model is a Kalman filter for one service at one load level. Its state is the baseline latency, followed by one
// coefficient per batch kind: the increase of the latency if tasks of the kind used all CPUs of the worker.
type model struct {
	scale           float64
	kinds           map[string]int
	state           []float64
	covariance      [][]float64
	noiseVariance   float64
	normalizedError float64
	latestReport    time.Time
	reportCount     int
}

// feature is the fraction of the worker's CPUs that tasks of a kind used. The feature of the baseline latency is 1.
type feature struct {
	index int
	value float64
}

func newModel(scale float64) *model {
	return &model{
		scale: scale, kinds: map[string]int{}, state: []float64{1},
		covariance:    [][]float64{{baselineDeviation * baselineDeviation}},
		noiseVariance: initialNoiseDeviation * initialNoiseDeviation, normalizedError: 1,
	}
}

// index returns the index of a kind's coefficient in the state and adds a new kind with the prior. Kinds beyond the
// limit share the last coefficient.
func (m *model) index(kind string, prior float64) int {
	if i, ok := m.kinds[kind]; ok {
		return i
	}
	i := len(m.state)
	if i > maxBatchKinds {
		return m.kinds[otherKinds]
	}
	if i == maxBatchKinds {
		kind = otherKinds
	}
	m.kinds[kind] = i
	m.state = append(m.state, prior*m.state[0])
	for row := range m.covariance {
		m.covariance[row] = append(m.covariance[row], 0)
	}
	m.covariance = append(m.covariance, make([]float64, i+1))
	m.covariance[i][i] = priorDeviation * priorDeviation
	return i
}

// observe updates the state with one report.
func (m *model) observe(features []feature, latency float64, at time.Time) {
	m.addProcessNoise(at)
	measured := latency / m.scale
	gain := make([]float64, len(m.state))
	var predicted, variance float64
	for _, f := range features {
		predicted += m.state[f.index] * f.value
		for i := range gain {
			gain[i] += m.covariance[i][f.index] * f.value
		}
	}
	for _, f := range features {
		variance += gain[f.index] * f.value
	}
	noise := m.noiseVariance * max(predicted, 0.2) * max(predicted, 0.2)
	if age := m.latestReport.Sub(at); age > 0 {
		noise *= 1 + float64(age)/float64(halfWeightAge)
	}
	residual := measured - predicted
	m.adaptNoise(residual, noise, variance, predicted)
	total := variance + noise
	// A larger residual counts as an outlier. Its weight decreases with its size.
	if size := math.Abs(residual) / math.Sqrt(total); size > outlierDeviations {
		total *= size / outlierDeviations
	}
	for i := range m.state {
		m.state[i] += gain[i] / total * residual
		for j := range m.state {
			m.covariance[i][j] -= gain[i] * gain[j] / total
		}
	}
	m.state[0] = max(m.state[0], 0.05)
	m.reportCount++
}

// addProcessNoise increases the variances with time, so that old reports lose influence.
func (m *model) addProcessNoise(at time.Time) {
	if m.latestReport.IsZero() {
		m.latestReport = at
	}
	elapsed := at.Sub(m.latestReport)
	if elapsed <= 0 {
		return
	}
	m.latestReport = at
	growth := driftPerHour * driftPerHour * elapsed.Hours()
	for i := 1; i < len(m.state); i++ {
		m.covariance[i][i] = min(m.covariance[i][i]+growth, priorDeviation*priorDeviation)
	}
}

// adaptNoise adapts the noise variance to the residuals and inflates the covariance when a change is detected, so that
// the model adapts faster.
func (m *model) adaptNoise(residual, noise, variance, predicted float64) {
	squared := residual * residual
	relative := min(squared/max(predicted*predicted, 0.04), 9*m.noiseVariance)
	m.noiseVariance = max(
		initialNoiseDeviation*initialNoiseDeviation/4, (1-noiseSmoothing)*m.noiseVariance+noiseSmoothing*relative)
	m.normalizedError = (1-errorSmoothing)*m.normalizedError + errorSmoothing*min(squared/(noise+variance), 100)
	if m.normalizedError < maxNormalizedError {
		return
	}
	m.normalizedError = 1
	m.covariance[0][0] += covarianceInflation * baselineDeviation * baselineDeviation
	for i := 1; i < len(m.state); i++ {
		m.covariance[i][i] += covarianceInflation * priorDeviation * priorDeviation
	}
}

// interference returns the coefficient of a kind relative to the baseline latency.
func (m *model) interference(kind string) (interference, deviation float64, ok bool) {
	i, ok := m.kinds[kind]
	if !ok {
		if i, ok = m.kinds[otherKinds]; !ok {
			return 0, 0, false
		}
	}
	return max(0, m.state[i]/m.state[0]), math.Sqrt(max(0, m.covariance[i][i])) / m.state[0], true
}
