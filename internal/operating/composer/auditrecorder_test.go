package composer

import (
	"context"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/jobs/dispatcher"
	"github.com/crocusplank/crocusplank/internal/operating/auditor"
	"github.com/crocusplank/crocusplank/internal/state/configurator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Guards against a decision that is missing in the audit trail, or in it twice, after its record was refused: a record
// whose head could not be written is stored although it was refused.
func TestDecisionsAreRecordedOnceAfterARefusal(t *testing.T) {
	folder := t.TempDir()
	trail, err := auditor.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	recorder := &auditRecorder{trail: trail, log: zerolog.Nop()}
	// Each entry of the log has two decisions.
	decisions := []scheduler.Index{3, 3, 5, 5, 6, 6}
	after := func(index scheduler.Index) []scheduler.Index {
		return slices.DeleteFunc(slices.Clone(decisions), func(other scheduler.Index) bool { return other <= index })
	}
	identity := func(index scheduler.Index) scheduler.Index { return index }
	record := func() error {
		if err := recorder.resume(); err != nil {
			return err
		}
		for _, index := range unrecordedDecisions(recorder.positions["couva"], after, identity) {
			if err := recorder.append("couva", index, scheduler.AuditRecord{Who: "operator-1"}); err != nil {
				return err
			}
		}
		return nil
	}
	blocked := filepath.Join(folder, "head.json.temporary")
	for range decisions {
		if err := os.Mkdir(blocked, 0o750); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			if err := record(); err == nil {
				break
			}
		}
		if err := os.Remove(blocked); err != nil {
			t.Fatal(err)
		}
		if err := recorder.resume(); err != nil {
			t.Fatal(err)
		}
	}
	if err := record(); err != nil {
		t.Fatal(err)
	}
	records, _, err := trail.Read(1, 100)
	if err != nil {
		t.Fatal(err)
	}
	var got []scheduler.Index
	for _, record := range records {
		_, index, _ := parsePosition(record.Detail)
		got = append(got, index)
	}
	if !slices.Equal(got, decisions) {
		t.Errorf("got records of the entries %v, want %v", got, decisions)
	}
	if err := trail.Close(); err != nil {
		t.Error(err)
	}
}

// Guards against a trail that stays failed until the next decision, after it refused a record of another goroutine.
func TestTrailThatFailedElsewhereEndsTheRun(t *testing.T) {
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		recorder, err := openAuditRecorder(folder, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = recorder.trail.Close() }()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		ended := make(chan error, 1)
		go func() {
			ended <- recorder.run(ctx, "couva", configurator.NewGlobalMachine(), dispatcher.NewMachine("couva"))
		}()
		synctest.Wait()
		// A folder in place of the temporary file of the head makes the trail refuse a record.
		if err := os.Mkdir(filepath.Join(folder, auditFolder, "head.json.temporary"), 0o750); err != nil {
			t.Fatal(err)
		}
		if _, err := recorder.trail.Append(scheduler.AuditRecord{Who: "operator-3"}); !scheduler.ErrJournalFailed.Has(err) {
			t.Fatalf("got %v, want an error of class %q", err, scheduler.ErrJournalFailed)
		}
		time.Sleep(2 * auditPollInterval)
		select {
		case err := <-ended:
			if !scheduler.ErrJournalFailed.Has(err) {
				t.Errorf("got %v, want an error of class %q", err, scheduler.ErrJournalFailed)
			}
		default:
			t.Error("got a recorder that goes on with a failed trail, want its end")
		}
	})
}
