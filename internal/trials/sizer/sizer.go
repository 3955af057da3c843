// Package sizer measures what control costs at several sizes of a system, with one process for each VM
// and emulated workers and endpoints on loopback, and fits lines through the results.
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
	// defaultSettle is above the delay of the first usage reports: they cover 10 s and are sent 20 s
	// later.
	defaultSettle = 33 * time.Second
	// defaultTasks is (2,700 + 16,000) / 860, rounded up.
	defaultTasks = 22
)

// Phase is one size of a session.
type Phase struct {
	// Endpoints announce themselves every second.
	Endpoints int
	// StartRate is the number of short tasks that are submitted each second.
	StartRate int
}

// Session is the life of one system. Its phases are measured one after another.
type Session struct {
	Name    string
	Workers int
	Phases  []Phase
}

// sessions lists the sizes: three or four for each variable while the others stay the same, a seventh of
// the sizes in two years, and the whole in one data centre.
var sessions = []Session{
	{Name: "endpoints", Workers: 50, Phases: []Phase{{Endpoints: 50}, {Endpoints: 500}, {Endpoints: 2700}}},
	{Name: "starts", Workers: 200, Phases: []Phase{{50, 0}, {50, 25}, {50, 100}, {50, 400}}},
	{Name: "workers", Workers: 860, Phases: []Phase{{Endpoints: 50}}},
	{Name: "seventh", Workers: 123, Phases: []Phase{{386, 0}, {386, 4}, {386, 14}, {386, 57}}},
	{Name: "whole", Workers: 860, Phases: []Phase{{2700, 0}, {2700, 400}}},
}

// Plan states what Command runs.
type Plan struct {
	Sessions       []string
	TasksPerWorker int
	Window         time.Duration
	SettleTime     time.Duration
	MediaType      string
}

// Report is the content of the JSON file.
type Report struct {
	Measurements []Measurement `json:"cells"`
}

// Command returns the command "capacity", which measures the control processes at several sizes and
// prints a table. It starts one process for each VM from its own program.
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
				if err := save(output, report); err != nil {
					return err
				}
			}
			return PrintTable(command.OutOrStdout(), report)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&plan.Sessions, "session", nil, "sessions to run: endpoints, starts, workers, seventh, whole (default all)")
	flags.IntVar(&plan.TasksPerWorker, "tasks", defaultTasks, "long tasks for each worker")
	flags.DurationVar(&plan.Window, "window", defaultWindow, "time over which each phase is measured")
	flags.DurationVar(&plan.SettleTime, "settle", defaultSettle, "time between the start of the long tasks and the first phase")
	flags.StringVar(&plan.MediaType, "media", "application/cbor", "media type of the workers' exchanges")
	flags.StringVar(&output, "output", "", "JSON file for the figures")
	command.AddCommand(vmCommand(), plotCommand(), tableCommand())
	return command
}

func save(path string, report Report) error {
	data, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(path, append(data, '\n'), 0o644)) //nolint:gosec // The figures are public.
}

// run runs the sessions one after another.
func (plan Plan) run(ctx context.Context, command *cobra.Command) (Report, error) {
	var report Report
	if ctx == nil {
		ctx = context.Background()
	}
	for _, session := range sessions {
		if !plan.includes(session.Name) {
			continue
		}
		cells, err := plan.measure(ctx, command, session)
		report.Measurements = append(report.Measurements, cells...)
		if err != nil {
			return report, Error.New("session %s: %v", session.Name, err)
		}
	}
	if len(report.Measurements) == 0 {
		return report, Error.New("no session of these names: %v", plan.Sessions)
	}
	return report, nil
}

func (plan Plan) includes(name string) bool {
	for _, wanted := range plan.Sessions {
		if wanted == name {
			return true
		}
	}
	return len(plan.Sessions) == 0
}
