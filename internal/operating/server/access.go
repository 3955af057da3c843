package server

import (
	"context"
	"strings"

	goa "goa.design/goa/v3/pkg"

	"github.com/crocusplank/crocusplank/internal/operating/authenticator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// auditTextLimit limits the text from a request that is written to the audit trail, in bytes. Names in a path or
// body have no length limit of their own, and rejected requests must not fill the disk.
const auditTextLimit = 200

type identityKey struct{}

// authenticate adds the identity of the request's sender to the context. If no tokens are configured, every sender
// has the role operator.
func (server *Server) authenticate(ctx context.Context, header string) (context.Context, *failure) {
	if server.dependencies.Tokens == nil {
		return context.WithValue(ctx, identityKey{}, authenticator.NewIdentity("anyone", authenticator.RoleOperator, "")), nil
	}
	identity, ok := server.dependencies.Tokens.Identify(strings.TrimSpace(strings.TrimPrefix(header, "Bearer")))
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

// methodOf returns the service and the method that a request calls, for the audit trail.
func methodOf(ctx context.Context) string {
	service, _ := ctx.Value(goa.ServiceKey).(string)
	method, _ := ctx.Value(goa.MethodKey).(string)
	return service + " " + method
}

func identityOf(ctx context.Context) authenticator.Identity {
	identity, _ := ctx.Value(identityKey{}).(authenticator.Identity)
	return identity
}

// requireOperator rejects changes by senders without the role operator.
func (server *Server) requireOperator(ctx context.Context, action string) *failure {
	if identityOf(ctx).MayChange() {
		return nil
	}
	return server.forbid(ctx, action, "only an operator may do this")
}

// requireTeam rejects requests of senders that may not submit or cancel jobs of the team.
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

// auditRefusal logs a rejected request and records it in the audit trail. An error from the audit trail is only
// logged, because the request must be rejected in any case.
func (server *Server) auditRefusal(who, action, reason string) {
	server.log.Warn().Str("event", "apiRefused").Str("who", who).Str("action", action).Msg(reason)
	record := scheduler.AuditRecord{Who: who, Action: truncate(action), Outcome: scheduler.AuditRefused, Detail: reason}
	if err := server.record(record); err != nil {
		server.log.Error().Str("event", "auditFailed").Err(err).Msg("rejected request not recorded in the audit trail")
	}
}

func (server *Server) record(record scheduler.AuditRecord) error {
	switch {
	case server.dependencies.RecordRefusal != nil:
		return server.dependencies.RecordRefusal(record)
	case server.dependencies.AuditTrail != nil:
		_, err := server.dependencies.AuditTrail.Append(record)
		return Error.Wrap(err)
	default:
		return Error.New("VM %s keeps no audit trail", server.dependencies.VM)
	}
}

// truncate shortens text to auditTextLimit bytes of valid UTF-8, followed by an ellipsis.
func truncate(text string) string {
	if len(text) <= auditTextLimit {
		return text
	}
	return strings.ToValidUTF8(text[:auditTextLimit], "") + "…"
}
