// Package server implements the HTTP API for operators and teams on top of the generated transport code.
package server

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
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
	"github.com/crocusplank/crocusplank/internal/operating/acceptor"
	"github.com/crocusplank/crocusplank/internal/operating/authenticator"
	"github.com/crocusplank/crocusplank/internal/state/configurator"
	"github.com/crocusplank/crocusplank/internal/state/replicator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("server")

// RequestBodyLimit limits the size of a request body, in bytes. A configuration of 3,440 workers takes less than 1 MB.
const RequestBodyLimit = 8 << 20

// Dependencies holds the components of the daemon that the API reads and changes. Those of roles that the VM
// does not run are nil.
type Dependencies struct {
	VM         scheduler.VMName
	DataCentre scheduler.DataCentreName
	Version    string
	Jobs       *dispatcher.Machine
	Engine     *dispatcher.Engine
	// Evict evicts a task through the leader of the data centre's group, on whichever VM that is.
	Evict     func(ctx context.Context, task scheduler.TaskID, reason string) error
	Global    *configurator.GlobalMachine
	Local     *configurator.LocalMachine
	Submitter *configurator.Submitter
	Directory scheduler.Directory
	Groups    map[scheduler.GroupName]*replicator.Replicator
	// AuditTrail is nil on a VM without a disk.
	AuditTrail scheduler.AuditTrail
	// RecordRefusal stores the audit record of a rejected request. If it is nil, the record is appended to AuditTrail.
	RecordRefusal func(record scheduler.AuditRecord) error
	// PeerConnections returns for each peer whether the connection to it is established.
	PeerConnections func() map[string]bool
	Ready           func() (ready bool, reason string)
	// Tokens is nil if the API requires no authentication.
	Tokens *authenticator.Authenticator
}

// Server serves the API. It is safe for concurrent use.
type Server struct {
	dependencies Dependencies
	log          zerolog.Logger
}

// New returns a Server.
func New(dependencies Dependencies, log zerolog.Logger) *Server {
	return &Server{dependencies: dependencies, log: log}
}

// Handler returns the HTTP handler of the API.
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
	return limitRequestBody(mux)
}

// limitRequestBody reads the body before the handler decodes it, so that requests with unfinished bodies take no more memory
// than the listener allows.
func limitRequestBody(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := acceptor.ReadBody(request, RequestBodyLimit)
		if err != nil {
			writeBodyError(writer, err)
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		handler.ServeHTTP(writer, request)
	})
}

// writeBodyError writes the response to a request whose body could not be read, which had no effect.
func writeBodyError(writer http.ResponseWriter, err error) {
	status, body := http.StatusBadRequest, errorBody{
		Name: "invalid", Message: "cannot read the request body: " + err.Error(), Next: "send the whole request again",
	}
	if acceptor.ErrNoRoom.Has(err) {
		status, body.Name, body.Next = http.StatusServiceUnavailable, "notRun", "try again later, or ask another entry VM"
		writer.Header().Set("Retry-After", "2")
	}
	writer.Header().Set("Content-Type", "application/json")
	// The rest of the body is not worth reading.
	writer.Header().Set("Connection", "close")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body) // It fails only if the client has disconnected.
}

// formatError converts an error to the body of an error response. The error is either one of the API's own or a
// validation error from the generated code, such as a missing field.
func formatError(_ context.Context, err error) goahttp.Statuser {
	if failure := apiFailure(err); failure != nil {
		return &errorBody{
			Name: failure.Name, Message: failure.Message, Next: failure.Next, Faults: failure.Faults, Revision: failure.Revision,
		}
	}
	var named goa.GoaErrorNamer
	if errors.As(err, &named) && named.GoaErrorName() == "notReady" {
		return &errorBody{Name: "notReady", Message: err.Error(), Next: "wait, or use another entry VM"}
	}
	return &errorBody{Name: "invalid", Message: err.Error(), Next: "correct the request; docs/openapi.json describes it"}
}

// apiFailure returns the failure that a service's error was converted from, or nil for other errors.
func apiFailure(err error) *failure {
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

// errorBody is the body of an error response. It is a wire type.
type errorBody struct {
	Name     string   `json:"name"`
	Message  string   `json:"message"`
	Next     string   `json:"next"`
	Faults   []string `json:"faults,omitempty"`
	Revision *uint64  `json:"revision,omitempty"`
}

// StatusCode implements goahttp.Statuser for validation errors from the generated code. For the API's own errors the
// generated code sets the status itself.
func (*errorBody) StatusCode() int { return http.StatusBadRequest }
