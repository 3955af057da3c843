package journaler

import (
	"errors"
	"io"
	"path/filepath"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// temporarySuffix is the suffix of files that have not yet been renamed to their final name.
const temporarySuffix = ".temporary"

// folder is a group's folder on a file system.
type folder struct {
	fileSystem fileSystem
	name       string
}

func (folder folder) path(name string) string { return filepath.Join(folder.name, name) }

// prepareFolder creates the group's folder below the data folder. The data folder itself must exist, which
// detects a disk that is not mounted. The group's folder is synced, because an earlier user of it may have failed before
// the names that it changed became durable, and files that they replace are removed later without a sync.
func prepareFolder(fileSystem fileSystem, dataFolder string, group scheduler.GroupName) (folder, error) {
	if _, err := fileSystem.names(dataFolder); err != nil {
		return folder{}, Error.New("%w: %s: %w", ErrFolderMissing, dataFolder, err)
	}
	groups := filepath.Join(dataFolder, "groups")
	result := folder{fileSystem: fileSystem, name: filepath.Join(groups, string(group))}
	for _, step := range []struct{ parent, name string }{{dataFolder, groups}, {groups, result.name}} {
		if err := fileSystem.makeFolder(step.name); err != nil {
			return folder{}, Error.New("create %s: %w", step.name, withReason(err))
		}
		if err := fileSystem.syncFolder(step.parent); err != nil {
			return folder{}, finalError("sync "+step.parent, err)
		}
	}
	if err := fileSystem.syncFolder(result.name); err != nil {
		return folder{}, finalError("sync "+result.name, err)
	}
	return result, nil
}

// readRecordFile reads a file that contains one frame. The frame must be complete, because such files are renamed to
// their final name only after they are synced.
func (folder folder) readRecordFile(name string) (record, error) {
	data, err := folder.fileSystem.readFile(folder.path(name))
	if err != nil {
		return record{}, Error.New("read %s: %w", folder.path(name), err)
	}
	result, size, ok := readFrame(framePosition{}, data)
	if !ok || size != len(data) {
		return record{}, Error.New("%w: %s: invalid record at offset 0", ErrDamaged, folder.path(name))
	}
	return result, nil
}

// writeRecordFile atomically replaces a file with one that contains one frame.
func (folder folder) writeRecordFile(name string, record record) error {
	frame, err := appendFrame(nil, framePosition{}, record)
	if err != nil {
		return err
	}
	return folder.replaceFile(name, func(w io.Writer) error {
		_, err := w.Write(frame)
		return err
	})
}

// replaceFile atomically replaces a file: it writes a temporary file, syncs it, renames it to its final name and
// syncs the folder. After a crash in between, the old file is intact. An error is of class ErrJournalFailed only
// if a sync failed or the rename may have happened; any other error leaves the old file in place.
func (folder folder) replaceFile(name string, write func(w io.Writer) error) error {
	temporary := folder.path(name + temporarySuffix)
	file, err := folder.fileSystem.create(temporary)
	if err != nil {
		return Error.New("create %s: %w", temporary, withReason(err))
	}
	if err := write(file); err != nil {
		err = errors.Join(err, file.Close(), folder.fileSystem.remove(temporary))
		return Error.New("write %s: %w", folder.path(name), withReason(err))
	}
	if err := file.Sync(); err != nil {
		return finalError("sync "+temporary, errors.Join(err, file.Close()))
	}
	if err := file.Close(); err != nil {
		return finalError("close "+temporary, err)
	}
	if err := folder.fileSystem.rename(temporary, folder.path(name)); err != nil {
		return finalError("rename to "+folder.path(name), err)
	}
	if err := folder.fileSystem.syncFolder(folder.name); err != nil {
		return finalError("sync "+folder.name, err)
	}
	return nil
}

// loadHardState reads the hard state, or returns nil if the folder has none.
func (folder folder) loadHardState(names map[string]bool) (*scheduler.HardState, error) {
	if !names["hardState"] {
		return nil, nil
	}
	stored, err := folder.readRecordFile("hardState")
	if err != nil {
		return nil, err
	}
	if stored.HardState == nil {
		return nil, Error.New("%w: %s: no hard state record", ErrDamaged, folder.path("hardState"))
	}
	return stored.HardState, nil
}
