package messenger

import (
	"errors"
	"io"
	"math"
	"sync"
)

// ownMessageBytes is the size of the buffer that each connection has for itself, for messages that are smaller. It fits a
// full batch and one more frame of a usual size.
const ownMessageBytes = 2 * maxBatchSize

// budget bounds the memory of the incoming messages of all connections, without the first ownMessageBytes of each. It is
// safe for concurrent use.
type budget struct {
	limit int64
	mutex sync.Mutex
	used  int64
}

func newBudget(limit int64) *budget { return &budget{limit: limit} }

// unlimited is the budget of outgoing connections, whose peers were chosen by this VM.
func unlimited() *budget { return newBudget(math.MaxInt64) }

// take takes more bytes for a message that holds some already. A message that holds the whole budget alone may exceed it, so
// that a single message of any allowed size can always be read.
func (budget *budget) take(held, more int64) bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if more > budget.limit-budget.used && budget.used != held {
		return false
	}
	budget.used += more
	return true
}

func (budget *budget) give(bytes int64) {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.used -= bytes
}

// messageBuffer is the buffer of a connection for one message at a time.
type messageBuffer struct {
	budget *budget
	data   []byte
	taken  int64
}

// readFrom reads a message. The error tells that it is larger than the budget allows now, or that it cannot be read.
func (buffer *messageBuffer) readFrom(message io.Reader) error {
	buffer.data = buffer.data[:0]
	for {
		if len(buffer.data) == cap(buffer.data) {
			if err := buffer.grow(); err != nil {
				return err
			}
		}
		count, err := message.Read(buffer.data[len(buffer.data):cap(buffer.data)])
		buffer.data = buffer.data[:len(buffer.data)+count]
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}

func (buffer *messageBuffer) grow() error {
	size := max(2*cap(buffer.data), maxBatchSize/8)
	if more := int64(size) - ownMessageBytes - buffer.taken; more > 0 {
		if !buffer.budget.take(buffer.taken, more) {
			return Error.New("no room for a message of more than %d bytes", len(buffer.data))
		}
		buffer.taken += more
	}
	grown := make([]byte, len(buffer.data), size)
	copy(grown, buffer.data)
	buffer.data = grown
	return nil
}

// release gives back what the message took from the budget.
func (buffer *messageBuffer) release() {
	if buffer.taken == 0 {
		return
	}
	buffer.budget.give(buffer.taken)
	buffer.data, buffer.taken = nil, 0
}
