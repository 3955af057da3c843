package jobkeeper

import (
	"io"
	"maps"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/internal/jobs/leaserecorder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Versions of the snapshot format. Version 1 had no waves, version 2 no evacuations, and version 3 neither blame for
// crashes of workers nor withdrawals.
const (
	snapshotFormat1 = 1
	snapshotFormat2 = 2
	snapshotFormat3 = 3
	snapshotFormat4 = 4
)

// The types below define the encoding of a snapshot. Lists have a fixed order, so that equal states have equal
// snapshots.
type storedState struct {
	_             struct{} `cbor:",toarray"`
	Format        int
	Configuration *storedConfiguration
	Sequence      uint64
	Jobs          []storedJob
	Waves         []storedWave
	Evacuations   []storedEvacuation
	Blames        []storedBlame
	Failures      []storedFailure
	Marks         []Mark
	Withdrawals   []storedWithdrawal
}

// storedConfiguration is the configuration with what was added to the state later. Earlier builds skip unknown keys of this
// map, but not unknown elements of an array, so that they can read the snapshot and lose only what they do not know.
type storedConfiguration struct {
	scheduler.QueueConfiguration
	// Locations has a key beyond those that the configuration may get.
	Locations []Location `cbor:"100,keyasint,omitempty"`
	// Leases is nil in snapshots of earlier builds.
	Leases *leaserecorder.History `cbor:"101,keyasint,omitempty"`
	// BeginsWithStart is true if active jobs are those that have begun. In snapshots of earlier builds they are those of which a
	// task has been placed.
	BeginsWithStart bool `cbor:"102,keyasint,omitempty"`
	// Evidence belongs to the blames, and RunEvidence to the marks. Snapshots of earlier builds have neither.
	Evidence    []storedEvidence `cbor:"103,keyasint,omitempty"`
	RunEvidence []RunEvidence    `cbor:"104,keyasint,omitempty"`
}

// storedStateV3 is storedState in format version 3.
type storedStateV3 struct {
	_             struct{} `cbor:",toarray"`
	Format        int
	Configuration *storedConfiguration
	Sequence      uint64
	Jobs          []storedJob
	Waves         []storedWave
	Evacuations   []storedEvacuation
}

// storedStateV2 is storedState in format version 2.
type storedStateV2 struct {
	_             struct{} `cbor:",toarray"`
	Format        int
	Configuration *storedConfiguration
	Sequence      uint64
	Jobs          []storedJob
	Waves         []storedWave
}

// storedStateV1 is storedState in format version 1.
type storedStateV1 struct {
	_             struct{} `cbor:",toarray"`
	Format        int
	Configuration *storedConfiguration
	Sequence      uint64
	Jobs          []storedJob
}

type storedJob struct {
	_           struct{} `cbor:",toarray"`
	ID          scheduler.JobID
	Queue       scheduler.Queue
	Workflow    scheduler.Workflow
	Accepted    time.Time
	Sequence    uint64
	State       scheduler.WorkflowState
	Started     int
	Finished    int
	Occurrences []storedOccurrence
}

type storedOccurrence struct {
	_      struct{} `cbor:",toarray"`
	Number int
	Steps  []storedStep
}

type storedStep struct {
	_        struct{} `cbor:",toarray"`
	Failures int
	Attempt  scheduler.AttemptNumber
	Tasks    []storedTask
}

type storedTask struct {
	_          struct{} `cbor:",toarray"`
	Finished   bool
	Failures   int
	Attempt    scheduler.AttemptNumber
	Checkpoint string
	Runs       []storedRun
}

type storedRun struct {
	_        struct{} `cbor:",toarray"`
	Attempt  scheduler.AttemptNumber
	Worker   scheduler.WorkerName
	Instance scheduler.Incarnation
}

// Snapshot writes the whole state to w. It implements scheduler.StateMachine.
func (keeper *Keeper) Snapshot(w io.Writer) error {
	keeper.mutex.RLock()
	defer keeper.mutex.RUnlock()
	return Error.Wrap(encoder.NewEncoder(w).Encode(keeper.state.store().encodable()))
}

// Restore replaces the state by a snapshot. It implements scheduler.StateMachine.
func (keeper *Keeper) Restore(r io.Reader) error {
	data, err := io.ReadAll(r)
	if err != nil {
		return Error.Wrap(err)
	}
	stored, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	state := stored.restore()
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	keeper.state = state
	keeper.notify()
	return nil
}

// encodable returns the state in the oldest format that can hold it, so that an earlier build can read the snapshots of
// a domain that does not use what was added later.
func (stored storedState) encodable() any {
	if len(stored.Blames)+len(stored.Failures)+len(stored.Marks)+len(stored.Withdrawals) > 0 {
		return stored
	}
	if len(stored.Evacuations) > 0 {
		return storedStateV3{
			Format: snapshotFormat3, Configuration: stored.Configuration, Sequence: stored.Sequence, Jobs: stored.Jobs,
			Waves: stored.Waves, Evacuations: stored.Evacuations,
		}
	}
	return storedStateV2{
		Format: snapshotFormat2, Configuration: stored.Configuration, Sequence: stored.Sequence, Jobs: stored.Jobs,
		Waves: stored.Waves,
	}
}

// decodeSnapshot decodes a snapshot of any format version.
func decodeSnapshot(data []byte) (*storedState, error) {
	var stored storedState
	err := encoder.Unmarshal(data, &stored)
	if err == nil && stored.Format == snapshotFormat4 {
		return &stored, nil
	}
	if earlier := decodeEarlierFormat(data); earlier != nil {
		return earlier, nil
	}
	if err != nil {
		return nil, Error.New("cannot decode the snapshot: %w", err)
	}
	return nil, Error.New("the snapshot has format %d; this build reads formats up to %d", stored.Format, snapshotFormat4)
}

// decodeEarlierFormat decodes a snapshot of an earlier format version. It returns nil for any other snapshot.
func decodeEarlierFormat(data []byte) *storedState {
	var version3 storedStateV3
	if encoder.Unmarshal(data, &version3) == nil && version3.Format == snapshotFormat3 {
		return &storedState{
			Format: snapshotFormat4, Configuration: version3.Configuration, Sequence: version3.Sequence, Jobs: version3.Jobs,
			Waves: version3.Waves, Evacuations: version3.Evacuations,
		}
	}
	var version2 storedStateV2
	if encoder.Unmarshal(data, &version2) == nil && version2.Format == snapshotFormat2 {
		return &storedState{
			Format: snapshotFormat4, Configuration: version2.Configuration, Sequence: version2.Sequence, Jobs: version2.Jobs,
			Waves: version2.Waves,
		}
	}
	var version1 storedStateV1
	if encoder.Unmarshal(data, &version1) == nil && version1.Format == snapshotFormat1 {
		return &storedState{
			Format: snapshotFormat4, Configuration: version1.Configuration, Sequence: version1.Sequence, Jobs: version1.Jobs,
		}
	}
	return nil
}

func (state *State) store() storedState {
	stored := storedState{
		Format: snapshotFormat4, Configuration: state.storeConfiguration(), Sequence: state.sequence,
		Evacuations: state.storeEvacuations(), Withdrawals: state.storeWithdrawals(),
	}
	for _, id := range slices.Sorted(maps.Keys(state.jobs)) {
		stored.Jobs = append(stored.Jobs, state.jobs[id].store())
		stored.storeBlames(state.jobs[id])
	}
	for _, wave := range state.waves {
		stored.Waves = append(stored.Waves, wave.store())
	}
	return stored
}

// storeConfiguration returns nil before the first configuration, without which there are no attempts.
func (state *State) storeConfiguration() *storedConfiguration {
	if state.configuration == nil {
		return nil
	}
	return &storedConfiguration{
		QueueConfiguration: *state.configuration, Locations: state.storeLocations(), Leases: &state.leases, BeginsWithStart: true,
	}
}

func (job *Job) store() storedJob {
	stored := storedJob{
		ID: job.id, Queue: job.queue, Workflow: job.workflow, Accepted: job.accepted, Sequence: job.sequence,
		State: job.state, Started: job.started, Finished: job.finished,
	}
	for _, started := range job.sortedOccurrences() {
		occurrence := storedOccurrence{Number: started.number}
		for _, step := range started.steps {
			occurrence.Steps = append(occurrence.Steps, step.store())
		}
		stored.Occurrences = append(stored.Occurrences, occurrence)
	}
	return stored
}

// sortedOccurrences returns the occurrences that have started, in order.
func (job *Job) sortedOccurrences() []*Occurrence {
	occurrences := make([]*Occurrence, 0, len(job.occurrences))
	for _, number := range slices.Sorted(maps.Keys(job.occurrences)) {
		occurrences = append(occurrences, job.occurrences[number])
	}
	return occurrences
}

func (stepState *StepState) store() storedStep {
	stored := storedStep{Failures: stepState.failures, Attempt: stepState.attempt}
	for _, task := range stepState.tasks {
		encoded := storedTask{
			Finished: task.finished, Failures: task.failures, Attempt: task.attempt, Checkpoint: task.checkpoint,
		}
		for _, run := range task.runs {
			encoded.Runs = append(encoded.Runs, storedRun{
				Attempt: run.attempt, Worker: run.worker, Instance: run.instance,
			})
		}
		stored.Tasks = append(stored.Tasks, encoded)
	}
	return stored
}

func (stored *storedState) restore() *State {
	state := newState()
	state.sequence = stored.Sequence
	if stored.Configuration != nil {
		state.configuration = &stored.Configuration.QueueConfiguration
	}
	beginsWithStart := stored.Configuration != nil && stored.Configuration.BeginsWithStart
	for position := range stored.Jobs {
		state.restoreJob(&stored.Jobs[position], beginsWithStart)
	}
	for position := range stored.Waves {
		state.waves = append(state.waves, stored.Waves[position].restore())
	}
	state.restoreEvacuations(stored.Evacuations)
	state.restoreWithdrawals(stored.Withdrawals)
	state.restoreBlames(stored)
	if stored.Configuration != nil {
		state.locate(stored.Configuration.Locations)
		state.restoreLeases(stored.Configuration.Leases)
	}
	return state
}

func (state *State) restoreJob(stored *storedJob, beginsWithStart bool) {
	job := &Job{
		id: stored.ID, queue: stored.Queue, workflow: stored.Workflow, accepted: stored.Accepted, sequence: stored.Sequence,
		state: stored.correctedState(beginsWithStart), started: stored.Started, finished: stored.Finished, occurrences: map[int]*Occurrence{},
	}
	state.jobs[job.id] = job
	if job.state == scheduler.WorkflowQueued {
		state.queued[job.queue.Name]++
		if _, found := state.queue(job.queue.Name); !found {
			state.removed[job.queue.Name] = job.queue
		}
	}
	if job.workflow.Repeat != nil && !job.state.Ended() && job.started < job.times() {
		state.repeated[job.id] = job
	}
	for _, storedOccurrence := range stored.Occurrences {
		state.restoreOccurrence(job, storedOccurrence)
	}
}

func (state *State) restoreOccurrence(job *Job, stored storedOccurrence) {
	occurrence := newOccurrence(job, stored.Number)
	job.occurrences[stored.Number] = occurrence
	for position, storedStep := range stored.Steps {
		state.restoreStep(occurrence.steps[position], storedStep)
	}
	for _, step := range occurrence.steps {
		step.unmetDependencies = 0
		for _, dependency := range step.Spec().DependsOn {
			if occurrence.steps[dependency].unfinished > 0 {
				step.unmetDependencies++
			}
		}
		state.updateStepIndexes(step)
	}
}

func (state *State) restoreStep(step *StepState, stored storedStep) {
	step.failures, step.attempt = stored.Failures, stored.Attempt
	for index, storedTask := range stored.Tasks {
		task := step.tasks[index]
		task.finished, task.failures, task.attempt, task.checkpoint = storedTask.Finished, storedTask.Failures,
			storedTask.Attempt, storedTask.Checkpoint
		if task.finished {
			step.unfinished--
		}
		for _, storedRun := range storedTask.Runs {
			run := &Run{task: task, attempt: storedRun.Attempt, worker: storedRun.Worker, instance: storedRun.Instance}
			task.runs = append(task.runs, run)
			state.addRun(run)
		}
	}
	if step.unfinished == 0 {
		step.occurrence.unfinished--
	}
}
