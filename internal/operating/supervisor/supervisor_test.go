package supervisor

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

var errRefused = errors.New("refused")

// Guards against a part that ends without its owner running it again.
func TestPartIsRunAgain(t *testing.T) {
	tests := map[string]error{"with an error": errRefused, "without an error": nil}
	for name, failure := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scope := tally.NewTestScope("", nil)
				supervisor := New(WithScope(scope))
				ctx, cancel := context.WithCancel(t.Context())
				var runs atomic.Int32
				go supervisor.Run(ctx, "listener", func(ctx context.Context) error {
					if runs.Add(1) < 3 {
						return failure
					}
					<-ctx.Done()
					return nil
				})
				time.Sleep(4 * minBackOff)
				if got, want := runs.Load(), int32(3); got != want {
					t.Errorf("runs: got %d, want %d", got, want)
				}
				if got, want := scope.Snapshot().Counters()["part_restarts+part=listener"].Value(), int64(2); got != want {
					t.Errorf("restarts: got %d, want %d", got, want)
				}
				cancel()
				synctest.Wait()
				if err := supervisor.Err(); err != nil {
					t.Errorf("Err: got %v, want none", err)
				}
			})
		})
	}
}

// Guards against a busy loop, and against a back-off that never ends, while a part fails.
func TestBackOffIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		var starts []time.Time
		New().Run(ctx, "replica", func(context.Context) error {
			starts = append(starts, time.Now())
			if len(starts) == 10 {
				time.Sleep(recoveryPeriod)
			}
			return errRefused
		})
		for position := 1; position < len(starts); position++ {
			got := starts[position].Sub(starts[position-1])
			if position == 10 {
				got -= recoveryPeriod
				if got != minBackOff {
					t.Errorf("back-off after a run of %v: got %v, want %v", recoveryPeriod, got, minBackOff)
				}
			}
			if got < minBackOff || got > maxBackOff {
				t.Errorf("back-off %d: got %v, want %v to %v", position, got, minBackOff, maxBackOff)
			}
		}
		if got, want := len(starts), 40; got < want {
			t.Errorf("runs in a minute: got %d, want at least %d", got, want)
		}
	})
}

// Guards against a log that fills with the same failure.
func TestRepeatedFailuresAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		New(WithLogger(zerolog.New(&output))).Run(ctx, "replica", func(context.Context) error { return errRefused })
		lines := strings.Count(output.String(), "partFailed")
		if want := int(time.Minute/repeatedLogInterval) + 1; lines == 0 || lines > want {
			t.Errorf("lines in a minute: got %d, want 1 to %d", lines, want)
		}
		if !strings.Contains(output.String(), `"repeated":9`) {
			t.Errorf("got %s, want the number of repetitions", output.String())
		}
	})
}

// Guards against a process that lives on without a part that cannot run again.
func TestPermanentFailureEndsTheProcess(t *testing.T) {
	tests := map[string]struct {
		failure error
		options []PartOption
		want    time.Duration
	}{
		"permanent":           {failure: Permanent.Wrap(errRefused)},
		"wrapped":             {failure: fmt.Errorf("replica: %w", Permanent.Wrap(errRefused))},
		"over the limit":      {failure: errRefused, options: []PartOption{WithFailureLimit(30 * time.Second)}, want: 30 * time.Second},
		"returns, over limit": {options: []PartOption{WithFailureLimit(30 * time.Second)}, want: 30 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				supervisor, start := New(), time.Now()
				supervisor.Run(t.Context(), "replica", func(context.Context) error { return test.failure }, test.options...)
				if got := time.Since(start); got < test.want || got > test.want+maxBackOff {
					t.Errorf("failed after %v, want %v", got, test.want)
				}
				select {
				case <-supervisor.Failed():
				default:
					t.Error("Failed: got an open channel, want a closed one")
				}
				if err := supervisor.Err(); err == nil || !strings.Contains(err.Error(), "replica") {
					t.Errorf("Err: got %v, want the name of the part", err)
				}
			})
		})
	}
}

// Guards against a stop that waits for the back-off of a failing part.
func TestStopDuringBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second+time.Millisecond)
		defer cancel()
		start := time.Now()
		New().Run(ctx, "replica", func(context.Context) error { return errRefused })
		if got, want := time.Since(start), 5*time.Second+time.Millisecond; got != want {
			t.Errorf("stopped after %v, want %v", got, want)
		}
	})
}

// Guards against a listener that stays closed after its socket has failed.
func TestListenerIsOpenedAgain(t *testing.T) {
	address := ""
	listener := NewListener(func(ctx context.Context) (net.Listener, error) {
		var config net.ListenConfig
		if address == "" {
			return config.Listen(ctx, "tcp", "127.0.0.1:0")
		}
		return config.Listen(ctx, "tcp", address)
	}, func(socket net.Listener) error {
		connection, err := socket.Accept()
		if err != nil {
			return err
		}
		return errors.Join(errRefused, connection.Close())
	})
	if err := listener.Open(t.Context()); err != nil {
		t.Fatal(err)
	}
	address = listener.socket.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		New().Run(ctx, "listener", listener.Run)
	}()
	for connections := 0; connections < 3; {
		connection, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(minBackOff / 5)
			continue
		}
		connections++
		_ = connection.Close()
		time.Sleep(minBackOff / 5)
	}
	cancel()
	if connection, err := net.Dial("tcp", address); err == nil {
		_ = connection.Close()
	}
	<-stopped
}
