package deduplicator

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// keyLife is how long a key is kept after its last use, and how old a key with an issue time may
	// be.
	keyLife = 24 * time.Hour
	// graceAfterDeadline is when a request whose gateway has not finished it counts as unknown.
	graceAfterDeadline = 5 * time.Second
	// futureLimit is how far ahead of the machine's clock an issue time is believed. A key from
	// further ahead would have to be kept for longer than its life.
	futureLimit = time.Hour
	// answerLimit is how much of an answer's body is kept, headerLimit how much of its header.
	answerLimit = 64 << 10
	headerLimit = 8 << 10
	// MaxKeyLength is the length of the longest key.
	MaxKeyLength = 255
)

type commandKind string

const (
	commandBegin  commandKind = "begin"
	commandFinish commandKind = "finish"
	commandAlive  commandKind = "alive"
)

// command is one entry of the log. Now, Deadline and other times are milliseconds of the wall clock of
// the gateway that proposed it.
type command struct {
	Kind   commandKind `cbor:"k"`
	Now    int64       `cbor:"n"`
	Key    string      `cbor:"y,omitempty"`
	Digest []byte      `cbor:"d,omitempty"`
	// Attempt is random. A proposal that is repeated because its outcome was unknown has the same.
	Attempt  []byte                   `cbor:"a,omitempty"`
	VM       scheduler.VMName         `cbor:"v,omitempty"`
	Life     scheduler.Incarnation    `cbor:"i,omitempty"`
	Deadline int64                    `cbor:"e,omitempty"`
	Outcome  scheduler.Outcome        `cbor:"o,omitempty"`
	Answer   scheduler.StoredResponse `cbor:"r"`
}

type resultKind string

const (
	resultRun      resultKind = "run"
	resultRunning  resultKind = "running"
	resultAnswered resultKind = "answered"
	resultUnknown  resultKind = "unknown"
	resultConflict resultKind = "conflict"
	resultFull     resultKind = "full"
	resultLate     resultKind = "late"
	resultInvalid  resultKind = "invalid"
	resultOK       resultKind = "ok"
)

type result struct {
	Kind   resultKind               `cbor:"k"`
	Answer scheduler.StoredResponse `cbor:"r"`
}
