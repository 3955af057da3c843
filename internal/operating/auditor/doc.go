// Package auditor keeps the audit trail in a folder.
//
// The records are JSON, one to a line, in files named after the index of their first record. Each
// record has a SHA-256 hash over the hash of the record before it and its own bytes. A file starts
// with a line that repeats the index and hash before its first record, so the chain goes on across
// files. The file head.json holds index and hash of the last acknowledged record; without it, records
// removed from the end would go unnoticed.
//
// Someone who can write to the folder can replace the whole chain. Head returns what must be kept
// elsewhere to notice that.
package auditor

import (
	"fmt"

	"github.com/zeebo/errs"
)

// Error is the class of errors that this package returns.
var Error = errs.Class("auditor")

// CorruptionError tells which record of a trail is the first bad one. Records after it cannot be trusted.
type CorruptionError struct {
	file   string
	line   int
	index  uint64
	reason string
}

// File returns the name of the file.
func (corruptionError *CorruptionError) File() string { return corruptionError.file }

// Line returns the line in the file, counted from 1.
func (corruptionError *CorruptionError) Line() int { return corruptionError.line }

// Index returns the index that the first bad record should have.
func (corruptionError *CorruptionError) Index() uint64 { return corruptionError.index }

// Error returns the place and the reason.
func (corruptionError *CorruptionError) Error() string {
	return fmt.Sprintf("record %d is bad: %s:%d: %s", corruptionError.index, corruptionError.file, corruptionError.line, corruptionError.reason)
}
