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

// connection holds the API clients of one deployment.
type connection struct {
	token         *string
	jobs          *jobs.Client
	configuration *configuration.Client
	state         *state.Client
	audit         *audit.Client
	replicas      *replicas.Client
}

// connect returns the API clients for the servers of the flags or of the context.
func (commander *Commander) connect() (*connection, error) {
	target, err := commander.target()
	if err != nil {
		return nil, err
	}
	connected := &connection{}
	if target.TokenFile != "" {
		token, err := readToken(target.TokenFile)
		if err != nil {
			return nil, err
		}
		connected.token = &token
	}
	// A server that accepts connections and never answers must leave time to ask the others.
	transport := &http.Transport{ResponseHeaderTimeout: commander.timeout / time.Duration(len(target.Servers))}
	scheme := "http"
	if target.CAFile != "" {
		scheme = "https"
		if transport.TLSClientConfig, err = trustOnly(target.CAFile); err != nil {
			return nil, err
		}
	}
	doer := &failoverDoer{client: &http.Client{Transport: transport}, servers: target.Servers}
	encoder, decoder := goahttp.RequestEncoder, goahttp.ResponseDecoder
	const host = "entry-vm"
	job := jobsclient.NewClient(scheme, host, doer, encoder, decoder, false)
	connected.jobs = jobs.NewClient(job.Submit(), job.Show(), job.List(), job.Cancel(), job.Evict())
	config := configurationclient.NewClient(scheme, host, doer, encoder, decoder, false)
	connected.configuration = configuration.NewClient(config.Show(), config.Diff(), config.Apply(), config.RollForward(), config.History())
	states := stateclient.NewClient(scheme, host, doer, encoder, decoder, false)
	connected.state = state.NewClient(states.VM(), states.Workers(), states.Drain(), states.Endpoints(), states.Evictions(), states.Promises())
	trail := auditclient.NewClient(scheme, host, doer, encoder, decoder, false)
	connected.audit = audit.NewClient(trail.List(), trail.Verify())
	replica := replicasclient.NewClient(scheme, host, doer, encoder, decoder, false)
	connected.replicas = replicas.NewClient(replica.Change())
	return connected, nil
}

// trustOnly returns a TLS configuration that accepts servers whose certificate the CA has signed.
func trustOnly(caFile string) (*tls.Config, error) {
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

// refusalLimit bounds what is read of a refusal.
const refusalLimit = 64 << 10

type resendKey struct{}

// withResend marks the requests of ctx as safe to send again: they carry an ID by which the server
// recognises a resend, or have the same effect when they run twice.
func withResend(ctx context.Context) context.Context {
	return context.WithValue(ctx, resendKey{}, true)
}

// failoverDoer sends a request to the first server that answers. A request that may have run is sent
// again only if its context allows that.
type failoverDoer struct {
	client  *http.Client
	servers []string
}

// Do implements the Doer of the generated clients.
func (failoverDoer *failoverDoer) Do(request *http.Request) (*http.Response, error) {
	body, err := bufferBody(request)
	if err != nil {
		return nil, err
	}
	isRead := request.Method == http.MethodGet
	resend := isRead || request.Context().Value(resendKey{}) != nil
	var last error
	mayHaveRun := false
	for _, server := range failoverDoer.servers {
		response, err := failoverDoer.client.Do(readdress(request, server, body))
		switch {
		case err != nil:
			last = err
			mayHaveRun = mayHaveRun || !isRead && !isDialError(err)
		case isFinal(response, resend):
			return response, nil
		default:
			last = refusalIn(response)
			mayHaveRun = mayHaveRun || !isRead && response.StatusCode == http.StatusGatewayTimeout
		}
		if mayHaveRun && !resend {
			break
		}
	}
	// What one server does not know, the refusal of another cannot settle.
	return nil, &noAnswerError{sent: mayHaveRun, cause: last}
}

// isFinal reports whether no other server need be asked. Another one may do better when this one refused
// without running the request, or does not know the outcome of one that may be sent again.
func isFinal(response *http.Response, resend bool) bool {
	switch response.StatusCode {
	case http.StatusServiceUnavailable:
		return false
	case http.StatusGatewayTimeout:
		return !resend
	default:
		return true
	}
}

// refusalIn reads the message of a refusal and closes its body.
func refusalIn(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	var refusal failure
	if err := json.NewDecoder(io.LimitReader(response.Body, refusalLimit)).Decode(&refusal); err != nil || refusal.Message == "" {
		return Error.New("a server answered with status %d", response.StatusCode)
	}
	return errors.New(refusal.Message)
}

func bufferBody(request *http.Request) ([]byte, error) {
	if request.Body == nil {
		return nil, nil
	}
	defer func() { _ = request.Body.Close() }()
	return io.ReadAll(request.Body)
}

func readdress(request *http.Request, server string, body []byte) *http.Request {
	copied := request.Clone(request.Context())
	copied.URL.Host = server
	copied.Host = server
	if body != nil {
		copied.Body = io.NopCloser(bytes.NewReader(body))
		copied.ContentLength = int64(len(body))
	}
	return copied
}

// isDialError reports whether the connection was never established, so that nothing was sent.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
