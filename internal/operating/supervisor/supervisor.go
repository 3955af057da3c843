// Package supervisor runs the parts of a process that must not end before the process does, such as listeners and the
// replicas of groups. A part that ends is run again. A part that cannot run again ends the process.
package supervisor

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/basics/waiter"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("supervisor")

// Permanent is the class of errors after which a part must not be run again. They end the process.
var Permanent = errs.Class("permanent failure")

// ExitCode is the exit code of a process that a part has ended.
const ExitCode = 3

// IsFatal reports whether err is a failure for which the process ends with ExitCode.
func IsFatal(err error) bool { return Error.Has(err) || Permanent.Has(err) }

const (
	minBackOff = 50 * time.Millisecond
	maxBackOff = time.Second
	// recoveryPeriod is how long a part must run before its next failure counts as a new one.
	recoveryPeriod = 10 * time.Second
	// repeatedLogInterval is the interval at which a failure that repeats itself is logged.
	repeatedLogInterval = 10 * time.Second
)

// errReturned is the failure of a part that returns without an error.
var errReturned = Error.New("returned before it was stopped")

// Supervisor runs the parts of one process. It is safe for concurrent use.
type Supervisor struct {
	logger zerolog.Logger
	scope  tally.Scope

	// exit ends the process.
	exit func(code int)

	mutex  sync.Mutex
	failed chan struct{}
	err    error
}

// Option configures a Supervisor.
type Option func(supervisor *Supervisor)

// WithLogger sets the logger. The default logs nothing.
func WithLogger(logger zerolog.Logger) Option {
	return func(supervisor *Supervisor) { supervisor.logger = logger }
}

// WithScope sets the scope to which restarts are reported. The default reports nothing.
func WithScope(scope tally.Scope) Option {
	return func(supervisor *Supervisor) { supervisor.scope = scope }
}

// New returns a Supervisor.
func New(options ...Option) *Supervisor {
	supervisor := &Supervisor{logger: zerolog.Nop(), scope: tally.NoopScope, failed: make(chan struct{}), exit: os.Exit}
	for _, option := range options {
		option(supervisor)
	}
	return supervisor
}

// Failed returns a channel that is closed when a part has failed permanently and the process must end. Err then
// returns the reason.
func (supervisor *Supervisor) Failed() <-chan struct{} { return supervisor.failed }

// Err returns the error that names the part that must end the process and its failure, or nil if there is none.
func (supervisor *Supervisor) Err() error {
	supervisor.mutex.Lock()
	defer supervisor.mutex.Unlock()
	return supervisor.err
}

// Part is a function that runs until ctx ends. If it returns earlier, with or without an error, it is called again.
type Part func(ctx context.Context) error

// PartOption configures how one part is run.
type PartOption func(run *partRun)

// WithFailureLimit makes a part that fails again and again for the given time end the process. The default is to run
// the part again for ever.
func WithFailureLimit(limit time.Duration) PartOption {
	return func(run *partRun) { run.limit = limit }
}

// partRun is the state of one part.
type partRun struct {
	name         string
	limit        time.Duration
	backOff      time.Duration
	failingSince time.Time
	// cause is the text of the last failure, loggedAt when it was logged and unlogged how often it has repeated since.
	cause    string
	loggedAt time.Time
	unlogged int
}

// Run runs a part until ctx ends, the part fails permanently or its failure limit has passed.
func (supervisor *Supervisor) Run(ctx context.Context, name string, part Part, options ...PartOption) {
	run := &partRun{name: name, backOff: minBackOff}
	for _, option := range options {
		option(run)
	}
	restarts := supervisor.scope.Tagged(map[string]string{"part": name}).Counter("part_restarts")
	for ctx.Err() == nil {
		started := time.Now()
		err := part(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			err = errReturned
		}
		run.recordFailure(started)
		if Permanent.Has(err) || run.isOverLimit() {
			supervisor.fail(name, err)
			return
		}
		supervisor.logFailure(run, err)
		if !waiter.Sleep(ctx, run.nextBackOff()) {
			return
		}
		restarts.Inc(1)
	}
}

// recordFailure starts a new series of failures if the part had run for long enough before this one.
func (run *partRun) recordFailure(started time.Time) {
	if run.failingSince.IsZero() || time.Since(started) >= recoveryPeriod {
		run.failingSince, run.backOff = time.Now(), minBackOff
	}
}

func (run *partRun) isOverLimit() bool {
	return run.limit > 0 && time.Since(run.failingSince) >= run.limit
}

func (run *partRun) nextBackOff() time.Duration {
	backOff := run.backOff
	run.backOff = min(2*backOff, maxBackOff)
	return backOff
}

// logFailure logs a failure, or counts it if the same one was logged less than repeatedLogInterval ago.
func (supervisor *Supervisor) logFailure(run *partRun, err error) {
	if err.Error() == run.cause && time.Since(run.loggedAt) < repeatedLogInterval {
		run.unlogged++
		return
	}
	supervisor.logger.Error().Str("event", "partFailed").Str("part", run.name).Err(err).
		Int("repeated", run.unlogged).Dur("retryInMs", run.backOff).Msg("a part of the process has ended; it is run again")
	run.cause, run.loggedAt, run.unlogged = err.Error(), time.Now(), 0
}

// fail records the first permanent failure and logs it. The log line comes second, because its write may hang.
func (supervisor *Supervisor) fail(name string, err error) {
	supervisor.recordFailure(name, err)
	supervisor.logger.Error().Str("event", "partFailedPermanently").Str("part", name).Err(err).
		Msg("a part of the process cannot run again; the process ends")
}

// recordFailure keeps the first permanent failure and signals it.
func (supervisor *Supervisor) recordFailure(name string, err error) {
	supervisor.mutex.Lock()
	defer supervisor.mutex.Unlock()
	if supervisor.err == nil {
		supervisor.err = Error.New("%s: %w", name, err)
		close(supervisor.failed)
	}
}
