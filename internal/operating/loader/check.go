package loader

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// namePattern keeps names usable as folder names and as prefixes of idempotency keys.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker compares decoded settings with the rules that go beyond the type of one value.
type checker struct {
	document *document
	settings *Settings
	vms      map[scheduler.VMName]VM
	// undecoded holds the paths of values that have the wrong type or form.
	undecoded map[string]bool
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

// name checks a name and reports whether it is usable.
func (checker *checker) name(path, name string) bool {
	switch {
	case checker.document.faulty[path]:
		return false
	case name == "":
		checker.document.add(path, "is missing or empty")
		return false
	case !namePattern.MatchString(name):
		checker.document.add(path, "want at most 63 characters of a-z, 0-9 and -, got %q", name)
		return false
	}
	return true
}

// required checks that a text is given.
func (checker *checker) required(path, text string) {
	if text == "" && !checker.document.faulty[path] {
		checker.document.add(path, "is missing or empty")
	}
}

func (checker *checker) checkVMs() {
	checker.vms = map[scheduler.VMName]VM{}
	if len(checker.settings.VMs) == 0 && !checker.document.faulty["vms"] {
		checker.document.add("vms", "is missing or empty")
	}
	for number, vm := range checker.settings.VMs {
		path := fmt.Sprintf("vms[%d]", number)
		checker.name(path+".dataCentre", string(vm.DataCentre))
		if vm.DataCentre == scheduler.DataCentreName(scheduler.GlobalGroup) {
			checker.document.add(path+".dataCentre", "%q is the name of the configuration's group", vm.DataCentre)
		}
		if !checker.name(path+".name", string(vm.Name)) {
			continue
		}
		if _, taken := checker.vms[vm.Name]; taken {
			checker.document.add(path+".name", "VM %q is listed twice", vm.Name)
			continue
		}
		checker.vms[vm.Name] = vm
	}
}

// knownVM checks that a VM is listed with a data centre.
func (checker *checker) knownVM(path, dataCentrePath string, name scheduler.VMName, dataCentre scheduler.DataCentreName) bool {
	if !checker.name(path, string(name)) {
		return false
	}
	vm, found := checker.vms[name]
	if !found {
		var names []string
		for _, vm := range checker.settings.VMs {
			names = append(names, string(vm.Name))
		}
		checker.document.add(path, "VM %q is not listed in vms, %s", name, hint(string(name), names))
		return false
	}
	if dataCentre != vm.DataCentre && !checker.document.faulty[dataCentrePath] {
		checker.document.add(dataCentrePath, "VM %q is listed with data centre %q, got %q", name, vm.DataCentre, dataCentre)
		return false
	}
	return true
}

func (checker *checker) checkSelf() {
	settings := checker.settings
	if !checker.knownVM("vm", "dataCentre", settings.VM, settings.DataCentre) {
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
			checker.document.add("addresses."+pair.name, "%s differs from %sAddress %s of VM %q in vms",
				pair.own, pair.name, pair.inVMList, vm.Name)
		}
	}
}

func (checker *checker) checkRoles() {
	settings, document := checker.settings, checker.document
	if len(settings.Roles) == 0 && !document.faulty["roles"] {
		document.add("roles", "is missing or empty")
	}
	known := []string{RoleReplica, RoleScheduler, RoleGateway}
	for number, role := range settings.Roles {
		path := fmt.Sprintf("roles[%d]", number)
		switch {
		case document.faulty[path]:
		case !slices.Contains(known, role):
			document.add(path, "unknown role %q, %s", role, hint(role, known))
		case slices.Contains(settings.Roles[:number], role):
			document.add(path, "role %q is listed twice", role)
		case role == RoleScheduler && !settings.HasRole(RoleReplica):
			document.add(path, "the scheduler works on the leader of a group and needs the role %q", RoleReplica)
		}
	}
	if document.faulty["vm"] || document.faulty["roles"] {
		return
	}
	if isMember := len(settings.OwnGroups()) > 0; isMember != settings.HasRole(RoleReplica) {
		document.add("roles", "a VM has the role %q exactly when it is a member of a group", RoleReplica)
	}
}

// checkAddresses checks that all addresses are given and that no two are equal.
func (checker *checker) checkAddresses() {
	seen := map[netip.AddrPort]string{}
	check := func(path string, address netip.AddrPort) {
		if checker.document.faulty[path] {
			return
		}
		if !address.IsValid() {
			checker.document.add(path, "is missing")
			return
		}
		if other, taken := seen[address]; taken {
			checker.document.add(path, "%s is also the address of %s", address, other)
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
	// The other own addresses equal those in vms, which checkSelf compares.
	own := checker.settings.Addresses
	for number, address := range []netip.AddrPort{own.Peer, own.Caller, own.API} {
		path := []string{"addresses.peer", "addresses.caller", "addresses.api"}[number]
		if !address.IsValid() && !checker.document.faulty[path] {
			checker.document.add(path, "is missing")
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
	} {
		path := "limits." + limit.name
		if (limit.value < limit.low || limit.value > limit.high) && !checker.document.faulty[path] {
			checker.document.add(path, "want %d to %d, got %d", limit.low, limit.high, limit.value)
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
		if (limit.value < limit.low || limit.value > limit.high) && !checker.document.faulty[path] {
			checker.document.add(path, "want %s to %s, got %s", limit.low, limit.high, limit.value)
		}
	}
}

func (checker *checker) checkFiles() {
	settings := checker.settings
	checker.oneOf("log.level", settings.Log.Level, "debug", "info", "warn", "error")
	checker.oneOf("log.format", settings.Log.Format, "json", "console")
	checker.required("tokens.peerKeyFile", settings.Tokens.PeerKeyFile)
	if settings.TLS != nil {
		checker.required("tls.certificateFile", settings.TLS.CertificateFile)
		checker.required("tls.keyFile", settings.TLS.KeyFile)
	}
}

// oneOf checks that a value is one of the known ones.
func (checker *checker) oneOf(path, value string, known ...string) {
	if !slices.Contains(known, value) && !checker.document.faulty[path] {
		checker.document.add(path, "unknown value %q, %s", value, hint(value, known))
	}
}
