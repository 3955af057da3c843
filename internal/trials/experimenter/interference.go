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
	// latencySigma is the sigma of the log-normal latency of a service without interference.
	latencySigma = 0.5
)

// Parameters of the interference table. They were set before any policy was measured and must not be tuned in favour of
// a policy.
const (
	coefficientMedian = 0.5
	coefficientSigma  = 1.3
	// quadraticInterference makes latency grow faster than linearly with the interference. The estimator does not model
	// this.
	quadraticInterference = 0.15
	// contentionInterference is the relative increase of latency when batch tasks demand twice the processors that
	// services leave to them.
	contentionInterference = 0.5
)

// interferenceTable is the ground truth of the interference between services and kinds of batch tasks on a shared worker.
// Policies other than the oracle observe it only through usage reports.
type interferenceTable struct {
	coefficient     [serviceCount][kindCount]float64
	loadCoefficient [serviceCount][kindCount]float64
	baseLatency     [serviceCount]time.Duration
}

func newInterferenceTable(seed uint64) *interferenceTable {
	random := rand.New(rand.NewPCG(seed, streamInterference))
	table := &interferenceTable{}
	for s := range serviceCount {
		table.baseLatency[s] = time.Duration(8+12*random.Float64()) * time.Millisecond
		for k := range kindCount {
			table.coefficient[s][k] = coefficientMedian * math.Exp(coefficientSigma*random.NormFloat64())
			table.loadCoefficient[s][k] = 0.5 + 2*random.Float64()
		}
	}
	return table
}

// at returns the linear part of the interference of a service and a kind at a service load from 0 to 1.
func (table *interferenceTable) at(service, kind int, load float64) float64 {
	return table.coefficient[service][kind] * (0.3 + table.loadCoefficient[service][kind]*load*load)
}

// meanCoefficient returns the mean coefficient of a kind over all services.
func (table *interferenceTable) meanCoefficient(kind int) float64 {
	var sum float64
	for s := range serviceCount {
		sum += table.coefficient[s][kind] / serviceCount
	}
	return sum
}

func serviceName(service int) string { return fmt.Sprintf("service%d", service) }

func kindName(kind int) string { return fmt.Sprintf("kind%d", kind) }

// oracleEstimator implements scheduler.Estimator with the actual interference and load.
type oracleEstimator struct {
	interferenceTable *interferenceTable
	load              func(service int) float64
}

// Interference implements scheduler.Estimator.
func (e oracleEstimator) Interference(pairing scheduler.Colocation) scheduler.Estimate {
	service, kind := indexOf(pairing.Service, "service"), indexOf(pairing.Kind, "kind")
	return scheduler.Estimate{Interference: e.interferenceTable.at(service, kind, e.load(service))}
}

// Load implements scheduler.Estimator.
func (e oracleEstimator) Load(service string) scheduler.LoadLevel {
	return scheduler.LoadLevelOf(e.load(indexOf(service, "service")))
}

// Baseline returns the 99th percentile latency of a service without interference.
func (e oracleEstimator) Baseline(service string, _ scheduler.LoadLevel) (time.Duration, bool) {
	return isolatedP99(e.interferenceTable, indexOf(service, "service")), true
}

// isolatedP99 returns the 99th percentile latency of a service without interference. 2.326 is the 99th percentile of the
// standard normal distribution.
func isolatedP99(table *interferenceTable, service int) time.Duration {
	return time.Duration(float64(table.baseLatency[service]) * math.Exp(latencySigma*2.326))
}

func indexOf(name, prefix string) int {
	var n int
	if _, err := fmt.Sscanf(name[len(prefix):], "%d", &n); err != nil {
		return 0
	}
	return n
}
