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
	// refusalInterval is how often a refusal of the same sender is recorded. Workers and endpoints
	// repeat their requests every second, so 860 workers with a wrong token would otherwise sync the
	// audit trail 860 times a second.
	refusalInterval = time.Minute
	// maxSenders bounds the senders that are remembered.
	maxSenders = 4096
	// recordTimeLimit bounds how long a refusal waits for the trail of another VM.
	recordTimeLimit = time.Second
	// kindAuditRecord carries a refusal from a VM without a disk to one that keeps a trail.
	kindAuditRecord scheduler.MessageKind = "auditRecord"
)

// access checks the tokens of endpoints and workers. It is safe for concurrent use.
type access struct {
	// tokens is nil when no file of tokens is set; everyone may then do everything.
	tokens *authenticator.Authenticator
	log    zerolog.Logger

	// trail is nil on a VM without a disk; keepers are then the VMs of its group that have one.
	trail     scheduler.AuditTrail
	transport scheduler.Transport
	vm        scheduler.VMName
	home      scheduler.GroupName
	keepers   []scheduler.VMName

	mutex    sync.Mutex
	recorded map[string]time.Time
}

func newAccess(settings *loader.Settings, log zerolog.Logger) (*access, error) {
	access := &access{log: log, recorded: map[string]time.Time{}}
	if settings.Tokens.APITokensFile == "" {
		log.Warn().Str("event", "apiOpen").Msg("no file of API tokens is set; everyone who reaches the API is an operator")
		return access, nil
	}
	tokens, err := authenticator.Open(settings.Tokens.APITokensFile)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	access.tokens = tokens
	return access, nil
}

// connect finds out where refusals are recorded. It is called once, before any request.
func (access *access) connect(environment *environment, replicas *replicaRole) {
	settings := environment.settings
	access.transport, access.vm, access.home = environment.transport, settings.VM, environment.homeGroup()
	if replicas != nil && replicas.recorder != nil {
		access.trail = replicas.recorder.trail
		for _, group := range settings.OwnGroups() {
			access.transport.Handle(group.Name, kindAuditRecord, access.handleRecord)
		}
		return
	}
	for _, group := range settings.OwnGroups() {
		if group.Name != access.home {
			continue
		}
		for _, member := range group.Members {
			if member.Disk && member.VM != settings.VM {
				access.keepers = append(access.keepers, member.VM)
			}
		}
	}
}

// record stores the record of a refusal in the trail of this VM, or of the first VM with a disk that
// takes it.
func (access *access) record(record scheduler.AuditRecord) error {
	if access.trail != nil {
		_, err := access.trail.Append(record)
		return Error.Wrap(err)
	}
	record.Time = time.Now()
	record.Detail += ", by VM " + string(access.vm)
	body, err := json.Marshal(record)
	if err != nil {
		return Error.Wrap(err)
	}
	err = Error.New("no VM of group %s has a disk", access.home)
	for _, keeper := range access.keepers {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeLimit)
		_, err = access.transport.Call(ctx, keeper, access.home, kindAuditRecord, body)
		cancel()
		if err == nil {
			return nil
		}
	}
	return Error.Wrap(err)
}

func (access *access) handleRecord(_ context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
	var record scheduler.AuditRecord
	if err := json.Unmarshal(body, &record); err != nil {
		return nil, scheduler.ErrNotRun.Wrap(Error.Wrap(err))
	}
	if record.Outcome != scheduler.AuditRefused {
		return nil, scheduler.ErrNotRun.Wrap(Error.New("only refusals are taken from other VMs"))
	}
	_, err := access.trail.Append(record)
	return nil, Error.Wrap(err)
}

// guard lets requests pass that carry a token of the role platform.
func (access *access) guard(action string, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if access.tokens == nil {
			handler.ServeHTTP(writer, request)
			return
		}
		identity, ok := access.tokens.Identify(tokenOf(request))
		switch {
		case !ok:
			access.refuse("unknown", action, "the token is missing or wrong", request.RemoteAddr)
			writer.Header().Set("WWW-Authenticate", "Bearer")
			http.Error(writer, "the token is missing or wrong", http.StatusUnauthorized)
		case !identity.MayServe():
			access.refuse(identity.Name(), action, "the token does not have the role platform", request.RemoteAddr)
			http.Error(writer, "the token does not have the role platform", http.StatusForbidden)
		default:
			handler.ServeHTTP(writer, request)
		}
	})
}

func tokenOf(request *http.Request) string {
	scheme, token, _ := strings.Cut(request.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// refuse records a refusal, at most one a minute of the same kind and sender. A trail that cannot be
// written must not turn a refusal into an answer, so its failure is only logged.
func (access *access) refuse(who, action, reason, remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		host = remote
	}
	if !access.isDue(who + "|" + action + "|" + host) {
		return
	}
	access.log.Warn().Str("event", "platformRefused").Str("who", who).Str("action", action).Str("from", host).Msg(reason)
	record := scheduler.AuditRecord{Who: who, Action: action, Outcome: scheduler.AuditRefused, Detail: reason + ", from " + host}
	if err := access.record(record); err != nil {
		access.log.Error().Str("event", "auditFailed").Err(err).Msg("refusal not recorded")
	}
}

func (access *access) isDue(key string) bool {
	access.mutex.Lock()
	defer access.mutex.Unlock()
	now := time.Now()
	if last, found := access.recorded[key]; found && now.Sub(last) < refusalInterval {
		return false
	}
	if len(access.recorded) >= maxSenders {
		clear(access.recorded)
	}
	access.recorded[key] = now
	return true
}
