package relayer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/internal/basics/stopwatch"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// relay sends orders to workers on behalf of the leader, which runs on another VM.
type relay struct {
	client  scheduler.WorkerClient
	clock   stopwatch.Stopwatch
	process uint64
	// highestToken is the highest fencing token received. Orders with a lower token come from a former leader.
	highestToken atomic.Uint64
}

// Serve registers the handlers for orders from other VMs with a transport. The orders are sent with client. Permits
// expire by clock.
func Serve(
	transport scheduler.Transport, group scheduler.GroupName, client scheduler.WorkerClient, clock stopwatch.Stopwatch,
) {
	relay := &relay{client: client, clock: clock, process: rand.Uint64()}
	transport.Handle(group, kindPermit, relay.handlePermit)
	transport.Handle(group, kindOrder, relay.handleOrder)
}

func (relay *relay) handlePermit(context.Context, scheduler.VMName, []byte) ([]byte, error) {
	return encoder.Marshal(permitResponse{Process: relay.process, Clock: relay.clock.Elapsed()})
}

func (relay *relay) handleOrder(ctx context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
	var message orderMessage
	if err := encoder.Unmarshal(body, &message); err != nil {
		return nil, scheduler.ErrNotRun.Wrap(Error.Wrap(err))
	}
	ctx, cancel := context.WithTimeout(ctx, max(message.Timeout, time.Millisecond))
	defer cancel()
	response, err := relay.execute(ctx, &message)
	if err != nil {
		return nil, err
	}
	return encoder.Marshal(response)
}

// execute sends an order unless its fencing token is outdated or its permit has expired. The permit is checked last.
func (relay *relay) execute(ctx context.Context, message *orderMessage) (responseMessage, error) {
	if !relay.acceptToken(message.token()) {
		return fencedResponse(message), nil
	}
	if message.Permit.Process != relay.process || relay.clock.Elapsed() > message.Permit.Until {
		return responseMessage{}, scheduler.ErrNotRun.Wrap(Error.New("the permit to send the order has ended"))
	}
	var response responseMessage
	var err error
	switch {
	case message.Start != nil:
		response.Response, err = relay.client.Start(ctx, message.Worker, *message.Start)
	case message.Stop != nil:
		response.Response, err = relay.client.Stop(ctx, message.Worker, message.Stop.Run, message.Stop.Token)
	case message.Renew != nil:
		var report scheduler.WorkerReport
		report, err = relay.client.Renew(ctx, message.Worker, *message.Renew)
		response.Report = &report
	case message.Throttle != nil:
		response.Response, err = relay.client.Throttle(
			ctx, message.Worker, message.Throttle.Run, message.Throttle.Percent, message.Throttle.Token,
		)
	default:
		err = scheduler.ErrNotRun.Wrap(Error.New("the order has no operation set"))
	}
	return response, err
}

// acceptToken reports whether no higher token has been received, and records the token if so.
func (relay *relay) acceptToken(token scheduler.Term) bool {
	for {
		highest := relay.highestToken.Load()
		if uint64(token) < highest {
			return false
		}
		if uint64(token) == highest || relay.highestToken.CompareAndSwap(highest, uint64(token)) {
			return true
		}
	}
}

// fencedResponse returns the response to an order of a former leader, which is the same as that of a worker.
func fencedResponse(message *orderMessage) responseMessage {
	if message.Renew != nil {
		return responseMessage{Report: &scheduler.WorkerReport{Result: scheduler.OrderFenced}}
	}
	return responseMessage{Response: scheduler.OrderResponse{Result: scheduler.OrderFenced}}
}
