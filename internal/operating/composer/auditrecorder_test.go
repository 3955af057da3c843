package composer

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/operating/auditor"
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
