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

// APIKeyAuth implements the token check.
func (stateService *stateService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	ctx, failure := stateService.authenticate(ctx, key)
	return ctx, stateError(failure)
}

// VM implements the view of this VM.
func (stateService *stateService) VM(context.Context, *state.VMPayload) (*state.VMState, error) {
	ready, _ := stateService.parts.Ready()
	shown := &state.VMState{
		VM: string(stateService.parts.VM), DataCentre: string(stateService.parts.DataCentre),
		Version: &stateService.parts.Version, Ready: ready, Peers: stateService.parts.PeerConnections(),
		Groups: []*state.GroupState{},
	}
	if stateService.parts.Local != nil {
		revision, _, _ := stateService.parts.Local.InForce()
		shown.RevisionInForce = uint64(revision)
	}
	for name, replicator := range stateService.parts.Groups {
		shown.Groups = append(shown.Groups, groupState(name, replicator))
	}
	slices.SortFunc(shown.Groups, func(a, b *state.GroupState) int { return strings.Compare(a.Name, b.Name) })
	return shown, nil
}

func groupState(name scheduler.GroupName, replicator *replicator.Replicator) *state.GroupState {
	status := replicator.Status()
	shown := &state.GroupState{
		Name: string(name), Role: string(status.Role()), Term: uint64(status.Term()), Leader: textPointer(string(status.Leader())),
		Commit: uint64(status.Commit()), Applied: uint64(status.Applied()), Voters: []string{},
		HoldsLeaderLease: replicator.HoldsLeaderLease(),
	}
	for _, voter := range status.Voters() {
		shown.Voters = append(shown.Voters, string(voter))
	}
	return shown
}

// Workers implements the list of workers.
func (stateService *stateService) Workers(_ context.Context, payload *state.WorkersPayload) (*state.WorkersResult, error) {
	result := &state.WorkersResult{Workers: []*state.WorkerState{}}
	if stateService.parts.Jobs == nil {
		return result, nil
	}
	for _, worker := range stateService.parts.Jobs.WorkerStates() {
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
		Name: string(worker.Worker.Name), Rack: textPointer(worker.Worker.Rack), State: condition,
		Capacity: toResources(worker.Worker.Capacity), Reserved: toResources(worker.Reserved), Tasks: len(worker.Tasks),
	}
}

func toResources(resources scheduler.Resources) *state.Resources {
	return &state.Resources{
		MilliCores: resources.MilliCores, MemoryBytes: resources.MemoryBytes, Accelerators: resources.Accelerators,
	}
}

// Drain implements draining and undraining.
func (stateService *stateService) Drain(ctx context.Context, payload *state.DrainPayload) error {
	if failure := stateService.requireOperator(ctx, "drain worker "+payload.Worker); failure != nil {
		return stateError(failure)
	}
	if stateService.parts.Engine == nil {
		return stateError(notRun("ask another entry VM", "this VM does not run the role scheduler"))
	}
	worker, ok := stateService.worker(payload.Worker)
	if !ok {
		return stateError(notFound("there is no worker %s in data centre %s", payload.Worker, stateService.parts.DataCentre))
	}
	drain := dispatcher.Drain{Worker: worker.Worker.Name, Off: !payload.Drained, Operator: identityOf(ctx).Name()}
	if err := stateService.parts.Engine.Drain(ctx, drain); err != nil {
		return stateError(outcomeOf(err))
	}
	if !payload.Evict {
		return nil
	}
	for _, task := range worker.Tasks {
		if err := stateService.parts.Evict(ctx, task.Task, "worker "+payload.Worker+" is drained"); err != nil {
			return stateError(outcomeOf(err))
		}
	}
	return nil
}

func (stateService *stateService) worker(name string) (scheduler.WorkerState, bool) {
	for _, worker := range stateService.parts.Jobs.WorkerStates() {
		if string(worker.Worker.Name) == name {
			return worker, true
		}
	}
	return scheduler.WorkerState{}, false
}

// Endpoints implements the list of endpoints.
func (stateService *stateService) Endpoints(_ context.Context, payload *state.EndpointsPayload) (*state.EndpointsResult, error) {
	result := &state.EndpointsResult{Endpoints: []*state.EndpointState{}}
	if stateService.parts.Directory == nil {
		return result, nil
	}
	var endpoints []scheduler.Announcement
	for _, service := range stateService.parts.Directory.Services() {
		endpoints = append(endpoints, stateService.parts.Directory.Endpoints(service)...)
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

// Evictions implements the list of evictions.
func (stateService *stateService) Evictions(ctx context.Context, _ *state.EvictionsPayload) (*state.EvictionsResult, error) {
	result := &state.EvictionsResult{Evictions: []*state.Eviction{}}
	if stateService.parts.Jobs == nil {
		return result, nil
	}
	for _, id := range stateService.parts.Jobs.Jobs() {
		report, ok := stateService.parts.Jobs.Job(id)
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
			Task: string(task.Task), Attempt: uint32(event.Attempt), Worker: textPointer(string(event.Worker)),
			Time: &at, Reason: event.Reason,
		})
	}
	return evictions
}
