// Package journaler implements the write-ahead log of one replicated group on one VM.
//
// A FolderJournal uses one folder per group below the data folder:
//
//	groups/<group>/lock              locked with flock while a process uses the folder
//	groups/<group>/identity          VM, group, format version and incarnation
//	groups/<group>/hardState         term, vote and incarnation
//	groups/<group>/<number>.segment  log entries, append-only
//	groups/<group>/<index>.snapshot  state machine snapshot up to an index
//
// All files but lock are sequences of frames. A frame has a header and a CBOR payload, each with its own
// CRC-32C checksum. Both checksums cover the segment number and the offset of the frame, so a frame that is
// copied to another position fails verification there.
//
// Entries are never changed in place. When the segments are read, an entry whose index already exists
// truncates the log from that index on and is appended.
//
// MemoryJournal implements the same interface for VMs without a disk.
package journaler

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/basics/classifier"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("journaler")

// Reasons why Open refuses a folder. They are in the chain of the errors that it returns. ErrNoRoom is also in the chain
// of the errors of writes.
var (
	// ErrFolderMissing means that the data folder does not exist, for example because its disk is not
	// mounted.
	ErrFolderMissing = errors.New("data folder is missing")
	// ErrLocked means that another process uses the folder.
	ErrLocked = errors.New("folder is in use by another process")
	// ErrOwnerMismatch means that the folder belongs to another VM or group.
	ErrOwnerMismatch = errors.New("folder belongs to another VM or group")
	// ErrNewerFormat means that a newer version of the program wrote the folder.
	ErrNewerFormat = errors.New("folder has a newer format")
	// ErrNoRoom means that the disk has no room for a write or that a file may not grow. What was acknowledged is intact,
	// and the folder can be opened again.
	ErrNoRoom = errors.New("no room on the disk")
	// ErrDamaged means that a file was changed or removed after it had been written. Open then
	// neither repairs nor removes any file.
	ErrDamaged = errors.New("damaged file")
)

// errClosed is returned by operations on a closed journal.
var errClosed = scheduler.ErrJournalFailed.Wrap(Error.New("journal is closed"))

// finalError returns a failed write or sync as an error of class scheduler.ErrJournalFailed, which callers must
// not retry.
func finalError(action string, err error) error {
	return scheduler.ErrJournalFailed.Wrap(Error.New("%s: %w", action, withReason(err)))
}

// withReason adds ErrNoRoom to the chain of an error of the operating system that means it.
func withReason(err error) error {
	if err == nil || errors.Is(err, ErrNoRoom) || classifier.Classify(err) != classifier.NoRoom {
		return err
	}
	return fmt.Errorf("%w: %w", ErrNoRoom, err)
}
