package replicator

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/operating/supervisor"
)

var returnSchedules = flag.Uint64("return-schedules", 10, "number of schedules that measure the return to a group")

// returnLimit is the time within which a VM must be back in its group after its disk takes writes again.
const returnLimit = 3 * time.Second

// Guards against a VM that is late to return to its group after its disk takes writes again. To measure, use
// -return-schedules 50 -v.
func TestReturnTime(t *testing.T) {
	var times []time.Duration
	for seed := range *returnSchedules {
		inBubble(t, func(t *testing.T) { times = append(times, measureReturn(t, seed)) })
	}
	slices.Sort(times)
	worst := times[len(times)-1]
	t.Logf("back in the group: median %v, worst %v of %d", times[len(times)/2], worst, len(times))
	if worst > returnLimit {
		t.Errorf("back in the group after %v, want at most %v", worst, returnLimit)
	}
}

// measureReturn lets the disk of one VM of three or five, every second time the leader, refuse writes for up to 4 s, and
// returns the time from the end of the refusal until the VM leads or follows a leader again.
func measureReturn(t *testing.T, seed uint64) time.Duration {
	random := newRandom(seed + 1)
	members := []Member{disk("a"), disk("b"), disk("c"), disk("d"), disk("e")}[:3+2*random.IntN(2)]
	cluster := newCluster(t, seed+1, members)
	defer cluster.stop()
	for _, vm := range cluster.vms {
		vm.journal.syncDelay = time.Duration(random.IntN(20)) * time.Millisecond
	}
	cluster.startAll()
	leader := cluster.leader()
	vm := cluster.vms[leader]
	if seed%2 == 1 {
		vm = cluster.vms[cluster.otherVM(leader)]
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go supervisor.New().Run(ctx, "replica", func(ctx context.Context) error { return cluster.keepInGroup(ctx, vm) })
	go func() {
		for number := 0; ctx.Err() == nil; number++ {
			_, _ = cluster.propose(members[number%len(members)].VM, fmt.Sprint(number))
			time.Sleep(10 * time.Millisecond)
		}
	}()
	faults, syncs := vm.journal.faults, random.IntN(2) == 0
	set := func(refuses bool) {
		faults.set(func() { faults.append, faults.sync, faults.hardState = refuses, refuses && syncs, refuses })
	}
	set(true)
	time.Sleep(500*time.Millisecond + time.Duration(random.Int64N(int64(3500*time.Millisecond))))
	if vm.replicator.node().isRunning() {
		t.Errorf("schedule %d: got a VM in its group while its disk refuses writes", seed)
	}
	set(false)
	repaired := time.Now()
	cluster.eventually("the VM is back in its group", func() bool {
		return vm.replicator.node().isRunning() && cluster.isVoter(vm.member.VM)
	})
	return time.Since(repaired)
}

// keepInGroup lets a VM rejoin its group if it has left, and waits until it leaves. It is a supervisor.Part.
func (cluster *fakeCluster) keepInGroup(ctx context.Context, vm *fakeVM) error {
	if vm.replicator.Err() != nil {
		if err := cluster.rejoin(vm, false); err != nil {
			return err
		}
	}
	select {
	case <-ctx.Done():
		return nil
	case <-vm.replicator.Stopped():
		return vm.replicator.Err()
	}
}
