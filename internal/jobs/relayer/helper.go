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

// helper sends the orders of a leader on another VM.
type helper struct {
	client  scheduler.WorkerClient
	watch   stopwatch.Stopwatch
	process uint64
	// token is the highest fencing token that was seen. Orders with a lower one come from a former leader.
	token atomic.Uint64
}

// Serve registers the handlers of orders from other VMs with a transport. The orders are sent with client. watch
// measures until when a permit holds.
func Serve(transport scheduler.Transport, group scheduler.GroupName, client scheduler.WorkerClient, watch stopwatch.Stopwatch) {
	helper := &helper{client: client, watch: watch, process: rand.Uint64()}
	transport.Handle(group, kindPermit, helper.handlePermit)
	transport.Handle(group, kindOrder, helper.handleOrder)
}

func (helper *helper) handlePermit(context.Context, scheduler.VMName, []byte) ([]byte, error) {
	return encoder.Marshal(permitAnswer{Process: helper.process, Clock: helper.watch.Elapsed()})
}

func (helper *helper) handleOrder(ctx context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
	var message orderMessage
	if err := encoder.Unmarshal(body, &message); err != nil {
		return nil, scheduler.ErrNotRun.Wrap(Error.Wrap(err))
	}
	ctx, cancel := context.WithTimeout(ctx, max(message.Timeout, time.Millisecond))
	defer cancel()
	answer, err := helper.execute(ctx, &message)
	if err != nil {
		return nil, err
	}
	return encoder.Marshal(answer)
}

// execute sends an order if it may still be sent. The permit is checked last.
func (helper *helper) execute(ctx context.Context, message *orderMessage) (answerMessage, error) {
	if !helper.admit(message.token()) {
		return fenced(message), nil
	}
	if message.Permit.Process != helper.process || helper.watch.Elapsed() > message.Permit.Until {
		return answerMessage{}, scheduler.ErrNotRun.Wrap(Error.New("the permit to send the order has ended"))
	}
	var answer answerMessage
	var err error
	switch {
	case message.Start != nil:
		answer.Answer, err = helper.client.Start(ctx, message.Worker, *message.Start)
	case message.Stop != nil:
		answer.Answer, err = helper.client.Stop(ctx, message.Worker, message.Stop.Run, message.Stop.Token)
	case message.Renew != nil:
		var report scheduler.WorkerReport
		report, err = helper.client.Renew(ctx, message.Worker, *message.Renew)
		answer.Report = &report
	case message.Throttle != nil:
		answer.Answer, err = helper.client.Throttle(ctx, message.Worker, message.Throttle.Run, message.Throttle.Percent, message.Throttle.Token)
	default:
		err = scheduler.ErrNotRun.Wrap(Error.New("the order is empty"))
	}
	return answer, err
}

// admit notes a token and reports whether no higher one was seen.
func (helper *helper) admit(token scheduler.Term) bool {
	for {
		highest := helper.token.Load()
		if uint64(token) < highest {
			return false
		}
		if uint64(token) == highest || helper.token.CompareAndSwap(highest, uint64(token)) {
			return true
		}
	}
}

// fenced is the answer to the order of a former leader, as a worker would give it.
func fenced(message *orderMessage) answerMessage {
	if message.Renew != nil {
		return answerMessage{Report: &scheduler.WorkerReport{Result: scheduler.OrderFenced}}
	}
	return answerMessage{Answer: scheduler.OrderResponse{Result: scheduler.OrderFenced}}
}
