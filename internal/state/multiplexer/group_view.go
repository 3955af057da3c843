package multiplexer

import (
	"context"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// GroupView is a group as one of the machines that share its log sees it. It is safe for concurrent
// use.
type GroupView struct {
	scheduler.Group
	name string
}

var _ scheduler.Group = (*GroupView)(nil)

// NewGroupView returns the view of group for the machine called name.
func NewGroupView(group scheduler.Group, name string) *GroupView {
	return &GroupView{Group: group, name: name}
}

// Propose proposes a command for the view's machine and returns that machine's result. The error
// has class scheduler.ErrNotRun when the leader's version has no machine of this name.
func (groupView *GroupView) Propose(ctx context.Context, command []byte) ([]byte, error) {
	result, err := groupView.Group.Propose(ctx, WrapCommand(groupView.name, command))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return UnwrapResult(result)
}
