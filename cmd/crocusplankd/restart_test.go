package main

import (
	"context"
	"fmt"
	"testing"
)

// Guards against acknowledged changes and jobs that are lost when every process dies at once, and against
// keys that run again after it.
func TestAllProcessesDie(t *testing.T) {
	system := startSystem(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	workers, endpoints, callers := startPlatform(ctx, t, system)
	callers.SetKeyHome("couva")
	system.mustCLI("config", "apply", system.writeFile("first.jsonc", fmt.Sprintf(deploymentConfiguration, 0, 8000)), "--operator", "anna")
	system.mustCLI("job", "submit", system.writeFile("job.jsonc", deploymentJob))
	system.until("the tasks do not run", system.allTasks("running"))
	if err := callers.Run(ctx, 400, 8); err != nil {
		t.Fatal(err)
	}

	for _, vm := range system.deployment.VMs() {
		system.kill(vm.Name)
	}
	for _, vm := range system.deployment.VMs() {
		system.start(vm.Name)
	}
	for _, vm := range system.deployment.VMs() {
		system.awaitReady(vm)
		if got, ok := revisionOf(ctx, vm.APIAddress.String()); !ok || got != 1 {
			t.Errorf("%s after the restart: got revision %d (%v), want 1", vm.Name, got, ok)
		}
	}
	// The same keys again: what ran before must be answered and not run.
	callers.Resend(ctx)
	system.until("the job does not finish", system.allTasks("finished"))
	if _, err := system.cli(nil, "audit", "verify"); err != nil {
		t.Errorf("audit trail after the restart: %v", err)
	}
	checkPromises(t, workers, endpoints, callers, 4)
}
