package main

import (
	"strings"
	"sync"
	"time"
)

// plan is what the tasks of a job do.
type plan struct {
	work  time.Duration
	lasts bool
	// fills is true for tasks whose processor time is not counted.
	fills bool
	needs resources
}

// job is what the clients and the runners have seen of a job.
type job struct {
	id   string
	plan plan
	// sentAt is when it was first sent, acceptedAt when a client got a 2xx response.
	sentAt, acceptedAt time.Time
	begunAt            time.Time
	// ends counts the ends of its runs by their kind.
	ends  map[string]int
	shown string
}

// ledger holds all jobs of a case. It is safe for concurrent use.
type ledger struct {
	record *record
	mutex  sync.Mutex
	jobs   map[string]*job
}

func newLedger(record *record) *ledger { return &ledger{record: record, jobs: map[string]*job{}} }

func (ledger *ledger) add(id string, plan plan) *job {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	added := &job{id: id, plan: plan, sentAt: time.Now(), ends: map[string]int{}}
	ledger.jobs[id] = added
	return added
}

// ofTask returns the job of a task whose name has the form ID.K.STEP.INDEX. The mutex must be held.
func (ledger *ledger) ofTask(task string) *job {
	id, _, _ := strings.Cut(task, ".")
	return ledger.jobs[id]
}

func (ledger *ledger) plan(task string) plan {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	return ledger.ofTask(task).plan
}

func (ledger *ledger) began(task string, attempt uint32, runner string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if job := ledger.ofTask(task); job.begunAt.IsZero() {
		job.begunAt = time.Now()
	}
	ledger.record.printf("run begins: %s attempt %d on %s", task, attempt, runner)
}

func (ledger *ledger) ended(task string, attempt uint32, how, runner string) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	ledger.ofTask(task).ends[how]++
	ledger.record.printf("run ends: %s attempt %d on %s: %s", task, attempt, runner, how)
}

// each calls visit for each job, in no particular order.
func (ledger *ledger) each(visit func(job *job)) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	for _, job := range ledger.jobs {
		visit(job)
	}
}
