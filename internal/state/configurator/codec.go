// Package configurator holds the configuration: its validation, its differences, the state machines
// that accept and distribute it, and the distributor between the two scopes of state.
package configurator

import (
	"crypto/sha256"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("configurator")

// Digest returns the SHA-256 of the normalised document's deterministic encoding. Equal documents
// have equal digests whatever the order of their lists.
func Digest(document *scheduler.Configuration) ([]byte, error) {
	encoded, err := encoder.Marshal(Normalise(document))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	sum := sha256.Sum256(encoded)
	return sum[:], nil
}
