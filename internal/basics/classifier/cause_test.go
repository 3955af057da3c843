package classifier

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
)

// Guards against log lines that do not tell a full disk from a limit on the size of a file or a broken disk.
func TestCauseOf(t *testing.T) {
	refused := func(operation string, errno syscall.Errno) error {
		return &fs.PathError{Op: operation, Path: "/data/groups/domain/1.segment", Err: errno}
	}
	class := errs.Class("journaler")
	tests := map[string]struct {
		err  error
		want Cause
	}{
		"full disk":       {refused("write", syscall.ENOSPC), Cause{NoRoom, "ENOSPC", "write", "1.segment"}},
		"file too large":  {refused("write", syscall.EFBIG), Cause{NoRoom, "EFBIG", "write", "1.segment"}},
		"quota":           {refused("write", syscall.EDQUOT), Cause{NoRoom, "EDQUOT", "write", "1.segment"}},
		"failed sync":     {refused("sync", syscall.EIO), Cause{Device, "EIO", "sync", "1.segment"}},
		"read-only":       {refused("open", syscall.EROFS), Cause{ReadOnly, "EROFS", "open", "1.segment"}},
		"rename":          {&os.LinkError{Op: "rename", Old: "/data/a.temporary", New: "/data/a", Err: syscall.ENOSPC}, Cause{NoRoom, "ENOSPC", "rename", "a"}},
		"wrapped":         {class.Wrap(class.New("append to /data: %w", refused("write", syscall.ENOSPC))), Cause{NoRoom, "ENOSPC", "write", "1.segment"}},
		"joined":          {errors.Join(errors.New("closed"), fmt.Errorf("sync: %w", refused("sync", syscall.EIO))), Cause{Device, "EIO", "sync", "1.segment"}},
		"errno alone":     {syscall.ENOSPC, Cause{kind: NoRoom, errno: "ENOSPC"}},
		"not of the disk": {errors.New("invalid record"), Cause{kind: Other}},
		"no error":        {nil, Cause{kind: Other}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := CauseOf(test.err); got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}

// Guards against an error number that a reader of a line that is cut off does not see.
func TestCauseIsLoggedWhereItIsEmbedded(t *testing.T) {
	var line strings.Builder
	logger := zerolog.New(&line)
	_, err := os.Open(filepath.Join(t.TempDir(), "missing"))
	logger.Error().Str("event", "failed").EmbedObject(CauseOf(err)).Err(errors.New("long text")).Send()
	want := `{"level":"error","event":"failed","kind":"missing","errno":"ENOENT","operation":"open","file":"missing","error":"long text"}` + "\n"
	if got := line.String(); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
