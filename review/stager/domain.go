package stager

import (
	"context"
	"errors"
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

// Ports of each VM, as on the users' platform: the same on all of them.
const (
	portFrontend  = 8161
	portControl   = 8166
	portReadiness = 8167
	portPeers     = 7720
	portMetrics   = 9464
	portRunner    = 8080
)

// HeartbeatInterval and the bounds below are those of the sheet of cmgsu-plank.
const (
	HeartbeatInterval = 1500 * time.Millisecond
	LeaseLimit        = 10 * time.Second
	StopTime          = 200 * time.Millisecond
)

// Zones are the data centres of each deployment.
var Zones = []string{"couva", "chaguanas", "claxton-bay"}

// VM is a process of the project.
type VM struct {
	Name, Role, Zone, Address string
	folder                    string
	command                   *exec.Cmd
	exited                    chan struct{}
	starts                    int
}

// Domain is a deployment on loopback addresses.
type Domain struct {
	Cores, Entries []*VM
	// CloudAddress is where the platform of the machines listens, empty if the settings shall not name one.
	CloudAddress string
	recorder     *Recorder
	program      string
	folder       string
	network      string
}

// NewDomain prepares a deployment in a temporary folder. Nothing is started yet.
func NewDomain(program string, cores, entries int, recorder *Recorder) (*Domain, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	network, err := freeNetwork(cores + entries)
	if err != nil {
		return nil, err
	}
	domain := &Domain{recorder: recorder, program: program, folder: folder, network: network}
	for number := range cores + entries {
		vm := &VM{
			Name: fmt.Sprintf("core-%d", number), Role: "core", Zone: Zones[number%len(Zones)], Address: domain.Address(number + 1),
		}
		if number >= cores {
			vm.Name, vm.Role = fmt.Sprintf("entry-%d", number-cores), "entry"
		}
		vm.folder = filepath.Join(folder, vm.Name)
		if err := os.MkdirAll(filepath.Join(vm.folder, "data"), 0o700); err != nil {
			return nil, err
		}
		if vm.Role == "core" {
			domain.Cores = append(domain.Cores, vm)
		} else {
			domain.Entries = append(domain.Entries, vm)
		}
	}
	closeOnInterrupt(domain)
	return domain, nil
}

// freeNetwork returns the first three numbers of loopback addresses whose ports nobody uses.
func freeNetwork(vms int) (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), 1+rand.IntN(250))
		if isFree(network, vms) {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func isFree(network string, vms int) bool {
	for number := range vms {
		for _, port := range []int{portFrontend, portControl, portReadiness, portPeers, portMetrics} {
			var config net.ListenConfig
			listener, err := config.Listen(context.Background(), "tcp", fmt.Sprintf("%s.%d:%d", network, number+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close() // Nothing was accepted on it.
		}
	}
	return true
}

// Address returns a loopback address of the deployment.
func (domain *Domain) Address(number int) string { return fmt.Sprintf("%s.%d", domain.network, number) }

// settings returns the content of a VM's settings file.
func (domain *Domain) settings(vm *VM) string {
	var seeds []string
	for _, core := range domain.Cores[:min(3, len(domain.Cores))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", core.Address, portControl)))
	}
	var text strings.Builder
	write := func(format string, arguments ...any) { _, _ = fmt.Fprintf(&text, format+"\n", arguments...) }
	write("nodeName = %q\nrole = %q\nip = %q\nzone = %q\nregion = \"central-tt\"", vm.Name, vm.Role, vm.Address, vm.Zone)
	write("internalPortRange = [%d, %d]\nseeds = [%s]", portPeers, portPeers+15, strings.Join(seeds, ", "))
	write("bootstrap = %v\nheartbeatMs = %d\ncontrolMode = \"push\"", vm.starts == 0, HeartbeatInterval.Milliseconds())
	if vm.Role == "core" {
		write("dataDir = %q\nfaultDomainMember = true", filepath.Join(vm.folder, "data"))
	}
	write("[zones]")
	for _, zone := range Zones {
		write("%s = \"central-tt\"", zone)
	}
	write("[bindAddresses]")
	if vm.Role == "core" {
		write("controlPlane = \"%s:%d\"", vm.Address, portControl)
	} else {
		write("frontend = \"%s:%d\"\nreadiness = \"%s:%d\"", vm.Address, portFrontend, vm.Address, portReadiness)
	}
	write("[limits]\ncores = 1\nmemoryMb = 284\nmaxFds = 4096\nlinkMbps = 1000.0\ndiskMb = %d", map[string]int{"core": 128}[vm.Role])
	write("[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0")
	write("[bounds]\nholdMaxMs = %d\nstopMs = %d\ngraceS = 6\nleaseMs = 3000\ncontactMs = 3000\ndrainMs = 2000",
		LeaseLimit.Milliseconds(), StopTime.Milliseconds())
	if domain.CloudAddress != "" {
		write("[cloudApi]\naddress = %q\nratePerS = 60.0\nduties = []\ndutyPerS = 60.0", domain.CloudAddress)
	}
	return text.String()
}

// Start starts a process of the deployment.
func (domain *Domain) Start(vm *VM) error {
	settings := filepath.Join(vm.folder, "node.toml")
	if err := os.WriteFile(settings, []byte(domain.settings(vm)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(vm.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.CommandContext(context.Background(), domain.program, vm.Role)
	command.Env = append(os.Environ(), "CROCUSPLANK_NODE_FILE="+settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	vm.starts++
	exited := make(chan struct{})
	vm.command, vm.exited = command, exited
	go func() {
		_ = command.Wait() // The processes of a case are ended by signals.
		_ = log.Close()
		close(exited)
	}()
	domain.recorder.Write("process %s started at %s", vm.Name, vm.Address)
	return nil
}

// StartAll starts all processes.
func (domain *Domain) StartAll() error {
	for _, vm := range append(append([]*VM{}, domain.Cores...), domain.Entries...) {
		if err := domain.Start(vm); err != nil {
			return err
		}
	}
	return nil
}

// Signal sends a signal to a process.
func (domain *Domain) Signal(vm *VM, signal syscall.Signal) {
	domain.recorder.Write("signal %v to %s", signal, vm.Name)
	_ = vm.command.Process.Signal(signal) // It fails only if the process has ended.
}

// Kill ends a process at once and waits for its end.
func (domain *Domain) Kill(vm *VM) {
	domain.Signal(vm, syscall.SIGKILL)
	<-vm.exited
}

// Close ends all processes and removes the folder.
func (domain *Domain) Close() {
	for _, vm := range append(append([]*VM{}, domain.Cores...), domain.Entries...) {
		if vm.command == nil {
			continue
		}
		_ = vm.command.Process.Signal(syscall.SIGCONT) // As above.
		_ = vm.command.Process.Kill()
		<-vm.exited
	}
	if os.Getenv("KEEP") != "" {
		domain.recorder.Write("logs kept in the temporary folder %s", filepath.Base(domain.folder))
		return
	}
	_ = os.RemoveAll(domain.folder) // What is left of a temporary folder does no harm.
}
