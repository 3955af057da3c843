package server

import (
	"context"
	"time"

	"goa.design/goa/v3/security"

	"github.com/crocusplank/crocusplank/gen/audit"
)

// auditService implements the generated audit service.
type auditService struct{ *Server }

func auditError(failure *failure) error {
	if failure == nil {
		return nil
	}
	return (*audit.APIError)(failure)
}

// APIKeyAuth implements the token check.
func (auditService *auditService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	ctx, failure := auditService.authenticate(ctx, key)
	return ctx, auditError(failure)
}

// available refuses requests on a VM without a disk, which keeps no trail, and of teams, which would
// see other teams' work.
func (auditService *auditService) available(ctx context.Context) *failure {
	if identityOf(ctx).Team() != "" {
		return auditService.forbid(ctx, "read the audit trail", "a team may not read the audit trail")
	}
	if auditService.parts.AuditTrail == nil {
		return notRun("ask an entry VM that has a disk", "VM %s has no disk and keeps no audit trail", auditService.parts.VM)
	}
	return nil
}

// List implements the list of records.
func (auditService *auditService) List(ctx context.Context, payload *audit.ListPayload) (*audit.ListResult, error) {
	if failure := auditService.available(ctx); failure != nil {
		return nil, auditError(failure)
	}
	records, next, err := auditService.parts.AuditTrail.Read(payload.From, payload.Limit)
	if err != nil {
		return nil, auditError(notRun("run \"crocusplank audit verify\"", "the audit trail cannot be read: %v", err))
	}
	result := &audit.ListResult{Records: []*audit.AuditRecord{}, Next: next}
	for _, record := range records {
		base := record.Base
		result.Records = append(result.Records, &audit.AuditRecord{
			Index: record.Index, Time: record.Time.UTC().Format(time.RFC3339Nano), Who: record.Who, Action: record.Action,
			Base: &base, ChangeID: textPointer(record.ChangeID), Outcome: string(record.Outcome), Detail: textPointer(record.Detail),
		})
	}
	return result, nil
}

// Verify implements the check of the hash chain.
func (auditService *auditService) Verify(ctx context.Context, _ *audit.VerifyPayload) (*audit.VerifyResult, error) {
	if failure := auditService.available(ctx); failure != nil {
		return nil, auditError(failure)
	}
	last, _ := auditService.parts.AuditTrail.Head()
	result := &audit.VerifyResult{Records: int(last)}
	if err := auditService.parts.AuditTrail.Verify(); err != nil {
		result.Fault = textPointer(err.Error())
	}
	return result, nil
}
