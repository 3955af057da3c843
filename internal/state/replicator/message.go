package replicator

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Kinds of messages between the VMs of a group.
const (
	kindAppend           scheduler.MessageKind = "append"
	kindAppendResponse   scheduler.MessageKind = "appendAnswer"
	kindVote             scheduler.MessageKind = "vote"
	kindVoteResponse     scheduler.MessageKind = "voteAnswer"
	kindPreVote          scheduler.MessageKind = "preVote"
	kindPreVoteResponse  scheduler.MessageKind = "preVoteAnswer"
	kindSnapshotChunk    scheduler.MessageKind = "snapshotPart"
	kindSnapshotResponse scheduler.MessageKind = "snapshotAnswer"
	kindTransfer         scheduler.MessageKind = "transfer"
	kindPropose          scheduler.MessageKind = "propose"
	kindRead             scheduler.MessageKind = "read"
)

// Messages are encoded as CBOR arrays without field names to keep them small, because heartbeats are most
// of the traffic of an idle group.

// appendMessage carries log entries, or none if it is a heartbeat. Sent is the leader's clock when the
// message was sent. The response returns it, so that the leader knows the send time of the acknowledged
// message.
type appendMessage struct {
	_           struct{} `cbor:",toarray"`
	Term        scheduler.Term
	Incarnation scheduler.Incarnation
	PrevIndex   scheduler.Index
	PrevTerm    scheduler.Term
	Commit      scheduler.Index
	Sent        int64
	Entries     []wireEntry
}

// wireEntry is an entry without its index, which follows from its position in the message.
type wireEntry struct {
	_    struct{} `cbor:",toarray"`
	Term scheduler.Term
	Kind uint8
	Data []byte
}

// appendResponse reports in Match the last index at which the log matches the leader's log and is durable.
// If Reject is set, Match is instead the last index at which the logs may match.
type appendResponse struct {
	_           struct{} `cbor:",toarray"`
	Term        scheduler.Term
	Incarnation scheduler.Incarnation
	Reject      bool
	Match       scheduler.Index
	PrevIndex   scheduler.Index
	Sent        int64
}

// voteMessage requests a vote or, in a pre-vote, asks whether a vote would be granted.
type voteMessage struct {
	_           struct{} `cbor:",toarray"`
	Term        scheduler.Term
	Incarnation scheduler.Incarnation
	LastIndex   scheduler.Index
	LastTerm    scheduler.Term
	// Transfer is set if the leader requested the election to transfer leadership.
	Transfer bool
}

type voteResponse struct {
	_           struct{} `cbor:",toarray"`
	Term        scheduler.Term
	RequestTerm scheduler.Term
	Incarnation scheduler.Incarnation
	Granted     bool
}

type snapshotChunk struct {
	_           struct{} `cbor:",toarray"`
	Term        scheduler.Term
	Incarnation scheduler.Incarnation
	Index       scheduler.Index
	IndexTerm   scheduler.Term
	Membership  []byte
	Size        uint64
	Checksum    uint32
	Offset      uint64
	Sent        int64
	Data        []byte
}

// snapshotResponse reports in Offset how many bytes of the snapshot the receiver has.
type snapshotResponse struct {
	_           struct{} `cbor:",toarray"`
	Term        scheduler.Term
	Incarnation scheduler.Incarnation
	Index       scheduler.Index
	Checksum    uint32
	Offset      uint64
	Sent        int64
}

type transferMessage struct {
	_    struct{} `cbor:",toarray"`
	Term scheduler.Term
}

// proposeMessage forwards a command or a membership change to the leader.
type proposeMessage struct {
	_       struct{} `cbor:",toarray"`
	Command []byte
	Change  *change
}

type readResponse struct {
	_     struct{} `cbor:",toarray"`
	Index scheduler.Index
}

const (
	wireCommand uint8 = iota
	wireMembership
	wireNoOp
)

func newWireEntry(entry scheduler.Entry) wireEntry {
	kind := wireCommand
	switch entry.Kind {
	case scheduler.EntryMembership:
		kind = wireMembership
	case scheduler.EntryNoOp:
		kind = wireNoOp
	}
	return wireEntry{Term: entry.Term, Kind: kind, Data: entry.Data}
}

func (wireEntry wireEntry) entry(index scheduler.Index) scheduler.Entry {
	kind := scheduler.EntryCommand
	switch wireEntry.Kind {
	case wireMembership:
		kind = scheduler.EntryMembership
	case wireNoOp:
		kind = scheduler.EntryNoOp
	}
	return scheduler.Entry{Index: index, Term: wireEntry.Term, Kind: kind, Data: wireEntry.Data}
}

// encode panics on an error, because only an unsupported type can cause one.
func encode(message any) []byte {
	body, err := cbor.Marshal(message)
	if err != nil {
		panic(err)
	}
	return body
}

func decode[T any](body []byte) (*T, error) {
	message := new(T)
	if err := cbor.Unmarshal(body, message); err != nil {
		return nil, Error.Wrap(err)
	}
	return message, nil
}
