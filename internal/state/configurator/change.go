package configurator

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Change is the command that proposes a new revision to the global group. It is a wire type. Exactly
// one of Document, Delta and RollForward is set.
type Change struct {
	// Base is the revision that the change was prepared against.
	Base     scheduler.Revision `cbor:"base"`
	Operator string             `cbor:"operator"`
	// ID is chosen by the operator. A retry carries the same ID.
	ID string `cbor:"id"`
	// AtUnixMilli is the proposer's clock, used only in the history and the audit records.
	AtUnixMilli int64 `cbor:"at"`
	// Digest is the digest of the requested document.
	Digest   []byte                   `cbor:"digest,omitempty"`
	Document *scheduler.Configuration `cbor:"document,omitempty"`
	// Delta is relative to Base. A non-nil, empty Delta requests an unchanged document.
	Delta *Delta `cbor:"delta,omitempty"`
	// RollForward requests the document of an earlier revision.
	RollForward scheduler.Revision `cbor:"rollForward,omitempty"`
}

// ChangeOutcome is the decision on a change.
type ChangeOutcome string

// Values of ChangeOutcome.
const (
	// ChangeAccepted means that the change created a new revision.
	ChangeAccepted ChangeOutcome = "accepted"
	// ChangeConflict means that the base is not the current revision.
	ChangeConflict ChangeOutcome = "conflict"
	// ChangeRefused means that the document or the command is invalid.
	ChangeRefused ChangeOutcome = "refused"
)

// ChangeResult is the response to a change. It is a wire type.
type ChangeResult struct {
	Outcome ChangeOutcome `json:"outcome" cbor:"outcome"`
	// Revision is the new revision if the change was accepted, otherwise the revision that was
	// current at the time of the first decision.
	Revision scheduler.Revision `json:"revision" cbor:"revision"`
	Reason   string             `json:"reason,omitempty" cbor:"reason,omitempty"`
	Faults   []Fault            `json:"faults,omitempty" cbor:"faults,omitempty"`
	// Repeated is true in the response to a retry.
	Repeated bool `json:"repeated,omitempty" cbor:"repeated,omitempty"`
}

// fingerprint distinguishes a retry from another change under the same ID. It does not depend on
// whether the document is sent in full or as a delta, because a retry may go through a VM that no
// longer has the base in its history.
func (change *Change) fingerprint() []byte {
	hash := sha256.New()
	var numbers [16]byte
	binary.BigEndian.PutUint64(numbers[:8], uint64(change.Base))
	binary.BigEndian.PutUint64(numbers[8:], uint64(change.RollForward))
	hash.Write(numbers[:])
	hash.Write(change.Digest)
	return hash.Sum(nil)
}

// validate returns the reason why the command itself is invalid, or an empty string.
func (change *Change) validate() string {
	contents := 0
	if change.Document != nil {
		contents++
	}
	if change.Delta != nil {
		contents++
	}
	if change.RollForward != 0 {
		contents++
	}
	switch {
	case change.Operator == "" || len(change.Operator) > maxIDLength:
		return "the change needs the name of an operator of at most 128 bytes"
	case change.ID == "" || len(change.ID) > maxIDLength:
		return "the change needs an ID of at most 128 bytes"
	case contents != 1:
		return "the change must have exactly one of a document, a delta and an earlier revision"
	case change.RollForward == 0 && len(change.Digest) != sha256.Size:
		return "the change needs the digest of its document"
	}
	return ""
}

// requestedDocument returns the document that the change requests, or the reason for its refusal. The
// current document must be the base of the change.
func (globalMachine *GlobalMachine) requestedDocument(change *Change) (*scheduler.Configuration, string) {
	if change.RollForward != 0 {
		document, ok := globalMachine.documentAt(change.RollForward)
		if !ok {
			return nil, "the earlier revision is no longer in the history"
		}
		return document, ""
	}
	document := change.Document
	if change.Delta != nil {
		patched, err := change.Delta.Patch(globalMachine.document)
		if err != nil {
			return nil, err.Error()
		}
		document = patched
	}
	digest, err := Digest(document)
	if err != nil {
		return nil, err.Error()
	}
	if !bytes.Equal(digest, change.Digest) {
		return nil, "the digest does not match the document"
	}
	return document, ""
}
