// Package kernel builds, starts and stops the roles of a daemon in the order of their dependencies. Roles are
// plug-ins that register themselves with Register.
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

// Role is a component of a daemon with a managed life cycle.
type Role interface {
	// Start starts the role. It returns once the role is running or has failed to start.
	Start(ctx context.Context) error
	// Stop stops the role gracefully, or immediately when ctx ends.
	Stop(ctx context.Context) error
}

// Plugin is the registration of a role.
type Plugin struct {
	name       string
	startAfter []string
	build      func(services ServiceRegistry) (Role, error)
}

// ServiceRegistry gives roles access to the services of other roles. A role publishes services by name for roles that
// are built or started after it.
type ServiceRegistry interface {
	// Publish registers a service under a name.
	Publish(name string, service any)
	// Lookup returns the service that is published under a name, or nil if there is none.
	Lookup(name string) any
}

var (
	registryMutex sync.Mutex
	registry      = map[string]Plugin{}
)

// Register adds a plug-in to the registry. Packages call it from an init function. The role starts after the roles
// named in after, as far as those are enabled. Register panics if the name is already registered, because that is a
// programming error.
func Register(name string, build func(services ServiceRegistry) (Role, error), after ...string) {
	registryMutex.Lock()
	defer registryMutex.Unlock()
	if _, taken := registry[name]; taken {
		panic(fmt.Sprintf("kernel: role %q is already registered", name))
	}
	registry[name] = Plugin{name: name, startAfter: after, build: build}
}

// Kernel manages the life cycle of a set of roles. Build, Start and Stop must be called in this order from one
// goroutine. The other methods are safe for concurrent use.
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

// Publish registers a service under a name.
func (kernel *Kernel) Publish(name string, service any) {
	kernel.mutex.Lock()
	defer kernel.mutex.Unlock()
	kernel.services[name] = service
}

// Lookup returns the service that is published under a name, or nil if there is none.
func (kernel *Kernel) Lookup(name string) any {
	kernel.mutex.Lock()
	defer kernel.mutex.Unlock()
	return kernel.services[name]
}

// Build builds the named roles in dependency order without starting them, so that they can register handlers before
// the daemon starts its transport and listeners.
func (kernel *Kernel) Build(names []string) error {
	order, err := startOrder(names)
	if err != nil {
		return err
	}
	for _, plugin := range order {
		role, err := plugin.build(kernel)
		if err != nil {
			return Error.New("build role %s: %w", plugin.name, err)
		}
		kernel.built = append(kernel.built, namedRole{name: plugin.name, role: role})
	}
	return nil
}

// Start starts the built roles in order. If one fails to start, the running roles are stopped and the error is
// returned.
func (kernel *Kernel) Start(ctx context.Context) error {
	for _, entry := range kernel.built {
		if err := entry.role.Start(ctx); err != nil {
			return errs.Combine(Error.New("start role %s: %w", entry.name, err), kernel.Stop(ctx))
		}
		kernel.mutex.Lock()
		kernel.running = append(kernel.running, entry)
		kernel.mutex.Unlock()
	}
	return nil
}

// Stop stops the running roles in reverse start order and returns the errors of all of them.
func (kernel *Kernel) Stop(ctx context.Context) error {
	kernel.mutex.Lock()
	running := kernel.running
	kernel.running = nil
	kernel.mutex.Unlock()
	var group errs.Group
	for _, entry := range slices.Backward(running) {
		if err := entry.role.Stop(ctx); err != nil {
			group.Add(Error.New("stop role %s: %w", entry.name, err))
		}
	}
	return group.Err()
}

// startOrder sorts the named plug-ins topologically by their start dependencies.
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
			return Error.New("role %s has a cyclic dependency", name)
		}
		plugin, known := registry[name]
		if !known {
			return Error.New("unknown role %q", name)
		}
		state[name] = "open"
		for _, dependency := range plugin.startAfter {
			if slices.Contains(names, dependency) {
				if err := visit(dependency); err != nil {
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
