package replicator

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// Kinds of messages between the VMs of a group.
const (
	kindAppend         scheduler.MessageKind = "append"
	kindAppendAnswer   scheduler.MessageKind = "appendAnswer"
	kindVote           scheduler.MessageKind = "vote"
	kindVoteAnswer     scheduler.MessageKind = "voteAnswer"
	kindPreVote        scheduler.MessageKind = "preVote"
	kindPreVoteAnswer  scheduler.MessageKind = "preVoteAnswer"
	kindSnapshotPart   scheduler.MessageKind = "snapshotPart"
	kindSnapshotAnswer scheduler.MessageKind = "snapshotAnswer"
	kindTransfer       scheduler.MessageKind = "transfer"
	kindPropose        scheduler.MessageKind = "propose"
	kindRead           scheduler.MessageKind = "read"
)

// The bodies are CBOR arrays without field names, because heartbeats are the larger part of an idle
// group's traffic.

// appendMessage carries entries, or none as a heartbeat. Sent is the leader's clock at sending; the
// answer returns it, so that the leader can date the round.
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

// wireEntry is an entry whose index follows from its position.
type wireEntry struct {
	_    struct{} `cbor:",toarray"`
	Term scheduler.Term
	Kind uint8
	Data []byte
}

// appendAnswer reports the last index that is equal to the leader's and durable. When Reject is set,
// Match is instead the last index at which the logs may be equal.
type appendAnswer struct {
	_           struct{} `cbor:",toarray"`
	Term        scheduler.Term
	Incarnation scheduler.Incarnation
	Reject      bool
	Match       scheduler.Index
	PrevIndex   scheduler.Index
	Sent        int64
}

// voteMessage asks for a vote, or in a pre-vote whether a vote would be granted.
type voteMessage struct {
	_           struct{} `cbor:",toarray"`
	Term        scheduler.Term
	Incarnation scheduler.Incarnation
	LastIndex   scheduler.Index
	LastTerm    scheduler.Term
	// Transfer is set when the leader itself asked for the election.
	Transfer bool
}

type voteAnswer struct {
	_           struct{} `cbor:",toarray"`
	Term        scheduler.Term
	Asked       scheduler.Term
	Incarnation scheduler.Incarnation
	Granted     bool
}

type snapshotPart struct {
	_           struct{} `cbor:",toarray"`
	Term        scheduler.Term
	Incarnation scheduler.Incarnation
	Index       scheduler.Index
	IndexTerm   scheduler.Term
	Membership  []byte
	Size        uint64
	Sum         uint32
	Offset      uint64
	Sent        int64
	Data        []byte
}

// snapshotAnswer reports how many bytes of the snapshot the receiver holds.
type snapshotAnswer struct {
	_           struct{} `cbor:",toarray"`
	Term        scheduler.Term
	Incarnation scheduler.Incarnation
	Index       scheduler.Index
	Sum         uint32
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

type readAnswer struct {
	_     struct{} `cbor:",toarray"`
	Index scheduler.Index
}

const (
	wireCommand uint8 = iota
	wireMembership
	wireNoOp
)

func toWire(entry scheduler.Entry) wireEntry {
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

// encode panics on failure, which only an unsupported type can cause.
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
