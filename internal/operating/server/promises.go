package server

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/gen/state"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Values of a promise's state.
const (
	promiseKept        = "kept"
	promiseAtRisk      = "atRisk"
	promiseNotKept     = "notKept"
	promiseNotObserved = "notObserved"
)

// Promises reports for each promise whether it is kept, as far as this VM can observe.
func (stateService *stateService) Promises(context.Context, *state.PromisesPayload) (*state.PromisesResult, error) {
	return &state.PromisesResult{Promises: []*state.Promise{
		stateService.capacityPromise(),
		stateService.singleRunPromise(),
		stateService.durabilityPromise(),
		stateService.configurationPromise(),
		stateService.servingPromise(),
		stateService.placementPromise(),
	}}, nil
}

func newPromise(name, condition, format string, arguments ...any) *state.Promise {
	return &state.Promise{Name: name, State: condition, Evidence: fmt.Sprintf(format, arguments...)}
}

func (stateService *stateService) capacityPromise() *state.Promise {
	const name = "no worker is given more than it can hold"
	if stateService.dependencies.Jobs == nil {
		return newPromise(name, promiseNotObserved, "this VM holds no jobs")
	}
	workers := stateService.dependencies.Jobs.WorkerStates()
	for _, worker := range workers {
		if !worker.Reserved.FitsIn(worker.Worker.Capacity) {
			return newPromise(name, promiseNotKept, "worker %s has %+v reserved of %+v; its capacity was lowered while tasks run",
				worker.Worker.Name, worker.Reserved, worker.Worker.Capacity)
		}
	}
	return newPromise(name, promiseKept, "reservations of %d workers fit their capacity", len(workers))
}

func (stateService *stateService) singleRunPromise() *state.Promise {
	const name = "a task never runs in two places"
	if stateService.dependencies.Jobs == nil {
		return newPromise(name, promiseNotObserved, "this VM holds no jobs")
	}
	placed := map[scheduler.TaskID]scheduler.WorkerName{}
	for _, worker := range stateService.dependencies.Jobs.WorkerStates() {
		for _, task := range worker.Tasks {
			if other, twice := placed[task.Task]; twice {
				return newPromise(name, promiseNotKept, "task %s occupies workers %s and %s", task.Task, other, worker.Worker.Name)
			}
			placed[task.Task] = worker.Worker.Name
		}
	}
	return newPromise(name, promiseKept, "%d tasks occupy one worker each", len(placed))
}

func (stateService *stateService) durabilityPromise() *state.Promise {
	const name = "what was acknowledged is not lost"
	home, ok := stateService.dependencies.Groups[scheduler.GroupName(stateService.dependencies.DataCentre)]
	if !ok {
		return newPromise(name, promiseNotObserved, "this VM is not a member of its data centre's group")
	}
	status := home.Status()
	connected := stateService.dependencies.PeerConnections()
	reachable := 0
	for _, voter := range status.Voters() {
		if voter == stateService.dependencies.VM || connected[string(voter)] {
			reachable++
		}
	}
	voters := len(status.Voters())
	outage, out := home.Outage()
	switch {
	case out:
		return newPromise(name, promiseAtRisk, "this VM has been out of group %s for %s: %s",
			home.Name(), time.Since(outage.Since()).Round(time.Second), outage.Cause())
	case voters == 0 || reachable <= voters/2:
		return newPromise(name, promiseAtRisk, "%d of %d voters can be reached; changes are refused", reachable, voters)
	case status.Leader() == "":
		// A majority of reachable voters does not imply a leader, because a voter that returns under a new
		// incarnation is reachable but has no vote.
		return newPromise(name, promiseAtRisk, "the group has no leader; changes are refused")
	case reachable < voters:
		return newPromise(name, promiseAtRisk, "%d of %d voters can be reached; the loss of another stops changes", reachable, voters)
	default:
		return newPromise(name, promiseKept, "all %d voters can be reached, term %d", voters, status.Term())
	}
}

func (stateService *stateService) configurationPromise() *state.Promise {
	const name = "an accepted configuration is in force within seconds"
	if stateService.dependencies.Local == nil || stateService.dependencies.Global == nil {
		return newPromise(name, promiseNotObserved, "this VM holds no configuration")
	}
	inForce, _, ok := stateService.dependencies.Local.InForce()
	accepted, _ := stateService.dependencies.Global.Current()
	if !ok {
		return newPromise(name, promiseAtRisk, "the revision in force has not been read from the data centre's group")
	}
	if inForce < accepted {
		return newPromise(name, promiseAtRisk, "revision %d is in force here, %d is accepted", inForce, accepted)
	}
	if global, member := stateService.dependencies.Groups[scheduler.GlobalGroup]; member && global.Status().Leader() == "" {
		return newPromise(name, promiseAtRisk, "revision %d is in force; the global group has no leader, so changes are refused", inForce)
	}
	return newPromise(name, promiseKept, "revision %d is in force", inForce)
}

func (stateService *stateService) servingPromise() *state.Promise {
	const name = "callers are served"
	ready, reason := stateService.dependencies.Ready()
	if !ready {
		return newPromise(name, promiseNotKept, "%s", reason)
	}
	if stateService.dependencies.Directory == nil {
		return newPromise(name, promiseNotObserved, "this VM does not run the role gateway")
	}
	services := stateService.dependencies.Directory.Services()
	missing := stateService.servicesWithoutEndpoints(services)
	if len(missing) > 0 {
		return newPromise(name, promiseNotKept, "no endpoint has announced itself for %v", missing)
	}
	return newPromise(name, promiseKept, "endpoints are known for %v", services)
}

func (stateService *stateService) servicesWithoutEndpoints(known []scheduler.ServiceName) []scheduler.ServiceName {
	if stateService.dependencies.Local == nil {
		return nil
	}
	_, document, ok := stateService.dependencies.Local.InForce()
	if !ok || document == nil {
		return nil
	}
	var missing []scheduler.ServiceName
	for _, service := range document.Services {
		if !slices.Contains(known, service.Name) {
			missing = append(missing, service.Name)
		}
	}
	return missing
}

func (stateService *stateService) placementPromise() *state.Promise {
	const name = "work that was accepted is placed"
	if stateService.dependencies.Jobs == nil {
		return newPromise(name, promiseNotObserved, "this VM holds no jobs")
	}
	counts := stateService.dependencies.Jobs.Counts()
	pending := 0
	for condition, count := range counts.Tasks {
		if condition == "pending" {
			pending += count
		}
	}
	if pending > 0 {
		return newPromise(name, promiseAtRisk, "%d tasks wait; \"crocusplank job show\" gives the reason of each", pending)
	}
	return newPromise(name, promiseKept, "no task waits, %d leases are live, %d evictions so far", counts.Leases, counts.Evictions)
}
