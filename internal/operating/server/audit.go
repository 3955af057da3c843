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

// APIKeyAuth checks the token of a request and adds the sender to the context.
func (auditService *auditService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	ctx, failure := auditService.authenticate(ctx, key)
	return ctx, auditError(failure)
}

// checkAccess rejects requests on a VM without a disk, which keeps no audit trail, and requests of teams, which
// would see the actions of other teams.
func (auditService *auditService) checkAccess(ctx context.Context) *failure {
	if identityOf(ctx).Team() != "" {
		return auditService.forbid(ctx, "read the audit trail", "a team may not read the audit trail")
	}
	if auditService.dependencies.AuditTrail == nil {
		return notRun("ask an entry VM that has a disk", "VM %s has no disk and keeps no audit trail", auditService.dependencies.VM)
	}
	return nil
}

// List returns a page of audit records.
func (auditService *auditService) List(ctx context.Context, payload *audit.ListPayload) (*audit.ListResult, error) {
	if failure := auditService.checkAccess(ctx); failure != nil {
		return nil, auditError(failure)
	}
	records, next, err := auditService.dependencies.AuditTrail.Read(payload.From, payload.Limit)
	if err != nil {
		return nil, auditError(notRun("run \"crocusplank audit verify\"", "the audit trail cannot be read: %v", err))
	}
	result := &audit.ListResult{Records: []*audit.AuditRecord{}, Next: next}
	for _, record := range records {
		base := record.Base
		result.Records = append(result.Records, &audit.AuditRecord{
			Index: record.Index, Time: record.Time.UTC().Format(time.RFC3339Nano), Who: record.Who, Action: record.Action,
			Base: &base, ChangeID: optionalString(record.ChangeID), Outcome: string(record.Outcome),
			Detail: optionalString(record.Detail),
		})
	}
	return result, nil
}

// Verify checks the hash chain of the audit trail.
func (auditService *auditService) Verify(ctx context.Context, _ *audit.VerifyPayload) (*audit.VerifyResult, error) {
	if failure := auditService.checkAccess(ctx); failure != nil {
		return nil, auditError(failure)
	}
	last, _ := auditService.dependencies.AuditTrail.Head()
	result := &audit.VerifyResult{Records: int(last)}
	if err := auditService.dependencies.AuditTrail.Verify(); err != nil {
		result.Fault = optionalString(err.Error())
	}
	return result, nil
}
