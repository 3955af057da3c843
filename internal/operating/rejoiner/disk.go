package rejoiner

import (
	"context"

	"github.com/crocusplank/crocusplank/internal/basics/classifier"
	"github.com/crocusplank/crocusplank/internal/operating/supervisor"
)

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

// isRefused reports whether the disk has refused an operation and may accept it later, for example because it is full.
func isRefused(err error) bool {
	if err == nil || isPermanent(err) {
		return false
	}
	kind := classifier.Classify(err)
	return kind == classifier.NoRoom || kind == classifier.Device
}
