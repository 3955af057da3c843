package replicator

import (
	"io/fs"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// measuredJournal is a fakeJournal with a size, whose Append fails with refusal if that is set.
type measuredJournal struct {
	*fakeJournal
	mutex   sync.Mutex
	refusal error
}

func (journal *measuredJournal) Append(entries []scheduler.Entry) error {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	if journal.refusal != nil {
		return scheduler.ErrJournalFailed.Wrap(journal.refusal)
	}
	return journal.fakeJournal.Append(entries)
}

func (journal *measuredJournal) refuse(err error) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.refusal = err
}

func (journal *measuredJournal) Usage() scheduler.JournalUsage {
	return scheduler.NewJournalUsage(5000, 300)
}

// lineWriter collects log lines.
type lineWriter struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (writer *lineWriter) Write(line []byte) (int, error) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	return writer.text.Write(line)
}

// line returns the first line of an event, or an empty string.
func (writer *lineWriter) line(event string) string {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	for line := range strings.Lines(writer.text.String()) {
		if strings.Contains(line, `"event":"`+event+`"`) {
			return line
		}
	}
	return ""
}

// startSingle starts the only voter of a group and waits until it leads.
func startSingle(t *testing.T, journal scheduler.Journal, options ...Option) *Replicator {
	t.Helper()
	network := newFakeNetwork(1, time.Millisecond)
	transport := network.connect("a")
	member := disk("a")
	replicator, err := New(testGroup, member, []Member{member}, journal, transport, &fakeMachine{}, options...)
	if err != nil {
		t.Fatal(err)
	}
	network.attach(transport)
	if err := replicator.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * maxElectionTimeout)
	if !replicator.HoldsLeaderLease() {
		t.Fatal("got no leader, want the only voter")
	}
	return replicator
}

func gauge(scope tally.TestScope, name string) float64 {
	if gauge, ok := scope.Snapshot().Gauges()[name+"+"]; ok {
		return gauge.Value()
	}
	return -1
}

// Guards against an outage whose cause and duration cannot be seen once the line is cut off or out of reach.
func TestOutageNamesTheRefusedOperation(t *testing.T) {
	refused := func(operation string, errno syscall.Errno) error {
		return &fs.PathError{Op: operation, Path: "/data/groups/g/1.segment", Err: errno}
	}
	tests := map[string]struct {
		refusal error
		want    string
	}{
		"full disk":      {refused("write", syscall.ENOSPC), `"kind":"noRoom","errno":"ENOSPC","operation":"write","file":"1.segment"`},
		"file too large": {refused("write", syscall.EFBIG), `"kind":"noRoom","errno":"EFBIG","operation":"write","file":"1.segment"`},
		"broken disk":    {refused("write", syscall.EIO), `"kind":"device","errno":"EIO","operation":"write","file":"1.segment"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				writer := &lineWriter{}
				journal := &measuredJournal{fakeJournal: &fakeJournal{}}
				replicator := startSingle(t, journal, WithLogger(zerolog.New(writer)))
				defer func() { _ = replicator.Close(t.Context()) }()
				scope := tally.NewTestScope("", nil)
				replicator.UpdateMetrics(scope)
				if got := gauge(scope, "group_out_seconds"); got != 0 {
					t.Errorf("got %v s out of the group before the failure, want 0", got)
				}
				journal.refuse(test.refusal)
				_, _ = replicator.Propose(t.Context(), []byte("command"))
				time.Sleep(30 * time.Second)
				outage, out := replicator.Outage()
				if !out || outage.Cause() == nil {
					t.Fatal("got no outage, want one")
				}
				replicator.UpdateMetrics(scope)
				if got := gauge(scope, "group_out_seconds"); got < 30 || got > 31 {
					t.Errorf("got %v s out of the group, want 30", got)
				}
				line := writer.line("groupLeftAfterFailure")
				cause, failure := strings.Index(line, test.want), strings.Index(line, `"error":`)
				if cause < 0 || failure < cause {
					t.Errorf("got line %s, want %s before the error", line, test.want)
				}
			})
		})
	}
}

// Guards against an outage that starts again with each failed return, or that is reported after the return.
func TestOutageEndsWhenTheVMRejoins(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		journal := &measuredJournal{fakeJournal: &fakeJournal{}}
		replicator := startSingle(t, journal)
		defer func() { _ = replicator.Close(t.Context()) }()
		scope := tally.NewTestScope("", nil)
		journal.refuse(syscall.ENOSPC)
		_, _ = replicator.Propose(t.Context(), []byte("command"))
		for range 3 {
			time.Sleep(10 * time.Second)
			err := replicator.Rejoin(t.Context(), func() (scheduler.Journal, error) { return nil, syscall.ENOSPC })
			if err == nil {
				t.Fatal("got no error, want the refusal")
			}
		}
		replicator.UpdateMetrics(scope)
		if got := gauge(scope, "group_out_seconds"); got < 30 || got > 31 {
			t.Errorf("got %v s out of the group, want 30", got)
		}
		err := replicator.Rejoin(t.Context(), func() (scheduler.Journal, error) { return journal.crash(nil), nil })
		if err != nil {
			t.Fatal(err)
		}
		replicator.UpdateMetrics(scope)
		if got := gauge(scope, "group_out_seconds"); got != 0 {
			t.Errorf("got %v s out of the group after the return, want 0", got)
		}
		if outage, out := replicator.Outage(); out {
			t.Errorf("got outage %v after the return, want none", outage.Cause())
		}
	})
}

// Guards against a planned stop that is reported as an outage.
func TestCloseIsNoOutage(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		replicator := startSingle(t, &fakeJournal{})
		if err := replicator.Close(t.Context()); err != nil {
			t.Fatal(err)
		}
		if outage, out := replicator.Outage(); out {
			t.Errorf("got outage %v, want none", outage.Cause())
		}
	})
}

// Guards against a log that fills its disk unseen: gauges and the line of each snapshot tell the sizes.
func TestSizeOfTheJournalIsReported(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		writer := &lineWriter{}
		journal := &measuredJournal{fakeJournal: &fakeJournal{}}
		replicator := startSingle(t, journal, WithLogger(zerolog.New(writer)), WithSnapshotInterval(5, 1))
		defer func() { _ = replicator.Close(t.Context()) }()
		scope := tally.NewTestScope("", nil)
		replicator.UpdateMetrics(scope)
		for name, want := range map[string]float64{"group_folder_bytes": 5000, "group_log_bytes": 300} {
			if got := gauge(scope, name); got != want {
				t.Errorf("%s: got %v, want %v", name, got, want)
			}
		}
		for range 10 {
			if _, err := replicator.Propose(t.Context(), []byte("1")); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		line := writer.line("snapshotSaved")
		for _, want := range []string{`"bytes":`, `"logBytes":300`, `"folderBytes":5000`} {
			if !strings.Contains(line, want) {
				t.Errorf("got line %s, want %s", line, want)
			}
		}
	})
}
