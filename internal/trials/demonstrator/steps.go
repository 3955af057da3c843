package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/trials/emulator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const configurationFile = `{
  "revision": 0,
  "document": {
    "dataCentres": [{"name": "couva"}, {"name": "chaguanas"}, {"name": "claxton-bay"}],
    "racks": [{"name": "rack-1", "dataCentre": "couva"}, {"name": "rack-2", "dataCentre": "couva"}],
    "workers": [
      {"name": "worker-1", "dataCentre": "couva", "rack": "rack-1", "capacity": {"milliCores": 4000, "memoryBytes": 8000000000}},
      {"name": "worker-2", "dataCentre": "couva", "rack": "rack-1", "capacity": {"milliCores": 4000, "memoryBytes": 8000000000}},
      {"name": "worker-3", "dataCentre": "couva", "rack": "rack-2", "capacity": {"milliCores": 4000, "memoryBytes": 8000000000}}
    ],
    "teams": [{"name": "cutting", "quota": {"milliCores": 12000, "memoryBytes": 24000000000}}],
    "services": [{"name": "charts", "class": "latencyCritical", "team": "cutting"}],
    "rules": [{"name": "charts-stay-prompt", "service": "charts", "class": "latencyCritical"}]
  }
}`

const jobFile = `{
  // Six scaling runs that need less than the three workers have.
  "id": "scaling-1", "team": "cutting", "class": "batch", "kind": "pattern-scaling", "tasks": 6,
  "request": {"milliCores": 1500, "memoryBytes": 1000000000}, "runTime": "8s",
}`

func (demonstrator *Demonstrator) applyConfiguration(ctx context.Context) error {
	path, err := demonstrator.writeFile("configuration.jsonc", configurationFile)
	if err != nil {
		return err
	}
	if err := demonstrator.runAndShow("config", "diff", path, "--operator", "demo"); err != nil {
		return err
	}
	if err := demonstrator.runAndShow("config", "apply", path, "--operator", "demo"); err != nil {
		return err
	}
	acceptedAt := time.Now()
	if err := demonstrator.waitUntil(ctx, readyTimeout, func() bool {
		for _, daemon := range demonstrator.daemons {
			if daemon.Revision() < 1 {
				return false
			}
		}
		return true
	}); err != nil {
		return Error.New("revision 1 is not in force on all VMs: %v", err)
	}
	demonstrator.printf("revision 1 is in force on all six VMs %.1f s after it was accepted", time.Since(acceptedAt).Seconds())
	demonstrator.printf("repeating the command resends the same change and returns the first outcome:")
	return demonstrator.runAndShow("config", "apply", path, "--operator", "demo")
}

func (demonstrator *Demonstrator) startPlatform(ctx context.Context) error {
	callers := demonstrator.deployment.CallerAddresses(dataCentre)
	for number := 1; number <= workerCount; number++ {
		worker := emulator.NewWorker(scheduler.WorkerName(fmt.Sprintf("worker-%d", number)),
			emulator.NewFailoverExchange(callers), emulator.WithCheckpointPeriod(time.Second))
		demonstrator.workers = append(demonstrator.workers, worker)
		go worker.Run(ctx)
	}
	for number := 1; number <= 3; number++ {
		endpoint := emulator.NewEndpoint(scheduler.EndpointName(fmt.Sprintf("desk-%d", number)), "charts", dataCentre, 8, endpointServiceTime, callers)
		demonstrator.endpoints = append(demonstrator.endpoints, endpoint)
		if err := endpoint.Start(ctx, "127.0.0.1:0"); err != nil {
			return err
		}
	}
	if err := demonstrator.waitUntil(ctx, readyTimeout, func() bool {
		for _, daemon := range demonstrator.daemons[:2] {
			if daemon.EndpointCount("charts") != 3 {
				return false
			}
		}
		return true
	}); err != nil {
		return Error.New("endpoints were not registered on all gateways: %v", err)
	}
	if err := demonstrator.runAndShow("endpoint", "list"); err != nil {
		return err
	}
	return demonstrator.runAndShow("worker", "list")
}

func (demonstrator *Demonstrator) serveCallers(ctx context.Context) error {
	demonstrator.callers = emulator.NewCallers("charts", demonstrator.deployment.CallerAddresses(dataCentre))
	if err := demonstrator.callers.Run(ctx, 400, 16); err != nil {
		return err
	}
	demonstrator.printf("%s", demonstrator.callers.Summary())
	for reason, count := range demonstrator.callers.Reasons() {
		demonstrator.printf("%d requests: %s", count, reason)
	}
	return nil
}

func (demonstrator *Demonstrator) runJob(ctx context.Context) error {
	path, err := demonstrator.writeFile("job.jsonc", jobFile)
	if err != nil {
		return err
	}
	if err := demonstrator.runAndShow("job", "submit", path); err != nil {
		return err
	}
	if err := demonstrator.waitUntil(ctx, readyTimeout, func() bool { return demonstrator.tasksInState("running") == 6 }); err != nil {
		return Error.New("tasks did not start running: %v", err)
	}
	if err := demonstrator.runAndShow("job", "evict", "scaling-1/1", "--reason", "shown in the demo"); err != nil {
		return err
	}
	if err := demonstrator.waitUntil(ctx, jobTimeout, func() bool { return demonstrator.tasksInState("finished") == 6 }); err != nil {
		return Error.New("job did not finish: %v", err)
	}
	if err := demonstrator.runAndShow("job", "show", "scaling-1"); err != nil {
		return err
	}
	return demonstrator.runAndShow("eviction", "list")
}

func (demonstrator *Demonstrator) tasksInState(state string) int {
	output, err := demonstrator.runCLI(false, "-o", "json", "job", "show", "scaling-1")
	if err != nil {
		return 0
	}
	var job struct {
		Tasks []struct{ State string }
	}
	if json.Unmarshal([]byte(output), &job) != nil {
		return 0
	}
	count := 0
	for _, task := range job.Tasks {
		if task.State == state {
			count++
		}
	}
	return count
}

// stopVM stops the second VM of the data centre while it serves requests, and reports every request that the planned
// stop interrupted.
func (demonstrator *Demonstrator) stopVM(ctx context.Context) error {
	const index = 1
	failedBefore := demonstrator.callers.FailedRequests()
	results := make(chan error, 1)
	go func() { results <- demonstrator.callers.Run(ctx, 2000, 16) }()
	stopContext, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := demonstrator.daemons[index].Stop(stopContext); err != nil {
		return err
	}
	demonstrator.daemons = slices.Delete(demonstrator.daemons, index, index+1)
	if err := <-results; err != nil {
		return err
	}
	demonstrator.printf("VM couva-2 was stopped; %s", demonstrator.callers.Summary())
	if failed := demonstrator.callers.FailedRequests() - failedBefore; failed > 0 {
		demonstrator.violations = append(demonstrator.violations, fmt.Sprintf("the planned stop interrupted %d requests", failed))
	}
	return demonstrator.runAndShow("status")
}

func (demonstrator *Demonstrator) removeEndpoint(ctx context.Context) error {
	demonstrator.endpoints[0].Leave(ctx)
	demonstrator.printf("endpoint %s announced that it is leaving", demonstrator.endpoints[0].Name())
	started := time.Now()
	for time.Since(started) < emulator.LeaveGracePeriod+time.Second {
		if err := demonstrator.callers.Run(ctx, 100, 8); err != nil {
			return err
		}
	}
	demonstrator.printf("%s", demonstrator.callers.Summary())
	return nil
}

// checkInvariants checks the records of the workers, endpoints and callers against the invariants.
func (demonstrator *Demonstrator) checkInvariants(context.Context) error {
	var executions []emulator.Execution
	capacity := map[scheduler.WorkerName]scheduler.Resources{}
	for number, worker := range demonstrator.workers {
		executions = append(executions, worker.Executions()...)
		capacity[scheduler.WorkerName(fmt.Sprintf("worker-%d", number+1))] = scheduler.Resources{MilliCores: 4000, MemoryBytes: 8_000_000_000}
	}
	demonstrator.reportInvariant("no worker exceeded its capacity, no task ran in two places, evicted tasks resumed once from their checkpoint",
		fmt.Sprintf("%d executions", len(executions)), emulator.CheckExecutions(executions, capacity))
	demonstrator.reportInvariant("every caller received the complete response to its own request", demonstrator.callers.Summary(), demonstrator.callers.ResponseFaults())
	runs := 0
	var slotViolations, lateRequests []string
	runsByKey := map[string]int{}
	for _, endpoint := range demonstrator.endpoints {
		record := endpoint.Record()
		runs += record.Runs
		for key, count := range record.RunsByKey {
			runsByKey[key] += count
		}
		if record.Most > endpoint.Slots() || record.Refused > 0 {
			slotViolations = append(slotViolations, fmt.Sprintf("%s ran %d concurrent requests with %d slots and rejected %d", endpoint.Name(), record.Most, endpoint.Slots(), record.Refused))
		}
		if record.LateRuns > 0 {
			lateRequests = append(lateRequests, fmt.Sprintf("%s received %d requests more than %v after it announced that it was leaving", endpoint.Name(), record.LateRuns, emulator.LeaveGracePeriod))
		}
	}
	demonstrator.reportInvariant("no endpoint received more concurrent requests than it has slots", fmt.Sprintf("%d runs", runs), slotViolations)
	demonstrator.reportInvariant("a leaving endpoint received no new requests after 3 s", "", lateRequests)
	demonstrator.reportInvariant("every non-idempotent request ran at most once", fmt.Sprintf("%d keys, each sent twice", len(runsByKey)), repeatedRuns(runsByKey))
	demonstrator.reportInvariant("requests reported as not run were not run", "", demonstrator.callers.FalseNotRun(runsByKey))
	if _, err := demonstrator.runCLI(true, "audit", "verify"); err != nil {
		return err
	}
	for _, violation := range demonstrator.violations {
		demonstrator.printf("BROKEN: %s", violation)
	}
	return nil
}

func repeatedRuns(runsByKey map[string]int) []string {
	var violations []string
	for key, count := range runsByKey {
		if count > 1 {
			violations = append(violations, fmt.Sprintf("key %s ran %d times", key, count))
		}
	}
	return violations
}

func (demonstrator *Demonstrator) reportInvariant(invariant, evidence string, violations []string) {
	if len(violations) == 0 {
		demonstrator.printf("kept:   %s (%s)", invariant, evidence)
		return
	}
	demonstrator.violations = append(demonstrator.violations, violations...)
	demonstrator.printf("BROKEN: %s", invariant)
}
