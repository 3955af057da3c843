// Package kernel starts and stops the roles of a daemon. Roles are plug-ins that register themselves.
package kernel

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("kernel")

// Role is a running role of a daemon.
type Role interface {
	// Start brings the role into service. It returns once the role works or has failed.
	Start(ctx context.Context) error
	// Stop ends the role gracefully until ctx ends, then at once.
	Stop(ctx context.Context) error
}

// Plugin describes a role that can be started.
type Plugin struct {
	name  string
	after []string
	build func(host ServiceRegistry) (Role, error)
}

// ServiceRegistry is what the daemon offers to its roles. Roles publish services under a name for roles that
// start later.
type ServiceRegistry interface {
	// Publish makes a service available to roles that start later.
	Publish(name string, service any)
	// Lookup returns a published service, nil when there is none.
	Lookup(name string) any
}

var (
	registryMutex sync.Mutex
	registry      = map[string]Plugin{}
)

// Register adds a plug-in to the registry. Packages call it from an init function. The role starts
// after the roles named in after, where those are enabled. Register panics when the name is taken,
// since that is a fault of the program.
func Register(name string, build func(host ServiceRegistry) (Role, error), after ...string) {
	registryMutex.Lock()
	defer registryMutex.Unlock()
	if _, taken := registry[name]; taken {
		panic(fmt.Sprintf("kernel: role %q is registered twice", name))
	}
	registry[name] = Plugin{name: name, after: after, build: build}
}

// Kernel runs a set of roles: Build, Start and Stop are called in this order from one goroutine; the
// other methods are safe for concurrent use.
type Kernel struct {
	mutex    sync.Mutex
	services map[string]any
	built    []namedRole
	running  []namedRole
}

type namedRole struct {
	name string
	role Role
}

// New returns a Kernel without roles.
func New() *Kernel {
	return &Kernel{services: map[string]any{}}
}

// Publish makes a service available to roles that start later.
func (kernel *Kernel) Publish(name string, service any) {
	kernel.mutex.Lock()
	defer kernel.mutex.Unlock()
	kernel.services[name] = service
}

// Lookup returns a published service, nil when there is none.
func (kernel *Kernel) Lookup(name string) any {
	kernel.mutex.Lock()
	defer kernel.mutex.Unlock()
	return kernel.services[name]
}

// Build builds the named roles in dependency order. Nothing runs yet, so roles can register handlers
// with what the daemon starts next.
func (kernel *Kernel) Build(names []string) error {
	order, err := startOrder(names)
	if err != nil {
		return err
	}
	for _, plugin := range order {
		role, err := plugin.build(kernel)
		if err != nil {
			return Error.New("build role %s: %v", plugin.name, err)
		}
		kernel.built = append(kernel.built, namedRole{name: plugin.name, role: role})
	}
	return nil
}

// Start starts the built roles in order. When one fails, those that run are stopped and the failure is
// returned.
func (kernel *Kernel) Start(ctx context.Context) error {
	for _, entry := range kernel.built {
		if err := entry.role.Start(ctx); err != nil {
			return errs.Combine(Error.New("start role %s: %v", entry.name, err), kernel.Stop(ctx))
		}
		kernel.mutex.Lock()
		kernel.running = append(kernel.running, entry)
		kernel.mutex.Unlock()
	}
	return nil
}

// Stop stops the running roles in reverse order of their start and returns all failures.
func (kernel *Kernel) Stop(ctx context.Context) error {
	kernel.mutex.Lock()
	running := kernel.running
	kernel.running = nil
	kernel.mutex.Unlock()
	var group errs.Group
	for _, entry := range slices.Backward(running) {
		if err := entry.role.Stop(ctx); err != nil {
			group.Add(Error.New("stop role %s: %v", entry.name, err))
		}
	}
	return group.Err()
}

// startOrder sorts the named plug-ins so that each follows those that it starts after.
func startOrder(names []string) ([]Plugin, error) {
	registryMutex.Lock()
	defer registryMutex.Unlock()
	var order []Plugin
	state := map[string]string{}
	var visit func(name string) error
	visit = func(name string) error {
		switch state[name] {
		case "done":
			return nil
		case "open":
			return Error.New("role %s depends on itself", name)
		}
		plugin, known := registry[name]
		if !known {
			return Error.New("unknown role %q", name)
		}
		state[name] = "open"
		for _, before := range plugin.after {
			if slices.Contains(names, before) {
				if err := visit(before); err != nil {
					return err
				}
			}
		}
		state[name] = "done"
		order = append(order, plugin)
		return nil
	}
	for _, name := range names {
		if err := visit(name); err != nil {
			return nil, err
		}
	}
	return order, nil
}
