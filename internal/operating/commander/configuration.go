package commander

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/gen/configuration"
)

func (commander *Commander) configurationCommand() *cobra.Command {
	parent := &cobra.Command{Use: "config", Short: "Show and change the configuration"}
	parent.AddCommand(
		commander.configurationShowCommand(), commander.configurationDiffCommand(),
		commander.configurationApplyCommand(), commander.configurationRollForwardCommand(),
		commander.configurationHistoryCommand(),
	)
	return parent
}

// configurationFile is the format that "config show" prints and "config apply" reads. It is a wire type.
type configurationFile struct {
	Revision uint64 `json:"revision"`
	Document any    `json:"document"`
}

// changeFlags holds the flags shared by the commands that change the configuration.
type changeFlags struct {
	base     int64
	changeID string
	operator string
}

func (changeFlags *changeFlags) register(command *cobra.Command) {
	command.Flags().Int64Var(&changeFlags.base, "base", -1, "revision that the change is based on (default: the revision in the file)")
	changeFlags.registerIdentity(command)
}

// registerIdentity registers the change ID and the operator only, for commands that take the base revision from
// the configuration in force.
func (changeFlags *changeFlags) registerIdentity(command *cobra.Command) {
	command.Flags().StringVar(&changeFlags.changeID, "change-id", "", "name of the change (default: derived from its content, so that the same command resends it)")
	command.Flags().StringVar(&changeFlags.operator, "operator", "", "who makes the change")
	_ = command.MarkFlagRequired("operator")
}

func (changeFlags *changeFlags) change(file configurationFile) (*configuration.Change, error) {
	change := &configuration.Change{Base: file.Revision, ChangeID: changeFlags.changeID, Operator: changeFlags.operator, Document: file.Document}
	if changeFlags.base >= 0 {
		change.Base = uint64(changeFlags.base)
	}
	if change.ChangeID != "" {
		return change, nil
	}
	id, err := contentID(change)
	change.ChangeID = id
	return change, err
}

func (commander *Commander) configurationShowCommand() *cobra.Command {
	var revision uint64
	command := &cobra.Command{
		Use:   "show",
		Short: "Print the configuration in force, in the form that apply reads",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				payload := &configuration.ShowPayload{Token: clients.token}
				if revision > 0 {
					payload.Revision = &revision
				}
				shown, err := clients.configuration.Show(ctx, payload)
				if err != nil {
					return err
				}
				encoder := json.NewEncoder(command.OutOrStdout())
				encoder.SetIndent("", "  ")
				return Error.Wrap(encoder.Encode(configurationFile{Revision: shown.Revision, Document: shown.Document}))
			})
		},
	}
	command.Flags().Uint64Var(&revision, "revision", 0, "an earlier revision")
	return command
}

func (commander *Commander) configurationDiffCommand() *cobra.Command {
	flags := changeFlags{}
	command := &cobra.Command{
		Use:   "diff FILE",
		Short: "Check a change and show its differences without applying it",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			change, err := commander.readChange(command, arguments[0], &flags)
			if err != nil {
				return err
			}
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				result, err := clients.configuration.Diff(withIdempotent(ctx), &configuration.DiffPayload{Token: clients.token, Change: change})
				if err != nil {
					return err
				}
				return commander.print(command, camelCaseKeys(result.Differences), differenceTable(result.Differences))
			})
		},
	}
	flags.register(command)
	return command
}

func (commander *Commander) readChange(command *cobra.Command, path string, flags *changeFlags) (*configuration.Change, error) {
	var file configurationFile
	if err := readDocument(command, path, &file); err != nil {
		return nil, err
	}
	if file.Document == nil {
		return nil, newUsageError("%s has no key \"document\"; start from the output of \"config show\"", path)
	}
	return flags.change(file)
}

func compactJSON(value any) string {
	if value == nil {
		return "-"
	}
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(data)
}

func (commander *Commander) configurationApplyCommand() *cobra.Command {
	flags := changeFlags{}
	command := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply a change",
		Long:  "Apply a change. FILE has the form that \"config show\" prints: the revision that the\nchange is based on and the whole new document. Running the same command again resends the\nsame change ID and returns the first outcome.",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			change, err := commander.readChange(command, arguments[0], &flags)
			if err != nil {
				return err
			}
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				result, err := clients.configuration.Apply(withIdempotent(ctx), &configuration.ApplyPayload{Token: clients.token, Change: change})
				if err != nil {
					return err
				}
				return commander.printRevision(command, result.Revision, change.ChangeID)
			})
		},
	}
	flags.register(command)
	return command
}

func (commander *Commander) printRevision(command *cobra.Command, revision uint64, changeID string) error {
	rows := newTable("REVISION", "CHANGE")
	rows.add(revision, changeID)
	return commander.print(command, map[string]any{"revision": revision, "changeID": changeID}, rows)
}

func (commander *Commander) configurationRollForwardCommand() *cobra.Command {
	flags := changeFlags{}
	command := &cobra.Command{
		Use:   "roll-forward REVISION",
		Short: "Make the document of an earlier revision the newest one",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			var to uint64
			if _, err := fmt.Sscan(arguments[0], &to); err != nil || flags.base < 0 {
				return newUsageError("roll-forward needs a revision number and --base")
			}
			change, err := flags.change(configurationFile{Document: to})
			if err != nil {
				return err
			}
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				result, err := clients.configuration.RollForward(withIdempotent(ctx), &configuration.RollForwardPayload{
					Token: clients.token, Base: change.Base, ChangeID: change.ChangeID, Operator: change.Operator, To: to,
				})
				if err != nil {
					return err
				}
				return commander.printRevision(command, result.Revision, change.ChangeID)
			})
		},
	}
	flags.register(command)
	return command
}

func (commander *Commander) configurationHistoryCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the revisions kept",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				result, err := clients.configuration.History(ctx, &configuration.HistoryPayload{Token: clients.token})
				if err != nil {
					return err
				}
				rows := newTable("REVISION", "OPERATOR", "CHANGE", "TIME")
				for _, entry := range result.Revisions {
					rows.add(entry.Revision, entry.Operator, entry.ChangeID, stringOrEmpty(entry.Time))
				}
				return commander.print(command, camelCaseKeys(result.Revisions), rows)
			})
		},
	}
}
