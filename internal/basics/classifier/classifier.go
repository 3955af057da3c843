// Package classifier tells the kinds of errors of storage apart, for logs and for the choice of a reaction.
package classifier

import (
	"errors"
	"io/fs"
	"syscall"
)

// Kind is the kind of an error of storage.
type Kind string

const (
	// NoRoom means that the disk, a quota or the limit on the size of a file leaves no room.
	NoRoom Kind = "noRoom"
	// Device means that the disk could not read or write.
	Device Kind = "device"
	// ReadOnly means that the file system does not accept writes.
	ReadOnly Kind = "readOnly"
	// Missing means that a file or folder does not exist.
	Missing Kind = "missing"
	// Descriptors means that the process has no file descriptors left.
	Descriptors Kind = "descriptors"
	// Other is any other error.
	Other Kind = "other"
)

// kinds lists the errors of the operating system by kind. EFBIG is the limit on the size of a file.
var kinds = []struct {
	err  error
	kind Kind
}{
	{syscall.ENOSPC, NoRoom},
	{syscall.EDQUOT, NoRoom},
	{syscall.EFBIG, NoRoom},
	{syscall.EIO, Device},
	{syscall.EROFS, ReadOnly},
	{fs.ErrNotExist, Missing},
	{syscall.EMFILE, Descriptors},
	{syscall.ENFILE, Descriptors},
}

// Classify returns the kind of an error, judged by the error of the operating system in its chain.
func Classify(err error) Kind {
	for _, candidate := range kinds {
		if errors.Is(err, candidate.err) {
			return candidate.kind
		}
	}
	return Other
}
