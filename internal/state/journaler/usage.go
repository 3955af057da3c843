package journaler

import "sync/atomic"

// Usage is the room that a journal takes on its disk.
type Usage struct{ folderBytes, logBytes int64 }

// FolderBytes returns the size of all files in the folder of the group.
func (usage Usage) FolderBytes() int64 { return usage.folderBytes }

// LogBytes returns the size of the log that was written since the last snapshot was started. After Open, it is the size
// of the whole log that was read.
func (usage Usage) LogBytes() int64 { return usage.logBytes }

// Usage returns the room that the journal takes. It lists the folder and does not wait for a write or a sync of the
// journal.
func (folderJournal *FolderJournal) Usage() (Usage, error) {
	folder := folderJournal.folder
	bytes, err := folder.fileSystem.folderBytes(folder.name)
	if err != nil {
		return Usage{}, Error.New("read %s: %w", folder.name, err)
	}
	return Usage{folderBytes: bytes, logBytes: folderJournal.LogBytes()}, nil
}

// LogBytes returns the same as Usage().LogBytes() without an access to the disk.
func (folderJournal *FolderJournal) LogBytes() int64 { return folderJournal.written.sinceSnapshot() }

// logMeter counts the bytes written to the log. It is safe for concurrent use.
type logMeter struct {
	// total counts the bytes written. atStart and atSnapshot are its values when the last snapshot was started, and
	// when the last one that was saved was started.
	total, atStart, atSnapshot atomic.Int64
}

func (logMeter *logMeter) add(bytes int) { logMeter.total.Add(int64(bytes)) }

func (logMeter *logMeter) startSnapshot() { logMeter.atStart.Store(logMeter.total.Load()) }

func (logMeter *logMeter) finishSnapshot() { logMeter.atSnapshot.Store(logMeter.atStart.Load()) }

func (logMeter *logMeter) sinceSnapshot() int64 {
	return logMeter.total.Load() - logMeter.atSnapshot.Load()
}
