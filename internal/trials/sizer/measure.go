package sizer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/internal/operating/commander"
	"github.com/crocusplank/crocusplank/internal/operating/composer"
	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/internal/trials/deployer"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	dataCentre   = scheduler.DataCentreName("couva")
	waitTimeout  = 60 * time.Second
	pollInterval = 200 * time.Millisecond
	// phaseSettleTime is the delay between a change of the load and its measurement.
	phaseSettleTime = 6 * time.Second
	// maxJobTasks is the limit of the API on the tasks of one job.
	maxJobTasks = 10000
	// shortRunTime is short, so that the number of running short tasks stays at a few times the start rate.
	shortRunTime = "2s"
	longRunTime  = "24h"
)

// Measurement is the result of one phase. It is a wire type.
type Measurement struct {
	Session   string             `json:"session"`
	Workers   int                `json:"workers"`
	Endpoints int                `json:"endpoints"`
	StartRate int                `json:"starts"`
	Running   int64              `json:"running"`
	Load      string             `json:"load"`
	Processes []ProcessCost      `json:"processes"`
	Platform  map[string]float64 `json:"platform"`
}

// ProcessCost is the resource usage of one process in a phase. It is a wire type. Role is "leader", "follower", "other"
// for the VMs of the other data centres, or "platform" for this process, which emulates all workers and endpoints.
type ProcessCost struct {
	VM            scheduler.VMName `json:"vm"`
	Role          string           `json:"part"`
	CPUPercent    float64          `json:"percentOfACore"`
	ResidentBytes int64            `json:"resident"`
	HeapBytes     int64            `json:"heap"`
	Rates         []Rate           `json:"rates"`
}

func workerName(number int) scheduler.WorkerName {
	return scheduler.WorkerName(fmt.Sprintf("worker-%d", number))
}

// system is the deployment under test in a session.
type system struct {
	folder        string
	deployment    *deployer.Deployment
	processes     []*process
	submittedJobs int
}

// measure runs a session and returns one measurement for each phase.
func (plan Plan) measure(ctx context.Context, command *cobra.Command, session Session) ([]Measurement, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	folder, err := os.MkdirTemp("", "crocusplank-capacity-")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	system := &system{folder: folder}
	defer system.stop()
	if err := system.start(ctx, command); err != nil {
		return nil, err
	}
	if err := system.configure(session.Workers); err != nil {
		return nil, err
	}
	platform := &platform{gateways: system.deployment.CallerAddresses(dataCentre), mediaType: plan.MediaType}
	platform.startWorkers(ctx, session.Workers)
	if err := system.startLongTasks(ctx, platform, session.Workers*plan.TasksPerWorker); err != nil {
		return nil, err
	}
	waiter.Sleep(ctx, plan.SettleTime-phaseSettleTime)
	var measurements []Measurement
	for _, phase := range session.Phases {
		measurement, err := plan.measurePhase(ctx, system, platform, phase)
		if err != nil {
			return measurements, err
		}
		measurement.Session, measurement.Workers = session.Name, session.Workers
		measurements = append(measurements, measurement)
		command.PrintErrf("%s: %d workers, %d endpoints, %d starts/s measured\n",
			session.Name, session.Workers, phase.Endpoints, phase.StartRate)
	}
	return measurements, nil
}

func (plan Plan) measurePhase(
	ctx context.Context, system *system, platform *platform, phase Phase,
) (Measurement, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	platform.addEndpoints(context.WithoutCancel(ctx), phase.Endpoints)
	if phase.StartRate > 0 {
		go system.submitPeriodically(ctx, phase.StartRate)
	}
	waiter.Sleep(ctx, phaseSettleTime)
	leader, err := system.leader()
	if err != nil {
		return Measurement{}, err
	}
	// The garbage collection of the first samples is not to count in the phase.
	if _, err := system.samples(); err != nil {
		return Measurement{}, err
	}
	first, err := system.samples()
	if err != nil {
		return Measurement{}, err
	}
	before, begin := platform.counts(), time.Now()
	waiter.Sleep(ctx, plan.Window)
	last, err := system.samples()
	if err != nil {
		return Measurement{}, err
	}
	after, seconds := platform.counts(), time.Since(begin).Seconds()
	measurement := Measurement{
		Endpoints: phase.Endpoints, StartRate: phase.StartRate, Running: platform.runningTasks.Load(),
		Platform: map[string]float64{}, Load: loadAverage(),
	}
	for name, count := range after {
		measurement.Platform[name] = (count - before[name]) / seconds
	}
	for index, process := range system.processes {
		measurement.Processes = append(measurement.Processes,
			processCost(process.vm.Name, system.roleOf(process.vm, leader), first[index], last[index]))
	}
	own := len(system.processes)
	measurement.Processes = append(measurement.Processes, processCost("all", "platform", first[own], last[own]))
	return measurement, nil
}

func (*system) roleOf(vm loader.VM, leader scheduler.VMName) string {
	switch {
	case vm.Name == leader:
		return "leader"
	case vm.DataCentre == dataCentre:
		return "follower"
	default:
		return "other"
	}
}

func processCost(vm scheduler.VMName, role string, first, last Sample) ProcessCost {
	return ProcessCost{
		VM: vm, Role: role, ResidentBytes: last.ResidentBytes, HeapBytes: last.HeapBytes, Rates: ratesBetween(first, last),
		CPUPercent: 100 * (last.CPUTime - first.CPUTime).Seconds() / last.At.Sub(first.At).Seconds(),
	}
}

// counts returns the counters of the emulated platform by name.
func (platform *platform) counts() map[string]float64 {
	counts := map[string]float64{
		"usageReports": float64(platform.usageReports.Load()),
		"usageBytes":   float64(platform.usageBytes.Load()),
		"ended":        float64(platform.endedTasks.Load()),
	}
	for name, counted := range map[string]*traffic{
		"exchange": &platform.exchanges, "announcement": &platform.announcements,
	} {
		counts[name+"Messages"] = float64(counted.messages.Load())
		counts[name+"Failed"] = float64(counted.failed.Load())
		counts[name+"Sent"] = float64(counted.sent.Load())
		counts[name+"Received"] = float64(counted.received.Load())
	}
	return counts
}

func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}

// start starts one process for each VM and waits until all of them report ready.
func (system *system) start(ctx context.Context, command *cobra.Command) error {
	var err error
	if system.deployment, err = deployer.New(system.folder, dataCentre, "chaguanas", "claxton-bay"); err != nil {
		return err
	}
	for _, vm := range system.deployment.VMs() {
		settings, err := loader.Load(system.deployment.SettingsFile(vm.Name))
		if err != nil {
			return err
		}
		if settings.HasDisk() {
			if err := composer.Init(settings); err != nil {
				return err
			}
		}
		started, err := startProcess(ctx, command, vm, system.deployment.SettingsFile(vm.Name))
		if err != nil {
			return err
		}
		system.processes = append(system.processes, started)
	}
	for _, vm := range system.deployment.VMs() {
		if err := waitUntil(ctx, func() bool { return isReady(ctx, vm.CallerAddress.String()) }); err != nil {
			return Error.New("VM %s did not become ready: %v", vm.Name, err)
		}
	}
	return nil
}

func (system *system) stop() {
	for _, process := range system.processes {
		process.stop()
	}
}

func isReady(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitUntil polls condition until it holds or waitTimeout has passed.
func waitUntil(ctx context.Context, condition func() bool) error {
	for end := time.Now().Add(waitTimeout); !condition(); {
		if time.Now().After(end) || !waiter.Sleep(ctx, pollInterval) {
			return Error.New("condition not met within %v", waitTimeout)
		}
	}
	return nil
}

// samples takes a sample of every VM process, in the order of system.processes, and of this process last.
func (system *system) samples() ([]Sample, error) {
	var samples []Sample
	for _, process := range system.processes {
		sample, err := process.sample()
		if err != nil {
			return nil, Error.New("VM %s: %v", process.vm.Name, err)
		}
		samples = append(samples, sample)
	}
	own, err := takeSample()
	return append(samples, own), err
}

// runCLI runs one operator command in this process and returns its standard output.
func (system *system) runCLI(arguments ...string) (string, error) {
	var stdout, stderr strings.Builder
	servers := strings.Join(system.deployment.APIAddresses(dataCentre), ",")
	code := commander.New().Run(
		append([]string{"--yes", "--server", servers}, arguments...), strings.NewReader(""), &stdout, &stderr)
	if code != 0 {
		return "", Error.New("%v exited with code %d: %s", arguments, code, stderr.String())
	}
	return stdout.String(), nil
}

func (system *system) leader() (scheduler.VMName, error) {
	output, err := system.runCLI("-o", "json", "vm", "show")
	if err != nil {
		return "", err
	}
	var vm struct {
		Groups []struct{ Name, Leader string }
	}
	if err := json.Unmarshal([]byte(output), &vm); err != nil {
		return "", Error.Wrap(err)
	}
	for _, group := range vm.Groups {
		if group.Name == string(dataCentre) {
			return scheduler.VMName(group.Leader), nil
		}
	}
	return "", Error.New("vm show lists no group %s", dataCentre)
}
