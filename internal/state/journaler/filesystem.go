package journaler

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// fileSystem abstracts the file operations that the package uses. Tests replace it to inject faults and to
// drop data that was not synced.
type fileSystem interface {
	// makeFolder creates a folder. It succeeds if the folder already exists.
	makeFolder(name string) error
	// names returns the names of the files in a folder.
	names(folder string) ([]string, error)
	// folderBytes returns the size of the files in a folder.
	folderBytes(folder string) (int64, error)
	// readFile returns the contents of a file as stored on the disk.
	readFile(name string) ([]byte, error)
	// open opens a file for reading.
	open(name string) (io.ReadCloser, error)
	// create creates a file, or truncates an existing one, and opens it for writing.
	create(name string) (file, error)
	// openAppend opens an existing file for appending.
	openAppend(name string) (file, error)
	rename(from, to string) error
	remove(name string) error
	// syncFolder makes the creation, renaming and removal of files in a folder durable.
	syncFolder(name string) error
	// lock takes an exclusive lock on a file. It returns ErrLocked if another process holds the lock.
	lock(name string) (io.Closer, error)
}

// file is a file that is open for writing.
type file interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}

type osFileSystem struct{}

func (osFileSystem) makeFolder(name string) error {
	if err := os.Mkdir(name, 0o750); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return nil
}

func (osFileSystem) names(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// folderBytes ignores files that are removed while it runs.
func (osFileSystem) folderBytes(folder string) (bytes int64, err error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return 0, err
	}
	for _, entry := range entries {
		info, err := entry.Info()
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return 0, err
		}
		bytes += info.Size()
	}
	return bytes, nil
}

// readFile syncs the file and drops its pages from the page cache before reading. After a failed sync, Linux
// keeps pages in the cache that are marked clean but were never written to the disk; reading those would make
// entries that are not durable look durable.
func (osFileSystem) readFile(name string) (data []byte, err error) {
	file, err := os.Open(filepath.Clean(name))
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	if err := file.Sync(); err != nil {
		return nil, err
	}
	// A file system that does not support the advice has no page cache to drop.
	_ = unix.Fadvise(int(file.Fd()), 0, 0, unix.FADV_DONTNEED)
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	data = make([]byte, info.Size())
	_, err = io.ReadFull(file, data)
	return data, err
}

func (osFileSystem) open(name string) (io.ReadCloser, error) { return os.Open(filepath.Clean(name)) }

func (osFileSystem) create(name string) (file, error) {
	return os.OpenFile(filepath.Clean(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, 0o600)
}

func (osFileSystem) openAppend(name string) (file, error) {
	return os.OpenFile(filepath.Clean(name), os.O_WRONLY|os.O_APPEND, 0o600)
}

func (osFileSystem) rename(from, to string) error { return os.Rename(from, to) }

func (osFileSystem) remove(name string) error { return os.Remove(name) }

func (osFileSystem) syncFolder(name string) error {
	folder, err := os.Open(filepath.Clean(name))
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

func (osFileSystem) lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(filepath.Clean(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		closeErr := file.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, errors.Join(ErrLocked, closeErr)
		}
		return nil, errors.Join(err, closeErr)
	}
	return file, nil
}
