package configurator

import (
	"context"
	"time"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Submitter submits operators' changes to the global group. It is safe for concurrent use.
type Submitter struct {
	group         scheduler.Group
	globalMachine *GlobalMachine
}

// NewSubmitter returns a Submitter. group is the view of the global group for globalMachine.
func NewSubmitter(group scheduler.Group, globalMachine *GlobalMachine) *Submitter {
	return &Submitter{group: group, globalMachine: globalMachine}
}

// Submit proposes document as the successor of base. Errors of the proposal have class
// scheduler.ErrNotRun or scheduler.ErrOutcomeUnknown; after the latter the operator retries with the
// same ID.
func (submitter *Submitter) Submit(
	ctx context.Context, base scheduler.Revision, operator, id string, document *scheduler.Configuration,
) (ChangeResult, error) {
	change, err := submitter.newChange(base, document)
	if err != nil {
		return ChangeResult{}, err
	}
	change.Operator, change.ID = operator, id
	return submitter.propose(ctx, change)
}

// RollForward proposes the document of an earlier revision as the successor of base.
func (submitter *Submitter) RollForward(
	ctx context.Context, base scheduler.Revision, operator, id string, revision scheduler.Revision,
) (ChangeResult, error) {
	return submitter.propose(ctx, &Change{Base: base, Operator: operator, ID: id, RollForward: revision})
}

// DryRun reports what Submit would return now and how the document would change, without a proposal
// and without an audit record. It performs a linearizable read, so it fails if the global group has no
// majority.
func (submitter *Submitter) DryRun(
	ctx context.Context, base scheduler.Revision, document *scheduler.Configuration,
) (ChangeResult, []Difference, error) {
	if err := submitter.group.ReadBarrier(ctx); err != nil {
		return ChangeResult{}, nil, Error.Wrap(err)
	}
	revision, current := submitter.globalMachine.Current()
	differences, err := Differences(current, Normalise(document))
	if err != nil {
		return ChangeResult{}, nil, err
	}
	result := ChangeResult{Outcome: ChangeAccepted, Revision: revision}
	if base != revision {
		result.Outcome, result.Reason = ChangeConflict, "the base is not the current revision"
	} else if result.Faults = Validate(document); len(result.Faults) > 0 {
		result.Outcome, result.Reason = ChangeRefused, "the document has faults"
	}
	return result, differences, nil
}

// newChange returns a change with a delta if this VM has the base in its history. An invalid document
// is sent in full, because a delta would lose elements with duplicate names and the positions that the
// faults refer to.
func (submitter *Submitter) newChange(base scheduler.Revision, document *scheduler.Configuration) (*Change, error) {
	digest, err := Digest(document)
	if err != nil {
		return nil, err
	}
	change := &Change{Base: base, Digest: digest, Document: document}
	previous, ok := submitter.globalMachine.DocumentAt(base)
	if !ok || len(Validate(document)) > 0 {
		return change, nil
	}
	delta, err := NewDelta(previous, Normalise(document))
	if err != nil {
		return nil, err
	}
	change.Document, change.Delta = nil, &delta
	return change, nil
}

func (submitter *Submitter) propose(ctx context.Context, change *Change) (result ChangeResult, err error) {
	change.AtUnixMilli = time.Now().UnixMilli()
	encoded, err := encoder.Marshal(change)
	if err != nil {
		return result, Error.Wrap(err)
	}
	response, err := submitter.group.Propose(ctx, encoded)
	if err != nil {
		return result, Error.Wrap(err)
	}
	return result, Error.Wrap(encoder.Unmarshal(response, &result))
}
