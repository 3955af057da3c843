package allocator

import (
	"maps"
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
// connection or valid share of this gateway. An ask with a base lists only what differs from that earlier
// ask, because most claims of a gateway stay the same from one ask to the next.
type ask struct {
	Gateway scheduler.GatewayID `cbor:"g"`
	// Session is the term of the allocator that the gateway believes it asks. It is learned from
	// that allocator's answers, so an ask that was composed for an earlier allocator is refused.
	Session scheduler.Term `cbor:"s"`
	// Number rises with every ask of the gateway's life. The gateway accepts only the answer to its
	// latest ask, so after an ask it holds what the ask says until that ask is answered.
	Number  uint64 `cbor:"n"`
	Leaving bool   `cbor:"l,omitempty"`
	// Base is the number of the last answered ask, 0 when all claims are listed.
	Base   uint64  `cbor:"b,omitempty"`
	Claims []claim `cbor:"c"`
	// Gone lists the endpoints of the base that are no longer claimed.
	Gone []scheduler.EndpointName `cbor:"x,omitempty"`
}

// all returns the whole claims of an ask, given those of its base.
func (ask ask) all(base map[scheduler.EndpointName]claim) map[scheduler.EndpointName]claim {
	claims := make(map[scheduler.EndpointName]claim, len(base)+len(ask.Claims))
	if ask.Base != 0 {
		maps.Copy(claims, base)
	}
	for _, endpoint := range ask.Gone {
		delete(claims, endpoint)
	}
	for _, claimed := range ask.Claims {
		claims[claimed.Endpoint] = claimed
	}
	return claims
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

// answerMessage lists the grants that differ from those of the ask's base, or all of them. Refused is
// true when the ask was meant for another allocator; the gateway asks again for Session. Rebase is true
// when the allocator did not answer the base last; the gateway asks again with all claims.
type answerMessage struct {
	Session scheduler.Term `cbor:"s"`
	Refused bool           `cbor:"r,omitempty"`
	Rebase  bool           `cbor:"b,omitempty"`
	Grants  []givenGrant   `cbor:"g"`
}

// list lists the claims, or what differs from the claims of the base.
func (ask *ask) list(claims, base map[scheduler.EndpointName]claim) {
	if ask.Base == 0 {
		base = nil
	}
	for endpoint, made := range claims {
		if same, found := base[endpoint]; !found || same != made {
			ask.Claims = append(ask.Claims, made)
		}
	}
	for endpoint := range base {
		if _, found := claims[endpoint]; !found {
			ask.Gone = append(ask.Gone, endpoint)
		}
	}
}

// all returns the grants of all claims, given those of the ask's base. ok is false when a claim has none.
func (answerMessage answerMessage) all(claims map[scheduler.EndpointName]claim, base map[scheduler.EndpointName]grant,
) (grants map[scheduler.EndpointName]grant, ok bool) {
	grants = make(map[scheduler.EndpointName]grant, len(claims))
	for endpoint := range claims {
		if given, found := base[endpoint]; found {
			grants[endpoint] = given
		}
	}
	for _, given := range answerMessage.Grants {
		if _, claimed := claims[given.Endpoint]; claimed {
			grants[given.Endpoint] = grant{Slots: given.Slots, Connections: given.Connections}
		}
	}
	return grants, len(grants) == len(claims)
}

// givenGrant is a grant with its endpoint.
type givenGrant struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    scheduler.EndpointName
	Slots       int
	Connections int
}

// grant is what a gateway may use at one endpoint.
type grant struct {
	Slots       int
	Connections int
}
