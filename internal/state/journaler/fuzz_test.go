package journaler

import (
	"errors"
	"reflect"
	"testing"
)

// FuzzRead guards against a reader that panics, that accepts data which it cannot read again, or that would
// truncate a valid record.
func FuzzRead(f *testing.F) {
	fake := newFakeFileSystem()
	journal, err := open(fake, "/data", testIdentity)
	if err != nil {
		f.Fatal(err)
	}
	if err := errors.Join(journal.Append(entriesOf(1, 1, 5)), journal.Append(entriesOf(2, 4, 6)), journal.Close()); err != nil {
		f.Fatal(err)
	}
	complete := fake.current[fake.segmentNames()[0]].data
	f.Add(complete)
	f.Add(complete[:len(complete)-1])
	f.Add(append(complete[:200:200], make([]byte, 1000)...))
	f.Add(append(complete[:100:100], complete[101:]...))
	f.Add(append(complete[:len(complete):len(complete)], complete...))
	f.Fuzz(func(t *testing.T, data []byte) {
		records, valid, err := readRecords("fuzz", 1, data)
		if err != nil && !errors.Is(err, ErrDamaged) {
			t.Fatalf("got error %v, want %v", err, ErrDamaged)
		}
		again, validAgain, errAgain := readRecords("fuzz", 1, data[:valid])
		if errAgain != nil || validAgain != valid || !reflect.DeepEqual(again, records) {
			t.Fatalf("got %d records, %d bytes, %v when read again, want %d, %d",
				len(again), validAgain, errAgain, len(records), valid)
		}
		if offset, synced, found := findFrame(framePosition{number: 1, offset: valid}, append(data, 0)); found && synced > valid && err == nil {
			t.Fatalf("valid record at offset %d shows that data truncated from offset %d was synced up to %d", offset, valid, synced)
		}
	})
}
