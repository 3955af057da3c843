package forwarder

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// startStallCheck starts a timer for a request that waits for its response headers. If they have not arrived within half
// of the remaining time, or within 5 s if that is shorter, the endpoint is probed on a new connection.
func (forwarder *Forwarder) startStallCheck(
	ctx context.Context, cancel context.CancelCauseFunc, pool *endpointPool, call Call, tracker *requestTracker,
) (stop func()) {
	wait := maxProbeDelay
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline)/2)
	}
	timer := time.AfterFunc(wait, func() {
		if !tracker.requestWritten() {
			return
		}
		responded, attempted := forwarder.probe(ctx, pool, wait)
		switch {
		case !attempted || ctx.Err() != nil:
		case !responded:
			forwarder.log.Warn().Str("event", "endpointSilent").Str("endpoint", string(pool.endpoint)).
				Msg("endpoint does not respond on a new connection")
			forwarder.onUnresponsive(pool.endpoint)
		default:
			forwarder.log.Info().Str("event", "connectionsClosed").Str("endpoint", string(pool.endpoint)).
				Msg("endpoint responds on a new connection; closing pooled connections that may have stalled")
			forwarder.closePool(pool)
			// A connection that was opened for this request is unlikely to have stalled. In that case the endpoint
			// is slow, and executing the request again would only increase its load.
			if tracker.reused() && call.Restart != nil && call.Restart() {
				cancel(errStalled)
			}
		}
	})
	return func() { timer.Stop() }
}

// probe checks whether the endpoint sends any response on a new connection. attempted is false if no connection permit
// is available or another probe is in progress.
func (forwarder *Forwarder) probe(ctx context.Context, pool *endpointPool, wait time.Duration) (responded, attempted bool) {
	if !pool.probing.CompareAndSwap(false, true) {
		return false, false
	}
	defer pool.probing.Store(false)
	ctx, cancel := context.WithTimeout(ctx, min(wait/2, dialTimeout))
	defer cancel()
	conn, err := forwarder.dial(ctx, pool)
	if err != nil {
		return false, !errors.Is(err, errNoConnection)
	}
	defer func() { _ = conn.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	// HTTP servers respond to this request without calling a handler of the service.
	if _, err := io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: "+pool.address+"\r\nConnection: close\r\n\r\n"); err != nil {
		return false, true
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false, true
	}
	_ = response.Body.Close()
	return true, true
}

// Refuses reports whether an endpoint refuses new connections, which shows that its process has ended. A connection
// attempt that is not answered shows nothing.
func (forwarder *Forwarder) Refuses(ctx context.Context, endpoint scheduler.Announcement) bool {
	conn, err := forwarder.dial(ctx, forwarder.endpointPool(endpoint))
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
