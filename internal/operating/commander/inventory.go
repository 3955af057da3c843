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
	flags.registerIdentity(command)
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
		return nil, newUsageError("the format of %s cannot be inferred from its name; pass --format csv or --format json", path)
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

// importInventory prints the differences and applies them if apply is set. The change is based on the
// revision that was read, so that a concurrent change by another operator causes a conflict and is not overwritten.
func (commander *Commander) importInventory(command *cobra.Command, inventory *importer.Inventory, flags *changeFlags, apply bool) error {
	var change *configuration.Change
	var differences []*configuration.Difference
	if err := commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) (err error) {
		if change, err = inventoryChange(ctx, clients, inventory, flags); err != nil {
			return err
		}
		result, err := clients.configuration.Diff(withIdempotent(ctx), &configuration.DiffPayload{Token: clients.token, Change: change})
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
	// The wait for confirmation does not count towards the time limit of the requests.
	question := fmt.Sprintf("Apply %d differences? Work on removed workers is evicted.", len(differences))
	if err := commander.confirm(command, question); err != nil {
		return err
	}
	return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
		result, err := clients.configuration.Apply(withIdempotent(ctx), &configuration.ApplyPayload{Token: clients.token, Change: change})
		if err != nil {
			return err
		}
		return commander.printImport(command, differences, result.Revision, true)
	})
}

// inventoryChange returns the change that replaces the inventory of the configuration in force.
func inventoryChange(ctx context.Context, clients *apiClients, inventory *importer.Inventory, flags *changeFlags) (*configuration.Change, error) {
	shown, err := clients.configuration.Show(ctx, &configuration.ShowPayload{Token: clients.token})
	if err != nil {
		return nil, err
	}
	// The document is decoded into a map to preserve keys that this version of the command does not know.
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
		rows.add(difference.Path, compactJSON(difference.From), compactJSON(difference.To))
	}
	return rows
}

func (commander *Commander) printImport(command *cobra.Command, differences []*configuration.Difference, revision uint64, applied bool) error {
	if commander.output == outputJSON {
		return commander.print(command, map[string]any{
			"differences": camelCaseKeys(differences), "revision": revision, "applied": applied,
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
