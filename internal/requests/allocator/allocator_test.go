package allocator

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", "150")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const capacity = 8

// world is a data centre: the VMs with their gateways and allocators, the leadership, the endpoints and
// what they truly run.
type world struct {
	mutex     sync.Mutex
	random    *rand.Rand
	vms       []*vm
	leader    *vm
	term      scheduler.Term
	endpoints []scheduler.EndpointName
	running   map[scheduler.EndpointName]map[scheduler.GatewayID]int
	heard     map[scheduler.EndpointName]scheduler.ReceivedAnnouncement
	fault     string
	started   int
	// calm leaves out late messages, slow starts and long requests.
	calm bool
	work sync.WaitGroup
}

// vm is one VM. It is the fake of scheduler.Group and scheduler.Transport as well.
type vm struct {
	world    *world
	name     scheduler.VMName
	handlers map[scheduler.MessageKind]scheduler.MessageHandler
	shares   *ShareClient
	life     scheduler.Incarnation
	stop     context.CancelFunc
	dead     bool
	cut      bool
	frozen   bool
	reaching time.Time
	demand   int
	held     int
}

func (vm *vm) Name() scheduler.GroupName { return "couva" }

func (vm *vm) Self() scheduler.VMName { return vm.name }

func (vm *vm) Propose(context.Context, []byte) ([]byte, error) { return nil, nil }

func (vm *vm) ReadBarrier(context.Context) error                                         { return nil }
func (vm *vm) Send(scheduler.VMName, scheduler.GroupName, scheduler.MessageKind, []byte) {}

func (vm *vm) Status() scheduler.GroupStatus {
	vm.world.mutex.Lock()
	defer vm.world.mutex.Unlock()
	return scheduler.NewGroupStatus("", vm.world.term, vm.world.leader.name, 0, 0, nil)
}

// HoldsLeaderLease ends 700 ms after the VM last reached the others.
func (vm *vm) HoldsLeaderLease() bool {
	vm.world.mutex.Lock()
	defer vm.world.mutex.Unlock()
	return vm.world.leader == vm && !vm.dead && time.Since(vm.reaching) < 700*time.Millisecond
}

func (vm *vm) Handle(_ scheduler.GroupName, kind scheduler.MessageKind, handler scheduler.MessageHandler) {
	vm.handlers[kind] = handler
}

func (vm *vm) isolated() bool { return vm.dead || vm.cut || vm.frozen }

// thaw waits until the VM is not frozen.
func (vm *vm) thaw() {
	for {
		vm.world.mutex.Lock()
		frozen := vm.frozen
		vm.world.mutex.Unlock()
		if !frozen {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Call delivers a message even when the caller has stopped waiting, some of them late.
func (vm *vm) Call(ctx context.Context, to scheduler.VMName, _ scheduler.GroupName, kind scheduler.MessageKind, body []byte) ([]byte, error) {
	answered := make(chan []byte, 1)
	vm.world.work.Go(func() {
		time.Sleep(vm.world.lag())
		vm.thaw()
		vm.world.mutex.Lock()
		var handler scheduler.MessageHandler
		for _, other := range vm.world.vms {
			if other.name == to && !other.isolated() && !vm.isolated() {
				handler = other.handlers[kind]
			}
		}
		vm.world.mutex.Unlock()
		if handler == nil {
			return
		}
		if reply, err := handler(ctx, vm.name, body); err == nil {
			time.Sleep(vm.world.lag())
			vm.thaw()
			answered <- reply
		}
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case reply := <-answered:
		return reply, nil
	}
}

// lag returns the delay of a message: mostly below 20 ms, sometimes up to 2 s.
func (world *world) lag() time.Duration {
	if !world.calm && world.number(10) == 0 {
		return world.number(2000)
	}
	return world.number(20)
}

// number returns a random duration below the given count of milliseconds.
func (world *world) number(limit int) time.Duration {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return time.Duration(world.random.IntN(limit)) * time.Millisecond
}

func (world *world) Services() []scheduler.ServiceName                       { return []scheduler.ServiceName{"sizing"} }
func (world *world) Remotes(scheduler.ServiceName) []scheduler.RemoteService { return nil }

func (world *world) Endpoints(scheduler.ServiceName) []scheduler.Announcement {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	var found []scheduler.Announcement
	for _, name := range world.endpoints {
		if heard, ok := world.heard[name]; ok {
			found = append(found, heard.Announcement)
		}
	}
	return found
}

func (world *world) LastAnnouncement(name scheduler.EndpointName) (scheduler.ReceivedAnnouncement, bool) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	heard, ok := world.heard[name]
	return heard, ok
}

// newWorld starts three VMs, of which the first leads, and the endpoints.
func newWorld(ctx context.Context, seed uint64, endpoints int, calm bool) *world {
	world := &world{
		random:  rand.New(rand.NewPCG(seed, 1)),
		running: map[scheduler.EndpointName]map[scheduler.GatewayID]int{},
		heard:   map[scheduler.EndpointName]scheduler.ReceivedAnnouncement{},
		term:    1,
		calm:    calm,
	}
	for number := range endpoints {
		name := scheduler.EndpointName(fmt.Sprintf("desk-%d", number))
		world.endpoints = append(world.endpoints, name)
		world.running[name] = map[scheduler.GatewayID]int{}
	}
	for _, name := range world.endpoints {
		world.work.Go(func() { world.announce(ctx, name) })
	}
	for number := range 3 {
		world.vms = append(world.vms, &vm{world: world, name: scheduler.VMName(fmt.Sprintf("couva-%d", number+1)), demand: 20})
	}
	world.leader = world.vms[0]
	for _, vm := range world.vms {
		vm.start(ctx)
	}
	world.work.Go(func() {
		for ctx.Err() == nil {
			world.elect()
			time.Sleep(50 * time.Millisecond)
		}
	})
	return world
}

// elect renews the leader's contact, or replaces a leader that has been isolated for 1.2 s.
func (world *world) elect() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, vm := range world.vms {
		if !vm.isolated() {
			vm.reaching = time.Now()
		}
	}
	if time.Since(world.leader.reaching) > 1200*time.Millisecond {
		for _, vm := range world.vms {
			if !vm.isolated() {
				world.leader = vm
				world.term++
				return
			}
		}
	}
}

// announce sends what the endpoint runs every second; it arrives up to 900 ms later.
func (world *world) announce(ctx context.Context, name scheduler.EndpointName) {
	for ctx.Err() == nil {
		world.mutex.Lock()
		running := maps.Clone(world.running[name])
		lag := time.Duration(world.random.IntN(900)) * time.Millisecond
		world.mutex.Unlock()
		time.Sleep(lag)
		world.mutex.Lock()
		world.heard[name] = scheduler.ReceivedAnnouncement{Received: time.Now(), Announcement: scheduler.Announcement{
			Endpoint: name, Slots: capacity, Connections: 64, InProgress: running,
		}}
		world.mutex.Unlock()
		time.Sleep(time.Second - lag)
	}
}

// start begins a new life of the VM's gateway.
func (vm *vm) start(ctx context.Context) {
	vm.world.mutex.Lock()
	vm.life++
	vm.dead, vm.held, vm.reaching = false, 0, time.Now()
	vm.handlers = map[scheduler.MessageKind]scheduler.MessageHandler{}
	ctx, vm.stop = context.WithCancel(ctx)
	life := scheduler.NewGatewayID(vm.name, vm.life)
	allocator := New(vm, vm, vm.world)
	waiting := func(scheduler.ServiceName) int {
		vm.world.mutex.Lock()
		defer vm.world.mutex.Unlock()
		return vm.demand
	}
	shares := NewShareClient(life, vm, vm, vm.world, allocator, WithQueueLength(waiting))
	vm.shares = shares
	vm.world.mutex.Unlock()
	vm.world.work.Go(func() { _ = shares.Run(ctx) })
	vm.world.work.Go(func() { vm.load(ctx, shares, life) })
}

// load keeps up to demand requests in progress.
func (vm *vm) load(ctx context.Context, shares *ShareClient, life scheduler.GatewayID) {
	for ctx.Err() == nil {
		vm.thaw()
		vm.world.mutex.Lock()
		wants := vm.held < vm.demand
		endpoint := vm.world.endpoints[vm.world.random.IntN(len(vm.world.endpoints))]
		vm.world.mutex.Unlock()
		if wants {
			if slot, ok := shares.Acquire(endpoint); ok {
				vm.world.mutex.Lock()
				vm.held++
				vm.world.mutex.Unlock()
				vm.world.work.Go(func() { vm.request(ctx, life, endpoint, slot) })
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// request runs one request at an endpoint. It outlives the gateway.
func (vm *vm) request(ctx context.Context, life scheduler.GatewayID, endpoint scheduler.EndpointName, slot scheduler.Slot) {
	world := vm.world
	if !world.calm && world.number(6) == 0 {
		time.Sleep(world.number(7000))
	}
	vm.thaw()
	if ctx.Err() == nil && slot.Valid() {
		world.change(endpoint, life, 1)
		abandon := !world.calm && world.number(10) == 0
		if abandon {
			slot.Abandon()
		}
		length := world.number(300)
		if !world.calm && world.number(8) == 0 {
			length = world.number(9000)
		}
		time.Sleep(length)
		world.change(endpoint, life, -1)
	}
	slot.Release()
	world.mutex.Lock()
	vm.held--
	world.mutex.Unlock()
}

// change counts a request that starts or ends and checks the capacity.
func (world *world) change(endpoint scheduler.EndpointName, life scheduler.GatewayID, by int) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.running[endpoint][life] += by
	world.started += max(0, by)
	sum := 0
	for _, count := range world.running[endpoint] {
		sum += count
	}
	if sum > capacity && world.fault == "" {
		world.fault = fmt.Sprintf("%s runs %v in term %d", endpoint, world.running[endpoint], world.term)
	}
	if world.running[endpoint][life] == 0 {
		delete(world.running[endpoint], life)
	}
}

// event changes one VM.
type event struct {
	VM    int
	Kind  string
	After int
}

func (world *world) apply(ctx context.Context, event event) {
	vm := world.vms[event.VM]
	world.mutex.Lock()
	vm.cut = vm.cut && event.Kind != "heal" || event.Kind == "cut"
	vm.frozen = vm.frozen && event.Kind != "heal" || event.Kind == "freeze"
	switch event.Kind {
	case "idle":
		vm.demand = 0
	case "hot":
		vm.demand = 40
	case "kill":
		vm.dead = true
		vm.stop()
	}
	restart := event.Kind == "restart" && vm.dead
	world.mutex.Unlock()
	if restart {
		vm.start(ctx)
	}
}

// TestCapacity guards against more requests in progress at an endpoint than it has slots, over random
// schedules of deaths, restarts, cuts, freezes, changes of leader and moving demand.
func TestCapacity(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
			return event{
				VM:    rapid.IntRange(0, 2).Draw(rt, "vm"),
				Kind:  rapid.SampledFrom([]string{"cut", "cut", "heal", "freeze", "kill", "restart", "restart", "idle", "hot", "hot"}).Draw(rt, "kind"),
				After: rapid.IntRange(0, 6000).Draw(rt, "after"),
			}
		}), 4, 16).Draw(rt, "events")
		fault, started := simulate(t, seed, events)
		total += started
		if fault != "" {
			rt.Fatalf("over capacity: %s", fault)
		}
	})
	t.Logf("%d requests started", total)
	if total == 0 {
		t.Error("no request was started, want some")
	}
}

func simulate(t *testing.T, seed uint64, events []event) (fault string, started int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		world := newWorld(ctx, seed, 2, false)
		time.Sleep(5 * time.Second)
		for _, event := range events {
			world.apply(ctx, event)
			time.Sleep(time.Duration(event.After) * time.Millisecond)
		}
		time.Sleep(8 * time.Second)
		for number := range world.vms {
			world.apply(ctx, event{VM: number, Kind: "heal"})
		}
		time.Sleep(3 * time.Second)
		cancel()
		world.work.Wait()
		fault, started = world.fault, world.started
	})
	return fault, started
}
