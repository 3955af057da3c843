package composer

import (
	"context"

	"github.com/crocusplank/crocusplank/internal/state/multiplexer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// remoteProposer proposes commands to a group of which this VM is not a member, by calling the members of that group.
type remoteProposer struct {
	transport scheduler.Transport
	group     scheduler.GroupName
	machine   string
	vms       []scheduler.VMName
}

// Propose tries the members in order until one succeeds. It tries the next one only after an error of class ErrNotRun,
// because after any other error the command may have been proposed.
func (remoteProposer *remoteProposer) Propose(ctx context.Context, command []byte) ([]byte, error) {
	wrapped := multiplexer.WrapCommand(remoteProposer.machine, command)
	err := scheduler.ErrNotRun.Wrap(Error.New("no member of group %s is configured", remoteProposer.group))
	for _, vm := range remoteProposer.vms {
		var result []byte
		result, err = remoteProposer.transport.Call(ctx, vm, remoteProposer.group, kindPropose, wrapped)
		if err == nil {
			return multiplexer.UnwrapResult(result)
		}
		if !scheduler.ErrNotRun.Has(err) {
			return nil, err
		}
	}
	return nil, err
}

// proposer returns a proposer for a state machine of a data centre's group, or nil if no such group is configured.
func (replicaRole *replicaRole) proposer(dataCentre scheduler.DataCentreName, machine string) interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
} {
	name := scheduler.GroupName(dataCentre)
	if view := replicaRole.groupView(name, machine); view != nil {
		return view
	}
	for _, group := range replicaRole.environment.settings.Groups {
		if group.Name != name {
			continue
		}
		remote := &remoteProposer{transport: replicaRole.environment.transport, group: name, machine: machine}
		for _, member := range group.Members {
			remote.vms = append(remote.vms, member.VM)
		}
		return remote
	}
	return nil
}
