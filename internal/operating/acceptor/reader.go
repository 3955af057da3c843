package acceptor

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/zeebo/errs"
)

// Classes of errors of requests that are refused before they have any effect.
var (
	// ErrTooLarge is the class of errors for bodies above the limit of their kind.
	ErrTooLarge = errs.Class("body too large")
	// ErrNoRoom is the class of errors for bodies for which there is no memory.
	ErrNoRoom = errs.Class("no room for the body")
	// ErrStalled is the class of errors for clients that send too slowly.
	ErrStalled = errs.Class("body too slow")
)

// retryDelay is how long a client that is refused for want of room is asked to wait.
const retryDelay = 2 * time.Second

// firstBufferBytes is the size of the first buffer of a body of unknown length.
const firstBufferBytes = 4 << 10

// Reserve counts bytes of memory for a request until its handler returns. The error is of class ErrNoRoom. Requests
// without a body and those that no Acceptor admitted are not counted.
func Reserve(request *http.Request, bytes int64) error {
	if body, ok := request.Body.(*body); ok {
		return body.reserve(bytes)
	}
	return nil
}

// ReadBody reads a body of up to limit bytes. Memory is taken as bytes arrive, whatever length the client announces, and
// counts until the handler returns.
func ReadBody(request *http.Request, limit int64) ([]byte, error) {
	if request.ContentLength > limit {
		return nil, ErrTooLarge.New("%d bytes, want at most %d", request.ContentLength, limit)
	}
	if request.ContentLength == 0 {
		return nil, nil
	}
	// One byte more than the limit shows that the body is too large.
	largest := limit + 1
	if request.ContentLength >= 0 {
		largest = request.ContentLength
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			grown, err := grow(request, buffer, largest)
			if err != nil {
				return nil, err
			}
			buffer = grown
		}
		count, err := request.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+count]
		switch {
		case int64(len(buffer)) > limit:
			return nil, ErrTooLarge.New("more than %d bytes", limit)
		case errors.Is(err, io.EOF) || err == nil && int64(len(buffer)) == request.ContentLength:
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow returns a buffer of twice the size, up to largest bytes.
func grow(request *http.Request, buffer []byte, largest int64) ([]byte, error) {
	size := max(2*int64(cap(buffer)), firstBufferBytes)
	if len(buffer) == 0 && request.ContentLength >= 0 {
		size = max(size, DefaultSmallBodyBytes)
	}
	size = min(size, largest)
	if err := Reserve(request, size-int64(cap(buffer))); err != nil {
		return nil, err
	}
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	return grown, nil
}

// WriteError writes the response to a request whose body could not be read. The request had no effect.
func WriteError(writer http.ResponseWriter, err error) {
	code := http.StatusBadRequest
	switch {
	case ErrTooLarge.Has(err):
		code = http.StatusRequestEntityTooLarge
	case ErrStalled.Has(err):
		code = http.StatusRequestTimeout
	case ErrNoRoom.Has(err):
		code = http.StatusServiceUnavailable
		writer.Header().Set("Retry-After", strconv.Itoa(int(retryDelay.Seconds())))
	}
	// The rest of the body is not worth reading.
	writer.Header().Set("Connection", "close")
	http.Error(writer, "cannot read the request body", code)
}
