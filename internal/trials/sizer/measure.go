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
	dataCentre = scheduler.DataCentreName("couva")
	stepLimit  = 60 * time.Second
	poll       = 200 * time.Millisecond
	// phaseSettle is the time between a change of size and its measurement.
	phaseSettle = 6 * time.Second
	// largestJob is the limit of the API.
	largestJob = 10000
	// shortRunTime keeps the number of short tasks at a few times the start rate.
	shortRunTime = "2s"
	longRunTime  = "24h"
)

// Measurement is one measured phase. It is a wire type.
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

// ProcessCost is what one process cost in a phase. It is a wire type. Part is leader, follower, other
// for the VMs of the other data centres, or platform for this process, which emulates all workers and
// endpoints.
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

// system is the deployment of a session.
type system struct {
	folder     string
	deployment *deployer.Deployment
	processes  []*process
	jobs       int
}

// measure runs a session.
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
	platform := &platform{gateways: system.deployment.CallerAddresses(dataCentre), media: plan.MediaType}
	platform.startWorkers(ctx, session.Workers)
	if err := system.fill(ctx, platform, session.Workers*plan.TasksPerWorker); err != nil {
		return nil, err
	}
	waiter.Sleep(ctx, plan.SettleTime-phaseSettle)
	var cells []Measurement
	for _, phase := range session.Phases {
		cell, err := plan.measurePhase(ctx, system, platform, phase)
		if err != nil {
			return cells, err
		}
		cell.Session, cell.Workers = session.Name, session.Workers
		cells = append(cells, cell)
		command.PrintErrf("%s: %d workers, %d endpoints, %d starts/s measured\n", session.Name, session.Workers, phase.Endpoints, phase.StartRate)
	}
	return cells, nil
}

func (plan Plan) measurePhase(ctx context.Context, system *system, platform *platform, phase Phase) (Measurement, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	platform.growTo(context.WithoutCancel(ctx), phase.Endpoints)
	if phase.StartRate > 0 {
		go system.submitEachSecond(ctx, phase.StartRate)
	}
	waiter.Sleep(ctx, phaseSettle)
	leader, err := system.leader()
	if err != nil {
		return Measurement{}, err
	}
	// The garbage that the first samples collect does not count for the phase.
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
	cell := Measurement{Endpoints: phase.Endpoints, StartRate: phase.StartRate, Running: platform.running.Load(), Platform: map[string]float64{}, Load: loadAverage()}
	for name, count := range after {
		cell.Platform[name] = (count - before[name]) / seconds
	}
	for index, process := range system.processes {
		cell.Processes = append(cell.Processes, figures(process.vm.Name, system.part(process.vm, leader), first[index], last[index]))
	}
	own := len(system.processes)
	cell.Processes = append(cell.Processes, figures("all", "platform", first[own], last[own]))
	return cell, nil
}

func (*system) part(vm loader.VM, leader scheduler.VMName) string {
	switch {
	case vm.Name == leader:
		return "leader"
	case vm.DataCentre == dataCentre:
		return "follower"
	default:
		return "other"
	}
}

func figures(vm scheduler.VMName, part string, first, last Sample) ProcessCost {
	return ProcessCost{
		VM: vm, Role: part, ResidentBytes: last.ResidentBytes, HeapBytes: last.HeapBytes, Rates: ratesBetween(first, last),
		CPUPercent: 100 * (last.CPUTime - first.CPUTime).Seconds() / last.At.Sub(first.At).Seconds(),
	}
}

// counts returns the counts at the platform's side.
func (platform *platform) counts() map[string]float64 {
	counts := map[string]float64{
		"usageReports": float64(platform.usageReports.Load()),
		"usageBytes":   float64(platform.usageBytes.Load()),
		"ended":        float64(platform.ended.Load()),
	}
	for name, counted := range map[string]*traffic{"exchange": &platform.exchanges, "announcement": &platform.announcements} {
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

// start starts a process for each VM and waits until all are ready.
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
		if err := until(ctx, func() bool { return isReady(ctx, vm.CallerAddress.String()) }); err != nil {
			return Error.New("VM %s is not ready: %v", vm.Name, err)
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

func until(ctx context.Context, holds func() bool) error {
	for end := time.Now().Add(stepLimit); !holds(); {
		if time.Now().After(end) || !waiter.Sleep(ctx, poll) {
			return Error.New("nothing changed within %v", stepLimit)
		}
	}
	return nil
}

// samples asks all processes, and this one last. The order is the same each time.
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

// cli runs one command of the operators' command line in this process.
func (system *system) cli(arguments ...string) (string, error) {
	var stdout, stderr strings.Builder
	servers := strings.Join(system.deployment.APIAddresses(dataCentre), ",")
	code := commander.New().Run(append([]string{"--yes", "--server", servers}, arguments...), strings.NewReader(""), &stdout, &stderr)
	if code != 0 {
		return "", Error.New("%v ended with exit code %d: %s", arguments, code, stderr.String())
	}
	return stdout.String(), nil
}

func (system *system) leader() (scheduler.VMName, error) {
	output, err := system.cli("-o", "json", "vm", "show")
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
	return "", Error.New("VM shows no group %s", dataCentre)
}
