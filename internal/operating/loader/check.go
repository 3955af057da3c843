package loader

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/internal/state/budgeter"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// namePattern ensures that names can be used as folder names and as prefixes of idempotency keys.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// minDiskBytes leaves each of three groups and the audit trail the smallest room.
const minDiskBytes = 4 * budgeter.MinRoom

// minClientMemoryBytes leaves the operator API room for two of the largest configurations.
const minClientMemoryBytes = 256 << 20

// checker validates decoded settings against the rules that go beyond the type of a single value.
type checker struct {
	document *document
	settings *Settings
	vms      map[scheduler.VMName]VM
	// undecodedPaths contains the paths of values that could not be decoded because of their type or format.
	undecodedPaths map[string]bool
}

func (checker *checker) check() {
	checker.checkVMs()
	checker.checkSelf()
	checker.checkRoles()
	checker.checkAddresses()
	checker.checkLimits()
	checker.checkFiles()
	checker.checkGroups()
	checker.checkDisks()
}

// checkName validates a name and reports whether it is valid.
func (checker *checker) checkName(path, name string) bool {
	switch {
	case checker.document.invalidPaths[path]:
		return false
	case name == "":
		checker.document.addFault(path, "is missing or empty")
		return false
	case !namePattern.MatchString(name):
		checker.document.addFault(path, "want at most 63 characters of a-z, 0-9 and -, got %q", name)
		return false
	}
	return true
}

// checkRequired checks that a string is not empty.
func (checker *checker) checkRequired(path, text string) {
	if text == "" && !checker.document.invalidPaths[path] {
		checker.document.addFault(path, "is missing or empty")
	}
}

func (checker *checker) checkVMs() {
	checker.vms = map[scheduler.VMName]VM{}
	if len(checker.settings.VMs) == 0 && !checker.document.invalidPaths["vms"] {
		checker.document.addFault("vms", "is missing or empty")
	}
	for number, vm := range checker.settings.VMs {
		path := fmt.Sprintf("vms[%d]", number)
		checker.checkName(path+".dataCentre", string(vm.DataCentre))
		if vm.DataCentre == scheduler.DataCentreName(scheduler.GlobalGroup) {
			checker.document.addFault(path+".dataCentre", "%q is reserved for the group of the configuration", vm.DataCentre)
		}
		if !checker.checkName(path+".name", string(vm.Name)) {
			continue
		}
		if _, taken := checker.vms[vm.Name]; taken {
			checker.document.addFault(path+".name", "VM %q is listed twice", vm.Name)
			continue
		}
		checker.vms[vm.Name] = vm
	}
}

// checkVMReference checks that a VM is listed in vms with the given data centre.
func (checker *checker) checkVMReference(
	path, dataCentrePath string, name scheduler.VMName, dataCentre scheduler.DataCentreName,
) bool {
	if !checker.checkName(path, string(name)) {
		return false
	}
	vm, found := checker.vms[name]
	if !found {
		var names []string
		for _, vm := range checker.settings.VMs {
			names = append(names, string(vm.Name))
		}
		checker.document.addFault(path, "VM %q is not listed in vms, %s", name, suggestion(string(name), names))
		return false
	}
	if dataCentre != vm.DataCentre && !checker.document.invalidPaths[dataCentrePath] {
		checker.document.addFault(dataCentrePath,
			"VM %q is listed with data centre %q, got %q", name, vm.DataCentre, dataCentre)
		return false
	}
	return true
}

func (checker *checker) checkSelf() {
	settings := checker.settings
	if !checker.checkVMReference("vm", "dataCentre", settings.VM, settings.DataCentre) {
		return
	}
	vm := checker.vms[settings.VM]
	for _, pair := range []struct {
		name          string
		own, inVMList netip.AddrPort
	}{
		{"peer", settings.Addresses.Peer, vm.PeerAddress},
		{"caller", settings.Addresses.Caller, vm.CallerAddress},
		{"api", settings.Addresses.API, vm.APIAddress},
	} {
		if pair.own != pair.inVMList && pair.own.IsValid() && pair.inVMList.IsValid() {
			checker.document.addFault("addresses."+pair.name, "%s differs from %sAddress %s of VM %q in vms",
				pair.own, pair.name, pair.inVMList, vm.Name)
		}
	}
}

func (checker *checker) checkRoles() {
	settings, document := checker.settings, checker.document
	if len(settings.Roles) == 0 && !document.invalidPaths["roles"] {
		document.addFault("roles", "is missing or empty")
	}
	known := []string{RoleReplica, RoleScheduler, RoleGateway}
	for number, role := range settings.Roles {
		path := fmt.Sprintf("roles[%d]", number)
		switch {
		case document.invalidPaths[path]:
		case !slices.Contains(known, role):
			document.addFault(path, "unknown role %q, %s", role, suggestion(role, known))
		case slices.Contains(settings.Roles[:number], role):
			document.addFault(path, "role %q is listed twice", role)
		case role == RoleScheduler && !settings.HasRole(RoleReplica):
			document.addFault(path, "the scheduler runs on the leader of a group and needs the role %q", RoleReplica)
		}
	}
	if document.invalidPaths["vm"] || document.invalidPaths["roles"] {
		return
	}
	if isMember := len(settings.OwnGroups()) > 0; isMember != settings.HasRole(RoleReplica) {
		document.addFault("roles", "a VM has the role %q exactly when it is a member of a group", RoleReplica)
	}
}

// checkAddresses checks that all addresses are set and that they are unique.
func (checker *checker) checkAddresses() {
	seen := map[netip.AddrPort]string{}
	check := func(path string, address netip.AddrPort) {
		if checker.document.invalidPaths[path] {
			return
		}
		if !address.IsValid() {
			checker.document.addFault(path, "is missing")
			return
		}
		if other, taken := seen[address]; taken {
			checker.document.addFault(path, "%s is also the address of %s", address, other)
			return
		}
		seen[address] = path
	}
	for number, vm := range checker.settings.VMs {
		path := fmt.Sprintf("vms[%d]", number)
		check(path+".peerAddress", vm.PeerAddress)
		check(path+".callerAddress", vm.CallerAddress)
		check(path+".apiAddress", vm.APIAddress)
	}
	check("addresses.metrics", checker.settings.Addresses.Metrics)
	// The other addresses of this VM are also in vms; checkSelf checks that they are equal.
	own := checker.settings.Addresses
	for number, address := range []netip.AddrPort{own.Peer, own.Caller, own.API} {
		path := []string{"addresses.peer", "addresses.caller", "addresses.api"}[number]
		if !address.IsValid() && !checker.document.invalidPaths[path] {
			checker.document.addFault(path, "is missing")
		}
	}
}

func (checker *checker) checkLimits() {
	limits := checker.settings.Limits
	for _, limit := range []struct {
		name             string
		value, low, high int64
	}{
		{"maxHeaderBytes", limits.MaxHeaderBytes, 1 << 10, 1 << 20},
		{"maxBodyBytes", limits.MaxBodyBytes, 1 << 10, 1 << 30},
		{"queueLength", limits.QueueLength, 1, 1_000_000},
		{"diskBytes", limits.DiskBytes, minDiskBytes, budgeter.MaxRoom},
		{"clientMemoryBytes", limits.ClientMemoryBytes, minClientMemoryBytes, 1 << 40},
		{"clientConnections", limits.ClientConnections, 0, 1_000_000},
	} {
		path := "limits." + limit.name
		if (limit.value < limit.low || limit.value > limit.high) && !checker.document.invalidPaths[path] {
			checker.document.addFault(path, "want %d to %d, got %d", limit.low, limit.high, limit.value)
		}
	}
	for _, limit := range []struct {
		name             string
		value, low, high time.Duration
	}{
		{"requestTimeout", limits.RequestTimeout, 100 * time.Millisecond, 10 * time.Minute},
		{"stopTimeout", limits.StopTimeout, time.Second, 10 * time.Minute},
	} {
		path := "limits." + limit.name
		if (limit.value < limit.low || limit.value > limit.high) && !checker.document.invalidPaths[path] {
			checker.document.addFault(path, "want %s to %s, got %s", limit.low, limit.high, limit.value)
		}
	}
}

func (checker *checker) checkFiles() {
	settings := checker.settings
	checker.checkOneOf("log.level", settings.Log.Level, "debug", "info", "warn", "error")
	checker.checkOneOf("log.format", settings.Log.Format, "json", "console")
	checker.checkRequired("tokens.peerKeyFile", settings.Tokens.PeerKeyFile)
	if settings.TLS != nil {
		checker.checkRequired("tls.certificateFile", settings.TLS.CertificateFile)
		checker.checkRequired("tls.keyFile", settings.TLS.KeyFile)
	}
}

// checkOneOf checks that a value is one of the known values.
func (checker *checker) checkOneOf(path, value string, known ...string) {
	if !slices.Contains(known, value) && !checker.document.invalidPaths[path] {
		checker.document.addFault(path, "unknown value %q, %s", value, suggestion(value, known))
	}
}
