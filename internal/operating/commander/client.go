package commander

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"

	"github.com/crocusplank/crocusplank/gen/audit"
	"github.com/crocusplank/crocusplank/gen/configuration"
	auditclient "github.com/crocusplank/crocusplank/gen/http/audit/client"
	configurationclient "github.com/crocusplank/crocusplank/gen/http/configuration/client"
	jobsclient "github.com/crocusplank/crocusplank/gen/http/jobs/client"
	replicasclient "github.com/crocusplank/crocusplank/gen/http/replicas/client"
	stateclient "github.com/crocusplank/crocusplank/gen/http/state/client"
	"github.com/crocusplank/crocusplank/gen/jobs"
	"github.com/crocusplank/crocusplank/gen/replicas"
	"github.com/crocusplank/crocusplank/gen/state"
)

// apiClients holds the API clients of one deployment.
type apiClients struct {
	token         *string
	jobs          *jobs.Client
	configuration *configuration.Client
	state         *state.Client
	audit         *audit.Client
	replicas      *replicas.Client
}

// newAPIClients returns API clients for the servers given by the flags or by the context.
func (commander *Commander) newAPIClients() (*apiClients, error) {
	target, err := commander.target()
	if err != nil {
		return nil, err
	}
	clients := &apiClients{}
	if target.TokenFile != "" {
		token, err := readToken(target.TokenFile)
		if err != nil {
			return nil, err
		}
		clients.token = &token
	}
	// The time limit is divided among the servers, so that one that accepts connections and never responds
	// leaves time to try the others.
	transport := &http.Transport{ResponseHeaderTimeout: commander.timeout / time.Duration(len(target.Servers))}
	scheme := "http"
	if target.CAFile != "" {
		scheme = "https"
		if transport.TLSClientConfig, err = newTLSConfig(target.CAFile); err != nil {
			return nil, err
		}
	}
	doer := &failoverDoer{client: &http.Client{Transport: transport}, servers: target.Servers}
	encoder, decoder := goahttp.RequestEncoder, goahttp.ResponseDecoder
	const host = "entry-vm"
	job := jobsclient.NewClient(scheme, host, doer, encoder, decoder, false)
	clients.jobs = jobs.NewClient(job.Submit(), job.Show(), job.List(), job.Cancel(), job.Evict())
	config := configurationclient.NewClient(scheme, host, doer, encoder, decoder, false)
	clients.configuration = configuration.NewClient(config.Show(), config.Diff(), config.Apply(), config.RollForward(), config.History())
	states := stateclient.NewClient(scheme, host, doer, encoder, decoder, false)
	clients.state = state.NewClient(states.VM(), states.Workers(), states.Drain(), states.Endpoints(), states.Evictions(), states.Promises())
	trail := auditclient.NewClient(scheme, host, doer, encoder, decoder, false)
	clients.audit = audit.NewClient(trail.List(), trail.Verify())
	replica := replicasclient.NewClient(scheme, host, doer, encoder, decoder, false)
	clients.replicas = replicas.NewClient(replica.Change())
	return clients, nil
}

// newTLSConfig returns a TLS configuration that trusts only the CA certificates in caFile.
func newTLSConfig(caFile string) (*tls.Config, error) {
	data, err := os.ReadFile(caFile) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, newUsageError("read CA certificate: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, newUsageError("%s holds no certificate", caFile)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

func readToken(path string) (string, error) {
	data, err := os.ReadFile(path) //nolint:gosec // The operator names the file.
	if err != nil {
		return "", newUsageError("read token: %v", err)
	}
	return "Bearer " + strings.TrimSpace(string(data)), nil
}

// errorBodyLimit limits the number of bytes read from the body of an error response.
const errorBodyLimit = 64 << 10

type idempotentKey struct{}

// withIdempotent marks the requests of ctx as idempotent, so that they may be retried: they carry an ID by
// which the server detects duplicates, or have the same effect when they run twice.
func withIdempotent(ctx context.Context) context.Context {
	return context.WithValue(ctx, idempotentKey{}, true)
}

// failoverDoer tries the servers in order until one gives a final response. A request that may have run is
// retried on the next server only if it is idempotent.
type failoverDoer struct {
	client  *http.Client
	servers []string
}

// Do implements goahttp.Doer.
func (failoverDoer *failoverDoer) Do(request *http.Request) (*http.Response, error) {
	body, err := bufferBody(request)
	if err != nil {
		return nil, err
	}
	isRead := request.Method == http.MethodGet
	isIdempotent := isRead || request.Context().Value(idempotentKey{}) != nil
	var last error
	mayHaveRun := false
	for _, server := range failoverDoer.servers {
		response, err := failoverDoer.client.Do(cloneForServer(request, server, body))
		switch {
		case err != nil:
			last = err
			mayHaveRun = mayHaveRun || !isRead && !isDialError(err)
		case isFinal(response, isIdempotent):
			return response, nil
		default:
			last = errorFromBody(response)
			mayHaveRun = mayHaveRun || !isRead && response.StatusCode == http.StatusGatewayTimeout
		}
		if mayHaveRun && !isIdempotent {
			break
		}
	}
	// If the outcome on one server is unknown, a rejection by another does not show that the request has not run.
	return nil, &noResponseError{outcomeUnknown: mayHaveRun, cause: last}
}

// isFinal reports whether the response is returned without trying another server. Another
// server is tried when this one rejected the request without running it, or when it does not know the outcome of
// an idempotent request.
func isFinal(response *http.Response, isIdempotent bool) bool {
	switch response.StatusCode {
	case http.StatusServiceUnavailable:
		return false
	case http.StatusGatewayTimeout:
		return !isIdempotent
	default:
		return true
	}
}

// errorFromBody reads the message of an error response and closes its body.
func errorFromBody(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	var decoded failure
	if err := json.NewDecoder(io.LimitReader(response.Body, errorBodyLimit)).Decode(&decoded); err != nil || decoded.Message == "" {
		return Error.New("a server responded with status %d", response.StatusCode)
	}
	return errors.New(decoded.Message)
}

func bufferBody(request *http.Request) ([]byte, error) {
	if request.Body == nil {
		return nil, nil
	}
	defer func() { _ = request.Body.Close() }()
	return io.ReadAll(request.Body)
}

func cloneForServer(request *http.Request, server string, body []byte) *http.Request {
	copied := request.Clone(request.Context())
	copied.URL.Host = server
	copied.Host = server
	if body != nil {
		copied.Body = io.NopCloser(bytes.NewReader(body))
		copied.ContentLength = int64(len(body))
	}
	return copied
}

// isDialError reports whether the connection could not be established, in which case nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
