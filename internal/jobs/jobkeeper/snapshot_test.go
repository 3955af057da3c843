package jobkeeper

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/crashclassifier"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a snapshot that omits part of the state. After a restore, the same commands must have the same results
// and lead to the same state as in the original Keeper.
func TestSnapshotRoundTrip(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, seed))
		original := newFixture(t)
		for range 200 {
			original.apply(randomCommand(random))
		}
		var stored bytes.Buffer
		if err := original.keeper.Snapshot(&stored); err != nil {
			t.Fatal(err)
		}
		restored := &fixture{t: t, keeper: New()}
		if err := restored.keeper.Restore(bytes.NewReader(stored.Bytes())); err != nil {
			t.Fatal(err)
		}
		for step := range 100 {
			command := randomCommand(random)
			want, got := original.apply(command), restored.apply(command)
			if fmt.Sprint(got) != fmt.Sprint(want) || original.ready() != restored.ready() {
				t.Fatalf("seed %d, command %d: got %v with %d ready, want %v with %d", seed, step, got, restored.ready(),
					want, original.ready())
			}
		}
		var wantFinal, gotFinal bytes.Buffer
		if err := original.keeper.Snapshot(&wantFinal); err != nil {
			t.Fatal(err)
		}
		if err := restored.keeper.Snapshot(&gotFinal); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(gotFinal.Bytes(), wantFinal.Bytes()) {
			t.Errorf("seed %d: got different final snapshots, want equal ones", seed)
		}
	}
}

func randomCommand(random *rand.Rand) Command {
	id := scheduler.JobID(fmt.Sprintf("j%d", random.IntN(8)))
	task := scheduler.StepTaskID{Job: id, Step: random.IntN(2), Index: random.IntN(3), Occurrence: random.IntN(2)}
	switch random.IntN(12) {
	case 11:
		return Command{Begun: []scheduler.JobID{id}}
	case 10:
		return Command{Withdraw: &Withdraw{Job: id, Requested: time.Unix(random.Int64N(1200), 7).UTC()}}
	case 9:
		run := scheduler.RunID{Task: task, Attempt: scheduler.AttemptNumber(1 + random.IntN(3))}
		return Command{
			Mark:     []Mark{{Run: run, Kind: scheduler.EndCrashedRunning}},
			Evidence: []RunEvidence{{Run: run, Evidence: crashclassifier.Evidence(random.IntN(9000))}},
		}
	case 8:
		return Command{ClearBlame: []scheduler.RunID{{Task: task, Attempt: 1}}}
	case 7:
		actions := []scheduler.EvacuationAction{scheduler.EvacuationBegin, scheduler.EvacuationEnd}
		dataCentre := scheduler.DataCentreName(fmt.Sprintf("d%d", random.IntN(3)))
		return evacuate(dataCentre, actions[random.IntN(2)], uint64(random.IntN(4)))
	case 6:
		return randomMaintenance(random)
	case 0:
		workflow := scheduler.Workflow{Steps: []scheduler.Step{
			{Count: 1 + random.IntN(3), Gang: random.IntN(4) == 0, Request: scheduler.Resources{MilliCores: 10}},
			{Count: 2, DependsOn: []int{0}, LongRunning: random.IntN(5) == 0, Speculative: true},
		}}
		if random.IntN(4) == 0 {
			workflow.Repeat = &scheduler.Repeat{Times: 2}
		}
		return Command{Submit: &Submit{Job: id, Queue: "checks", Workflow: workflow}}
	case 1:
		return Command{StartOccurrence: &StartOccurrence{Job: id, Occurrence: random.IntN(2)}}
	case 2:
		if random.IntN(4) == 0 {
			return Command{Cancel: &id}
		}
		fallthrough
	case 3:
		command := Command{Place: []Placement{{Task: task, Worker: testWorker, Instance: 1, Speculative: random.IntN(4) == 0}}}
		if random.IntN(3) == 0 {
			command.Locations = []Location{{Worker: testWorker, Instance: 1, Address: "address", VM: "vm"}}
		}
		return command
	default:
		kinds := []scheduler.EndKind{
			scheduler.EndFinished, scheduler.EndFinished, scheduler.EndFailed, scheduler.EndLost, scheduler.EndCrashedStarting,
			scheduler.EndCrashedRunning,
		}
		run := scheduler.RunID{Task: task, Attempt: scheduler.AttemptNumber(1 + random.IntN(3))}
		command := Command{End: []End{{
			Run: run, Kind: kinds[random.IntN(len(kinds))], Checkpoint: []string{"", "saved"}[random.IntN(2)],
		}}}
		if random.IntN(2) == 0 {
			command.Evidence = []RunEvidence{{Run: run, Evidence: crashclassifier.Evidence(random.IntN(9000) - 3000)}}
		}
		return command
	}
}

func randomMaintenance(random *rand.Rand) Command {
	number, vm := uint64(random.IntN(3)), scheduler.VMName(fmt.Sprintf("m%d", random.IntN(4)))
	if random.IntN(3) == 0 {
		wave := scheduler.Wave{
			Number: number, VMs: []scheduler.VMName{"m0", "m1", "m1", "m2"}, Duration: time.Minute,
			MaxConcurrent: random.IntN(3),
		}
		return Command{SubmitWave: &SubmitWave{Wave: wave, Accepted: time.Unix(9, 7).UTC()}}
	}
	phases := []MaintenancePhase{MaintenanceWaiting, MaintenanceBegun, MaintenanceDone}
	return Command{MaintenanceSteps: []MaintenanceStep{{Wave: number, VM: vm, Phase: phases[random.IntN(3)]}}}
}
