package assembler

import "github.com/uber-go/tally/v4"

// UpdateMetrics sets the gauges of the VM's replica of the domain's group. It sets none on a VM that holds no state.
func (vm *VM) UpdateMetrics(scope tally.Scope) {
	if vm.replicator != nil {
		vm.replicator.UpdateMetrics(scope.Tagged(map[string]string{"group": string(DomainGroup)}))
	}
}
