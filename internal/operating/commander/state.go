package commander

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/gen/state"
)

func (commander *Commander) vmCommand() *cobra.Command {
	parent := &cobra.Command{Use: "vm", Short: "Show the state of an entry VM"}
	parent.AddCommand(&cobra.Command{
		Use:   "show",
		Short: "Show the VM that answers and its groups",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				shown, err := clients.state.VM(ctx, &state.VMPayload{Token: clients.token})
				if err != nil {
					return err
				}
				return commander.printVM(command, shown)
			})
		},
	})
	return parent
}

func (commander *Commander) printVM(command *cobra.Command, vm *state.VMState) error {
	if commander.output != outputJSON {
		_, _ = fmt.Fprintf(command.OutOrStdout(), "vm %s in %s: ready %v, revision %d, %s\n",
			vm.VM, vm.DataCentre, vm.Ready, vm.RevisionInForce, describePeers(vm.Peers))
		for _, group := range vm.Groups {
			if group.OutOfGroup != nil {
				_, _ = fmt.Fprintf(command.OutOrStdout(), "out of group %s: %s\n", group.Name, *group.OutOfGroup)
			}
		}
	}
	rows := newTable("GROUP", "ROLE", "TERM", "LEADER", "COMMIT", "APPLIED", "LEASE", "VOTERS")
	for _, group := range vm.Groups {
		rows.add(group.Name, group.Role, group.Term, stringOrEmpty(group.Leader), group.Commit, group.Applied,
			group.HoldsLeaderLease, strings.Join(group.Voters, ","))
	}
	return commander.print(command, camelCaseKeys(vm), rows)
}

// describePeers returns the number of connected peers and the names of the others.
func describePeers(peers map[string]bool) string {
	var down []string
	for peer, connected := range peers {
		if !connected {
			down = append(down, peer)
		}
	}
	slices.Sort(down)
	text := fmt.Sprintf("connected to %d of %d VMs", len(peers)-len(down), len(peers))
	if len(down) > 0 {
		text += ", not to " + strings.Join(down, ", ")
	}
	return text
}

func (commander *Commander) workerCommand() *cobra.Command {
	parent := &cobra.Command{Use: "worker", Short: "List, drain and undrain workers"}
	parent.AddCommand(commander.workerListCommand(), commander.drainCommand("drain", true), commander.drainCommand("undrain", false))
	return parent
}

func (commander *Commander) workerListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the data centre's workers",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				listed, err := readAllPages(func(after *string) ([]*state.WorkerState, *string, error) {
					page, err := clients.state.Workers(ctx, &state.WorkersPayload{Token: clients.token, After: after, Limit: 1000})
					if err != nil {
						return nil, nil, err
					}
					return page.Workers, page.Next, nil
				})
				if err != nil {
					return err
				}
				rows := newTable("WORKER", "RACK", "STATE", "TASKS", "MILLICORES", "MEMORY", "ACCELERATORS")
				for _, worker := range listed {
					rows.add(worker.Name, stringOrEmpty(worker.Rack), worker.State, worker.Tasks,
						fmt.Sprintf("%d/%d", worker.Reserved.MilliCores, worker.Capacity.MilliCores),
						fmt.Sprintf("%d/%d", worker.Reserved.MemoryBytes, worker.Capacity.MemoryBytes),
						fmt.Sprintf("%d/%d", worker.Reserved.Accelerators, worker.Capacity.Accelerators))
				}
				return commander.print(command, camelCaseKeys(listed), rows)
			})
		},
	}
}

// readAllPages requests the pages of a list until there is no next one and returns all their items.
func readAllPages[Item any](read func(after *string) (page []Item, next *string, err error)) ([]Item, error) {
	var all []Item
	var after *string
	for {
		page, next, err := read(after)
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		if stringOrEmpty(next) == "" {
			return all, nil
		}
		after = next
	}
}

func (commander *Commander) drainCommand(name string, drained bool) *cobra.Command {
	var evict bool
	command := &cobra.Command{
		Use:   name + " WORKER",
		Short: map[bool]string{true: "Place no new tasks on a worker", false: "Place tasks on a worker again"}[drained],
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if evict {
				if err := commander.confirm(command, fmt.Sprintf("Evict all tasks of worker %s?", arguments[0])); err != nil {
					return err
				}
			}
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				return clients.state.Drain(withIdempotent(ctx), &state.DrainPayload{Token: clients.token, Worker: arguments[0], Drained: drained, Evict: evict})
			})
		},
	}
	if drained {
		command.Flags().BoolVar(&evict, "evict", false, "evict the tasks that run there")
	}
	return command
}

func (commander *Commander) endpointCommand() *cobra.Command {
	parent := &cobra.Command{Use: "endpoint", Short: "List endpoints"}
	parent.AddCommand(&cobra.Command{
		Use:   "list",
		Short: "List the endpoints that the VM's gateway knows",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				listed, err := readAllPages(func(after *string) ([]*state.EndpointState, *string, error) {
					page, err := clients.state.Endpoints(ctx, &state.EndpointsPayload{Token: clients.token, After: after, Limit: 1000})
					if err != nil {
						return nil, nil, err
					}
					return page.Endpoints, page.Next, nil
				})
				if err != nil {
					return err
				}
				rows := newTable("ENDPOINT", "SERVICE", "ADDRESS", "SLOTS", "LEAVING", "INCARNATION")
				for _, endpoint := range listed {
					rows.add(endpoint.Name, endpoint.Service, endpoint.Address, endpoint.Slots, endpoint.Leaving, endpoint.Incarnation)
				}
				return commander.print(command, camelCaseKeys(listed), rows)
			})
		},
	})
	return parent
}

func (commander *Commander) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show each promise as kept, at risk or not kept, with the evidence",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				result, err := clients.state.Promises(ctx, &state.PromisesPayload{Token: clients.token})
				if err != nil {
					return err
				}
				rows := newTable("PROMISE", "STATE", "EVIDENCE")
				for _, promise := range result.Promises {
					rows.add(promise.Name, promise.State, promise.Evidence)
				}
				return commander.print(command, camelCaseKeys(result.Promises), rows)
			})
		},
	}
}

func (commander *Commander) evictionCommand() *cobra.Command {
	parent := &cobra.Command{Use: "eviction", Short: "List evictions"}
	parent.AddCommand(&cobra.Command{
		Use:   "list",
		Short: "List recent evictions and why they happened",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				result, err := clients.state.Evictions(ctx, &state.EvictionsPayload{Token: clients.token})
				if err != nil {
					return err
				}
				rows := newTable("TASK", "ATTEMPT", "WORKER", "TIME", "REASON")
				for _, eviction := range result.Evictions {
					rows.add(eviction.Task, eviction.Attempt, stringOrEmpty(eviction.Worker), stringOrEmpty(eviction.Time), eviction.Reason)
				}
				return commander.print(command, camelCaseKeys(result.Evictions), rows)
			})
		},
	})
	return parent
}
