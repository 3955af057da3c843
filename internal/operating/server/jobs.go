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

// APIKeyAuth checks the token of a request and adds the sender to the context.
func (jobService *jobService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	ctx, failure := jobService.authenticate(ctx, key)
	return ctx, jobsError(failure)
}

// Submit validates a job, applies the operators' rules to its class and submits it to the dispatcher.
func (jobService *jobService) Submit(ctx context.Context, payload *jobs.SubmitPayload) (*jobs.Job, error) {
	if failure := jobService.requireTeam(ctx, "submit job "+payload.Job.ID, scheduler.TeamName(payload.Job.Team)); failure != nil {
		return nil, jobsError(failure)
	}
	if failure := jobService.awaitAcceptedInventory(ctx); failure != nil {
		return nil, jobsError(failure)
	}
	submission, failure := jobService.submission(payload.Job)
	if failure != nil {
		return nil, jobsError(failure)
	}
	result, err := jobService.dependencies.Engine.Submit(ctx, submission)
	if err != nil {
		return nil, jobsError(failureOf(err))
	}
	if !result.Accepted {
		return nil, jobsError(refusedJob(payload.Job.ID, result.Reason))
	}
	return jobService.submittedJob(result.Job, submission), nil
}

// awaitAcceptedInventory waits until the job state uses the inventory of the newest accepted revision that this VM
// knows. Otherwise a job submitted right after a change would be rejected because the workers or the team that the
// change has added are missing.
func (jobService *jobService) awaitAcceptedInventory(ctx context.Context) *failure {
	if jobService.dependencies.Engine == nil {
		return notRun("ask another entry VM", "this VM does not run the role scheduler")
	}
	revision, _, _ := jobService.dependencies.Local.InForce()
	if jobService.dependencies.Global != nil {
		accepted, _ := jobService.dependencies.Global.Current()
		revision = max(revision, accepted)
	}
	if jobService.awaitInForce(ctx, revision) {
		return nil
	}
	return notRun("try again in some seconds", "the accepted configuration is not in force in data centre %s yet", jobService.dependencies.DataCentre)
}

// refusedJob returns the failure for a rejected job. The reason for each class of workers becomes a separate fault,
// because a fleet with many classes would yield a message of many lines.
func refusedJob(id, reason string) *failure {
	refusal := invalid("change the job and submit it under a new ID, or submit it again after a change of the inventory",
		"job %s was refused: %s", id, reason)
	const prefix = "can run nowhere: "
	before, classes, found := strings.Cut(reason, prefix)
	if found {
		refusal.Message = "job " + id + " was refused: " + before + strings.TrimSuffix(prefix, ": ")
		refusal.Faults = strings.Split(classes, "; ")
	}
	return refusal
}

// submittedJob returns a job from the local replica, or builds it from the submission if the replica is a follower that
// has not applied it yet.
func (jobService *jobService) submittedJob(id scheduler.JobID, submission dispatcher.Submission) *jobs.Job {
	if report, ok := jobService.dependencies.Jobs.Job(id); ok {
		return jobService.toJob(report, true)
	}
	spec := submission.Tasks[0].Spec
	return &jobs.Job{
		ID: string(id), Team: string(submission.Team), Class: string(spec.Class), Kind: spec.Kind,
		State: string(dispatcher.JobActive), Home: string(jobService.dependencies.DataCentre),
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
	document, failure := jobService.configurationFor(submission.Team)
	if failure != nil {
		return submission, failure
	}
	task.Class = classOf(document, submission.Team, task)
	submission.Tasks = []dispatcher.TaskGroup{{Count: spec.Tasks, Spec: task}}
	return submission, nil
}

// classOf returns the class that the operators' rules assign to a task. A rule for its kind takes precedence over one
// for its team. Without either, the class declared by the submitter applies.
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

// configurationFor returns the configuration in force, or nil if this VM has none. It rejects teams that are not in
// the configuration, so that a job with a misspelt team is not exempt from the quota.
func (jobService *jobService) configurationFor(team scheduler.TeamName) (*scheduler.Configuration, *failure) {
	if jobService.dependencies.Local == nil {
		return nil, nil
	}
	_, document, ok := jobService.dependencies.Local.InForce()
	if !ok {
		return nil, notRun("try again", "this VM has not read the configuration in force yet")
	}
	if document == nil || slices.ContainsFunc(document.Teams, func(known scheduler.Team) bool { return known.Name == team }) {
		return document, nil
	}
	return nil, invalid("add the team to the configuration", "team %q is not in the configuration in force", team)
}

// Show returns a job with its tasks.
func (jobService *jobService) Show(ctx context.Context, payload *jobs.ShowPayload) (*jobs.Job, error) {
	report, ok := jobService.jobReport(payload.ID)
	if ok && !identityOf(ctx).MaySee(report.Team) {
		// The response does not reveal that the job exists.
		jobService.auditRefusal(identityOf(ctx).Name(), "show job "+payload.ID, "the job belongs to another team")
		ok = false
	}
	if !ok {
		return nil, jobsError(notFound("there is no job %s in data centre %s", payload.ID, jobService.dependencies.DataCentre))
	}
	shown := jobService.toJob(report, true)
	if payload.Events {
		for index, task := range report.Tasks {
			shown.Tasks[index].Events = toEvents(task.Events)
		}
	}
	return shown, nil
}

func (jobService *jobService) jobReport(id string) (dispatcher.JobReport, bool) {
	if jobService.dependencies.Jobs == nil {
		return dispatcher.JobReport{}, false
	}
	return jobService.dependencies.Jobs.Job(scheduler.JobID(id))
}

func (jobService *jobService) toJob(report dispatcher.JobReport, withTasks bool) *jobs.Job {
	job := &jobs.Job{
		ID: string(report.Job), Team: string(report.Team), Class: string(report.Class), Kind: report.Kind,
		State: string(report.State), Reason: optionalString(report.Reason), Home: string(jobService.dependencies.DataCentre),
	}
	if !withTasks {
		return job
	}
	for _, task := range report.Tasks {
		attempt, lease := uint32(task.Attempt), uint64(task.Lease)
		evictions, failures := int(task.Evictions), int(task.Failures)
		job.Tasks = append(job.Tasks, &jobs.Task{
			ID: string(task.Task), State: string(task.State), Attempt: &attempt, Worker: optionalString(string(task.Worker)),
			Lease: &lease, Evictions: &evictions, Failures: &failures, Reason: optionalString(task.Reason),
			Checkpoint: optionalString(task.Checkpoint),
		})
	}
	return job
}

func toEvents(events []dispatcher.Event) []*jobs.Event {
	shown := []*jobs.Event{}
	for _, event := range events {
		shown = append(shown, &jobs.Event{
			Time: time.UnixMilli(event.AtUnixMilli).UTC().Format(time.RFC3339Nano), Attempt: uint32(event.Attempt),
			State: string(event.State), Worker: optionalString(string(event.Worker)), Reason: optionalString(event.Reason),
		})
	}
	return shown
}

func optionalString(text string) *string {
	if text == "" {
		return nil
	}
	return &text
}

// List returns a page of the jobs that the sender may see.
func (jobService *jobService) List(ctx context.Context, payload *jobs.ListPayload) (*jobs.ListResult, error) {
	result := &jobs.ListResult{Jobs: []*jobs.Job{}}
	if jobService.dependencies.Jobs == nil {
		return result, nil
	}
	ids := jobService.dependencies.Jobs.Jobs()
	for _, id := range ids[pageStart(ids, payload.After):] {
		report, ok := jobService.dependencies.Jobs.Job(id)
		if !ok || !identityOf(ctx).MaySee(report.Team) ||
			!matchesFilter(payload.Team, string(report.Team)) || !matchesFilter(payload.State, string(report.State)) {
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

// pageStart returns the index of the first item of a sorted list that is greater than after.
func pageStart[Item ~string](items []Item, after *string) int {
	if after == nil || *after == "" {
		return 0
	}
	position, found := slices.BinarySearch(items, Item(*after))
	if found {
		position++
	}
	return position
}

func matchesFilter(wanted *string, value string) bool { return wanted == nil || *wanted == value }

// Cancel cancels the jobs that exist and returns the IDs of the missing ones.
func (jobService *jobService) Cancel(ctx context.Context, payload *jobs.CancelPayload) (*jobs.CancelResult, error) {
	result := &jobs.CancelResult{}
	cancellation := dispatcher.Cancellation{Operator: identityOf(ctx).Name(), Reason: "cancelled over the API"}
	for _, id := range payload.Ids {
		report, ok := jobService.jobReport(id)
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
	if jobService.dependencies.Engine == nil {
		return nil, jobsError(notRun("ask another entry VM", "this VM does not run the role scheduler"))
	}
	cancelled, err := jobService.dependencies.Engine.Cancel(ctx, cancellation)
	result.Cancelled = cancelled
	return result, jobsError(failureOf(err))
}

// Evict evicts a task from its worker. Only operators may do so.
func (jobService *jobService) Evict(ctx context.Context, payload *jobs.EvictPayload) error {
	if failure := jobService.requireOperator(ctx, "evict task "+payload.Task); failure != nil {
		return jobsError(failure)
	}
	if jobService.dependencies.Evict == nil {
		return jobsError(notRun("ask another entry VM", "this VM does not run the role scheduler"))
	}
	reason := identityOf(ctx).Name() + ": " + payload.Reason
	return jobsError(failureOf(jobService.dependencies.Evict(ctx, scheduler.TaskID(payload.Task), reason)))
}
