package commander

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/gen/jobs"
)

func (commander *Commander) explainCommand() *cobra.Command {
	parent := &cobra.Command{
		Use:   "explain",
		Short: "Explain why work waits, was evicted or failed",
		Long:  "Explain why work waits, was evicted or failed, from the reasons that the system has recorded.",
	}
	parent.AddCommand(commander.explainJobCommand(), commander.explainTaskCommand())
	return parent
}

func (commander *Commander) explainJobCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "job ID",
		Short: "Explain the state of a job and of its tasks",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			job, err := commander.showJob(command, arguments[0])
			if err != nil {
				return err
			}
			if commander.output == outputJSON {
				return commander.print(command, camelCaseKeys(job), nil)
			}
			return explainJob(command.OutOrStdout(), job)
		},
	}
}

func (commander *Commander) explainTaskCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "task JOB/NUMBER",
		Short: "Explain the state of a task and what has happened to it",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			id, _, isTask := strings.Cut(arguments[0], "/")
			if !isTask {
				return newUsageError("%q is not a task; its ID has the form JOB/NUMBER", arguments[0])
			}
			job, err := commander.showJob(command, id)
			if err != nil {
				return err
			}
			index := slices.IndexFunc(job.Tasks, func(task *jobs.Task) bool { return task.ID == arguments[0] })
			if index < 0 {
				return newUsageError("job %s has no task %s; it has %d tasks", id, arguments[0], len(job.Tasks))
			}
			if commander.output == outputJSON {
				return commander.print(command, camelCaseKeys(job.Tasks[index]), nil)
			}
			return explainTask(command.OutOrStdout(), job.Tasks[index])
		},
	}
}

func (commander *Commander) showJob(command *cobra.Command, id string) (*jobs.Job, error) {
	var job *jobs.Job
	err := commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) (err error) {
		job, err = clients.jobs.Show(ctx, &jobs.ShowPayload{Token: clients.token, ID: id, Events: true})
		return err
	})
	return job, err
}

// reasonOrNone returns the reason, or a text that says that none is recorded, so that the output shows the
// reason is missing.
func reasonOrNone(reason *string) string {
	if stringOrEmpty(reason) == "" {
		return "no reason is recorded"
	}
	return *reason
}

// stateGroup holds the tasks of a job that have the same state and reason.
type stateGroup struct {
	state, reason string
	tasks         []*jobs.Task
}

func groupTasks(tasks []*jobs.Task) []*stateGroup {
	var groups []*stateGroup
	for _, task := range tasks {
		reason := stringOrEmpty(task.Reason)
		if reason == "" && task.State == "pending" {
			reason = reasonOrNone(nil)
		}
		index := slices.IndexFunc(groups, func(group *stateGroup) bool { return group.state == task.State && group.reason == reason })
		if index < 0 {
			index = len(groups)
			groups = append(groups, &stateGroup{state: task.State, reason: reason})
		}
		groups[index].tasks = append(groups[index].tasks, task)
	}
	slices.SortStableFunc(groups, func(a, b *stateGroup) int { return cmp.Compare(len(b.tasks), len(a.tasks)) })
	return groups
}

func explainJob(writer io.Writer, job *jobs.Job) error {
	var output strings.Builder
	fmt.Fprintf(&output, "job %s of team %s is %s in data centre %s", job.ID, job.Team, job.State, job.Home)
	if stringOrEmpty(job.Reason) != "" {
		output.WriteString(": " + *job.Reason)
	}
	output.WriteString("\n")
	evictions := 0
	for _, group := range groupTasks(job.Tasks) {
		fmt.Fprintf(&output, "%d of %d tasks are %s", len(group.tasks), len(job.Tasks), group.state)
		if group.reason != "" {
			output.WriteString(": " + group.reason)
		}
		fmt.Fprintf(&output, " (such as %s)\n", group.tasks[0].ID)
	}
	for _, task := range job.Tasks {
		evictions += valueOrZero(task.Evictions)
	}
	if evictions > 0 {
		fmt.Fprintf(&output, "its tasks were evicted %d times\n", evictions)
	}
	for _, task := range job.Tasks {
		for _, event := range task.Events {
			if event.State == "evicting" {
				fmt.Fprintf(&output, "  %s: %s\n", task.ID, describeEvent(event))
			}
		}
	}
	_, err := io.WriteString(writer, output.String())
	return Error.Wrap(err)
}

// describeEvent formats an event as a line of text and not as a table row, because a table would truncate
// the reason.
func describeEvent(event *jobs.Event) string {
	described := fmt.Sprintf("%s attempt %d %s", event.Time, event.Attempt, event.State)
	if stringOrEmpty(event.Worker) != "" {
		described += " on " + *event.Worker
	}
	if stringOrEmpty(event.Reason) != "" {
		described += ": " + *event.Reason
	}
	return described
}

func explainTask(writer io.Writer, task *jobs.Task) error {
	var output strings.Builder
	fmt.Fprintf(&output, "task %s is %s, attempt %d", task.ID, task.State, valueOrZero(task.Attempt))
	if stringOrEmpty(task.Worker) != "" {
		output.WriteString(" on worker " + *task.Worker)
	}
	if stringOrEmpty(task.Reason) != "" || task.State == "pending" {
		output.WriteString(": " + reasonOrNone(task.Reason))
	}
	fmt.Fprintf(&output, "\nit was evicted %d times and failed %d times", valueOrZero(task.Evictions), valueOrZero(task.Failures))
	if stringOrEmpty(task.Checkpoint) != "" {
		output.WriteString(", and resumes from checkpoint " + *task.Checkpoint)
	}
	output.WriteString("\n")
	if len(task.Events) == 0 {
		output.WriteString("no step is recorded\n")
	} else {
		output.WriteString("its latest steps (earlier ones are not kept):\n")
	}
	for _, event := range task.Events {
		fmt.Fprintf(&output, "  %s\n", describeEvent(event))
	}
	_, err := io.WriteString(writer, output.String())
	return Error.Wrap(err)
}
