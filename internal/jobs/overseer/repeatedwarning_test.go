package overseer

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/jobs/jobkeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// refusingGroup is a group that does not run on this VM.
type refusingGroup struct{ *fakeGroup }

func (refusingGroup) Propose(context.Context, []byte) ([]byte, error) {
	return nil, scheduler.ErrNotRun.New("the group is not running on this VM")
}

// Guards against a leader that fills the log when it can record nothing, and against repetitions that nobody can count.
func TestFailedProposalsAreCountedAndBounded(t *testing.T) {
	const (
		recorders = 50
		duration  = 60 * time.Second
	)
	ends := []jobkeeper.End{{}}
	tests := map[string]func(leadership *leadership){
		"endsNotRecorded":  func(leadership *leadership) { leadership.recordEnds(newWorker("w", 1), ends) },
		"marksNotRecorded": func(leadership *leadership) { leadership.commitMarks([]jobkeeper.Mark{{}}) },
		"placementsNotRecorded": func(leadership *leadership) {
			for leadership.context.Err() == nil {
				leadership.commitPlacements([]jobkeeper.Placement{{}})
				leadership.pause(time.Second)
			}
		},
		"maintenanceNotRecorded": func(leadership *leadership) {
			for leadership.context.Err() == nil {
				leadership.recordSteps([]jobkeeper.MaintenanceStep{{}})
				leadership.pause(time.Second)
			}
		},
	}
	for event, record := range tests {
		t.Run(event, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), duration)
				defer cancel()
				writer := &warningWriter{event: event}
				scope := tally.NewTestScope("", nil)
				overseer := New(refusingGroup{&fakeGroup{}}, jobkeeper.New(), nil, WithLogger(zerolog.New(writer)), WithScope(scope))
				leadership := newLeadership(ctx, overseer, 1)
				var recording sync.WaitGroup
				for range recorders {
					recording.Go(func() { record(leadership) })
				}
				recording.Wait()
				leadership.goroutines.Close()
				lines, suppressed := writer.counts(t)
				if most := int(duration/repeatedWarningInterval) + 1; lines < 2 || lines > most {
					t.Errorf("got %d lines in %s, want 2 to %d", lines, duration, most)
				}
				failed := scope.Snapshot().Counters()[fmt.Sprintf("proposals_failed+event=%s", event)]
				if failed == nil {
					t.Fatal("got no counter of failed proposals")
				}
				// The failures since the last line are counted only in the metric.
				if got := int(failed.Value()); got < lines+suppressed || got < recorders {
					t.Errorf("got %d failures, want at least the %d lines and %d suppressed ones", got, lines, suppressed)
				}
				if suppressed < recorders {
					t.Errorf("got %d suppressed lines, want at least %d", suppressed, recorders)
				}
			})
		})
	}
}

// warningWriter collects the log lines of one event.
type warningWriter struct {
	event string
	mutex sync.Mutex
	lines []string
}

func (writer *warningWriter) Write(line []byte) (int, error) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if strings.Contains(string(line), `"event":"`+writer.event+`"`) {
		writer.lines = append(writer.lines, string(line))
	}
	return len(line), nil
}

// counts returns the number of lines and the sum of the suppressed ones that they name.
func (writer *warningWriter) counts(t *testing.T) (lines, suppressed int) {
	t.Helper()
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	for _, line := range writer.lines {
		var fields struct {
			Suppressed int               `json:"suppressed"`
			Outcome    scheduler.Outcome `json:"outcome"`
		}
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatal(err)
		}
		if fields.Outcome != scheduler.OutcomeNotRun {
			t.Errorf("got outcome %q, want %q", fields.Outcome, scheduler.OutcomeNotRun)
		}
		suppressed += fields.Suppressed
	}
	return len(writer.lines), suppressed
}
