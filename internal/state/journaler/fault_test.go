package journaler

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"sync"
	"testing"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// acknowledged is the state that a journal has acknowledged: the terms of the entries by index, the last durable
// index, the hard states that may be valid, and the index of the snapshot.
type acknowledged struct {
	terms     map[scheduler.Index]scheduler.Term
	last      scheduler.Index
	hardState []scheduler.HardState
	snapshot  scheduler.Index
}

func (acknowledged *acknowledged) truncate(first scheduler.Index) {
	acknowledged.last = min(acknowledged.last, first-1)
}

// run performs every kind of operation on a journal until the first error and records what was acknowledged.
func (acknowledged *acknowledged) run(journal *FolderJournal) error {
	steps := []func() error{
		func() error { return acknowledged.vote(journal, 1) },
		func() error { return acknowledged.append(journal, 1, 1, 30, true) },
		func() error { return acknowledged.append(journal, 1, 31, 40, false) },
		func() error { return acknowledged.append(journal, 2, 36, 70, true) },
		func() error { return acknowledged.save(journal, scheduler.SnapshotMeta{Index: 50, Term: 2}, 5) },
		func() error { return acknowledged.vote(journal, 3) },
		func() error { return acknowledged.append(journal, 3, 65, 90, true) },
		func() error { return acknowledged.save(journal, scheduler.SnapshotMeta{Index: 200, Term: 4}, 5) },
		func() error { return acknowledged.append(journal, 4, 201, 240, true) },
		func() error { return acknowledged.save(journal, scheduler.SnapshotMeta{Index: 220, Term: 4}, 3) },
		func() error { return acknowledged.append(journal, 5, 239, 241, true) },
		journal.Close,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

func (acknowledged *acknowledged) vote(journal *FolderJournal, term scheduler.Term) error {
	hardState := scheduler.HardState{Term: term, VotedFor: "couva-2", Incarnation: 7}
	acknowledged.hardState = append(acknowledged.hardState, hardState)
	err := journal.SaveHardState(hardState)
	if err == nil {
		acknowledged.hardState = []scheduler.HardState{hardState}
	}
	return err
}

func (acknowledged *acknowledged) append(journal *FolderJournal, term scheduler.Term, low, high scheduler.Index, sync bool) error {
	acknowledged.truncate(low)
	for _, entry := range entriesOf(term, low, high) {
		if err := journal.Append([]scheduler.Entry{entry}); err != nil {
			return err
		}
		acknowledged.terms[entry.Index] = term
	}
	if !sync {
		return nil
	}
	last, err := journal.Sync()
	if err == nil {
		acknowledged.last = last
	}
	return err
}

func (acknowledged *acknowledged) save(journal *FolderJournal, meta scheduler.SnapshotMeta, keep int) error {
	if meta.Index > journal.LastIndex() {
		acknowledged.truncate(1)
	}
	err := journal.SaveSnapshot(meta, keep, writeText(fmt.Sprint(meta.Index)))
	if err == nil {
		acknowledged.snapshot, acknowledged.last = meta.Index, max(acknowledged.last, meta.Index)
	}
	return err
}

// check compares a reopened journal with what was acknowledged.
func (acknowledged *acknowledged) check(t *testing.T, journal *FolderJournal) {
	t.Helper()
	if journal.LastIndex() < acknowledged.last {
		t.Fatalf("got last index %d, want at least %d", journal.LastIndex(), acknowledged.last)
	}
	if got := journal.HardState(); !slices.Contains(acknowledged.hardState, got) {
		t.Fatalf("got hard state %v, want one of %v", got, acknowledged.hardState)
	}
	meta, reader, ok, err := journal.OpenSnapshot()
	if err != nil || meta.Index < acknowledged.snapshot {
		t.Fatalf("got snapshot at %d, %v, want at least %d", meta.Index, err, acknowledged.snapshot)
	}
	if ok {
		must(t, reader.Close())
		wantSnapshot(t, journal, meta, fmt.Sprint(meta.Index))
	}
	if journal.FirstIndex() > meta.Index+1 {
		t.Fatalf("got first index %d with a snapshot at %d", journal.FirstIndex(), meta.Index)
	}
	for index := journal.FirstIndex(); index <= journal.LastIndex(); index++ {
		got, err := journal.Entries(index, index, 0)
		must(t, err)
		if want := entriesOf(got[0].Term, index, index); !reflect.DeepEqual(got, want) {
			t.Fatalf("got entry %v, want %v", got, want)
		}
		if index <= acknowledged.last && got[0].Term != acknowledged.terms[index] {
			t.Fatalf("got term %d for entry %d, want %d", got[0].Term, index, acknowledged.terms[index])
		}
		acknowledged.terms[index] = got[0].Term
	}
	// Entries that a restart has found are durable from then on.
	acknowledged.last = journal.LastIndex()
}

// TestNothingAcknowledgedIsLost fails each operation in turn, drops unsynced data, and reopens the journal.
// It guards against lost entries, votes and snapshots, and against writes after a failed sync.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	faults := map[string]fakeFileSystem{
		"crash":       {failure: errCrash, crash: true},
		"failed sync": {failure: errSync, onlyKind: "sync"},
		"full disk":   {failure: errDiskFull, onlyKind: "write"},
		"full folder": {failure: errDiskFull, onlyKind: "create"},
		"rename":      {failure: errSync, onlyKind: "rename"},
		"remove":      {failure: errSync, onlyKind: "remove"},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for failAt, hit := 1, true; hit; failAt++ {
				for seed := range uint64(4) {
					fake := newFakeFileSystem()
					fake.failure, fake.crash, fake.onlyKind, fake.failAt = fault.failure, fault.crash, fault.onlyKind, failAt
					hit = runWithFault(t, fake, rand.New(rand.NewPCG(seed, uint64(failAt))))
				}
			}
		})
	}
}

func runWithFault(t *testing.T, fake *fakeFileSystem, random *rand.Rand) (hit bool) {
	t.Helper()
	acknowledged := &acknowledged{terms: map[scheduler.Index]scheduler.Term{}, hardState: []scheduler.HardState{{}}}
	journal, err := open(fake, "/data", testIdentity, WithSegmentBytes(700))
	if err == nil {
		err = acknowledged.run(journal)
		if scheduler.ErrJournalFailed.Has(err) {
			wantFinal(t, journal)
		}
	}
	hit = fake.operations >= fake.failAt
	if fake.onlyKind == "sync" && fake.syncsAfterFailure > 0 {
		t.Errorf("got %d syncs after the failed one, want none", fake.syncsAfterFailure)
	}
	for range 2 {
		// The first restart crashes too.
		fake = fake.afterCrash(random)
		fake.failure, fake.crash, fake.failAt = errCrash, true, 1+random.IntN(12)
		_, _ = open(fake, "/data", testIdentity, WithSegmentBytes(700))
		fake = fake.afterCrash(random)
		journal, err := open(fake, "/data", testIdentity, WithSegmentBytes(700))
		if err != nil {
			t.Fatalf("got error %v on restart, want none", err)
		}
		acknowledged.check(t, journal)
		next := journal.LastIndex() + 1
		must(t, acknowledged.append(journal, 9, next, next+10, true))
	}
	return hit
}

// newFilledFolder returns a file system with three segments of a journal that was closed cleanly.
func newFilledFolder(t *testing.T) *fakeFileSystem {
	t.Helper()
	fake := newFakeFileSystem()
	journal, err := open(fake, "/data", testIdentity, WithSegmentBytes(700))
	must(t, err)
	for _, entry := range entriesOf(1, 1, 17) {
		must(t, journal.Append([]scheduler.Entry{entry}))
	}
	must(t, journal.Close())
	if got := len(fake.segmentNames()); got != 3 {
		t.Fatalf("got %d segments, want 3", got)
	}
	return fake
}

// TestFlippedBitIsNeverRepaired flips each bit of each file. It guards against a repair that discards
// acknowledged entries, including the last ones.
func TestFlippedBitIsNeverRepaired(t *testing.T) {
	fake := newFilledFolder(t)
	for name, file := range fake.current {
		for bit := range len(file.data) * 8 {
			file.data[bit/8] ^= 1 << (bit % 8)
			size := len(file.data)
			_, err := open(fake, "/data", testIdentity)
			if !errors.Is(err, ErrDamaged) || len(file.data) != size {
				t.Fatalf("%s bit %d: got error %v, size %d, want ErrDamaged, %d", name, bit, err, len(file.data), size)
			}
			file.data[bit/8] ^= 1 << (bit % 8)
		}
	}
}

// TestTornTailIsTruncated truncates the last segment at each byte. It guards against a restart that fails,
// or that keeps a partial entry, after an ordinary crash.
func TestTornTailIsTruncated(t *testing.T) {
	fake := newFilledFolder(t)
	names := fake.segmentNames()
	file := fake.current[names[2]]
	data := slices.Clone(file.data)
	for size := range data {
		for _, zeros := range []int{0, 1000} {
			file.data = append(slices.Clone(data[:size]), make([]byte, zeros)...)
			fake.current[names[2]] = file
			journal, err := open(fake, "/data", testIdentity)
			if err != nil {
				t.Fatalf("truncated at %d with %d zeros: got error %v, want none", size, zeros, err)
			}
			wantLog(t, journal, entriesOf(1, 1, journal.LastIndex()))
			must(t, journal.Close())
		}
	}
}

func TestRefusedFolder(t *testing.T) {
	cases := map[string]struct {
		change   func(fake *fakeFileSystem)
		identity Identity
		want     error
	}{
		// Guards against starting with an empty folder because a disk is not mounted.
		"missing data folder": {func(fake *fakeFileSystem) { clear(fake.current) }, testIdentity, ErrFolderMissing},
		// Guards against two processes that write to the same log.
		"locked": {func(fake *fakeFileSystem) { fake.locked["/data/groups/couva/lock"] = true }, testIdentity, ErrLocked},
		// Guards against two VMs that vote with the same log after a disk was copied.
		"other VM": {nil, NewIdentity("couva-2", "couva", 1), ErrOwnerMismatch},
		"other group": {func(fake *fakeFileSystem) {
			for name, file := range fake.current {
				fake.current["/data/groups/chaguanas/"+filepath.Base(name)] = file
			}
		}, NewIdentity("couva-1", "chaguanas", 1), ErrOwnerMismatch},
		// Guards against an older program that misreads the files of a newer one.
		"newer format": {func(fake *fakeFileSystem) {
			newer := identityRecord{Format: formatVersion + 1, VM: "couva-1", Group: "couva", Incarnation: 7}
			fake.current["/data/groups/couva/identity"].data, _ = appendFrame(nil, framePosition{}, record{Identity: &newer})
		}, testIdentity, ErrNewerFormat},
		// Guards against a log that starts empty because one of its files is missing.
		"no identity":    {func(fake *fakeFileSystem) { delete(fake.current, "/data/groups/couva/identity") }, testIdentity, ErrDamaged},
		"no hard state":  {func(fake *fakeFileSystem) { delete(fake.current, "/data/groups/couva/hardState") }, testIdentity, ErrDamaged},
		"first missing":  {func(fake *fakeFileSystem) { delete(fake.current, fake.segmentNames()[0]) }, testIdentity, ErrDamaged},
		"middle missing": {func(fake *fakeFileSystem) { delete(fake.current, fake.segmentNames()[1]) }, testIdentity, ErrDamaged},
		"middle truncated": {func(fake *fakeFileSystem) {
			file := fake.current[fake.segmentNames()[1]]
			file.data = file.data[:len(file.data)-1]
		}, testIdentity, ErrDamaged},
		"all segments missing": {func(fake *fakeFileSystem) {
			for _, name := range fake.segmentNames() {
				delete(fake.current, name)
			}
		}, testIdentity, ErrDamaged},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			fake := newFilledFolder(t)
			if test.change != nil {
				test.change(fake)
			}
			if _, err := open(fake, "/data", test.identity); !errors.Is(err, test.want) || !Error.Has(err) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
		})
	}
}

// TestLockOnDisk guards against two processes that write to the same folder.
func TestLockOnDisk(t *testing.T) {
	folder := t.TempDir()
	journal, err := Open(folder, testIdentity)
	must(t, err)
	if _, err := Open(folder, testIdentity); !errors.Is(err, ErrLocked) {
		t.Errorf("got error %v, want %v", err, ErrLocked)
	}
	must(t, journal.Close())
}

// TestDamagedSnapshot guards against a state machine that restores a partial state.
func TestDamagedSnapshot(t *testing.T) {
	folder := t.TempDir()
	journal, err := Open(folder, testIdentity)
	must(t, err)
	mustAppend(t, journal, 1, 1, 10)
	must(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 5, Term: 1}, 0, writeText("state")))
	name := filepath.Join(folder, "groups/couva", snapshotName(5))
	data, err := os.ReadFile(name)
	must(t, err)
	must(t, os.Truncate(name, int64(len(data)-1)))
	_, reader, _, err := journal.OpenSnapshot()
	must(t, err)
	if got, err := io.ReadAll(reader); !errors.Is(err, ErrDamaged) {
		t.Errorf("got %q, error %v, want %v", got, err, ErrDamaged)
	}
	must(t, errors.Join(reader.Close(), journal.Close()))
}

// TestSyncDuringAppend guards against a sync that reports entries as durable which replaced others
// while it ran.
func TestSyncDuringAppend(t *testing.T) {
	fake := newFakeFileSystem()
	journal, err := open(fake, "/data", testIdentity)
	must(t, err)
	mustAppend(t, journal, 1, 1, 10)
	fake.duringSync = func() { mustAppend(t, journal, 2, 5, 10) }
	if got, err := journal.Sync(); got != 4 || err != nil {
		t.Errorf("got sync %d, %v, want 4", got, err)
	}
}

// TestConcurrentSync guards against data races between Append, rotation and Sync.
func TestConcurrentSync(t *testing.T) {
	journal, err := Open(t.TempDir(), testIdentity, WithSegmentBytes(2000))
	must(t, err)
	var group sync.WaitGroup
	group.Go(func() {
		for range 50 {
			if _, err := journal.Sync(); err != nil {
				t.Errorf("got error %v, want none", err)
			}
		}
	})
	for index := range scheduler.Index(100) {
		mustAppend(t, journal, 1, index+1, index+1+index%3)
	}
	group.Wait()
	must(t, journal.Close())
}

// TestEntriesOfKilledProcess guards against entries that a restart finds in the page cache and reports as
// durable, but that a later power loss removes.
func TestEntriesOfKilledProcess(t *testing.T) {
	fake := newFakeFileSystem()
	journal, err := open(fake, "/data", testIdentity)
	must(t, err)
	mustAppend(t, journal, 1, 1, 10)
	clear(fake.locked)
	journal, err = open(fake, "/data", testIdentity)
	must(t, err)
	if got, err := journal.Sync(); got != 10 || err != nil {
		t.Errorf("got sync %d, %v, want 10", got, err)
	}
	for seed := range uint64(10) {
		after, err := open(fake.afterCrash(rand.New(rand.NewPCG(seed, 0))), "/data", testIdentity)
		must(t, err)
		wantLog(t, after, entriesOf(1, 1, 10))
	}
}

// TestHoleBeforeValidRecord guards against a repair that removes valid entries after a hole.
func TestHoleBeforeValidRecord(t *testing.T) {
	fake := newFakeFileSystem()
	journal, err := open(fake, "/data", testIdentity)
	must(t, err)
	mustAppend(t, journal, 1, 1, 20)
	must(t, journal.Close())
	clear(fake.current[fake.segmentNames()[0]].data[sectorBytes : 2*sectorBytes])
	if _, err := open(fake, "/data", testIdentity); !errors.Is(err, ErrDamaged) {
		t.Errorf("got error %v, want %v", err, ErrDamaged)
	}
}

// TestObsoleteFilesAreRemoved guards against a folder that grows without limit, and against the removal
// of entries that are still needed.
func TestObsoleteFilesAreRemoved(t *testing.T) {
	for keep := range 17 {
		fake := newFilledFolder(t)
		journal, err := open(fake, "/data", testIdentity)
		must(t, err)
		must(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 2, Term: 1}, 2, writeText("old")))
		must(t, journal.SaveSnapshot(scheduler.SnapshotMeta{Index: 17, Term: 1}, keep, writeText("new")))
		must(t, journal.Close())
		if _, found := fake.current["/data/groups/couva/"+snapshotName(2)]; found || keep == 0 && len(fake.segmentNames()) > 1 {
			t.Errorf("got old snapshot %v, %d segments, want none and 1", found, len(fake.segmentNames()))
		}
		journal, err = open(fake, "/data", testIdentity)
		must(t, err)
		if got, want := journal.FirstIndex(), scheduler.Index(18-keep); got != want {
			t.Errorf("got first index %d, want %d", got, want)
		}
		if keep > 0 {
			wantLog(t, journal, entriesOf(1, journal.FirstIndex(), 17))
		}
	}
}

// TestHoleInUnsyncedWrites guards against a restart that fails after a power loss, which keeps or drops each write
// after the last sync independently. Found with seed 102 of deploy/days/freeze-and-clocks.toml on bb-rehome.
func TestHoleInUnsyncedWrites(t *testing.T) {
	fake := newFakeFileSystem()
	journal, err := open(fake, "/data", testIdentity)
	must(t, err)
	mustAppend(t, journal, 1, 1, 10)
	if _, err := journal.Sync(); err != nil {
		t.Fatal(err)
	}
	name := fake.segmentNames()[0]
	synced := len(fake.current[name].data)
	for index := scheduler.Index(11); index <= 13; index++ {
		must(t, journal.Append(entriesOf(1, index, index)))
	}
	clear(fake.current[name].data[synced : synced+40])
	clear(fake.locked)
	journal, err = open(fake, "/data", testIdentity)
	must(t, err)
	wantLog(t, journal, entriesOf(1, 1, 10))
}

// TestWriteTornWithinASector guards against a restart that fails after a power loss that tore the last write at an
// arbitrary byte. In a simulated run of bb-rehome, a VM exited at every restart because of it.
func TestWriteTornWithinASector(t *testing.T) {
	fake := newFakeFileSystem()
	journal, err := open(fake, "/data", testIdentity)
	must(t, err)
	mustAppend(t, journal, 1, 1, 10)
	name := fake.segmentNames()[0]
	synced := len(fake.current[name].data)
	must(t, journal.Append(entriesOf(1, 11, 11)))
	complete := append([]byte(nil), fake.current[name].data...)
	for torn := synced; torn < len(complete); torn++ {
		fake.current[name].data = append(fake.current[name].data[:0], complete...)
		clear(fake.current[name].data[torn:])
		clear(fake.locked)
		journal, err = open(fake, "/data", testIdentity)
		must(t, err)
		wantLog(t, journal, entriesOf(1, 1, 10))
	}
}

// TestEachUnsyncedWriteIsTornByItself guards against a restart that fails after a power loss that dropped one write
// and tore the next one: the hole is shorter than a sector, and no valid record follows it. In a simulated run of
// cmgsu-plank-grown, a VM failed to start 105 times because of it.
func TestEachUnsyncedWriteIsTornByItself(t *testing.T) {
	fake := newFakeFileSystem()
	journal, err := open(fake, "/data", testIdentity)
	must(t, err)
	mustAppend(t, journal, 1, 1, 10)
	name := fake.segmentNames()[0]
	first := len(fake.current[name].data)
	must(t, journal.Append(entriesOf(1, 11, 11)))
	second := len(fake.current[name].data)
	must(t, journal.Append(entriesOf(1, 12, 12)))
	complete := append([]byte(nil), fake.current[name].data...)
	for kept := first; kept < second; kept++ {
		for end := second; end < len(complete); end++ {
			data := append([]byte(nil), complete[:end]...)
			clear(data[kept:second])
			fake.current[name].data = data
			clear(fake.locked)
			journal, err = open(fake, "/data", testIdentity)
			if err != nil {
				t.Fatalf("got %v with %d bytes of the first write and %d of the second", err, kept-first, end-second)
			}
			wantLog(t, journal, entriesOf(1, 1, 10))
		}
	}
}
