package dispatcher

import (
	"bytes"
	"context"
	"slices"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/fxamacker/cbor/v2"
)

// Release starts moving a job to another data centre. It is a wire type. The attempts of the job are evicted. Once
// none of them occupies a worker, the job is in state JobMoved and does not run here any more. A lost response or a
// time-out never moves a job.
type Release struct {
	Job      scheduler.JobID          `json:"job" cbor:"job"`
	To       scheduler.DataCentreName `json:"to" cbor:"to"`
	Operator string                   `json:"operator" cbor:"operator"`
}

// Accept adopts a job that another data centre has released to this one. It is a wire type. Repeating it has no
// effect.
type Accept struct {
	Record cbor.RawMessage `cbor:"record"`
}

// ConfirmMove allows the source data centre to purge a moved job after the destination has applied its Accept.
type ConfirmMove struct {
	Job scheduler.JobID `cbor:"job"`
}

func (machine *Machine) release(release *Release, at int64) Result {
	job, ok := machine.jobs[release.Job]
	switch {
	case !ok || job.State != JobActive:
		return refused("the job is not active here")
	case release.To == "" || release.To == scheduler.DataCentreName(machine.group):
		return refused("a job moves to another data centre")
	case job.MovingTo == release.To:
		return unchanged("the job is moving already")
	case job.MovingTo != "":
		return refused("the job is moving to " + string(job.MovingTo))
	}
	job.MovingTo = release.To
	job.Moves++
	reason := "moves to " + string(release.To) + " for " + release.Operator
	job.Reason = reason
	for _, task := range job.Tasks {
		machine.dequeue(task)
		if task.State == TaskStarting || task.State == TaskRunning {
			task.Evictions++
			task.transition(TaskEvicting, at, reason)
			machine.changed[task.Worker] = struct{}{}
		}
	}
	machine.finishMove(job)
	return done()
}

// finishMove sets a released job to JobMoved if none of its attempts occupies a worker any more.
func (machine *Machine) finishMove(job *job) {
	if job.MovingTo == "" || job.State != JobActive || job.open == 0 {
		return
	}
	for _, task := range job.Tasks {
		if task.occupies() {
			return
		}
	}
	job.State = JobMoved
}

// accept creates the job from the record of the source data centre. Its tasks continue with their next attempts.
func (machine *Machine) accept(accept *Accept) Result {
	moved := &job{}
	if err := encoder.Unmarshal(accept.Record, moved); err != nil {
		return refused("unreadable record: " + err.Error())
	}
	if moved.State != JobMoved || moved.MovingTo != scheduler.DataCentreName(machine.group) {
		return refused("the record is not of a job that was released to this data centre")
	}
	if known, ok := machine.jobs[moved.ID]; ok {
		if !bytes.Equal(known.Digest, moved.Digest) {
			return refused("another job has this ID")
		}
		// A repeated record must not bring back a job that has been moved again in the meantime.
		if known.State != JobMoved || known.Moves >= moved.Moves {
			return unchanged("accepted before")
		}
	}
	for _, task := range moved.Tasks {
		if task == nil || task.occupies() || task.Group < 0 || task.Group >= len(moved.Groups) {
			return refused("the record has a damaged task")
		}
	}
	moved.State, moved.MovingTo, moved.Reason, moved.Ended = JobActive, "", "", 0
	for i := range moved.Groups {
		moved.Groups[i].Unplaceable = machine.unplaceableReason(&moved.Groups[i].Spec)
	}
	if err := machine.restoreJob(moved); err != nil {
		return refused(err.Error())
	}
	return Result{Outcome: ResultDone, Job: moved.ID}
}

func (machine *Machine) confirmMove(confirmMove *ConfirmMove, at int64) Result {
	job, ok := machine.jobs[confirmMove.Job]
	if !ok || job.State != JobMoved {
		return unchanged("no moved job has this ID")
	}
	job.Ended = at
	return done()
}

// MovedRecord returns the record of a moved job for Accept at the destination. ok is false while attempts of the job
// still occupy workers.
func (machine *Machine) MovedRecord(id scheduler.JobID) (record []byte, to scheduler.DataCentreName, ok bool) {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	job, known := machine.jobs[id]
	if !known || job.State != JobMoved {
		return nil, "", false
	}
	record, err := encoder.Marshal(job)
	return record, job.MovingTo, err == nil
}

// MovedJobs returns, in order, the moved jobs for which ConfirmMove has not been applied. MoveJobs delivers them
// again after a failure.
func (machine *Machine) MovedJobs() []scheduler.JobID {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	var moved []scheduler.JobID
	for id, job := range machine.jobs {
		if job.State == JobMoved && job.Ended == 0 {
			moved = append(moved, id)
		}
	}
	slices.Sort(moved)
	return moved
}

// Release proposes the release of a job. It may be called on every VM of the group.
func (engine *Engine) Release(ctx context.Context, release Release) error {
	return engine.proposeOrError(ctx, Operation{Release: &release})
}

// Accept proposes the acceptance of a moved job at the destination. It may be called on every VM of the group. After
// an error of class scheduler.ErrOutcomeUnknown the caller must repeat it.
func (engine *Engine) Accept(ctx context.Context, record []byte) error {
	return engine.proposeOrError(ctx, Operation{Accept: &Accept{Record: record}})
}

// ConfirmMove proposes at the source that the destination has accepted the job.
func (engine *Engine) ConfirmMove(ctx context.Context, job scheduler.JobID) error {
	return engine.proposeOrError(ctx, Operation{ConfirmMove: &ConfirmMove{Job: job}})
}

// proposeOrError proposes an operation and returns an error of class scheduler.ErrNotRun if it is refused.
func (engine *Engine) proposeOrError(ctx context.Context, operation Operation) error {
	result, err := engine.proposeOne(ctx, operation)
	if err == nil && result.Outcome == ResultRefused {
		return Error.Wrap(scheduler.ErrNotRun.New("%s", result.Reason))
	}
	return err
}
