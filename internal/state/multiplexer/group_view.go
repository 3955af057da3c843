package multiplexer

import (
	"context"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// GroupView is the view of a group for one of the state machines that share the group's log. It is safe
// for concurrent use.
type GroupView struct {
	scheduler.Group
	name string
}

var _ scheduler.Group = (*GroupView)(nil)

// NewGroupView returns the view of group for the state machine with the given name.
func NewGroupView(group scheduler.Group, name string) *GroupView {
	return &GroupView{Group: group, name: name}
}

// Propose proposes a command for the view's state machine and returns its result. The error has class
// scheduler.ErrNotRun if the leader's version has no state machine with this name.
func (groupView *GroupView) Propose(ctx context.Context, command []byte) ([]byte, error) {
	result, err := groupView.Group.Propose(ctx, WrapCommand(groupView.name, command))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return UnwrapResult(result)
}
