package leaserecorder

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	modelLease = 3 * time.Second
	modelTick  = time.Second
	modelVMs   = 3
	// formerVM is a VM with a build that knows no records: its state has none, and as a leader it extends every lease.
	formerVM = 2
	// mutationDepth is the number of events in which each mutation must be found.
	mutationDepth = 9
)

var modelDepth = flag.Int("model-depth", 7, "number of events in an order with one worker; with two there are three less")

// A mutation breaks one of the rules on which the safety of records depends.
type mutation string

const (
	extendsHeldLeases      mutation = "held leases are extended"
	forgetsTerms           mutation = "a leader of an earlier build in between is not noticed"
	appliesForeignRecords  mutation = "records of former leaders are applied"
	releasesEarly          mutation = "leases are released before the record without them is committed"
	extendsWhileUnsettled  mutation = "leases are extended while proposals of the same term are not settled"
	inheritsTimesOnly      mutation = "inherited leases are not held"
	appliesOldRecords      mutation = "older records of the same term are applied"
	countsFromBeforeRecord mutation = "times are counted from before the record"
)

type modelWorker struct {
	// leaseEnd is when the lease of the worker ends, expiry when the leader takes it to have expired for certain.
	leaseEnd, expiry time.Duration
	// silent is true while the leader has no answer of the worker.
	silent bool
}

type modelProposal struct {
	record *Record
	leases []Lease
}

// model is a group of VMs and some workers. Orders to the workers take effect and are not answered, the worst case.
type model struct {
	mutation mutation
	now      time.Duration
	term     scheduler.Term
	leader   int
	workers  []modelWorker
	recorder *Recorder
	sequence uint64
	// proposedIn is the term of the last record that the VM that leads has proposed.
	proposedIn scheduler.Term
	// current is the proposal in progress, stray one that has been given up and may still be committed.
	current, stray *modelProposal
	histories      [modelVMs]History
}

func newModel(workers int, broken mutation) *model {
	created := &model{mutation: broken, workers: make([]modelWorker, workers)}
	created.elect(0)
	return created
}

func (model *model) clone() *model {
	cloned, recorder := *model, *model.recorder
	recorder.held, recorder.listed = maps.Clone(recorder.held), maps.Clone(recorder.listed)
	cloned.recorder, cloned.workers = &recorder, slices.Clone(model.workers)
	return &cloned
}

func (model *model) time() time.Time { return time.Unix(0, int64(model.now)) }

func workerName(number int) scheduler.WorkerName {
	return scheduler.WorkerName(fmt.Sprint("w", number))
}

func (model *model) elect(vm int) {
	model.term, model.leader = model.term+1, vm
	model.observe()
	model.lead()
}

// observe applies an entry of the term on all VMs.
func (model *model) observe() {
	for vm, history := range model.histories {
		if model.mutation == forgetsTerms && history.Successor != 0 {
			history.Successor, history.term = model.term, model.term
		}
		model.histories[vm] = history.Observe(model.term)
	}
}

// lead begins a leadership of the leader, in a new term or in the same one.
func (model *model) lead() {
	if model.current != nil {
		model.stray, model.current = model.current, nil
	}
	model.recorder = New(model.proposedIn == model.term && model.mutation != extendsWhileUnsettled)
	for number := range model.workers {
		model.workers[number].expiry, model.workers[number].silent = model.now+modelLease, true
	}
	if model.leader == formerVM {
		return
	}
	model.histories[model.leader].VisitBounds(model.term, model.time(), func(bound *Bound, remaining time.Duration) {
		for number := range model.workers {
			if workerName(number) == bound.Worker {
				model.workers[number].expiry = min(model.workers[number].expiry, model.now+remaining)
			}
		}
		if model.mutation != inheritsTimesOnly {
			model.recorder.Inherit(bound.Worker, model.now)
		}
	})
}

// extend lets the leader extend the lease of a worker.
func (model *model) extend(number int) {
	if model.leader != formerVM && model.mutation != extendsHeldLeases && !model.recorder.Extendable(workerName(number)) {
		return
	}
	worker := &model.workers[number]
	worker.leaseEnd, worker.expiry = model.now+modelLease, model.now+modelLease
}

// propose lets the leader propose a record if one is due.
func (model *model) propose() {
	if model.leader == formerVM || model.current != nil {
		return
	}
	var silent []Lease
	for number, worker := range model.workers {
		if worker.silent {
			silent = append(silent, NewLease(workerName(number), 1, worker.expiry))
		}
	}
	if !model.recorder.Propose(model.now, silent) {
		return
	}
	if model.mutation == releasesEarly {
		model.recorder.Commit(model.now, silent)
	}
	model.sequence, model.proposedIn = model.sequence+1, model.term
	record := &Record{Term: model.term, Sequence: model.sequence}
	for _, lease := range silent {
		record.Bounds = append(record.Bounds,
			Bound{Worker: lease.Worker(), Instance: lease.Instance(), Remaining: lease.Remaining(model.now)})
	}
	model.current = &modelProposal{record: record, leases: silent}
}

// apply applies a record on all VMs and reports whether it has taken effect.
func (model *model) apply(proposal *modelProposal) (recorded bool) {
	if proposal == nil {
		return false
	}
	model.observe()
	for vm, history := range model.histories {
		record, now := *proposal.record, model.time()
		switch model.mutation {
		case appliesForeignRecords:
			record.Term = model.term
		case appliesOldRecords:
			if history.Record != nil {
				record.Sequence += history.Record.Sequence
			}
		case countsFromBeforeRecord:
			now = now.Add(-modelTick)
		}
		model.histories[vm], recorded = history.Append(&record, now)
	}
	return recorded
}

func (model *model) commit() {
	if model.current != nil && model.apply(model.current) {
		model.recorder.Commit(model.now, model.current.leases)
	}
	model.current = nil
}

func (model *model) commitStray() {
	model.apply(model.stray)
	model.stray = nil
}

func (model *model) giveUp() {
	if model.current != nil {
		model.stray, model.current = model.current, nil
	}
}

// modelEvents returns what may happen, by name. restarts adds what happens to the state of a VM.
func modelEvents(workers int, restarts bool) map[string]func(model *model) {
	events := map[string]func(model *model){
		"a tick passes": func(model *model) { model.now += modelTick },
		"propose":       (*model).propose, "commit": (*model).commit, "give up": (*model).giveUp,
		"the record that was given up is committed": (*model).commitStray,
		"the leader leads again in its term":        (*model).lead,
	}
	for vm := range modelVMs {
		events[fmt.Sprint("elect ", vm)] = func(model *model) { model.elect(vm) }
		if vm != formerVM && restarts {
			events[fmt.Sprint("restart ", vm)] = func(model *model) {
				model.histories[vm] = model.histories[vm].Restored(model.time())
			}
			events[fmt.Sprint("snapshot of the earlier build for ", vm)] = func(model *model) { model.histories[vm] = Unknown() }
		}
	}
	for number := range workers {
		events[fmt.Sprint("extend ", number)] = func(model *model) { model.extend(number) }
		events[fmt.Sprint("answer of ", number)] = func(model *model) { model.workers[number].silent = false }
		events[fmt.Sprint("silence of ", number)] = func(model *model) { model.workers[number].silent = true }
	}
	return events
}

// isSafe reports whether the leader takes no lease to have expired that has not.
func (model *model) isSafe() bool {
	return !slices.ContainsFunc(model.workers, func(worker modelWorker) bool { return worker.expiry < worker.leaseEnd })
}

// key returns what determines the further course. Times and terms are relative to the present ones.
func (model *model) key() string {
	var key strings.Builder
	since := func(at time.Duration) time.Duration { return max(at-model.now, -modelTick) }
	for _, worker := range model.workers {
		fmt.Fprint(&key, since(worker.leaseEnd), since(worker.expiry), worker.silent)
	}
	recorder := model.recorder
	fmt.Fprint(&key, model.leader, slices.Sorted(maps.Keys(recorder.held)), slices.Sorted(maps.Keys(recorder.listed)),
		recorder.uncertain, recorder.blocked, since(recorder.recordedAt), model.proposedIn == model.term)
	writeRecord := func(record *Record) {
		if record != nil {
			fmt.Fprint(&key, "/", model.term-record.Term, model.sequence-record.Sequence, record.Bounds)
		}
	}
	for _, proposal := range []*modelProposal{model.current, model.stray} {
		key.WriteByte('|')
		if proposal != nil {
			writeRecord(proposal.record)
		}
	}
	for _, history := range model.histories {
		fmt.Fprint(&key, "|", model.term-history.term, history.Incomplete, history.Successor != 0, model.time().Sub(history.recordedAt))
		writeRecord(history.Record)
	}
	return key.String()
}

// explore plays every order of events up to a depth. It returns the events that lead to an unsafe state, or none, and the number of
// states.
func explore(workers, depth int, broken mutation) (unsafe []string, states int) {
	type node struct {
		model  *model
		parent *node
		event  string
	}
	first := &node{model: newModel(workers, broken)}
	events := modelEvents(workers, broken == "") // The mutations show without restarts, in less time.
	level, seen := []*node{first}, map[string]bool{first.model.key(): true}
	for range depth {
		var next []*node
		for _, parent := range level {
			for event, happen := range events {
				child := &node{model: parent.model.clone(), parent: parent, event: event}
				happen(child.model)
				key := child.model.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				if !child.model.isSafe() {
					for at := child; at.parent != nil; at = at.parent {
						unsafe = append([]string{at.event}, unsafe...)
					}
					return unsafe, len(seen)
				}
				next = append(next, child)
			}
			parent.model = nil
		}
		level = next
	}
	return nil, len(seen)
}

// Guards against a task that runs twice because a leader takes the lease of a running worker to have expired, in any order of
// losses, answers, lost proposals, changes of the leader, restarts and snapshots, beside a VM with an earlier build.
func TestNoLeaseIsTakenToHaveExpiredEarly(t *testing.T) {
	for workers, depth := range map[int]int{1: *modelDepth, 2: *modelDepth - 3} {
		unsafe, states := explore(workers, depth, "")
		if unsafe != nil {
			t.Errorf("%d workers: got an unsafe state after %s", workers, strings.Join(unsafe, "; "))
		}
		t.Logf("%d workers: %d states in orders of %d events", workers, states, depth)
	}
}

// Guards against a model that does not notice when a rule is broken.
func TestModelFindsMutations(t *testing.T) {
	for _, broken := range []mutation{
		extendsHeldLeases, forgetsTerms, appliesForeignRecords, releasesEarly, extendsWhileUnsettled, inheritsTimesOnly,
		appliesOldRecords, countsFromBeforeRecord,
	} {
		t.Run(string(broken), func(t *testing.T) {
			unsafe, _ := explore(1, mutationDepth, broken)
			if unsafe == nil {
				t.Errorf("got no unsafe state in orders of %d events, want one", mutationDepth)
			}
			t.Log(strings.Join(unsafe, "; "))
		})
	}
}
