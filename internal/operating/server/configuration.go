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
	// inForceTimeout limits how long a response is delayed until an accepted revision is in force on this VM.
	inForceTimeout      = 5 * time.Second
	inForcePollInterval = 20 * time.Millisecond
)

// awaitInForce waits until the revision is in force on this VM, including its inventory, and reports false if
// that takes longer than inForceTimeout.
func (server *Server) awaitInForce(ctx context.Context, revision scheduler.Revision) bool {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	ticker := time.NewTicker(inForcePollInterval)
	defer ticker.Stop()
	for {
		inForce, _, ok := server.dependencies.Local.InForce()
		if ok && inForce >= revision && (server.dependencies.Jobs == nil || server.dependencies.Jobs.Revision() >= revision) {
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

// APIKeyAuth checks the token of a request and adds the sender to the context.
func (configurationService *configurationService) APIKeyAuth(ctx context.Context, key string, _ *security.APIKeyScheme) (context.Context, error) {
	ctx, failure := configurationService.authenticate(ctx, key)
	return ctx, configurationError(failure)
}

// Show returns the configuration in force or an earlier revision.
func (configurationService *configurationService) Show(_ context.Context, payload *configuration.ShowPayload) (*configuration.Revision, error) {
	if payload.Revision != nil {
		return configurationService.revisionAt(scheduler.Revision(*payload.Revision))
	}
	if configurationService.dependencies.Local == nil {
		return nil, configurationError(notRun("ask another entry VM", "this VM does not run the role replica"))
	}
	revision, document, ok := configurationService.dependencies.Local.InForce()
	if !ok {
		return nil, configurationError(notRun("ask another entry VM", "this VM has not read the configuration in force yet"))
	}
	if document == nil {
		document = &scheduler.Configuration{}
	}
	return &configuration.Revision{Revision: uint64(revision), Document: document}, nil
}

func (configurationService *configurationService) revisionAt(revision scheduler.Revision) (*configuration.Revision, error) {
	if configurationService.dependencies.Global == nil {
		return nil, configurationError(notGlobalMember())
	}
	document, ok := configurationService.dependencies.Global.DocumentAt(revision)
	if !ok {
		return nil, configurationError(notFound("revision %d is not in the history", revision))
	}
	return &configuration.Revision{Revision: uint64(revision), Document: document}, nil
}

// notGlobalMember returns the failure for a VM that is not a member of the global group, which stores the
// configuration.
func notGlobalMember() *failure {
	return notRun("ask an entry VM that is a member of the group global", "this VM is not a member of the group global")
}

// readDocument decodes a document and rejects unknown keys, since a misspelt key would otherwise be ignored silently.
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

// Diff validates a change and returns its differences without applying it.
func (configurationService *configurationService) Diff(ctx context.Context, payload *configuration.DiffPayload) (*configuration.DiffResult, error) {
	document, failure := readDocument(payload.Change.Document)
	if failure != nil {
		return nil, configurationError(failure)
	}
	if configurationService.dependencies.Submitter == nil {
		return nil, configurationError(notGlobalMember())
	}
	result, differences, err := configurationService.dependencies.Submitter.DryRun(ctx, scheduler.Revision(payload.Change.Base), document)
	if err != nil {
		return nil, configurationError(failureOf(err))
	}
	if refusal := refusalOf(result); refusal != nil {
		return nil, configurationError(refusal)
	}
	shown := &configuration.DiffResult{Differences: []*configuration.Difference{}}
	for _, difference := range differences {
		shown.Differences = append(shown.Differences, &configuration.Difference{
			Path: difference.Path, From: rawOrNil(difference.Old), To: rawOrNil(difference.New),
		})
	}
	return shown, nil
}

func rawOrNil(raw json.RawMessage) any {
	if len(raw) == 0 {
		return nil
	}
	return raw
}

// Apply submits a change to the global group and waits until it is in force on this VM.
func (configurationService *configurationService) Apply(ctx context.Context, payload *configuration.ApplyPayload) (*configuration.ApplyResult, error) {
	change := payload.Change
	if failure := configurationService.requireOperator(ctx, "apply change "+change.ChangeID); failure != nil {
		return nil, configurationError(failure)
	}
	document, failure := readDocument(change.Document)
	if failure != nil {
		return nil, configurationError(failure)
	}
	if configurationService.dependencies.Submitter == nil {
		return nil, configurationError(notGlobalMember())
	}
	result, err := configurationService.dependencies.Submitter.Submit(ctx, scheduler.Revision(change.Base),
		configurationService.operator(ctx, change.Operator), change.ChangeID, document)
	revision, failure := acceptedRevision(result, err)
	if failure != nil {
		return nil, configurationError(failure)
	}
	// Waits so that the operator's next request sees the change in force. The change is accepted even if the wait
	// times out.
	configurationService.awaitInForce(ctx, scheduler.Revision(revision))
	return &configuration.ApplyResult{Revision: revision}, nil
}

// operator returns the operator's name for the audit trail: the token's holder if tokens are configured, otherwise
// the name stated in the request.
func (configurationService *configurationService) operator(ctx context.Context, stated string) string {
	if configurationService.dependencies.Tokens == nil {
		return stated
	}
	return identityOf(ctx).Name()
}

func acceptedRevision(result configurator.ChangeResult, err error) (uint64, *failure) {
	if err != nil {
		return 0, failureOf(err)
	}
	return uint64(result.Revision), refusalOf(result)
}

// RollForward makes the document of an earlier revision the newest revision.
func (configurationService *configurationService) RollForward(ctx context.Context, payload *configuration.RollForwardPayload) (*configuration.RollForwardResult, error) {
	if failure := configurationService.requireOperator(ctx, "roll forward "+payload.ChangeID); failure != nil {
		return nil, configurationError(failure)
	}
	if configurationService.dependencies.Submitter == nil {
		return nil, configurationError(notGlobalMember())
	}
	result, err := configurationService.dependencies.Submitter.RollForward(ctx, scheduler.Revision(payload.Base),
		configurationService.operator(ctx, payload.Operator), payload.ChangeID, scheduler.Revision(payload.To))
	revision, failure := acceptedRevision(result, err)
	if failure != nil {
		return nil, configurationError(failure)
	}
	return &configuration.RollForwardResult{Revision: revision}, nil
}

// History returns the revisions kept.
func (configurationService *configurationService) History(context.Context, *configuration.HistoryPayload) (*configuration.HistoryResult, error) {
	result := &configuration.HistoryResult{Revisions: []*configuration.HistoryEntry{}}
	if configurationService.dependencies.Global == nil {
		return nil, configurationError(notGlobalMember())
	}
	for _, version := range configurationService.dependencies.Global.History() {
		at := time.UnixMilli(version.AtUnixMilli).UTC().Format(time.RFC3339)
		result.Revisions = append(result.Revisions, &configuration.HistoryEntry{
			Revision: uint64(version.Revision), Operator: version.Operator, ChangeID: version.ID, Time: &at,
		})
	}
	return result, nil
}
