package harness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the programs. Each machine has an address of its own, so that all of them use the same ports.
const (
	frontendPort  = 8161
	controlPort   = 8166
	readinessPort = 8167
	peerPort      = 7720
	lastPeerPort  = 7735
	metricsPort   = 9464
)

const (
	// coreCount and entryCount are those of the smaller site: one core machine in each zone, two entries in each.
	coreCount  = 3
	entryCount = 6
	// GracePeriod is the time between SIGTERM and SIGKILL, as in the settings of the deployment.
	GracePeriod = 6 * time.Second
)

var zones = []string{"couva", "chaguanas", "claxton-bay"}

// Deployment is a set of core and entry machines of the project, each as one process.
type Deployment struct {
	recorder *Recorder
	folder   string
	Cores    []*Machine
	Entries  []*Machine
}

// Machine is one process of the project.
type Machine struct {
	Name    string
	IP      string
	Zone    string
	role    string
	program string
	folder  string
	seeds   []string
	command *exec.Cmd
	ended   chan struct{}
}

// Start starts three core machines and six entry machines with the commands of the deploy file. program is the path of
// target/crocusplank-vm.
func Start(program string, recorder *Recorder) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	deployment := &Deployment{recorder: recorder, folder: folder}
	network, err := freeNetwork()
	if err != nil {
		return deployment, err
	}
	var seeds []string
	for number := range coreCount {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", network, number+1, controlPort))
	}
	for number := range coreCount + entryCount {
		machine := &Machine{
			IP: fmt.Sprintf("%s.%d", network, number+1), Zone: zones[number%len(zones)], program: program,
			folder: folder, seeds: seeds, role: "core",
		}
		if number >= coreCount {
			machine.role = "entry"
			deployment.Entries = append(deployment.Entries, machine)
		} else {
			deployment.Cores = append(deployment.Cores, machine)
		}
		machine.Name = fmt.Sprintf("%s-%s-%d", machine.role, machine.Zone, number)
		if err := machine.start(true); err != nil {
			return deployment, err
		}
	}
	return deployment, nil
}

// freeNetwork returns the first three numbers of loopback addresses at which the ports of all machines are free.
func freeNetwork() (string, error) {
	for range 100 {
		network := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		if allFree(network) {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

func allFree(network string) bool {
	for number := range coreCount + entryCount {
		for _, port := range []int{frontendPort, controlPort, readinessPort, peerPort, metricsPort} {
			listener, err := listen(fmt.Sprintf("%s.%d:%d", network, number+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// settings returns the settings file of the machine, with the figures of the smaller site.
func (machine *Machine) settings(bootstrap bool) string {
	var text strings.Builder
	write := func(format string, arguments ...any) { _, _ = fmt.Fprintf(&text, format+"\n", arguments...) }
	quoted := make([]string, len(machine.seeds))
	for position, seed := range machine.seeds {
		quoted[position] = fmt.Sprintf("%q", seed)
	}
	write("nodeName = %q\nrole = %q\nip = %q\nzone = %q\nregion = \"central-tt\"", machine.Name, machine.role, machine.IP, machine.Zone)
	write("internalPortRange = [%d, %d]\nseeds = [%s]\nbootstrap = %v", peerPort, lastPeerPort, strings.Join(quoted, ", "), bootstrap)
	write("heartbeatMs = %d\ncontrolMode = \"push\"", HeartbeatInterval.Milliseconds())
	disk := 0
	if machine.role == "core" {
		disk = 128
		write("dataDir = %q", machine.dataFolder())
	}
	write("[zones]")
	for _, zone := range zones {
		write("%s = \"central-tt\"", zone)
	}
	write("[bindAddresses]")
	if machine.role == "core" {
		write("controlPlane = %q", machine.ControlAddress())
	} else {
		write("frontend = %q\nreadiness = \"%s:%d\"", machine.FrontendAddress(), machine.IP, readinessPort)
	}
	write("[limits]\nmemoryMb = 284\nmaxFds = 4096\ndiskMb = %d", disk)
	write("[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0")
	write("[bounds]\ncontactMs = 3000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = %v\nconfigApplyMs = 2000", GracePeriod.Seconds())
	write("holdMaxMs = %d\nstopMs = %d\nleaseMs = 3000", MaxLease.Milliseconds(), StopTime.Milliseconds())
	return text.String()
}

func (machine *Machine) dataFolder() string { return filepath.Join(machine.folder, machine.Name) }

// FrontendAddress is the address for clients.
func (machine *Machine) FrontendAddress() string {
	return fmt.Sprintf("%s:%d", machine.IP, frontendPort)
}

// ControlAddress is the address for runners and the operator.
func (machine *Machine) ControlAddress() string { return fmt.Sprintf("%s:%d", machine.IP, controlPort) }

func (machine *Machine) start(bootstrap bool) error {
	if machine.role == "core" {
		if err := os.MkdirAll(machine.dataFolder(), 0o755); err != nil {
			return err
		}
	}
	path := filepath.Join(machine.folder, machine.Name+".toml")
	if err := os.WriteFile(path, []byte(machine.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(machine.folder, machine.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	command := exec.CommandContext(context.Background(), machine.program, machine.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CROCUSPLANK_NODE_FILE=" + path}
	command.Stdout, command.Stderr = logFile, logFile
	// The process ends with the script, also if that is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	machine.command, machine.ended = command, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// Kill kills the process and waits for its end.
func (machine *Machine) Kill() {
	_ = machine.command.Process.Kill()
	<-machine.ended
}

// Controls returns the control addresses of all core machines.
func (deployment *Deployment) Controls() []string {
	var addresses []string
	for _, core := range deployment.Cores {
		addresses = append(addresses, core.ControlAddress())
	}
	return addresses
}

// Close kills all processes and removes their files. If REVIEW_KEEP is set, the files stay.
func (deployment *Deployment) Close() {
	var group sync.WaitGroup
	for _, machine := range append(append([]*Machine{}, deployment.Cores...), deployment.Entries...) {
		if machine.command != nil {
			group.Go(machine.Kill)
		}
	}
	group.Wait()
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(deployment.folder)
	}
}
