package forwarder

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// doubt starts to watch a request that waits for its response's headers. When they have not come within
// half of the remaining time, at most 5 s, a fresh connection is tried.
func (forwarder *Forwarder) doubt(ctx context.Context, cancel context.CancelCauseFunc, own *pool, call Call, watched *tracker) (stop func()) {
	wait := probeLimit
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)/2)
	}
	timer := time.AfterFunc(wait, func() {
		if !watched.wrote() {
			return
		}
		answered, tried := forwarder.probe(ctx, own, wait)
		switch {
		case !tried || ctx.Err() != nil:
		case !answered:
			forwarder.log.Warn().Str("event", "endpointSilent").Str("endpoint", string(own.endpoint)).Msg("endpoint does not answer on a fresh connection")
			forwarder.bad(own.endpoint)
		default:
			forwarder.log.Info().Str("event", "connectionsClosed").Str("endpoint", string(own.endpoint)).Msg("connections may be silent, endpoint answers on a fresh one")
			forwarder.closePool(own)
			// A connection that was opened for this request is hardly silent; the endpoint is slow, and
			// running the request again would only add to its load.
			if watched.reused() && call.Restart != nil && call.Restart() {
				cancel(errSilent)
			}
		}
	})
	return func() { timer.Stop() }
}

// probe asks the endpoint for any response on a fresh connection. tried is false when no connection is
// free or another probe is under way.
func (forwarder *Forwarder) probe(ctx context.Context, own *pool, wait time.Duration) (answered, tried bool) {
	if !own.probing.CompareAndSwap(false, true) {
		return false, false
	}
	defer own.probing.Store(false)
	ctx, cancel := context.WithTimeout(ctx, min(wait/2, dialLimit))
	defer cancel()
	fresh, err := forwarder.dial(ctx, own)
	if err != nil {
		return false, !errors.Is(err, errNoConnection)
	}
	defer func() { _ = fresh.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = fresh.SetDeadline(deadline)
	}
	// Servers answer this without running a service's handler.
	if _, err := io.WriteString(fresh, "OPTIONS * HTTP/1.1\r\nHost: "+own.address+"\r\nConnection: close\r\n\r\n"); err != nil {
		return false, true
	}
	response, err := http.ReadResponse(bufio.NewReader(fresh), nil)
	if err != nil {
		return false, true
	}
	_ = response.Body.Close()
	return true, true
}
