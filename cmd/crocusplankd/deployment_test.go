package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/internal/trials/deployer"
	"github.com/crocusplank/crocusplank/internal/trials/emulator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// stepLimit only ends a test that hangs; no verdict depends on how long a step takes.
	stepLimit = 90 * time.Second
	poll      = 50 * time.Millisecond
)

const deploymentConfiguration = `{"revision": %d, "document": {
  "dataCentres": [{"name": "couva"}, {"name": "chaguanas"}, {"name": "claxton-bay"}],
  "racks": [{"name": "rack-1", "dataCentre": "couva"}],
  "workers": [
    {"name": "worker-1", "dataCentre": "couva", "rack": "rack-1", "capacity": {"milliCores": 4000, "memoryBytes": 8000000000}},
    {"name": "worker-2", "dataCentre": "couva", "rack": "rack-1", "capacity": {"milliCores": 4000, "memoryBytes": 8000000000}}
  ],
  "teams": [{"name": "cutting", "quota": {"milliCores": %d, "memoryBytes": 16000000000}}],
  "services": [{"name": "charts", "class": "latencyCritical", "team": "cutting"}]
}}`

const deploymentJob = `{"id": "scaling-1", "team": "cutting", "class": "batch", "kind": "pattern-scaling", "tasks": 4,
  "request": {"milliCores": 1500, "memoryBytes": 1000000000}, "runTime": "20s"}`

// system is a deployment of separate daemon processes.
type system struct {
	t          *testing.T
	folder     string
	deployment *deployer.Deployment
	processes  map[scheduler.VMName]*exec.Cmd
}

// startSystem builds both programs and starts a daemon for each VM.
func startSystem(t *testing.T) *system {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	system := &system{t: t, folder: t.TempDir(), processes: map[scheduler.VMName]*exec.Cmd{}}
	build := exec.CommandContext(t.Context(), "go", "build", "-o", system.folder, "./cmd/crocusplankd", "./cmd/crocusplank")
	build.Dir = filepath.Join("..", "..")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	deployment, err := deployer.FromExamples(system.folder, filepath.Join("..", "..", "examples", "couva"))
	if err != nil {
		t.Fatal(err)
	}
	system.deployment = deployment
	for _, vm := range deployment.VMs() {
		if deployment.HasDisk(vm.Name) {
			system.runDaemonCommand("init", vm.Name)
		}
		system.start(vm.Name)
	}
	t.Cleanup(system.killAll)
	for _, vm := range deployment.VMs() {
		system.awaitReady(vm)
	}
	return system
}

func (system *system) runDaemonCommand(command string, vm scheduler.VMName) {
	system.t.Helper()
	run := exec.CommandContext(system.t.Context(), filepath.Join(system.folder, "crocusplankd"), command, system.deployment.SettingsFile(vm))
	if output, err := run.CombinedOutput(); err != nil {
		system.t.Fatalf("%s %s: %v\n%s", command, vm, err, output)
	}
}

func (system *system) start(vm scheduler.VMName) {
	system.t.Helper()
	log, err := os.OpenFile(filepath.Join(system.folder, string(vm)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		system.t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(filepath.Join(system.folder, "crocusplankd"), "run", system.deployment.SettingsFile(vm)) //nolint:noctx // Ended by killAll.
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		system.t.Fatal(err)
	}
	system.processes[vm] = process
}

func (system *system) signal(vm scheduler.VMName, signal syscall.Signal) {
	system.t.Helper()
	if err := system.processes[vm].Process.Signal(signal); err != nil {
		system.t.Fatalf("signal %v to %s: %v", signal, vm, err)
	}
}

func (system *system) kill(vm scheduler.VMName) {
	system.signal(vm, syscall.SIGKILL)
	_ = system.processes[vm].Wait()
	delete(system.processes, vm)
}

func (system *system) killAll() {
	for vm, process := range system.processes {
		_ = process.Process.Kill()
		_ = process.Wait()
		if system.t.Failed() {
			log, _ := os.ReadFile(filepath.Join(system.folder, string(vm)+".log"))
			lines := strings.Split(string(log), "\n")
			system.t.Logf("last log lines of %s:\n%s", vm, strings.Join(lines[max(0, len(lines)-15):], "\n"))
		}
	}
}

// until waits until a condition holds.
func (system *system) until(what string, holds func() bool) {
	system.t.Helper()
	for end := time.Now().Add(stepLimit); !holds(); time.Sleep(poll) {
		if time.Now().After(end) {
			system.t.Fatalf("%s: nothing changed within %v", what, stepLimit)
		}
	}
}

func (system *system) awaitReady(vm loader.VM) {
	system.t.Helper()
	system.until(string(vm.Name)+" is not ready", func() bool { return isReady(vm.CallerAddress.String()) })
}

func isReady(address string) bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + "/readyz") //nolint:noctx // The client has a limit.
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// cli runs the command line against VMs, all of data centre couva when none is given.
func (system *system) cli(vms []string, arguments ...string) (string, error) {
	if len(vms) == 0 {
		vms = system.deployment.APIAddresses("couva")
	}
	all := append([]string{"--yes", "--timeout", "20s", "--server", strings.Join(vms, ",")}, arguments...)
	run := exec.CommandContext(system.t.Context(), filepath.Join(system.folder, "crocusplank"), all...)
	var stdout, stderr bytes.Buffer
	run.Stdout, run.Stderr = &stdout, &stderr
	if err := run.Run(); err != nil {
		return stdout.String(), fmt.Errorf("%v: %w: %s", arguments, err, stderr.String())
	}
	return stdout.String(), nil
}

func (system *system) mustCLI(arguments ...string) string {
	system.t.Helper()
	output, err := system.cli(nil, arguments...)
	if err != nil {
		system.t.Fatal(err)
	}
	return output
}

func (system *system) writeFile(name, content string) string {
	system.t.Helper()
	path := filepath.Join(system.folder, name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		system.t.Fatal(err)
	}
	return path
}

// jobStates returns the states of the job's tasks, nil when no VM answers.
func (system *system) jobStates() []string {
	output, err := system.cli(nil, "-o", "json", "job", "show", "scaling-1")
	if err != nil {
		return nil
	}
	var job struct{ Tasks []struct{ State string } }
	if json.Unmarshal([]byte(output), &job) != nil {
		return nil
	}
	var states []string
	for _, task := range job.Tasks {
		states = append(states, task.State)
	}
	return states
}

func (system *system) allTasks(state string) func() bool {
	return func() bool {
		states := system.jobStates()
		return len(states) == 4 && !slices.ContainsFunc(states, func(got string) bool { return got != state })
	}
}

// revisionWatch records the highest revision that each VM has reported and every step back.
type revisionWatch struct {
	mutex   sync.Mutex
	highest map[string]uint64
	faults  []string
}

// watchRevisions reads the revisions of all VMs until ctx ends.
func watchRevisions(ctx context.Context, system *system) *revisionWatch {
	watch := &revisionWatch{highest: map[string]uint64{}}
	go watch.run(ctx, system)
	return watch
}

// report fails the test for every step back.
func (watch *revisionWatch) report(t *testing.T) {
	t.Helper()
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	for _, fault := range watch.faults {
		t.Errorf("configuration: %s", fault)
	}
}

func (watch *revisionWatch) run(ctx context.Context, system *system) {
	for ctx.Err() == nil {
		for _, vm := range system.deployment.VMs() {
			if revision, ok := revisionOf(ctx, vm.APIAddress.String()); ok {
				watch.note(string(vm.Name), revision)
			}
		}
		time.Sleep(poll)
	}
}

func (watch *revisionWatch) note(vm string, revision uint64) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	if revision < watch.highest[vm] {
		watch.faults = append(watch.faults, fmt.Sprintf("%s went from revision %d back to %d", vm, watch.highest[vm], revision))
	}
	watch.highest[vm] = max(watch.highest[vm], revision)
}

// revisionOf reads the revision in force on a VM that is ready; a VM that is not refuses to show one.
func revisionOf(ctx context.Context, address string) (uint64, bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/configuration", nil)
	if err != nil {
		return 0, false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	var shown struct{ Revision uint64 }
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&shown) != nil {
		return 0, false
	}
	return shown.Revision, true
}

// Guards against promises that hold only while every process is well: it kills a daemon, freezes the
// leader of the data centre's group and lets it wake up, under requests, a job and configuration changes.
func TestDeploymentUnderFailures(t *testing.T) {
	system := startSystem(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	watch := watchRevisions(ctx, system)
	workers, endpoints, callers := startPlatform(ctx, t, system)

	first := system.writeFile("first.jsonc", fmt.Sprintf(deploymentConfiguration, 0, 8000))
	system.mustCLI("config", "apply", first, "--operator", "anna")
	system.mustCLI("job", "submit", system.writeFile("job.jsonc", deploymentJob))
	system.until("the tasks do not run", system.allTasks("running"))
	var traffic sync.WaitGroup
	trafficContext, endTraffic := context.WithCancel(ctx)
	traffic.Go(func() {
		for trafficContext.Err() == nil {
			_ = callers.Run(ctx, 40, 8)
		}
	})

	awaitServed(system, callers, 200)
	system.kill("couva-2")
	system.mustCLI("job", "evict", "scaling-1/1", "--reason", "test")
	awaitServed(system, callers, 200)
	system.start("couva-2")
	system.awaitReady(system.deployment.VMs()[1])
	awaitVoter(system, "couva-2")

	leader := leaderOf(system)
	system.signal(leader, syscall.SIGSTOP)
	system.until("no other VM becomes leader", func() bool {
		other := groupOf(system, "couva").Leader
		return other != "" && other != string(leader)
	})
	second := system.writeFile("second.jsonc", fmt.Sprintf(deploymentConfiguration, 1, 7000))
	system.until("no change is accepted while a leader is frozen", func() bool {
		_, err := system.cli(nil, "config", "apply", second, "--operator", "anna")
		return err == nil
	})
	awaitServed(system, callers, 200)
	system.signal(leader, syscall.SIGCONT)
	system.until("the change does not reach all VMs", func() bool {
		return !slices.ContainsFunc(system.deployment.APIAddresses(""), func(address string) bool {
			revision, ok := revisionOf(ctx, address)
			return !ok || revision != 2
		})
	})
	system.until("the job does not finish", system.allTasks("finished"))
	endTraffic()
	traffic.Wait()
	cancel()
	checkPromises(t, workers, endpoints, callers, 5)
	watch.report(t)
}

func startPlatform(ctx context.Context, t *testing.T, system *system) ([]*emulator.Worker, []*emulator.Endpoint, *emulator.Callers) {
	t.Helper()
	addresses := system.deployment.CallerAddresses("couva")
	var workers []*emulator.Worker
	var endpoints []*emulator.Endpoint
	for number := 1; number <= 2; number++ {
		exchange := emulator.NewFailoverExchange(addresses)
		worker := emulator.NewWorker(scheduler.WorkerName(fmt.Sprintf("worker-%d", number)), exchange, emulator.WithCheckpointPeriod(time.Second))
		workers = append(workers, worker)
		go worker.Run(ctx)
		endpoint := emulator.NewEndpoint(scheduler.EndpointName(fmt.Sprintf("desk-%d", number)), "charts", "couva", 8, 20*time.Millisecond, addresses)
		if err := endpoint.Start(ctx, "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		endpoints = append(endpoints, endpoint)
	}
	return workers, endpoints, emulator.NewCallers("charts", addresses)
}

// awaitServed waits until a number of further requests have been done.
func awaitServed(system *system, callers *emulator.Callers, count int) {
	system.t.Helper()
	before := callers.CompletedRequests()
	system.until("callers are not served", func() bool { return callers.CompletedRequests() >= before+count })
}

func leaderOf(system *system) scheduler.VMName {
	system.t.Helper()
	var leader string
	system.until("group couva has no leader", func() bool {
		leader = groupOf(system, "couva").Leader
		return leader != ""
	})
	return scheduler.VMName(leader)
}

type groupView struct {
	Name   string
	Leader string
	Voters []string
}

func groupOf(system *system, name string) groupView {
	output, err := system.cli(nil, "-o", "json", "vm", "show")
	if err != nil {
		return groupView{}
	}
	var vm struct{ Groups []groupView }
	if json.Unmarshal([]byte(output), &vm) != nil {
		return groupView{}
	}
	for _, group := range vm.Groups {
		if group.Name == name {
			return group
		}
	}
	return groupView{}
}

// awaitVoter waits until a VM that has come back under a new incarnation votes again.
func awaitVoter(system *system, vm string) {
	system.t.Helper()
	system.until(vm+" is not a voter again", func() bool { return slices.Contains(groupOf(system, "couva").Voters, vm) })
}

// checkPromises compares what workers, endpoints and callers saw with the invariants. leastExecutions is the
// number of the job's tasks and of the evictions that the test caused.
func checkPromises(t *testing.T, workers []*emulator.Worker, endpoints []*emulator.Endpoint, callers *emulator.Callers, leastExecutions int) {
	t.Helper()
	var executions []emulator.Execution
	for _, worker := range workers {
		executions = append(executions, worker.Executions()...)
	}
	capacity := scheduler.Resources{MilliCores: 4000, MemoryBytes: 8_000_000_000}
	for _, fault := range emulator.CheckExecutions(executions, map[scheduler.WorkerName]scheduler.Resources{"worker-1": capacity, "worker-2": capacity}) {
		t.Errorf("tasks: %s", fault)
	}
	if len(executions) < leastExecutions {
		t.Errorf("executions: got %d, want at least %d", len(executions), leastExecutions)
	}
	runs := map[string]int{}
	for _, endpoint := range endpoints {
		record := endpoint.Record()
		for key, count := range record.RunsByKey {
			runs[key] += count
		}
		if record.Most > endpoint.Slots() {
			t.Errorf("%s: got %d requests at once, want at most %d", endpoint.Name(), record.Most, endpoint.Slots())
		}
	}
	for key, count := range runs {
		if count > 1 {
			t.Errorf("key %s: ran %d times, want at most once", key, count)
		}
	}
	for _, fault := range append(callers.WrongResponses(), callers.FalseNotRun(runs)...) {
		t.Errorf("callers: %s", fault)
	}
	if len(runs) == 0 {
		t.Error("no non-idempotent request ran; the test did not reach the case")
	}
	t.Logf("%s; reasons %v; %d executions, %d keys", callers.Summary(), callers.Reasons(), len(executions), len(runs))
}
