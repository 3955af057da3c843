package overseer

import (
	"slices"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// beginningInterval is how often the jobs that have begun are recorded if no other command carries them. Callers see a job as
	// queued until then.
	beginningInterval = 500 * time.Millisecond
	// maxBegunBytes bounds the jobs in one command, so that it stays below the limit of the log beside a batch of ends.
	maxBegunBytes = 64 << 10
	// jobBytes is the maximum size of an encoded job id without its text.
	jobBytes = 5
)

// beginnings holds the jobs that have begun and are not recorded as such. It is safe for concurrent use; no other lock is taken
// while its mutex is held.
type beginnings struct {
	mutex sync.Mutex
	// recording tells for each job whether a command that records it is being replicated.
	recording map[scheduler.JobID]bool
}

func newBeginnings() *beginnings {
	return &beginnings{recording: map[scheduler.JobID]bool{}}
}

func (beginnings *beginnings) add(job scheduler.JobID) {
	beginnings.mutex.Lock()
	defer beginnings.mutex.Unlock()
	if _, known := beginnings.recording[job]; !known {
		beginnings.recording[job] = false
	}
}

// take returns jobs to be recorded by the next command, in a fixed order. The caller reports the outcome to settle.
func (beginnings *beginnings) take() []scheduler.JobID {
	beginnings.mutex.Lock()
	defer beginnings.mutex.Unlock()
	var jobs []scheduler.JobID
	bytes := 0
	for job, recording := range beginnings.recording {
		if recording {
			continue
		}
		if bytes += len(job) + jobBytes; bytes > maxBegunBytes {
			break
		}
		beginnings.recording[job] = true
		jobs = append(jobs, job)
	}
	slices.Sort(jobs)
	return jobs
}

// settle removes jobs that have been recorded. Those whose command has failed, or has an unknown outcome, are recorded again.
func (beginnings *beginnings) settle(jobs []scheduler.JobID, recorded bool) {
	beginnings.mutex.Lock()
	defer beginnings.mutex.Unlock()
	for _, job := range jobs {
		if recorded {
			delete(beginnings.recording, job)
		} else {
			beginnings.recording[job] = false
		}
	}
}

// recordStart records that an attempt has certainly started. attempt is nil if the attempt or its instance has ended since. The
// mutex must be held.
func (leadership *leadership) recordStart(id scheduler.RunID, attempt *attempt) {
	if attempt != nil {
		if attempt.times.acceptedAt > 0 {
			return
		}
		attempt.times.acceptedAt = leadership.now()
	}
	leadership.observeStart(id)
}

// observeStart notes that the job of an attempt that has certainly started has begun. A gang starts once its last member does.
// The mutex must be held.
func (leadership *leadership) observeStart(id scheduler.RunID) {
	leadership.overseer.keeper.View(func(state *jobkeeper.State) {
		job, found := state.Job(id.Task.Job)
		if !found || job.State() != scheduler.WorkflowQueued {
			return
		}
		step := job.Step(id.Task.Occurrence, id.Task.Step)
		if step == nil || step.Spec().Gang && !leadership.isGangPresent(step, id.Attempt) {
			return
		}
		leadership.beginnings.add(job.ID())
	})
}

// isGangPresent reports whether the workers have accepted an attempt of every member of a gang. The mutex must be held.
func (leadership *leadership) isGangPresent(step *jobkeeper.StepState, number scheduler.AttemptNumber) bool {
	for _, member := range step.Tasks() {
		isAccepted := func(run *jobkeeper.Run) bool {
			return run.ID().Attempt == number && leadership.isAccepted(run)
		}
		if !slices.ContainsFunc(member.Runs(), isAccepted) {
			return false
		}
	}
	return true
}

// isAccepted reports whether the worker of an attempt is known to have started it. The mutex must be held.
func (leadership *leadership) isAccepted(run *jobkeeper.Run) bool {
	instance := leadership.instances[run.Worker()]
	if instance == nil {
		return false
	}
	attempt := instance.attempts[run.ID()]
	return attempt != nil && attempt.times.acceptedAt > 0
}

// observeEndedStarts notes the starts of attempts that a worker lists as ended and that it has not listed before. An end of a
// member does not prove that its gang has started. The mutex must be held.
func (leadership *leadership) observeEndedStarts(instance *worker, ended []scheduler.AttemptEnd) {
	for position := range ended {
		id := ended[position].Run
		if attempt := instance.attempts[id]; attempt == nil || attempt.times.acceptedAt == 0 {
			leadership.observeStart(id)
		}
	}
}

// proposeWithBeginnings replicates a command together with the jobs that have begun since the last one.
func (leadership *leadership) proposeWithBeginnings(command jobkeeper.Command) (jobkeeper.Result, error) {
	command.Begun = leadership.beginnings.take()
	result, err := leadership.propose(command)
	leadership.settleBeginnings(command.Begun, err)
	return result, err
}

func (leadership *leadership) settleBeginnings(jobs []scheduler.JobID, err error) {
	if len(jobs) == 0 {
		return
	}
	leadership.beginnings.settle(jobs, err == nil)
	if err != nil {
		leadership.repeatedWarning("beginningsNotRecorded", err).Int("jobs", len(jobs)).
			Msg("could not record which jobs have begun; will retry")
		return
	}
	leadership.overseer.metrics.begun.Inc(int64(len(jobs)))
	names := make([]string, len(jobs))
	for position, job := range jobs {
		names[position] = string(job)
	}
	leadership.logger.Info().Str("event", "jobsBegun").Strs("jobs", names).Msg("first tasks of jobs have started")
}

// recordBeginnings records the jobs that have begun and that no other command has carried, until the term ends. All of them
// share a command.
func (leadership *leadership) recordBeginnings() {
	for leadership.context.Err() == nil {
		leadership.pause(beginningInterval)
		if jobs := leadership.beginnings.take(); len(jobs) > 0 {
			_, err := leadership.propose(jobkeeper.Command{Begun: jobs})
			leadership.settleBeginnings(jobs, err)
		}
	}
}
