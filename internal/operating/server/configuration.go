package server

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"goa.design/goa/v3/security"

	"github.com/crocusplank/crocusplank/gen/configuration"
	"github.com/crocusplank/crocusplank/internal/state/configurator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// inForceLimit is how long an answer waits for an accepted revision to be in force here.
	inForceLimit = 5 * time.Second
	inForcePoll  = 20 * time.Millisecond
)

// awaitInForce waits until a revision is in force on this VM, its inventory included, and reports whether
// that happened in time.
func (server *Server) awaitInForce(ctx context.Context, revision scheduler.Revision) bool {
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	ticker := time.NewTicker(inForcePoll)
	defer ticker.Stop()
	for {
		inForce, _, ok := server.parts.Local.InForce()
		if ok && inForce >= revision && (server.parts.Jobs == nil || server.parts.Jobs.Revision() >= revision) {
			return true
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

// configurationService implements the generated configuration service.
type configurationService struct{ *Server }

func configurationError(failure *failure) error {
	if failure == nil {
		return nil
	}
	return (*configuration.APIError)(failure)
}

// APIKeyAuth implements the token check.
func (configurationService *configurationService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	ctx, failure := configurationService.authenticate(ctx, key)
	return ctx, configurationError(failure)
}

// Show implements the view of a revision.
func (configurationService *configurationService) Show(_ context.Context, payload *configuration.ShowPayload) (*configuration.Revision, error) {
	if payload.Revision != nil {
		return configurationService.earlier(scheduler.Revision(*payload.Revision))
	}
	if configurationService.parts.Local == nil {
		return nil, configurationError(notRun("ask another entry VM", "this VM does not run the role replica"))
	}
	revision, document, ok := configurationService.parts.Local.InForce()
	if !ok {
		return nil, configurationError(notRun("ask another entry VM", "this VM has not read the configuration in force yet"))
	}
	if document == nil {
		document = &scheduler.Configuration{}
	}
	return &configuration.Revision{Revision: uint64(revision), Document: document}, nil
}

func (configurationService *configurationService) earlier(revision scheduler.Revision) (*configuration.Revision, error) {
	if configurationService.parts.Global == nil {
		return nil, configurationError(notGlobal())
	}
	document, ok := configurationService.parts.Global.DocumentAt(revision)
	if !ok {
		return nil, configurationError(notFound("revision %d is not in the history", revision))
	}
	return &configuration.Revision{Revision: uint64(revision), Document: document}, nil
}

// notGlobal is the refusal of a VM that is no member of the configuration's group.
func notGlobal() *failure {
	return notRun("ask an entry VM that is a member of the group global", "this VM is not a member of the group global")
}

// readDocument decodes a document strictly, so that a misspelt key is refused and not ignored.
func readDocument(value any) (*scheduler.Configuration, *failure) {
	data, err := json.Marshal(value)
	if err != nil {
		return nil, invalid("send the document as JSON", "the document cannot be read: %v", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	document := &scheduler.Configuration{}
	if err := decoder.Decode(document); err != nil {
		return nil, invalid("correct the document; docs/configuration.md describes it", "the document cannot be read: %v", err)
	}
	return document, nil
}

// Diff implements the check of a change.
func (configurationService *configurationService) Diff(ctx context.Context, payload *configuration.DiffPayload) (*configuration.DiffResult, error) {
	document, failure := readDocument(payload.Change.Document)
	if failure != nil {
		return nil, configurationError(failure)
	}
	if configurationService.parts.Submitter == nil {
		return nil, configurationError(notGlobal())
	}
	result, differences, err := configurationService.parts.Submitter.DryRun(ctx, scheduler.Revision(payload.Change.Base), document)
	if err != nil {
		return nil, configurationError(outcomeOf(err))
	}
	if refusal := refusalOf(result); refusal != nil {
		return nil, configurationError(refusal)
	}
	shown := &configuration.DiffResult{Differences: []*configuration.Difference{}}
	for _, difference := range differences {
		shown.Differences = append(shown.Differences, &configuration.Difference{
			Path: difference.Path, From: rawValue(difference.Old), To: rawValue(difference.New),
		})
	}
	return shown, nil
}

func rawValue(raw json.RawMessage) any {
	if len(raw) == 0 {
		return nil
	}
	return raw
}

// Apply implements the application of a change.
func (configurationService *configurationService) Apply(ctx context.Context, payload *configuration.ApplyPayload) (*configuration.ApplyResult, error) {
	change := payload.Change
	if failure := configurationService.requireOperator(ctx, "apply change "+change.ChangeID); failure != nil {
		return nil, configurationError(failure)
	}
	document, failure := readDocument(change.Document)
	if failure != nil {
		return nil, configurationError(failure)
	}
	if configurationService.parts.Submitter == nil {
		return nil, configurationError(notGlobal())
	}
	result, err := configurationService.parts.Submitter.Submit(ctx, scheduler.Revision(change.Base),
		configurationService.operator(ctx, change.Operator), change.ChangeID, document)
	revision, failure := changed(result, err)
	if failure != nil {
		return nil, configurationError(failure)
	}
	// The operator's next request then finds the change in force. The change is accepted in any case.
	configurationService.awaitInForce(ctx, scheduler.Revision(revision))
	return &configuration.ApplyResult{Revision: revision}, nil
}

// operator returns the name for the audit trail: the token's holder where tokens are in use.
func (configurationService *configurationService) operator(ctx context.Context, stated string) string {
	if configurationService.parts.Tokens == nil {
		return stated
	}
	return identityOf(ctx).Name()
}

func changed(result configurator.ChangeResult, err error) (uint64, *failure) {
	if err != nil {
		return 0, outcomeOf(err)
	}
	return uint64(result.Revision), refusalOf(result)
}

// RollForward implements the return to an earlier document.
func (configurationService *configurationService) RollForward(ctx context.Context, payload *configuration.RollForwardPayload) (*configuration.RollForwardResult, error) {
	if failure := configurationService.requireOperator(ctx, "roll forward "+payload.ChangeID); failure != nil {
		return nil, configurationError(failure)
	}
	if configurationService.parts.Submitter == nil {
		return nil, configurationError(notGlobal())
	}
	result, err := configurationService.parts.Submitter.RollForward(ctx, scheduler.Revision(payload.Base),
		configurationService.operator(ctx, payload.Operator), payload.ChangeID, scheduler.Revision(payload.To))
	revision, failure := changed(result, err)
	if failure != nil {
		return nil, configurationError(failure)
	}
	return &configuration.RollForwardResult{Revision: revision}, nil
}

// History implements the list of revisions.
func (configurationService *configurationService) History(context.Context, *configuration.HistoryPayload) (*configuration.HistoryResult, error) {
	result := &configuration.HistoryResult{Revisions: []*configuration.HistoryEntry{}}
	if configurationService.parts.Global == nil {
		return nil, configurationError(notGlobal())
	}
	for _, version := range configurationService.parts.Global.History() {
		at := time.UnixMilli(version.AtUnixMilli).UTC().Format(time.RFC3339)
		result.Revisions = append(result.Revisions, &configuration.HistoryEntry{
			Revision: uint64(version.Revision), Operator: version.Operator, ChangeID: version.ID, Time: &at,
		})
	}
	return result, nil
}
