package admitter

import (
	"hash/fnv"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// returnGrace is how long after its return time a caller keeps its place ahead of new ones.
	returnGrace = 10 * time.Second
	// maxTickets limits the memory for refused jobs. Jobs beyond it are refused without a place.
	maxTickets = 4096
	// minReturnSpread is the minimum width of the interval over which returns are spread.
	minReturnSpread = time.Second
)

// ticket is the place of a refused job.
type ticket struct {
	rank     rank
	parts    map[CapacityKind]demandPart
	returnAt time.Duration
	refusals int
	// returning is false if the caller was told that it cannot return in time.
	returning bool
}

// tickets holds the places of refused jobs. Only the leader that refused them knows them; under a new leader a
// returning job is a new one.
type tickets struct {
	byJob  map[scheduler.JobID]*ticket
	served int
}

func newTickets() tickets { return tickets{byJob: map[scheduler.JobID]*ticket{}} }

// find returns the ticket of a job unless its place has expired.
func (tickets *tickets) find(job scheduler.JobID, now time.Duration) (*ticket, bool) {
	found := tickets.byJob[job]
	return found, found != nil && now <= found.returnAt+returnGrace
}

// returnDelay returns excess, the time by which a job would be late, within bounds, plus a delay that is derived from the
// job ID, so that jobs that are refused together return apart.
func returnDelay(job scheduler.JobID, excess time.Duration) time.Duration {
	delay := min(max(excess, minRetryAfter), maxRetryAfter*2/3)
	spread := max(minReturnSpread, delay/2)
	return roundUp(delay + time.Duration(fractionOf(job)*float64(spread)))
}

// add records a refusal of a job that would be late by excess and returns the time after which it may return.
func (tickets *tickets) add(now time.Duration, demand *demand, excess time.Duration) time.Duration {
	delay := returnDelay(demand.job, excess)
	known, found := tickets.find(demand.job, now)
	if !found {
		if len(tickets.byJob) >= maxTickets {
			return delay
		}
		known = &ticket{}
		tickets.byJob[demand.job] = known
	}
	known.rank, known.parts, known.returnAt, known.returning = demand.rank, demand.parts, now+delay, true
	known.refusals++
	return delay
}

// fractionSteps is the number of different results of fractionOf. The low bits of the hash are the most even ones.
const fractionSteps = 1024

// fractionOf returns a number from 0 to 1 that depends on the job alone.
func fractionOf(job scheduler.JobID) float64 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(job))
	return float64(hash.Sum32()%fractionSteps) / fractionSteps
}

// ahead returns the work of the returning jobs that are due while the result of a new job is of use. It includes jobs of
// the same priority whose work is at most of the same order of magnitude: smaller jobs are served before larger ones.
func (tickets *tickets) ahead(now time.Duration, kind CapacityKind, demand *demand) int64 {
	var work int64
	size := demand.rank.size()
	for _, ticket := range tickets.byJob {
		if ticket.returning && ticket.rank.priority == demand.rank.priority && ticket.rank.size() <= size &&
			ticket.returnAt <= now+demand.useful && now <= ticket.returnAt+returnGrace {
			work += ticket.parts[kind].work
		}
	}
	return work
}

func (tickets *tickets) markNotReturning(job scheduler.JobID) {
	if ticket := tickets.byJob[job]; ticket != nil {
		ticket.returning = false
	}
}

// remove removes the ticket of a job that has been admitted.
func (tickets *tickets) remove(job scheduler.JobID) {
	if tickets.byJob[job] != nil {
		delete(tickets.byJob, job)
		tickets.served++
	}
}

// expire removes the tickets whose places have expired.
func (tickets *tickets) expire(now time.Duration) {
	for job, ticket := range tickets.byJob {
		if now > ticket.returnAt+returnGrace {
			delete(tickets.byJob, job)
		}
	}
}
