package configurator

import (
	"bytes"
	"context"
	"io"
	"sync"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Activation is the command that puts a global revision in force in a data centre (the configInForce
// entry in docs/design.md). It is a wire type. Exactly one of Document and Delta is set.
type Activation struct {
	Revision scheduler.Revision `cbor:"revision"`
	// Base is the revision that Delta is relative to.
	Base     scheduler.Revision       `cbor:"base,omitempty"`
	Digest   []byte                   `cbor:"digest"`
	Document *scheduler.Configuration `cbor:"document,omitempty"`
	Delta    *Delta                   `cbor:"delta,omitempty"`
}

// ActivationOutcome is the outcome of an Activation.
type ActivationOutcome string

// Values of CopyOutcome.
const (
	// ActivationApplied means that the revision is now in force in the data centre.
	ActivationApplied ActivationOutcome = "inForce"
	// ActivationNotNewer means that the same or a higher revision is already in force.
	ActivationNotNewer ActivationOutcome = "notNewer"
	// ActivationNeedsDocument means that the delta could not be applied to the document in force, or
	// that the digest does not match; the full document must be sent.
	ActivationNeedsDocument ActivationOutcome = "needsDocument"
	// ActivationRefused means that the command is invalid.
	ActivationRefused ActivationOutcome = "refused"
)

// ActivationResult is the response to an Activation. It is a wire type.
type ActivationResult struct {
	Outcome  ActivationOutcome  `cbor:"outcome"`
	Revision scheduler.Revision `cbor:"revision"`
	Reason   string             `cbor:"reason,omitempty"`
}

// LocalMachine is the state machine of a data centre's group. It holds the configuration that is in
// force there. Apply and Restore are called by the group; the other methods are safe for concurrent use.
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

// Apply puts the revision of an encoded Activation in force if it is higher than the current one. It
// returns an encoded ActivationResult.
func (localMachine *LocalMachine) Apply(_ scheduler.Index, command []byte) []byte {
	var activation Activation
	if err := encoder.Unmarshal(command, &activation); err != nil {
		return mustMarshal(ActivationResult{Outcome: ActivationRefused, Reason: err.Error()})
	}
	localMachine.mutex.Lock()
	defer localMachine.mutex.Unlock()
	result := localMachine.activate(&activation)
	result.Revision = localMachine.revision
	return mustMarshal(result)
}

func (localMachine *LocalMachine) activate(activation *Activation) ActivationResult {
	if activation.Revision <= localMachine.revision {
		return ActivationResult{Outcome: ActivationNotNewer}
	}
	document := activation.Document
	switch {
	case (document == nil) == (activation.Delta == nil):
		return ActivationResult{Outcome: ActivationRefused, Reason: "the copy needs either a document or a delta"}
	case document == nil && activation.Base != localMachine.revision:
		return ActivationResult{Outcome: ActivationNeedsDocument, Reason: "the delta has another base"}
	case document == nil:
		patched, err := activation.Delta.Patch(localMachine.document)
		if err != nil {
			return ActivationResult{Outcome: ActivationNeedsDocument, Reason: err.Error()}
		}
		document = patched
	}
	digest, err := Digest(document)
	if err != nil || !bytes.Equal(digest, activation.Digest) {
		return ActivationResult{Outcome: ActivationNeedsDocument, Reason: "the digest does not match the document"}
	}
	localMachine.revision, localMachine.document = activation.Revision, Normalise(document)
	localMachine.notifier.notify()
	return ActivationResult{Outcome: ActivationApplied}
}

// InForce returns the revision in force and its document, which must not be modified. ok is false
// until AwaitReady has succeeded, because a restarted VM may have replayed only part of the log.
func (localMachine *LocalMachine) InForce() (revision scheduler.Revision, document *scheduler.Configuration, ok bool) {
	localMachine.mutex.RLock()
	defer localMachine.mutex.RUnlock()
	return localMachine.revision, localMachine.document, localMachine.ready
}

// AwaitReady waits until this VM has applied all entries that were committed when it was called, which
// takes a majority of the group. It returns an error if no majority responds; the calling code must
// then retry and not serve requests.
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

// Subscribe returns a subscription that is notified when a revision comes into force, when the VM
// becomes ready, and of Restore.
func (localMachine *LocalMachine) Subscribe() *Subscription { return localMachine.notifier.subscribe() }

// localState is the snapshot format.
type localState struct {
	Revision scheduler.Revision       `cbor:"revision"`
	Document *scheduler.Configuration `cbor:"document"`
}

// Snapshot writes the whole state.
func (localMachine *LocalMachine) Snapshot(w io.Writer) error {
	revision, document, _ := localMachine.InForce()
	return Error.Wrap(encoder.NewEncoder(w).Encode(localState{Revision: revision, Document: document}))
}

// Restore replaces the state with a snapshot. An empty reader restores the initial state. A snapshot
// with a lower revision than the one in force is an error, because a configuration is never reverted
// to an earlier revision.
func (localMachine *LocalMachine) Restore(r io.Reader) error {
	state := localState{Document: &scheduler.Configuration{}}
	if err := decodeState(r, &state); err != nil {
		return err
	}
	localMachine.mutex.Lock()
	defer localMachine.mutex.Unlock()
	if state.Revision < localMachine.revision {
		return Error.New("snapshot has revision %d, but revision %d is already in force", state.Revision, localMachine.revision)
	}
	localMachine.revision, localMachine.document = state.Revision, state.Document
	localMachine.notifier.notify()
	return nil
}
