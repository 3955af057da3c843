package governor

import (
	"context"
	"fmt"
	"time"

	"github.com/crocusplank/crocusplank/internal/placement/quotakeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// followPeriod is how soon a missed change of the configuration is noticed.
const followPeriod = time.Second

// quotas counts what the teams use.
type quotas struct {
	keeper   *quotakeeper.Keeper
	capacity scheduler.Resources
	used     map[scheduler.TeamName]scheduler.Resources
	charged  map[scheduler.TaskID]charge
	// assigned holds the tasks that Place assigned and no Update has listed yet.
	assigned map[scheduler.WorkerName][]scheduler.TaskID
}

type charge struct {
	team    scheduler.TeamName
	request scheduler.Resources
}

func newQuotas(keeper *quotakeeper.Keeper) quotas {
	return quotas{
		keeper: keeper, used: map[scheduler.TeamName]scheduler.Resources{},
		charged: map[scheduler.TaskID]charge{}, assigned: map[scheduler.WorkerName][]scheduler.TaskID{},
	}
}

// resize counts a change of a worker's capacity.
func (quotas *quotas) resize(before, after scheduler.Resources) {
	if before != after {
		quotas.capacity = quotas.capacity.Minus(before).Plus(after)
		quotas.keeper.SetCapacity(quotas.capacity)
	}
}

// charge counts a task for its team, once.
func (quotas *quotas) charge(now time.Time, task scheduler.TaskID, team scheduler.TeamName, request scheduler.Resources) {
	if _, known := quotas.charged[task]; known {
		return
	}
	quotas.charged[task] = charge{team: team, request: request}
	quotas.used[team] = quotas.used[team].Plus(request)
	quotas.keeper.Started(now, task, team, request)
}

// refund ends the charge for a task.
func (quotas *quotas) refund(task scheduler.TaskID) {
	if known, ok := quotas.charged[task]; ok {
		quotas.used[known.team] = quotas.used[known.team].Minus(known.request)
		delete(quotas.charged, task)
		quotas.keeper.Ended(task)
	}
}

// settle refunds the assignments to a worker that its state does not list: they were not carried out,
// or wait for their victims and are charged again when they start.
func (quotas *quotas) settle(worker scheduler.WorkerName, live map[scheduler.TaskID]scheduler.LeaseNumber) {
	for _, task := range quotas.assigned[worker] {
		if _, listed := live[task]; !listed {
			quotas.refund(task)
		}
	}
	delete(quotas.assigned, worker)
}

// ConfigurationSource returns the configuration in force in the data centre. ok is false while it is not known.
type ConfigurationSource func() (revision scheduler.Revision, document *scheduler.Configuration, ok bool)

// FollowTeams keeps the quotas in step with the configuration in force until ctx ends. changed receives
// a value when a revision has come into force.
func (governor *Governor) FollowTeams(ctx context.Context, inForce ConfigurationSource, changed <-chan struct{}) {
	ticker := time.NewTicker(followPeriod)
	defer ticker.Stop()
	for {
		if revision, document, ok := inForce(); ok {
			governor.setTeams(revision, document.Teams)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (governor *Governor) setTeams(revision scheduler.Revision, teams []scheduler.Team) {
	governor.mutex.Lock()
	defer governor.mutex.Unlock()
	if revision <= governor.revision {
		return
	}
	governor.revision = revision
	for name := range governor.teams {
		governor.quotas.keeper.SetQuota(name, scheduler.Resources{})
	}
	governor.teams = map[scheduler.TeamName]scheduler.Team{}
	for _, team := range teams {
		governor.teams[team.Name] = team
		governor.quotas.keeper.SetQuota(team.Name, team.Quota)
	}
}

// placeByQuota places in the order of the quotas. Without teams in the configuration no quotas apply.
func (governor *Governor) placeByQuota(
	now time.Time, pending []scheduler.PendingTask,
) (assignments []scheduler.Assignment, refusals []scheduler.PlacementFailure) {
	if len(governor.teams) == 0 {
		assignments, refusals = governor.placer.Place(now, pending)
		governor.assign(now, pending, assignments)
		return assignments, refusals
	}
	for _, task := range governor.quotas.keeper.Order(now, pending, len(pending)) {
		beyond := governor.beyond(&task)
		if beyond != "" && !governor.teams[task.Team].MayBorrow {
			refusals = append(refusals, scheduler.PlacementFailure{Task: task.Task, Reason: beyond + " and may not borrow"})
			continue
		}
		one := []scheduler.PendingTask{task}
		assigned, refused := governor.placer.Place(now, one)
		governor.assign(now, one, assigned)
		assignments = append(assignments, assigned...)
		for _, refusal := range refused {
			if beyond != "" {
				refusal.Reason = beyond + " and borrows only what others leave: " + refusal.Reason
			}
			refusals = append(refusals, refusal)
		}
	}
	return assignments, refusals
}

// assign charges assignments before an Update lists them, so that one step cannot exceed a quota.
func (governor *Governor) assign(now time.Time, pending []scheduler.PendingTask, assignments []scheduler.Assignment) {
	tasks := make(map[scheduler.TaskID]*scheduler.PendingTask, len(pending))
	for i := range pending {
		tasks[pending[i].Task] = &pending[i]
	}
	for _, assignment := range assignments {
		task := tasks[assignment.Task]
		governor.quotas.charge(now, task.Task, task.Team, task.Spec.Request)
		governor.quotas.assigned[assignment.Worker] = append(governor.quotas.assigned[assignment.Worker], task.Task)
	}
}

// beyond tells in words that the task would take its team beyond its quota, empty if it would not.
func (governor *Governor) beyond(task *scheduler.PendingTask) string {
	if governor.quotas.used[task.Team].Plus(task.Spec.Request).FitsIn(governor.teams[task.Team].Quota) {
		return ""
	}
	return fmt.Sprintf("team %s would be beyond quota", task.Team)
}
