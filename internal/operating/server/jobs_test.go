package server

import (
	"slices"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a rejection that lists all reasons in one line or omits a class of workers.
func TestRefusedJob(t *testing.T) {
	tests := map[string]struct {
		reason      string
		wantMessage string
		wantFaults  []string
	}{
		"one reason for each class": {
			"tasks[0] can run nowhere: 3 workers with 4 cores: too small; 2 workers with 8 cores: lacks the label zone=a",
			"job j was refused: tasks[0] can run nowhere",
			[]string{"3 workers with 4 cores: too small", "2 workers with 8 cores: lacks the label zone=a"},
		},
		"another reason": {"the ID was used before", "job j was refused: the ID was used before", nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := refusedJob("j", test.reason)
			if got.Name != "invalid" || got.Message != test.wantMessage || !slices.Equal(got.Faults, test.wantFaults) {
				t.Errorf("got %+v, want %q with %q", got, test.wantMessage, test.wantFaults)
			}
		})
	}
}

// Guards against operators' rules that do not determine the class of a task (latency-critical or batch).
func TestRulesGiveTheClass(t *testing.T) {
	byKind := scheduler.Rule{Name: "a", Kind: "fit-record", Class: scheduler.ClassBatch}
	byTeam := scheduler.Rule{Name: "b", Team: "cutting", Class: scheduler.ClassLatencyCritical}
	tests := map[string]struct {
		rules    []scheduler.Rule
		declared scheduler.Class
		want     scheduler.Class
	}{
		"no rule":                     {nil, scheduler.ClassBatch, scheduler.ClassBatch},
		"rule for the kind":           {[]scheduler.Rule{byKind}, scheduler.ClassLatencyCritical, scheduler.ClassBatch},
		"rule for the team":           {[]scheduler.Rule{byTeam}, scheduler.ClassBatch, scheduler.ClassLatencyCritical},
		"kind before team":            {[]scheduler.Rule{byTeam, byKind}, scheduler.ClassLatencyCritical, scheduler.ClassBatch},
		"rules for others":            {[]scheduler.Rule{{Name: "c", Kind: "x", Class: scheduler.ClassLatencyCritical}, {Name: "d", Service: "charts", Class: scheduler.ClassLatencyCritical}}, scheduler.ClassBatch, scheduler.ClassBatch},
		"kind before team, any order": {[]scheduler.Rule{byKind, byTeam}, scheduler.ClassLatencyCritical, scheduler.ClassBatch},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			task := scheduler.TaskSpec{Class: test.declared, Kind: "fit-record"}
			got := classOf(&scheduler.Configuration{Rules: test.rules}, "cutting", task)
			if got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}
