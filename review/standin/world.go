package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Bounds of the deployment, which are those of the small sites.
const (
	heartbeatInterval = 1500 * time.Millisecond
	holdMax           = 10 * time.Second
	visibleTime       = 3 * time.Second
)

// Ports of the processes. Each process has an address of its own.
const (
	frontendPort = 8161
	controlPort  = 8166
	readyPort    = 8167
	peerPort     = 7720
	runnerPort   = 8080
)

// program is the program that the build line of the deploy file makes.
const program = "target/crocusplank-vm"

var zones = []string{"couva", "chaguanas", "claxton-bay"}

// process is one of the project's programs.
type process struct {
	name, role, zone, ip string
	command              *exec.Cmd
	log                  *os.File
}

// world holds all that a case starts.
type world struct {
	record  *record
	trouble bool
	folder  string
	// subnet holds the first three numbers of the addresses of this case.
	subnet         string
	cores, entries []*process
	runners        []*runner
	random         *rand.Rand
}

func newWorld(record *record, trouble bool) (*world, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	seed := uint64(time.Now().UnixNano())
	world := &world{record: record, trouble: trouble, folder: folder, random: rand.New(rand.NewPCG(seed, 1))}
	record.printf("seed %d, trouble %v", seed, trouble)
	if world.subnet, err = freeSubnet(world.random); err != nil {
		return nil, err
	}
	for position, zone := range zones {
		world.cores = append(world.cores, &process{
			name: "core-" + zone + "-1", role: "core", zone: zone, ip: fmt.Sprintf("%s.%d", world.subnet, 11+position),
		})
		world.entries = append(world.entries, &process{
			name: "frontend-" + zone + "-1", role: "entry", zone: zone, ip: fmt.Sprintf("%s.%d", world.subnet, 21+position),
		})
	}
	return world, nil
}

// freeSubnet returns a part of the loopback network whose ports are free.
func freeSubnet(random *rand.Rand) (string, error) {
	var config net.ListenConfig
	for range 20 {
		subnet := fmt.Sprintf("127.%d.%d", 10+random.IntN(200), 1+random.IntN(250))
		listener, err := config.Listen(context.Background(), "tcp", fmt.Sprintf("%s.11:%d", subnet, controlPort))
		if err == nil {
			return subnet, listener.Close()
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// start starts the processes of the system.
func (world *world) start() error {
	for _, process := range append(append([]*process{}, world.cores...), world.entries...) {
		if err := world.startProcess(process); err != nil {
			return err
		}
	}
	return nil
}

func (world *world) startProcess(process *process) error {
	folder := filepath.Join(world.folder, process.name)
	if err := os.MkdirAll(filepath.Join(folder, "data"), 0o755); err != nil {
		return err
	}
	settings := filepath.Join(folder, "node.toml")
	if err := os.WriteFile(settings, []byte(world.settings(process, folder)), 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(folder, "log.txt"))
	if err != nil {
		return err
	}
	process.log = log
	process.command = exec.CommandContext(context.Background(), program, process.role)
	process.command.Env = append(os.Environ(), "CROCUSPLANK_NODE_FILE="+settings)
	process.command.Stdout, process.command.Stderr = log, log
	world.record.printf("start %s at %s", process.name, process.ip)
	return process.command.Start()
}

// settings returns the settings file of a process, in the form that DEPLOY.md shows.
func (world *world) settings(process *process, folder string) string {
	var seeds, binds []string
	for _, core := range world.cores {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", core.ip, controlPort)))
	}
	class, data, disk, serves := "frontend", "", 0, "frontend"
	if process.role == "core" {
		class, data, disk, serves = "core", fmt.Sprintf("dataDir = %q", filepath.Join(folder, "data")), 128, "control_plane"
		binds = []string{fmt.Sprintf("controlPlane = \"%s:%d\"", process.ip, controlPort)}
	} else {
		binds = []string{
			fmt.Sprintf("frontend = \"%s:%d\"", process.ip, frontendPort),
			fmt.Sprintf("readiness = \"%s:%d\"", process.ip, readyPort),
		}
	}
	return fmt.Sprintf(settingsFormat, process.name, process.role, class, serves, process.ip, process.zone,
		strings.Join(seeds, ", "), process.role == "core", data, heartbeatInterval.Milliseconds(),
		strings.Join(binds, "\n"), disk, holdMax.Milliseconds(), visibleTime.Milliseconds())
}

const settingsFormat = `nodeName = %q
role = %q
machineClass = %q
serves = [%q]
ip = %q
zone = %q
region = "central-tt"
internalPortRange = [7720, 7735]
seeds = [%s]
bootstrap = true
faultDomainMember = %v
%s
discovery = "registration"
entry = "vip"
heartbeatMs = %d
policies = ["base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"]
config_mode = "highest"
controlMode = "push"
[zones]
couva = "central-tt"
chaguanas = "central-tt"
claxton-bay = "central-tt"
[bindAddresses]
%s
[limits]
cpuShare = 0.8
cores = 1
memoryMb = 284
maxFds = 4096
linkMbps = 1000.0
diskMb = %d
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
holdMaxMs = %d
stopMs = 200
gangMs = 3000
cancel_ms = 3000
visible_ms = %d
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 3
saveS = 0.5
restoreMs = 250
noticeMs = 4500
moveS = 1.5
upkeepS = 2
fencingEnabled = true
leaseMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000
`

// close ends all that the case has started and removes its folder.
func (world *world) close() {
	for _, runner := range world.runners {
		runner.crash("the case is over")
	}
	processes := append(append([]*process{}, world.entries...), world.cores...)
	for _, process := range processes {
		if process.command != nil && process.command.Process != nil {
			_ = process.command.Process.Signal(syscall.SIGKILL)
			_ = process.command.Wait()
			_ = process.log.Close()
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		world.record.printf("the processes' logs are in %s", world.folder)
		return
	}
	_ = os.RemoveAll(world.folder)
}

// sleep waits. It returns false if the context has ended.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
