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
	if err := demonstrator.cli("config", "diff", path, "--operator", "demo"); err != nil {
		return err
	}
	if err := demonstrator.cli("config", "apply", path, "--operator", "demo"); err != nil {
		return err
	}
	accepted := time.Now()
	if err := demonstrator.until(ctx, readyLimit, func() bool {
		for _, daemon := range demonstrator.daemons {
			if daemon.Revision() < 1 {
				return false
			}
		}
		return true
	}); err != nil {
		return Error.New("revision 1 is not in force everywhere: %v", err)
	}
	demonstrator.say("revision 1 is in force on all six VMs %.1f s after it was accepted", time.Since(accepted).Seconds())
	demonstrator.say("the same command again resends the same change and gets the first outcome:")
	return demonstrator.cli("config", "apply", path, "--operator", "demo")
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
		endpoint := emulator.NewEndpoint(scheduler.EndpointName(fmt.Sprintf("desk-%d", number)), "charts", dataCentre, 8, endpointWork, callers)
		demonstrator.endpoints = append(demonstrator.endpoints, endpoint)
		if err := endpoint.Start(ctx, "127.0.0.1:0"); err != nil {
			return err
		}
	}
	if err := demonstrator.until(ctx, readyLimit, func() bool {
		for _, daemon := range demonstrator.daemons[:2] {
			if daemon.Endpoints("charts") != 3 {
				return false
			}
		}
		return true
	}); err != nil {
		return Error.New("the endpoints are not known: %v", err)
	}
	if err := demonstrator.cli("endpoint", "list"); err != nil {
		return err
	}
	return demonstrator.cli("worker", "list")
}

func (demonstrator *Demonstrator) serveCallers(ctx context.Context) error {
	demonstrator.callers = emulator.NewCallers("charts", demonstrator.deployment.CallerAddresses(dataCentre))
	if err := demonstrator.callers.Run(ctx, 400, 16); err != nil {
		return err
	}
	demonstrator.say("%s", demonstrator.callers.Summary())
	for reason, count := range demonstrator.callers.Reasons() {
		demonstrator.say("%d requests: %s", count, reason)
	}
	return nil
}

func (demonstrator *Demonstrator) runJob(ctx context.Context) error {
	path, err := demonstrator.writeFile("job.jsonc", jobFile)
	if err != nil {
		return err
	}
	if err := demonstrator.cli("job", "submit", path); err != nil {
		return err
	}
	if err := demonstrator.until(ctx, readyLimit, func() bool { return demonstrator.tasksInState("running") == 6 }); err != nil {
		return Error.New("the tasks do not run: %v", err)
	}
	if err := demonstrator.cli("job", "evict", "scaling-1/1", "--reason", "shown in the demo"); err != nil {
		return err
	}
	if err := demonstrator.until(ctx, jobLimit, func() bool { return demonstrator.tasksInState("finished") == 6 }); err != nil {
		return Error.New("the job does not end: %v", err)
	}
	if err := demonstrator.cli("job", "show", "scaling-1"); err != nil {
		return err
	}
	return demonstrator.cli("eviction", "list")
}

func (demonstrator *Demonstrator) tasksInState(wanted string) int {
	text, err := demonstrator.capture(false, "-o", "json", "job", "show", "scaling-1")
	if err != nil {
		return 0
	}
	var job struct {
		Tasks []struct{ State string }
	}
	if json.Unmarshal([]byte(text), &job) != nil {
		return 0
	}
	count := 0
	for _, task := range job.Tasks {
		if task.State == wanted {
			count++
		}
	}
	return count
}

// stopVM stops the second VM of the data centre while requests are in progress there.
func (demonstrator *Demonstrator) stopVM(ctx context.Context) error {
	const stopped = 1
	before := demonstrator.callers.FailedRequests()
	results := make(chan error, 1)
	go func() { results <- demonstrator.callers.Run(ctx, 2000, 16) }()
	stopContext, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	if err := demonstrator.daemons[stopped].Stop(stopContext); err != nil {
		return err
	}
	demonstrator.daemons = slices.Delete(demonstrator.daemons, stopped, stopped+1)
	if err := <-results; err != nil {
		return err
	}
	demonstrator.say("VM couva-2 was stopped; %s", demonstrator.callers.Summary())
	if cut := demonstrator.callers.FailedRequests() - before; cut > 0 {
		demonstrator.broken = append(demonstrator.broken, fmt.Sprintf("the planned stop cut %d requests", cut))
	}
	return demonstrator.cli("status")
}

func (demonstrator *Demonstrator) leave(ctx context.Context) error {
	demonstrator.endpoints[0].Leave(ctx)
	demonstrator.say("endpoint %s announced that it is leaving", demonstrator.endpoints[0].Name())
	started := time.Now()
	for time.Since(started) < emulator.LeaveGracePeriod+time.Second {
		if err := demonstrator.callers.Run(ctx, 100, 8); err != nil {
			return err
		}
	}
	demonstrator.say("%s", demonstrator.callers.Summary())
	return nil
}

// check compares what workers, endpoints and callers saw with the invariants.
func (demonstrator *Demonstrator) check(context.Context) error {
	var executions []emulator.Execution
	capacity := map[scheduler.WorkerName]scheduler.Resources{}
	for number, worker := range demonstrator.workers {
		executions = append(executions, worker.Executions()...)
		capacity[scheduler.WorkerName(fmt.Sprintf("worker-%d", number+1))] = scheduler.Resources{MilliCores: 4000, MemoryBytes: 8_000_000_000}
	}
	demonstrator.report("no worker over its capacity, no task in two places, evicted tasks resumed once from their checkpoint",
		fmt.Sprintf("%d executions", len(executions)), emulator.CheckExecutions(executions, capacity))
	demonstrator.report("every caller got the whole answer to its own request", demonstrator.callers.Summary(), demonstrator.callers.ResponseFaults())
	runs := 0
	var faults, late []string
	perKey := map[string]int{}
	for _, endpoint := range demonstrator.endpoints {
		record := endpoint.Record()
		runs += record.Runs
		for key, count := range record.RunsByKey {
			perKey[key] += count
		}
		if record.Most > endpoint.Slots() || record.Refused > 0 {
			faults = append(faults, fmt.Sprintf("%s ran %d requests at once with %d slots and refused %d", endpoint.Name(), record.Most, endpoint.Slots(), record.Refused))
		}
		if record.LateRuns > 0 {
			late = append(late, fmt.Sprintf("%s got %d requests more than %v after it had left", endpoint.Name(), record.LateRuns, emulator.LeaveGracePeriod))
		}
	}
	demonstrator.report("no endpoint was given more than its slots hold", fmt.Sprintf("%d runs", runs), faults)
	demonstrator.report("a leaving endpoint got no new work after 3 s", "", late)
	demonstrator.report("every non-idempotent request ran at most once", fmt.Sprintf("%d keys, each sent twice", len(perKey)), moreThanOnce(perKey))
	demonstrator.report("requests that were answered as not run were not run", "", demonstrator.callers.FalseNotRun(perKey))
	if _, err := demonstrator.capture(true, "audit", "verify"); err != nil {
		return err
	}
	for _, fault := range demonstrator.broken {
		demonstrator.say("BROKEN: %s", fault)
	}
	return nil
}

func moreThanOnce(perKey map[string]int) []string {
	var faults []string
	for key, count := range perKey {
		if count > 1 {
			faults = append(faults, fmt.Sprintf("key %s ran %d times", key, count))
		}
	}
	return faults
}

func (demonstrator *Demonstrator) report(invariant, evidence string, faults []string) {
	if len(faults) == 0 {
		demonstrator.say("kept:   %s (%s)", invariant, evidence)
		return
	}
	demonstrator.broken = append(demonstrator.broken, faults...)
	demonstrator.say("BROKEN: %s", invariant)
}
