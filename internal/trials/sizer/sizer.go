// Package sizer measures the resource usage of the control plane at several system sizes and fits regression lines to the
// results. It runs one process for each VM, and emulates the workers and endpoints on loopback.
package sizer

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("sizer")

const (
	defaultWindow = 10 * time.Second
	// defaultSettleTime exceeds the 30 s until the first usage reports: they cover 10 s and are sent 20 s later.
	defaultSettleTime = 33 * time.Second
	// defaultTasksPerWorker is (2,700 + 16,000) tasks / 860 workers, the expected size in two years, rounded up.
	defaultTasksPerWorker = 22
)

// Phase is one load level of a session.
type Phase struct {
	// Endpoints is the number of endpoints, each of which sends an announcement every second.
	Endpoints int
	// StartRate is the number of short tasks submitted per second.
	StartRate int
}

// Session describes one deployment under test, whose phases are measured one after another.
type Session struct {
	Name    string
	Workers int
	Phases  []Phase
}

// sessions lists the measured sizes: three or four for each variable with the others constant, a seventh of the size that
// is expected in two years, and the whole of it in one data centre.
var sessions = []Session{
	{Name: "endpoints", Workers: 50, Phases: []Phase{{Endpoints: 50}, {Endpoints: 500}, {Endpoints: 2700}}},
	{Name: "starts", Workers: 200, Phases: []Phase{{50, 0}, {50, 25}, {50, 100}, {50, 400}}},
	{Name: "workers", Workers: 860, Phases: []Phase{{Endpoints: 50}}},
	{Name: "seventh", Workers: 123, Phases: []Phase{{386, 0}, {386, 4}, {386, 14}, {386, 57}}},
	{Name: "whole", Workers: 860, Phases: []Phase{{2700, 0}, {2700, 400}}},
}

// Plan holds the parameters of the command.
type Plan struct {
	Sessions       []string
	TasksPerWorker int
	Window         time.Duration
	SettleTime     time.Duration
	MediaType      string
}

// Report is the content of the JSON output file.
type Report struct {
	Measurements []Measurement `json:"cells"`
}

// Command returns the command "capacity", which measures the control plane's processes at several sizes and prints a
// table. It starts its own executable once for each VM.
func Command() *cobra.Command {
	plan := Plan{}
	var output string
	command := &cobra.Command{
		Use:          "capacity",
		Short:        "Measure what control costs at several sizes of a system",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(command *cobra.Command, _ []string) error {
			report, err := plan.run(command.Context(), command)
			if err != nil {
				return err
			}
			if output != "" {
				if err := writeReport(output, report); err != nil {
					return err
				}
			}
			return PrintTable(command.OutOrStdout(), report)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&plan.Sessions, "session", nil,
		"sessions to run: endpoints, starts, workers, seventh, whole (default all)")
	flags.IntVar(&plan.TasksPerWorker, "tasks", defaultTasksPerWorker, "long tasks for each worker")
	flags.DurationVar(&plan.Window, "window", defaultWindow, "time over which each phase is measured")
	flags.DurationVar(&plan.SettleTime, "settle", defaultSettleTime,
		"time between the start of the long tasks and the first phase")
	flags.StringVar(&plan.MediaType, "media", "application/cbor", "media type of the workers' exchanges")
	flags.StringVar(&output, "output", "", "JSON file for the figures")
	command.AddCommand(vmCommand(), plotCommand(), tableCommand())
	return command
}

func writeReport(path string, report Report) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(path, append(data, '\n'), 0o644)) //nolint:gosec // The figures are public.
}

// run runs the selected sessions one after another. On an error it returns the measurements so far.
func (plan Plan) run(ctx context.Context, command *cobra.Command) (Report, error) {
	var report Report
	if ctx == nil {
		ctx = context.Background()
	}
	for _, session := range sessions {
		if !plan.selects(session.Name) {
			continue
		}
		measurements, err := plan.measure(ctx, command, session)
		report.Measurements = append(report.Measurements, measurements...)
		if err != nil {
			return report, Error.New("session %s: %v", session.Name, err)
		}
	}
	if len(report.Measurements) == 0 {
		return report, Error.New("no session matches the names %v", plan.Sessions)
	}
	return report, nil
}

func (plan Plan) selects(name string) bool {
	for _, wanted := range plan.Sessions {
		if wanted == name {
			return true
		}
	}
	return len(plan.Sessions) == 0
}
