package scheduler

// MeasuredJournal is a Journal on a disk that knows how much room it takes there.
type MeasuredJournal interface {
	Journal
	// Usage returns the room that the journal takes. It is safe for concurrent use and does not wait for the disk.
	Usage() JournalUsage
}

// JournalUsage is the room that a journal takes on its disk.
type JournalUsage struct{ folderBytes, logBytes int64 }

// NewJournalUsage returns a JournalUsage.
func NewJournalUsage(folderBytes, logBytes int64) JournalUsage {
	return JournalUsage{folderBytes: folderBytes, logBytes: logBytes}
}

// FolderBytes returns the size of all files of the journal.
func (journalUsage JournalUsage) FolderBytes() int64 { return journalUsage.folderBytes }

// LogBytes returns the number of bytes written to the log since the last saved snapshot was started. After a restart,
// it includes the whole log that was read.
func (journalUsage JournalUsage) LogBytes() int64 { return journalUsage.logBytes }
