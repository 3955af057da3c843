package main

import (
	"context"
	"fmt"
	"testing"
)

// Guards against the loss of acknowledged changes and jobs when all processes are killed at once, and against
// non-idempotent requests that run again under the same key after the restart.
func TestAllProcessesDie(t *testing.T) {
	system := startSystem(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	workers, endpoints, callers := startPlatform(ctx, t, system)
	callers.SetKeyHome("couva")
	system.mustCLI("config", "apply", system.writeFile("first.jsonc", fmt.Sprintf(deploymentConfiguration, 0, 8000)), "--operator", "anna")
	system.mustCLI("job", "submit", system.writeFile("job.jsonc", deploymentJob))
	system.waitUntil("the tasks do not run", system.allTasksIn("running"))
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
		system.waitReady(vm)
		if got, ok := readRevision(ctx, vm.APIAddress.String()); !ok || got != 1 {
			t.Errorf("%s after the restart: got revision %d (%v), want 1", vm.Name, got, ok)
		}
	}
	// Requests that ran before the restart must be answered from their stored responses and must not run again.
	callers.Resend(ctx)
	system.waitUntil("the job does not finish", system.allTasksIn("finished"))
	if _, err := system.cli(nil, "audit", "verify"); err != nil {
		t.Errorf("audit trail after the restart: %v", err)
	}
	checkInvariants(t, workers, endpoints, callers, 4)
}
