package dispatcher

import (
	"errors"
	"io"
	"maps"
	"slices"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// snapshotHeader is the first item of a snapshot. The workers and then the jobs follow as separate items, so that
// writing and reading a snapshot requires no second copy of the state in memory.
type snapshotHeader struct {
	Term      scheduler.Term        `cbor:"term"`
	LastLease scheduler.LeaseNumber `cbor:"lastLease"`
	LastJob   uint64                `cbor:"lastJob"`
	Revision  scheduler.Revision    `cbor:"revision"`
	Audit     []AuditRecord         `cbor:"audit"`
	Workers   int                   `cbor:"workers"`
	Jobs      int                   `cbor:"jobs"`
}

// Snapshot writes the complete state in a deterministic order.
func (machine *Machine) Snapshot(w io.Writer) error {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	encoder := encoder.NewEncoder(w)
	header := snapshotHeader{
		Term: machine.term, LastLease: machine.lastLease, LastJob: machine.lastJob, Revision: machine.revision,
		Audit: machine.audit, Workers: len(machine.workers), Jobs: len(machine.jobs),
	}
	if err := encoder.Encode(header); err != nil {
		return Error.Wrap(err)
	}
	for _, name := range slices.Sorted(maps.Keys(machine.workers)) {
		if err := encoder.Encode(machine.workers[name]); err != nil {
			return Error.Wrap(err)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(machine.jobs)) {
		if err := encoder.Encode(machine.jobs[id]); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// Restore replaces the state with that of a snapshot. An empty reader restores the empty state. After an error the
// state is incomplete and the replica must not continue.
func (machine *Machine) Restore(r io.Reader) error {
	machine.mutex.Lock()
	defer machine.mutex.Unlock()
	machine.reset()
	decoder := encoder.NewDecoder(r)
	var header snapshotHeader
	if err := decoder.Decode(&header); errors.Is(err, io.EOF) {
		return nil
	} else if err != nil {
		return Error.New("unreadable snapshot: %w", err)
	}
	machine.term, machine.lastLease, machine.lastJob = header.Term, header.LastLease, header.LastJob
	machine.revision, machine.audit = header.Revision, header.Audit
	for range header.Workers {
		worker := &worker{}
		if err := decoder.Decode(worker); err != nil {
			return Error.New("worker in the snapshot: %w", err)
		}
		machine.workers[worker.Worker.Name] = worker
		machine.changed[worker.Worker.Name] = struct{}{}
	}
	machine.groupWorkers()
	for range header.Jobs {
		job := &job{}
		if err := decoder.Decode(job); err != nil {
			return Error.New("job in the snapshot: %w", err)
		}
		if err := machine.restoreJob(job); err != nil {
			return err
		}
	}
	return nil
}

func (machine *Machine) restoreJob(job *job) error {
	machine.jobs[job.ID] = job
	if job.Key != "" {
		machine.keys[job.Key] = job.ID
	}
	for _, task := range job.Tasks {
		if task == nil || task.Group < 0 || task.Group >= len(job.Groups) {
			return Error.New("job %s in the snapshot has a damaged task", job.ID)
		}
		task.job = job
		if !task.ended() {
			job.open++
		}
		machine.tasks[task.ID] = task
		switch {
		case task.occupies():
			worker, ok := machine.workers[task.Worker]
			if !ok {
				return Error.New("task %s in the snapshot is on the unknown worker %s", task.ID, task.Worker)
			}
			machine.occupy(worker, task)
		case task.State == TaskPending && job.MovingTo == "":
			machine.enqueue(task)
		}
	}
	return nil
}
