package configurator

import (
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Activation is the command that puts a global revision in force in a data centre (the configInForce entry
// of the design page). It is a wire type. Either Document or Delta is set.
type Activation struct {
	Revision scheduler.Revision `cbor:"revision"`
	// Base is the revision that Delta is relative to.
	Base     scheduler.Revision       `cbor:"base,omitempty"`
	Digest   []byte                   `cbor:"digest"`
	Document *scheduler.Configuration `cbor:"document,omitempty"`
	Delta    *Delta                   `cbor:"delta,omitempty"`
}

// ActivationOutcome tells what became of a copy.
type ActivationOutcome string

// Values of CopyOutcome.
const (
	// ActivationApplied means that the revision is now in force in the data centre.
	ActivationApplied ActivationOutcome = "inForce"
	// ActivationNotNewer means that the same or a higher revision is in force already.
	ActivationNotNewer ActivationOutcome = "notNewer"
	// ActivationNeedsDocument means that the delta does not lead from the revision in force to the
	// wanted document; the whole document must be sent.
	ActivationNeedsDocument ActivationOutcome = "needsDocument"
	// ActivationRefused means that the command is unusable.
	ActivationRefused ActivationOutcome = "refused"
)

// ActivationResult is the answer to a copy. It is a wire type.
type ActivationResult struct {
	Outcome  ActivationOutcome  `cbor:"outcome"`
	Revision scheduler.Revision `cbor:"revision"`
	Reason   string             `cbor:"reason,omitempty"`
}

// LocalMachine is the state machine of a data centre's group that holds the configuration in force there.
// Apply and Restore are called by the group; the other methods are safe for concurrent use.
type LocalMachine struct {
	mutex    sync.RWMutex
	revision scheduler.Revision
	document *scheduler.Configuration
	ready    bool
	notifier notifier
}

var _ scheduler.StateMachine = (*LocalMachine)(nil)

// NewLocalMachine returns an empty state machine for a data centre's group.
func NewLocalMachine() *LocalMachine { return &LocalMachine{document: &scheduler.Configuration{}} }

// Apply puts the revision of an encoded Copy in force if it is higher than the one in force, and
// returns an encoded CopyResult.
func (localMachine *LocalMachine) Apply(_ scheduler.Index, command []byte) []byte {
	var wanted Activation
	if err := encoder.Unmarshal(command, &wanted); err != nil {
		return encodeResult(ActivationResult{Outcome: ActivationRefused, Reason: err.Error()})
	}
	localMachine.mutex.Lock()
	defer localMachine.mutex.Unlock()
	result := localMachine.copy(&wanted)
	result.Revision = localMachine.revision
	return encodeResult(result)
}

func (localMachine *LocalMachine) copy(wanted *Activation) ActivationResult {
	if wanted.Revision <= localMachine.revision {
		return ActivationResult{Outcome: ActivationNotNewer}
	}
	document := wanted.Document
	switch {
	case (document == nil) == (wanted.Delta == nil):
		return ActivationResult{Outcome: ActivationRefused, Reason: "the copy needs either a document or a delta"}
	case document == nil && wanted.Base != localMachine.revision:
		return ActivationResult{Outcome: ActivationNeedsDocument, Reason: "the delta has another base"}
	case document == nil:
		patched, err := wanted.Delta.Patch(localMachine.document)
		if err != nil {
			return ActivationResult{Outcome: ActivationNeedsDocument, Reason: err.Error()}
		}
		document = patched
	}
	digest, err := Digest(document)
	if err != nil || !bytes.Equal(digest, wanted.Digest) {
		return ActivationResult{Outcome: ActivationNeedsDocument, Reason: "the digest does not match the document"}
	}
	localMachine.revision, localMachine.document = wanted.Revision, Normalise(document)
	localMachine.notifier.notify()
	return ActivationResult{Outcome: ActivationApplied}
}

// InForce returns the revision in force and its document, which must not be modified. ok is false
// until AwaitReady has succeeded, because a VM that restarts may have read only a part of the log.
func (localMachine *LocalMachine) InForce() (revision scheduler.Revision, document *scheduler.Configuration, ok bool) {
	localMachine.mutex.RLock()
	defer localMachine.mutex.RUnlock()
	return localMachine.revision, localMachine.document, localMachine.ready
}

// AwaitReady waits until this VM has read the revision in force from a majority of its group. It
// returns an error when no majority answers; the caller tries again and stays out of service.
func (localMachine *LocalMachine) AwaitReady(ctx context.Context, group scheduler.Group) error {
	if err := group.ReadBarrier(ctx); err != nil {
		return Error.Wrap(err)
	}
	localMachine.mutex.Lock()
	defer localMachine.mutex.Unlock()
	localMachine.ready = true
	localMachine.notifier.notify()
	return nil
}

// Subscribe returns a subscription that is notified of every revision that comes into force and when
// the VM becomes ready.
func (localMachine *LocalMachine) Subscribe() *Subscription { return localMachine.notifier.subscribe() }

// localState is the form of the state in a snapshot.
type localState struct {
	Revision scheduler.Revision       `cbor:"revision"`
	Document *scheduler.Configuration `cbor:"document"`
}

// Snapshot writes the whole state.
func (localMachine *LocalMachine) Snapshot(w io.Writer) error {
	revision, document, _ := localMachine.InForce()
	return Error.Wrap(encoder.NewEncoder(w).Encode(localState{Revision: revision, Document: document}))
}

// Restore replaces the state. An empty reader restores the empty state. A snapshot with a lower
// revision than the one in force is an error, since the configuration never goes back.
func (localMachine *LocalMachine) Restore(r io.Reader) error {
	state := localState{Document: &scheduler.Configuration{}}
	if err := decodeState(r, &state); err != nil {
		return err
	}
	localMachine.mutex.Lock()
	defer localMachine.mutex.Unlock()
	if state.Revision < localMachine.revision {
		return Error.New("snapshot holds revision %d, revision %d is in force", state.Revision, localMachine.revision)
	}
	localMachine.revision, localMachine.document = state.Revision, state.Document
	localMachine.notifier.notify()
	return nil
}
