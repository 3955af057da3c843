package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/gen/jobs"
	"github.com/crocusplank/crocusplank/internal/basics/waiter"
)

const pollInterval = time.Second

func (commander *Commander) jobCommand() *cobra.Command {
	parent := &cobra.Command{Use: "job", Short: "Submit, show, list and cancel jobs"}
	parent.AddCommand(
		commander.jobSubmitCommand(), commander.jobShowCommand(), commander.jobListCommand(),
		commander.jobCancelCommand(), commander.jobWaitCommand(), commander.jobEvictCommand(),
	)
	return parent
}

// jobFile is the content of a job file. It is a wire type.
type jobFile struct {
	ID          string            `json:"id"`
	Team        string            `json:"team"`
	Class       string            `json:"class"`
	Kind        string            `json:"kind"`
	Tasks       int               `json:"tasks"`
	Request     jobResources      `json:"request"`
	RunTime     *string           `json:"runTime"`
	Deadline    *string           `json:"deadline"`
	Urgent      bool              `json:"urgent"`
	Constraints map[string]string `json:"constraints"`
	Spread      string            `json:"spread"`
}

// jobResources is the resource request in a job file. It is a wire type.
type jobResources struct {
	MilliCores   int64 `json:"milliCores"`
	MemoryBytes  int64 `json:"memoryBytes"`
	Accelerators int64 `json:"accelerators"`
}

func (jobFile jobFile) spec() *jobs.JobSpec {
	return &jobs.JobSpec{
		ID: jobFile.ID, Team: jobFile.Team, Class: jobFile.Class, Kind: jobFile.Kind,
		Tasks:   max(jobFile.Tasks, 1),
		Request: (*jobs.Resources)(&jobFile.Request),
		RunTime: jobFile.RunTime, Deadline: jobFile.Deadline, Urgent: jobFile.Urgent,
		Constraints: jobFile.Constraints, Spread: jobFile.Spread,
	}
}

func (commander *Commander) jobSubmitCommand() *cobra.Command {
	var wait bool
	command := &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit a job described in a file (JSON with comments)",
		Long:  "Submit a job described in a file (JSON with comments; - reads standard input).\nThe file holds the job's ID, so running the command again creates no second job.",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			var file jobFile
			if err := readDocument(command, arguments[0], &file); err != nil {
				return err
			}
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				job, err := clients.jobs.Submit(withIdempotent(ctx), &jobs.SubmitPayload{Token: clients.token, Job: file.spec()})
				if err != nil {
					return err
				}
				if wait {
					return commander.waitForJob(command, clients, job.ID)
				}
				return commander.printJob(command, job)
			})
		},
	}
	command.Flags().BoolVar(&wait, "wait", false, "wait until the job has ended and show its progress")
	return command
}

func (commander *Commander) jobShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show ID",
		Short: "Show a job, its tasks and why it waits",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				job, err := clients.jobs.Show(ctx, &jobs.ShowPayload{Token: clients.token, ID: arguments[0]})
				if err != nil {
					return err
				}
				return commander.printJob(command, job)
			})
		},
	}
}

func (commander *Commander) printJob(command *cobra.Command, job *jobs.Job) error {
	if commander.output != outputJSON {
		_, _ = fmt.Fprintf(command.OutOrStdout(), "job %s: %s at %s %s %s\n",
			job.ID, job.State, job.Home, stringOrEmpty(job.Reason), stringOrEmpty(job.PredictedEnd))
	}
	rows := newTable("TASK", "STATE", "ATTEMPT", "WORKER", "EVICTIONS", "REASON")
	for _, task := range job.Tasks {
		rows.add(task.ID, task.State, valueOrZero(task.Attempt), stringOrEmpty(task.Worker),
			valueOrZero(task.Evictions), stringOrEmpty(task.Reason))
	}
	return commander.print(command, camelCaseKeys(job), rows)
}

func (commander *Commander) jobListCommand() *cobra.Command {
	var team, state string
	command := &cobra.Command{
		Use:   "list",
		Short: "List jobs",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				listed, err := listJobs(ctx, clients, team, state)
				if err != nil {
					return err
				}
				rows := newTable("JOB", "TEAM", "CLASS", "KIND", "STATE", "REASON")
				for _, job := range listed {
					rows.add(job.ID, job.Team, job.Class, job.Kind, job.State, stringOrEmpty(job.Reason))
				}
				return commander.print(command, camelCaseKeys(listed), rows)
			})
		},
	}
	command.Flags().StringVar(&team, "team", "", "only jobs of this team")
	command.Flags().StringVar(&state, "state", "", "only jobs in this state")
	return command
}

func listJobs(ctx context.Context, clients *apiClients, team, state string) ([]*jobs.Job, error) {
	payload := &jobs.ListPayload{Token: clients.token, Limit: 1000, Team: optional(team), State: optional(state)}
	var listed []*jobs.Job
	for {
		page, err := clients.jobs.List(ctx, payload)
		if err != nil {
			return nil, err
		}
		listed = append(listed, page.Jobs...)
		if stringOrEmpty(page.Next) == "" {
			return listed, nil
		}
		payload.After = page.Next
	}
}

func (commander *Commander) jobCancelCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "cancel ID...",
		Short: "Cancel jobs",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if err := commander.confirm(command, fmt.Sprintf("Cancel %d job(s)? Running tasks are stopped.", len(arguments))); err != nil {
				return err
			}
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				result, err := clients.jobs.Cancel(withIdempotent(ctx), &jobs.CancelPayload{Token: clients.token, Ids: arguments})
				if err != nil {
					return err
				}
				rows := newTable("CANCELLED", "MISSING")
				rows.add(result.Cancelled, len(result.Missing))
				return commander.print(command, camelCaseKeys(result), rows)
			})
		},
	}
}

func (commander *Commander) jobEvictCommand() *cobra.Command {
	var reason string
	command := &cobra.Command{
		Use:   "evict TASK --reason TEXT",
		Short: "Evict a task; it resumes from its checkpoint",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			if err := commander.confirm(command, fmt.Sprintf("Evict task %s?", arguments[0])); err != nil {
				return err
			}
			return commander.withAPIClients(command, func(ctx context.Context, clients *apiClients) error {
				// Not retried when the response is lost, because a second eviction would stop the next attempt.
				return clients.jobs.Evict(ctx, &jobs.EvictPayload{Token: clients.token, Task: arguments[0], Reason: reason})
			})
		},
	}
	command.Flags().StringVar(&reason, "reason", "requested by an operator", "why, for the audit trail")
	return command
}

func (commander *Commander) jobWaitCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "wait ID",
		Short: "Wait until a job has ended and show its progress",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			clients, err := commander.newAPIClients()
			if err != nil {
				return err
			}
			return commander.waitForJob(command, clients, arguments[0])
		},
	}
}

// waitForJob prints each change of the job's progress until the job has reached a terminal state. Requests that get
// no response are retried without limit, since they are read-only.
func (commander *Commander) waitForJob(command *cobra.Command, clients *apiClients, id string) error {
	last := ""
	for {
		ctx, cancel := context.WithTimeout(command.Context(), commander.timeout)
		job, err := clients.jobs.Show(ctx, &jobs.ShowPayload{Token: clients.token, ID: id})
		cancel()
		switch {
		case err != nil && newFailure(err).Name != "notRun" && newFailure(err).Name != "unknown":
			return err
		case err != nil:
			_, _ = fmt.Fprintf(command.ErrOrStderr(), "no response, retrying: %v\n", err)
		default:
			if progress := jobProgress(job); progress != last {
				_, _ = fmt.Fprintln(command.ErrOrStderr(), progress)
				last = progress
			}
			if isTerminal(job.State) {
				return commander.printJob(command, job)
			}
		}
		if !waiter.Sleep(command.Context(), pollInterval) {
			return Error.Wrap(command.Context().Err())
		}
	}
}

func isTerminal(state string) bool {
	return state == "finished" || state == "failed" || state == "cancelled" || state == "refused"
}

func jobProgress(job *jobs.Job) string {
	counts := map[string]int{}
	for _, task := range job.Tasks {
		counts[task.State]++
	}
	return fmt.Sprintf("job %s: %s, tasks %v %s", job.ID, job.State, counts, stringOrEmpty(job.Reason))
}

func optional(value string) *string {
	if value == "" {
		return nil
	}
	return &value
}

// withAPIClients invokes call with API clients and a context that ends after the command's time limit.
func (commander *Commander) withAPIClients(command *cobra.Command, call func(ctx context.Context, clients *apiClients) error) error {
	clients, err := commander.newAPIClients()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(command.Context(), commander.timeout)
	defer cancel()
	return call(ctx, clients)
}
