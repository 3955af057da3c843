package relayer

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	// kindOrder carries an order to a worker, kindPermit asks what a permit needs.
	kindOrder  scheduler.MessageKind = "workerOrder"
	kindPermit scheduler.MessageKind = "workerPermit"
)

// orderMessage is an order that another VM sends. It is a wire type; exactly one of the last four fields is set.
type orderMessage struct {
	_      struct{} `cbor:",toarray"`
	Worker scheduler.WorkerRef
	Permit permit
	// Timeout bounds the wait for the worker's answer.
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

// permit allows one process to send an order until a time on its own clock. It is a wire type.
type permit struct {
	_ struct{} `cbor:",toarray"`
	// Process distinguishes the processes that run on a VM one after the other.
	Process uint64
	Until   time.Duration
}

// permitAnswer tells the process that answers and its clock. It is a wire type.
type permitAnswer struct {
	_       struct{} `cbor:",toarray"`
	Process uint64
	Clock   time.Duration
}

// answerMessage is the answer to an orderMessage. It is a wire type; Report is set for renewals.
type answerMessage struct {
	_      struct{} `cbor:",toarray"`
	Answer scheduler.OrderResponse
	Report *scheduler.WorkerReport
}
