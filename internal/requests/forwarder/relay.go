package forwarder

import (
	"io"
	"maps"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"sync"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// copySize bounds the memory that a relayed body takes; a slow reader slows the writer down.
const copySize = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// hopByHop are the headers that belong to one connection.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEnd returns a copy of the headers without those that belong to one connection.
func endToEnd(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		kept = http.Header{}
	}
	for _, line := range kept["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			kept.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}

// Relay copies a response to the caller and closes its body. seen, when not nil, gets each part of the
// body. When the body breaks off, the caller's connection is reset and the error is returned. outcome is
// OutcomeDone but for a response in which another gateway states its own.
func Relay(w http.ResponseWriter, response *http.Response, outcome scheduler.Outcome, requestID string, seen func(part []byte)) error {
	defer func() { _ = response.Body.Close() }()
	header := w.Header()
	for name, values := range endToEnd(response.Header) {
		header[name] = values
	}
	declared := slices.Collect(maps.Keys(response.Trailer))
	for _, name := range declared {
		header.Add("Trailer", name)
	}
	header.Set(HeaderOutcome, string(outcome))
	header.Set(HeaderRequestID, requestID)
	w.WriteHeader(response.StatusCode)
	if err := copyBody(w, response, seen); err != nil {
		ResetConnection(w)
		return Error.New("relay response: %v", err)
	}
	for name, values := range response.Trailer {
		if !slices.Contains(declared, name) {
			name = http.TrailerPrefix + name
		}
		header[name] = values
	}
	return nil
}

// copyBody flushes after each part when the length is not known, since such responses may be streams.
func copyBody(w http.ResponseWriter, response *http.Response, seen func(part []byte)) error {
	buffer, _ := buffers.Get().(*[copySize]byte)
	defer buffers.Put(buffer)
	control := http.NewResponseController(w)
	for {
		count, err := response.Body.Read(buffer[:])
		if count > 0 {
			if _, err := w.Write(buffer[:count]); err != nil {
				return err
			}
			if seen != nil {
				seen(buffer[:count])
			}
			if response.ContentLength < 0 {
				if err := control.Flush(); err != nil {
					return err
				}
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// ResetConnection resets the caller's connection, so that the caller cannot take a response that has broken off for
// a whole one.
func ResetConnection(w http.ResponseWriter) {
	caller, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := caller.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = caller.Close()
}
