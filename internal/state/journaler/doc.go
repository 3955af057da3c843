// Package journaler keeps the durable log of one replicated group on one VM.
//
// A FolderJournal uses one folder per group below the data folder:
//
//	groups/<group>/lock              held with flock while a process uses the folder
//	groups/<group>/identity          VM, group, format version and incarnation
//	groups/<group>/hardState         term, vote and incarnation
//	groups/<group>/<number>.segment  log entries, append-only
//	groups/<group>/<index>.snapshot  state machine snapshot up to an index
//
// All files but lock are sequences of frames. A frame has a header with a checksum of its own and a
// CBOR payload with a checksum, both CRC-32C. Both checksums cover the segment number and the offset
// of the frame, so a frame that was copied to another place is not valid there.
//
// Entries are never changed in place. An entry whose index is already taken removes every earlier
// entry from that index on when the segments are read.
//
// A MemoryJournal offers the same interface to VMs without a disk.
package journaler

import (
	"errors"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("journaler")

// Reasons for which a folder is refused. They are in the chain of the errors that Open returns.
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
	// ErrDamaged means that a file was changed or removed after it had been written. Nothing is
	// repaired or removed then.
	ErrDamaged = errors.New("damaged file")
)

// errClosed is the failure of a journal that was closed.
var errClosed = scheduler.ErrJournalFailed.Wrap(Error.New("journal is closed"))

// finalError converts a failed write or sync into the class that callers must not retry.
func finalError(action string, err error) error {
	return scheduler.ErrJournalFailed.Wrap(Error.New("%s: %w", action, err))
}
