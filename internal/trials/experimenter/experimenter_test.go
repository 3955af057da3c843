package experimenter

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// Results must not depend on the order of the runs, on map iteration or on the wall clock: a plan run sequentially must
// equal the same plan run in parallel.
func TestExecuteIsRepeatable(t *testing.T) {
	plan := Plan{
		Deployments: []string{"couva"}, Scenarios: []string{"rackLoss"}, Policies: []string{"leastLoaded", "quarantined"},
		Seeds: 1, Parallelism: 3, Horizon: 52 * time.Minute,
	}
	want, err := Execute(plan)
	if err != nil {
		t.Fatal(err)
	}
	plan.Parallelism = 1
	got, err := Execute(plan)
	if err != nil {
		t.Fatal(err)
	}
	for i, result := range got {
		if !reflect.DeepEqual(result, want[i]) {
			t.Errorf("%s: got %v, want %v", result.Policy, result.Metrics, want[i].Metrics)
		}
		// Memory must never be overcommitted, even while a rack is down and evicted tasks are stopping.
		if got := result.Metrics[metricOverfull].Max; got != 0 {
			t.Errorf("%s: got %v overfull worker steps, want 0", result.Policy, got)
		}
	}
}

// The same seed must generate the same jobs, because policies are compared on them. Different seeds must generate
// different jobs.
func TestWorkDependsOnlyOnSeed(t *testing.T) {
	d, s := deployments["couva"], scenarios["noisyWaves"]
	first, second := generateJobs(1, d, s, newInterferenceTable(1)), generateJobs(1, d, s, newInterferenceTable(1))
	if !reflect.DeepEqual(first, second) {
		t.Error("got different jobs for one seed, want the same")
	}
	if other := generateJobs(2, d, s, newInterferenceTable(2)); reflect.DeepEqual(first, other) {
		t.Error("got the same jobs for two seeds, want different")
	}
}

// Unknown names and invalid values must be rejected instead of running nothing, and the JSON output file must be
// readable.
func TestCommand(t *testing.T) {
	file := filepath.Join(t.TempDir(), "out.json")
	cases := map[string]struct {
		args    []string
		wantErr string
	}{
		"run": {args: []string{
			"--deployment", "couva", "--scenario", "light", "--policy", "partition", "--seeds", "1", "--horizon", "20m",
			"--output", file,
		}},
		"unknown scenario": {args: []string{"--scenario", "calm"}, wantErr: `scenario "calm" is not known`},
		"unknown policy":   {args: []string{"--policy", "x"}, wantErr: `policy "x" is not known`},
		"horizon":          {args: []string{"--horizon", "3h"}, wantErr: "horizon 3h0m0s"},
		"no seeds":         {args: []string{"--seeds", "0"}, wantErr: "at least 1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			command := Command()
			command.SetArgs(c.args)
			command.SetOut(&out)
			command.SetErr(&out)
			err := command.Execute()
			if c.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), c.wantErr) {
					t.Fatalf("got error %v, want %q", err, c.wantErr)
				}
				return
			}
			data, readErr := os.ReadFile(file)
			var results []Result
			if err != nil || readErr != nil || json.Unmarshal(data, &results) != nil || len(results) != 1 {
				t.Fatalf("got %v, %v and %s, want one result", err, readErr, data)
			}
			if got := len(results[0].Metrics[metricP99].Values); got != 1 {
				t.Errorf("got %d seeds, want 1", got)
			}
		})
	}
}
