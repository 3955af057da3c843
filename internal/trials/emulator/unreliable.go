package emulator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Fault probabilities of an exchange in percent, and its delays. maxLongDelay exceeds the worker's time-out, so
// that some responses arrive too late.
const (
	lostRequestPercent     = 3
	lostResponsePercent    = 3
	repeatedRequestPercent = 3
	longDelayPercent       = 3
	maxUsualDelay          = 20 * time.Millisecond
	maxLongDelay           = 6 * time.Second
	repeatDelayFactor      = 100
)

// NewUnreliableExchange returns an Exchange that loses, delays and repeats messages at random, reproducibly for a
// seed. A repeated request arrives up to minutes later and its response is dropped.
func NewUnreliableExchange(exchange Exchange, seed uint64) Exchange {
	random := rand.New(rand.NewPCG(seed, 100))
	return func(ctx context.Context, request *scheduler.SyncRequest) (*scheduler.SyncResponse, error) {
		delay := time.Duration(1 + random.Int64N(int64(maxUsualDelay)))
		if random.IntN(100) < longDelayPercent {
			delay = time.Duration(random.Int64N(int64(maxLongDelay)))
		}
		draw := random.IntN(100)
		time.Sleep(delay)
		if draw < lostRequestPercent {
			return nil, Error.Wrap(scheduler.ErrNotRun.New("request lost"))
		}
		draw -= lostRequestPercent
		if draw >= 0 && draw < repeatedRequestPercent {
			go func() {
				time.Sleep(delay * repeatDelayFactor)
				_, _ = exchange(context.WithoutCancel(ctx), request)
			}()
		}
		response, err := exchange(ctx, request)
		time.Sleep(delay)
		if draw -= repeatedRequestPercent; draw >= 0 && draw < lostResponsePercent {
			return nil, Error.Wrap(scheduler.ErrOutcomeUnknown.New("response lost"))
		}
		return response, err
	}
}
