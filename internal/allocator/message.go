package allocator

import (
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	kindShareAsk scheduler.MessageKind = "shareAsk"
	// askPeriod is how often a gateway states its needs.
	askPeriod = 250 * time.Millisecond
	// shareLife is how long a share is valid at the gateway, counted from when it asked.
	shareLife = 2 * time.Second
	// grantLife is how long a share counts at the allocator, counted from when it answered.
	grantLife = 3 * time.Second
	// announcementDelay is the longest time between the sending and the receipt of an announcement.
	// Endpoints abandon one after 1 s, on a clock whose rate may differ by 10%.
	announcementDelay = 1100 * time.Millisecond
	// proofAfter is the age of a grant from which a received announcement proves what is in progress
	// under it. The share ended at the gateway after at most 2 s on such a clock.
	proofAfter = 2200*time.Millisecond + announcementDelay
	// connectionLife is how long connections of an expired share count. Endpoints close a connection
	// that has been idle for 60 s.
	connectionLife = grantLife + 60*time.Second
)

// ask states everything that a gateway holds and needs. An endpoint that is not listed has no request,
// connection or valid share of this gateway.
type ask struct {
	Gateway scheduler.GatewayID `cbor:"g"`
	// Session is the term of the allocator that the gateway believes it asks. It is learned from
	// that allocator's answers, so an ask that was composed for an earlier allocator is refused.
	Session scheduler.Term `cbor:"s"`
	// Number rises with every ask of the gateway's life. The gateway accepts only the answer to its
	// latest ask, so after an ask it holds what the ask says until that ask is answered.
	Number  uint64  `cbor:"n"`
	Leaving bool    `cbor:"l,omitempty"`
	Claims  []claim `cbor:"c"`
}

// claim is encoded as an array, which saves the field names in every element.
type claim struct {
	_        struct{} `cbor:",toarray"`
	Endpoint scheduler.EndpointName
	// Limit is the valid share, 0 when it has expired.
	Limit int
	// InUse counts requests, which go on after a share has expired or shrunk.
	InUse int
	// Demand is what the gateway could use.
	Demand int
	// ConnectionLimit and Open are the same for connections.
	ConnectionLimit int
	Open            int
}

// answerMessage lists the grants in the order of the claims. Refused is true when the ask was meant for
// another allocator; the gateway asks again for Session.
type answerMessage struct {
	Session scheduler.Term `cbor:"s"`
	Refused bool           `cbor:"r,omitempty"`
	Grants  []grant        `cbor:"g"`
}

type grant struct {
	_           struct{} `cbor:",toarray"`
	Slots       int
	Connections int
}
