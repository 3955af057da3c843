package dispatcher

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Sync processes one sync exchange of a worker. It returns an error of class scheduler.ErrNotRun if this VM does not
// hold the leader lease or if a later request has already been processed. After any error the worker repeats its
// reports in the next exchange.
func (engine *Engine) Sync(ctx context.Context, request *scheduler.SyncRequest) (*scheduler.SyncResponse, error) {
	term, err := engine.admit(request)
	if err != nil {
		return nil, err
	}
	crashOutcomes := engine.crashOutcomes(request)
	operations, stale := engine.machine.reportedOperations(request, term, crashOutcomes)
	if stale {
		return nil, Error.Wrap(scheduler.ErrNotRun.New("a later incarnation of worker %s has leases", request.Worker))
	}
	if len(operations) > 0 {
		results, err := engine.batcher.propose(ctx, operations)
		if err != nil {
			return nil, err
		}
		for _, result := range results {
			if result.Outcome == ResultRefused {
				return nil, Error.Wrap(scheduler.ErrNotRun.New("%s", result.Reason))
			}
		}
		if len(crashOutcomes) > 0 {
			engine.log.Warn().Str("event", "workerCrashed").Str("worker", string(request.Worker)).
				Int("suspects", len(crashOutcomes)).Msg("worker crashed; attempts that may have caused it are blamed")
		}
		if ended := recordedEnds(operations, results); len(ended) > 0 {
			engine.endedHandler(request.Worker, ended)
		}
	}
	if len(request.Usage) > 0 {
		engine.usageHandler(request.Worker, request.Usage)
	}
	return engine.response(request, term)
}

// recordedEnds returns the ends of attempts that have been recorded by the operations.
func recordedEnds(operations []Operation, results []Result) []scheduler.EndedAttempt {
	var ended []scheduler.EndedAttempt
	for i, operation := range operations {
		if end := operation.End; end != nil && results[i].Outcome == ResultDone {
			ended = append(ended, scheduler.EndedAttempt{Lease: end.Lease, Outcome: end.Outcome, Message: end.Message})
		}
	}
	return ended
}

// admit rejects late requests and requests that reach a VM that is not the leader. It returns the term of the leader.
func (engine *Engine) admit(request *scheduler.SyncRequest) (scheduler.Term, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if !engine.mayAct(engine.term) {
		return 0, Error.Wrap(scheduler.ErrNotRun.New("this VM does not lead group %s", engine.group.Name()))
	}
	known, ok := engine.sessions[request.Worker]
	if !ok && !engine.machine.hasWorker(request.Worker) {
		// An unknown worker has no leases. It is only told to stop its running attempts.
		return engine.term, nil
	}
	if !ok {
		known = &workerSession{}
		engine.sessions[request.Worker] = known
	}
	switch {
	case request.Incarnation < known.incarnation:
		return 0, Error.Wrap(scheduler.ErrNotRun.New("a later incarnation of worker %s has synced", request.Worker))
	case request.Incarnation == known.incarnation && request.Sequence <= known.sequence:
		return 0, Error.Wrap(scheduler.ErrNotRun.New("sync request %d of worker %s is outdated",
			request.Sequence, request.Worker))
	}
	if known.incarnation != 0 && request.Incarnation > known.incarnation {
		known.previous, known.previousSync, known.returned = known.incarnation, known.lastSync, time.Now()
	}
	known.incarnation, known.sequence, known.lastSync = request.Incarnation, request.Sequence, time.Now()
	return engine.term, nil
}

// response returns the response to a sync request. It renews the leases that the worker listed and repeats commands
// until the worker has reported their effect. The leader's deadline for a lease starts now and is therefore later than
// that of the worker, which starts when the request was sent.
func (engine *Engine) response(request *scheduler.SyncRequest, term scheduler.Term) (*scheduler.SyncResponse, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if !engine.mayAct(term) {
		return nil, Error.Wrap(scheduler.ErrNotRun.New("the leader of group %s has changed", engine.group.Name()))
	}
	response := &scheduler.SyncResponse{Sequence: request.Sequence, Term: term, LeaseDuration: engine.leaseDuration}
	for _, ended := range request.Ended {
		response.Acknowledged = append(response.Acknowledged, ended.Lease)
	}
	engine.machine.mutex.RLock()
	defer engine.machine.mutex.RUnlock()
	now := time.Now()
	known, ok := engine.machine.workers[request.Worker]
	if !ok {
		known = &worker{}
	}
	for _, lease := range request.Running {
		if i, ok := known.find(lease); !ok || known.tasks[i].Incarnation != request.Incarnation {
			response.Commands = append(response.Commands, scheduler.WorkerCommand{
				Kind: scheduler.CommandStop, Lease: lease, Grace: engine.grace,
			})
		}
	}
	running := sortedLeases(request.Running)
	response.Renewed = make([]scheduler.LeaseNumber, 0, len(running))
	held := engine.heldStarts(known.tasks, running, now)
	for _, task := range known.tasks {
		if task.Incarnation == request.Incarnation {
			_, isHeld := held[task.Lease]
			engine.updateLease(response, request, task, leaseReport{running: isListed(running, task.Lease), held: isHeld}, now)
		}
	}
	return response, nil
}

// sortedLeases returns the leases in ascending order. Workers send them sorted; unsorted leases are sorted in a copy.
func sortedLeases(leases []scheduler.LeaseNumber) []scheduler.LeaseNumber {
	if slices.IsSorted(leases) {
		return leases
	}
	return slices.Sorted(slices.Values(leases))
}

// leaseReport states whether the worker listed an attempt as running, and whether its start command must wait.
type leaseReport struct {
	running, held bool
}

// updateLease renews a lease of the worker and adds the command that is required by its state.
func (engine *Engine) updateLease(
	response *scheduler.SyncResponse, request *scheduler.SyncRequest, task *task, report leaseReport, now time.Time,
) {
	running := report.running
	leaseState, ok := engine.leases[task.Lease]
	if !ok {
		leaseState = engine.renew(task.Lease, now)
	}
	stops := task.State == TaskEvicting || task.State == TaskCancelling
	if stops && leaseState.stopRequestedAt.IsZero() {
		leaseState.stopRequestedAt = now
	}
	// A lease is no longer renewed if its stop has not been confirmed in time.
	if running && !leaseState.expiring && (!stops || now.Sub(leaseState.stopRequestedAt) < engine.victimTimeout) {
		leaseState.deadline = now.Add(engine.leaseDuration + engine.leaseMargin)
		response.Renewed = append(response.Renewed, task.Lease)
	}
	command := scheduler.WorkerCommand{Lease: task.Lease}
	switch {
	case leaseState.expiring || stops:
		command.Kind, command.Grace = scheduler.CommandStop, engine.grace
	case report.held:
		leaseState.deadline = now.Add(engine.leaseDuration + engine.leaseMargin)
		return
	case !running && task.State == TaskStarting:
		if leaseState.startSentAt.IsZero() {
			leaseState.startSentAt = now
		}
		command.Kind, command.Task, command.Attempt = scheduler.CommandStart, task.ID, task.Attempt
		command.Spec, command.Checkpoint = task.spec(), task.Checkpoint
		leaseState.deadline = now.Add(engine.leaseDuration + engine.leaseMargin)
	case !running:
		return
	case leaseState.checkpointRequested:
		command.Kind, leaseState.checkpointRequested = scheduler.CommandCheckpoint, false
	case leaseState.throttled != slices.Contains(request.Throttled, task.Lease):
		command.Kind = scheduler.CommandThrottle
		if !leaseState.throttled {
			command.Kind = scheduler.CommandUnthrottle
		}
	default:
		return
	}
	response.Commands = append(response.Commands, command)
}

// reportedOperations converts the reports of a worker to operations. Reports that have already been recorded are
// skipped. stale is true if the worker has leases of a later incarnation. An attempt that the request does not list is
// not considered lost, because after a change of leader a request from before its start can arrive late. Instead, its
// lease is not renewed and expires.
func (machine *Machine) reportedOperations(
	request *scheduler.SyncRequest, term scheduler.Term,
	crashOutcomes map[scheduler.LeaseNumber]crashBlame,
) (operations []Operation, stale bool) {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	known, ok := machine.workers[request.Worker]
	if !ok {
		return nil, false
	}
	running := sortedLeases(request.Running)
	for _, task := range known.tasks {
		switch {
		case task.Incarnation > request.Incarnation:
			return nil, true
		case task.Incarnation < request.Incarnation:
			crash := crashOutcomes[task.Lease]
			operations = append(operations, Operation{Term: term, End: &End{
				Lease: task.Lease, Outcome: cmp.Or(crash.outcome, scheduler.AttemptLost), SoleCause: crash.soleCause,
			}})
		case task.State == TaskStarting:
			if _, ok := slices.BinarySearch(running, task.Lease); ok {
				operations = append(operations, Operation{Term: term, Started: &Started{Lease: task.Lease}})
			}
		}
	}
	own := func(lease scheduler.LeaseNumber) *task {
		if i, ok := known.find(lease); ok && known.tasks[i].Incarnation == request.Incarnation {
			return known.tasks[i]
		}
		return nil
	}
	for _, checkpoint := range request.Checkpoints {
		if task := own(checkpoint.Lease); task != nil && task.CheckpointNumber < checkpoint.Number {
			operations = append(operations, Operation{Term: term, Checkpoint: &CheckpointSaved{
				Lease: checkpoint.Lease, Number: checkpoint.Number, Name: checkpoint.Name,
			}})
		}
	}
	for _, ended := range request.Ended {
		if own(ended.Lease) != nil {
			operations = append(operations, Operation{Term: term, End: &End{
				Lease: ended.Lease, Outcome: ended.Outcome, Checkpoint: ended.Checkpoint, Message: ended.Message,
			}})
		}
	}
	return operations, false
}
