package journaler

import (
	"errors"
	"strings"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Option configures a FolderJournal.
type Option func(folderJournal *FolderJournal)

// WithSegmentBytes sets the size at which a new segment is started. The default is 16 MiB.
func WithSegmentBytes(bytes int64) Option {
	return func(folderJournal *FolderJournal) { folderJournal.segmentBytes = bytes }
}

// Open opens the folder of a group below the data folder, creating it if it does not exist, and locks it until
// Close. An incomplete write at the end of the log, which was never acknowledged, is truncated. A folder that
// cannot be used is reported with one of ErrFolderMissing, ErrLocked, ErrOwnerMismatch, ErrNewerFormat and
// ErrDamaged in the chain of the error, and its contents stay unchanged. An existing folder opens on a full disk; a new
// one is refused with ErrNoRoom in the chain.
func Open(dataFolder string, identity Identity, options ...Option) (*FolderJournal, error) {
	return open(osFileSystem{}, dataFolder, identity, options...)
}

func open(fileSystem fileSystem, dataFolder string, identity Identity, options ...Option) (*FolderJournal, error) {
	if err := identity.check(); err != nil {
		return nil, err
	}
	folder, err := prepareFolder(fileSystem, dataFolder, identity.group)
	if err != nil {
		return nil, err
	}
	lock, err := fileSystem.lock(folder.path("lock"))
	if err != nil {
		return nil, Error.New("lock %s: %w", folder.name, withReason(err))
	}
	folderJournal := &FolderJournal{folder: folder, lock: lock, segmentBytes: defaultSegmentBytes}
	for _, option := range options {
		option(folderJournal)
	}
	if err := folderJournal.load(identity); err != nil {
		if folderJournal.file != nil {
			err = errors.Join(err, folderJournal.file.Close())
		}
		return nil, errors.Join(err, lock.Close())
	}
	return folderJournal, nil
}

// names returns the names of the files in the folder.
func (folder folder) names() (map[string]bool, error) {
	list, err := folder.fileSystem.names(folder.name)
	if err != nil {
		return nil, Error.New("read %s: %w", folder.name, err)
	}
	names := make(map[string]bool, len(list))
	for _, name := range list {
		names[name] = true
	}
	return names, nil
}

// load reads the folder. The files of a new folder are created in the order identity, first segment, hard state,
// so a folder without a hard state is one whose creation was interrupted and that has no entries yet.
func (folderJournal *FolderJournal) load(identity Identity) (err error) {
	folder := folderJournal.folder
	names, err := folder.names()
	if err != nil {
		return err
	}
	if !names["identity"] && (names["hardState"] || len(fileNumbers(names, segmentSuffix)) > 0) {
		return Error.New("%w: %s: missing, but other files exist", ErrDamaged, folder.path("identity"))
	}
	if folderJournal.identity, err = folder.loadIdentity(identity); err != nil {
		return err
	}
	hardState, err := folder.loadHardState(names)
	if err != nil {
		return err
	}
	header, hasSnapshot, err := folder.loadSnapshot(names)
	if err != nil {
		return err
	}
	if hasSnapshot {
		folderJournal.log.snapshot = header.Meta
	}
	if err := folderJournal.loadSegments(names, hardState != nil); err != nil {
		return err
	}
	if err := folderJournal.initHardState(hardState); err != nil {
		return err
	}
	if hasSnapshot {
		if err := folderJournal.applySnapshot(header); err != nil {
			return err
		}
	}
	folder.removeTemporary(temporarySuffix)
	folderJournal.measureFolder()
	return nil
}

// loadSegments reads the log and opens its last segment for writing. It syncs that segment to make entries durable
// that an earlier process wrote but did not sync.
func (folderJournal *FolderJournal) loadSegments(names map[string]bool, complete bool) error {
	reader := &logReader{folder: folderJournal.folder, log: &folderJournal.log}
	if err := reader.read(fileNumbers(names, segmentSuffix)); err != nil {
		return err
	}
	folderJournal.segments = reader.segments
	for _, segment := range reader.segments {
		folderJournal.usage.addLog(segment.size)
	}
	if len(reader.segments) == 0 {
		if complete {
			return Error.New("%w: %s: no segments", ErrDamaged, folderJournal.folder.name)
		}
		return folderJournal.startSegment(false)
	}
	name := folderJournal.folder.segmentPath(reader.segments[len(reader.segments)-1].number)
	file, err := folderJournal.folder.fileSystem.openAppend(name)
	if err != nil {
		return Error.New("open %s: %w", name, err)
	}
	folderJournal.file = file
	if err := file.Sync(); err != nil {
		return finalError("sync "+name, err)
	}
	folderJournal.durableIndex = folderJournal.log.lastIndex()
	folderJournal.durableSize = reader.segments[len(reader.segments)-1].size
	return nil
}

// initHardState sets the loaded hard state, or writes the first one to complete the creation of the folder.
func (folderJournal *FolderJournal) initHardState(hardState *scheduler.HardState) error {
	if hardState != nil {
		folderJournal.hardState = *hardState
		return nil
	}
	if folderJournal.log.lastIndex() > 0 || folderJournal.log.snapshot.Index > 0 {
		return Error.New("%w: %s: missing, but the log has entries", ErrDamaged, folderJournal.folder.path("hardState"))
	}
	return folderJournal.folder.writeRecordFile("hardState", record{HardState: &scheduler.HardState{}})
}

// removeTemporary removes temporary files with the given suffix that a refused or interrupted write has left. A file that
// cannot be removed is harmless; the next snapshot and the next Open try again.
func (folder folder) removeTemporary(suffix string) {
	names, err := folder.names()
	if err != nil {
		return
	}
	for name := range names {
		if strings.HasSuffix(name, suffix) {
			_ = folder.fileSystem.remove(folder.path(name))
		}
	}
}
