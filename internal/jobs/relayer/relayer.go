// Package relayer spreads the calls to workers over the VMs that hold the state of a domain. The leader decides
// and records; other VMs send its orders and pass the answers back. They decide nothing: an order carries the
// leader's fencing token and a permit, which ends on the clock of the VM that sends it, so that a VM that was
// frozen or cut off does not send orders that the leader has given up.
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
	// permitInterval is how often the leader asks for the clocks of the other VMs, and permitTimeout bounds that
	// question.
	permitInterval = 300 * time.Millisecond
	permitTimeout  = 700 * time.Millisecond
	// permitAge is how old a clock reading may be. A VM that has not answered for so long sends no orders.
	permitAge = 1500 * time.Millisecond
	// permitDuration is for how long a VM may begin to send an order. It covers the way there and a short queue.
	permitDuration = 600 * time.Millisecond
	// answerSlack is added to the time for which the other VM waits for the worker, for the way back.
	answerSlack = 100 * time.Millisecond
)

// Relayer is a scheduler.WorkerClient that sends an order itself or through another VM. It is safe for concurrent
// use.
type Relayer struct {
	direct  scheduler.WorkerClient
	network scheduler.Transport
	group   scheduler.Group
	members func() []scheduler.VMName
	watch   stopwatch.Stopwatch
	logger  zerolog.Logger
	metrics *metrics

	mutex  sync.Mutex
	router *router
	clocks map[scheduler.VMName]reading
}

var _ scheduler.WorkerClient = (*Relayer)(nil)

// reading is a reading of another VM's clock. It was made at, or before, taken.
type reading struct {
	process uint64
	clock   time.Duration
	taken   time.Duration
}

// New returns a Relayer that sends orders with direct, and through the VMs that members returns.
func New(direct scheduler.WorkerClient, network scheduler.Transport, group scheduler.Group, members func() []scheduler.VMName, options ...Option) *Relayer {
	relayer := &Relayer{
		direct: direct, network: network, group: group, members: members, watch: stopwatch.Start(), logger: zerolog.Nop(),
		metrics: newMetrics(tally.NoopScope), router: newRouter(network.Self()), clocks: map[scheduler.VMName]reading{},
	}
	for _, option := range options {
		option(relayer)
	}
	return relayer
}

// Run keeps track of the VMs that may send orders, while this VM leads, until ctx ends.
func (relayer *Relayer) Run(ctx context.Context) {
	for waiter.Sleep(ctx, permitInterval) {
		if !relayer.group.HoldsLeaderLease() {
			continue
		}
		var questions sync.WaitGroup
		for _, vm := range relayer.members() {
			if vm != relayer.network.Self() {
				questions.Go(func() { relayer.readClock(ctx, vm) })
			}
		}
		questions.Wait()
		relayer.update()
	}
}

// readClock asks a VM for its clock. The reading counts from the arrival of the answer, so a permit that is worked
// out from it ends too early rather than too late.
func (relayer *Relayer) readClock(ctx context.Context, vm scheduler.VMName) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	data, err := relayer.network.Call(ctx, vm, relayer.group.Name(), kindPermit, nil)
	var answer permitAnswer
	if err == nil {
		err = Error.Wrap(encoder.Unmarshal(data, &answer))
	}
	if err != nil {
		relayer.logger.Debug().Str("event", "helperSilent").Str("peer", string(vm)).Err(err).Msg("no clock reading")
		return
	}
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.clocks[vm] = reading{process: answer.Process, clock: answer.Clock, taken: relayer.watch.Elapsed()}
}

// update tells the router which VMs may send orders.
func (relayer *Relayer) update() {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	now := relayer.watch.Elapsed()
	var helpers []scheduler.VMName
	for vm, reading := range relayer.clocks {
		if now-reading.taken < permitAge {
			helpers = append(helpers, vm)
			continue
		}
		delete(relayer.clocks, vm)
	}
	if len(helpers) != len(relayer.router.helpers) {
		relayer.logger.Info().Str("event", "helpersChanged").Int("helpers", len(helpers)).Int("workers", len(relayer.router.routes)).
			Msg("other set of VMs sends orders to workers")
	}
	relayer.router.setHelpers(helpers)
	relayer.metrics.helpers.Update(float64(len(helpers)))
}

// choose returns the VM that sends the next order to a worker, with a permit if it is another one.
func (relayer *Relayer) choose(worker scheduler.WorkerName) (scheduler.VMName, permit) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	now := relayer.watch.Elapsed()
	vm := relayer.router.next(worker, now)
	reading, known := relayer.clocks[vm]
	if !known || now-reading.taken > permitAge {
		return relayer.network.Self(), permit{}
	}
	return vm, permit{Process: reading.process, Until: reading.clock + now - reading.taken + permitDuration}
}

func (relayer *Relayer) failed(worker scheduler.WorkerName, vm scheduler.VMName) {
	relayer.mutex.Lock()
	defer relayer.mutex.Unlock()
	relayer.router.failed(worker, vm, relayer.watch.Elapsed())
}

// send passes an order to another VM. An error of class ErrNotRun means that no VM has sent it.
func (relayer *Relayer) send(ctx context.Context, vm scheduler.VMName, message *orderMessage) (answerMessage, error) {
	message.Timeout = timeLeft(ctx) - answerSlack
	body, err := encoder.Marshal(message)
	if err != nil {
		return answerMessage{}, scheduler.ErrNotRun.Wrap(Error.Wrap(err))
	}
	data, err := relayer.network.Call(ctx, vm, relayer.group.Name(), kindOrder, body)
	if err != nil {
		return answerMessage{}, Error.Wrap(err)
	}
	var answer answerMessage
	if err := encoder.Unmarshal(data, &answer); err != nil {
		return answerMessage{}, scheduler.ErrOutcomeUnknown.Wrap(Error.Wrap(err))
	}
	if message.Renew != nil && answer.Report == nil {
		return answerMessage{}, scheduler.ErrOutcomeUnknown.Wrap(Error.New("the answer of %s has no report", vm))
	}
	return answer, nil
}

// timeLeft returns how long ctx lasts, defaultTimeout if it has no end.
func timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return defaultTimeout
}

// defaultTimeout bounds orders whose sender has set no bound.
const defaultTimeout = 3 * time.Second

// deliver sends an order itself or through another VM, and notes whether that way has failed.
func (relayer *Relayer) deliver(ctx context.Context, worker scheduler.WorkerRef, message *orderMessage, direct func() (answerMessage, error)) (answerMessage, error) {
	vm, permit := relayer.choose(worker.Worker)
	var answer answerMessage
	var err error
	if vm == relayer.network.Self() {
		answer, err = direct()
	} else {
		relayer.metrics.relayed.Inc(1)
		message.Worker, message.Permit = worker, permit
		answer, err = relayer.send(ctx, vm, message)
	}
	relayer.note(ctx, worker, vm, err)
	return answer, err
}

// order delivers an order with a short answer.
func (relayer *Relayer) order(ctx context.Context, worker scheduler.WorkerRef, message *orderMessage, direct func() (scheduler.OrderResponse, error)) (scheduler.OrderResponse, error) {
	answer, err := relayer.deliver(ctx, worker, message, func() (answerMessage, error) {
		answer, err := direct()
		return answerMessage{Answer: answer}, err
	})
	return answer.Answer, err
}

// note notes whether a way to a worker has failed. An order that its sender has given up says nothing.
func (relayer *Relayer) note(ctx context.Context, worker scheduler.WorkerRef, vm scheduler.VMName, err error) {
	if err != nil && ctx.Err() != context.Canceled {
		relayer.metrics.failed.Inc(1)
		relayer.failed(worker.Worker, vm)
	}
}

// Start implements scheduler.WorkerClient.
func (relayer *Relayer) Start(ctx context.Context, worker scheduler.WorkerRef, order scheduler.StartOrder) (scheduler.OrderResponse, error) {
	return relayer.order(ctx, worker, &orderMessage{Start: &order}, func() (scheduler.OrderResponse, error) {
		return relayer.direct.Start(ctx, worker, order)
	})
}

// Stop implements scheduler.WorkerClient.
func (relayer *Relayer) Stop(ctx context.Context, worker scheduler.WorkerRef, run scheduler.RunID, token scheduler.Term) (scheduler.OrderResponse, error) {
	return relayer.order(ctx, worker, &orderMessage{Stop: &stopOrder{Run: run, Token: token}}, func() (scheduler.OrderResponse, error) {
		return relayer.direct.Stop(ctx, worker, run, token)
	})
}

// Throttle implements scheduler.WorkerClient.
func (relayer *Relayer) Throttle(ctx context.Context, worker scheduler.WorkerRef, run scheduler.RunID, percent int, token scheduler.Term) (scheduler.OrderResponse, error) {
	message := &orderMessage{Throttle: &throttleOrder{Run: run, Percent: percent, Token: token}}
	return relayer.order(ctx, worker, message, func() (scheduler.OrderResponse, error) {
		return relayer.direct.Throttle(ctx, worker, run, percent, token)
	})
}

// Renew implements scheduler.WorkerClient.
func (relayer *Relayer) Renew(ctx context.Context, worker scheduler.WorkerRef, order scheduler.RenewOrder) (scheduler.WorkerReport, error) {
	answer, err := relayer.deliver(ctx, worker, &orderMessage{Renew: &order}, func() (answerMessage, error) {
		report, err := relayer.direct.Renew(ctx, worker, order)
		return answerMessage{Report: &report}, err
	})
	if err != nil {
		return scheduler.WorkerReport{}, err
	}
	return *answer.Report, nil
}
