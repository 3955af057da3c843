package multiplexer

import (
	"context"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Member is a group as one of the machines that share its log sees it. It is safe for concurrent
// use.
type Member struct {
	scheduler.Group
	name string
}

var _ scheduler.Group = (*Member)(nil)

// NewMember returns the view of group for the machine called name.
func NewMember(group scheduler.Group, name string) *Member {
	return &Member{Group: group, name: name}
}

// Propose proposes a command for the member's machine and returns that machine's result. The error
// has class scheduler.ErrNotRun when the leader's version has no machine of this name.
func (member *Member) Propose(ctx context.Context, command []byte) ([]byte, error) {
	result, err := member.Group.Propose(ctx, WrapCommand(member.name, command))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return UnwrapResult(result)
}
