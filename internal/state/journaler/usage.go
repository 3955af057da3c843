package journaler

import (
	"sync"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var _ scheduler.MeasuredJournal = (*FolderJournal)(nil)

// Usage returns the room that the journal takes. It does not access the disk, which may be stalled: the folder is
// measured by Open and by SaveSnapshot, and what is appended later is added.
func (folderJournal *FolderJournal) Usage() scheduler.JournalUsage { return folderJournal.usage.read() }

// measureFolder updates the size of the folder. If the folder cannot be listed, the last size remains.
func (folderJournal *FolderJournal) measureFolder() {
	folder := folderJournal.folder
	if bytes, err := folder.fileSystem.folderBytes(folder.name); err == nil {
		folderJournal.usage.setFolder(bytes)
	}
}

// usageMeter counts the bytes that a journal writes. It is safe for concurrent use.
type usageMeter struct {
	mutex sync.Mutex
	// folder is the size of the folder.
	folder int64
	// log is the number of bytes written to the log since the last saved snapshot was started, and sinceStart since the
	// last snapshot was started.
	log, sinceStart int64
}

func (usageMeter *usageMeter) addLog(bytes int64) {
	usageMeter.mutex.Lock()
	defer usageMeter.mutex.Unlock()
	usageMeter.folder += bytes
	usageMeter.log += bytes
	usageMeter.sinceStart += bytes
}

func (usageMeter *usageMeter) setFolder(bytes int64) {
	usageMeter.mutex.Lock()
	defer usageMeter.mutex.Unlock()
	usageMeter.folder = bytes
}

func (usageMeter *usageMeter) startSnapshot() {
	usageMeter.mutex.Lock()
	defer usageMeter.mutex.Unlock()
	usageMeter.sinceStart = 0
}

func (usageMeter *usageMeter) finishSnapshot() {
	usageMeter.mutex.Lock()
	defer usageMeter.mutex.Unlock()
	usageMeter.log = usageMeter.sinceStart
}

func (usageMeter *usageMeter) read() scheduler.JournalUsage {
	usageMeter.mutex.Lock()
	defer usageMeter.mutex.Unlock()
	return scheduler.NewJournalUsage(usageMeter.folder, usageMeter.log)
}
