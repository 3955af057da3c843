package overseer

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// approvalSpare is how many workers more than a step has tasks are asked for at a time. Each one costs
	// time in the approval service, and not all are approved.
	approvalSpare = 4
	// maxCandidates bounds one question.
	maxCandidates = 100
	// approvalTimeout bounds one question, approvalRetry the pause after one without an answer.
	approvalTimeout = 5 * time.Second
	approvalRetry   = 200 * time.Millisecond
	// approvalReserve is how long before its end an approval is no longer used, because the start must arrive
	// in time.
	approvalReserve = orderTimeout
)

// stepKey names a step of an occurrence of a job.
type stepKey struct {
	job        scheduler.JobID
	occurrence int
	step       int
}

func keyOf(id scheduler.StepTaskID) stepKey {
	return stepKey{job: id.Job, occurrence: id.Occurrence, step: id.Step}
}

// approvals holds what the approval service has answered for a step.
type approvals struct {
	// proofs holds the proof of each approved life, asked the lives that the service was asked about.
	proofs map[lifeKey]proof
	asked  map[lifeKey]bool
	// waiting is true while a question waits or is under way.
	waiting bool
}

type lifeKey struct {
	worker scheduler.WorkerName
	life   scheduler.Incarnation
}

type proof struct {
	text  string
	until time.Duration
}

// question asks which workers may run a step.
type question struct {
	key        stepKey
	candidates []lifeKey
}

// approved returns the workers that may run a step now, nil if the queue needs no approval. If they are too
// few, further ones are asked for. The mutex is held.
func (leadership *leadership) approved(step *jobkeeper.StepState, waiting int) map[scheduler.WorkerName]bool {
	if step.Job().Queue().Approval == nil {
		return nil
	}
	key := stepKey{job: step.Job().ID(), occurrence: step.Occurrence(), step: step.Number()}
	known := leadership.approvals[key]
	if known == nil {
		known = &approvals{proofs: map[lifeKey]proof{}, asked: map[lifeKey]bool{}}
		leadership.approvals[key] = known
	}
	workers := map[scheduler.WorkerName]bool{}
	now := leadership.now()
	for life, proof := range known.proofs {
		current := leadership.lives[life.worker]
		switch {
		case proof.until < now+approvalReserve:
			delete(known.proofs, life)
			delete(known.asked, life)
		case current != nil && current.life == life.life:
			workers[life.worker] = true
		}
	}
	if !known.waiting && len(workers) < waiting {
		leadership.askFor(key, known, step, waiting-len(workers)+approvalSpare)
	}
	return workers
}

// askFor queues a question about the workers with most free room that were not asked about. The mutex is
// held.
func (leadership *leadership) askFor(key stepKey, known *approvals, step *jobkeeper.StepState, count int) {
	var lives []*worker
	silence, now := leadership.silence(), leadership.now()
	for _, life := range leadership.lives {
		if life.beat.Pool == step.Job().Queue().Pool && life.mayTakeWork(now, silence) && !leadership.isRetired(life) && !known.asked[life.key()] {
			lives = append(lives, life)
		}
	}
	slices.SortFunc(lives, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.survey().slack, a.survey().slack), cmp.Compare(a.name, b.name))
	})
	lives = lives[:min(len(lives), count, maxCandidates)]
	if len(lives) == 0 {
		return
	}
	question := question{key: key}
	for _, life := range lives {
		question.candidates = append(question.candidates, life.key())
	}
	select {
	case leadership.questions <- question:
		known.waiting = true
	default: // The queue is full; the next decision asks again.
	}
}

func (worker *worker) key() lifeKey { return lifeKey{worker: worker.name, life: worker.life} }

// askApprover asks one question after the other: the service takes one at a time from a VM.
func (leadership *leadership) askApprover() {
	for {
		select {
		case <-leadership.context.Done():
			return
		case question := <-leadership.questions:
			leadership.ask(question)
		}
	}
}

func (leadership *leadership) ask(question question) {
	var names []scheduler.WorkerName
	for _, candidate := range question.candidates {
		names = append(names, candidate.worker)
	}
	ctx, cancel := context.WithTimeout(leadership.context, approvalTimeout)
	defer cancel()
	sent := leadership.now()
	approved, valid, err := leadership.overseer.approver.Approve(ctx, question.key.job, question.key.occurrence, question.key.step, names)
	if err != nil {
		leadership.logger.Warn().Str("event", "approvalMissing").Str("job", string(question.key.job)).Int("step", question.key.step).
			Int("candidates", len(names)).Err(err).Msg("the approval service has not answered")
		leadership.pause(approvalRetry)
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	known := leadership.approvals[question.key]
	if known == nil {
		return
	}
	known.waiting = false
	if err == nil {
		known.take(question, approved, sent+valid)
	}
	leadership.replan()
}

// take notes the answer to a question.
func (approvals *approvals) take(question question, approved []scheduler.ApprovedWorker, until time.Duration) {
	proofs := map[scheduler.WorkerName]string{}
	for _, worker := range approved {
		proofs[worker.Worker] = worker.Proof
	}
	for _, candidate := range question.candidates {
		approvals.asked[candidate] = true
		if text, found := proofs[candidate.worker]; found {
			approvals.proofs[candidate] = proof{text: text, until: until}
		}
	}
}

// proofFor returns the proof for a start on a life. The mutex is held.
func (leadership *leadership) proofFor(id scheduler.StepTaskID, life *worker) string {
	if known := leadership.approvals[keyOf(id)]; known != nil {
		return known.proofs[life.key()].text
	}
	return ""
}

// dropProof forgets a proof that a worker has refused, so that it is asked for again. The mutex is held.
func (leadership *leadership) dropProof(id scheduler.StepTaskID, life *worker) {
	if known := leadership.approvals[keyOf(id)]; known != nil {
		delete(known.proofs, life.key())
		delete(known.asked, life.key())
	}
}

// forgetApprovals drops what is known of steps whose jobs have ended. The mutex is held.
func (leadership *leadership) forgetApprovals(state *jobkeeper.State) {
	for key := range leadership.approvals {
		if job, found := state.Job(key.job); !found || job.State().Ended() {
			delete(leadership.approvals, key)
		}
	}
}
