// Package configurator implements the replicated configuration: validation and comparison of
// documents, the state machines of the global group and the data centres' groups, and the
// distribution of accepted revisions from the former to the latter.
package configurator

import (
	"crypto/sha256"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("configurator")

// Digest returns the SHA-256 hash of the normalised document's deterministic encoding. The order of
// the document's lists does not affect it.
func Digest(document *scheduler.Configuration) ([]byte, error) {
	encoded, err := encoder.Marshal(Normalise(document))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	sum := sha256.Sum256(encoded)
	return sum[:], nil
}
