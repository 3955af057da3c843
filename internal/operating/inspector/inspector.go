// Package inspector asks the VMs of a domain whether they take part in its group, and prints the answers. A VM answers
// for itself, without a leader, so that the answers arrive when nothing else works.
package inspector

import (
	"context"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/internal/state/messenger"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("inspector")

// kindInspect is the kind of the request for the state of a VM.
const kindInspect scheduler.MessageKind = "inspect"

// retryInterval is the time between two requests to a VM that is not connected yet.
const retryInterval = 50 * time.Millisecond

// Replica is the state of the replica of one VM. It is a wire type.
type Replica struct {
	VM      scheduler.VMName    `cbor:"vm" json:"vm"`
	Role    scheduler.GroupRole `cbor:"role" json:"role"`
	Term    scheduler.Term      `cbor:"term" json:"term"`
	Leader  scheduler.VMName    `cbor:"leader" json:"leader"`
	Commit  scheduler.Index     `cbor:"commit" json:"commit"`
	Applied scheduler.Index     `cbor:"applied" json:"applied"`
	Members []scheduler.VMName  `cbor:"members" json:"members"`
	// OutSeconds is how long the VM has been out of the group, and Reason why. Both are empty while it takes part.
	OutSeconds float64 `cbor:"outSeconds" json:"outSeconds"`
	Reason     string  `cbor:"reason" json:"reason"`
	// Withdrawal is why the VM does not lead although it takes part, empty if it may lead.
	Withdrawal  string `cbor:"withdrawal,omitempty" json:"withdrawal,omitempty"`
	FolderBytes int64  `cbor:"folderBytes" json:"folderBytes"`
	LogBytes    int64  `cbor:"logBytes" json:"logBytes"`
	// Unreachable is why the VM gave no answer. It is empty in answers.
	Unreachable string `cbor:"-" json:"unreachable,omitempty"`
}

// Serve answers requests for the state of a replica. It must be called before the transport starts.
func Serve(transport scheduler.Transport, group scheduler.GroupName, replicator *replicator.Replicator) {
	transport.Handle(group, kindInspect, func(context.Context, scheduler.VMName, []byte) ([]byte, error) {
		return encoder.Marshal(replicaOf(replicator))
	})
}

func replicaOf(replicator *replicator.Replicator) Replica {
	status, usage := replicator.Status(), replicator.JournalUsage()
	replica := Replica{
		VM: replicator.Self().VM, Role: status.Role(), Term: status.Term(), Leader: status.Leader(),
		Commit: status.Commit(), Applied: status.Applied(),
		FolderBytes: usage.FolderBytes(), LogBytes: usage.LogBytes(), Withdrawal: replicator.Withdrawal(),
	}
	for _, member := range replicator.Members() {
		replica.Members = append(replica.Members, member.VM)
	}
	if outage, out := replicator.Outage(); out {
		replica.OutSeconds, replica.Reason = time.Since(outage.Since()).Seconds(), outage.Cause().Error()
	}
	return replica
}

// Inspect returns the replicas of all VMs of the group that the seeds and their answers name, in the order of their
// names. VMs that do not answer before ctx ends are listed as unreachable.
func Inspect(ctx context.Context, group scheduler.GroupName, seeds []netip.AddrPort) []Replica {
	// The name differs from that of every VM, so that the domain does not take this process for one of them.
	self := scheduler.VMName("inspect-" + strconv.Itoa(os.Getpid()))
	inspection := &inspection{
		network: messenger.New(self, nil, messenger.WithDiscovery()), group: group, asked: map[scheduler.VMName]bool{},
	}
	inspection.network.Start()
	defer inspection.network.Close()
	for _, seed := range seeds {
		inspection.ask(ctx, scheduler.VMName(seed.String()))
	}
	inspection.asking.Wait()
	slices.SortFunc(inspection.replicas, func(a, b Replica) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return inspection.replicas
}

// inspection collects the answers of the VMs of a group.
type inspection struct {
	network  *messenger.Messenger
	group    scheduler.GroupName
	asking   sync.WaitGroup
	mutex    sync.Mutex
	asked    map[scheduler.VMName]bool
	replicas []Replica
}

// ask asks a VM, and the other members that it names, once each. The name of a VM is its address.
func (inspection *inspection) ask(ctx context.Context, vm scheduler.VMName) {
	inspection.mutex.Lock()
	defer inspection.mutex.Unlock()
	if inspection.asked[vm] {
		return
	}
	inspection.asked[vm] = true
	inspection.network.AddPeer(vm, string(vm))
	inspection.asking.Go(func() {
		replica, err := inspection.call(ctx, vm)
		if err != nil {
			replica = Replica{VM: vm, Unreachable: err.Error()}
		}
		inspection.add(replica)
		for _, member := range replica.Members {
			inspection.ask(ctx, member)
		}
	})
}

func (inspection *inspection) add(replica Replica) {
	inspection.mutex.Lock()
	defer inspection.mutex.Unlock()
	inspection.replicas = append(inspection.replicas, replica)
}

// call asks a VM until it answers or ctx ends.
func (inspection *inspection) call(ctx context.Context, vm scheduler.VMName) (replica Replica, err error) {
	for {
		var body []byte
		body, err = inspection.network.Call(ctx, vm, inspection.group, kindInspect, nil)
		if err == nil {
			return replica, encoder.Unmarshal(body, &replica)
		}
		if !waiter.Sleep(ctx, retryInterval) {
			return replica, err
		}
	}
}
