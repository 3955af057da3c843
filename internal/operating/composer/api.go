package composer

import (
	"net/http"
	"net/http/pprof"

	"github.com/crocusplank/crocusplank/internal/operating/server"
	"github.com/crocusplank/crocusplank/internal/operating/versioner"
	"github.com/crocusplank/crocusplank/internal/state/configurator"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// apiHandler returns the HTTP handler of the operator API.
func (daemon *Daemon) apiHandler() http.Handler {
	settings := daemon.environment.settings
	dependencies := server.Dependencies{
		VM: settings.VM, DataCentre: settings.DataCentre, Version: versioner.Version(),
		PeerConnections: daemon.connected, Ready: daemon.ready,
		Groups: map[scheduler.GroupName]*replicator.Replicator{}, Tokens: daemon.environment.authorizer.tokens,
		RecordRefusal: daemon.environment.authorizer.record,
	}
	daemon.addReplicas(&dependencies)
	if schedulerRole, ok := daemon.kernel.Lookup(serviceScheduler).(*schedulerRole); ok {
		dependencies.Engine, dependencies.Evict = schedulerRole.engine, schedulerRole.evict
	}
	if daemon.gateway != nil {
		dependencies.Directory = daemon.gateway.registrar
	}
	handler := server.New(dependencies, daemon.environment.log).Handler()
	// Load balancers that only know the caller address run their health checks there.
	daemon.environment.callerMux.Handle("GET /healthz", withoutBody(handler))
	daemon.environment.callerMux.Handle("GET /readyz", withoutBody(handler))
	return handler
}

func (daemon *Daemon) addReplicas(dependencies *server.Dependencies) {
	replicas := lookupReplicas(daemon.kernel)
	if replicas == nil {
		return
	}
	dependencies.Jobs, dependencies.Local, dependencies.Global = replicas.jobs, replicas.local, replicas.global
	if replicas.auditRecorder != nil {
		dependencies.AuditTrail = replicas.auditRecorder.trail
	}
	for name, replica := range replicas.replicas {
		dependencies.Groups[name] = replica.replicator
	}
	if global := replicas.groupView(scheduler.GlobalGroup, machineConfiguration); global != nil {
		dependencies.Submitter = configurator.NewSubmitter(global, replicas.global)
	}
}

func (daemon *Daemon) connected() map[string]bool {
	connected := map[string]bool{}
	for _, vm := range daemon.environment.settings.VMs {
		if vm.Name != daemon.environment.settings.VM {
			connected[string(vm.Name)] = daemon.messenger.Connected(vm.Name)
		}
	}
	return connected
}

// metricsHandler serves the metrics and the pprof profiles of the Go runtime.
func (daemon *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", daemon.metrics.Handler())
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return withoutBody(mux)
}
