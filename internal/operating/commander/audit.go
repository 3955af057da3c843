package commander

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/gen/audit"
)

func (commander *Commander) auditCommand() *cobra.Command {
	parent := &cobra.Command{Use: "audit", Short: "Read and verify the audit trail"}
	parent.AddCommand(commander.auditListCommand(), commander.auditVerifyCommand())
	return parent
}

func (commander *Commander) auditListCommand() *cobra.Command {
	var from uint64
	var limit int
	command := &cobra.Command{
		Use:   "list",
		Short: "List records of the audit trail",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				result, err := clients.audit.List(ctx, &audit.ListPayload{Token: clients.token, From: from, Limit: limit})
				if err != nil {
					return err
				}
				rows := newTable("INDEX", "TIME", "WHO", "ACTION", "CHANGE", "OUTCOME", "DETAIL")
				for _, record := range result.Records {
					rows.add(record.Index, record.Time, record.Who, record.Action, stringOrEmpty(record.ChangeID),
						record.Outcome, stringOrEmpty(record.Detail))
				}
				return commander.print(command, camelCaseKeys(result.Records), rows)
			})
		},
	}
	command.Flags().Uint64Var(&from, "from", 1, "index of the first record")
	command.Flags().IntVar(&limit, "limit", 100, "largest number of records")
	return command
}

func (commander *Commander) auditVerifyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "verify",
		Short: "Check the hash chain of the audit trail",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				result, err := clients.audit.Verify(ctx, &audit.VerifyPayload{Token: clients.token})
				if err != nil {
					return err
				}
				if fault := stringOrEmpty(result.Fault); fault != "" {
					return Error.New("the audit trail is damaged: %s", fault)
				}
				rows := newTable("RECORDS", "CHAIN")
				rows.add(result.Records, "holds")
				return commander.print(command, camelCaseKeys(result), rows)
			})
		},
	}
}
