package rejoiner

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/classifier"
)

const (
	// failureLimit is how long a replica may fail again and again before its process ends. It is many times the time that an
	// election and a rejoin take.
	failureLimit = 30 * time.Second
	// recoveryPeriod is the time without a failure after which the next one begins a new series.
	recoveryPeriod = 10 * time.Second
)

// failureSeries decides when failures that follow one another show that the replica will not work in this process. The zero
// value has seen no failure.
type failureSeries struct {
	since, last time.Time
}

// addFailure records a failure and reports whether the series has lasted for failureLimit. A disk that refuses operations is
// waited for instead, because a new process would have to wait for it as well, and so are descriptors that clients hold.
func (failureSeries *failureSeries) addFailure(now time.Time, err error) bool {
	if kind := classifier.Classify(err); isRefused(err) || kind == classifier.ReadOnly || kind == classifier.Descriptors {
		failureSeries.since, failureSeries.last = time.Time{}, time.Time{}
		return false
	}
	if failureSeries.last.IsZero() || now.Sub(failureSeries.last) >= recoveryPeriod {
		failureSeries.since = now
	}
	failureSeries.last = now
	return now.Sub(failureSeries.since) >= failureLimit
}
