package classifier

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"
)

// Guards against a full disk that is reported, and treated, as a broken one.
func TestClassify(t *testing.T) {
	tests := map[string]struct {
		err  error
		want Kind
	}{
		"full disk":      {&os.PathError{Op: "write", Path: "log", Err: syscall.ENOSPC}, NoRoom},
		"quota":          {syscall.EDQUOT, NoRoom},
		"file too large": {syscall.EFBIG, NoRoom},
		"joined":         {errors.Join(errors.New("close"), fmt.Errorf("sync: %w", syscall.EIO)), Device},
		"read only":      {syscall.EROFS, ReadOnly},
		"missing":        {&os.PathError{Op: "open", Path: "log", Err: syscall.ENOENT}, Missing},
		"descriptors":    {syscall.EMFILE, Descriptors},
		"unknown":        {errors.New("unknown"), Other},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Classify(test.err); got != test.want {
				t.Errorf("got %s, want %s", got, test.want)
			}
		})
	}
}
