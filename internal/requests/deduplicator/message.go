package deduplicator

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// keyRetention is how long a key is kept after its last use, and the maximum age of a key with an issue
	// time.
	keyRetention = 24 * time.Hour
	// deadlineGracePeriod is the time after its deadline at which an unfinished request's outcome becomes unknown.
	deadlineGracePeriod = 5 * time.Second
	// maxIssueTimeSkew is how far ahead of the machine's clock an issue time is accepted. The record of a key with
	// a later one would have to be kept for longer than keyRetention, so it expires by its last use instead.
	maxIssueTimeSkew = time.Hour
	// maxBodyBytes and maxHeaderBytes limit the body and the header of a stored response. A response that exceeds
	// one of them is stored without both.
	maxBodyBytes   = 64 << 10
	maxHeaderBytes = 8 << 10
	// MaxKeyLength is the maximum length of a key in bytes.
	MaxKeyLength = 255
)

type commandKind string

const (
	commandBegin    commandKind = "begin"
	commandFinish   commandKind = "finish"
	commandRegister commandKind = "alive"
)

// command is one log entry. Its times, such as Now and Deadline, are wall-clock times of the proposing gateway in
// Unix milliseconds.
type command struct {
	Kind   commandKind `cbor:"k"`
	Now    int64       `cbor:"n"`
	Key    string      `cbor:"y,omitempty"`
	Digest []byte      `cbor:"d,omitempty"`
	// Attempt is a random identifier. A proposal that is retried because its outcome was unknown keeps it, so that
	// the machine recognises it.
	Attempt     []byte                   `cbor:"a,omitempty"`
	VM          scheduler.VMName         `cbor:"v,omitempty"`
	Incarnation scheduler.Incarnation    `cbor:"i,omitempty"`
	Deadline    int64                    `cbor:"e,omitempty"`
	Outcome     scheduler.Outcome        `cbor:"o,omitempty"`
	Response    scheduler.StoredResponse `cbor:"r"`
}

type resultKind string

const (
	resultRun       resultKind = "run"
	resultRunning   resultKind = "running"
	resultCompleted resultKind = "answered"
	resultUnknown   resultKind = "unknown"
	resultConflict  resultKind = "conflict"
	resultFull      resultKind = "full"
	resultStale     resultKind = "late"
	resultInvalid   resultKind = "invalid"
	resultOK        resultKind = "ok"
)

type result struct {
	Kind     resultKind               `cbor:"k"`
	Response scheduler.StoredResponse `cbor:"r"`
}
