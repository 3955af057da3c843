package configurator

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Fault is one validation error. It is a wire type. Path is the position in the submitted document,
// for example "workers[3].rack".
type Fault struct {
	Path    string `json:"path" cbor:"path"`
	Message string `json:"message" cbor:"message"`
}

// validName restricts names to those that are safe in paths, URLs, file names and key prefixes.
var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// knownRoles lists the roles that are defined in section 2 of docs/design.md.
var knownRoles = []string{"replica", "scheduler", "gateway"}

type validator struct {
	document    *scheduler.Configuration
	faults      []Fault
	dataCentres map[scheduler.DataCentreName]bool
	racks       map[string]scheduler.DataCentreName
	services    map[scheduler.ServiceName]scheduler.Class
	teams       map[scheduler.TeamName]bool
}

// Validate returns all validation errors of a document, grouped by section in document order. It
// returns nil for a valid document.
func Validate(document *scheduler.Configuration) []Fault {
	validator := &validator{
		document:    document,
		dataCentres: map[scheduler.DataCentreName]bool{},
		racks:       map[string]scheduler.DataCentreName{},
		services:    map[scheduler.ServiceName]scheduler.Class{},
		teams:       map[scheduler.TeamName]bool{},
	}
	validator.indexNames()
	validator.checkDataCentres()
	validator.checkRacks()
	validator.checkVMs()
	validator.checkWorkers()
	validator.checkServices()
	validator.checkRules()
	validator.checkTeams()
	return validator.faults
}

// indexNames indexes the elements that other parts of the document refer to by name.
func (validator *validator) indexNames() {
	for _, dataCentre := range validator.document.DataCentres {
		validator.dataCentres[dataCentre.Name] = true
	}
	for _, rack := range validator.document.Racks {
		validator.racks[rack.Name] = rack.DataCentre
	}
	for _, service := range validator.document.Services {
		validator.services[service.Name] = service.Class
	}
	for _, team := range validator.document.Teams {
		validator.teams[team.Name] = true
	}
}

func (validator *validator) addFault(path, format string, arguments ...any) {
	validator.faults = append(validator.faults, Fault{Path: path, Message: fmt.Sprintf(format, arguments...)})
}

// checkName checks that a name is well-formed and unique within its list.
func (validator *validator) checkName(path, name string, seen map[string]string) {
	if !validName.MatchString(name) {
		validator.addFault(path+".name", "%q is not 1 to 63 lower-case letters, digits, dots and hyphens", name)
	}
	if first, ok := seen[name]; ok {
		validator.addFault(path+".name", "%q is already the name of %s", name, first)
		return
	}
	seen[name] = path
}

func (validator *validator) checkDataCentre(path string, name scheduler.DataCentreName) {
	if !validator.dataCentres[name] {
		validator.addFault(path+".dataCentre", "data centre %q is not in the inventory", name)
	}
}

func (validator *validator) checkDataCentres() {
	seen := map[string]string{}
	for i, dataCentre := range validator.document.DataCentres {
		path := fmt.Sprintf("dataCentres[%d]", i)
		validator.checkName(path, string(dataCentre.Name), seen)
		if dataCentre.Name == scheduler.DataCentreName(scheduler.GlobalGroup) {
			validator.addFault(path+".name", "%q is the name of the configuration's group", dataCentre.Name)
		}
	}
}

func (validator *validator) checkRacks() {
	seen := map[string]string{}
	for i, rack := range validator.document.Racks {
		path := fmt.Sprintf("racks[%d]", i)
		validator.checkName(path, rack.Name, seen)
		validator.checkDataCentre(path, rack.DataCentre)
	}
}

func (validator *validator) checkVMs() {
	seen, addresses := map[string]string{}, map[string]string{}
	for i, vm := range validator.document.VMs {
		path := fmt.Sprintf("vms[%d]", i)
		validator.checkName(path, string(vm.Name), seen)
		validator.checkDataCentre(path, vm.DataCentre)
		if _, err := netip.ParseAddrPort(vm.Address); err != nil {
			validator.addFault(path+".address", "%q is not an IP address and port", vm.Address)
		} else if first, ok := addresses[vm.Address]; ok {
			validator.addFault(path+".address", "%q is already the address of %s", vm.Address, first)
		} else {
			addresses[vm.Address] = path
		}
		for j, role := range vm.Roles {
			if !slices.Contains(knownRoles, role) {
				validator.addFault(fmt.Sprintf("%s.roles[%d]", path, j), "role %q is unknown", role)
			}
		}
	}
}

func (validator *validator) checkWorkers() {
	seen := map[string]string{}
	for i, worker := range validator.document.Workers {
		path := fmt.Sprintf("workers[%d]", i)
		validator.checkName(path, string(worker.Name), seen)
		validator.checkDataCentre(path, worker.DataCentre)
		if dataCentre, ok := validator.racks[worker.Rack]; !ok {
			validator.addFault(path+".rack", "rack %q is not in the inventory", worker.Rack)
		} else if dataCentre != worker.DataCentre {
			validator.addFault(path+".rack", "rack %q is in data centre %q, the worker in %q",
				worker.Rack, dataCentre, worker.DataCentre)
		}
		validator.checkResources(path+".capacity", worker.Capacity)
		if worker.Capacity.MilliCores == 0 || worker.Capacity.MemoryBytes == 0 {
			validator.addFault(path+".capacity", "a worker needs processors and memory")
		}
	}
}

func (validator *validator) checkResources(path string, resources scheduler.Resources) {
	if resources.MilliCores < 0 {
		validator.addFault(path+".milliCores", "%d is negative", resources.MilliCores)
	}
	if resources.MemoryBytes < 0 {
		validator.addFault(path+".memoryBytes", "%d is negative", resources.MemoryBytes)
	}
	if resources.Accelerators < 0 {
		validator.addFault(path+".accelerators", "%d is negative", resources.Accelerators)
	}
}

func (validator *validator) checkClass(path string, class scheduler.Class) {
	if class != scheduler.ClassLatencyCritical && class != scheduler.ClassBatch {
		validator.addFault(path+".class", "class %q is neither %q nor %q", class,
			scheduler.ClassLatencyCritical, scheduler.ClassBatch)
	}
}

func (validator *validator) checkServices() {
	seen := map[string]string{}
	for i, service := range validator.document.Services {
		path := fmt.Sprintf("services[%d]", i)
		validator.checkName(path, string(service.Name), seen)
		validator.checkClass(path, service.Class)
		if service.Team != "" && !validator.teams[service.Team] {
			validator.addFault(path+".team", "team %q is not in the document", service.Team)
		}
		switch service.Idempotency {
		case "", scheduler.IdempotencyByMethod, scheduler.IdempotencyAlways, scheduler.IdempotencyNever:
		default:
			validator.addFault(path+".idempotency", "%q is unknown", service.Idempotency)
		}
		if service.Queue < 0 {
			validator.addFault(path+".queue", "%d is negative", service.Queue)
		}
		if service.InProgress < 0 {
			validator.addFault(path+".inProgress", "%d is negative", service.InProgress)
		}
		if service.Timeout < 0 {
			validator.addFault(path+".timeout", "%s is negative", service.Timeout)
		}
	}
}

func (validator *validator) checkRules() {
	seen, selectors := map[string]string{}, map[scheduler.Rule]string{}
	for i, rule := range validator.document.Rules {
		path := fmt.Sprintf("rules[%d]", i)
		validator.checkName(path, rule.Name, seen)
		validator.checkClass(path, rule.Class)
		selected := 0
		for _, selector := range []string{string(rule.Service), rule.Kind, string(rule.Team)} {
			if selector != "" {
				selected++
			}
		}
		if selected != 1 {
			validator.addFault(path, "a rule names exactly one of service, kind and team, this one %d", selected)
			continue
		}
		validator.checkSelector(path, rule)
		selector := scheduler.Rule{Service: rule.Service, Kind: rule.Kind, Team: rule.Team}
		if first, ok := selectors[selector]; ok {
			validator.addFault(path, "%s already covers the same work", first)
			continue
		}
		selectors[selector] = path
	}
}

func (validator *validator) checkSelector(path string, rule scheduler.Rule) {
	if rule.Team != "" && !validator.teams[rule.Team] {
		validator.addFault(path+".team", "team %q is not in the document", rule.Team)
	}
	if rule.Service == "" {
		return
	}
	class, ok := validator.services[rule.Service]
	if !ok {
		validator.addFault(path+".service", "service %q is not in the document", rule.Service)
	} else if class != rule.Class {
		validator.addFault(path+".class", "the rule says %q, service %q says %q", rule.Class, rule.Service, class)
	}
}

func (validator *validator) checkTeams() {
	seen := map[string]string{}
	for i, team := range validator.document.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		validator.checkName(path, string(team.Name), seen)
		validator.checkResources(path+".quota", team.Quota)
	}
}
