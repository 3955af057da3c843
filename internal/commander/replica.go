package commander

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/gen/replicas"
)

func (commander *Commander) replicaCommand() *cobra.Command {
	parent := &cobra.Command{Use: "replica", Short: "Change the members of replicated groups"}
	for action, short := range map[string]string{
		"addLearner": "Add a VM as learner", "promote": "Make a learner that has caught up a voter", "remove": "Remove a VM",
	} {
		parent.AddCommand(commander.replicaChangeCommand(action, short))
	}
	parent.AddCommand(commander.replicaReplaceCommand(), commander.replicaTransferCommand())
	return parent
}

func (commander *Commander) replicaChangeCommand(action, short string) *cobra.Command {
	names := map[string]string{"addLearner": "add"}
	name := action
	if other, listed := names[action]; listed {
		name = other
	}
	return &cobra.Command{
		Use:   name + " GROUP VM",
		Short: short,
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, arguments []string) error {
			return commander.withConnection(command, func(ctx context.Context, connected *connection) error {
				return connected.replicas.Change(withResend(ctx), &replicas.ChangePayload{Token: connected.token, Group: arguments[0], Action: action, VM: arguments[1]})
			})
		},
	}
}

func (commander *Commander) replicaReplaceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "replace GROUP VM REPLACEMENT",
		Short: "Replace a voter by a learner that has caught up",
		Args:  cobra.ExactArgs(3),
		RunE: func(command *cobra.Command, arguments []string) error {
			return commander.withConnection(command, func(ctx context.Context, connected *connection) error {
				return connected.replicas.Change(withResend(ctx), &replicas.ChangePayload{
					Token: connected.token, Group: arguments[0], Action: "replace", VM: arguments[1], Replacement: &arguments[2],
				})
			})
		},
	}
}

func (commander *Commander) replicaTransferCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "transfer GROUP",
		Short: "Hand leadership to another local voter",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return commander.withConnection(command, func(ctx context.Context, connected *connection) error {
				return connected.replicas.Transfer(ctx, &replicas.TransferPayload{Token: connected.token, Group: arguments[0]})
			})
		},
	}
}
