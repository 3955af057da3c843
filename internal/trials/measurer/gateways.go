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

// vm is one entry VM. The first one leads the group for the whole run.
type vm struct {
	name     scheduler.VMName
	vms      *[]*vm
	handlers map[scheduler.MessageKind]scheduler.MessageHandler
}

// Name returns the name of the group.
func (vm *vm) Name() scheduler.GroupName { return "couva" }

// Self returns the name of the VM.
func (vm *vm) Self() scheduler.VMName { return vm.name }

// Propose fails: requests of the model are idempotent.
func (vm *vm) Propose(context.Context, []byte) ([]byte, error) {
	return nil, scheduler.ErrNotRun.New("no log")
}

// ReadBarrier has nothing to wait for.
func (vm *vm) ReadBarrier(context.Context) error { return nil }

// Status names the first VM as the leader.
func (vm *vm) Status() scheduler.GroupStatus {
	return scheduler.NewGroupStatus("", 1, (*vm.vms)[0].name, 0, 0, nil)
}

// HoldsLeaderLease reports whether this is the first VM.
func (vm *vm) HoldsLeaderLease() bool { return (*vm.vms)[0] == vm }

// Send drops the message; nothing of the model is sent that way.
func (vm *vm) Send(scheduler.VMName, scheduler.GroupName, scheduler.MessageKind, []byte) {}

// Handle registers a handler.
func (vm *vm) Handle(_ scheduler.GroupName, kind scheduler.MessageKind, handler scheduler.MessageHandler) {
	vm.handlers[kind] = handler
}

// Call has the other VM's handler answer after the way there and back.
func (vm *vm) Call(ctx context.Context, to scheduler.VMName, _ scheduler.GroupName, kind scheduler.MessageKind, body []byte) ([]byte, error) {
	time.Sleep(2 * hop)
	for _, other := range *vm.vms {
		if other.name == to {
			return other.handlers[kind](ctx, vm.name, body)
		}
	}
	return nil, scheduler.ErrNotRun.New("no VM %s", to)
}

// gateways starts the real gateways of the scenario and waits until they have shares.
func (model *model) gateways(ctx context.Context) (handlers []http.Handler, stop func()) {
	var running sync.WaitGroup
	heard := &directory{model: model}
	running.Go(func() { heard.run(ctx) })
	vms := &[]*vm{}
	for number := range model.scenario.Gateways {
		*vms = append(*vms, &vm{name: scheduler.VMName(fmt.Sprintf("couva-%d", number+1)), vms: vms, handlers: map[scheduler.MessageKind]scheduler.MessageHandler{}})
	}
	var made []*gateway.Gateway
	for number, vm := range *vms {
		added, shares := model.gateway(vm, heard, uint64(number)) //nolint:gosec // a small number
		made, handlers = append(made, added), append(handlers, added)
		running.Go(func() { _ = shares.Run(ctx) })
	}
	// A new allocator grants nothing for 3.3 s.
	time.Sleep(5 * time.Second)
	return handlers, func() {
		for _, gateway := range made {
			_ = gateway.Stop(context.Background())
		}
		running.Wait()
	}
}

func (model *model) gateway(vm *vm, heard *directory, number uint64) (*gateway.Gateway, *allocator.Shares) {
	random := &lockedRandom{random: rand.New(rand.NewPCG(model.scenario.Seed, number))}
	id := scheduler.NewGatewayID(vm.name, 1)
	queue := limiter.New()
	shares := allocator.NewShares(id, vm, vm, heard, allocator.New(vm, vm, heard),
		allocator.WithWaiting(queue.Waiting), allocator.WithNotify(queue.Wake))
	chooser := balancer.New(shares, balancer.WithRandom(random.intN))
	parts := gateway.Dependencies{
		Directory: heard, Free: shares.FreeOf, Balancer: chooser, Limiter: queue,
		Forwarder: forwarder.New(id, shares, forwarder.WithDial(model.dial), forwarder.WithBad(chooser.Eject)),
		Retrier:   retrier.New(retrier.WithRandom(func(limit time.Duration) time.Duration { return time.Duration(random.intN(int(limit))) })),
	}
	return gateway.New(vm.name, parts), shares
}

type lockedRandom struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func (locked *lockedRandom) intN(limit int) int {
	locked.mutex.Lock()
	defer locked.mutex.Unlock()
	return locked.random.IntN(limit)
}

// PrintRow writes one line of a table in Markdown.
func (result Result) PrintRow(w io.Writer, scenario Scenario) {
	path := "crocusplank"
	if scenario.Baseline {
		path = "baseline"
	}
	_, _ = fmt.Fprintf(w, "| %s | %.2f | %s | %s | %s | %s | %.1f%% | %d | %.2f |\n", scenario.Fault, scenario.Load, path,
		result.P50.Round(100*time.Microsecond), result.P99.Round(100*time.Microsecond), result.P999.Round(100*time.Microsecond),
		100*result.Goodput(), result.MaxInFlight, result.AttemptsPerRequest)
}
