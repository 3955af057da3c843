package governor

import (
	"context"
	"fmt"
	"time"

	"github.com/crocusplank/crocusplank/internal/placement/quotakeeper"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// configurationPollPeriod is how often the configuration is polled, in case a change notification was missed.
const configurationPollPeriod = time.Second

// quotas tracks the resource usage of teams.
type quotas struct {
	keeper   *quotakeeper.Quotakeeper
	capacity scheduler.Resources
	used     map[scheduler.TeamName]scheduler.Resources
	charged  map[scheduler.TaskID]charge
	// assigned holds the tasks that Place has assigned to a worker and that no Update has listed yet.
	assigned map[scheduler.WorkerName][]scheduler.TaskID
}

type charge struct {
	team    scheduler.TeamName
	request scheduler.Resources
}

func newQuotas(keeper *quotakeeper.Quotakeeper) quotas {
	return quotas{
		keeper: keeper, used: map[scheduler.TeamName]scheduler.Resources{},
		charged: map[scheduler.TaskID]charge{}, assigned: map[scheduler.WorkerName][]scheduler.TaskID{},
	}
}

// updateCapacity adjusts the total capacity for a change in the capacity of a worker.
func (quotas *quotas) updateCapacity(before, after scheduler.Resources) {
	if before != after {
		quotas.capacity = quotas.capacity.Minus(before).Plus(after)
		quotas.keeper.SetCapacity(quotas.capacity)
	}
}

// charge adds the request of a task to its team's usage. It has no effect if the task is already charged.
func (quotas *quotas) charge(
	now time.Time, task scheduler.TaskID, team scheduler.TeamName, request scheduler.Resources,
) {
	if _, known := quotas.charged[task]; known {
		return
	}
	quotas.charged[task] = charge{team: team, request: request}
	quotas.used[team] = quotas.used[team].Plus(request)
	quotas.keeper.TaskStarted(now, task, team, request)
}

// refund removes the charge for a task.
func (quotas *quotas) refund(task scheduler.TaskID) {
	if charge, ok := quotas.charged[task]; ok {
		quotas.used[charge.team] = quotas.used[charge.team].Minus(charge.request)
		delete(quotas.charged, task)
		quotas.keeper.TaskEnded(task)
	}
}

// refundUnstarted refunds the tasks that were assigned to a worker but are not listed in its state. They were not
// started, or they are waiting for preempted tasks to stop and are charged again when they start.
func (quotas *quotas) refundUnstarted(worker scheduler.WorkerName, live map[scheduler.TaskID]scheduler.LeaseNumber) {
	for _, task := range quotas.assigned[worker] {
		if _, listed := live[task]; !listed {
			quotas.refund(task)
		}
	}
	delete(quotas.assigned, worker)
}

// ConfigurationSource returns the configuration that is in force in the data centre. ok is false while it is unknown.
type ConfigurationSource func() (revision scheduler.Revision, document *scheduler.Configuration, ok bool)

// FollowTeams updates the teams and their quotas from the configuration in force until ctx is done. changed receives
// a value when a new revision has come into force.
func (governor *Governor) FollowTeams(
	ctx context.Context, configurationSource ConfigurationSource, changed <-chan struct{},
) {
	ticker := time.NewTicker(configurationPollPeriod)
	defer ticker.Stop()
	for {
		if revision, document, ok := configurationSource(); ok {
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

// placeByQuota places tasks in the order given by the quotas. If no teams are configured, no quotas apply.
func (governor *Governor) placeByQuota(
	now time.Time, pending []scheduler.PendingTask,
) (assignments []scheduler.Assignment, rejections []scheduler.PlacementFailure) {
	if len(governor.teams) == 0 {
		assignments, rejections = governor.placer.Place(now, pending)
		governor.chargeAssignments(now, pending, assignments)
		return assignments, rejections
	}
	for _, task := range governor.quotas.keeper.Order(now, pending, len(pending)) {
		violation := governor.quotaViolation(&task)
		if violation != "" && !governor.teams[task.Team].MayBorrow {
			rejections = append(rejections, scheduler.PlacementFailure{
				Task: task.Task, Reason: violation + " and may not borrow",
			})
			continue
		}
		single := []scheduler.PendingTask{task}
		assigned, rejected := governor.placer.Place(now, single)
		governor.chargeAssignments(now, single, assigned)
		assignments = append(assignments, assigned...)
		for _, rejection := range rejected {
			if violation != "" {
				rejection.Reason = violation + " and may only borrow unused quota of other teams: " + rejection.Reason
			}
			rejections = append(rejections, rejection)
		}
	}
	return assignments, rejections
}

// chargeAssignments charges assignments before an Update lists them, so that a single call of Place cannot exceed
// a quota.
func (governor *Governor) chargeAssignments(
	now time.Time, pending []scheduler.PendingTask, assignments []scheduler.Assignment,
) {
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

// quotaViolation returns a message if the task would exceed its team's quota, and an empty string otherwise.
func (governor *Governor) quotaViolation(task *scheduler.PendingTask) string {
	if governor.quotas.used[task.Team].Plus(task.Spec.Request).FitsIn(governor.teams[task.Team].Quota) {
		return ""
	}
	return fmt.Sprintf("team %s would exceed its quota", task.Team)
}
