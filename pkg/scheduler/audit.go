package scheduler

import "time"

// AuditOutcome is the result of an audited action.
type AuditOutcome string

// Values of AuditOutcome.
const (
	// AuditAccepted means that the action was applied.
	AuditAccepted AuditOutcome = "accepted"
	// AuditRefused means that the action was rejected and had no effect.
	AuditRefused AuditOutcome = "refused"
	// AuditUnknown means that it is not known whether the action was applied.
	AuditUnknown AuditOutcome = "unknown"
)

// AuditRecord is one entry of an audit trail. It is a wire type.
type AuditRecord struct {
	// Index numbers the records of a trail consecutively from 1. It is set by the trail.
	Index uint64 `json:"index"`
	// Time is when the action was decided. If it is zero, the trail sets it to the current time.
	Time time.Time `json:"time"`
	// Who is the operator or component that performed the action.
	Who    string `json:"who"`
	Action string `json:"action"`
	// Base is the configuration revision on which a change is based. It is 0 for other actions.
	Base     uint64       `json:"base,omitempty"`
	ChangeID string       `json:"changeID,omitempty"`
	Outcome  AuditOutcome `json:"outcome"`
	Detail   string       `json:"detail,omitempty"`
}

// AuditTrail is an append-only log of records in which each record is chained to its predecessor by a hash.
// It is safe for concurrent use.
type AuditTrail interface {
	// Append writes a record durably and returns its index. After an error of class ErrJournalFailed the
	// record may or may not be stored, and the trail rejects further records until its owner has opened it again.
	Append(record AuditRecord) (index uint64, err error)
	// Read returns up to limit records that start at index from, and the index at which the next call
	// continues. It returns no records at the end of the trail.
	Read(from uint64, limit int) (records []AuditRecord, next uint64, err error)
	// Head returns the index and the hash of the last record. A copy that is stored outside the trail can
	// later prove that no record up to that index has been modified.
	Head() (index uint64, hash string)
	// Verify checks the hash chain of the whole trail and returns an error that names the first invalid record.
	Verify() error
}
