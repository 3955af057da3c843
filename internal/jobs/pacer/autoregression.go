package pacer

import "time"

const (
	// historyInterval is the interval between the stored loads of a serving task, meanTime the time over which their mean
	// is taken. A gap of more than maxHistoryGap starts a new history.
	historyInterval = 500 * time.Millisecond
	meanTime        = 10 * time.Second
	maxHistoryGap   = 3 * historyInterval
	// regressionLag is the distance, in intervals, between the two loads from which a later one is predicted.
	regressionLag = 4
	// pacingHorizon is how many intervals ahead the load is predicted for the shares of fill tasks: a sample is about half
	// a second old when a new share takes effect. placementHorizon is the one for the placement of a fill task, which stays
	// for a second or more.
	pacingHorizon    = 1
	placementHorizon = 3
	historyLength    = placementHorizon + regressionLag + 1
)

// loadHistory holds the last loads of a serving task at intervals of historyInterval, the latest one last.
type loadHistory struct {
	loads  [historyLength]float64
	stored int
	// seen counts all loads since the history started.
	seen int
	mean float64
	at   time.Duration
}

// record stores a load if an interval has passed since the last one. It reports whether it did.
func (loadHistory *loadHistory) record(load float64, now time.Duration) bool {
	elapsed := now - loadHistory.at
	if loadHistory.seen > 0 && elapsed < historyInterval {
		return false
	}
	if elapsed > maxHistoryGap {
		loadHistory.stored, loadHistory.seen = 0, 0
	}
	copy(loadHistory.loads[:], loadHistory.loads[1:])
	loadHistory.loads[historyLength-1] = load
	loadHistory.stored = min(loadHistory.stored+1, historyLength)
	loadHistory.seen++
	loadHistory.mean += (load - loadHistory.mean) * max(1/float64(loadHistory.seen), float64(historyInterval)/float64(meanTime))
	loadHistory.at = now
	return true
}

// deviation returns the difference from the mean of the load a number of intervals before the latest one.
func (loadHistory *loadHistory) deviation(before int) float64 {
	return loadHistory.loads[historyLength-1-before] - loadHistory.mean
}

// autoregression predicts a load from two earlier ones, all as deviations from their mean. A load that swings with one
// period is predicted by two coefficients, whatever its phase and amplitude, so all tasks of an image share them. They are
// those of a weighted least-squares fit that forgets old samples. The zero value predicts that the load stays as it is.
type autoregression struct {
	// The sums are those of the normal equations: latest and earlier are the known loads, next is the predicted one.
	latestLatest, latestEarlier, earlierEarlier, latestNext, earlierNext float64
	// squaredError is the weighted sum of squared errors of the predictions, constantError that of predicting that the
	// load stays as it is.
	squaredError, constantError float64
	// onLatest and onEarlier are the coefficients of the two loads.
	onLatest, onEarlier float64
}

const (
	// forgetting is the weight of the past when a sample is added.
	forgetting = 1 - 1.0/4000
	// priorWeight is the weight of the assumption that the load stays as it is, as a sum of squared loads.
	priorWeight = 0.5
	// trustedError is the fraction of constantError below which the predictions are used.
	trustedError = 0.7
)

// observe adds a sample: a load and the two from which it would have been predicted.
func (autoregression *autoregression) observe(latest, earlier, next float64) {
	predicted := autoregression.onLatest*latest + autoregression.onEarlier*earlier
	autoregression.squaredError = autoregression.squaredError*forgetting + (next-predicted)*(next-predicted)
	autoregression.constantError = autoregression.constantError*forgetting + (next-latest)*(next-latest)
	autoregression.latestLatest = autoregression.latestLatest*forgetting + latest*latest
	autoregression.latestEarlier = autoregression.latestEarlier*forgetting + latest*earlier
	autoregression.earlierEarlier = autoregression.earlierEarlier*forgetting + earlier*earlier
	autoregression.latestNext = autoregression.latestNext*forgetting + latest*next
	autoregression.earlierNext = autoregression.earlierNext*forgetting + earlier*next
	autoregression.solve()
}

// solve solves the normal equations, with the prior that the load stays as it is.
func (autoregression *autoregression) solve() {
	a, b, c := autoregression.latestLatest+priorWeight, autoregression.latestEarlier, autoregression.earlierEarlier+priorWeight
	p, q := autoregression.latestNext+priorWeight, autoregression.earlierNext
	determinant := a*c - b*b // Positive, because priorWeight is added to the diagonal.
	autoregression.onLatest = (p*c - q*b) / determinant
	autoregression.onEarlier = (q*a - p*b) / determinant
}

// isTrusted reports whether the predictions have been better than the assumption that the load stays as it is.
func (autoregression *autoregression) isTrusted() bool {
	return autoregression.squaredError < trustedError*autoregression.constantError
}

// loadModel predicts the loads of the serving tasks of an image.
type loadModel struct {
	pacing, placement autoregression
}

// loadChange is by how much the load is expected to differ when new shares take effect, and while another fill task runs.
type loadChange struct{ pacing, placement float64 }

// predict records a load in the history and returns the expected change. Without a time, no change is expected.
func (loadModel *loadModel) predict(loadHistory *loadHistory, load float64, now time.Duration) loadChange {
	if now <= 0 {
		return loadChange{}
	}
	if loadHistory.record(load, now) && loadHistory.stored == historyLength {
		loadModel.pacing.observeHistory(loadHistory, pacingHorizon)
		loadModel.placement.observeHistory(loadHistory, placementHorizon)
	}
	if loadHistory.stored <= regressionLag {
		return loadChange{}
	}
	pacing := loadModel.pacing.change(loadHistory, load)
	return loadChange{pacing: pacing, placement: max(pacing, loadModel.placement.change(loadHistory, load))}
}

func (autoregression *autoregression) observeHistory(loadHistory *loadHistory, horizon int) {
	autoregression.observe(loadHistory.deviation(horizon), loadHistory.deviation(horizon+regressionLag), loadHistory.deviation(0))
}

// change returns the predicted change of the load, or 0 unless the predictions are trusted.
func (autoregression *autoregression) change(loadHistory *loadHistory, load float64) float64 {
	if !autoregression.isTrusted() {
		return 0
	}
	predicted := autoregression.onLatest*(load-loadHistory.mean) + autoregression.onEarlier*loadHistory.deviation(regressionLag)
	return min(max(0, loadHistory.mean+predicted), 1) - load
}
