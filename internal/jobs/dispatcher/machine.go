package dispatcher

import (
	"fmt"
	"strings"
	"sync"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Machine is the state machine of the jobs, tasks and leases of one data centre. Apply and Restore are called by the
// group. All other methods are safe for concurrent use.
type Machine struct {
	group        scheduler.GroupName
	auditHandler func(AuditRecord)

	mutex     sync.RWMutex
	term      scheduler.Term
	lastLease scheduler.LeaseNumber
	lastJob   uint64
	revision  scheduler.Revision
	jobs      map[scheduler.JobID]*job
	keys      map[string]scheduler.JobID
	workers   map[scheduler.WorkerName]*worker
	audit     []AuditRecord

	// The fields below are derived from the state above and are not part of snapshots.
	tasks   map[scheduler.TaskID]*task
	leases  map[scheduler.LeaseNumber]*task
	pending map[scheduler.TaskID]*task
	// highPriority is the part of pending that each step of the engine considers. newlyPending lists the other
	// tasks that have become pending since the last step.
	highPriority map[scheduler.TaskID]*task
	newlyPending []scheduler.TaskID
	classes      []workerClass
	// changed holds the workers whose changes the engine has not passed to the placer yet.
	changed map[scheduler.WorkerName]struct{}
}

var _ scheduler.StateMachine = (*Machine)(nil)

// MachineOption configures a Machine.
type MachineOption func(*Machine)

// WithAuditor sets a function that is called with each audit record while its log entry is applied, so that no record
// is lost if a burst exceeds the number of retained records. It must not block. After a restart it is called again
// with the records of replayed entries, which it can recognise by their index.
func WithAuditor(auditHandler func(AuditRecord)) MachineOption {
	return func(machine *Machine) { machine.auditHandler = auditHandler }
}

// NewMachine returns an empty state machine for the group of a data centre.
func NewMachine(group scheduler.GroupName, options ...MachineOption) *Machine {
	machine := &Machine{group: group, auditHandler: func(AuditRecord) {}}
	for _, option := range options {
		option(machine)
	}
	machine.reset()
	return machine
}

func (machine *Machine) reset() {
	machine.term, machine.lastLease, machine.lastJob, machine.revision = 0, 0, 0, 0
	machine.jobs = map[scheduler.JobID]*job{}
	machine.keys = map[string]scheduler.JobID{}
	machine.workers = map[scheduler.WorkerName]*worker{}
	machine.audit = nil
	machine.tasks = map[scheduler.TaskID]*task{}
	machine.leases = map[scheduler.LeaseNumber]*task{}
	machine.pending = map[scheduler.TaskID]*task{}
	machine.highPriority = map[scheduler.TaskID]*task{}
	machine.newlyPending = nil
	machine.classes = nil
	machine.changed = map[scheduler.WorkerName]struct{}{}
}

// Apply executes an encoded Command and returns the encoded list of its Results. The list is empty if the command
// cannot be decoded.
func (machine *Machine) Apply(index scheduler.Index, command []byte) []byte {
	var batch Command
	results := []Result{}
	if err := encoder.Unmarshal(command, &batch); err == nil {
		machine.mutex.Lock()
		for i := range batch.Operations {
			operation := &batch.Operations[i]
			result := machine.apply(operation, batch.AtUnixMilli)
			machine.record(index, batch.AtUnixMilli, operation, result)
			results = append(results, result)
		}
		machine.mutex.Unlock()
	}
	encoded, err := encoder.Marshal(results)
	if err != nil {
		panic(err) // Unreachable: the encoder supports all fields of Result.
	}
	return encoded
}

func (machine *Machine) apply(operation *Operation, at int64) Result {
	if operation.TakeOver != nil {
		return machine.takeOver(operation.Term)
	}
	if operation.Term != 0 && operation.Term != machine.term {
		return refused(fmt.Sprintf("decided in term %d, term %d has taken over", operation.Term, machine.term))
	}
	switch {
	case operation.Submit != nil:
		return machine.submit(operation.Submit, at)
	case operation.Cancel != nil:
		return machine.cancel(operation.Cancel, at)
	case operation.Release != nil:
		return machine.release(operation.Release, at)
	case operation.Accept != nil:
		return machine.accept(operation.Accept)
	case operation.ConfirmMove != nil:
		return machine.confirmMove(operation.ConfirmMove, at)
	case operation.Drain != nil:
		return machine.drain(operation.Drain)
	case operation.Inventory != nil:
		return machine.applyInventory(operation.Inventory)
	case operation.WaitReason != nil:
		return machine.waitReason(operation.WaitReason)
	case operation.Purge != nil:
		return machine.purge(operation.Purge)
	case operation.Term == 0:
		return refused("only a leader's engine decides on attempts")
	case operation.Assign != nil:
		return machine.assign(operation.Assign, at)
	case operation.Started != nil:
		return machine.started(operation.Started, at)
	case operation.Checkpoint != nil:
		return machine.checkpointSaved(operation.Checkpoint, at)
	case operation.Evict != nil:
		return machine.evict(operation.Evict, at)
	case operation.End != nil:
		return machine.end(operation.End, at)
	}
	return refused("unknown operation")
}

func (machine *Machine) takeOver(term scheduler.Term) Result {
	if term <= machine.term {
		return refused(fmt.Sprintf("term %d has taken over", machine.term))
	}
	machine.term = term
	return done()
}

// record appends an audit record for each decision of an operator or a leader. Starts, checkpoints and ends are only
// recorded as events of their tasks, because at 400 starts per second they would displace all other audit records.
func (machine *Machine) record(index scheduler.Index, at int64, operation *Operation, result Result) {
	record := AuditRecord{Index: index, AtUnixMilli: at, Outcome: result.Outcome, Reason: result.Reason}
	switch {
	case operation.TakeOver != nil:
		record.Action, record.Actor = "takeOver", string(operation.TakeOver.VM)
		record.Subject = fmt.Sprintf("term %d", operation.Term)
	case operation.Submit != nil:
		record.Action, record.Subject, record.Actor = "submit", string(result.Job), string(operation.Submit.Team)
	case operation.Cancel != nil:
		record.Action, record.Actor = "cancel", operation.Cancel.Operator
		record.Subject = describeJobs(operation.Cancel.Jobs)
		record.Reason = strings.TrimSpace(operation.Cancel.Reason + " " + result.Reason)
	case operation.Release != nil:
		record.Action, record.Subject, record.Actor = "release", string(operation.Release.Job), operation.Release.Operator
	case operation.Accept != nil:
		record.Action, record.Subject = "accept", string(result.Job)
	case operation.Drain != nil:
		record.Action, record.Subject, record.Actor = "drain", string(operation.Drain.Worker), operation.Drain.Operator
		if operation.Drain.Off {
			record.Action = "undrain"
		}
	case operation.Evict != nil && result.Outcome != ResultUnchanged:
		record.Action, record.Subject = "evict", string(operation.Evict.Task)
		if result.Outcome == ResultDone {
			record.Reason = operation.Evict.Reason
		}
	case operation.Assign != nil && result.Outcome == ResultRefused:
		record.Action, record.Subject = "assign", string(operation.Assign.Task)
	case operation.Inventory != nil:
		record.Action, record.Subject = "inventory", fmt.Sprintf("revision %d", operation.Inventory.Revision)
	default:
		return
	}
	machine.auditHandler(record)
	machine.audit = append(machine.audit, record)
	machine.audit = machine.audit[max(0, len(machine.audit)-maxAuditRecords):]
}

// describeJobs returns the IDs of up to 10 jobs, or the first ID and the number of the other jobs.
func describeJobs(jobs []scheduler.JobID) string {
	if len(jobs) > 10 {
		return fmt.Sprintf("%s and %d more jobs", jobs[0], len(jobs)-1)
	}
	var names []string
	for _, id := range jobs {
		names = append(names, string(id))
	}
	return strings.Join(names, " ")
}

// AuditRecords returns the retained records of the log entries after index, oldest first.
func (machine *Machine) AuditRecords(after scheduler.Index) []AuditRecord {
	machine.mutex.RLock()
	defer machine.mutex.RUnlock()
	for i, record := range machine.audit {
		if record.Index > after {
			return append([]AuditRecord(nil), machine.audit[i:]...)
		}
	}
	return nil
}
