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

// copyBufferSize limits the memory for relaying a body. A slow reader applies backpressure to the writer.
const copyBufferSize = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// hopByHopHeaders are the headers that apply to a single connection and must not be forwarded.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy of the headers without the hop-by-hop headers.
func endToEndHeaders(header http.Header) http.Header {
	filtered := header.Clone()
	if filtered == nil {
		filtered = http.Header{}
	}
	for _, line := range filtered["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			filtered.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		filtered.Del(name)
	}
	return filtered
}

// Relay copies a response to the caller and closes its body. If observe is not nil, it is called with each part of the
// body. If copying the body fails, Relay resets the caller's connection and returns the error. outcome is OutcomeDone,
// except for a response from another gateway that states its own outcome.
func Relay(w http.ResponseWriter, response *http.Response, outcome scheduler.Outcome, requestID string, observe func(part []byte)) error {
	defer func() { _ = response.Body.Close() }()
	header := w.Header()
	for name, values := range endToEndHeaders(response.Header) {
		header[name] = values
	}
	declared := slices.Collect(maps.Keys(response.Trailer))
	for _, name := range declared {
		header.Add("Trailer", name)
	}
	header.Set(HeaderOutcome, string(outcome))
	header.Set(HeaderRequestID, requestID)
	w.WriteHeader(response.StatusCode)
	if err := copyBody(w, response, observe); err != nil {
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

// copyBody copies the body. It flushes after each part if the length is unknown, because the response may be a stream.
func copyBody(w http.ResponseWriter, response *http.Response, observe func(part []byte)) error {
	buffer, _ := buffers.Get().(*[copyBufferSize]byte)
	defer buffers.Put(buffer)
	controller := http.NewResponseController(w)
	for {
		count, err := response.Body.Read(buffer[:])
		if count > 0 {
			if _, err := w.Write(buffer[:count]); err != nil {
				return err
			}
			if observe != nil {
				observe(buffer[:count])
			}
			if response.ContentLength < 0 {
				if err := controller.Flush(); err != nil {
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

// ResetConnection resets the caller's connection, so that the caller cannot mistake a truncated response for a complete
// one.
func ResetConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcpConn := tcpConnOf(conn); tcpConn != nil {
		_ = tcpConn.SetLinger(0)
		// The end of a TLS connection would be announced to the caller, as after a complete response.
		_ = tcpConn.Close()
	}
	_ = conn.Close()
}

// tcpConnOf returns the TCP connection below a connection that wraps it, or nil.
func tcpConnOf(conn net.Conn) *net.TCPConn {
	for {
		switch known := conn.(type) {
		case *net.TCPConn:
			return known
		case interface{ NetConn() net.Conn }:
			conn = known.NetConn()
		default:
			return nil
		}
	}
}
