package tracer

import (
	"os"

	"github.com/spf13/cobra"
)

// Command returns the command "trace", which prints tables from the logs of a domain's VMs.
func Command() *cobra.Command {
	return &cobra.Command{
		Use:   "trace [FILE...]",
		Short: "Show from the logs of a domain's VMs where time and work went",
		Long: "Show from the logs of a domain's VMs where the time of jobs and the work of attempts went, as Markdown tables.\n" +
			"The lines of all files are sorted by time. Without a file, the standard input is read. Text before the JSON\n" +
			"object of a line is ignored.",
		SilenceUsage: true,
		RunE: func(command *cobra.Command, files []string) error {
			trace := New()
			if len(files) == 0 {
				if err := trace.Read(command.InOrStdin()); err != nil {
					return err
				}
			}
			for _, name := range files {
				if err := readFile(trace, name); err != nil {
					return err
				}
			}
			return trace.PrintTables(command.OutOrStdout())
		},
	}
}

func readFile(trace *Trace, name string) error {
	file, err := os.Open(name) //nolint:gosec // The operator names the file.
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = file.Close() }()
	return trace.Read(file)
}
