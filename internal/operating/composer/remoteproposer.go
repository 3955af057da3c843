package composer

import (
	"context"

	"github.com/crocusplank/crocusplank/internal/state/multiplexer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// foreignProposer proposes commands in the group of another data centre of which this VM is not a
// member, through that group's VMs.
type foreignProposer struct {
	transport scheduler.Transport
	group     scheduler.GroupName
	machine   string
	vms       []scheduler.VMName
}

// Propose asks one VM after another. It goes on only after an error of class ErrNotRun, because any
// other means that the command may have been proposed.
func (foreignProposer *foreignProposer) Propose(ctx context.Context, command []byte) ([]byte, error) {
	wrapped := multiplexer.WrapCommand(foreignProposer.machine, command)
	err := scheduler.ErrNotRun.Wrap(Error.New("no VM of group %s is known", foreignProposer.group))
	for _, vm := range foreignProposer.vms {
		var result []byte
		result, err = foreignProposer.transport.Call(ctx, vm, foreignProposer.group, kindPropose, wrapped)
		if err == nil {
			return multiplexer.UnwrapResult(result)
		}
		if !scheduler.ErrNotRun.Has(err) {
			return nil, err
		}
	}
	return nil, err
}

// proposer returns the way to a machine of a data centre's group, nil when there is no such group.
func (replicaRole *replicaRole) proposer(dataCentre scheduler.DataCentreName, machine string) interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
} {
	name := scheduler.GroupName(dataCentre)
	if member := replicaRole.member(name, machine); member != nil {
		return member
	}
	for _, group := range replicaRole.environment.settings.Groups {
		if group.Name != name {
			continue
		}
		foreign := &foreignProposer{transport: replicaRole.environment.transport, group: name, machine: machine}
		for _, member := range group.Members {
			foreign.vms = append(foreign.vms, member.VM)
		}
		return foreign
	}
	return nil
}
