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

// failure describes why a request gets no response from an endpoint.
type failure struct {
	status     int
	code       string
	outcome    scheduler.Outcome
	message    string
	retryAfter time.Duration
}

// errorResponse is the JSON body of the response to a failed request.
type errorResponse struct {
	Code      string            `json:"code"`
	Outcome   scheduler.Outcome `json:"outcome"`
	Message   string            `json:"message"`
	RequestID string            `json:"requestId"`
}

// reject returns the failure of a request that has certainly not been executed.
func reject(status int, code, message string) *failure {
	return &failure{status: status, code: code, outcome: scheduler.OutcomeNotRun, message: message}
}

// withRetryAfter sets the time after which the caller should retry, and returns the failure.
func (failure *failure) withRetryAfter(delay time.Duration) *failure {
	failure.retryAfter = delay
	return failure
}

// write sends the failure to the caller. It must be called before any part of a response has been sent.
func (failure *failure) write(w http.ResponseWriter, id string) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(forwarder.HeaderOutcome, string(failure.outcome))
	header.Set(forwarder.HeaderRequestID, id)
	if failure.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.retryAfter.Seconds()))))
	}
	w.WriteHeader(failure.status)
	// The error is ignored: writing fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(errorResponse{
		Code: failure.code, Outcome: failure.outcome, Message: failure.message, RequestID: id,
	})
}

// recorder collects the part of a response that is stored in order to respond to a resend of the request. A body that
// is larger than maxBufferedBytes is not stored.
type recorder struct {
	response scheduler.StoredResponse
}

func newRecorder(response *http.Response) *recorder {
	storedHeader := map[string]string{}
	for _, name := range []string{
		"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag", "Last-Modified", "Cache-Control",
	} {
		if value := response.Header.Get(name); value != "" {
			storedHeader[name] = value
		}
	}
	return &recorder{response: scheduler.StoredResponse{Status: response.StatusCode, Header: storedHeader}}
}

func (recorder *recorder) add(part []byte) {
	switch {
	case recorder.response.Truncated:
	case len(recorder.response.Body)+len(part) > maxBufferedBytes:
		recorder.response.Truncated, recorder.response.Body = true, nil
	default:
		recorder.response.Body = append(recorder.response.Body, part...)
	}
}

// replay sends a stored response.
func replay(w http.ResponseWriter, response scheduler.StoredResponse, id string) {
	header := w.Header()
	for name, value := range response.Header {
		header.Set(name, value)
	}
	header.Set(forwarder.HeaderOutcome, string(scheduler.OutcomeDone))
	header.Set(forwarder.HeaderRequestID, id)
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}
