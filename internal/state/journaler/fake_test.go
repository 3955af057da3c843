package journaler

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

// fakeFileSystem is an in-memory fileSystem that can fail a chosen operation, and that drops unsynced data
// in afterCrash.
type fakeFileSystem struct {
	current, durable map[string]*fakeFile
	locked           map[string]bool
	// operations counts the operations that change something. Operation failAt fails with failure; with
	// crash set, every later one fails too, as if the process had ended. If onlyKind is set, only
	// operations of that kind are counted. failCount operations fail in turn, or one if it is 0.
	operations, failAt, failCount int
	failure                       error
	onlyKind                      string
	crash                         bool
	syncsAfterFailure             int
	// duringSync, if set, is called while a file is being synced.
	duringSync func()
	// refused holds the errors with which operations fail, by kind, until the test removes them.
	refused map[string]error
	// room is the number of bytes that the disk holds, or 0 for no limit. peak is the largest number that it held.
	room, peak int
	// openFiles is the number of handles that are not closed.
	openFiles int
}

// fakeFile is a file. data is what the page cache holds, synced what a completed sync has covered. After a failed sync,
// the cache holds the bytes from lostFrom to lostTo, which never reach the disk, as on Linux.
type fakeFile struct {
	data, synced     []byte
	lostFrom, lostTo int
}

// onDisk returns the data without the bytes that a failed sync has lost.
func (fakeFile *fakeFile) onDisk() []byte {
	data := slices.Clone(fakeFile.data)
	clear(data[min(fakeFile.lostFrom, len(data)):min(fakeFile.lostTo, len(data))])
	return data
}

func newFakeFileSystem() *fakeFileSystem {
	fake := &fakeFileSystem{current: map[string]*fakeFile{}, durable: map[string]*fakeFile{}, locked: map[string]bool{}}
	fake.current["/data/.keep"], fake.durable["/data/.keep"] = &fakeFile{}, &fakeFile{}
	return fake
}

// countOperation counts an operation and returns the error with which it fails, or nil.
func (fake *fakeFileSystem) countOperation(kind string) error {
	if fake.failAt > 0 && fake.operations >= fake.failAt && kind == "sync" {
		fake.syncsAfterFailure++
	}
	if fake.onlyKind == "" || fake.onlyKind == kind {
		fake.operations++
	}
	if err := fake.refused[kind]; err != nil {
		return err
	}
	last := fake.failAt + max(fake.failCount, 1) - 1
	if fake.operations >= fake.failAt && fake.operations <= last && (fake.onlyKind == "" || fake.onlyKind == kind) ||
		fake.crash && fake.failAt > 0 && fake.operations > fake.failAt {
		return fake.failure
	}
	return nil
}

// afterCrash returns the files that the next process finds. For every name and every unsynced write, it
// chooses at random what has reached the disk.
func (fake *fakeFileSystem) afterCrash(random *rand.Rand) *fakeFileSystem {
	next := newFakeFileSystem()
	for _, name := range fake.allNames() {
		file, found := fake.durable[name]
		if random.IntN(2) == 0 {
			file, found = fake.current[name]
		}
		if found {
			data := file.tornData(random)
			next.current[name] = &fakeFile{data: data, synced: slices.Clone(data)}
			next.durable[name] = next.current[name]
		}
	}
	return next
}

// allNames returns the current and the durable names in ascending order.
func (fake *fakeFileSystem) allNames() []string {
	all := maps.Clone(fake.durable)
	maps.Copy(all, fake.current)
	return slices.Sorted(maps.Keys(all))
}

// tornData returns the synced data and a part of the unsynced data, which may end in zeros.
func (fakeFile *fakeFile) tornData(random *rand.Rand) []byte {
	written := fakeFile.onDisk()
	if !bytes.HasPrefix(written, fakeFile.synced) || len(written) == len(fakeFile.synced) {
		return slices.Clone([][]byte{fakeFile.synced, written}[random.IntN(2)])
	}
	size := len(fakeFile.synced) + random.IntN(len(written)-len(fakeFile.synced)+1)
	data := written[:size]
	if random.IntN(3) == 0 {
		start := max(len(fakeFile.synced), size-size%sectorBytes)
		clear(data[start:])
	}
	return data
}

func (fake *fakeFileSystem) makeFolder(name string) error {
	fake.current[name+"/.keep"], fake.durable[name+"/.keep"] = &fakeFile{}, &fakeFile{}
	return nil
}

func (fake *fakeFileSystem) names(folder string) (names []string, err error) {
	for name := range fake.current {
		if filepath.Dir(name) == folder {
			names = append(names, filepath.Base(name))
		}
	}
	if names == nil {
		return nil, fs.ErrNotExist
	}
	return names, nil
}

func (fake *fakeFileSystem) folderBytes(folder string) (bytes int64, err error) {
	for name, file := range fake.current {
		if filepath.Dir(name) == folder {
			bytes += int64(len(file.data))
		}
	}
	return bytes, nil
}

func (fake *fakeFileSystem) readFile(name string) ([]byte, error) {
	file, found := fake.current[name]
	if !found {
		return nil, fs.ErrNotExist
	}
	if file.lostTo > 0 {
		// The pages are dropped and read from the disk.
		file.data, file.lostFrom, file.lostTo = file.onDisk(), 0, 0
	}
	return slices.Clone(file.data), nil
}

func (fake *fakeFileSystem) open(name string) (io.ReadCloser, error) {
	data, err := fake.readFile(name)
	return io.NopCloser(bytes.NewReader(data)), err
}

func (fake *fakeFileSystem) create(name string) (file, error) {
	if err := fake.countOperation("create"); err != nil {
		return nil, err
	}
	fake.current[name] = &fakeFile{}
	return fake.handle(name), nil
}

func (fake *fakeFileSystem) openAppend(name string) (file, error) { return fake.handle(name), nil }

func (fake *fakeFileSystem) handle(name string) *fakeHandle {
	fake.openFiles++
	return &fakeHandle{fake: fake, file: fake.current[name]}
}

// used returns the number of bytes on the disk.
func (fake *fakeFileSystem) used() (bytes int) {
	for _, file := range fake.current {
		bytes += len(file.data)
	}
	return bytes
}

func (fake *fakeFileSystem) rename(from, to string) error {
	if err := fake.countOperation("rename"); err != nil {
		return err
	}
	fake.current[to] = fake.current[from]
	delete(fake.current, from)
	return nil
}

func (fake *fakeFileSystem) remove(name string) error {
	if err := fake.countOperation("remove"); err != nil {
		return err
	}
	delete(fake.current, name)
	return nil
}

func (fake *fakeFileSystem) syncFolder(folder string) error {
	if err := fake.countOperation("sync"); err != nil {
		return err
	}
	for _, name := range fake.allNames() {
		if filepath.Dir(name) != folder {
			continue
		}
		delete(fake.durable, name)
		if file, found := fake.current[name]; found {
			fake.durable[name] = file
		}
	}
	return nil
}

func (fake *fakeFileSystem) lock(name string) (io.Closer, error) {
	if fake.locked[name] {
		return nil, ErrLocked
	}
	fake.locked[name] = true
	return closerFunc(func() error { fake.locked[name] = false; return nil }), nil
}

type closerFunc func() error

func (closerFunc closerFunc) Close() error { return closerFunc() }

type fakeHandle struct {
	fake   *fakeFileSystem
	file   *fakeFile
	closed bool
}

// Write writes only the first half of the data when it fails, like a full disk.
func (fakeHandle *fakeHandle) Write(data []byte) (int, error) {
	if err := fakeHandle.fake.countOperation("write"); err != nil {
		fakeHandle.file.data = append(fakeHandle.file.data, data[:len(data)/2]...)
		return len(data) / 2, err
	}
	if fake := fakeHandle.fake; fake.room > 0 {
		used := fake.used()
		if free := max(fake.room-used, 0); free < len(data) {
			fakeHandle.file.data = append(fakeHandle.file.data, data[:free]...)
			return free, errDiskFull
		}
		fake.peak = max(fake.peak, used+len(data))
	}
	fakeHandle.file.data = append(fakeHandle.file.data, data...)
	return len(data), nil
}

func (fakeHandle *fakeHandle) Sync() error {
	if err := fakeHandle.fake.countOperation("sync"); err != nil {
		if !fakeHandle.fake.crash {
			fakeHandle.file.lostFrom, fakeHandle.file.lostTo = len(fakeHandle.file.synced), len(fakeHandle.file.data)
		}
		return err
	}
	fakeHandle.file.synced = fakeHandle.file.onDisk()
	if fakeHandle.fake.duringSync != nil {
		fakeHandle.fake.duringSync()
	}
	return nil
}

func (fakeHandle *fakeHandle) Truncate(size int64) error {
	if err := fakeHandle.fake.refused["truncate"]; err != nil {
		return err
	}
	if err := fakeHandle.fake.countOperation("write"); err != nil {
		return err
	}
	fakeHandle.file.data = fakeHandle.file.data[:size]
	return nil
}

func (fakeHandle *fakeHandle) Close() error {
	if fakeHandle.closed {
		return os.ErrClosed
	}
	fakeHandle.closed = true
	fakeHandle.fake.openFiles--
	return nil
}

// segmentNames returns the paths of the segments in ascending order.
func (fake *fakeFileSystem) segmentNames() []string {
	names := slices.Sorted(maps.Keys(fake.current))
	return slices.DeleteFunc(names, func(name string) bool { return !strings.HasSuffix(name, segmentSuffix) })
}

var (
	errCrash    = errors.New("process ended")
	errDiskFull = syscall.ENOSPC
	errSync     = syscall.EIO
)
