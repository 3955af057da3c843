package dispatcher

import (
	"context"
	"reflect"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// SubmitResult is the answer to a submission. It is a wire type.
type SubmitResult struct {
	Job scheduler.JobID `json:"job,omitempty"`
	// Accepted is false when the submission was refused for Reason.
	Accepted bool `json:"accepted"`
	// Repeated is true when the job was submitted before.
	Repeated bool   `json:"repeated,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Submit logs a submission. It works on every VM of the group. After an error of class
// scheduler.ErrUnknown the caller sends the same submission again.
func (engine *Engine) Submit(ctx context.Context, submission Submission) (SubmitResult, error) {
	result, err := engine.proposeOne(ctx, Operation{Submit: &submission})
	if err != nil {
		return SubmitResult{}, err
	}
	return SubmitResult{
		Job: result.Job, Accepted: result.Outcome != ResultRefused,
		Repeated: result.Outcome == ResultUnchanged, Reason: result.Reason,
	}, nil
}

// Cancel logs a cancellation and returns the number of jobs that it reached; jobs that have ended and
// unknown ones are not counted. It works on every VM of the group.
func (engine *Engine) Cancel(ctx context.Context, cancellation Cancellation) (int, error) {
	result, err := engine.proposeOne(ctx, Operation{Cancel: &cancellation})
	return result.Count, err
}

// Drain takes a worker out of use or back into it. It works on every VM of the group.
func (engine *Engine) Drain(ctx context.Context, drain Drain) error {
	return engine.proposeAccepted(ctx, Operation{Drain: &drain})
}

// Evict asks for the eviction of the task's current attempt. Only the leader does it.
func (engine *Engine) Evict(ctx context.Context, task scheduler.TaskID, reason string) error {
	attempt, ok := engine.machine.attempts([]scheduler.TaskID{task})[task]
	if !ok {
		return Error.Wrap(scheduler.ErrNotRun.New("task %s is unknown", task))
	}
	result, err := engine.proposeOne(ctx, Operation{
		Term: engine.actingTerm(), Evict: &Evict{Task: task, Attempt: attempt, Reason: reason},
	})
	if err == nil && result.Outcome != ResultDone {
		return Error.Wrap(scheduler.ErrNotRun.New("%s", result.Reason))
	}
	return err
}

// Throttle has the attempt with this lease slowed down, or not any more. It is kept in memory: after a
// change of the leader the controller decides again. A lease that is not live is ignored.
func (engine *Engine) Throttle(lease scheduler.LeaseNumber, throttled bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if view, ok := engine.leases[lease]; ok {
		view.throttled = throttled
		engine.machine.leaseChanged(lease)
	}
}

// Quarantine keeps new work away from a worker, or not any more; what runs there goes on. It is kept in
// memory over changes of the leader of this VM, for the quarantiner to decide again elsewhere.
func (engine *Engine) Quarantine(worker scheduler.WorkerName, quarantined bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if quarantined {
		engine.quarantined[worker] = true
	} else {
		delete(engine.quarantined, worker)
	}
}

// SaveCheckpoint has the attempt with this lease save its work in the next exchange.
func (engine *Engine) SaveCheckpoint(lease scheduler.LeaseNumber) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if view, ok := engine.leases[lease]; ok {
		view.saving = true
	}
}

// SetInventory puts the workers of a configuration revision in force that belong to the engine's data
// centre. It logs what differs from the inventory in force and does nothing for an older revision. Only
// the leader does it; after an error the caller tries again.
func (engine *Engine) SetInventory(ctx context.Context, revision scheduler.Revision, workers []scheduler.Worker) error {
	term := engine.actingTerm()
	if term == 0 {
		return Error.Wrap(scheduler.ErrNotRun.New("this VM does not lead group %s", engine.group.Name()))
	}
	if revision <= engine.machine.Revision() {
		return nil
	}
	inForce, known := engine.machine.Workers()
	before := map[scheduler.WorkerName]scheduler.Worker{}
	for _, worker := range known {
		before[worker.Name] = worker
	}
	inventory := &Inventory{Base: inForce, Revision: revision}
	for _, worker := range workers {
		if worker.DataCentre != scheduler.DataCentreName(engine.machine.group) {
			continue
		}
		if old, ok := before[worker.Name]; !ok || !reflect.DeepEqual(old, worker) {
			inventory.Put = append(inventory.Put, worker)
		}
		delete(before, worker.Name)
	}
	for _, worker := range known {
		if _, gone := before[worker.Name]; gone {
			inventory.Remove = append(inventory.Remove, worker.Name)
		}
	}
	return engine.proposeAccepted(ctx, Operation{Term: term, Inventory: inventory})
}

func (engine *Engine) proposeOne(ctx context.Context, operation Operation) (Result, error) {
	results, err := engine.batcher.propose(ctx, []Operation{operation})
	if err != nil {
		return Result{}, err
	}
	return results[0], nil
}
