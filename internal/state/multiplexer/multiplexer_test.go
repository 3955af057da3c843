package multiplexer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fakeMachine appends the commands that it receives to its state.
type fakeMachine struct {
	state []byte
	// restoreLimit is the number of bytes that Restore reads. It reads all if the limit is negative.
	restoreLimit int
}

func (fakeMachine *fakeMachine) Apply(_ scheduler.Index, command []byte) []byte {
	fakeMachine.state = append(fakeMachine.state, command...)
	return fmt.Appendf(nil, "%d", len(fakeMachine.state))
}

func (fakeMachine *fakeMachine) Snapshot(w io.Writer) error {
	_, err := w.Write(fakeMachine.state)
	return err
}

func (fakeMachine *fakeMachine) Restore(r io.Reader) (err error) {
	if fakeMachine.restoreLimit >= 0 {
		fakeMachine.state = make([]byte, fakeMachine.restoreLimit)
		_, err = io.ReadFull(r, fakeMachine.state)
		return err
	}
	fakeMachine.state, err = io.ReadAll(r)
	return err
}

func newMultiplexer(t testing.TB, names ...string) (*Multiplexer, []*fakeMachine) {
	t.Helper()
	var options []Option
	var machines []*fakeMachine
	for _, name := range names {
		machines = append(machines, &fakeMachine{restoreLimit: -1})
		options = append(options, WithMachine(name, machines[len(machines)-1]))
	}
	multiplexer, err := New(options...)
	if err != nil {
		t.Fatal(err)
	}
	return multiplexer, machines
}

// Guards against commands that reach the wrong state machine, and against a crash of every replica on a
// command for a state machine of a newer version.
func TestApply(t *testing.T) {
	tests := map[string]struct {
		command []byte
		want    string
		refused bool
	}{
		"first machine":    {command: WrapCommand("a", []byte("xy")), want: "2"},
		"second machine":   {command: WrapCommand("b", nil), want: "0"},
		"unknown machine":  {command: WrapCommand("c", []byte("x")), refused: true},
		"empty command":    {refused: true},
		"truncated name":   {command: []byte{9, 'a'}, refused: true},
		"oversized length": {command: bytes.Repeat([]byte{0xff}, 12), refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			multiplexer, _ := newMultiplexer(t, "a", "b")
			got, err := UnwrapResult(multiplexer.Apply(1, test.command))
			if refused := scheduler.ErrNotRun.Has(err); refused != test.refused {
				t.Fatalf("got error %v, want refused %v", err, test.refused)
			}
			if string(got) != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against a state machine that reads into the state of the next one, against a state machine that
// is missing from the snapshot and keeps its old state, and against a truncated snapshot that is accepted.
func TestSnapshot(t *testing.T) {
	source, machines := newMultiplexer(t, "a", "b")
	machines[0].state = bytes.Repeat([]byte("a"), 3*chunkSize+5)
	machines[1].state = []byte("bb")
	var snapshot bytes.Buffer
	if err := source.Snapshot(&snapshot); err != nil {
		t.Fatal(err)
	}
	complete := snapshot.Bytes()

	tests := map[string]struct {
		names        []string
		data         []byte
		restoreLimit int
		want         []int
		fails        bool
	}{
		"same machines": {
			names: []string{"a", "b"}, data: complete, restoreLimit: -1, want: []int{3*chunkSize + 5, 2},
		},
		"added machine": {
			names: []string{"a", "b", "c"}, data: complete, restoreLimit: -1, want: []int{3*chunkSize + 5, 2, 0},
		},
		"partial read": {
			names: []string{"a", "b"}, data: complete, restoreLimit: 1, want: []int{1, 2},
		},
		"missing machine": {
			names: []string{"a"}, data: complete, restoreLimit: -1, fails: true,
		},
		"truncated in state": {
			names: []string{"a", "b"}, data: complete[:chunkSize], restoreLimit: -1, fails: true,
		},
		"truncated at the end": {
			names: []string{"a", "b"}, data: complete[:len(complete)-1], restoreLimit: -1, fails: true,
		},
		"other format": {
			names: []string{"a", "b"}, data: []byte("another format of the state"), restoreLimit: -1, fails: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			target, restored := newMultiplexer(t, test.names...)
			restored[len(restored)-1].state = []byte("old")
			restored[0].restoreLimit = test.restoreLimit
			err := target.Restore(bytes.NewReader(test.data))
			if (err != nil) != test.fails {
				t.Fatalf("got error %v, want failure %v", err, test.fails)
			}
			for i, want := range test.want {
				if got := len(restored[i].state); got != want {
					t.Errorf("machine %s: got %d bytes, want %d", test.names[i], got, want)
				}
			}
		})
	}
}

// Guards against ignored write errors of a snapshot, which would lose acknowledged entries.
func TestSnapshotReportsWriteErrors(t *testing.T) {
	source, machines := newMultiplexer(t, "a")
	machines[0].state = []byte("x")
	for limit := range 4 {
		if err := source.Snapshot(&failingWriter{remaining: limit}); !errors.Is(err, io.ErrShortWrite) {
			t.Errorf("limit %d: got %v, want %v", limit, err, io.ErrShortWrite)
		}
	}
}

type failingWriter struct{ remaining int }

func (writer *failingWriter) Write(data []byte) (int, error) {
	if writer.remaining == 0 {
		return 0, io.ErrShortWrite
	}
	writer.remaining--
	return len(data), nil
}

func BenchmarkApply(b *testing.B) {
	multiplexer, machines := newMultiplexer(b, "configuration", "dispatcher")
	command := WrapCommand("dispatcher", make([]byte, 200))
	b.ReportAllocs()
	for b.Loop() {
		machines[1].state = machines[1].state[:0]
		multiplexer.Apply(1, command)
	}
}
