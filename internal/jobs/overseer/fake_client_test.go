package overseer

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// reach returns the instance at an address. An error means that the order was not answered; it may still take effect
// later. An order for a different instance has no effect, see scheduler.WorkerClient.
func (fleet *fakeFleet) reach(
	ctx context.Context, ref scheduler.WorkerRef, effect func(worker *fakeWorker),
) (*fakeWorker, error) {
	time.Sleep(time.Millisecond)
	fleet.mutex.Lock()
	worker := fleet.workers[ref.Address]
	other := worker != nil && worker.incarnation != ref.Instance
	late := (fleet.random.Float64() < fleet.lateRate || isLate(ctx)) && !other
	delay := 2*time.Second + time.Duration(fleet.random.Int64N(int64(10*time.Second)))
	closed := worker != nil && worker.closed && !worker.partitioned
	unreachable := worker == nil || worker.dead || worker.partitioned || worker.capacities.losesOrders()
	if late {
		fleet.cancellations.lateAt[ref.Worker] = time.Now()
	}
	fleet.mutex.Unlock()
	if closed {
		return nil, errConnectionRefused
	}
	if late && !unreachable {
		go func() {
			time.Sleep(delay)
			fleet.mutex.Lock()
			defer fleet.mutex.Unlock()
			if !worker.dead { // A pending order is lost when the worker instance ends.
				effect(worker)
			}
		}()
	}
	if late || unreachable {
		<-ctx.Done()
		return nil, scheduler.ErrOutcomeUnknown.Wrap(ctx.Err())
	}
	return worker, nil
}

// lateKey marks the context of an order that is not answered and takes effect seconds later.
type lateKey struct{}

func isLate(ctx context.Context) bool { return ctx.Value(lateKey{}) != nil }

// Stop implements scheduler.WorkerClient.
func (fleet *fakeFleet) Stop(
	ctx context.Context, ref scheduler.WorkerRef, run scheduler.RunID, token scheduler.Term,
) (scheduler.OrderResponse, error) {
	worker, err := fleet.reach(ctx, ref, func(worker *fakeWorker) { worker.stop(run, token) })
	if err != nil {
		return scheduler.OrderResponse{}, err
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if worker.dead {
		return scheduler.OrderResponse{}, errWorkerDied
	}
	if worker.incarnation != ref.Instance {
		return scheduler.OrderResponse{Result: scheduler.OrderIncarnationMismatch}, nil
	}
	return scheduler.OrderResponse{Result: worker.stop(run, token), Clock: worker.clock()}, nil
}

func (worker *fakeWorker) stop(run scheduler.RunID, token scheduler.Term) scheduler.OrderResult {
	worker.advance()
	if token < worker.token {
		return scheduler.OrderFenced
	}
	worker.token = token
	worker.highestAttempt[run.Task] = max(worker.highestAttempt[run.Task], run.Attempt)
	if started := worker.runs[run]; started != nil {
		if started.endsAt.IsZero() {
			worker.fleet.stopped[run.Task] = true
			worker.fleet.maxStopped = max(worker.fleet.maxStopped, len(worker.fleet.stopped))
		}
		worker.end(run, scheduler.EndStopped, worker.fleet.checkpointOf(run.Task))
	}
	return scheduler.OrderAccepted
}

// Renew implements scheduler.WorkerClient.
func (fleet *fakeFleet) Renew(
	ctx context.Context, ref scheduler.WorkerRef, order scheduler.RenewOrder,
) (scheduler.WorkerReport, error) {
	worker, err := fleet.reach(ctx, ref, func(worker *fakeWorker) { worker.renew(order) })
	if err != nil {
		return scheduler.WorkerReport{}, err
	}
	fleet.mutex.Lock()
	if worker.dead {
		fleet.mutex.Unlock()
		return scheduler.WorkerReport{}, errWorkerDied
	}
	if worker.incarnation != ref.Instance {
		fleet.mutex.Unlock()
		return scheduler.WorkerReport{Result: scheduler.OrderIncarnationMismatch, Instance: worker.incarnation}, nil
	}
	result := worker.renew(order)
	signal, waits := worker.endSignal, result == scheduler.OrderAccepted && len(worker.ends) == 0 && order.Wait > 0
	fleet.mutex.Unlock()
	if waits {
		select {
		case <-signal:
		case <-time.After(order.Wait):
		case <-ctx.Done():
			return scheduler.WorkerReport{}, scheduler.ErrOutcomeUnknown.Wrap(ctx.Err())
		}
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if worker.closed && !worker.partitioned {
		return scheduler.WorkerReport{}, errConnectionClosed
	}
	if worker.dead || worker.partitioned {
		return scheduler.WorkerReport{}, scheduler.ErrOutcomeUnknown.New("the worker is unreachable")
	}
	report := scheduler.WorkerReport{
		Result: result, Instance: worker.incarnation, Clock: worker.clock(),
		Ended: append([]scheduler.AttemptEnd(nil), worker.listedEnds()...),
	}
	for id, run := range worker.runs {
		report.Running = append(report.Running, scheduler.RunningAttempt{
			Run: id, Checkpoint: run.checkpoint, Progress: operationalProgress,
		})
	}
	return report, nil
}

// listedEnds returns the ends that fit into one report.
func (worker *fakeWorker) listedEnds() []scheduler.AttemptEnd {
	if limit := worker.fleet.maxListedEnds; limit > 0 && len(worker.ends) > limit {
		return worker.ends[:limit]
	}
	return worker.ends
}

func (worker *fakeWorker) renew(order scheduler.RenewOrder) scheduler.OrderResult {
	worker.advance()
	if order.Token < worker.token {
		return scheduler.OrderFenced
	}
	worker.token = order.Token
	if order.LeaseEnd > 0 {
		if worker.clock() > order.LeaseEnd {
			return scheduler.OrderLeaseExpired
		}
		worker.leaseEnd = max(worker.leaseEnd, min(order.LeaseEnd, worker.clock()+fakeLease))
	}
	var kept []scheduler.AttemptEnd
	for _, end := range worker.ends {
		if end.Number > order.Acknowledged {
			kept = append(kept, end)
			continue
		}
		if end.Kind == scheduler.EndFinished && end.Number > worker.expiredUpTo {
			worker.fleet.finished[end.Run.Task] = true
			if worker.fleet.finishedAt[end.Run.Task].IsZero() {
				worker.fleet.finishedAt[end.Run.Task] = time.Now()
			}
		}
	}
	worker.ends = kept
	return scheduler.OrderAccepted
}

// Throttle implements scheduler.WorkerClient.
func (fleet *fakeFleet) Throttle(
	ctx context.Context, ref scheduler.WorkerRef, _ scheduler.RunID, _ int, _ scheduler.Term,
) (scheduler.OrderResponse, error) {
	_, err := fleet.reach(ctx, ref, func(*fakeWorker) {})
	return scheduler.OrderResponse{Result: scheduler.OrderAccepted}, err
}
