package server

import (
	"context"
	"slices"
	"strings"
	"time"

	"goa.design/goa/v3/security"

	"github.com/crocusplank/crocusplank/gen/jobs"
	"github.com/crocusplank/crocusplank/internal/jobs/dispatcher"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// jobService implements the generated jobs service.
type jobService struct{ *Server }

func jobsError(failure *failure) error {
	if failure == nil {
		return nil
	}
	return (*jobs.APIError)(failure)
}

// APIKeyAuth implements the token check.
func (jobService *jobService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	ctx, failure := jobService.authenticate(ctx, key)
	return ctx, jobsError(failure)
}

// Submit implements the submission of a job.
func (jobService *jobService) Submit(ctx context.Context, payload *jobs.SubmitPayload) (*jobs.Job, error) {
	if failure := jobService.requireTeam(ctx, "submit job "+payload.Job.ID, scheduler.TeamName(payload.Job.Team)); failure != nil {
		return nil, jobsError(failure)
	}
	if failure := jobService.awaitInventory(ctx); failure != nil {
		return nil, jobsError(failure)
	}
	submission, failure := jobService.submission(payload.Job)
	if failure != nil {
		return nil, jobsError(failure)
	}
	result, err := jobService.parts.Engine.Submit(ctx, submission)
	if err != nil {
		return nil, jobsError(outcomeOf(err))
	}
	if !result.Accepted {
		return nil, jobsError(refusedJob(payload.Job.ID, result.Reason))
	}
	return jobService.job(result.Job, submission), nil
}

// awaitInventory waits until the jobs' inventory is that of the newest accepted revision that this VM
// knows. Without it a job submitted right after a change would be refused for want of workers or a team
// that the change has added.
func (jobService *jobService) awaitInventory(ctx context.Context) *failure {
	if jobService.parts.Engine == nil {
		return notRun("ask another entry VM", "this VM does not run the role scheduler")
	}
	revision, _, _ := jobService.parts.Local.InForce()
	if jobService.parts.Global != nil {
		accepted, _ := jobService.parts.Global.Current()
		revision = max(revision, accepted)
	}
	if jobService.awaitInForce(ctx, revision) {
		return nil
	}
	return notRun("try again in some seconds", "the accepted configuration is not in force in data centre %s yet", jobService.parts.DataCentre)
}

// refusedJob returns the refusal of a job, with the reason for each class of workers as a fault of its
// own. A fleet with many classes gives a reason of many lines.
func refusedJob(id, reason string) *failure {
	refusal := invalid("change the job and submit it under a new ID, or submit it again after a change of the inventory",
		"job %s was refused: %s", id, reason)
	const introduction = "can run nowhere: "
	before, classes, found := strings.Cut(reason, introduction)
	if found {
		refusal.Message = "job " + id + " was refused: " + before + strings.TrimSuffix(introduction, ": ")
		refusal.Faults = strings.Split(classes, "; ")
	}
	return refusal
}

// job returns a job from the local replica. A follower may not have applied the submission yet; it then
// returns what was submitted.
func (jobService *jobService) job(id scheduler.JobID, submission dispatcher.Submission) *jobs.Job {
	if report, ok := jobService.parts.Jobs.Job(id); ok {
		return jobService.toJob(report, true)
	}
	spec := submission.Tasks[0].Spec
	return &jobs.Job{
		ID: string(id), Team: string(submission.Team), Class: string(spec.Class), Kind: spec.Kind,
		State: string(dispatcher.JobActive), Home: string(jobService.parts.DataCentre),
	}
}

func (jobService *jobService) submission(spec *jobs.JobSpec) (dispatcher.Submission, *failure) {
	task := scheduler.TaskSpec{
		Class: scheduler.Class(spec.Class), Kind: spec.Kind, Constraints: spec.Constraints, Spread: spec.Spread,
		Request: scheduler.Resources{
			MilliCores: spec.Request.MilliCores, MemoryBytes: spec.Request.MemoryBytes, Accelerators: spec.Request.Accelerators,
		},
	}
	submission := dispatcher.Submission{Job: scheduler.JobID(spec.ID), Team: scheduler.TeamName(spec.Team), Urgent: spec.Urgent}
	if spec.RunTime != nil {
		runTime, err := time.ParseDuration(*spec.RunTime)
		if err != nil || runTime <= 0 {
			return submission, invalid("write a duration such as \"90m\"", "runTime %q is not a positive duration", *spec.RunTime)
		}
		task.RunTime = runTime
	}
	if spec.Deadline != nil {
		deadline, err := time.Parse(time.RFC3339, *spec.Deadline)
		if err != nil {
			return submission, invalid("write a time such as \"2026-01-31T06:00:00Z\"", "deadline %q is not a time", *spec.Deadline)
		}
		submission.DeadlineUnixMilli = deadline.UnixMilli()
	}
	document, failure := jobService.documentFor(submission.Team)
	if failure != nil {
		return submission, failure
	}
	task.Class = classOf(document, submission.Team, task)
	submission.Tasks = []dispatcher.TaskGroup{{Count: spec.Tasks, Spec: task}}
	return submission, nil
}

// classOf returns the class that the operators' rules give to a task: a rule for its kind goes before one
// for its team, and the class that the submitter declared holds without either.
func classOf(document *scheduler.Configuration, team scheduler.TeamName, task scheduler.TaskSpec) scheduler.Class {
	class := task.Class
	if document == nil {
		return class
	}
	for _, rule := range document.Rules {
		switch {
		case rule.Kind != "" && rule.Kind == task.Kind:
			return rule.Class
		case rule.Team != "" && rule.Team == team:
			class = rule.Class
		}
	}
	return class
}

// documentFor returns the configuration in force, nil when this VM keeps none. It refuses teams that the
// configuration does not name, so that a misspelt team does not escape its quota.
func (jobService *jobService) documentFor(team scheduler.TeamName) (*scheduler.Configuration, *failure) {
	if jobService.parts.Local == nil {
		return nil, nil
	}
	_, document, ok := jobService.parts.Local.InForce()
	if !ok {
		return nil, notRun("try again", "this VM has not read the configuration in force yet")
	}
	if document == nil || slices.ContainsFunc(document.Teams, func(known scheduler.Team) bool { return known.Name == team }) {
		return document, nil
	}
	return nil, invalid("add the team to the configuration", "team %q is not in the configuration in force", team)
}

// Show implements the view of a job.
func (jobService *jobService) Show(ctx context.Context, payload *jobs.ShowPayload) (*jobs.Job, error) {
	report, ok := jobService.report(payload.ID)
	if ok && !identityOf(ctx).MaySee(report.Team) {
		// The answer does not tell that the job exists.
		jobService.auditRefusal(identityOf(ctx).Name(), "show job "+payload.ID, "the job belongs to another team")
		ok = false
	}
	if !ok {
		return nil, jobsError(notFound("there is no job %s in data centre %s", payload.ID, jobService.parts.DataCentre))
	}
	shown := jobService.toJob(report, true)
	if payload.Events {
		for index, task := range report.Tasks {
			shown.Tasks[index].Events = toEvents(task.Events)
		}
	}
	return shown, nil
}

func (jobService *jobService) report(id string) (dispatcher.JobReport, bool) {
	if jobService.parts.Jobs == nil {
		return dispatcher.JobReport{}, false
	}
	return jobService.parts.Jobs.Job(scheduler.JobID(id))
}

func (jobService *jobService) toJob(report dispatcher.JobReport, withTasks bool) *jobs.Job {
	job := &jobs.Job{
		ID: string(report.Job), Team: string(report.Team), Class: string(report.Class), Kind: report.Kind,
		State: string(report.State), Reason: textPointer(report.Reason), Home: string(jobService.parts.DataCentre),
	}
	if !withTasks {
		return job
	}
	for _, task := range report.Tasks {
		attempt, lease := uint32(task.Attempt), uint64(task.Lease)
		evictions, failures := int(task.Evictions), int(task.Failures)
		job.Tasks = append(job.Tasks, &jobs.Task{
			ID: string(task.Task), State: string(task.State), Attempt: &attempt, Worker: textPointer(string(task.Worker)),
			Lease: &lease, Evictions: &evictions, Failures: &failures, Reason: textPointer(task.Reason),
			Checkpoint: textPointer(task.Checkpoint),
		})
	}
	return job
}

func toEvents(events []dispatcher.Event) []*jobs.Event {
	shown := []*jobs.Event{}
	for _, event := range events {
		shown = append(shown, &jobs.Event{
			Time: time.UnixMilli(event.AtUnixMilli).UTC().Format(time.RFC3339Nano), Attempt: uint32(event.Attempt),
			State: string(event.State), Worker: textPointer(string(event.Worker)), Reason: textPointer(event.Reason),
		})
	}
	return shown
}

func textPointer(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}

// List implements the list of jobs.
func (jobService *jobService) List(ctx context.Context, payload *jobs.ListPayload) (*jobs.ListResult, error) {
	result := &jobs.ListResult{Jobs: []*jobs.Job{}}
	if jobService.parts.Jobs == nil {
		return result, nil
	}
	ids := jobService.parts.Jobs.Jobs()
	for _, id := range ids[firstAfter(ids, payload.After):] {
		report, ok := jobService.parts.Jobs.Job(id)
		if !ok || !identityOf(ctx).MaySee(report.Team) || !matches(payload.Team, string(report.Team)) || !matches(payload.State, string(report.State)) {
			continue
		}
		if len(result.Jobs) == payload.Limit {
			result.Next = &result.Jobs[payload.Limit-1].ID
			break
		}
		result.Jobs = append(result.Jobs, jobService.toJob(report, false))
	}
	return result, nil
}

// firstAfter returns the position of the first item of a sorted list that follows the last page.
func firstAfter[Item ~string](items []Item, after *string) int {
	if after == nil || *after == "" {
		return 0
	}
	position, found := slices.BinarySearch(items, Item(*after))
	if found {
		position++
	}
	return position
}

func matches(wanted *string, value string) bool { return wanted == nil || *wanted == value }

// Cancel implements the cancellation of jobs.
func (jobService *jobService) Cancel(ctx context.Context, payload *jobs.CancelPayload) (*jobs.CancelResult, error) {
	result := &jobs.CancelResult{}
	cancellation := dispatcher.Cancellation{Operator: identityOf(ctx).Name(), Reason: "cancelled over the API"}
	for _, id := range payload.Ids {
		report, ok := jobService.report(id)
		if !ok {
			result.Missing = append(result.Missing, id)
			continue
		}
		if failure := jobService.requireTeam(ctx, "cancel job "+id, report.Team); failure != nil {
			return nil, jobsError(failure)
		}
		cancellation.Jobs = append(cancellation.Jobs, report.Job)
	}
	if len(cancellation.Jobs) == 0 {
		return result, nil
	}
	if jobService.parts.Engine == nil {
		return nil, jobsError(notRun("ask another entry VM", "this VM does not run the role scheduler"))
	}
	cancelled, err := jobService.parts.Engine.Cancel(ctx, cancellation)
	result.Cancelled = cancelled
	return result, jobsError(outcomeOf(err))
}

// Evict implements the eviction of a task.
func (jobService *jobService) Evict(ctx context.Context, payload *jobs.EvictPayload) error {
	if failure := jobService.requireOperator(ctx, "evict task "+payload.Task); failure != nil {
		return jobsError(failure)
	}
	if jobService.parts.Evict == nil {
		return jobsError(notRun("ask another entry VM", "this VM does not run the role scheduler"))
	}
	reason := identityOf(ctx).Name() + ": " + payload.Reason
	return jobsError(outcomeOf(jobService.parts.Evict(ctx, scheduler.TaskID(payload.Task), reason)))
}
