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
	// approvalSurplus is how many more workers than waiting tasks one request covers. The service does not approve
	// every candidate, and each additional candidate takes time in the service.
	approvalSurplus = 4
	// maxApprovalCandidates is the maximum number of candidates in one request.
	maxApprovalCandidates = 100
	// approvalTimeout is the timeout of one request. approvalRetryDelay is the delay after a request that failed.
	approvalTimeout    = 5 * time.Second
	approvalRetryDelay = 200 * time.Millisecond
	// approvalMargin is how long before its expiry an approval is no longer used, so that the start order arrives
	// while it is valid.
	approvalMargin = orderTimeout
)

// stepKey identifies a step of an occurrence of a job.
type stepKey struct {
	job        scheduler.JobID
	occurrence int
	step       int
}

func keyOf(id scheduler.StepTaskID) stepKey {
	return stepKey{job: id.Job, occurrence: id.Occurrence, step: id.Step}
}

func keyOfStep(step *jobkeeper.StepState) stepKey {
	return stepKey{job: step.Job().ID(), occurrence: step.Occurrence(), step: step.Number()}
}

// approvals holds the approval service's responses for a step.
type approvals struct {
	// proofs holds the proof for each approved instance. requested holds the instances for which approval has been
	// requested.
	proofs    map[instanceKey]proof
	requested map[instanceKey]bool
	// pending is true while a request is queued or in progress.
	pending bool
}

type instanceKey struct {
	worker      scheduler.WorkerName
	incarnation scheduler.Incarnation
}

type proof struct {
	value  string
	expiry time.Duration
}

// isValid reports whether a start order that is sent now arrives while the proof is valid.
func (proof *proof) isValid(now time.Duration) bool { return proof.expiry >= now+approvalMargin }

// prune discards the proofs that are no longer valid, so that they are requested again.
func (approvals *approvals) prune(now time.Duration) {
	for instance, proof := range approvals.proofs {
		if !proof.isValid(now) {
			delete(approvals.proofs, instance)
			delete(approvals.requested, instance)
		}
	}
}

// approvalRequest asks the approval service which of the candidates may run a step.
type approvalRequest struct {
	key        stepKey
	candidates []instanceKey
}

// approvedWorkers returns the workers that may currently run a step, or nil if the queue requires no approval. If
// there are fewer of them than waiting tasks, it requests more approvals. The mutex must be held.
func (leadership *leadership) approvedWorkers(step *jobkeeper.StepState, waiting int) map[scheduler.WorkerName]bool {
	if step.Job().Queue().Approval == nil {
		return nil
	}
	key := keyOfStep(step)
	known := leadership.approvals[key]
	if known == nil {
		known = &approvals{proofs: map[instanceKey]proof{}, requested: map[instanceKey]bool{}}
		leadership.approvals[key] = known
	}
	known.prune(leadership.now())
	workers := leadership.validApprovals(step)
	if !known.pending && len(workers) < waiting {
		leadership.enqueueApprovalRequest(key, known, step.Job().Queue().Pool, waiting-len(workers)+approvalSurplus)
	}
	return workers
}

// validApprovals returns the workers that may currently run a step, or nil if the queue requires no approval. In contrast
// to approvedWorkers it changes nothing. The mutex must be held.
func (leadership *leadership) validApprovals(step *jobkeeper.StepState) map[scheduler.WorkerName]bool {
	if step.Job().Queue().Approval == nil {
		return nil
	}
	workers := map[scheduler.WorkerName]bool{}
	known := leadership.approvals[keyOfStep(step)]
	if known == nil {
		return workers
	}
	now := leadership.now()
	for instance, proof := range known.proofs {
		current := leadership.instances[instance.worker]
		if current != nil && current.incarnation == instance.incarnation && proof.isValid(now) {
			workers[instance.worker] = true
		}
	}
	return workers
}

// enqueueApprovalRequest queues a request for the workers with the most free capacity among those for which approval
// has not been requested yet. The mutex must be held.
func (leadership *leadership) enqueueApprovalRequest(
	key stepKey, known *approvals, pool scheduler.PoolName, count int,
) {
	if len(leadership.approvalRequests) == cap(leadership.approvalRequests) {
		return // The next planning cycle tries again.
	}
	approvalRequest := approvalRequest{key: key}
	count = min(count, maxApprovalCandidates)
	for _, candidate := range leadership.approvalCandidates.of(leadership, pool) {
		if len(approvalRequest.candidates) == count {
			break
		}
		if !known.requested[candidate] {
			approvalRequest.candidates = append(approvalRequest.candidates, candidate)
		}
	}
	if len(approvalRequest.candidates) == 0 {
		return
	}
	select {
	case leadership.approvalRequests <- approvalRequest:
		known.pending = true
	default: // The queue is full; the next planning cycle tries again.
	}
}

// approvalCandidates holds for each pool the workers for which approval may be requested, in descending order of slack.
// Ranking the workers of a large pool takes milliseconds, so that one decision does it once for all steps.
type approvalCandidates map[scheduler.PoolName][]instanceKey

// of returns the candidates of a pool. The leadership's mutex must be held.
func (approvalCandidates approvalCandidates) of(leadership *leadership, pool scheduler.PoolName) []instanceKey {
	if candidates, found := approvalCandidates[pool]; found {
		return candidates
	}
	type ranked struct {
		key   instanceKey
		slack int64
	}
	var ranking []ranked
	heartbeatTimeout, now := leadership.heartbeatTimeout(), leadership.now()
	for _, instance := range leadership.instances {
		if instance.heartbeat.Pool == pool && instance.acceptsWork(now, heartbeatTimeout) &&
			!leadership.isInMaintenance(instance) && !leadership.isInEvacuatedDataCentre(instance) {
			ranking = append(ranking, ranked{key: instance.key(), slack: instance.usageSummary(now).slack})
		}
	}
	slices.SortFunc(ranking, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.slack, a.slack), cmp.Compare(a.key.worker, b.key.worker))
	})
	candidates := make([]instanceKey, len(ranking))
	for position := range ranking {
		candidates[position] = ranking[position].key
	}
	approvalCandidates[pool] = candidates
	return candidates
}

func (worker *worker) key() instanceKey {
	return instanceKey{worker: worker.name, incarnation: worker.incarnation}
}

// requestApprovals sends the queued requests one at a time, because the service accepts only one concurrent request
// per VM.
func (leadership *leadership) requestApprovals() {
	for {
		select {
		case <-leadership.context.Done():
			return
		case approvalRequest := <-leadership.approvalRequests:
			leadership.requestApproval(approvalRequest)
		}
	}
}

func (leadership *leadership) requestApproval(approvalRequest approvalRequest) {
	var names []scheduler.WorkerName
	for _, candidate := range approvalRequest.candidates {
		names = append(names, candidate.worker)
	}
	ctx, cancel := context.WithTimeout(leadership.context, approvalTimeout)
	defer cancel()
	sent := leadership.now()
	approved, valid, err := leadership.overseer.approver.Approve(ctx, approvalRequest.key.job,
		approvalRequest.key.occurrence, approvalRequest.key.step, names)
	if err != nil {
		leadership.logger.Warn().Str("event", "approvalMissing").Str("job", string(approvalRequest.key.job)).
			Int("step", approvalRequest.key.step).
			Int("candidates", len(names)).Err(err).Msg("approval request failed; will retry")
		leadership.pause(approvalRetryDelay)
	}
	leadership.mutex.Lock()
	defer leadership.mutex.Unlock()
	known := leadership.approvals[approvalRequest.key]
	if known == nil {
		return
	}
	known.pending = false
	if err == nil {
		known.update(approvalRequest, approved, sent+valid)
	}
	leadership.replan()
}

// update records the response to a request.
func (approvals *approvals) update(
	approvalRequest approvalRequest, approved []scheduler.ApprovedWorker, expiry time.Duration,
) {
	proofs := map[scheduler.WorkerName]string{}
	for _, worker := range approved {
		proofs[worker.Worker] = worker.Proof
	}
	for _, candidate := range approvalRequest.candidates {
		approvals.requested[candidate] = true
		if value, found := proofs[candidate.worker]; found {
			approvals.proofs[candidate] = proof{value: value, expiry: expiry}
		}
	}
}

// proofFor returns the proof for starting a task on an instance, or an empty string. The mutex must be held.
func (leadership *leadership) proofFor(id scheduler.StepTaskID, instance *worker) string {
	if known := leadership.approvals[keyOf(id)]; known != nil {
		return known.proofs[instance.key()].value
	}
	return ""
}

// dropProof discards a proof that a worker has rejected, so that approval is requested again. The mutex must be held.
func (leadership *leadership) dropProof(id scheduler.StepTaskID, instance *worker) {
	if known := leadership.approvals[keyOf(id)]; known != nil {
		delete(known.proofs, instance.key())
		delete(known.requested, instance.key())
	}
}

// pruneApprovals discards the approvals of jobs that have ended. The mutex must be held.
func (leadership *leadership) pruneApprovals(state *jobkeeper.State) {
	for key := range leadership.approvals {
		if job, found := state.Job(key.job); !found || job.State().Ended() {
			delete(leadership.approvals, key)
		}
	}
}
