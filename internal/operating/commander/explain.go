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
				return commander.print(command, camelValue(job), nil)
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
				return commander.print(command, camelValue(job.Tasks[index]), nil)
			}
			return explainTask(command.OutOrStdout(), job.Tasks[index])
		},
	}
}

func (commander *Commander) showJob(command *cobra.Command, id string) (*jobs.Job, error) {
	var job *jobs.Job
	err := commander.withConnection(command, func(ctx context.Context, connected *connection) (err error) {
		job, err = connected.jobs.Show(ctx, &jobs.ShowPayload{Token: connected.token, ID: id, Events: true})
		return err
	})
	return job, err
}

// recorded returns a reason, or that there is none: an empty one must not look like an answer.
func recorded(reason *string) string {
	if text(reason) == "" {
		return "no reason is recorded"
	}
	return *reason
}

// stateGroup is the tasks of a job that are in one state for one reason.
type stateGroup struct {
	state, reason string
	tasks         []*jobs.Task
}

func groupTasks(tasks []*jobs.Task) []*stateGroup {
	var groups []*stateGroup
	for _, task := range tasks {
		reason := text(task.Reason)
		if reason == "" && task.State == "pending" {
			reason = recorded(nil)
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
	var answer strings.Builder
	fmt.Fprintf(&answer, "job %s of team %s is %s in data centre %s", job.ID, job.Team, job.State, job.Home)
	if text(job.Reason) != "" {
		answer.WriteString(": " + *job.Reason)
	}
	answer.WriteString("\n")
	evictions := 0
	for _, group := range groupTasks(job.Tasks) {
		fmt.Fprintf(&answer, "%d of %d tasks are %s", len(group.tasks), len(job.Tasks), group.state)
		if group.reason != "" {
			answer.WriteString(": " + group.reason)
		}
		fmt.Fprintf(&answer, " (such as %s)\n", group.tasks[0].ID)
	}
	for _, task := range job.Tasks {
		evictions += number(task.Evictions)
	}
	if evictions > 0 {
		fmt.Fprintf(&answer, "its tasks were evicted %d times\n", evictions)
	}
	for _, task := range job.Tasks {
		for _, event := range task.Events {
			if event.State == "evicting" {
				fmt.Fprintf(&answer, "  %s: %s\n", task.ID, describeEvent(event))
			}
		}
	}
	_, err := io.WriteString(writer, answer.String())
	return Error.Wrap(err)
}

// describeEvent returns a step on a line of its own. It is no row of a table, because a table would cut
// the reason.
func describeEvent(event *jobs.Event) string {
	described := fmt.Sprintf("%s attempt %d %s", event.Time, event.Attempt, event.State)
	if text(event.Worker) != "" {
		described += " on " + *event.Worker
	}
	if text(event.Reason) != "" {
		described += ": " + *event.Reason
	}
	return described
}

func explainTask(writer io.Writer, task *jobs.Task) error {
	var answer strings.Builder
	fmt.Fprintf(&answer, "task %s is %s, attempt %d", task.ID, task.State, number(task.Attempt))
	if text(task.Worker) != "" {
		answer.WriteString(" on worker " + *task.Worker)
	}
	if text(task.Reason) != "" || task.State == "pending" {
		answer.WriteString(": " + recorded(task.Reason))
	}
	fmt.Fprintf(&answer, "\nit was evicted %d times and failed %d times", number(task.Evictions), number(task.Failures))
	if text(task.Checkpoint) != "" {
		answer.WriteString(", and resumes from checkpoint " + *task.Checkpoint)
	}
	answer.WriteString("\n")
	if len(task.Events) == 0 {
		answer.WriteString("no step is recorded\n")
	} else {
		answer.WriteString("its latest steps (earlier ones are not kept):\n")
	}
	for _, event := range task.Events {
		fmt.Fprintf(&answer, "  %s\n", describeEvent(event))
	}
	_, err := io.WriteString(writer, answer.String())
	return Error.Wrap(err)
}
