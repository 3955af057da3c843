package measurer

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/crocusplank/crocusplank/internal/requests/allocator"
	"github.com/crocusplank/crocusplank/internal/requests/balancer"
	"github.com/crocusplank/crocusplank/internal/requests/forwarder"
	"github.com/crocusplank/crocusplank/internal/requests/gateway"
	"github.com/crocusplank/crocusplank/internal/requests/limiter"
	"github.com/crocusplank/crocusplank/internal/requests/retrier"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// vm is an entry VM with its group and its connections to the other VMs, all in memory. The first VM leads the group
// for the whole run.
type vm struct {
	name     scheduler.VMName
	allVMs   *[]*vm
	handlers map[scheduler.MessageKind]scheduler.MessageHandler
}

// Name returns the name of the group.
func (vm *vm) Name() scheduler.GroupName { return "couva" }

// Self returns the name of the VM.
func (vm *vm) Self() scheduler.VMName { return vm.name }

// Propose always fails: the requests of the model are idempotent, so that nothing needs to be replicated.
func (vm *vm) Propose(context.Context, []byte) ([]byte, error) {
	return nil, scheduler.ErrNotRun.New("no log")
}

// ReadBarrier returns at once because the group has no log.
func (vm *vm) ReadBarrier(context.Context) error { return nil }

// Status reports the first VM as the leader.
func (vm *vm) Status() scheduler.GroupStatus {
	return scheduler.NewGroupStatus("", 1, (*vm.allVMs)[0].name, 0, 0, nil)
}

// HoldsLeaderLease reports whether this is the first VM.
func (vm *vm) HoldsLeaderLease() bool { return (*vm.allVMs)[0] == vm }

// Send drops the message; the model uses Call only.
func (vm *vm) Send(scheduler.VMName, scheduler.GroupName, scheduler.MessageKind, []byte) {}

// Handle registers the handler for a kind of message.
func (vm *vm) Handle(_ scheduler.GroupName, kind scheduler.MessageKind, handler scheduler.MessageHandler) {
	vm.handlers[kind] = handler
}

// Call runs the handler of another VM after the network round trip.
func (vm *vm) Call(ctx context.Context, to scheduler.VMName, _ scheduler.GroupName, kind scheduler.MessageKind, body []byte) ([]byte, error) {
	time.Sleep(2 * oneWayLatency)
	for _, other := range *vm.allVMs {
		if other.name == to {
			return other.handlers[kind](ctx, vm.name, body)
		}
	}
	return nil, scheduler.ErrNotRun.New("no VM %s", to)
}

// startGateways starts the scenario's gateways, which are the production code, and waits until slots have been
// granted to them.
func (model *model) startGateways(ctx context.Context) (handlers []http.Handler, stop func()) {
	var running sync.WaitGroup
	announced := &directory{model: model}
	running.Go(func() { announced.run(ctx) })
	vms := &[]*vm{}
	for number := range model.scenario.Gateways {
		*vms = append(*vms, &vm{name: scheduler.VMName(fmt.Sprintf("couva-%d", number+1)), allVMs: vms, handlers: map[scheduler.MessageKind]scheduler.MessageHandler{}})
	}
	var started []*gateway.Gateway
	for number, vm := range *vms {
		added, shares := model.newGateway(vm, announced, uint64(number)) //nolint:gosec // a small number
		started, handlers = append(started, added), append(handlers, added)
		running.Go(func() { _ = shares.Run(ctx) })
	}
	// A new allocator grants no slots for the first 3.3 s.
	time.Sleep(5 * time.Second)
	return handlers, func() {
		for _, gateway := range started {
			_ = gateway.Stop(context.Background())
		}
		running.Wait()
	}
}

func (model *model) newGateway(vm *vm, announced *directory, number uint64) (*gateway.Gateway, *allocator.ShareClient) {
	random := &lockedRandom{random: rand.New(rand.NewPCG(model.scenario.Seed, number))}
	id := scheduler.NewGatewayID(vm.name, 1)
	queue := limiter.New()
	shares := allocator.NewShareClient(id, vm, vm, announced, allocator.New(vm, vm, announced),
		allocator.WithQueueLength(queue.QueuedRequests), allocator.WithFreeSlotsHandler(queue.Wake))
	chooser := balancer.New(shares, balancer.WithRandom(random.intN))
	dependencies := gateway.Dependencies{
		Directory: announced, Free: shares.FreeForService, Balancer: chooser, Limiter: queue,
		Forwarder: forwarder.New(id, shares, forwarder.WithDial(model.dial), forwarder.WithUnresponsiveHandler(chooser.Eject)),
		Retrier:   retrier.New(retrier.WithRandom(func(limit time.Duration) time.Duration { return time.Duration(random.intN(int(limit))) })),
	}
	return gateway.New(vm.name, dependencies), shares
}

type lockedRandom struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func (lockedRandom *lockedRandom) intN(limit int) int {
	lockedRandom.mutex.Lock()
	defer lockedRandom.mutex.Unlock()
	return lockedRandom.random.IntN(limit)
}

// PrintRow writes the result as one row of a Markdown table.
func (result Result) PrintRow(w io.Writer, scenario Scenario) {
	requestPath := "crocusplank"
	if scenario.Baseline {
		requestPath = "baseline"
	}
	_, _ = fmt.Fprintf(w, "| %s | %.2f | %s | %s | %s | %s | %.1f%% | %d | %.2f |\n", scenario.Fault, scenario.Load, requestPath,
		result.P50.Round(100*time.Microsecond), result.P99.Round(100*time.Microsecond), result.P999.Round(100*time.Microsecond),
		100*result.Goodput(), result.MaxInFlight, result.AttemptsPerRequest)
}
