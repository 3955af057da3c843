package rejoiner

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/internal/operating/supervisor"
	"github.com/crocusplank/crocusplank/internal/state/journaler"
)

// Guards against a process that ends because its disk is full, and against one that waits for a folder which no time
// will repair.
func TestAwaitDisk(t *testing.T) {
	full := fmt.Errorf("create identity: %w", syscall.ENOSPC)
	tests := map[string]struct {
		failures  []error
		wantCalls int
		wantErr   error
		wantFatal bool
	}{
		"works at once":          {wantCalls: 1},
		"full for a while":       {failures: []error{full, full, full}, wantCalls: 4},
		"I/O error for a while":  {failures: []error{fmt.Errorf("sync: %w", syscall.EIO)}, wantCalls: 2},
		"damaged":                {failures: []error{journaler.ErrDamaged}, wantCalls: 1, wantErr: journaler.ErrDamaged, wantFatal: true},
		"belongs to another VM":  {failures: []error{journaler.ErrOwnerMismatch}, wantCalls: 1, wantErr: journaler.ErrOwnerMismatch, wantFatal: true},
		"newer format":           {failures: []error{journaler.ErrNewerFormat}, wantCalls: 1, wantErr: journaler.ErrNewerFormat, wantFatal: true},
		"missing":                {failures: []error{journaler.ErrFolderMissing}, wantCalls: 1, wantErr: journaler.ErrFolderMissing, wantFatal: true},
		"full, then damaged":     {failures: []error{full, journaler.ErrDamaged}, wantCalls: 2, wantErr: journaler.ErrDamaged, wantFatal: true},
		"not a fault of a disk":  {failures: []error{context.DeadlineExceeded}, wantCalls: 1, wantErr: context.DeadlineExceeded},
		"missing, with an errno": {failures: []error{errors.Join(journaler.ErrFolderMissing, syscall.EIO)}, wantCalls: 1, wantErr: journaler.ErrFolderMissing, wantFatal: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				err := AwaitDisk(t.Context(), supervisor.New(), func() error {
					if calls++; calls <= len(test.failures) {
						return test.failures[calls-1]
					}
					return nil
				})
				if calls != test.wantCalls {
					t.Errorf("calls: got %d, want %d", calls, test.wantCalls)
				}
				if !errors.Is(err, test.wantErr) {
					t.Errorf("error: got %v, want %v", err, test.wantErr)
				}
				if got := supervisor.IsFatal(err); got != test.wantFatal {
					t.Errorf("fatal: got %v, want %v", got, test.wantFatal)
				}
			})
		})
	}
}

// Guards against a process that cannot be stopped while it waits for its disk.
func TestAwaitDiskStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		start := time.Now()
		if err := AwaitDisk(ctx, supervisor.New(), func() error { return syscall.ENOSPC }); err == nil {
			t.Error("got no error, want that of the disk")
		}
		if got, want := time.Since(start), 10*time.Second; got != want {
			t.Errorf("stopped after %v, want %v", got, want)
		}
	})
}
