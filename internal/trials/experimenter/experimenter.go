// Package experimenter measures placement policies on a stand-in of a fleet: a known interference
// table, late usage reports and wrong declarations in virtual time. It has no network and starts no
// processes; it measures decisions and nothing else.
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

// MetricSummary is the mean of a metric over seeds with its spread.
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

// Plan names what to run. Empty lists mean everything.
type Plan struct {
	Deployments []string
	Scenarios   []string
	Policies    []string
	// Seeds is the number of seeds; Parallel runs go on at a time.
	Seeds       int
	Parallelism int
	// FirstSeed is added to the seeds, so that a policy can be measured on seeds that it was not
	// tried on.
	FirstSeed int
	// Horizon is the virtual time of a run, at most 2 h.
	Horizon time.Duration
}

// run is one policy on one seed.
type run struct {
	deployment, scenario, policy string
	seed                         int
	until                        time.Duration
	metrics                      map[string]float64
	err                          error
}

// Execute carries out a plan. The same plan gives the same results.
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
	return collect(runs)
}

func (plan Plan) runs() ([]*run, error) {
	deploymentNames, err := chosen("deployment", plan.Deployments, deployments)
	if err != nil {
		return nil, err
	}
	scenarioNames, err := chosen("scenario", plan.Scenarios, scenarios)
	if err != nil {
		return nil, err
	}
	policyNames, err := chosen("policy", plan.Policies, policies)
	if err != nil {
		return nil, err
	}
	if plan.Seeds < 1 {
		return nil, Error.New("%d seeds requested, at least 1 is needed", plan.Seeds)
	}
	if plan.Horizon <= 0 || plan.Horizon > horizon {
		return nil, Error.New("horizon %v is not between 0 and %v", plan.Horizon, horizon)
	}
	var runs []*run
	for _, d := range deploymentNames {
		for _, s := range scenarioNames {
			for _, p := range policyNames {
				for seed := plan.FirstSeed; seed < plan.FirstSeed+plan.Seeds; seed++ {
					runs = append(runs, &run{deployment: d, scenario: s, policy: p, seed: seed, until: plan.Horizon})
				}
			}
		}
	}
	return runs, nil
}

// chosen checks names against what exists; no names choose everything.
func chosen[V any](what string, names []string, known map[string]V) ([]string, error) {
	all := slices.Sorted(maps.Keys(known))
	if len(names) == 0 {
		return all, nil
	}
	for _, name := range names {
		if _, ok := known[name]; !ok {
			return nil, Error.New("%s %q is not known; known are %v", what, name, all)
		}
	}
	return names, nil
}

func (r *run) execute() {
	w := newWorld(uint64(r.seed), deployments[r.deployment], scenarios[r.scenario], r.until)
	p, err := policies[r.policy](w)
	if err != nil {
		r.err = err
		return
	}
	r.metrics = w.run(p).metrics()
}

func collect(runs []*run) ([]Result, error) {
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
			result.Metrics[name] = spreadOf(list)
		}
		results = append(results, result)
		clear(values)
	}
	slices.SortStableFunc(results, func(a, b Result) int {
		return cmp.Or(cmp.Compare(a.Deployment, b.Deployment), cmp.Compare(a.Scenario, b.Scenario))
	})
	return results, nil
}

func spreadOf(values []float64) MetricSummary {
	s := MetricSummary{Min: slices.Min(values), Max: slices.Max(values), Values: values}
	for _, v := range values {
		s.Mean += v / float64(len(values))
	}
	for _, v := range values {
		s.StandardDeviation += (v - s.Mean) * (v - s.Mean)
	}
	s.StandardDeviation = math.Sqrt(s.StandardDeviation / float64(max(1, len(values)-1)))
	return s
}
