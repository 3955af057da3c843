// Package experimenter compares placement policies in a discrete-event simulation of a cluster, with a known interference
// table, delayed usage reports and inaccurate declarations. The simulation runs in virtual time, without network or
// processes, so that it measures only the decisions of a policy.
package experimenter

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("experimenter")

// MetricSummary holds the mean, standard deviation, minimum and maximum of a metric over seeds, and the values.
type MetricSummary struct {
	Mean              float64   `json:"mean"`
	StandardDeviation float64   `json:"deviation"`
	Min               float64   `json:"low"`
	Max               float64   `json:"high"`
	Values            []float64 `json:"seeds"`
}

// Result holds the metrics of one policy in one scenario and deployment.
type Result struct {
	Deployment string                   `json:"deployment"`
	Scenario   string                   `json:"scenario"`
	Policy     string                   `json:"policy"`
	Metrics    map[string]MetricSummary `json:"metrics"`
}

// Plan selects the runs. An empty list selects all deployments, scenarios or policies.
type Plan struct {
	Deployments []string
	Scenarios   []string
	Policies    []string
	// Seeds is the number of seeds. Parallelism is the number of concurrent runs.
	Seeds       int
	Parallelism int
	// FirstSeed is the first of the consecutive seeds. It allows evaluating a policy on seeds that were not used to tune
	// it.
	FirstSeed int
	// Horizon is the duration of a run in virtual time, at most 2 h.
	Horizon time.Duration
}

// run is the simulation of one policy with one seed.
type run struct {
	deployment, scenario, policy string
	seed                         int
	horizon                      time.Duration
	metrics                      map[string]float64
	err                          error
}

// Execute runs a plan. It is deterministic: the same plan gives the same results.
func Execute(plan Plan) ([]Result, error) {
	runs, err := plan.runs()
	if err != nil {
		return nil, err
	}
	next := make(chan *run)
	var workers sync.WaitGroup
	for range max(1, plan.Parallelism) {
		workers.Go(func() {
			for r := range next {
				r.execute()
			}
		})
	}
	for _, r := range runs {
		next <- r
	}
	close(next)
	workers.Wait()
	return summariseRuns(runs)
}

func (plan Plan) runs() ([]*run, error) {
	deploymentNames, err := selectNames("deployment", plan.Deployments, deployments)
	if err != nil {
		return nil, err
	}
	scenarioNames, err := selectNames("scenario", plan.Scenarios, scenarios)
	if err != nil {
		return nil, err
	}
	policyNames, err := selectNames("policy", plan.Policies, policies)
	if err != nil {
		return nil, err
	}
	if plan.Seeds < 1 {
		return nil, Error.New("got %d seeds, need at least 1", plan.Seeds)
	}
	if plan.Horizon <= 0 || plan.Horizon > horizon {
		return nil, Error.New("horizon %v is not between 0 and %v", plan.Horizon, horizon)
	}
	var runs []*run
	for _, d := range deploymentNames {
		for _, s := range scenarioNames {
			for _, p := range policyNames {
				for seed := plan.FirstSeed; seed < plan.FirstSeed+plan.Seeds; seed++ {
					runs = append(runs, &run{deployment: d, scenario: s, policy: p, seed: seed, horizon: plan.Horizon})
				}
			}
		}
	}
	return runs, nil
}

// selectNames returns names after checking that each is a key of known, or all keys if names is empty.
func selectNames[V any](what string, names []string, known map[string]V) ([]string, error) {
	all := slices.Sorted(maps.Keys(known))
	if len(names) == 0 {
		return all, nil
	}
	for _, name := range names {
		if _, ok := known[name]; !ok {
			return nil, Error.New("%s %q is not known; known names are %v", what, name, all)
		}
	}
	return names, nil
}

func (r *run) execute() {
	sim := newSimulation(uint64(r.seed), deployments[r.deployment], scenarios[r.scenario], r.horizon)
	p, err := policies[r.policy](sim)
	if err != nil {
		r.err = err
		return
	}
	r.metrics = sim.run(p).metrics()
}

func summariseRuns(runs []*run) ([]Result, error) {
	var results []Result
	values := map[string][]float64{}
	for i, r := range runs {
		if r.err != nil {
			return nil, r.err
		}
		for name, value := range r.metrics {
			values[name] = append(values[name], value)
		}
		if i+1 < len(runs) && runs[i+1].seed > r.seed {
			continue
		}
		result := Result{
			Deployment: r.deployment, Scenario: r.scenario, Policy: r.policy, Metrics: map[string]MetricSummary{},
		}
		for name, list := range values {
			result.Metrics[name] = summarise(list)
		}
		results = append(results, result)
		clear(values)
	}
	slices.SortStableFunc(results, func(a, b Result) int {
		return cmp.Or(cmp.Compare(a.Deployment, b.Deployment), cmp.Compare(a.Scenario, b.Scenario))
	})
	return results, nil
}

func summarise(values []float64) MetricSummary {
	s := MetricSummary{Min: slices.Min(values), Max: slices.Max(values), Values: values}
	for _, value := range values {
		s.Mean += value / float64(len(values))
	}
	for _, value := range values {
		s.StandardDeviation += (value - s.Mean) * (value - s.Mean)
	}
	s.StandardDeviation = math.Sqrt(s.StandardDeviation / float64(max(1, len(values)-1)))
	return s
}
