package overseer

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/waiter"
)

const (
	// minPanicBackoff bounds the volume of logs, maxPanicBackoff the time without a leader if the leaderships of all VMs panic.
	minPanicBackoff = 100 * time.Millisecond
	maxPanicBackoff = 5 * time.Second
	// stableTime is how long a leadership must have lasted for a panic not to count as a repetition of the one before. It is
	// longer than maxPanicBackoff, so that a back-off does not itself end a series.
	stableTime = 10 * time.Second
)

// panicRecovery decides what follows when panics end leaderships. A panic may come from the state of this process, which
// another VM does not share, or from the replicated state, which every leader shares.
type panicRecovery struct {
	// backoff is the one after the latest panic, or zero if there was none since the last stable time.
	backoff time.Duration
}

// recoveryPlan is what follows a panic: the VM waits for the back-off, and if handOver is set, another VM is asked to lead.
type recoveryPlan struct {
	backoff  time.Duration
	handOver bool
}

// next returns what follows a panic that ended a leadership after the given time. The first panic costs little, because the
// next leadership starts from the log and most likely works. A repetition shows that this VM cannot lead now.
func (panicRecovery *panicRecovery) next(lasted time.Duration) recoveryPlan {
	if lasted >= stableTime {
		panicRecovery.backoff = 0
	}
	repeated := panicRecovery.backoff > 0
	panicRecovery.backoff = min(max(2*panicRecovery.backoff, minPanicBackoff), maxPanicBackoff)
	return recoveryPlan{backoff: panicRecovery.backoff, handOver: repeated}
}

// recoverFromPanic carries out a plan. It returns after the back-off or when ctx is done.
func (overseer *Overseer) recoverFromPanic(ctx context.Context, plan recoveryPlan) {
	overseer.logger.Error().Str("event", "leadershipSuspended").Dur("backoff", plan.backoff).Bool("handOver", plan.handOver).
		Msg("this VM does not lead for a while after a panic")
	if plan.handOver && overseer.handOver != nil {
		overseer.handOver()
	}
	waiter.Sleep(ctx, plan.backoff)
}
