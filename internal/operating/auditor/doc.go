// Package auditor stores the audit trail in a folder as a tamper-evident hash chain.
//
// Records are stored as JSON Lines in files named after the index of their first record. Each record has a
// SHA-256 hash over the hash of the previous record and its own bytes. The first line of a file is a header that
// repeats the index and hash of the last record in the previous file, so that the chain continues across files. The
// file head.json holds the index and hash of the last acknowledged record; without it, the removal of records
// from the end would not be detected.
//
// Anyone who can write to the folder can replace the whole chain. To detect that, store the result of Head
// elsewhere.
package auditor

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("auditor")

// CorruptionError reports the first corrupt record of a trail. Records after it cannot be trusted.
type CorruptionError struct {
	file   string
	line   int
	index  uint64
	reason string
}

// File returns the name of the file with the corrupt record.
func (corruptionError *CorruptionError) File() string { return corruptionError.file }

// Line returns the line number in the file, starting at 1.
func (corruptionError *CorruptionError) Line() int { return corruptionError.line }

// Index returns the expected index of the first corrupt record.
func (corruptionError *CorruptionError) Index() uint64 { return corruptionError.index }

// Error returns the location and the reason.
func (corruptionError *CorruptionError) Error() string {
	return fmt.Sprintf("record %d is corrupt: %s:%d: %s", corruptionError.index, corruptionError.file, corruptionError.line, corruptionError.reason)
}
