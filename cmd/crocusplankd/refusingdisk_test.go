package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// returnLimit is the time within which a VM must be back in its group after its disk takes writes again.
const returnLimit = 3 * time.Second

// limitFileSize makes all writes to files of a VM's process fail, or succeed again.
func (system *system) limitFileSize(vm scheduler.VMName, refuses bool) {
	system.t.Helper()
	pid := system.processes[vm].Process.Pid
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		system.t.Fatal(err)
	}
	limit.Cur = limit.Max
	if refuses {
		limit.Cur = 0
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		system.t.Fatal(err)
	}
}

// Guards against a daemon that ends, or stays out of its groups, after its disk has refused writes for a while.
func TestDaemonReturnsWhenItsDiskTakesWritesAgain(t *testing.T) {
	system := startSystem(t)
	var failing loader.VM
	for _, vm := range system.deployment.VMs() {
		if vm.DataCentre == "couva" && system.deployment.HasDisk(vm.Name) {
			failing = vm
		}
	}
	configuration := system.writeFile("configuration.jsonc", fmt.Sprintf(deploymentConfiguration, 0, 8000))
	system.mustCLI("config", "apply", configuration, "--operator", "anna")
	system.waitUntil("the configuration is not in force", func() bool {
		revision, ok := readRevision(t.Context(), failing.APIAddress.String())
		return ok && revision == 1
	})
	for round := range 2 {
		system.limitFileSize(failing.Name, true)
		job := strings.Replace(deploymentJob, "scaling-1", fmt.Sprint("scaling-", round), 1)
		// The outcome is unknown if the VM leads the group.
		_, _ = system.cli(nil, "job", "submit", system.writeFile("job.jsonc", job))
		system.waitUntil("the VM is still ready", func() bool { return !isReady(failing.CallerAddress.String()) })
		time.Sleep(returnLimit)
		system.limitFileSize(failing.Name, false)
		repaired := time.Now()
		system.waitReady(failing)
		if got := time.Since(repaired); got > returnLimit {
			t.Errorf("back in its groups after %v, want at most %v", got, returnLimit)
		}
	}
}
