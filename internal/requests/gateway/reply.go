package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/crocusplank/crocusplank/internal/requests/forwarder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fault is why a request gets no response from an endpoint.
type fault struct {
	status     int
	code       string
	outcome    scheduler.Outcome
	message    string
	retryAfter time.Duration
}

// reply is the JSON body of an error.
type reply struct {
	Code      string            `json:"code"`
	Outcome   scheduler.Outcome `json:"outcome"`
	Message   string            `json:"message"`
	RequestID string            `json:"requestId"`
}

// refuse returns the fault of a request that was surely not run.
func refuse(status int, code, message string) *fault {
	return &fault{status: status, code: code, outcome: scheduler.OutcomeNotRun, message: message}
}

// after adds when another attempt makes sense.
func (fault *fault) after(pause time.Duration) *fault {
	fault.retryAfter = pause
	return fault
}

// write sends the fault. Nothing has been sent to the caller before.
func (fault *fault) write(w http.ResponseWriter, id string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(forwarder.HeaderOutcome, string(fault.outcome))
	header.Set(forwarder.HeaderRequestID, id)
	if fault.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(fault.retryAfter.Seconds()))))
	}
	w.WriteHeader(fault.status)
	// A caller that has gone away cannot be told anything.
	_ = json.NewEncoder(w).Encode(reply{Code: fault.code, Outcome: fault.outcome, Message: fault.message, RequestID: id})
}

// recorder keeps the part of a response that is stored for resends.
type recorder struct {
	answer scheduler.StoredResponse
}

func newRecorder(response *http.Response) *recorder {
	kept := map[string]string{}
	for _, name := range []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag", "Last-Modified", "Cache-Control"} {
		if value := response.Header.Get(name); value != "" {
			kept[name] = value
		}
	}
	return &recorder{answer: scheduler.StoredResponse{Status: response.StatusCode, Header: kept}}
}

func (recorder *recorder) add(part []byte) {
	switch {
	case recorder.answer.Truncated:
	case len(recorder.answer.Body)+len(part) > bufferLimit:
		recorder.answer.Truncated, recorder.answer.Body = true, nil
	default:
		recorder.answer.Body = append(recorder.answer.Body, part...)
	}
}

// replay sends a stored answer.
func replay(w http.ResponseWriter, answer scheduler.StoredResponse, id string) {
	header := w.Header()
	for name, value := range answer.Header {
		header.Set(name, value)
	}
	header.Set(forwarder.HeaderOutcome, string(scheduler.OutcomeDone))
	header.Set(forwarder.HeaderRequestID, id)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
