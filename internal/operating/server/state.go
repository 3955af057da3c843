package server

import (
	"context"
	"slices"
	"strings"
	"time"

	"goa.design/goa/v3/security"

	"github.com/crocusplank/crocusplank/gen/state"
	"github.com/crocusplank/crocusplank/internal/jobs/dispatcher"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// stateService implements the generated state service.
type stateService struct{ *Server }

func stateError(failure *failure) error {
	if failure == nil {
		return nil
	}
	return (*state.APIError)(failure)
}

// APIKeyAuth checks the token of a request and adds the sender to the context.
func (stateService *stateService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	ctx, failure := stateService.authenticate(ctx, key)
	return ctx, stateError(failure)
}

// VM returns the state of this VM.
func (stateService *stateService) VM(context.Context, *state.VMPayload) (*state.VMState, error) {
	ready, _ := stateService.dependencies.Ready()
	shown := &state.VMState{
		VM: string(stateService.dependencies.VM), DataCentre: string(stateService.dependencies.DataCentre),
		Version: &stateService.dependencies.Version, Ready: ready, Peers: stateService.dependencies.PeerConnections(),
		Groups: []*state.GroupState{},
	}
	if stateService.dependencies.Local != nil {
		revision, _, _ := stateService.dependencies.Local.InForce()
		shown.RevisionInForce = uint64(revision)
	}
	for name, replicator := range stateService.dependencies.Groups {
		shown.Groups = append(shown.Groups, groupState(name, replicator))
	}
	slices.SortFunc(shown.Groups, func(a, b *state.GroupState) int { return strings.Compare(a.Name, b.Name) })
	return shown, nil
}

func groupState(name scheduler.GroupName, replicator *replicator.Replicator) *state.GroupState {
	status := replicator.Status()
	shown := &state.GroupState{
		Name: string(name), Role: string(status.Role()), Term: uint64(status.Term()), Leader: optionalString(string(status.Leader())),
		Commit: uint64(status.Commit()), Applied: uint64(status.Applied()), Voters: []string{},
		HoldsLeaderLease: replicator.HoldsLeaderLease(),
	}
	if err := replicator.Err(); err != nil {
		reason := err.Error()
		shown.OutOfGroup = &reason
	}
	for _, voter := range status.Voters() {
		shown.Voters = append(shown.Voters, string(voter))
	}
	return shown
}

// Workers returns a page of the data centre's workers.
func (stateService *stateService) Workers(_ context.Context, payload *state.WorkersPayload) (*state.WorkersResult, error) {
	result := &state.WorkersResult{Workers: []*state.WorkerState{}}
	if stateService.dependencies.Jobs == nil {
		return result, nil
	}
	for _, worker := range stateService.dependencies.Jobs.WorkerStates() {
		if payload.After != nil && string(worker.Worker.Name) <= *payload.After {
			continue
		}
		if len(result.Workers) == payload.Limit {
			result.Next = &result.Workers[payload.Limit-1].Name
			break
		}
		result.Workers = append(result.Workers, toWorker(worker))
	}
	return result, nil
}

func toWorker(worker scheduler.WorkerState) *state.WorkerState {
	condition := "inUse"
	if !worker.Schedulable {
		condition = "drained"
	}
	return &state.WorkerState{
		Name: string(worker.Worker.Name), Rack: optionalString(worker.Worker.Rack), State: condition,
		Capacity: toResources(worker.Worker.Capacity), Reserved: toResources(worker.Reserved), Tasks: len(worker.Tasks),
	}
}

func toResources(resources scheduler.Resources) *state.Resources {
	return &state.Resources{
		MilliCores: resources.MilliCores, MemoryBytes: resources.MemoryBytes, Accelerators: resources.Accelerators,
	}
}

// Drain drains or undrains a worker and, if requested, evicts its tasks.
func (stateService *stateService) Drain(ctx context.Context, payload *state.DrainPayload) error {
	if failure := stateService.requireOperator(ctx, "drain worker "+payload.Worker); failure != nil {
		return stateError(failure)
	}
	if stateService.dependencies.Engine == nil {
		return stateError(notRun("ask another entry VM", "this VM does not run the role scheduler"))
	}
	worker, ok := stateService.worker(payload.Worker)
	if !ok {
		return stateError(notFound("there is no worker %s in data centre %s", payload.Worker, stateService.dependencies.DataCentre))
	}
	drain := dispatcher.Drain{Worker: worker.Worker.Name, Off: !payload.Drained, Operator: identityOf(ctx).Name()}
	if err := stateService.dependencies.Engine.Drain(ctx, drain); err != nil {
		return stateError(failureOf(err))
	}
	if !payload.Evict {
		return nil
	}
	for _, task := range worker.Tasks {
		if err := stateService.dependencies.Evict(ctx, task.Task, "worker "+payload.Worker+" is drained"); err != nil {
			return stateError(failureOf(err))
		}
	}
	return nil
}

func (stateService *stateService) worker(name string) (scheduler.WorkerState, bool) {
	for _, worker := range stateService.dependencies.Jobs.WorkerStates() {
		if string(worker.Worker.Name) == name {
			return worker, true
		}
	}
	return scheduler.WorkerState{}, false
}

// Endpoints returns a page of the endpoints that the VM's gateway knows.
func (stateService *stateService) Endpoints(_ context.Context, payload *state.EndpointsPayload) (*state.EndpointsResult, error) {
	result := &state.EndpointsResult{Endpoints: []*state.EndpointState{}}
	if stateService.dependencies.Directory == nil {
		return result, nil
	}
	var endpoints []scheduler.Announcement
	for _, service := range stateService.dependencies.Directory.Services() {
		endpoints = append(endpoints, stateService.dependencies.Directory.Endpoints(service)...)
	}
	slices.SortFunc(endpoints, func(a, b scheduler.Announcement) int { return strings.Compare(string(a.Endpoint), string(b.Endpoint)) })
	for _, endpoint := range endpoints {
		if payload.After != nil && string(endpoint.Endpoint) <= *payload.After {
			continue
		}
		if len(result.Endpoints) == payload.Limit {
			result.Next = &result.Endpoints[payload.Limit-1].Name
			break
		}
		result.Endpoints = append(result.Endpoints, &state.EndpointState{
			Name: string(endpoint.Endpoint), Service: string(endpoint.Service), Address: endpoint.Address,
			Slots: endpoint.Slots, Leaving: endpoint.Leaving, Incarnation: uint64(endpoint.Incarnation),
		})
	}
	return result, nil
}

// Evictions returns the recorded evictions of the jobs that the sender may see, oldest first.
func (stateService *stateService) Evictions(ctx context.Context, _ *state.EvictionsPayload) (*state.EvictionsResult, error) {
	result := &state.EvictionsResult{Evictions: []*state.Eviction{}}
	if stateService.dependencies.Jobs == nil {
		return result, nil
	}
	for _, id := range stateService.dependencies.Jobs.Jobs() {
		report, ok := stateService.dependencies.Jobs.Job(id)
		if !ok || !identityOf(ctx).MaySee(report.Team) {
			continue
		}
		for _, task := range report.Tasks {
			result.Evictions = append(result.Evictions, evictionsOf(task)...)
		}
	}
	slices.SortStableFunc(result.Evictions, func(a, b *state.Eviction) int { return strings.Compare(*a.Time, *b.Time) })
	return result, nil
}

func evictionsOf(task dispatcher.TaskReport) []*state.Eviction {
	var evictions []*state.Eviction
	for _, event := range task.Events {
		if event.State != dispatcher.TaskEvicting {
			continue
		}
		at := time.UnixMilli(event.AtUnixMilli).UTC().Format(time.RFC3339Nano)
		evictions = append(evictions, &state.Eviction{
			Task: string(task.Task), Attempt: uint32(event.Attempt), Worker: optionalString(string(event.Worker)),
			Time: &at, Reason: event.Reason,
		})
	}
	return evictions
}
