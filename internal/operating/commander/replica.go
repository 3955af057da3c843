package commander

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/gen/replicas"
)

func (commander *Commander) replicaCommand() *cobra.Command {
	parent := &cobra.Command{Use: "replica", Short: "Change the members of replicated groups"}
	parent.AddCommand(
		commander.replicaChangeCommand("add", "addLearner", "Add a VM as learner"),
		commander.replicaChangeCommand("promote", "promote", "Make a learner that has caught up a voter"),
		commander.replicaChangeCommand("remove", "remove", "Remove a VM"),
	)
	parent.AddCommand(commander.replicaReplaceCommand())
	return parent
}

func (commander *Commander) replicaChangeCommand(name, action, short string) *cobra.Command {
	payload := replicas.ChangePayload{Action: action}
	command := &cobra.Command{
		Use:   name + " GROUP VM",
		Short: short,
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, arguments []string) error {
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				payload.Token, payload.Group, payload.VM = clients.token, arguments[0], arguments[1]
				return clients.replicas.Change(withIdempotent(ctx), &payload)
			})
		},
	}
	if action == "addLearner" {
		command.Flags().BoolVar(&payload.Disk, "disk", false, "the VM has a disk")
		command.Flags().BoolVar(&payload.StandsForElection, "stands-for-election", false, "the VM may become leader")
	}
	return command
}

func (commander *Commander) replicaReplaceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "replace GROUP VM REPLACEMENT",
		Short: "Replace a voter by a learner that has caught up",
		Args:  cobra.ExactArgs(3),
		RunE: func(command *cobra.Command, arguments []string) error {
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				return clients.replicas.Change(withIdempotent(ctx), &replicas.ChangePayload{
					Token: clients.token, Group: arguments[0], Action: "replace", VM: arguments[1], Replacement: &arguments[2],
				})
			})
		},
	}
}
