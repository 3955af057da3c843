package composer

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/operating/acceptor"
	"github.com/crocusplank/crocusplank/internal/operating/kernel"
	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/internal/operating/supervisor"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Names of the services that roles publish in the service registry of the kernel.
const (
	serviceEnvironment = "environment"
	serviceReplicas    = "replicas"
	serviceScheduler   = "coordinator"
	serviceGateway     = "gateway"
)

// environment holds the dependencies that all roles share.
type environment struct {
	settings  *loader.Settings
	log       zerolog.Logger
	transport scheduler.Transport
	// processIncarnation is different for each start of the process.
	processIncarnation scheduler.Incarnation
	// callerMux routes the paths that workers and endpoints use on the caller address.
	callerMux  *http.ServeMux
	authorizer *authorizer
	// parts runs the parts of the roles that must not end before the process does.
	parts *supervisor.Supervisor
	scope tally.Scope
	// acceptors admit the connections of the listeners, by the name of the listener.
	acceptors map[string]*acceptor.Acceptor
	// inService is true while the VM accepts new requests.
	inService atomic.Bool
}

// newIncarnation returns the incarnation of this process, which must be higher than that of earlier processes. A VM
// without a disk cannot store a counter, so the wall clock is used. If the clock has been set back, the VM is
// readmitted only once the clock has passed the time of the earlier start.
func newIncarnation() scheduler.Incarnation { return scheduler.Incarnation(time.Now().UnixNano()) }

func lookupEnvironment(registry kernel.ServiceRegistry) *environment {
	environment, _ := registry.Lookup(serviceEnvironment).(*environment)
	return environment
}

// localGroup returns the name of the group of the VM's own data centre.
func (environment *environment) localGroup() scheduler.GroupName {
	return scheduler.GroupName(environment.settings.DataCentre)
}
