package relayer

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// kindOrder is the kind of messages with an order to a worker. kindPermit is the kind of requests for a
	// permitResponse, from which the leader calculates permits.
	kindOrder  scheduler.MessageKind = "workerOrder"
	kindPermit scheduler.MessageKind = "workerPermit"
)

// orderMessage is an order that a relay is to send to a worker. It is a wire type; exactly one of the last four fields
// is set.
type orderMessage struct {
	_      struct{} `cbor:",toarray"`
	Worker scheduler.WorkerRef
	Permit permit
	// Timeout bounds the wait for the worker's response.
	Timeout  time.Duration
	Start    *scheduler.StartOrder
	Stop     *stopOrder
	Renew    *scheduler.RenewOrder
	Throttle *throttleOrder
}

// token returns the fencing token of the order.
func (orderMessage *orderMessage) token() scheduler.Term {
	switch {
	case orderMessage.Start != nil:
		return orderMessage.Start.Token
	case orderMessage.Stop != nil:
		return orderMessage.Stop.Token
	case orderMessage.Renew != nil:
		return orderMessage.Renew.Token
	case orderMessage.Throttle != nil:
		return orderMessage.Throttle.Token
	}
	return 0
}

type stopOrder struct {
	_     struct{} `cbor:",toarray"`
	Run   scheduler.RunID
	Token scheduler.Term
}

type throttleOrder struct {
	_       struct{} `cbor:",toarray"`
	Run     scheduler.RunID
	Percent int
	Token   scheduler.Term
}

// permit allows one process to send an order until a time on the clock of that process. It is a wire type.
type permit struct {
	_ struct{} `cbor:",toarray"`
	// Process identifies the process, since a VM runs a new process after a restart.
	Process uint64
	Until   time.Duration
}

// permitResponse holds the process id and the clock of a relay. It is a wire type.
type permitResponse struct {
	_       struct{} `cbor:",toarray"`
	Process uint64
	Clock   time.Duration
}

// responseMessage is the response to an orderMessage. It is a wire type; Report is set for renewals.
type responseMessage struct {
	_        struct{} `cbor:",toarray"`
	Response scheduler.OrderResponse
	Report   *scheduler.WorkerReport
}
