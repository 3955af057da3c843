package overseer

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/admitter"
	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/internal/jobs/packer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// PlacementExplanation tells what the domain would do with a job that is submitted now. It is a wire type.
type PlacementExplanation struct {
	// Term is the term of the leader that answered, and At its wall-clock time.
	Term scheduler.Term `json:"term" cbor:"1,keyasint"`
	At   time.Time      `json:"at" cbor:"2,keyasint"`
	// LeadingFor is how long the leader has been leading. Soon after it has taken over, it does not know all workers.
	LeadingFor time.Duration       `json:"leadingFor" cbor:"3,keyasint"`
	Queue      scheduler.QueueName `json:"queue" cbor:"4,keyasint"`
	// Admitted is false if the job would be rejected, for Reason, with the advice to retry after RetryAfter.
	Admitted   bool          `json:"admitted" cbor:"5,keyasint"`
	Reason     string        `json:"reason,omitempty" cbor:"6,keyasint,omitempty"`
	RetryAfter time.Duration `json:"retryAfter,omitempty" cbor:"7,keyasint,omitempty"`
	// Prospect is whether the job can still meet its objective if it starts now.
	Prospect packer.Prospect `json:"prospect" cbor:"8,keyasint"`
	// TasksAhead is the number of waiting tasks of the pool that are more urgent.
	TasksAhead int `json:"tasksAhead" cbor:"9,keyasint"`
	// Unavailable counts the workers of the pool that take no new work, by reason.
	Unavailable []WorkerCount `json:"unavailable,omitempty" cbor:"10,keyasint,omitempty"`
	// OldestHeartbeat is the age of the oldest heartbeat among the workers that take new work.
	OldestHeartbeat time.Duration     `json:"oldestHeartbeat" cbor:"11,keyasint"`
	Steps           []StepExplanation `json:"steps" cbor:"12,keyasint"`
	// Suspects holds waiting tasks of the pool under which workers have crashed.
	Suspects []SuspectExplanation `json:"suspects,omitempty" cbor:"13,keyasint,omitempty"`
}

// StepExplanation tells where the tasks of a step would go. It is a wire type.
type StepExplanation struct {
	Step  int `json:"step" cbor:"1,keyasint"`
	Tasks int `json:"tasks" cbor:"2,keyasint"`
	// WaitsFor holds the steps that have to finish first. If there are any, the other fields are not set.
	WaitsFor []int `json:"waitsFor,omitempty" cbor:"3,keyasint,omitempty"`
	// Placed is the number of tasks that would be placed at once, and Workers the workers that would run them.
	Placed  int                    `json:"placed" cbor:"4,keyasint"`
	Workers []scheduler.WorkerName `json:"workers,omitempty" cbor:"5,keyasint,omitempty"`
	// Accepting is the number of workers that accept a task once the more urgent tasks have been placed. Excluded counts
	// the others by reason.
	Accepting int           `json:"accepting" cbor:"6,keyasint"`
	Excluded  []WorkerCount `json:"excluded,omitempty" cbor:"7,keyasint,omitempty"`
	// RunTime is the predicted median of a task's run time.
	RunTime time.Duration `json:"runTime" cbor:"8,keyasint"`
	// NeedsApproval is true if the approval service decides on the workers of the step. The explanation assumes that it
	// approves all of them.
	NeedsApproval bool `json:"needsApproval,omitempty" cbor:"9,keyasint,omitempty"`
}

// WorkerCount is the number of workers to which a reason applies: an UnavailableReason or a packer.Exclusion. It is a
// wire type.
type WorkerCount struct {
	_       struct{} `cbor:",toarray"`
	Reason  string   `json:"reason"`
	Workers int      `json:"workers"`
}

// workerCounts returns counts in descending order.
func workerCounts[Reason ~string](counts map[Reason]int) []WorkerCount {
	var list []WorkerCount
	for reason, workers := range counts {
		list = append(list, WorkerCount{Reason: string(reason), Workers: workers})
	}
	slices.SortFunc(list, func(a, b WorkerCount) int {
		return cmp.Or(cmp.Compare(b.Workers, a.Workers), cmp.Compare(a.Reason, b.Reason))
	})
	return list
}

// UnavailableReason is why a worker takes no new work.
type UnavailableReason string

// Values of UnavailableReason.
const (
	UnavailableDraining    UnavailableReason = "draining"
	UnavailableMaintenance UnavailableReason = "maintenance"
	// UnavailableEvacuated means that the worker's data centre is evacuated.
	UnavailableEvacuated   UnavailableReason = "evacuated"
	UnavailableQuarantined UnavailableReason = "quarantined"
	// UnavailableUnsynced means that the worker has not confirmed its attempts to the new leader yet.
	UnavailableUnsynced UnavailableReason = "unsynced"
	// UnavailableBackingOff means that the worker has just refused an order.
	UnavailableBackingOff UnavailableReason = "backingOff"
	// UnavailableSilent means that the worker does not respond.
	UnavailableSilent UnavailableReason = "silent"
	// UnavailableFenced means that the worker has seen a higher fencing token than that of this leadership.
	UnavailableFenced UnavailableReason = "fenced"
	// UnavailableOutdated means that the worker responds, but its capacity may have changed since its last heartbeat.
	UnavailableOutdated UnavailableReason = "capacityOutdated"
	// UnavailableUnknownAttempts means that the worker runs attempts that are not in the log, until they have been stopped.
	UnavailableUnknownAttempts UnavailableReason = "unknownAttempts"
)

// explainedQuantile is the quantile of the run time that an explanation states.
const explainedQuantile = 0.5

// ExplainPlacement returns where the tasks of a job would go if it were submitted now. It takes the decisions of a
// planning cycle on a copy of the workers and changes nothing; starved steps and new reservations are not considered. It
// returns an error of class ErrNotRun if this VM is not the leader.
func (overseer *Overseer) ExplainPlacement(
	queue *scheduler.Queue, workflow *scheduler.Workflow,
) (PlacementExplanation, error) {
	leadership, err := overseer.activeLeadership()
	if err != nil {
		return PlacementExplanation{}, err
	}
	now := time.Now()
	explanation := PlacementExplanation{
		Term: leadership.term, At: now, LeadingFor: leadership.now() - leadership.startedAt, Queue: queue.Name,
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	leadership.explainAdmission(&explanation, queue, workflow)
	leadership.explainWorkers(&explanation, queue.Pool, now)
	overseer.keeper.View(func(state *jobkeeper.State) {
		leadership.explainSteps(&explanation, state, queue, workflow, now)
		explanation.Suspects = leadership.explainSuspects(state, queue.Pool)
	})
	return explanation, nil
}

func (leadership *leadership) explainAdmission(
	explanation *PlacementExplanation, queue *scheduler.Queue, workflow *scheduler.Workflow,
) {
	decision := admitter.Admitted()
	if poolAdmitter := leadership.admitters[queue.Pool]; poolAdmitter != nil {
		decision = poolAdmitter.Admit(workflow)
	}
	backlogAdmitter := leadership.backlogAdmitters[queue.Pool]
	if decision.Admitted() && leadership.overseer.forecastAdmission && backlogAdmitter != nil {
		decision = backlogAdmitter.Preview(leadership.now(), admitter.Submission{
			Queue: queue, Workflow: workflow, FitsNow: func() bool {
				return leadership.packedWorkersOf(queue.Pool).accept(leadership.firstGroups(queue, workflow))
			},
		})
	}
	explanation.Admitted, explanation.Reason, explanation.RetryAfter = decision.Admitted(), decision.Reason(),
		decision.RetryAfter()
}

func (leadership *leadership) explainWorkers(
	explanation *PlacementExplanation, pool scheduler.PoolName, wallTime time.Time,
) {
	unavailable := map[UnavailableReason]int{}
	now, heartbeatTimeout := leadership.now(), leadership.heartbeatTimeout()
	for _, instance := range leadership.instances {
		if !instance.hasHeartbeat || instance.heartbeat.Pool != pool {
			continue
		}
		if reason := leadership.unavailableReason(instance, now, heartbeatTimeout, wallTime); reason != "" {
			unavailable[reason]++
			continue
		}
		explanation.OldestHeartbeat = max(explanation.OldestHeartbeat, now-instance.lastHeartbeat)
	}
	explanation.Unavailable = workerCounts(unavailable)
}

// unavailableReason returns why no tasks may be placed on a worker, or an empty string if they may. The mutex must be
// held.
func (leadership *leadership) unavailableReason(
	instance *worker, now, heartbeatTimeout time.Duration, wallTime time.Time,
) UnavailableReason {
	switch {
	case instance.heartbeat.Phase == scheduler.WorkerDraining:
		return UnavailableDraining
	case leadership.isInMaintenance(instance):
		return UnavailableMaintenance
	case leadership.isInEvacuatedDataCentre(instance):
		return UnavailableEvacuated
	case leadership.failureTracker.isQuarantined(instance.name, wallTime):
		return UnavailableQuarantined
	case instance.fenced:
		return UnavailableFenced
	case !instance.synced:
		return UnavailableUnsynced
	case now < instance.backoffUntil:
		return UnavailableBackingOff
	case !instance.acceptsWork(now, heartbeatTimeout):
		return UnavailableSilent
	case leadership.isCapacityOutdated(instance, now):
		return UnavailableOutdated
	case leadership.hasUnknownLoad(instance):
		return UnavailableUnknownAttempts
	}
	return ""
}

// explainSteps places the more urgent waiting tasks and then those of the job, in one decision as a planning cycle does.
// The reasons are determined on workers on which only the more urgent tasks are placed.
func (leadership *leadership) explainSteps(
	explanation *PlacementExplanation, state *jobkeeper.State, queue *scheduler.Queue, workflow *scheduler.Workflow,
	now time.Time,
) {
	urgency := urgencyOfNewJob(queue, workflow, now)
	explanation.Prospect = urgency.Prospect
	ahead := leadership.groupsAhead(state, queue.Pool, urgency)
	for _, group := range ahead {
		explanation.TasksAhead += len(group.Tasks)
	}
	considered := leadership.workersWithHolds(state, queue.Pool)
	packer.Pack(considered, ahead)
	var groups []packer.Group
	for number := range workflow.Steps {
		step := &workflow.Steps[number]
		explained := StepExplanation{Step: number, Tasks: step.Count, WaitsFor: step.DependsOn}
		explained.RunTime = leadership.runTimes.RunTime(
			scheduler.NewTaskKind(queue.Name, step.Image), step.Estimate, explainedQuantile)
		if len(step.DependsOn) == 0 {
			group := leadership.newJobGroup(queue, step, number)
			candidates := packer.Examine(considered, &group)
			explained.Accepting, explained.Excluded = candidates.Accepting(), workerCounts(candidates.Excluded())
			explained.NeedsApproval = queue.Approval != nil
			groups = append(groups, group)
		}
		explanation.Steps = append(explanation.Steps, explained)
	}
	explanation.addAssignments(packer.Pack(leadership.workersWithHolds(state, queue.Pool), append(ahead, groups...)))
}

// addAssignments records the assignments of the explained job, whose tasks have an empty job ID.
func (explanation *PlacementExplanation) addAssignments(assignments []packer.Assignment) {
	for _, assignment := range assignments {
		if assignment.Task.Job != "" {
			continue
		}
		explained := &explanation.Steps[assignment.Task.Step]
		explained.Placed++
		if !slices.Contains(explained.Workers, assignment.Worker) {
			explained.Workers = append(explained.Workers, assignment.Worker)
		}
	}
}

// groupsAhead returns the waiting groups of a pool that are at least as urgent as a new job.
func (leadership *leadership) groupsAhead(
	state *jobkeeper.State, pool scheduler.PoolName, urgency packer.Urgency,
) []packer.Group {
	return leadership.waitingGroups(state, func(waiting *waitingStep) bool {
		return waiting.step.Job().Queue().Pool == pool && waiting.urgency.Compare(urgency) <= 0
	})
}

// waitingGroups returns the groups of the waiting steps that are included. Approvals that are still to be requested
// count as missing.
func (leadership *leadership) waitingGroups(
	state *jobkeeper.State, isIncluded func(waiting *waitingStep) bool,
) []packer.Group {
	_, groups := leadership.waitingStepsAndGroups(state, isIncluded)
	return groups
}

// waitingStepsAndGroups returns the waiting steps that are included, and their groups in the same order, see waitingGroups.
func (leadership *leadership) waitingStepsAndGroups(
	state *jobkeeper.State, isIncluded func(waiting *waitingStep) bool,
) ([]*waitingStep, []packer.Group) {
	var steps []*waitingStep
	var groups []packer.Group
	for _, waiting := range waitingSteps(state) {
		if !isIncluded(waiting) {
			continue
		}
		steps = append(steps, waiting)
		groups = append(groups, leadership.groupWithApprovals(waiting, leadership.validApprovals(waiting.step)))
	}
	leadership.predictRunTimes(steps, groups)
	return steps, groups
}

// workersWithHolds returns the workers of a pool that accept new work, with the holds of the current reservations.
func (leadership *leadership) workersWithHolds(state *jobkeeper.State, pool scheduler.PoolName) []*packer.Worker {
	workers := leadership.schedulableWorkers(state)[pool]
	if poolReserver := leadership.lookAhead.reservers[pool]; poolReserver != nil {
		poolReserver.SetHolds(leadership.now(), workers)
	}
	return workers
}

func (leadership *leadership) newJobGroup(queue *scheduler.Queue, step *scheduler.Step, number int) packer.Group {
	group := packer.Group{Step: step, Priority: queue.Priority}
	if !step.Fill && !step.LongRunning {
		kind := scheduler.NewTaskKind(queue.Name, step.Image)
		group.RunTime = leadership.runTimes.RunTime(kind, step.Estimate, runTimeQuantile)
	}
	for index := range step.Count {
		group.Tasks = append(group.Tasks, scheduler.StepTaskID{Step: number, Index: index})
	}
	return group
}

// urgencyOfNewJob returns the urgency of a job that is submitted now.
func urgencyOfNewJob(queue *scheduler.Queue, workflow *scheduler.Workflow, now time.Time) packer.Urgency {
	input := packer.UrgencyInput{Queue: *queue, ReleaseTime: now, LongRunning: workflow.Steps[0].LongRunning}
	input.CriticalPath = packer.CriticalPath(workflow.Steps, func(position int) time.Duration {
		return workflow.Steps[position].Estimate
	})
	input.RemainingPath = input.CriticalPath
	for _, step := range workflow.Steps {
		input.RemainingWork += int64(step.Count) * step.Estimate.Milliseconds() * step.Request.MilliCores
	}
	return packer.UrgencyOf(input, now)
}
