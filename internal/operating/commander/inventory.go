package commander

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/gen/configuration"
	"github.com/crocusplank/crocusplank/internal/operating/importer"
)

func (commander *Commander) inventoryCommand() *cobra.Command {
	parent := &cobra.Command{Use: "inventory", Short: "Import the inventory"}
	parent.AddCommand(commander.inventoryImportCommand())
	return parent
}

func (commander *Commander) inventoryImportCommand() *cobra.Command {
	flags := changeFlags{base: -1}
	var apply bool
	var format string
	command := &cobra.Command{
		Use:   "import FILE",
		Short: "Replace the inventory by an export of the asset register (CSV or JSON)",
		Long: "Replace the data centres, racks, VMs and workers of the configuration in force by those of an\n" +
			"export of the asset register; docs/inventory.md describes the columns. The other sections stay\n" +
			"as they are. Without --apply the command only shows what would change. A file with a fault is\n" +
			"refused as a whole, and all its faults are listed.",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			inventory, err := readInventory(command, arguments[0], format)
			if err != nil {
				return err
			}
			return commander.importInventory(command, inventory, &flags, apply)
		},
	}
	flags.registerNames(command)
	command.Flags().BoolVar(&apply, "apply", false, "apply the change")
	command.Flags().StringVar(&format, "format", "", "format of the file: csv or json (default: by the file's name)")
	return command
}

func readInventory(command *cobra.Command, path, format string) (*importer.Inventory, error) {
	chosen, known := importer.Format(format), format != ""
	if !known {
		chosen, known = importer.FormatOf(path)
	}
	if !known {
		return nil, newUsageError("the name of %s does not tell its format; pass --format csv or --format json", path)
	}
	data, err := readInput(command, path)
	if err != nil {
		return nil, newUsageError("read %s: %v", path, err)
	}
	inventory, err := importer.Read(path, chosen, data)
	var faulty *importer.FileError
	switch {
	case errors.As(err, &faulty):
		return nil, newUsageError("%v", faulty)
	case err != nil:
		return nil, newUsageError("%v", err)
	}
	return inventory, nil
}

// importInventory shows the change and applies it if asked to. The change names the revision that it was
// made from, so that one which another operator has made in the meantime is not undone.
func (commander *Commander) importInventory(command *cobra.Command, inventory *importer.Inventory, flags *changeFlags, apply bool) error {
	var change *configuration.Change
	var differences []*configuration.Difference
	if err := commander.withConnection(command, func(ctx context.Context, connected *connection) (err error) {
		if change, err = inventoryChange(ctx, connected, inventory, flags); err != nil {
			return err
		}
		result, err := connected.configuration.Diff(withResend(ctx), &configuration.DiffPayload{Token: connected.token, Change: change})
		if err == nil {
			differences = result.Differences
		}
		return err
	}); err != nil {
		return err
	}
	if !apply || len(differences) == 0 {
		return commander.printImport(command, differences, change.Base, false)
	}
	if commander.output != outputJSON {
		if err := differenceTable(differences).write(command.OutOrStdout()); err != nil {
			return err
		}
	}
	// The question is asked outside of the time limit of the exchanges.
	question := fmt.Sprintf("Apply %d differences? Work on removed workers is evicted.", len(differences))
	if err := commander.confirm(command, question); err != nil {
		return err
	}
	return commander.withConnection(command, func(ctx context.Context, connected *connection) error {
		result, err := connected.configuration.Apply(withResend(ctx), &configuration.ApplyPayload{Token: connected.token, Change: change})
		if err != nil {
			return err
		}
		return commander.printImport(command, differences, result.Revision, true)
	})
}

// inventoryChange returns the change that replaces the inventory of the configuration in force.
func inventoryChange(ctx context.Context, connected *connection, inventory *importer.Inventory, flags *changeFlags) (*configuration.Change, error) {
	shown, err := connected.configuration.Show(ctx, &configuration.ShowPayload{Token: connected.token})
	if err != nil {
		return nil, err
	}
	// The document keeps the keys that this version of the command does not know.
	document := map[string]any{}
	data, err := json.Marshal(shown.Document)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, Error.Wrap(err)
	}
	for key, section := range inventory.Sections() {
		document[key] = section
	}
	return flags.change(configurationFile{Revision: shown.Revision, Document: document})
}

func differenceTable(differences []*configuration.Difference) *table {
	rows := newTable("PATH", "FROM", "TO")
	for _, difference := range differences {
		rows.add(difference.Path, compact(difference.From), compact(difference.To))
	}
	return rows
}

func (commander *Commander) printImport(command *cobra.Command, differences []*configuration.Difference, revision uint64, applied bool) error {
	if commander.output == outputJSON {
		return commander.print(command, map[string]any{
			"differences": camelValue(differences), "revision": revision, "applied": applied,
		}, nil)
	}
	out := command.OutOrStdout()
	var err error
	switch {
	case len(differences) == 0:
		_, err = fmt.Fprintf(out, "no differences from revision %d\n", revision)
	case applied:
		_, err = fmt.Fprintf(out, "applied as revision %d\n", revision)
	default:
		if err := differenceTable(differences).write(out); err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "%d differences from revision %d; nothing was changed, pass --apply to apply them\n", len(differences), revision)
	}
	return Error.Wrap(err)
}
