package configurator

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against two accepted changes for one base revision, against a retry that creates a second
// revision, and against a change ID that is reused for another document.
func TestSubmit(t *testing.T) {
	invalid := inventory(1)
	invalid.Workers[0].Rack = "x"
	type attempt struct {
		base     scheduler.Revision
		operator string
		id       string
		workers  int
		document *scheduler.Configuration
		want     ChangeResult
	}
	accepted, conflict, refused := ChangeAccepted, ChangeConflict, ChangeRefused
	tests := map[string][]attempt{
		"concurrent changes": {
			{base: 0, operator: "ama", id: "1", workers: 1, want: ChangeResult{Outcome: accepted, Revision: 1}},
			{base: 0, operator: "raj", id: "1", workers: 2, want: ChangeResult{Outcome: conflict, Revision: 1}},
			{base: 1, operator: "raj", id: "2", workers: 2, want: ChangeResult{Outcome: accepted, Revision: 2}},
		},
		"retry after a later revision": {
			{base: 0, operator: "ama", id: "1", workers: 1, want: ChangeResult{Outcome: accepted, Revision: 1}},
			{base: 1, operator: "raj", id: "1", workers: 2, want: ChangeResult{Outcome: accepted, Revision: 2}},
			{base: 0, operator: "ama", id: "1", workers: 1, want: ChangeResult{Outcome: accepted, Revision: 1, Repeated: true}},
		},
		"retried conflict": {
			{base: 7, operator: "ama", id: "1", workers: 1, want: ChangeResult{Outcome: conflict}},
			{base: 7, operator: "ama", id: "1", workers: 1, want: ChangeResult{Outcome: conflict, Repeated: true}},
		},
		"ID reused for another document": {
			{base: 0, operator: "ama", id: "1", workers: 1, want: ChangeResult{Outcome: accepted, Revision: 1}},
			{base: 0, operator: "ama", id: "1", workers: 2, want: ChangeResult{Outcome: refused, Revision: 1}},
			{base: 1, operator: "ama", id: "1", workers: 1, want: ChangeResult{Outcome: refused, Revision: 1}},
		},
		"invalid document": {
			{base: 0, operator: "ama", id: "1", document: invalid, want: ChangeResult{Outcome: refused}},
			{base: 0, operator: "ama", id: "2", workers: 1, want: ChangeResult{Outcome: accepted, Revision: 1}},
		},
		"unchanged document": {
			{base: 0, operator: "ama", id: "1", workers: 1, want: ChangeResult{Outcome: accepted, Revision: 1}},
			{base: 1, operator: "ama", id: "2", workers: 1, want: ChangeResult{Outcome: accepted, Revision: 2}},
		},
		"no ID": {{workers: 1, operator: "ama", want: ChangeResult{Outcome: refused}}},
	}
	for name, attempts := range tests {
		t.Run(name, func(t *testing.T) {
			submitter, globalMachine, _ := newSubmitter(t)
			records := 0
			for i, attempt := range attempts {
				document := attempt.document
				if document == nil {
					document = inventory(attempt.workers)
				}
				got, err := submitter.Submit(t.Context(), attempt.base, attempt.operator, attempt.id, document)
				if err != nil {
					t.Fatal(err)
				}
				if (got.Outcome == refused) != (got.Reason != "" && got.Outcome != conflict) {
					t.Errorf("attempt %d: got reason %q for %s", i, got.Reason, got.Outcome)
				}
				got.Reason, got.Faults = "", nil
				if fmt.Sprint(got) != fmt.Sprint(attempt.want) {
					t.Errorf("attempt %d: got %+v, want %+v", i, got, attempt.want)
				}
				if !got.Repeated {
					records++
				}
			}
			if got := len(globalMachine.AuditRecords(0)); got != records {
				t.Errorf("got %d audit records, want %d", got, records)
			}
		})
	}
}

// Guards against a replica that crashes on an invalid or malformed command or accepts it.
func TestApplyRefusesInvalidChanges(t *testing.T) {
	document := inventory(1)
	digest, _ := Digest(document)
	unknownElement := Delta{"workers": {Remove: []string{"worker-9"}}}
	tests := map[string]Change{
		"no content":      {Operator: "ama", ID: "1", Digest: digest},
		"two contents":    {Operator: "ama", ID: "1", Digest: digest, Document: document, RollForward: 1},
		"wrong digest":    {Operator: "ama", ID: "1", Digest: make([]byte, 32), Document: document},
		"no digest":       {Operator: "ama", ID: "1", Document: document},
		"unknown element": {Operator: "ama", ID: "1", Digest: digest, Delta: &unknownElement},
		"future revision": {Operator: "ama", ID: "1", RollForward: 3},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			var got ChangeResult
			globalMachine := NewGlobalMachine()
			if err := encoder.Unmarshal(globalMachine.Apply(1, mustMarshal(change)), &got); err != nil {
				t.Fatal(err)
			}
			if got.Outcome != ChangeRefused || got.Reason == "" || got.Revision != 0 {
				t.Errorf("got %+v, want a refusal with a reason", got)
			}
		})
	}
	var got ChangeResult
	if err := encoder.Unmarshal(NewGlobalMachine().Apply(1, []byte{0xff}), &got); err != nil || got.Outcome != ChangeRefused {
		t.Errorf("got %+v, %v, want a refusal", got, err)
	}
}

// Guards against a rollback that lowers the revision number, and against a history that cannot
// reconstruct an earlier document after a restore.
func TestRollForwardAfterRestore(t *testing.T) {
	submitter, source, _ := newSubmitter(t)
	for i := range 5 {
		mustSubmit(t, submitter, scheduler.Revision(i), fmt.Sprint(i), inventory(i+1))
	}
	var snapshot bytes.Buffer
	if err := source.Snapshot(&snapshot); err != nil {
		t.Fatal(err)
	}
	globalMachine := NewGlobalMachine()
	if err := globalMachine.Restore(bytes.NewReader(snapshot.Bytes())); err != nil {
		t.Fatal(err)
	}
	var restored bytes.Buffer
	if err := globalMachine.Snapshot(&restored); err != nil || !bytes.Equal(restored.Bytes(), snapshot.Bytes()) {
		t.Errorf("got a different snapshot after the restore, error %v", err)
	}
	submitter = NewSubmitter(&fakeGroup{machine: globalMachine}, globalMachine)
	result, err := submitter.RollForward(t.Context(), 5, "raj", "back", 2)
	if err != nil || result.Outcome != ChangeAccepted || result.Revision != 6 {
		t.Fatalf("got %+v, %v, want revision 6", result, err)
	}
	if _, document := globalMachine.Current(); len(document.Workers) != 2 {
		t.Errorf("got %d workers, want 2", len(document.Workers))
	}
	result, err = submitter.Submit(t.Context(), 0, "ama", "0", inventory(1))
	if err != nil || !result.Repeated || result.Revision != 1 {
		t.Errorf("got %+v, %v, want the first result for the retry", result, err)
	}
}

// Guards against state that grows with every change.
func TestMemoryIsBounded(t *testing.T) {
	submitter, globalMachine, _ := newSubmitter(t)
	handled := 0
	globalMachine.auditHandler = func(AuditRecord) { handled++ }
	for i := range maxDecisions + 10 {
		mustSubmit(t, submitter, scheduler.Revision(i), fmt.Sprint(i), inventory(1+i%2))
	}
	if len(globalMachine.decisions) != maxDecisions || len(globalMachine.history) != maxHistoryRevisions ||
		len(globalMachine.auditRecords) != maxAuditRecords {
		t.Errorf("got %d decisions, %d revisions, %d audit records",
			len(globalMachine.decisions), len(globalMachine.history), len(globalMachine.auditRecords))
	}
	if handled != maxDecisions+10 {
		t.Errorf("audit handler received %d records, want %d", handled, maxDecisions+10)
	}
	if _, ok := globalMachine.DocumentAt(1); ok {
		t.Error("got a document that should have been evicted from the history")
	}
}

// Guards against a dry run that modifies state or reads from a stale replica.
func TestDryRun(t *testing.T) {
	submitter, globalMachine, group := newSubmitter(t)
	mustSubmit(t, submitter, 0, "1", inventory(1))
	result, differences, err := submitter.DryRun(t.Context(), 1, inventory(2))
	if err != nil || result.Outcome != ChangeAccepted || len(differences) != 1 {
		t.Errorf("got %+v, %v, %v", result, differences, err)
	}
	if result, _, err = submitter.DryRun(t.Context(), 0, inventory(2)); err != nil || result.Outcome != ChangeConflict {
		t.Errorf("got %+v, %v, want a conflict", result, err)
	}
	if revision, _ := globalMachine.Current(); revision != 1 || len(group.commandSizes) != 1 {
		t.Errorf("got revision %d after %d proposals, want 1 and 1", revision, len(group.commandSizes))
	}
	group.partitioned.Store(true)
	if _, _, err = submitter.DryRun(context.Background(), 1, inventory(2)); !scheduler.ErrNotRun.Has(err) {
		t.Errorf("got %v, want an error of class ErrNotRun", err)
	}
}

func BenchmarkChange(b *testing.B) {
	for _, workers := range []int{50, 200, 860, 3440} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			submitter, globalMachine, group := newSubmitter(b)
			document := inventory(workers)
			mustSubmit(b, submitter, 0, "first", document)
			documentSize := group.commandSizes[0]
			localMachine := NewLocalMachine()
			localGroup := &fakeGroup{machine: localMachine}
			distributor := NewDistributor(globalMachine, localMachine, localGroup)
			if err := distributor.Distribute(b.Context()); err != nil {
				b.Fatal(err)
			}
			revision := scheduler.Revision(1)
			for b.Loop() {
				document.Workers[int(revision)%workers].Labels = map[string]string{"hosts": fmt.Sprintf("batch-%d", revision)}
				mustSubmit(b, submitter, revision, fmt.Sprint(revision), document)
				if err := distributor.Distribute(b.Context()); err != nil {
					b.Fatal(err)
				}
				revision++
			}
			b.ReportMetric(float64(documentSize), "B/document")
			b.ReportMetric(float64(group.commandSizes[len(group.commandSizes)-1]), "B/change")
			b.ReportMetric(float64(localGroup.commandSizes[len(localGroup.commandSizes)-1]), "B/copy")
		})
	}
}
