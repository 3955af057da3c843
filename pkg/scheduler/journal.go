package scheduler

import "io"

// EntryKind is the type of the data in a log entry.
type EntryKind string

// Values of EntryKind.
const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = "command"
	// EntryMembership carries an encoded set of voters.
	EntryMembership EntryKind = "membership"
	// EntryNoOp is the empty entry that a new leader appends first.
	EntryNoOp EntryKind = "noOp"
)

// Entry is one entry of a group's log. It is a wire type.
type Entry struct {
	Index Index     `cbor:"index"`
	Term  Term      `cbor:"term"`
	Kind  EntryKind `cbor:"kind"`
	Data  []byte    `cbor:"data"`
}

// HardState is the state that a voter must persist before it responds to a message. It is a wire type.
type HardState struct {
	Term        Term        `cbor:"term"`
	VotedFor    string      `cbor:"votedFor"`
	Incarnation Incarnation `cbor:"incarnation"`
}

// SnapshotMeta is the metadata of a snapshot. It is a wire type. Membership is the encoded set of voters at Index.
type SnapshotMeta struct {
	Index      Index  `cbor:"index"`
	Term       Term   `cbor:"term"`
	Membership []byte `cbor:"membership"`
}

// Journal is the durable log of one group on one VM. It must not be used concurrently, except that Sync and
// SaveSnapshot may be called from other goroutines, so that they do not delay the entries that arrive in the
// meantime.
//
// After a method has returned an error of class ErrJournalFailed, the journal rejects all further writes: it is
// unknown which data reached the disk until a restart reads the files again.
type Journal interface {
	// HardState returns the last saved hard state, or the zero value if none was saved.
	HardState() HardState
	// SaveHardState writes and syncs the hard state.
	SaveHardState(hardState HardState) error
	// FirstIndex returns the index of the first retained entry, or LastIndex+1 if there is none.
	FirstIndex() Index
	// LastIndex returns the index of the last entry, or that of the snapshot if no entry follows it.
	LastIndex() Index
	// Term returns the term of the entry at index, which may be the index of the snapshot.
	Term(index Index) (Term, error)
	// Entries returns the entries from low to high, inclusive. The result is truncated once it holds maxBytes
	// of data, but always contains at least one entry.
	Entries(low, high Index, maxBytes int) ([]Entry, error)
	// Append writes entries without syncing them. If the first index is not LastIndex+1, the existing entries
	// from that index on are removed first.
	Append(entries []Entry) error
	// Sync makes all appended entries durable and returns the last durable index.
	Sync() (Index, error)
	// SaveSnapshot writes and syncs a snapshot whose content is produced by write. It then removes the
	// entries that the snapshot covers, except for the last keep ones.
	SaveSnapshot(meta SnapshotMeta, keep int, write func(w io.Writer) error) error
	// OpenSnapshot returns the latest snapshot. ok is false if there is none. The caller must close the
	// reader.
	OpenSnapshot() (meta SnapshotMeta, r io.ReadCloser, ok bool, err error)
	// Close syncs and closes the files and releases the directory.
	Close() error
}
