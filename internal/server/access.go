package server

import (
	"context"
	"strings"

	"github.com/crocusplank/crocusplank/internal/authenticator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

type identityKey struct{}

// authenticate finds out who sends a request. Without tokens everyone is an operator.
func (server *Server) authenticate(ctx context.Context, header string) (context.Context, *failure) {
	if server.parts.Tokens == nil {
		return context.WithValue(ctx, identityKey{}, authenticator.NewIdentity("anyone", authenticator.RoleOperator, "")), nil
	}
	identity, ok := server.parts.Tokens.Identify(strings.TrimSpace(strings.TrimPrefix(header, "Bearer")))
	if !ok {
		server.auditRefusal("unknown", "authenticate", "the token is missing or wrong")
		return ctx, &failure{Name: "unauthorized", Message: "the token is missing or wrong", Next: "pass the token's file with --token-file"}
	}
	return context.WithValue(ctx, identityKey{}, identity), nil
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
	server.log.Warn().Str("event", "api.refused").Str("who", who).Str("action", action).Msg(reason)
	if server.parts.Trail == nil {
		return
	}
	record := scheduler.AuditRecord{Who: who, Action: action, Outcome: scheduler.AuditRefused, Detail: reason}
	if _, err := server.parts.Trail.Append(record); err != nil {
		server.log.Error().Str("event", "audit.failed").Err(err).Msg("refusal not recorded")
	}
}
