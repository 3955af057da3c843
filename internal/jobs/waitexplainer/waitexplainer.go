// Package waitexplainer sums up which rules keep a waiting task off the workers of its pool, and where it could start the
// soonest. The rules themselves are those of the packages that decide. The package contains only decision logic: it reads
// no clock and starts no goroutine.
package waitexplainer

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Obstacle is a rule that keeps a task off a worker.
type Obstacle struct {
	// Rule is the name of the rule.
	Rule string
	End  packer.End
}

// Candidate is a worker of the task's pool.
type Candidate struct {
	Worker scheduler.WorkerName
	// Obstacles holds all rules that keep the task off the worker. It is empty if the worker accepts the task.
	Obstacles []Obstacle
}

// end returns when the last obstacle ends, if those that are in force now are all.
func (candidate *Candidate) end() packer.End {
	end := packer.End{Kind: packer.EndFixed}
	for position := range candidate.Obstacles {
		obstacle := candidate.Obstacles[position].End
		if obstacle.IsKnown() {
			end.After = max(end.After, obstacle.After)
		}
		if certainty(obstacle.Kind) > certainty(end.Kind) {
			end.Kind = obstacle.Kind
		}
	}
	if !end.IsKnown() {
		end.After = 0
	}
	return end
}

// certainty orders the kinds of ends: the end of several obstacles is as uncertain as the least certain of them. A kind that
// is not known counts as packer.EndUnknown.
func certainty(kind packer.EndKind) int {
	switch kind {
	case packer.EndFixed:
		return 0
	case packer.EndExpected:
		return 1
	case packer.EndNever:
		return 3
	}
	return 2
}

// Rule is a rule that keeps a task off some workers. It is a wire type.
type Rule struct {
	Name string `json:"name" cbor:"1,keyasint"`
	// Workers is the number of workers that the rule excludes. Several rules may exclude a worker.
	Workers int `json:"workers" cbor:"2,keyasint"`
	// Alone is the number of workers that no other rule excludes.
	Alone int `json:"alone" cbor:"3,keyasint"`
	// Soonest is when the rule ends on the worker on which it ends first.
	Soonest packer.End `json:"soonest" cbor:"4,keyasint"`
}

// Basis is why a task is expected to start on a worker.
type Basis string

// Values of Basis.
const (
	// BasisAssigned means that a planning cycle would place the task on the worker now.
	BasisAssigned Basis = "assigned"
	// BasisReserved means that the worker is reserved for the task.
	BasisReserved Basis = "reserved"
	// BasisSoonest means that no other worker is expected to be free of the rules as soon. Other tasks may start there first.
	BasisSoonest Basis = "soonest"
)

// Next is where a task is expected to start. It is a wire type.
type Next struct {
	Worker scheduler.WorkerName `json:"worker" cbor:"1,keyasint"`
	// After is the time from now.
	After time.Duration `json:"after" cbor:"2,keyasint"`
	Basis Basis         `json:"basis" cbor:"3,keyasint"`
}

// Summary is what the workers of a pool offer a waiting task. It is a wire type.
type Summary struct {
	// Workers is the number of workers of the pool, Accepting the number of those that accept the task.
	Workers   int `json:"workers" cbor:"1,keyasint"`
	Accepting int `json:"accepting" cbor:"2,keyasint"`
	// Rules holds the rules in descending order of the workers that they exclude.
	Rules []Rule `json:"rules,omitempty" cbor:"3,keyasint,omitempty"`
	// Impossible is true if each worker has a rule that never ends.
	Impossible bool `json:"impossible,omitempty" cbor:"4,keyasint,omitempty"`
	// Next is nil if it is not known where the task will start.
	Next *Next `json:"next,omitempty" cbor:"5,keyasint,omitempty"`
}

// Explain sums up the candidates. Next is one that is expected to accept the task the soonest and does not yet.
func Explain(candidates []Candidate) Summary {
	summary := Summary{Workers: len(candidates), Impossible: len(candidates) > 0}
	rules := map[string]*Rule{}
	for position := range candidates {
		candidate := &candidates[position]
		addRules(rules, candidate)
		end := candidate.end()
		summary.Impossible = summary.Impossible && end.Kind == packer.EndNever
		switch {
		case len(candidate.Obstacles) == 0:
			summary.Accepting++
		case end.IsKnown() && (summary.Next == nil || end.After < summary.Next.After):
			summary.Next = &Next{Worker: candidate.Worker, After: end.After, Basis: BasisSoonest}
		}
	}
	for _, rule := range rules {
		summary.Rules = append(summary.Rules, *rule)
	}
	slices.SortFunc(summary.Rules, func(a, b Rule) int {
		return cmp.Or(cmp.Compare(b.Workers, a.Workers), cmp.Compare(a.Name, b.Name))
	})
	return summary
}

func addRules(rules map[string]*Rule, candidate *Candidate) {
	for _, obstacle := range candidate.Obstacles {
		rule := rules[obstacle.Rule]
		if rule == nil {
			rule = &Rule{Name: obstacle.Rule, Soonest: obstacle.End}
			rules[obstacle.Rule] = rule
		}
		rule.Workers++
		if len(candidate.Obstacles) == 1 {
			rule.Alone++
		}
		rule.Soonest = sooner(rule.Soonest, obstacle.End)
	}
}

// sooner returns the end that comes first. A known end comes before an unknown one, and that before none.
func sooner(a, b packer.End) packer.End {
	switch {
	case a.IsKnown() && b.IsKnown():
		if b.After < a.After {
			return b
		}
	case certainty(b.Kind) < certainty(a.Kind):
		return b
	}
	return a
}
