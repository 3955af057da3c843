package dispatcher

import (
	"bytes"
	"context"
	"slices"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/fxamacker/cbor/v2"
)

// Release starts to move a job to another data centre. It is a wire type. The job's attempts are
// evicted, and once none occupies a worker any more the job counts as moved: from that entry on it
// never runs here again. A lost answer or a time-out never moves a job.
type Release struct {
	Job      scheduler.JobID          `json:"job" cbor:"job"`
	To       scheduler.DataCentreName `json:"to" cbor:"to"`
	Operator string                   `json:"operator" cbor:"operator"`
}

// Accept takes over a job that another data centre has released. It is a wire type. A repeated one
// has no effect.
type Accept struct {
	Record cbor.RawMessage `cbor:"record"`
}

// ConfirmMove lets the old home forget a moved job, once the new home has logged its Accept.
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
			task.enter(TaskEvicting, at, reason)
			machine.changed[task.Worker] = struct{}{}
		}
	}
	machine.settleMove(job)
	return done()
}

// settleMove ends the job's stay once no attempt occupies a worker.
func (machine *Machine) settleMove(job *job) {
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

// accept creates the job as the old home recorded it; its tasks go on with their next attempts.
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
		// A repeated record must not bring back a job that has moved on since.
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
		moved.Groups[i].Nowhere = machine.nowhere(&moved.Groups[i].Spec)
	}
	if err := machine.restoreJob(moved); err != nil {
		return refused(err.Error())
	}
	return Result{Outcome: ResultDone, Job: moved.ID}
}

func (machine *Machine) forget(forget *ConfirmMove, at int64) Result {
	job, ok := machine.jobs[forget.Job]
	if !ok || job.State != JobMoved {
		return unchanged("no moved job has this ID")
	}
	job.Ended = at
	return done()
}

// MovedRecord returns the record of a job that has been released, for Accept in its new home. ok is
// false while the job still occupies workers.
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

// MovedJobs returns the moved jobs whose new home has not confirmed them, in order. After a failure
// the mover goes on with these.
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

// Release logs the start of a job's move. It works on every VM of the group.
func (engine *Engine) Release(ctx context.Context, release Release) error {
	return engine.proposeAccepted(ctx, Operation{Release: &release})
}

// Accept logs a moved job in its new home. It works on every VM of the group; after an error of class
// scheduler.ErrUnknown it is repeated.
func (engine *Engine) Accept(ctx context.Context, record []byte) error {
	return engine.proposeAccepted(ctx, Operation{Accept: &Accept{Record: record}})
}

// ConfirmMove logs in the old home that the new home has accepted the job.
func (engine *Engine) ConfirmMove(ctx context.Context, job scheduler.JobID) error {
	return engine.proposeAccepted(ctx, Operation{ConfirmMove: &ConfirmMove{Job: job}})
}

// proposeAccepted turns a refusal into an error of class scheduler.ErrNotRun.
func (engine *Engine) proposeAccepted(ctx context.Context, operation Operation) error {
	result, err := engine.proposeOne(ctx, operation)
	if err == nil && result.Outcome == ResultRefused {
		return Error.Wrap(scheduler.ErrNotRun.New("%s", result.Reason))
	}
	return err
}
