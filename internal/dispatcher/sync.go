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
func (engine *Engine) Sync(ctx context.Context, request *scheduler.SyncRequest) (*scheduler.SyncAnswer, error) {
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
	}
	if len(request.Usage) > 0 {
		engine.usage(request.Worker, request.Usage)
	}
	return engine.answer(request, term)
}

// hear refuses requests that came late or to the wrong VM.
func (engine *Engine) hear(request *scheduler.SyncRequest) (scheduler.Term, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if !engine.acts(engine.term) {
		return 0, Error.Wrap(scheduler.ErrNotRun.New("this VM does not lead group %s", engine.group.Name()))
	}
	known, ok := engine.views[request.Worker]
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
func (engine *Engine) answer(request *scheduler.SyncRequest, term scheduler.Term) (*scheduler.SyncAnswer, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if !engine.acts(term) {
		return nil, Error.Wrap(scheduler.ErrNotRun.New("the leader of group %s has changed", engine.group.Name()))
	}
	answer := &scheduler.SyncAnswer{Sequence: request.Sequence, Term: term, LeaseDuration: engine.leaseDuration}
	for _, ended := range request.Ended {
		answer.Acknowledged = append(answer.Acknowledged, ended.Lease)
	}
	engine.machine.mutex.RLock()
	defer engine.machine.mutex.RUnlock()
	now := time.Now()
	running := make(map[scheduler.LeaseNumber]bool, len(request.Running))
	for _, lease := range request.Running {
		running[lease] = true
		task, ok := engine.machine.leases[lease]
		if !ok || task.Worker != request.Worker || task.Incarnation != request.Incarnation {
			answer.Commands = append(answer.Commands, scheduler.WorkerCommand{Kind: scheduler.CommandStop, Lease: lease, Grace: engine.grace})
			continue
		}
		if engine.renews(lease, task, now) {
			answer.Renewed = append(answer.Renewed, lease)
			engine.deadlines[lease] = now.Add(engine.leaseDuration + engine.leaseMargin)
		}
	}
	if known, ok := engine.machine.workers[request.Worker]; ok {
		for _, lease := range known.leases() {
			engine.command(answer, request, lease, running[lease], now)
		}
	}
	return answer, nil
}

// leases returns the worker's live leases in order. They are few, so sorting them costs little.
func (worker *worker) leases() []scheduler.LeaseNumber {
	leases := make([]scheduler.LeaseNumber, 0, len(worker.tasks))
	for _, task := range worker.tasks {
		leases = append(leases, task.Lease)
	}
	slices.Sort(leases)
	return leases
}

// renews reports whether the lease may be renewed. A lease whose stop has not been confirmed in time
// is left to expire.
func (engine *Engine) renews(lease scheduler.LeaseNumber, task *task, now time.Time) bool {
	if _, ok := engine.expiring[lease]; ok {
		return false
	}
	if task.State != TaskEvicting && task.State != TaskCancelling {
		return true
	}
	since, ok := engine.stopping[lease]
	if !ok {
		engine.stopping[lease] = now
		return true
	}
	return now.Sub(since) < engine.victimTimeout
}

// command adds what the worker must do about one of its leases.
func (engine *Engine) command(
	answer *scheduler.SyncAnswer, request *scheduler.SyncRequest,
	lease scheduler.LeaseNumber, running bool, now time.Time,
) {
	task := engine.machine.leases[lease]
	if task.Incarnation != request.Incarnation {
		return
	}
	_, expiring := engine.expiring[lease]
	add := func(command scheduler.WorkerCommand) {
		command.Lease = lease
		answer.Commands = append(answer.Commands, command)
	}
	switch {
	case expiring || task.State == TaskEvicting || task.State == TaskCancelling:
		add(scheduler.WorkerCommand{Kind: scheduler.CommandStop, Grace: engine.grace})
	case !running && task.State == TaskStarting:
		add(scheduler.WorkerCommand{
			Kind: scheduler.CommandStart, Task: task.ID, Attempt: task.Attempt,
			Spec: task.spec(), Checkpoint: task.Checkpoint,
		})
		engine.deadlines[lease] = now.Add(engine.leaseDuration + engine.leaseMargin)
	case running:
		throttled := slices.Contains(request.Throttled, lease)
		if engine.throttled[lease] && !throttled {
			add(scheduler.WorkerCommand{Kind: scheduler.CommandThrottle})
		} else if !engine.throttled[lease] && throttled {
			add(scheduler.WorkerCommand{Kind: scheduler.CommandUnthrottle})
		}
		if _, ok := engine.saving[lease]; ok {
			add(scheduler.WorkerCommand{Kind: scheduler.CommandCheckpoint})
			delete(engine.saving, lease)
		}
	}
}

// reported turns a worker's reports into operations. Reports that are recorded already make none.
// stale is true when the worker has leases of a later life. An attempt that the request does not
// mention is not taken for lost: after a change of the leader a request from before its start can
// come late. Its lease is not renewed and expires.
func (machine *Machine) reported(request *scheduler.SyncRequest, term scheduler.Term) (operations []Operation, stale bool) {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	own := func(lease scheduler.LeaseNumber) *task {
		task := machine.leases[lease]
		if task == nil || task.Worker != request.Worker || task.Incarnation != request.Incarnation {
			return nil
		}
		return task
	}
	for _, lease := range request.Running {
		if task := own(lease); task != nil && task.State == TaskStarting {
			operations = append(operations, Operation{Term: term, Started: &Started{Lease: lease}})
		}
	}
	for _, saved := range request.Checkpoints {
		if task := own(saved.Lease); task != nil && task.SavedNumber < saved.Number {
			operations = append(operations, Operation{Term: term, Checkpoint: &Saved{
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
	known, ok := machine.workers[request.Worker]
	if !ok {
		return operations, false
	}
	for _, lease := range known.leases() {
		switch incarnation := machine.leases[lease].Incarnation; {
		case incarnation > request.Incarnation:
			return nil, true
		case incarnation < request.Incarnation:
			operations = append(operations, Operation{Term: term, End: &End{Lease: lease, Outcome: scheduler.AttemptLost}})
		}
	}
	return operations, false
}
