package journaler

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

// fakeFileSystem keeps files in memory, fails one chosen operation, and drops what was not synced when
// it crashes.
type fakeFileSystem struct {
	now, durable map[string]*fakeFile
	locked       map[string]bool
	// steps counts the operations that change something. Step failAt fails with fault; with crash
	// set, every later one fails too, as if the process had ended.
	steps, failAt int
	fault         error
	only          string
	crash         bool
	syncsAfter    int
	// duringSync, if set, is called while a file is being synced.
	duringSync func()
}

type fakeFile struct{ data, synced []byte }

func newFakeFileSystem() *fakeFileSystem {
	fake := &fakeFileSystem{now: map[string]*fakeFile{}, durable: map[string]*fakeFile{}, locked: map[string]bool{}}
	fake.now["/data/.keep"], fake.durable["/data/.keep"] = &fakeFile{}, &fakeFile{}
	return fake
}

// step returns the error of an operation. With only set, operations of other kinds are not counted.
func (fake *fakeFileSystem) step(kind string) error {
	if fake.failAt > 0 && fake.steps >= fake.failAt && kind == "sync" {
		fake.syncsAfter++
	}
	if fake.only == "" || fake.only == kind {
		fake.steps++
	}
	if fake.steps == fake.failAt && (fake.only == "" || fake.only == kind) || fake.crash && fake.failAt > 0 && fake.steps > fake.failAt {
		return fake.fault
	}
	return nil
}

// afterCrash returns what the next process finds: for every name and every unsynced write, a random
// choice of what may have reached the disk.
func (fake *fakeFileSystem) afterCrash(random *rand.Rand) *fakeFileSystem {
	next := newFakeFileSystem()
	for _, name := range fake.allNames() {
		file, found := fake.durable[name]
		if random.IntN(2) == 0 {
			file, found = fake.now[name]
		}
		if found {
			data := file.tear(random)
			next.now[name] = &fakeFile{data: data, synced: slices.Clone(data)}
			next.durable[name] = next.now[name]
		}
	}
	return next
}

// allNames returns the current and the durable names in order.
func (fake *fakeFileSystem) allNames() []string {
	all := maps.Clone(fake.durable)
	maps.Copy(all, fake.now)
	return slices.Sorted(maps.Keys(all))
}

// tear returns the synced data and a part of the rest, which may end in sectors of zeros.
func (fakeFile *fakeFile) tear(random *rand.Rand) []byte {
	if !bytes.HasPrefix(fakeFile.data, fakeFile.synced) || len(fakeFile.data) == len(fakeFile.synced) {
		return slices.Clone([][]byte{fakeFile.synced, fakeFile.data}[random.IntN(2)])
	}
	size := len(fakeFile.synced) + random.IntN(len(fakeFile.data)-len(fakeFile.synced)+1)
	data := slices.Clone(fakeFile.data[:size])
	if random.IntN(3) == 0 {
		start := max(len(fakeFile.synced), size-size%sectorBytes)
		clear(data[start:])
	}
	return data
}

func (fake *fakeFileSystem) makeFolder(name string) error {
	fake.now[name+"/.keep"], fake.durable[name+"/.keep"] = &fakeFile{}, &fakeFile{}
	return nil
}

func (fake *fakeFileSystem) names(folder string) (names []string, err error) {
	for name := range fake.now {
		if filepath.Dir(name) == folder {
			names = append(names, filepath.Base(name))
		}
	}
	if names == nil {
		return nil, fs.ErrNotExist
	}
	return names, nil
}

func (fake *fakeFileSystem) readFile(name string) ([]byte, error) {
	if file, found := fake.now[name]; found {
		return slices.Clone(file.data), nil
	}
	return nil, fs.ErrNotExist
}

func (fake *fakeFileSystem) open(name string) (io.ReadCloser, error) {
	data, err := fake.readFile(name)
	return io.NopCloser(bytes.NewReader(data)), err
}

func (fake *fakeFileSystem) create(name string) (file, error) {
	if err := fake.step("create"); err != nil {
		return nil, err
	}
	fake.now[name] = &fakeFile{}
	return &fakeHandle{fake: fake, file: fake.now[name]}, nil
}

func (fake *fakeFileSystem) openEnd(name string) (file, error) {
	return &fakeHandle{fake: fake, file: fake.now[name]}, nil
}

func (fake *fakeFileSystem) rename(from, to string) error {
	if err := fake.step("rename"); err != nil {
		return err
	}
	fake.now[to] = fake.now[from]
	delete(fake.now, from)
	return nil
}

func (fake *fakeFileSystem) remove(name string) error {
	if err := fake.step("remove"); err != nil {
		return err
	}
	delete(fake.now, name)
	return nil
}

func (fake *fakeFileSystem) syncFolder(folder string) error {
	if err := fake.step("sync"); err != nil {
		return err
	}
	for _, name := range fake.allNames() {
		if filepath.Dir(name) != folder {
			continue
		}
		delete(fake.durable, name)
		if file, found := fake.now[name]; found {
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
	fake *fakeFileSystem
	file *fakeFile
}

// Write writes the first half of the data when it fails, as a full disk does.
func (fakeHandle *fakeHandle) Write(data []byte) (int, error) {
	if err := fakeHandle.fake.step("write"); err != nil {
		fakeHandle.file.data = append(fakeHandle.file.data, data[:len(data)/2]...)
		return len(data) / 2, err
	}
	fakeHandle.file.data = append(fakeHandle.file.data, data...)
	return len(data), nil
}

func (fakeHandle *fakeHandle) Sync() error {
	if err := fakeHandle.fake.step("sync"); err != nil {
		return err
	}
	fakeHandle.file.synced = slices.Clone(fakeHandle.file.data)
	if fakeHandle.fake.duringSync != nil {
		fakeHandle.fake.duringSync()
	}
	return nil
}

func (fakeHandle *fakeHandle) Truncate(size int64) error {
	if err := fakeHandle.fake.step("write"); err != nil {
		return err
	}
	fakeHandle.file.data = fakeHandle.file.data[:size]
	return nil
}

func (fakeHandle *fakeHandle) Close() error { return nil }

// segmentNames returns the paths of the segments in ascending order.
func (fake *fakeFileSystem) segmentNames() []string {
	names := slices.Sorted(maps.Keys(fake.now))
	return slices.DeleteFunc(names, func(name string) bool { return !strings.HasSuffix(name, segmentSuffix) })
}

var (
	errCrash    = errors.New("process ended")
	errDiskFull = syscall.ENOSPC
	errSync     = syscall.EIO
)
