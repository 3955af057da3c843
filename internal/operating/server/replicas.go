package server

import (
	"context"

	"goa.design/goa/v3/security"

	"github.com/crocusplank/crocusplank/gen/health"
	"github.com/crocusplank/crocusplank/gen/replicas"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// replicaService implements the generated replicas service.
type replicaService struct{ *Server }

func replicasError(failure *failure) error {
	if failure == nil {
		return nil
	}
	return (*replicas.APIError)(failure)
}

// APIKeyAuth checks the token of a request and adds the sender to the context.
func (replicaService *replicaService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	ctx, failure := replicaService.authenticate(ctx, key)
	return ctx, replicasError(failure)
}

func (replicaService *replicaService) group(ctx context.Context, name, action string) (*replicator.Replicator, *failure) {
	if failure := replicaService.requireOperator(ctx, action+" in group "+name); failure != nil {
		return nil, failure
	}
	group, ok := replicaService.dependencies.Groups[scheduler.GroupName(name)]
	if !ok {
		return nil, notFound("VM %s is not a member of group %s", replicaService.dependencies.VM, name)
	}
	return group, nil
}

// Change adds, promotes, removes or replaces a member of a group.
func (replicaService *replicaService) Change(ctx context.Context, payload *replicas.ChangePayload) error {
	group, failure := replicaService.group(ctx, payload.Group, payload.Action)
	if failure != nil {
		return replicasError(failure)
	}
	vm := scheduler.VMName(payload.VM)
	var err error
	switch payload.Action {
	case "addLearner":
		err = group.AddLearner(ctx, replicator.Member{
			VM: vm, Learner: true, Disk: payload.Disk, StandsForElection: payload.StandsForElection,
		})
	case "promote":
		err = group.Promote(ctx, vm)
	case "remove":
		err = group.Remove(ctx, vm)
	case "replace":
		if payload.Replacement == nil {
			return replicasError(invalid("name the learner that takes the place", "replace needs a replacement"))
		}
		err = group.Replace(ctx, vm, scheduler.VMName(*payload.Replacement))
	}
	return replicasError(failureOf(err))
}

// healthService implements the generated health service.
type healthService struct{ *Server }

// Live reports that the process responds to requests.
func (*healthService) Live(context.Context) (string, error) { return "live", nil }

// Ready reports whether the platform's load balancer may send requests to this VM.
func (healthService *healthService) Ready(context.Context) (string, error) {
	ready, reason := healthService.dependencies.Ready()
	if !ready {
		return "", health.MakeNotReady(Error.New("%s", reason))
	}
	return "ready", nil
}
