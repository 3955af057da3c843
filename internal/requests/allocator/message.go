package allocator

import (
	"maps"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	kindShareRequest scheduler.MessageKind = "shareAsk"
	// requestInterval is the interval at which a gateway sends share requests.
	requestInterval = 250 * time.Millisecond
	// shareTTL is the validity of a share at the gateway, measured from the time of its share request.
	shareTTL = 2 * time.Second
	// grantTTL is the validity of a share at the allocator, measured from the time of its response.
	grantTTL = 3 * time.Second
	// maxAnnouncementDelay is the maximum time between sending and receiving an announcement. Endpoints abandon an
	// announcement after 1 s, measured on a clock whose rate may differ by 10%.
	maxAnnouncementDelay = 1100 * time.Millisecond
	// proofDelay is the age of a grant from which a received announcement proves how many requests are in progress
	// under it. The gateway's share expires after at most 2 s on such a clock, so no request starts later than that.
	// It is also the age of a term from which the shares of earlier terms have expired, and from which a received
	// announcement proves how many requests are in progress under them.
	proofDelay = 2200*time.Millisecond + maxAnnouncementDelay
	// connectionTTL is how long connections of an expired share count. Endpoints close a connection after 60 s
	// without use.
	connectionTTL = grantTTL + 60*time.Second
)

// shareRequest reports the usage and demand of a gateway at all endpoints. At an endpoint that is not listed, the
// gateway has no requests, connections or valid share. A request with a baseline lists only the differences from that
// earlier request, because most reports do not change between consecutive requests.
type shareRequest struct {
	Gateway scheduler.GatewayID `cbor:"g"`
	// Term is the leader term for which the request was built. The gateway learns it from the allocator's responses,
	// so the allocator of a later term rejects the request.
	Term scheduler.Term `cbor:"s"`
	// Number increases with every request of a gateway incarnation. The gateway accepts only the response to its
	// latest request, so the reported shares remain in effect until that request is answered.
	Number  uint64 `cbor:"n"`
	Leaving bool   `cbor:"l,omitempty"`
	// Baseline is the number of the last answered request, or 0 if the request lists all reports.
	Baseline uint64           `cbor:"b,omitempty"`
	Reports  []endpointReport `cbor:"c"`
	// Removed lists the endpoints of the baseline that are no longer reported.
	Removed []scheduler.EndpointName `cbor:"x,omitempty"`
}

// applyTo returns the complete reports of a request, given the reports of its baseline.
func (shareRequest shareRequest) applyTo(
	baseline map[scheduler.EndpointName]endpointReport,
) map[scheduler.EndpointName]endpointReport {
	reports := make(map[scheduler.EndpointName]endpointReport, len(baseline)+len(shareRequest.Reports))
	if shareRequest.Baseline != 0 {
		maps.Copy(reports, baseline)
	}
	for _, endpoint := range shareRequest.Removed {
		delete(reports, endpoint)
	}
	for _, report := range shareRequest.Reports {
		reports[report.Endpoint] = report
	}
	return reports
}

// endpointReport is a gateway's usage and demand at one endpoint. It is encoded as an array, which omits the field
// names in every element.
type endpointReport struct {
	_        struct{} `cbor:",toarray"`
	Endpoint scheduler.EndpointName
	// Limit is the number of slots in the valid share, or 0 if the share has expired.
	Limit int
	// InUse is the number of requests in progress, including abandoned requests that may still run. Requests continue
	// after a share has expired or shrunk.
	InUse int
	// Demand is the number of slots that the gateway could use.
	Demand int
	// ConnectionLimit and OpenConnections correspond to Limit and InUse.
	ConnectionLimit int
	OpenConnections int
}

// shareResponse lists the grants that differ from those of the request's baseline, or all grants if the request has
// none. TermMismatch is true if the request was built for another term; the gateway then repeats it with Term.
// BaselineMismatch is true if the baseline is not the last request that the allocator answered; the gateway then
// repeats it with all reports.
type shareResponse struct {
	Term             scheduler.Term  `cbor:"s"`
	TermMismatch     bool            `cbor:"r,omitempty"`
	BaselineMismatch bool            `cbor:"b,omitempty"`
	Grants           []endpointGrant `cbor:"g"`
}

// setReports lists the reports, or only the differences from the reports of the baseline if the request has one.
func (shareRequest *shareRequest) setReports(reports, baseline map[scheduler.EndpointName]endpointReport) {
	if shareRequest.Baseline == 0 {
		baseline = nil
	}
	for endpoint, report := range reports {
		if previous, found := baseline[endpoint]; !found || previous != report {
			shareRequest.Reports = append(shareRequest.Reports, report)
		}
	}
	for endpoint := range baseline {
		if _, found := reports[endpoint]; !found {
			shareRequest.Removed = append(shareRequest.Removed, endpoint)
		}
	}
}

// applyTo returns the grants for all reports, given the grants of the baseline. ok is false if a report has no grant.
func (shareResponse shareResponse) applyTo(
	reports map[scheduler.EndpointName]endpointReport, baseline map[scheduler.EndpointName]grant,
) (grants map[scheduler.EndpointName]grant, ok bool) {
	grants = make(map[scheduler.EndpointName]grant, len(reports))
	for endpoint := range reports {
		if granted, found := baseline[endpoint]; found {
			grants[endpoint] = granted
		}
	}
	for _, granted := range shareResponse.Grants {
		if _, reported := reports[granted.Endpoint]; reported {
			grants[granted.Endpoint] = grant{Slots: granted.Slots, Connections: granted.Connections}
		}
	}
	return grants, len(grants) == len(reports)
}

// endpointGrant is the encoded form of a grant and its endpoint.
type endpointGrant struct {
	_           struct{} `cbor:",toarray"`
	Endpoint    scheduler.EndpointName
	Slots       int
	Connections int
}

// grant is the share of one endpoint that is granted to a gateway.
type grant struct {
	Slots       int
	Connections int
}
