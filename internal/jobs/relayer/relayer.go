// Package relayer distributes the orders to workers over the VMs that hold the replicated state of a domain. The leader
// decides on orders and records them; other VMs, the relays, send them to the workers and return the responses. Relays
// make no decisions: an order carries the fencing token of the leader and a permit, which expires by the clock of the
// relay. A relay that was suspended or partitioned therefore does not send orders that the leader has abandoned.
package relayer

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/internal/basics/stopwatch"
	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("relayer")

const (
	// clockReadInterval is the interval at which the leader reads the clocks of the other VMs. clockReadTimeout bounds
	// one such request.
	clockReadInterval = 300 * time.Millisecond
	clockReadTimeout  = 700 * time.Millisecond
	// maxReadingAge is the maximum age of a clock reading. A VM that has not responded for that long is not used as a
	// relay.
	maxReadingAge = 1500 * time.Millisecond
	// permitDuration is the period within which a relay must start to send an order. It covers the transfer of the
	// order to the relay and a short queue there.
	permitDuration = 600 * time.Millisecond
	// responseMargin is the part of the timeout that is reserved for the transfer of the response from the relay to the
	// leader.
	responseMargin = 100 * time.Millisecond
)

// Relayer is a scheduler.WorkerClient that sends an order itself or through a relay. It is safe for concurrent use.
type Relayer struct {
	direct  scheduler.WorkerClient
	network scheduler.Transport
	group   scheduler.Group
	members func() []scheduler.VMName
	clock   stopwatch.Stopwatch
	logger  zerolog.Logger
	metrics *metrics

	mutex  sync.Mutex
	router *router
	clocks map[scheduler.VMName]clockReading
}

var _ scheduler.WorkerClient = (*Relayer)(nil)

// clockReading is a reading of the clock of another VM. The other VM read it at or before the local time takenAt.
type clockReading struct {
	process uint64
	value   time.Duration
	takenAt time.Duration
}

// New returns a Relayer that sends orders with direct or through the VMs that members returns.
func New(
	direct scheduler.WorkerClient, network scheduler.Transport, group scheduler.Group, members func() []scheduler.VMName,
	options ...Option,
) *Relayer {
	relayer := &Relayer{
		direct: direct, network: network, group: group, members: members, clock: stopwatch.Start(), logger: zerolog.Nop(),
		metrics: newMetrics(tally.NoopScope), router: newRouter(network.Self()), clocks: map[scheduler.VMName]clockReading{},
	}
	for _, option := range options {
		option(relayer)
	}
	return relayer
}

// Run updates the set of relays while this VM is the leader, until ctx ends.
func (relayer *Relayer) Run(ctx context.Context) {
	for waiter.Sleep(ctx, clockReadInterval) {
		if !relayer.group.HoldsLeaderLease() {
			continue
		}
		var requests sync.WaitGroup
		for _, vm := range relayer.members() {
			if vm != relayer.network.Self() {
				requests.Go(func() { relayer.readClock(ctx, vm) })
			}
		}
		requests.Wait()
		relayer.updateRelays()
	}
}

// readClock reads the clock of a VM. The reading is dated to the arrival of the response, so that a permit calculated
// from it expires too early rather than too late.
func (relayer *Relayer) readClock(ctx context.Context, vm scheduler.VMName) {
	ctx, cancel := context.WithTimeout(ctx, clockReadTimeout)
	defer cancel()
	data, err := relayer.network.Call(ctx, vm, relayer.group.Name(), kindPermit, nil)
	var response permitResponse
	if err == nil {
		err = Error.Wrap(encoder.Unmarshal(data, &response))
	}
	if err != nil {
		relayer.logger.Debug().Str("event", "helperSilent").Str("peer", string(vm)).Err(err).Msg("clock reading failed")
		return
	}
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.clocks[vm] = clockReading{process: response.Process, value: response.Clock, takenAt: relayer.clock.Elapsed()}
}

// updateRelays passes the VMs with a recent clock reading to the router.
func (relayer *Relayer) updateRelays() {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	now := relayer.clock.Elapsed()
	var relays []scheduler.VMName
	for vm, reading := range relayer.clocks {
		if now-reading.takenAt < maxReadingAge {
			relays = append(relays, vm)
			continue
		}
		delete(relayer.clocks, vm)
	}
	if len(relays) != len(relayer.router.relays) {
		relayer.logger.Info().Str("event", "helpersChanged").Int("helpers", len(relays)).
			Int("workers", len(relayer.router.routes)).Msg("number of relays for orders to workers changed")
	}
	relayer.router.setRelays(relays)
	relayer.metrics.relays.Update(float64(len(relays)))
}

// selectVM returns the VM that sends the next order to a worker, with a permit unless it is this VM.
func (relayer *Relayer) selectVM(worker scheduler.WorkerName) (scheduler.VMName, permit) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	now := relayer.clock.Elapsed()
	vm := relayer.router.next(worker, now)
	reading, known := relayer.clocks[vm]
	if !known || now-reading.takenAt > maxReadingAge {
		return relayer.network.Self(), permit{}
	}
	return vm, permit{Process: reading.process, Until: reading.value + now - reading.takenAt + permitDuration}
}

func (relayer *Relayer) recordFailure(worker scheduler.WorkerName, vm scheduler.VMName) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.router.recordFailure(worker, vm, relayer.clock.Elapsed())
}

// send sends an order to a relay. An error of class ErrNotRun means that the order was not sent to the worker.
func (relayer *Relayer) send(ctx context.Context, vm scheduler.VMName, message *orderMessage) (responseMessage, error) {
	message.Timeout = timeLeft(ctx) - responseMargin
	body, err := encoder.Marshal(message)
	if err != nil {
		return responseMessage{}, scheduler.ErrNotRun.Wrap(Error.Wrap(err))
	}
	data, err := relayer.network.Call(ctx, vm, relayer.group.Name(), kindOrder, body)
	if err != nil {
		return responseMessage{}, Error.Wrap(err)
	}
	var response responseMessage
	if err := encoder.Unmarshal(data, &response); err != nil {
		return responseMessage{}, scheduler.ErrOutcomeUnknown.Wrap(Error.Wrap(err))
	}
	if message.Renew != nil && response.Report == nil {
		return responseMessage{}, scheduler.ErrOutcomeUnknown.Wrap(Error.New("the response of %s has no report", vm))
	}
	return response, nil
}

// timeLeft returns the time until the deadline of ctx, or defaultTimeout if it has none.
func timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return defaultTimeout
}

// defaultTimeout bounds orders without a deadline.
const defaultTimeout = 3 * time.Second

// deliver sends an order directly or through a relay, and records whether that VM failed to reach the worker.
func (relayer *Relayer) deliver(
	ctx context.Context, worker scheduler.WorkerRef, message *orderMessage, direct func() (responseMessage, error),
) (responseMessage, error) {
	vm, permit := relayer.selectVM(worker.Worker)
	var response responseMessage
	var err error
	if vm == relayer.network.Self() {
		response, err = direct()
	} else {
		relayer.metrics.relayed.Inc(1)
		message.Worker, message.Permit = worker, permit
		response, err = relayer.send(ctx, vm, message)
	}
	relayer.recordResult(ctx, worker, vm, err)
	return response, err
}

// order delivers an order whose response is an OrderResponse.
func (relayer *Relayer) order(
	ctx context.Context, worker scheduler.WorkerRef, message *orderMessage, direct func() (scheduler.OrderResponse, error),
) (scheduler.OrderResponse, error) {
	response, err := relayer.deliver(ctx, worker, message, func() (responseMessage, error) {
		response, err := direct()
		return responseMessage{Response: response}, err
	})
	return response.Response, err
}

// recordResult records whether a VM failed to reach a worker. An order that its sender has cancelled is not counted,
// since it does not show that the VM failed.
func (relayer *Relayer) recordResult(ctx context.Context, worker scheduler.WorkerRef, vm scheduler.VMName, err error) {
	if err != nil && ctx.Err() != context.Canceled {
		relayer.metrics.failed.Inc(1)
		relayer.recordFailure(worker.Worker, vm)
	}
}

// Start implements scheduler.WorkerClient.
func (relayer *Relayer) Start(
	ctx context.Context, worker scheduler.WorkerRef, order scheduler.StartOrder,
) (scheduler.OrderResponse, error) {
	return relayer.order(ctx, worker, &orderMessage{Start: &order}, func() (scheduler.OrderResponse, error) {
		return relayer.direct.Start(ctx, worker, order)
	})
}

// Stop implements scheduler.WorkerClient.
func (relayer *Relayer) Stop(
	ctx context.Context, worker scheduler.WorkerRef, run scheduler.RunID, token scheduler.Term,
) (scheduler.OrderResponse, error) {
	return relayer.order(ctx, worker, &orderMessage{Stop: &stopOrder{Run: run, Token: token}},
		func() (scheduler.OrderResponse, error) { return relayer.direct.Stop(ctx, worker, run, token) })
}

// Throttle implements scheduler.WorkerClient.
func (relayer *Relayer) Throttle(
	ctx context.Context, worker scheduler.WorkerRef, run scheduler.RunID, percent int, token scheduler.Term,
) (scheduler.OrderResponse, error) {
	message := &orderMessage{Throttle: &throttleOrder{Run: run, Percent: percent, Token: token}}
	return relayer.order(ctx, worker, message, func() (scheduler.OrderResponse, error) {
		return relayer.direct.Throttle(ctx, worker, run, percent, token)
	})
}

// Renew implements scheduler.WorkerClient.
func (relayer *Relayer) Renew(
	ctx context.Context, worker scheduler.WorkerRef, order scheduler.RenewOrder,
) (scheduler.WorkerReport, error) {
	response, err := relayer.deliver(ctx, worker, &orderMessage{Renew: &order}, func() (responseMessage, error) {
		report, err := relayer.direct.Renew(ctx, worker, order)
		return responseMessage{Report: &report}, err
	})
	if err != nil {
		return scheduler.WorkerReport{}, err
	}
	return *response.Report, nil
}
