package scheduler

import "time"

// AuditOutcome tells what became of an audited action.
type AuditOutcome string

// Values of AuditOutcome.
const (
	// AuditAccepted means that the action took effect.
	AuditAccepted AuditOutcome = "accepted"
	// AuditRefused means that the action had no effect.
	AuditRefused AuditOutcome = "refused"
	// AuditUnknown means that the action may have had an effect.
	AuditUnknown AuditOutcome = "unknown"
)

// AuditRecord is one record of an audit trail. It is a wire type.
type AuditRecord struct {
	// Index counts the records of a trail from 1 without gaps. The trail sets it.
	Index uint64 `json:"index"`
	// Time is when the action was decided. The trail sets it if it is zero.
	Time   time.Time `json:"time"`
	Who    string    `json:"who"`
	Action string    `json:"action"`
	// Base is the configuration revision on which a change was based, 0 for other actions.
	Base     uint64       `json:"base,omitempty"`
	ChangeID string       `json:"changeID,omitempty"`
	Outcome  AuditOutcome `json:"outcome"`
	Detail   string       `json:"detail,omitempty"`
}

// AuditTrail is an append-only list of records, each chained to the one before it by a hash. It is
// safe for concurrent use.
type AuditTrail interface {
	// Append stores a record durably and returns its index. After an error of class
	// ErrJournalFailed the trail refuses every further record.
	Append(record AuditRecord) (index uint64, err error)
	// Read returns up to limit records from an index on, and the index to go on with. It returns
	// no records at the end of the trail.
	Read(from uint64, limit int) (records []AuditRecord, next uint64, err error)
	// Head returns the index and the hash of the last record. A copy of both that is kept
	// elsewhere proves later that nothing up to that record has changed.
	Head() (index uint64, hash string)
	// Verify reads the whole trail and returns an error that names the first bad record.
	Verify() error
}
