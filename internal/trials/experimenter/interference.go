package experimenter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	serviceCount = 6
	kindCount    = 8
	// answerSigma is the spread of a service's latency when it runs alone (log-normal).
	answerSigma = 0.5
)

// Parameters of the interference table. They were set before any policy was measured and are not
// to be changed to suit one.
const (
	harmMedian = 0.5
	harmSigma  = 1.3
	// harmSquare makes harm grow faster than linearly, which the estimator does not know.
	harmSquare = 0.15
	// contentionHarm is the rise of latency when batch asks for twice the processors left to it.
	contentionHarm = 0.5
)

// truth is what really happens when tasks share a worker. Policies other than the oracle see it
// only through usage reports.
type truth struct {
	harm  [serviceCount][kindCount]float64
	slope [serviceCount][kindCount]float64
	base  [serviceCount]time.Duration
}

func newTruth(seed uint64) *truth {
	random := rand.New(rand.NewPCG(seed, streamTruth))
	t := &truth{}
	for s := range serviceCount {
		t.base[s] = time.Duration(8+12*random.Float64()) * time.Millisecond
		for k := range kindCount {
			t.harm[s][k] = harmMedian * math.Exp(harmSigma*random.NormFloat64())
			t.slope[s][k] = 0.5 + 2*random.Float64()
		}
	}
	return t
}

// at returns the linear part of the harm of a pairing at a load from 0 to 1.
func (t *truth) at(service, kind int, load float64) float64 {
	return t.harm[service][kind] * (0.3 + t.slope[service][kind]*load*load)
}

// harshness returns the mean harm of a kind over all services.
func (t *truth) harshness(kind int) float64 {
	var sum float64
	for s := range serviceCount {
		sum += t.harm[s][kind] / serviceCount
	}
	return sum
}

func serviceName(service int) string { return fmt.Sprintf("service%d", service) }

func kindName(kind int) string { return fmt.Sprintf("kind%d", kind) }

// knownTruth is the estimator of the oracle.
type knownTruth struct {
	truth *truth
	load  func(service int) float64
}

// Interference implements scheduler.Estimator.
func (k knownTruth) Interference(pairing scheduler.Colocation) scheduler.Estimate {
	service, kind := number(pairing.Service, "service"), number(pairing.Kind, "kind")
	return scheduler.Estimate{Interference: k.truth.at(service, kind, k.load(service))}
}

// Load implements scheduler.Estimator.
func (k knownTruth) Load(service string) scheduler.LoadLevel {
	return scheduler.LoadLevelOf(k.load(number(service, "service")))
}

// Baseline returns the 99th percentile of a service that runs alone.
func (k knownTruth) Baseline(service string, _ scheduler.LoadLevel) (time.Duration, bool) {
	return aloneLatency(k.truth, number(service, "service")), true
}

// aloneLatency returns the 99th percentile of a service that runs alone.
func aloneLatency(t *truth, service int) time.Duration {
	return time.Duration(float64(t.base[service]) * math.Exp(answerSigma*2.326))
}

func number(name, prefix string) int {
	var n int
	if _, err := fmt.Sscanf(name[len(prefix):], "%d", &n); err != nil {
		return 0
	}
	return n
}
