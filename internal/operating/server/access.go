package server

import (
	"context"
	"strings"

	goa "goa.design/goa/v3/pkg"

	"github.com/crocusplank/crocusplank/internal/operating/authenticator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// auditTextLimit bounds what a request can put into the audit trail: names in a path or a body have no
// bound of their own, and refused requests must not fill the disk.
const auditTextLimit = 200

type identityKey struct{}

// authenticate finds out who sends a request. Without tokens everyone is an operator.
func (server *Server) authenticate(ctx context.Context, header string) (context.Context, *failure) {
	if server.parts.Tokens == nil {
		return context.WithValue(ctx, identityKey{}, authenticator.NewIdentity("anyone", authenticator.RoleOperator, "")), nil
	}
	identity, ok := server.parts.Tokens.Identify(strings.TrimSpace(strings.TrimPrefix(header, "Bearer")))
	if !ok {
		server.auditRefusal("unknown", methodOf(ctx), "the token is missing or wrong")
		return ctx, &failure{Name: "unauthorized", Message: "the token is missing or wrong", Next: "pass the token's file with --token-file"}
	}
	ctx = context.WithValue(ctx, identityKey{}, identity)
	if !identity.MayUseAPI() {
		return ctx, server.forbid(ctx, methodOf(ctx), "a token of the platform is for endpoints and workers only")
	}
	return ctx, nil
}

// methodOf returns the service and the method of a request, for the audit trail.
func methodOf(ctx context.Context) string {
	service, _ := ctx.Value(goa.ServiceKey).(string)
	method, _ := ctx.Value(goa.MethodKey).(string)
	return service + " " + method
}

func identityOf(ctx context.Context) authenticator.Identity {
	identity, _ := ctx.Value(identityKey{}).(authenticator.Identity)
	return identity
}

// requireOperator refuses requests of teams and readers that would change the system.
func (server *Server) requireOperator(ctx context.Context, action string) *failure {
	if identityOf(ctx).MayChange() {
		return nil
	}
	return server.forbid(ctx, action, "only an operator may do this")
}

// requireTeam refuses requests for the jobs of a team to which the sender does not belong.
func (server *Server) requireTeam(ctx context.Context, action string, team scheduler.TeamName) *failure {
	if identityOf(ctx).MaySubmitFor(team) {
		return nil
	}
	return server.forbid(ctx, action, "the token does not belong to team "+string(team))
}

func (server *Server) forbid(ctx context.Context, action, reason string) *failure {
	server.auditRefusal(identityOf(ctx).Name(), action, reason)
	return &failure{Name: "forbidden", Message: reason, Next: "use a token with the right to do this"}
}

// auditRefusal records a refused request. A trail that cannot be written must not turn a refusal into
// an answer, so its failure is only logged.
func (server *Server) auditRefusal(who, action, reason string) {
	server.log.Warn().Str("event", "apiRefused").Str("who", who).Str("action", action).Msg(reason)
	record := scheduler.AuditRecord{Who: who, Action: clip(action), Outcome: scheduler.AuditRefused, Detail: reason}
	if err := server.record(record); err != nil {
		server.log.Error().Str("event", "auditFailed").Err(err).Msg("refusal not recorded")
	}
}

func (server *Server) record(record scheduler.AuditRecord) error {
	switch {
	case server.parts.RecordRefusal != nil:
		return server.parts.RecordRefusal(record)
	case server.parts.AuditTrail != nil:
		_, err := server.parts.AuditTrail.Append(record)
		return Error.Wrap(err)
	default:
		return Error.New("VM %s keeps no audit trail", server.parts.VM)
	}
}

// clip shortens a text to auditTextLimit bytes of valid UTF-8.
func clip(text string) string {
	if len(text) <= auditTextLimit {
		return text
	}
	return strings.ToValidUTF8(text[:auditTextLimit], "") + "…"
}
