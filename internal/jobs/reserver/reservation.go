package reserver

import (
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Reservation keeps a worker for tasks of one step.
type Reservation struct {
	step   packer.StepID
	worker scheduler.WorkerName
	gang   bool
	// priority is that of the step's queue.
	priority int
	// tasks is the number of tasks for which the worker is kept, and amount what each of them reserves.
	tasks  int
	amount scheduler.Resources
	madeAt time.Duration
	// idle is the time for which the reserved capacity has been idle, see WithMaxIdle.
	idle time.Duration
	// waitingSince is when the step began to wait. It does not change when a reservation is rebuilt.
	waitingSince time.Duration
	// start is when the first of the tasks is expected to start; for a gang, when all of its members are. spare is the
	// capacity of the worker that the tasks are expected to leave free from then on.
	start time.Duration
	spare scheduler.Resources
	// initialStart is the start that was expected when the reservation was made.
	initialStart time.Duration
}

// Step returns the step of the tasks.
func (reservation *Reservation) Step() packer.StepID { return reservation.step }

// Worker returns the worker that is kept.
func (reservation *Reservation) Worker() scheduler.WorkerName { return reservation.worker }

// Tasks returns the number of tasks for which the worker is kept.
func (reservation *Reservation) Tasks() int { return reservation.tasks }

// Start returns when the first of the tasks is expected to start.
func (reservation *Reservation) Start() time.Duration { return reservation.start }

// total returns the amount that all reserved tasks request.
func (reservation *Reservation) total() scheduler.Resources {
	count := int64(reservation.tasks)
	return scheduler.Resources{
		MilliCores:   reservation.amount.MilliCores * count,
		MemoryBytes:  reservation.amount.MemoryBytes * count,
		Accelerators: reservation.amount.Accelerators * count,
	}
}

// idleFraction returns the fraction of the reserved CPU or accelerators that is free on the worker, whichever is larger.
// Memory counts only if neither is reserved, because other tasks cannot use it without CPU.
func (reservation *Reservation) idleFraction(worker *packer.Worker) float64 {
	total := reservation.total()
	if total.MilliCores <= 0 && total.Accelerators <= 0 {
		return idleFraction(worker.Free.MemoryBytes, total.MemoryBytes)
	}
	return max(
		idleFraction(worker.Free.MilliCores, total.MilliCores),
		idleFraction(worker.Free.Accelerators, total.Accelerators),
	)
}

// idleFraction returns which fraction of a reserved amount is free. It is zero if nothing is reserved.
func idleFraction(free, reserved int64) float64 {
	if reserved <= 0 {
		return 0
	}
	return max(0, min(1, float64(free)/float64(reserved)))
}

// EventKind is what happened to a reservation.
type EventKind string

// Values of EventKind.
const (
	EventMade EventKind = "made"
	// EventUsed means that a task was assigned to the worker that was kept for it.
	EventUsed   EventKind = "used"
	EventBroken EventKind = "broken"
)

// Reason is why a reservation was broken.
type Reason string

// Values of Reason.
const (
	// ReasonNotWaiting means that fewer tasks of the step wait: they were assigned to other workers, or the job ended.
	ReasonNotWaiting Reason = "notWaiting"
	// ReasonWorkerUnavailable means that the worker accepts no new tasks, for example because it failed or is being
	// evacuated.
	ReasonWorkerUnavailable Reason = "workerUnavailable"
	// ReasonUnsuitable means that the worker may no longer run the step.
	ReasonUnsuitable Reason = "unsuitable"
	// ReasonExpired means that the reservation has held capacity idle for the maximum time.
	ReasonExpired Reason = "expired"
	// ReasonDelayed means that the tasks on the worker are now expected to end later than predicted when the reservation was made.
	// The next reservation may be on the same worker if that is still the earliest.
	ReasonDelayed Reason = "delayed"
	// ReasonIncomplete means that the reservation of another member of the gang was broken.
	ReasonIncomplete Reason = "incomplete"
	// ReasonLimit means that the pool has lost workers and a larger fraction of it than allowed was reserved.
	ReasonLimit Reason = "limit"
)

// Event is a change of a reservation.
type Event struct {
	kind   EventKind
	reason Reason
	step   packer.StepID
	worker scheduler.WorkerName
	amount scheduler.Resources
	age    time.Duration
	waited time.Duration
	start  time.Duration
}

func newEvent(kind EventKind, reservation *Reservation, now time.Duration, reason Reason) Event {
	return Event{
		kind: kind, reason: reason, step: reservation.step, worker: reservation.worker, amount: reservation.amount,
		age: now - reservation.madeAt, waited: now - reservation.waitingSince, start: reservation.start - now,
	}
}

// Kind returns what happened.
func (event Event) Kind() EventKind { return event.kind }

// Reason returns why the reservation was broken. It is empty for other kinds.
func (event Event) Reason() Reason { return event.reason }

// Step returns the step of the reserved tasks.
func (event Event) Step() packer.StepID { return event.step }

// Worker returns the worker of the reservation.
func (event Event) Worker() scheduler.WorkerName { return event.worker }

// Amount returns what each of the reserved tasks requests.
func (event Event) Amount() scheduler.Resources { return event.amount }

// Age returns how long the reservation has existed.
func (event Event) Age() time.Duration { return event.age }

// Waited returns how long the step has waited.
func (event Event) Waited() time.Duration { return event.waited }

// UntilStart returns the time until the expected start.
func (event Event) UntilStart() time.Duration { return event.start }
