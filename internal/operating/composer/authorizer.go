package composer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/internal/operating/authenticator"
	"github.com/crocusplank/crocusplank/internal/operating/loader"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// refusalRecordInterval rate-limits audit records of refusals with the same identity, action and host. Workers
	// and endpoints retry every second, so 860 workers with an invalid token would otherwise sync the audit trail 860
	// times per second.
	refusalRecordInterval = time.Minute
	// maxTrackedSenders bounds the memory of the rate limiter. The table is cleared when it is full.
	maxTrackedSenders = 4096
	// auditCallTimeout limits each call that appends a refusal to the audit trail of another VM. The response to the
	// refused request waits for it.
	auditCallTimeout = time.Second
	// kindAuditRecord sends a refusal from a VM without a disk to a VM that stores an audit trail.
	kindAuditRecord scheduler.MessageKind = "auditRecord"
)

// authorizer verifies the bearer tokens of endpoints and workers. It is safe for concurrent use.
type authorizer struct {
	// tokens is nil if no API token file is configured. All requests are then allowed.
	tokens *authenticator.Authenticator
	log    zerolog.Logger

	// trail is nil on a VM without a disk. Refusals are then sent to auditVMs, the members of the data centre's group
	// that have a disk.
	trail      scheduler.AuditTrail
	transport  scheduler.Transport
	vm         scheduler.VMName
	auditGroup scheduler.GroupName
	auditVMs   []scheduler.VMName

	mutex        sync.Mutex
	lastRecorded map[string]time.Time
}

func newAuthorizer(settings *loader.Settings, log zerolog.Logger) (*authorizer, error) {
	authorizer := &authorizer{log: log, lastRecorded: map[string]time.Time{}}
	if settings.Tokens.APITokensFile == "" {
		log.Warn().Str("event", "apiOpen").
			Msg("no API token file is configured; every client that can reach the API has the role operator")
		return authorizer, nil
	}
	tokens, err := authenticator.Open(settings.Tokens.APITokensFile)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	authorizer.tokens = tokens
	return authorizer, nil
}

// configureAuditTrail selects the local audit trail, or the VMs that store one if this VM has no disk. It must be
// called once, before the first request is served.
func (authorizer *authorizer) configureAuditTrail(environment *environment, replicas *replicaRole) {
	settings := environment.settings
	authorizer.transport, authorizer.vm, authorizer.auditGroup =
		environment.transport, settings.VM, environment.localGroup()
	if replicas != nil && replicas.auditRecorder != nil {
		authorizer.trail = replicas.auditRecorder.trail
		for _, group := range settings.OwnGroups() {
			authorizer.transport.Handle(group.Name, kindAuditRecord, authorizer.handleAuditRecord)
		}
		return
	}
	for _, group := range settings.OwnGroups() {
		if group.Name != authorizer.auditGroup {
			continue
		}
		for _, member := range group.Members {
			if member.Disk && member.VM != settings.VM {
				authorizer.auditVMs = append(authorizer.auditVMs, member.VM)
			}
		}
	}
}

// record appends a refusal to the local audit trail. On a VM without a disk it tries auditVMs in order until one
// accepts the record.
func (authorizer *authorizer) record(record scheduler.AuditRecord) error {
	if authorizer.trail != nil {
		_, err := authorizer.trail.Append(record)
		return Error.Wrap(err)
	}
	record.Time = time.Now()
	record.Detail += ", by VM " + string(authorizer.vm)
	body, err := json.Marshal(record)
	if err != nil {
		return Error.Wrap(err)
	}
	err = Error.New("no VM of group %s has a disk", authorizer.auditGroup)
	for _, auditVM := range authorizer.auditVMs {
		ctx, cancel := context.WithTimeout(context.Background(), auditCallTimeout)
		_, err = authorizer.transport.Call(ctx, auditVM, authorizer.auditGroup, kindAuditRecord, body)
		cancel()
		if err == nil {
			return nil
		}
	}
	return Error.Wrap(err)
}

func (authorizer *authorizer) handleAuditRecord(_ context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
	var record scheduler.AuditRecord
	if err := json.Unmarshal(body, &record); err != nil {
		return nil, scheduler.ErrNotRun.Wrap(Error.Wrap(err))
	}
	if record.Outcome != scheduler.AuditRefused {
		return nil, scheduler.ErrNotRun.Wrap(Error.New("only refusals are accepted from other VMs"))
	}
	_, err := authorizer.trail.Append(record)
	return nil, Error.Wrap(err)
}

// requirePlatformToken wraps a handler and rejects requests without a token that has the role platform.
func (authorizer *authorizer) requirePlatformToken(action string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if authorizer.tokens == nil {
			next.ServeHTTP(writer, request)
			return
		}
		identity, ok := authorizer.tokens.Identify(bearerToken(request))
		switch {
		case !ok:
			authorizer.recordRefusal("unknown", action, "the token is missing or wrong", request.RemoteAddr)
			writer.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(writer, "the token is missing or wrong", http.StatusUnauthorized)
		case !identity.MayServe():
			authorizer.recordRefusal(identity.Name(), action, "the token does not have the role platform", request.RemoteAddr)
			http.Error(writer, "the token does not have the role platform", http.StatusForbidden)
		default:
			next.ServeHTTP(writer, request)
		}
	})
}

func bearerToken(request *http.Request) string {
	scheme, token, _ := strings.Cut(request.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// recordRefusal logs a refusal and appends it to the audit trail, at most once per refusalRecordInterval for the same
// identity, action and host. A failure to write the trail is only logged, because the request must be refused in any
// case.
func (authorizer *authorizer) recordRefusal(who, action, reason, remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		host = remote
	}
	if !authorizer.shouldRecord(who + "|" + action + "|" + host) {
		return
	}
	authorizer.log.Warn().Str("event", "platformRefused").
		Str("who", who).Str("action", action).Str("from", host).Msg(reason)
	record := scheduler.AuditRecord{
		Who: who, Action: action, Outcome: scheduler.AuditRefused, Detail: reason + ", from " + host,
	}
	if err := authorizer.record(record); err != nil {
		authorizer.log.Error().Str("event", "auditFailed").Err(err).Msg("rejected request not recorded in the audit trail")
	}
}

func (authorizer *authorizer) shouldRecord(key string) bool {
	authorizer.mutex.Lock()
	defer authorizer.mutex.Unlock()
	now := time.Now()
	if last, found := authorizer.lastRecorded[key]; found && now.Sub(last) < refusalRecordInterval {
		return false
	}
	if len(authorizer.lastRecorded) >= maxTrackedSenders {
		clear(authorizer.lastRecorded)
	}
	authorizer.lastRecorded[key] = now
	return true
}
