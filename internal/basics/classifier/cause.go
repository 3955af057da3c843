package classifier

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// Cause is the operation of the operating system behind an error. As a log object, it adds the fields kind, errno,
// operation and file. The last three are left out if they are not known.
type Cause struct {
	kind                   Kind
	errno, operation, file string
}

// CauseOf returns the cause of an error. The errno is that of the first error number in its chain, operation and file are
// those of the first path error, or else link error.
func CauseOf(err error) Cause {
	cause := Cause{kind: Classify(err)}
	var errno syscall.Errno
	if errors.As(err, &errno) {
		cause.errno = unix.ErrnoName(errno)
	}
	var path *fs.PathError
	var link *os.LinkError
	switch {
	case errors.As(err, &path):
		cause.operation, cause.file = path.Op, filepath.Base(path.Path)
	case errors.As(err, &link):
		cause.operation, cause.file = link.Op, filepath.Base(link.New)
	}
	return cause
}

// Kind returns the kind of the error.
func (cause Cause) Kind() Kind { return cause.kind }

// Errno returns the name of the error number, such as ENOSPC.
func (cause Cause) Errno() string { return cause.errno }

// Operation returns the name of the refused operation, such as write.
func (cause Cause) Operation() string { return cause.operation }

// File returns the name of the file without its folder.
func (cause Cause) File() string { return cause.file }

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (cause Cause) MarshalZerologObject(event *zerolog.Event) {
	event.Str("kind", string(cause.kind))
	for _, field := range []struct{ name, value string }{
		{"errno", cause.errno}, {"operation", cause.operation}, {"file", cause.file},
	} {
		if field.value != "" {
			event.Str(field.name, field.value)
		}
	}
}
