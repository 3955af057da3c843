package configurator

import (
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Copy is the command that puts a global revision in force in a data centre (the configInForce entry
// of the design page). It is a wire type. Either Document or Delta is set.
type Copy struct {
	Revision scheduler.Revision `cbor:"revision"`
	// Base is the revision that Delta is relative to.
	Base     scheduler.Revision       `cbor:"base,omitempty"`
	Digest   []byte                   `cbor:"digest"`
	Document *scheduler.Configuration `cbor:"document,omitempty"`
	Delta    *Delta                   `cbor:"delta,omitempty"`
}

// CopyOutcome tells what became of a copy.
type CopyOutcome string

// Values of CopyOutcome.
const (
	// CopyInForce means that the revision is now in force in the data centre.
	CopyInForce CopyOutcome = "inForce"
	// CopyNotNewer means that the same or a higher revision is in force already.
	CopyNotNewer CopyOutcome = "notNewer"
	// CopyNeedsDocument means that the delta does not lead from the revision in force to the
	// wanted document; the whole document must be sent.
	CopyNeedsDocument CopyOutcome = "needsDocument"
	// CopyRefused means that the command is unusable.
	CopyRefused CopyOutcome = "refused"
)

// CopyResult is the answer to a copy. It is a wire type.
type CopyResult struct {
	Outcome  CopyOutcome        `cbor:"outcome"`
	Revision scheduler.Revision `cbor:"revision"`
	Reason   string             `cbor:"reason,omitempty"`
}

// Local is the state machine of a data centre's group that holds the configuration in force there.
// Apply and Restore are called by the group; the other methods are safe for concurrent use.
type Local struct {
	mutex    sync.RWMutex
	revision scheduler.Revision
	document *scheduler.Configuration
	ready    bool
	notifier notifier
}

var _ scheduler.StateMachine = (*Local)(nil)

// NewLocal returns an empty state machine for a data centre's group.
func NewLocal() *Local { return &Local{document: &scheduler.Configuration{}} }

// Apply puts the revision of an encoded Copy in force if it is higher than the one in force, and
// returns an encoded CopyResult.
func (local *Local) Apply(_ scheduler.Index, command []byte) []byte {
	var wanted Copy
	if err := encoder.Unmarshal(command, &wanted); err != nil {
		return encodeResult(CopyResult{Outcome: CopyRefused, Reason: err.Error()})
	}
	local.mutex.Lock()
	defer local.mutex.Unlock()
	result := local.copy(&wanted)
	result.Revision = local.revision
	return encodeResult(result)
}

func (local *Local) copy(wanted *Copy) CopyResult {
	if wanted.Revision <= local.revision {
		return CopyResult{Outcome: CopyNotNewer}
	}
	document := wanted.Document
	switch {
	case (document == nil) == (wanted.Delta == nil):
		return CopyResult{Outcome: CopyRefused, Reason: "the copy needs either a document or a delta"}
	case document == nil && wanted.Base != local.revision:
		return CopyResult{Outcome: CopyNeedsDocument, Reason: "the delta has another base"}
	case document == nil:
		patched, err := wanted.Delta.Patch(local.document)
		if err != nil {
			return CopyResult{Outcome: CopyNeedsDocument, Reason: err.Error()}
		}
		document = patched
	}
	digest, err := Digest(document)
	if err != nil || !bytes.Equal(digest, wanted.Digest) {
		return CopyResult{Outcome: CopyNeedsDocument, Reason: "the digest does not match the document"}
	}
	local.revision, local.document = wanted.Revision, Normalise(document)
	local.notifier.notify()
	return CopyResult{Outcome: CopyInForce}
}

// InForce returns the revision in force and its document, which must not be modified. ok is false
// until AwaitReady has succeeded, because a VM that restarts may have read only a part of the log.
func (local *Local) InForce() (revision scheduler.Revision, document *scheduler.Configuration, ok bool) {
	local.mutex.RLock()
	defer local.mutex.RUnlock()
	return local.revision, local.document, local.ready
}

// AwaitReady waits until this VM has read the revision in force from a majority of its group. It
// returns an error when no majority answers; the caller tries again and stays out of service.
func (local *Local) AwaitReady(ctx context.Context, group scheduler.Group) error {
	if err := group.ReadBarrier(ctx); err != nil {
		return Error.Wrap(err)
	}
	local.mutex.Lock()
	defer local.mutex.Unlock()
	local.ready = true
	local.notifier.notify()
	return nil
}

// Subscribe returns a subscription that is notified of every revision that comes into force and when
// the VM becomes ready.
func (local *Local) Subscribe() *Subscription { return local.notifier.subscribe() }

// localState is the form of the state in a snapshot.
type localState struct {
	Revision scheduler.Revision       `cbor:"revision"`
	Document *scheduler.Configuration `cbor:"document"`
}

// Snapshot writes the whole state.
func (local *Local) Snapshot(w io.Writer) error {
	revision, document, _ := local.InForce()
	return Error.Wrap(encoder.NewEncoder(w).Encode(localState{Revision: revision, Document: document}))
}

// Restore replaces the state. An empty reader restores the empty state. A snapshot with a lower
// revision than the one in force is an error, since the configuration never goes back.
func (local *Local) Restore(r io.Reader) error {
	state := localState{Document: &scheduler.Configuration{}}
	if err := decodeState(r, &state); err != nil {
		return err
	}
	local.mutex.Lock()
	defer local.mutex.Unlock()
	if state.Revision < local.revision {
		return Error.New("snapshot holds revision %d, revision %d is in force", state.Revision, local.revision)
	}
	local.revision, local.document = state.Revision, state.Document
	local.notifier.notify()
	return nil
}
