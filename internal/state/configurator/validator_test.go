package configurator

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against documents that refer to missing elements, and against a validator that stops at the
// first error, so that an operator needs one attempt per error.
func TestValidate(t *testing.T) {
	tests := map[string]struct {
		modify func(*scheduler.Configuration)
		want   []string
	}{
		"valid": {modify: func(*scheduler.Configuration) {}},
		"unknown rack": {
			modify: func(c *scheduler.Configuration) { c.Workers[1].Rack = "x" },
			want:   []string{"workers[1].rack"},
		},
		"duplicate worker": {
			modify: func(c *scheduler.Configuration) { c.Workers[1].Name = "worker-0000" },
			want:   []string{"workers[1].name"},
		},
		"no memory": {
			modify: func(c *scheduler.Configuration) { c.Workers[0].Capacity.MemoryBytes = 0 },
			want:   []string{"workers[0].capacity"},
		},
		"negative quota": {
			modify: func(c *scheduler.Configuration) { c.Teams[0].Quota.MilliCores = -1 },
			want:   []string{"teams[0].quota.milliCores"},
		},
		"bad address": {
			modify: func(c *scheduler.Configuration) { c.VMs[0].Address = "couva:1" },
			want:   []string{"vms[0].address"},
		},
		"unknown role": {
			modify: func(c *scheduler.Configuration) { c.VMs[0].Roles = []string{"x"} },
			want:   []string{"vms[0].roles[0]"},
		},
		"reserved name": {modify: func(c *scheduler.Configuration) {
			c.DataCentres = append(c.DataCentres, scheduler.DataCentre{Name: "global"})
		}, want: []string{"dataCentres[1].name"}},
		"class conflicts with service": {
			modify: func(c *scheduler.Configuration) { c.Rules[0].Class = scheduler.ClassBatch },
			want:   []string{"rules[0].class"},
		},
		"two selectors": {
			modify: func(c *scheduler.Configuration) { c.Rules[0].Kind = "x" },
			want:   []string{"rules[0]"},
		},
		"duplicate rule": {modify: func(c *scheduler.Configuration) {
			rule := c.Rules[0]
			rule.Name = "other"
			c.Rules = append(c.Rules, rule)
		}, want: []string{"rules[1]"}},
		"several errors": {modify: func(c *scheduler.Configuration) {
			c.DataCentres = nil
			c.Services[0].Class = "x"
			c.Services[0].Queue = -1
		}, want: []string{
			"racks[0].dataCentre", "vms[0].dataCentre", "workers[0].dataCentre", "workers[1].dataCentre",
			"services[0].class", "services[0].queue", "rules[0].class",
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			document := inventory(2)
			test.modify(document)
			var got []string
			for _, fault := range Validate(document) {
				got = append(got, fault.Path)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against differences with a wrong path after list elements have shifted.
func TestDifferences(t *testing.T) {
	from, to := inventory(3), inventory(3)
	to.Workers = to.Workers[1:]
	to.Workers[0].Labels = map[string]string{"hosts": "all"}
	to.Workers[1].Capacity.Accelerators = 2
	to.Teams = append(to.Teams, scheduler.Team{Name: "audit"})
	differences, err := Differences(Normalise(from), Normalise(to))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, difference := range differences {
		got = append(got, string(difference.Kind)+" "+difference.Path)
	}
	want := []string{
		"removed workers[worker-0000]",
		"removed workers[worker-0001].labels.generation", "changed workers[worker-0001].labels.hosts",
		"changed workers[worker-0002].capacity.accelerators", "added teams[audit]",
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// Guards against a delta that does not produce the target document, which would put different
// configurations in force under one revision.
func TestDeltaYieldsTargetDocument(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		from, to := inventory(1+random.IntN(20)), inventory(1+random.IntN(20))
		for range random.IntN(6) {
			to.Workers[random.IntN(len(to.Workers))].Labels = map[string]string{"hosts": string(rune('a' + random.IntN(9)))}
			from.Teams = append(from.Teams, scheduler.Team{Name: scheduler.TeamName(rune('a' + len(from.Teams)))})
			to.Teams[0].Quota.MilliCores = int64(random.IntN(3))
		}
		random.Shuffle(len(to.Workers), func(i, j int) { to.Workers[i], to.Workers[j] = to.Workers[j], to.Workers[i] })
		delta, err := NewDelta(Normalise(from), Normalise(to))
		if err != nil {
			t.Fatal(err)
		}
		patched, err := delta.Patch(Normalise(from))
		if err != nil {
			t.Fatal(err)
		}
		got, _ := Digest(patched)
		if want, _ := Digest(to); !slices.Equal(got, want) {
			t.Errorf("seed %d: got %x, want %x", seed, got, want)
		}
	}
}
