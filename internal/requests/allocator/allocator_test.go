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

// cluster simulates a data centre: the VMs with their gateways and allocators, the leader, the endpoints and the
// requests that actually run at each endpoint.
type cluster struct {
	mutex         sync.Mutex
	random        *rand.Rand
	vms           []*vm
	leader        *vm
	term          scheduler.Term
	endpoints     []scheduler.EndpointName
	running       map[scheduler.EndpointName]map[scheduler.GatewayID]int
	announcements map[scheduler.EndpointName]scheduler.ReceivedAnnouncement
	violation     string
	started       int
	// stable disables late messages, delayed request starts and long requests.
	stable bool
	tasks  sync.WaitGroup
}

// vm is a simulated VM. It also is a fake of scheduler.Group and scheduler.Transport.
type vm struct {
	cluster        *cluster
	name           scheduler.VMName
	handlers       map[scheduler.MessageKind]scheduler.MessageHandler
	shareClient    *ShareClient
	incarnation    scheduler.Incarnation
	stop           context.CancelFunc
	dead           bool
	partitioned    bool
	frozen         bool
	lastContact    time.Time
	demand         int
	activeRequests int
}

func (vm *vm) Name() scheduler.GroupName { return "couva" }

func (vm *vm) Self() scheduler.VMName { return vm.name }

func (vm *vm) Propose(context.Context, []byte) ([]byte, error) { return nil, nil }

func (vm *vm) ReadBarrier(context.Context) error                                         { return nil }
func (vm *vm) Send(scheduler.VMName, scheduler.GroupName, scheduler.MessageKind, []byte) {}

func (vm *vm) Status() scheduler.GroupStatus {
	vm.cluster.mutex.Lock()
	defer vm.cluster.mutex.Unlock()
	return scheduler.NewGroupStatus("", vm.cluster.term, vm.cluster.leader.name, 0, 0, nil)
}

// HoldsLeaderLease reports whether the VM leads and had contact with the other VMs within the last 700 ms.
func (vm *vm) HoldsLeaderLease() bool {
	vm.cluster.mutex.Lock()
	defer vm.cluster.mutex.Unlock()
	return vm.cluster.leader == vm && !vm.dead && time.Since(vm.lastContact) < 700*time.Millisecond
}

func (vm *vm) Handle(_ scheduler.GroupName, kind scheduler.MessageKind, handler scheduler.MessageHandler) {
	vm.handlers[kind] = handler
}

func (vm *vm) isolated() bool { return vm.dead || vm.partitioned || vm.frozen }

// waitUntilUnfrozen polls until the VM is not frozen.
func (vm *vm) waitUntilUnfrozen() {
	for {
		vm.cluster.mutex.Lock()
		frozen := vm.frozen
		vm.cluster.mutex.Unlock()
		if !frozen {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Call delivers the message even if the caller has stopped waiting for the response. Some messages arrive late.
func (vm *vm) Call(ctx context.Context, to scheduler.VMName, _ scheduler.GroupName,
	kind scheduler.MessageKind, body []byte,
) ([]byte, error) {
	replies := make(chan []byte, 1)
	vm.cluster.tasks.Go(func() {
		time.Sleep(vm.cluster.messageDelay())
		vm.waitUntilUnfrozen()
		vm.cluster.mutex.Lock()
		var handler scheduler.MessageHandler
		for _, other := range vm.cluster.vms {
			if other.name == to && !other.isolated() && !vm.isolated() {
				handler = other.handlers[kind]
			}
		}
		vm.cluster.mutex.Unlock()
		if handler == nil {
			return
		}
		if reply, err := handler(ctx, vm.name, body); err == nil {
			time.Sleep(vm.cluster.messageDelay())
			vm.waitUntilUnfrozen()
			replies <- reply
		}
	})
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case reply := <-replies:
		return reply, nil
	}
}

// messageDelay returns the delay of a message: mostly below 20 ms, sometimes up to 2 s.
func (cluster *cluster) messageDelay() time.Duration {
	if !cluster.stable && cluster.randomDuration(10) == 0 {
		return cluster.randomDuration(2000)
	}
	return cluster.randomDuration(20)
}

// randomDuration returns a random duration below limit milliseconds.
func (cluster *cluster) randomDuration(limit int) time.Duration {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	return time.Duration(cluster.random.IntN(limit)) * time.Millisecond
}

func (cluster *cluster) Services() []scheduler.ServiceName {
	return []scheduler.ServiceName{"sizing"}
}

func (cluster *cluster) Remotes(scheduler.ServiceName) []scheduler.RemoteService { return nil }

func (cluster *cluster) Endpoints(scheduler.ServiceName) []scheduler.Announcement {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	var found []scheduler.Announcement
	for _, name := range cluster.endpoints {
		if announcement, ok := cluster.announcements[name]; ok {
			found = append(found, announcement.Announcement)
		}
	}
	return found
}

func (cluster *cluster) LastAnnouncement(name scheduler.EndpointName) (scheduler.ReceivedAnnouncement, bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	announcement, ok := cluster.announcements[name]
	return announcement, ok
}

// newCluster starts three VMs, the first of which is the leader, and the endpoints.
func newCluster(ctx context.Context, seed uint64, endpoints int, stable bool) *cluster {
	cluster := &cluster{
		random:        rand.New(rand.NewPCG(seed, 1)),
		running:       map[scheduler.EndpointName]map[scheduler.GatewayID]int{},
		announcements: map[scheduler.EndpointName]scheduler.ReceivedAnnouncement{},
		term:          1,
		stable:        stable,
	}
	for index := range endpoints {
		name := scheduler.EndpointName(fmt.Sprintf("desk-%d", index))
		cluster.endpoints = append(cluster.endpoints, name)
		cluster.running[name] = map[scheduler.GatewayID]int{}
	}
	for _, name := range cluster.endpoints {
		cluster.tasks.Go(func() { cluster.announce(ctx, name) })
	}
	for index := range 3 {
		cluster.vms = append(cluster.vms, &vm{
			cluster: cluster, name: scheduler.VMName(fmt.Sprintf("couva-%d", index+1)), demand: 20,
		})
	}
	cluster.leader = cluster.vms[0]
	for _, vm := range cluster.vms {
		vm.start(ctx)
	}
	cluster.tasks.Go(func() {
		for ctx.Err() == nil {
			cluster.elect()
			time.Sleep(50 * time.Millisecond)
		}
	})
	return cluster
}

// elect records the last contact of each reachable VM and replaces a leader that has been isolated for 1.2 s.
func (cluster *cluster) elect() {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for _, vm := range cluster.vms {
		if !vm.isolated() {
			vm.lastContact = time.Now()
		}
	}
	if time.Since(cluster.leader.lastContact) > 1200*time.Millisecond {
		for _, vm := range cluster.vms {
			if !vm.isolated() {
				cluster.leader = vm
				cluster.term++
				return
			}
		}
	}
}

// announce sends an announcement of the running requests every second. It arrives up to 900 ms later.
func (cluster *cluster) announce(ctx context.Context, name scheduler.EndpointName) {
	for ctx.Err() == nil {
		cluster.mutex.Lock()
		running := maps.Clone(cluster.running[name])
		delay := time.Duration(cluster.random.IntN(900)) * time.Millisecond
		cluster.mutex.Unlock()
		time.Sleep(delay)
		cluster.mutex.Lock()
		cluster.announcements[name] = scheduler.ReceivedAnnouncement{
			Received: time.Now(),
			Announcement: scheduler.Announcement{
				Endpoint: name, Slots: capacity, Connections: 64, InProgress: running,
			},
		}
		cluster.mutex.Unlock()
		time.Sleep(time.Second - delay)
	}
}

// start starts a new incarnation of the VM's gateway.
func (vm *vm) start(ctx context.Context) {
	vm.cluster.mutex.Lock()
	vm.incarnation++
	vm.dead, vm.activeRequests, vm.lastContact = false, 0, time.Now()
	vm.handlers = map[scheduler.MessageKind]scheduler.MessageHandler{}
	ctx, vm.stop = context.WithCancel(ctx)
	gateway := scheduler.NewGatewayID(vm.name, vm.incarnation)
	allocator := New(vm, vm, vm.cluster)
	queueLength := func(scheduler.ServiceName) int {
		vm.cluster.mutex.Lock()
		defer vm.cluster.mutex.Unlock()
		return vm.demand
	}
	client := NewShareClient(gateway, vm, vm, vm.cluster, allocator, WithQueueLength(queueLength))
	vm.shareClient = client
	vm.cluster.mutex.Unlock()
	vm.cluster.tasks.Go(func() { _ = client.Run(ctx) })
	vm.cluster.tasks.Go(func() { vm.generateLoad(ctx, client, gateway) })
}

// generateLoad keeps up to vm.demand requests active.
func (vm *vm) generateLoad(ctx context.Context, client *ShareClient, gateway scheduler.GatewayID) {
	for ctx.Err() == nil {
		vm.waitUntilUnfrozen()
		vm.cluster.mutex.Lock()
		belowDemand := vm.activeRequests < vm.demand
		endpoint := vm.cluster.endpoints[vm.cluster.random.IntN(len(vm.cluster.endpoints))]
		vm.cluster.mutex.Unlock()
		if belowDemand {
			if slot, ok := client.Acquire(endpoint); ok {
				vm.cluster.mutex.Lock()
				vm.activeRequests++
				vm.cluster.mutex.Unlock()
				vm.cluster.tasks.Go(func() { vm.runRequest(ctx, gateway, endpoint, slot) })
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// runRequest simulates one request at an endpoint. A started request continues after its gateway has stopped.
func (vm *vm) runRequest(ctx context.Context, gateway scheduler.GatewayID,
	endpoint scheduler.EndpointName, slot scheduler.Slot,
) {
	cluster := vm.cluster
	if !cluster.stable && cluster.randomDuration(6) == 0 {
		time.Sleep(cluster.randomDuration(7000))
	}
	vm.waitUntilUnfrozen()
	if ctx.Err() == nil && slot.Valid() {
		cluster.adjustRunning(endpoint, gateway, 1)
		abandon := !cluster.stable && cluster.randomDuration(10) == 0
		if abandon {
			slot.Abandon()
		}
		duration := cluster.randomDuration(300)
		if !cluster.stable && cluster.randomDuration(8) == 0 {
			duration = cluster.randomDuration(9000)
		}
		time.Sleep(duration)
		cluster.adjustRunning(endpoint, gateway, -1)
	}
	slot.Release()
	cluster.mutex.Lock()
	vm.activeRequests--
	cluster.mutex.Unlock()
}

// adjustRunning adds delta to the running requests of a gateway at an endpoint and records a violation of the
// endpoint's capacity.
func (cluster *cluster) adjustRunning(endpoint scheduler.EndpointName, gateway scheduler.GatewayID, delta int) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.running[endpoint][gateway] += delta
	cluster.started += max(0, delta)
	total := 0
	for _, count := range cluster.running[endpoint] {
		total += count
	}
	if total > capacity && cluster.violation == "" {
		cluster.violation = fmt.Sprintf("%s runs %v in term %d", endpoint, cluster.running[endpoint], cluster.term)
	}
	if cluster.running[endpoint][gateway] == 0 {
		delete(cluster.running[endpoint], gateway)
	}
}

// event is a state change of one VM, followed by a pause of After milliseconds.
type event struct {
	VM    int
	Kind  string
	After int
}

func (cluster *cluster) apply(ctx context.Context, event event) {
	vm := cluster.vms[event.VM]
	cluster.mutex.Lock()
	vm.partitioned = vm.partitioned && event.Kind != "heal" || event.Kind == "cut"
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
	cluster.mutex.Unlock()
	if restart {
		vm.start(ctx)
	}
}

// TestCapacity guards against more requests in progress at an endpoint than it has slots. It runs random schedules
// of crashes, restarts, network partitions, frozen processes, leader changes and changing demand.
func TestCapacity(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		events := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) event {
			return event{
				VM: rapid.IntRange(0, 2).Draw(rt, "vm"),
				Kind: rapid.SampledFrom([]string{
					"cut", "cut", "heal", "freeze", "kill", "restart", "restart", "idle", "hot", "hot",
				}).Draw(rt, "kind"),
				After: rapid.IntRange(0, 6000).Draw(rt, "after"),
			}
		}), 4, 16).Draw(rt, "events")
		violation, started := simulate(t, seed, events)
		total += started
		if violation != "" {
			rt.Fatalf("endpoint capacity exceeded: %s", violation)
		}
	})
	t.Logf("%d requests started", total)
	if total == 0 {
		t.Error("no request was started, want at least one")
	}
}

func simulate(t *testing.T, seed uint64, events []event) (violation string, started int) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cluster := newCluster(ctx, seed, 2, false)
		time.Sleep(5 * time.Second)
		for _, event := range events {
			cluster.apply(ctx, event)
			time.Sleep(time.Duration(event.After) * time.Millisecond)
		}
		time.Sleep(8 * time.Second)
		for index := range cluster.vms {
			cluster.apply(ctx, event{VM: index, Kind: "heal"})
		}
		time.Sleep(3 * time.Second)
		cancel()
		cluster.tasks.Wait()
		violation, started = cluster.violation, cluster.started
	})
	return violation, started
}
