package scheduler

import "io"

// EntryKind tells what the data of a log entry is.
type EntryKind string

// Values of EntryKind.
const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = "command"
	// EntryMembership carries an encoded voter set.
	EntryMembership EntryKind = "membership"
	// EntryNoOp is the first entry of a new leader.
	EntryNoOp EntryKind = "noOp"
)

// Entry is one entry of a group's log. It is a wire type: codecs need its exported fields.
type Entry struct {
	Index Index     `cbor:"index"`
	Term  Term      `cbor:"term"`
	Kind  EntryKind `cbor:"kind"`
	Data  []byte    `cbor:"data"`
}

// HardState is what a voter must not forget between answers. It is a wire type.
type HardState struct {
	Term        Term        `cbor:"term"`
	VotedFor    string      `cbor:"votedFor"`
	Incarnation Incarnation `cbor:"incarnation"`
}

// SnapshotMeta describes a snapshot. It is a wire type. Membership is the encoded voter set in force
// at Index.
type SnapshotMeta struct {
	Index      Index  `cbor:"index"`
	Term       Term   `cbor:"term"`
	Membership []byte `cbor:"membership"`
}

// Journal is the durable log of one group on one VM. A Journal has one user at a time; it is safe to
// call Sync and SaveSnapshot from other goroutines than the one that uses the rest, so that neither
// holds up the entries that arrive meanwhile.
//
// After a method has returned an error of class ErrJournalFailed the journal refuses every further
// write: what reached the disk is then unknown, and only a restart, which reads the files, can tell.
type Journal interface {
	// HardState returns the last saved hard state, zero if none was saved.
	HardState() HardState
	// SaveHardState stores and syncs the hard state.
	SaveHardState(hardState HardState) error
	// FirstIndex returns the index of the first entry kept, LastIndex+1 when none is kept.
	FirstIndex() Index
	// LastIndex returns the index of the last entry, or of the snapshot when no entry follows it.
	LastIndex() Index
	// Term returns the term of the entry at index. The index of the snapshot is allowed.
	Term(index Index) (Term, error)
	// Entries returns the entries from low up to and including high, cut after maxBytes of data
	// but with at least one entry.
	Entries(low, high Index, maxBytes int) ([]Entry, error)
	// Append writes entries without syncing them. If the first index is not LastIndex+1, every
	// entry from that index on is removed first.
	Append(entries []Entry) error
	// Sync makes all appended entries durable and returns the last index that is durable.
	Sync() (Index, error)
	// SaveSnapshot stores and syncs a snapshot, which write fills, and removes the entries that
	// it covers but for the last keep ones.
	SaveSnapshot(meta SnapshotMeta, keep int, write func(w io.Writer) error) error
	// OpenSnapshot returns the newest snapshot. ok is false when there is none. The caller
	// closes the reader.
	OpenSnapshot() (meta SnapshotMeta, r io.ReadCloser, ok bool, err error)
	// Close syncs and closes the files and releases the folder.
	Close() error
}
