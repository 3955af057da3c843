package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Sync processes one exchange of a worker. The answer is only for the VM that holds the leader lease
// to give; elsewhere, and for requests that a later one has overtaken, the error has class
// scheduler.ErrNotRun. After any error the worker repeats its reports in the next exchange.
func (engine *Engine) Sync(ctx context.Context, request *scheduler.SyncRequest) (*scheduler.SyncResponse, error) {
	term, err := engine.hear(request)
	if err != nil {
		return nil, err
	}
	operations, stale := engine.machine.reported(request, term)
	if stale {
		return nil, Error.Wrap(scheduler.ErrNotRun.New("a later life of worker %s has leases", request.Worker))
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
		if ended := recorded(operations, results); len(ended) > 0 {
			engine.ended(request.Worker, ended)
		}
	}
	if len(request.Usage) > 0 {
		engine.usage(request.Worker, request.Usage)
	}
	return engine.answer(request, term)
}

// recorded returns the ends of attempts that the operations have recorded.
func recorded(operations []Operation, results []Result) []scheduler.EndedAttempt {
	var ended []scheduler.EndedAttempt
	for i, operation := range operations {
		if end := operation.End; end != nil && results[i].Outcome == ResultDone {
			ended = append(ended, scheduler.EndedAttempt{Lease: end.Lease, Outcome: end.Outcome, Message: end.Message})
		}
	}
	return ended
}

// hear refuses requests that came late or to the wrong VM.
func (engine *Engine) hear(request *scheduler.SyncRequest) (scheduler.Term, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if !engine.acts(engine.term) {
		return 0, Error.Wrap(scheduler.ErrNotRun.New("this VM does not lead group %s", engine.group.Name()))
	}
	known, ok := engine.views[request.Worker]
	if !ok && !engine.machine.hasWorker(request.Worker) {
		// An unknown worker has no leases; it is only told to stop what it runs.
		return engine.term, nil
	}
	if !ok {
		known = &view{}
		engine.views[request.Worker] = known
	}
	switch {
	case request.Incarnation < known.incarnation:
		return 0, Error.Wrap(scheduler.ErrNotRun.New("a later life of worker %s has synced", request.Worker))
	case request.Incarnation == known.incarnation && request.Sequence <= known.sequence:
		return 0, Error.Wrap(scheduler.ErrNotRun.New("exchange %d of worker %s is outdated", request.Sequence, request.Worker))
	}
	known.incarnation, known.sequence, known.heard = request.Incarnation, request.Sequence, time.Now()
	return engine.term, nil
}

// answer renews the leases that the worker reported and repeats commands until their effect has been
// reported. The leader's deadline counts from here, later than the worker's, which counts from when
// it sent the request.
func (engine *Engine) answer(request *scheduler.SyncRequest, term scheduler.Term) (*scheduler.SyncResponse, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if !engine.acts(term) {
		return nil, Error.Wrap(scheduler.ErrNotRun.New("the leader of group %s has changed", engine.group.Name()))
	}
	answer := &scheduler.SyncResponse{Sequence: request.Sequence, Term: term, LeaseDuration: engine.leaseDuration}
	for _, ended := range request.Ended {
		answer.Acknowledged = append(answer.Acknowledged, ended.Lease)
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
			answer.Commands = append(answer.Commands, scheduler.WorkerCommand{Kind: scheduler.CommandStop, Lease: lease, Grace: engine.grace})
		}
	}
	running := ascending(request.Running)
	answer.Renewed = make([]scheduler.LeaseNumber, 0, len(running))
	for _, task := range known.tasks {
		if task.Incarnation == request.Incarnation {
			_, running := slices.BinarySearch(running, task.Lease)
			engine.extend(answer, request, task, running, now)
		}
	}
	return answer, nil
}

// ascending returns the leases in order. Workers list them so; others are sorted in a copy.
func ascending(leases []scheduler.LeaseNumber) []scheduler.LeaseNumber {
	if slices.IsSorted(leases) {
		return leases
	}
	return slices.Sorted(slices.Values(leases))
}

// extend renews a lease of the worker and adds the command that its state calls for. running tells
// whether the worker has listed the attempt.
func (engine *Engine) extend(
	answer *scheduler.SyncResponse, request *scheduler.SyncRequest, task *task, running bool, now time.Time,
) {
	view, ok := engine.leases[task.Lease]
	if !ok {
		view = engine.renew(task.Lease, now)
	}
	stops := task.State == TaskEvicting || task.State == TaskCancelling
	if stops && view.stopping.IsZero() {
		view.stopping = now
	}
	// A lease whose stop has not been confirmed in time is left to expire.
	if running && !view.expiring && (!stops || now.Sub(view.stopping) < engine.victimTimeout) {
		view.deadline = now.Add(engine.leaseDuration + engine.leaseMargin)
		answer.Renewed = append(answer.Renewed, task.Lease)
	}
	command := scheduler.WorkerCommand{Lease: task.Lease}
	switch {
	case view.expiring || stops:
		command.Kind, command.Grace = scheduler.CommandStop, engine.grace
	case !running && task.State == TaskStarting:
		command.Kind, command.Task, command.Attempt = scheduler.CommandStart, task.ID, task.Attempt
		command.Spec, command.Checkpoint = task.spec(), task.Checkpoint
		view.deadline = now.Add(engine.leaseDuration + engine.leaseMargin)
	case !running:
		return
	case view.saving:
		command.Kind, view.saving = scheduler.CommandCheckpoint, false
	case view.throttled != slices.Contains(request.Throttled, task.Lease):
		command.Kind = scheduler.CommandThrottle
		if !view.throttled {
			command.Kind = scheduler.CommandUnthrottle
		}
	default:
		return
	}
	answer.Commands = append(answer.Commands, command)
}

// reported turns a worker's reports into operations. Reports that are recorded already make none.
// stale is true when the worker has leases of a later life. An attempt that the request does not
// mention is not taken for lost: after a change of the leader a request from before its start can
// come late. Its lease is not renewed and expires.
func (machine *Machine) reported(request *scheduler.SyncRequest, term scheduler.Term) (operations []Operation, stale bool) {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	known, ok := machine.workers[request.Worker]
	if !ok {
		return nil, false
	}
	running := ascending(request.Running)
	for _, task := range known.tasks {
		switch {
		case task.Incarnation > request.Incarnation:
			return nil, true
		case task.Incarnation < request.Incarnation:
			operations = append(operations, Operation{Term: term, End: &End{Lease: task.Lease, Outcome: scheduler.AttemptLost}})
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
	for _, saved := range request.Checkpoints {
		if task := own(saved.Lease); task != nil && task.SavedNumber < saved.Number {
			operations = append(operations, Operation{Term: term, Checkpoint: &CheckpointSaved{
				Lease: saved.Lease, Number: saved.Number, Name: saved.Name,
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
