package experimenter

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// columns lists the metrics of the printed table.
var columns = []string{
	metricP50, metricP99, metricP999, metricInterferenceP99, metricThroughput, metricInTime, metricEvictions, metricLost,
	metricFailures, metricUrgentP99,
}

// Command returns the command "placement", which runs the placement experiment, prints a table and optionally writes the
// metrics of each seed to a JSON file.
func Command() *cobra.Command {
	plan := Plan{}
	var output string
	command := &cobra.Command{
		Use:   "placement",
		Short: "Compare placement policies on a stand-in of a fleet",
		Args:  cobra.NoArgs,
		// Without this, cobra prints the usage text after an error and hides it.
		SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			results, err := Execute(plan)
			if err != nil {
				return err
			}
			if output != "" {
				if err := writeResults(output, results); err != nil {
					return err
				}
			}
			return printTable(command.OutOrStdout(), results)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&plan.Scenarios, "scenario", nil, "scenarios to run (default all)")
	flags.StringSliceVar(&plan.Deployments, "deployment", nil, "deployments: couva, bramble (default both)")
	flags.StringSliceVar(&plan.Policies, "policy", nil, "policies to run (default all)")
	flags.IntVar(&plan.Seeds, "seeds", 10, "number of seeds")
	flags.IntVar(&plan.FirstSeed, "first-seed", 1, "first seed")
	flags.IntVar(&plan.Parallelism, "parallel", 4, "runs at a time")
	flags.DurationVar(&plan.Horizon, "horizon", horizon, "virtual time of a run, at most 2h")
	flags.StringVar(&output, "output", "", "JSON file for the figures of each seed")
	return command
}

func writeResults(path string, results []Result) error {
	data, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(path, append(data, '\n'), 0o644))
}

// printTable prints the mean of each metric and, after ±, its standard deviation over the seeds.
func printTable(w io.Writer, results []Result) error {
	var text strings.Builder
	text.WriteString("| deployment\t| scenario\t| policy\t")
	for _, column := range columns {
		fmt.Fprintf(&text, "| %s\t", column)
	}
	for _, result := range results {
		fmt.Fprintf(&text, "|\n| %s\t| %s\t| %s\t", result.Deployment, result.Scenario, result.Policy)
		for _, column := range columns {
			if s, ok := result.Metrics[column]; ok {
				fmt.Fprintf(&text, "| %.4g ± %.2g\t", s.Mean, s.StandardDeviation)
			} else {
				text.WriteString("| \t")
			}
		}
	}
	text.WriteString("|\n")
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	if _, err := io.WriteString(table, text.String()); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(table.Flush())
}
