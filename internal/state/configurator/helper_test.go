package configurator

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fakeGroup is a group with one VM that applies each command immediately.
type fakeGroup struct {
	scheduler.Group
	mutex       sync.Mutex
	machine     scheduler.StateMachine
	index       scheduler.Index
	follower    atomic.Bool
	partitioned atomic.Bool
	// commandSizes contains the sizes of the proposed commands in bytes.
	commandSizes []int
}

func (group *fakeGroup) Name() scheduler.GroupName { return "couva" }

func (group *fakeGroup) HoldsLeaderLease() bool { return !group.follower.Load() }

func (group *fakeGroup) Propose(_ context.Context, command []byte) ([]byte, error) {
	if group.partitioned.Load() {
		return nil, scheduler.ErrNotRun.New("no majority")
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.index++
	group.commandSizes = append(group.commandSizes, len(command))
	return group.machine.Apply(group.index, command), nil
}

func (group *fakeGroup) ReadBarrier(context.Context) error {
	if group.partitioned.Load() {
		return scheduler.ErrNotRun.New("no majority")
	}
	return nil
}

// inventory returns a valid document with the given number of workers, eight per rack.
func inventory(workers int) *scheduler.Configuration {
	document := &scheduler.Configuration{
		DataCentres: []scheduler.DataCentre{{Name: "couva"}},
		VMs: []scheduler.VM{{
			Name: "couva-1", DataCentre: "couva", Address: "10.0.0.1:7000", Roles: []string{"replica"},
		}},
		Services: []scheduler.Service{{Name: "sizing-desk", Class: scheduler.ClassLatencyCritical}},
		Rules:    []scheduler.Rule{{Name: "charts", Service: "sizing-desk", Class: scheduler.ClassLatencyCritical}},
		Teams:    []scheduler.Team{{Name: "patterns", Quota: scheduler.Resources{MilliCores: 1000}}},
	}
	for i := range workers {
		rack := fmt.Sprintf("rack-%04d", i/8)
		if i%8 == 0 {
			document.Racks = append(document.Racks, scheduler.Rack{Name: rack, DataCentre: "couva"})
		}
		document.Workers = append(document.Workers, scheduler.Worker{
			Name: scheduler.WorkerName(fmt.Sprintf("worker-%04d", i)), DataCentre: "couva", Rack: rack,
			Capacity: scheduler.Resources{MilliCores: 32000, MemoryBytes: 125 << 30},
			Labels:   map[string]string{"hosts": "batch", "generation": "4"},
		})
	}
	return document
}

func newSubmitter(t testing.TB) (*Submitter, *GlobalMachine, *fakeGroup) {
	t.Helper()
	globalMachine := NewGlobalMachine()
	group := &fakeGroup{machine: globalMachine}
	return NewSubmitter(group, globalMachine), globalMachine, group
}

func mustSubmit(
	t testing.TB, submitter *Submitter, base scheduler.Revision, id string, document *scheduler.Configuration,
) {
	t.Helper()
	result, err := submitter.Submit(t.Context(), base, "ama", id, document)
	if err != nil || result.Outcome != ChangeAccepted {
		t.Fatalf("got %+v, %v, want an accepted change", result, err)
	}
}
