package overseer

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fakeApprover approves the allowed workers, and counts the calls and their candidates. The first
// calls fail; failing is their number. A concurrent call makes asked negative.
type fakeApprover struct {
	mutex   sync.Mutex
	allowed []scheduler.WorkerName
	calls   int
	asked   int
	busy    bool
	failing int
}

func (approver *fakeApprover) Approve(
	_ context.Context, _ scheduler.JobID, _, _ int, candidates []scheduler.WorkerName,
) ([]scheduler.ApprovedWorker, time.Duration, error) {
	approver.mutex.Lock()
	if approver.busy {
		approver.asked = -1000
	}
	approver.busy = true
	approver.calls++
	approver.asked += len(candidates)
	fails := approver.calls <= approver.failing
	approver.mutex.Unlock()
	time.Sleep(20 * time.Millisecond)
	approver.mutex.Lock()
	defer approver.mutex.Unlock()
	approver.busy = false
	if fails {
		return nil, 0, Error.New("the service is unavailable")
	}
	var approved []scheduler.ApprovedWorker
	for _, candidate := range candidates {
		if slices.Contains(approver.allowed, candidate) {
			approved = append(approved, scheduler.ApprovedWorker{Worker: candidate, Proof: "proof"})
		}
	}
	return approved, 3 * time.Second, nil
}

// Guards against starts on workers that are not approved, steps that wait forever, and repeated requests for
// approvals that are still valid.
func TestOnlyApprovedWorkersRunAStep(t *testing.T) {
	tests := map[string]struct {
		failing int
	}{"the service responds": {}, "the first requests fail": {failing: 3}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1)
				approver := &fakeApprover{allowed: simulation.names[4:], failing: test.failing}
				for _, overseer := range simulation.overseers {
					overseer.approver = approver
				}
				simulation.approval = &scheduler.Approval{Validity: 3 * time.Second}
				stop := simulation.start()
				simulation.submitWorkflow(&scheduler.Workflow{Steps: []scheduler.Step{{
					Count: 6, Request: oneCore, LongRunning: true,
				}}})
				time.Sleep(5 * time.Second)
				running := 0
				simulation.domain.keeper.View(func(state *jobkeeper.State) {
					for _, worker := range state.Workers() {
						state.VisitRuns(worker, func(*jobkeeper.Run) { running++ })
						if !slices.Contains(approver.allowed, worker) {
							t.Errorf("got a run on %s, which is not approved", worker)
						}
					}
				})
				if running != 6 {
					t.Errorf("got %d runs, want 6", running)
				}
				approver.mutex.Lock()
				if approver.asked < 0 || approver.calls > 3+test.failing {
					t.Errorf("got %d calls for %d workers, want at most %d calls, one at a time", approver.calls,
						approver.asked, 3+test.failing)
				}
				approver.mutex.Unlock()
				stop()
			})
		})
	}
}

// Guards against planning cycles in which each step that waits for approvals ranks all workers of a large pool again.
func TestStepsShareRankingOfApprovalCandidates(t *testing.T) {
	const workers = 200
	allocations := func(steps int) float64 {
		leadership := waitingLeadership(t, workers, steps, &scheduler.Approval{Validity: time.Minute})
		return testing.AllocsPerRun(1, func() {
			leadership.choosePlacements()
			if got := len(leadership.takeApprovalRequests()); got != steps {
				t.Errorf("got %d requests, want %d", got, steps)
			}
		})
	}
	got := (allocations(41) - allocations(1)) / 40
	if want := float64(workers); got > want {
		t.Errorf("got %g allocations for each further step, want at most %g", got, want)
	}
}

// Guards against requests for workers that drain since an earlier decision ranked them.
func TestApprovalCandidatesAreCurrent(t *testing.T) {
	leadership := waitingLeadership(t, 2, 1, &scheduler.Approval{Validity: time.Minute})
	leadership.choosePlacements()
	first := leadership.takeApprovalRequests()
	drained := first[0].candidates[0]
	leadership.instances[drained.worker].heartbeat.Phase = scheduler.WorkerDraining
	leadership.choosePlacements()
	for _, request := range leadership.takeApprovalRequests() {
		if slices.Contains(request.candidates, drained) {
			t.Errorf("got a request for %s, which is draining", drained.worker)
		}
	}
}
