package composer

import (
	"github.com/uber-go/tally/v4"
)

// updateMetrics sets the gauges of the roles that run on this VM. See docs/metrics.md for the list.
func (daemon *Daemon) updateMetrics(scope tally.Scope) {
	ready, _ := daemon.ready()
	scope.Gauge("ready").Update(gaugeValue(ready))
	for peer, connected := range daemon.connected() {
		scope.Tagged(map[string]string{"peer": peer}).Gauge("peer_connected").Update(gaugeValue(connected))
	}
	if replicas := lookupReplicas(daemon.kernel); replicas != nil {
		replicas.updateMetrics(scope)
	}
	if schedulerRole, ok := daemon.kernel.Lookup(serviceScheduler).(*schedulerRole); ok {
		schedulerRole.updateMetrics(scope)
	}
	if daemon.gateway != nil {
		daemon.gateway.updateMetrics(scope)
	}
}

func gaugeValue(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// groupRoom returns the room of the disk that each group has, 0 without a disk.
func (replicaRole *replicaRole) groupRoom() int64 {
	settings := replicaRole.environment.settings
	if !settings.HasDisk() {
		return 0
	}
	return settings.DiskBudget().Room()
}

func (replicaRole *replicaRole) updateMetrics(scope tally.Scope) {
	revision, _, _ := replicaRole.local.InForce()
	scope.Gauge("configuration_revision").Update(float64(revision))
	for name, replica := range replicaRole.replicas {
		group := scope.Tagged(map[string]string{"group": string(name)})
		group.Gauge("group_room_bytes").Update(float64(replicaRole.groupRoom()))
		status := replica.replicator.Status()
		group.Gauge("group_term").Update(float64(status.Term()))
		group.Gauge("group_commit_index").Update(float64(status.Commit()))
		group.Gauge("group_applied_index").Update(float64(status.Applied()))
		group.Gauge("group_has_leader").Update(gaugeValue(status.Leader() != ""))
		group.Gauge("group_leader_lease").Update(gaugeValue(replica.replicator.HoldsLeaderLease()))
		replica.replicator.UpdateMetrics(group)
	}
	counts := replicaRole.jobs.Counts()
	for state, count := range counts.Tasks {
		scope.Tagged(map[string]string{"state": string(state)}).Gauge("tasks").Update(float64(count))
	}
	for state, count := range counts.Jobs {
		scope.Tagged(map[string]string{"state": string(state)}).Gauge("jobs").Update(float64(count))
	}
	scope.Gauge("task_leases").Update(float64(counts.Leases))
	scope.Gauge("task_evictions").Update(float64(counts.Evictions))
	scope.Gauge("task_failures").Update(float64(counts.Failures))
	scope.Gauge("workers").Update(float64(counts.Workers))
	scope.Gauge("workers_drained").Update(float64(counts.Drained))
	scope.Gauge("reserved_milli_cores").Update(float64(counts.Reserved.MilliCores))
	scope.Gauge("capacity_milli_cores").Update(float64(counts.Capacity.MilliCores))
}

// updateMetrics sets the placement gauges. All but the evictions are set by the leader of the group and zero on other
// VMs. Evictions are counted per VM since its start.
func (schedulerRole *schedulerRole) updateMetrics(scope tally.Scope) {
	stats := schedulerRole.governor.Stats()
	scope.Gauge("tasks_throttled").Update(float64(stats.Throttled))
	scope.Gauge("workers_quarantined").Update(float64(stats.Quarantined))
	for cause, count := range stats.Evictions {
		scope.Tagged(map[string]string{"cause": string(cause)}).Gauge("evictions").Update(float64(count))
	}
	for team, share := range stats.DominantShares {
		scope.Tagged(map[string]string{"team": string(team)}).Gauge("team_share").Update(share)
	}
}

func (gatewayRole *gatewayRole) updateMetrics(scope tally.Scope) {
	for _, service := range gatewayRole.registrar.Services() {
		tagged := scope.Tagged(map[string]string{"service": string(service)})
		tagged.Gauge("endpoints").Update(float64(len(gatewayRole.registrar.Endpoints(service))))
		tagged.Gauge("slots_free").Update(float64(gatewayRole.shareClient.FreeForService(service)))
		tagged.Gauge("requests_waiting").Update(float64(gatewayRole.queue.QueuedRequests(service)))
	}
	crashes := gatewayRole.gateway.Crashes()
	scope.Gauge("endpoint_crashes").Update(float64(crashes.Crashes))
	scope.Gauge("requests_given_up").Update(float64(crashes.GivenUp))
}
