package dispatcher

import (
	"context"
	"reflect"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// SubmitResult is the response to a submission. It is a wire type.
type SubmitResult struct {
	Job scheduler.JobID `json:"job,omitempty"`
	// Accepted is false if the submission was refused. Reason then states why.
	Accepted bool `json:"accepted"`
	// Repeated is true if the job had already been submitted.
	Repeated bool   `json:"repeated,omitempty"`
	Reason   string `json:"reason,omitempty"`
}

// Submit proposes a submission. It may be called on every VM of the group. After an error of class
// scheduler.ErrOutcomeUnknown the caller should send the same submission again. While the files of the group
// on the disk of this VM reach into the reserve, a job that is not known yet is refused with an error of class scheduler.ErrNotRun.
func (engine *Engine) Submit(ctx context.Context, submission Submission) (SubmitResult, error) {
	if !engine.budget.AcceptsNewWork(engine.usedBytes()) && !engine.machine.isSubmitted(&submission) {
		return SubmitResult{}, Error.Wrap(scheduler.ErrNotRun.New("the disk of VM %s has no room for new jobs", engine.vm))
	}
	result, err := engine.proposeOne(ctx, Operation{Submit: &submission})
	if err != nil {
		return SubmitResult{}, err
	}
	return SubmitResult{
		Job: result.Job, Accepted: result.Outcome != ResultRefused,
		Repeated: result.Outcome == ResultUnchanged, Reason: result.Reason,
	}, nil
}

// Cancel proposes a cancellation and returns the number of active jobs that it applied to. Ended and unknown jobs are
// not counted. It may be called on every VM of the group.
func (engine *Engine) Cancel(ctx context.Context, cancellation Cancellation) (int, error) {
	result, err := engine.proposeOne(ctx, Operation{Cancel: &cancellation})
	return result.Count, err
}

// Drain drains a worker or puts it back into service. It may be called on every VM of the group.
func (engine *Engine) Drain(ctx context.Context, drain Drain) error {
	return engine.proposeOrError(ctx, Operation{Drain: &drain})
}

// Evict proposes the eviction of the task's current attempt. It fails on a VM that is not the leader.
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

// Throttle starts or stops throttling the attempt with the given lease. The setting is held in memory only: after a
// change of leader the controller must set it again. Leases that are not live are ignored.
func (engine *Engine) Throttle(lease scheduler.LeaseNumber, throttled bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if leaseState, ok := engine.leases[lease]; ok {
		leaseState.throttled = throttled
		engine.machine.markLeaseChanged(lease)
	}
}

// Quarantine starts or stops keeping new tasks off a worker. Running attempts continue. The setting is held in memory
// on this VM and survives changes of leader there; on other VMs the quarantiner decides again.
func (engine *Engine) Quarantine(worker scheduler.WorkerName, quarantined bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if quarantined {
		engine.quarantined[worker] = true
	} else {
		delete(engine.quarantined, worker)
	}
}

// SaveCheckpoint requests a checkpoint of the attempt with the given lease in the worker's next sync exchange.
func (engine *Engine) SaveCheckpoint(lease scheduler.LeaseNumber) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if leaseState, ok := engine.leases[lease]; ok {
		leaseState.checkpointRequested = true
	}
}

// SetInventory makes the workers of a configuration revision that belong to the engine's data centre the current
// inventory. It proposes only the difference from the current inventory and does nothing if the revision is not newer.
// It fails on a VM that is not the leader. After an error the caller should retry.
func (engine *Engine) SetInventory(ctx context.Context, revision scheduler.Revision, workers []scheduler.Worker) error {
	term := engine.actingTerm()
	if term == 0 {
		return Error.Wrap(scheduler.ErrNotRun.New("this VM does not lead group %s", engine.group.Name()))
	}
	if revision <= engine.machine.Revision() {
		return nil
	}
	current, known := engine.machine.Workers()
	before := map[scheduler.WorkerName]scheduler.Worker{}
	for _, worker := range known {
		before[worker.Name] = worker
	}
	inventory := &Inventory{Base: current, Revision: revision}
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
	return engine.proposeOrError(ctx, Operation{Term: term, Inventory: inventory})
}

func (engine *Engine) proposeOne(ctx context.Context, operation Operation) (Result, error) {
	results, err := engine.batcher.propose(ctx, []Operation{operation})
	if err != nil {
		return Result{}, err
	}
	return results[0], nil
}
