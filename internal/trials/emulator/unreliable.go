package emulator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Chances in percent of what happens to an exchange, and its delays. The longest delay is beyond the
// worker's time-out, so that some answers come too late.
const (
	lostRequests   = 3
	lostAnswers    = 3
	repeated       = 3
	longDelays     = 3
	usualDelay     = 20 * time.Millisecond
	longestDelay   = 6 * time.Second
	repeatedFactor = 100
)

// NewUnreliableExchange returns an exchange that loses, delays and repeats messages, as drawn from
// seed. A repeated request reaches the system up to minutes later and its answer is dropped.
func NewUnreliableExchange(exchange Exchange, seed uint64) Exchange {
	random := rand.New(rand.NewPCG(seed, 100))
	return func(ctx context.Context, request *scheduler.SyncRequest) (*scheduler.SyncResponse, error) {
		delay := time.Duration(1 + random.Int64N(int64(usualDelay)))
		if random.IntN(100) < longDelays {
			delay = time.Duration(random.Int64N(int64(longestDelay)))
		}
		fate := random.IntN(100)
		time.Sleep(delay)
		if fate < lostRequests {
			return nil, Error.Wrap(scheduler.ErrNotRun.New("request lost"))
		}
		fate -= lostRequests
		if fate >= 0 && fate < repeated {
			go func() {
				time.Sleep(delay * repeatedFactor)
				_, _ = exchange(context.WithoutCancel(ctx), request)
			}()
		}
		answer, err := exchange(ctx, request)
		time.Sleep(delay)
		if fate -= repeated; fate >= 0 && fate < lostAnswers {
			return nil, Error.Wrap(scheduler.ErrOutcomeUnknown.New("answer lost"))
		}
		return answer, err
	}
}
