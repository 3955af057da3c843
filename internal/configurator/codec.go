// Package configurator holds the configuration: its validation, its differences, the state machines
// that accept and distribute it, and the distributor between the two scopes of state.
package configurator

import (
	"crypto/sha256"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("configurator")

// encoding is deterministic, since digests are made of encoded documents.
var encoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // Only a fault in the constant options can cause it.
	}
	return mode
}()

// decoding allows documents larger than the library's default of 131,072 list elements.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 22}.DecMode()
	if err != nil {
		panic(err) // Only a fault in the constant options can cause it.
	}
	return mode
}()

// Digest returns the SHA-256 of the normalised document's deterministic encoding. Equal documents
// have equal digests whatever the order of their lists.
func Digest(document *scheduler.Configuration) ([]byte, error) {
	encoded, err := encoding.Marshal(Normalise(document))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	sum := sha256.Sum256(encoded)
	return sum[:], nil
}
