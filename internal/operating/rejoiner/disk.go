package rejoiner

import (
	"context"
	"errors"
	"syscall"

	"github.com/crocusplank/crocusplank/internal/operating/supervisor"
)

// refusals are the errors of a disk that refuses an operation and may accept it later, for example because it is full.
var refusals = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG, syscall.EIO}

// AwaitDisk calls build again while it fails because a disk refuses an operation, until ctx ends. It returns the error of
// the last call, in class supervisor.Permanent if the process must end because of the contents of the disk.
func AwaitDisk(ctx context.Context, parts *supervisor.Supervisor, build func() error) error {
	ctx, done := context.WithCancel(ctx)
	defer done()
	var failure error
	parts.Run(ctx, "start", func(context.Context) error {
		if failure = build(); !isRefused(failure) {
			done()
		}
		return failure
	})
	if failure != nil && isPermanent(failure) {
		return supervisor.Permanent.Wrap(failure)
	}
	return failure
}

func isRefused(err error) bool {
	if err == nil || isPermanent(err) {
		return false
	}
	for _, refusal := range refusals {
		if errors.Is(err, refusal) {
			return true
		}
	}
	return false
}
