package composer

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/operating/kernel"
	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Names under which services are published to the kernel.
const (
	serviceEnvironment = "environment"
	serviceReplicas    = "replicas"
	serviceCoordinator = "coordinator"
	serviceGateway     = "gateway"
)

// environment is what the daemon gives to every role.
type environment struct {
	settings  *loader.Settings
	log       zerolog.Logger
	transport scheduler.Transport
	// life is new at each start of the process.
	life scheduler.Incarnation
	// callerMux takes the paths that workers and endpoints use on the callers' address.
	callerMux *http.ServeMux
	access    *access
	// inService is true while the VM may get new requests.
	inService atomic.Bool
}

// newLife returns an incarnation for this start. A VM without a disk cannot count its starts, so the
// wall clock does; if it has been set back, the VM is only admitted again once the clock has passed
// the earlier start.
func newLife() scheduler.Incarnation { return scheduler.Incarnation(time.Now().UnixNano()) }

func environmentOf(host kernel.ServiceRegistry) *environment {
	environment, _ := host.Lookup(serviceEnvironment).(*environment)
	return environment
}

// homeGroup returns the name of the group of the VM's own data centre.
func (environment *environment) homeGroup() scheduler.GroupName {
	return scheduler.GroupName(environment.settings.DataCentre)
}
