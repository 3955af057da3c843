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

// NewSubmitter returns a Submitter. group is the global group as the machine global sees it.
func NewSubmitter(group scheduler.Group, globalMachine *GlobalMachine) *Submitter {
	return &Submitter{group: group, globalMachine: globalMachine}
}

// Submit asks for document as the successor of base. The error has class scheduler.ErrNotRun or
// scheduler.ErrUnknown; after the latter the operator resends with the same ID.
func (submitter *Submitter) Submit(
	ctx context.Context, base scheduler.Revision, operator, id string, document *scheduler.Configuration,
) (ChangeResult, error) {
	change, err := submitter.change(base, document)
	if err != nil {
		return ChangeResult{}, err
	}
	change.Operator, change.ID = operator, id
	return submitter.propose(ctx, change)
}

// RollForward asks for the document of an earlier revision as the successor of base.
func (submitter *Submitter) RollForward(
	ctx context.Context, base scheduler.Revision, operator, id string, earlier scheduler.Revision,
) (ChangeResult, error) {
	return submitter.propose(ctx, &Change{Base: base, Operator: operator, ID: id, RollForward: earlier})
}

// DryRun reports what Submit would do now, and what would differ, without a change or a record. It
// waits for the newest revision, so it fails when the global group has no majority.
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

// change sends a delta where this VM knows the base. A document with faults travels whole, because a
// delta would lose elements with equal names and the positions that the faults refer to.
func (submitter *Submitter) change(base scheduler.Revision, document *scheduler.Configuration) (*Change, error) {
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
	answer, err := submitter.group.Propose(ctx, encoded)
	if err != nil {
		return result, Error.Wrap(err)
	}
	return result, Error.Wrap(encoder.Unmarshal(answer, &result))
}
