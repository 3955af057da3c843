package multiplexer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// recorder keeps the commands that it got.
type recorder struct {
	state []byte
	// readOnly is the number of bytes that Restore reads; all when negative.
	readOnly int
}

func (recorder *recorder) Apply(_ scheduler.Index, command []byte) []byte {
	recorder.state = append(recorder.state, command...)
	return fmt.Appendf(nil, "%d", len(recorder.state))
}

func (recorder *recorder) Snapshot(w io.Writer) error {
	_, err := w.Write(recorder.state)
	return err
}

func (recorder *recorder) Restore(r io.Reader) (err error) {
	if recorder.readOnly >= 0 {
		recorder.state = make([]byte, recorder.readOnly)
		_, err = io.ReadFull(r, recorder.state)
		return err
	}
	recorder.state, err = io.ReadAll(r)
	return err
}

func newPair(t testing.TB, names ...string) (*Multiplexer, []*recorder) {
	t.Helper()
	var options []Option
	var recorders []*recorder
	for _, name := range names {
		recorders = append(recorders, &recorder{readOnly: -1})
		options = append(options, WithMachine(name, recorders[len(recorders)-1]))
	}
	multiplexer, err := New(options...)
	if err != nil {
		t.Fatal(err)
	}
	return multiplexer, recorders
}

// Guards against commands that reach the wrong machine and against a crash of every replica on a
// command from a newer version.
func TestApply(t *testing.T) {
	tests := map[string]struct {
		command []byte
		want    string
		refused bool
	}{
		"first machine":   {command: WrapCommand("a", []byte("xy")), want: "2"},
		"second machine":  {command: WrapCommand("b", nil), want: "0"},
		"unknown machine": {command: WrapCommand("c", []byte("x")), refused: true},
		"empty command":   {refused: true},
		"short name":      {command: []byte{9, 'a'}, refused: true},
		"huge length":     {command: bytes.Repeat([]byte{0xff}, 12), refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			multiplexer, _ := newPair(t, "a", "b")
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

// Guards against state that leaks from one machine into the next, against a machine added later
// that keeps old state, and against truncated snapshots that pass for whole ones.
func TestSnapshot(t *testing.T) {
	source, recorders := newPair(t, "a", "b")
	recorders[0].state = bytes.Repeat([]byte("a"), 3*chunkSize+5)
	recorders[1].state = []byte("bb")
	var snapshot bytes.Buffer
	if err := source.Snapshot(&snapshot); err != nil {
		t.Fatal(err)
	}
	whole := snapshot.Bytes()

	tests := map[string]struct {
		names    []string
		data     []byte
		readOnly int
		want     []int
		fails    bool
	}{
		"same machines":        {names: []string{"a", "b"}, data: whole, readOnly: -1, want: []int{3*chunkSize + 5, 2}},
		"added machine":        {names: []string{"a", "b", "c"}, data: whole, readOnly: -1, want: []int{3*chunkSize + 5, 2, 0}},
		"machine stops early":  {names: []string{"a", "b"}, data: whole, readOnly: 1, want: []int{1, 2}},
		"missing machine":      {names: []string{"a"}, data: whole, readOnly: -1, fails: true},
		"truncated in state":   {names: []string{"a", "b"}, data: whole[:chunkSize], readOnly: -1, fails: true},
		"truncated at the end": {names: []string{"a", "b"}, data: whole[:len(whole)-1], readOnly: -1, fails: true},
		"other format":         {names: []string{"a", "b"}, data: []byte("another format of the state"), readOnly: -1, fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			target, restored := newPair(t, test.names...)
			restored[len(restored)-1].state = []byte("old")
			restored[0].readOnly = test.readOnly
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

// Guards against snapshot errors that are swallowed, which would lose acknowledged entries.
func TestSnapshotReportsWriteErrors(t *testing.T) {
	source, recorders := newPair(t, "a")
	recorders[0].state = []byte("x")
	for limit := range 4 {
		if err := source.Snapshot(&failingWriter{left: limit}); !errors.Is(err, io.ErrShortWrite) {
			t.Errorf("limit %d: got %v, want %v", limit, err, io.ErrShortWrite)
		}
	}
}

type failingWriter struct{ left int }

func (writer *failingWriter) Write(data []byte) (int, error) {
	if writer.left == 0 {
		return 0, io.ErrShortWrite
	}
	writer.left--
	return len(data), nil
}

func BenchmarkApply(b *testing.B) {
	multiplexer, recorders := newPair(b, "configuration", "dispatcher")
	command := WrapCommand("dispatcher", make([]byte, 200))
	b.ReportAllocs()
	for b.Loop() {
		recorders[1].state = recorders[1].state[:0]
		multiplexer.Apply(1, command)
	}
}
