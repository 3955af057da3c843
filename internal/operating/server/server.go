// Package server serves the operators' and teams' API over the generated transport code.
package server

import (
	"context"
	"errors"
	"net/http"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"github.com/crocusplank/crocusplank/gen/audit"
	"github.com/crocusplank/crocusplank/gen/configuration"
	"github.com/crocusplank/crocusplank/gen/health"
	auditserver "github.com/crocusplank/crocusplank/gen/http/audit/server"
	configurationserver "github.com/crocusplank/crocusplank/gen/http/configuration/server"
	healthserver "github.com/crocusplank/crocusplank/gen/http/health/server"
	jobsserver "github.com/crocusplank/crocusplank/gen/http/jobs/server"
	replicasserver "github.com/crocusplank/crocusplank/gen/http/replicas/server"
	stateserver "github.com/crocusplank/crocusplank/gen/http/state/server"
	"github.com/crocusplank/crocusplank/gen/jobs"
	"github.com/crocusplank/crocusplank/gen/replicas"
	"github.com/crocusplank/crocusplank/gen/state"
	"github.com/crocusplank/crocusplank/internal/jobs/dispatcher"
	"github.com/crocusplank/crocusplank/internal/operating/authenticator"
	"github.com/crocusplank/crocusplank/internal/state/configurator"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("server")

// bodyLimit bounds a request's body: a configuration of 3,440 workers has less than 1 MB.
const bodyLimit = 8 << 20

// Dependencies are the parts of the daemon that the API shows and changes. Fields of roles that the VM does
// not run are nil.
type Dependencies struct {
	VM         scheduler.VMName
	DataCentre scheduler.DataCentreName
	Version    string
	Jobs       *dispatcher.Machine
	Engine     *dispatcher.Engine
	// Evict evicts a task on whichever VM leads the data centre's group.
	Evict     func(ctx context.Context, task scheduler.TaskID, reason string) error
	Global    *configurator.Global
	Local     *configurator.Local
	Submitter *configurator.Submitter
	Directory scheduler.Directory
	Groups    map[scheduler.GroupName]*replicator.Replicator
	// AuditTrail is nil on a VM without a disk.
	AuditTrail scheduler.AuditTrail
	// RecordRefusal stores the record of a refusal, nil to append it to Trail.
	RecordRefusal func(record scheduler.AuditRecord) error
	// PeerConnections tells of each peer whether the connection to it is up.
	PeerConnections func() map[string]bool
	Ready     func() (ready bool, reason string)
	// Tokens is nil when the API is open to everyone who reaches it.
	Tokens *authenticator.Authenticator
}

// Server serves the API. It is safe for concurrent use.
type Server struct {
	parts Dependencies
	log   zerolog.Logger
}

// New returns a Server.
func New(parts Dependencies, log zerolog.Logger) *Server {
	return &Server{parts: parts, log: log}
}

// Handler returns the API's handler.
func (server *Server) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	decoder, encoder := goahttp.RequestDecoder, goahttp.ResponseEncoder
	failed := func(_ context.Context, _ http.ResponseWriter, err error) {
		server.log.Warn().Str("event", "apiResponseFailed").Err(err).Msg("response not sent")
	}
	jobsserver.Mount(mux, jobsserver.New(jobs.NewEndpoints(&jobService{server}), mux, decoder, encoder, failed, formatError))
	configurationserver.Mount(mux, configurationserver.New(configuration.NewEndpoints(&configurationService{server}), mux, decoder, encoder, failed, formatError))
	stateserver.Mount(mux, stateserver.New(state.NewEndpoints(&stateService{server}), mux, decoder, encoder, failed, formatError))
	auditserver.Mount(mux, auditserver.New(audit.NewEndpoints(&auditService{server}), mux, decoder, encoder, failed, formatError))
	replicasserver.Mount(mux, replicasserver.New(replicas.NewEndpoints(&replicaService{server}), mux, decoder, encoder, failed, formatError))
	healthserver.Mount(mux, healthserver.New(health.NewEndpoints(&healthService{server}), mux, decoder, encoder, failed, formatError))
	return limitBodies(mux)
}

func limitBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		request.Body = http.MaxBytesReader(writer, request.Body, bodyLimit)
		handler.ServeHTTP(writer, request)
	})
}

// formatError returns the body of an answer that reports an error: one of the API's own, or a fault that
// the generated code finds, such as a missing field.
func formatError(_ context.Context, err error) goahttp.Statuser {
	if own := ownFailure(err); own != nil {
		return &errorBody{Name: own.Name, Message: own.Message, Next: own.Next, Faults: own.Faults, Revision: own.Revision}
	}
	var named goa.GoaErrorNamer
	if errors.As(err, &named) && named.GoaErrorName() == "notReady" {
		return &errorBody{Name: "notReady", Message: err.Error(), Next: "wait, or use another entry VM"}
	}
	return &errorBody{Name: "invalid", Message: err.Error(), Next: "correct the request; docs/openapi.json describes it"}
}

// ownFailure returns the failure that a service's error was converted from, nil for other errors.
func ownFailure(err error) *failure {
	var ofJobs *jobs.APIError
	var ofConfiguration *configuration.APIError
	var ofState *state.APIError
	var ofAudit *audit.APIError
	var ofReplicas *replicas.APIError
	switch {
	case errors.As(err, &ofJobs):
		return (*failure)(ofJobs)
	case errors.As(err, &ofConfiguration):
		return (*failure)(ofConfiguration)
	case errors.As(err, &ofState):
		return (*failure)(ofState)
	case errors.As(err, &ofAudit):
		return (*failure)(ofAudit)
	case errors.As(err, &ofReplicas):
		return (*failure)(ofReplicas)
	default:
		return nil
	}
}

// errorBody is the body of an answer that reports an error. It is a wire type.
type errorBody struct {
	Name     string   `json:"name"`
	Message  string   `json:"message"`
	Next     string   `json:"next"`
	Faults   []string `json:"faults,omitempty"`
	Revision *uint64  `json:"revision,omitempty"`
}

// StatusCode implements goahttp.Statuser for faults that the generated code finds; it sets the status of
// the API's own errors itself.
func (*errorBody) StatusCode() int { return http.StatusBadRequest }
