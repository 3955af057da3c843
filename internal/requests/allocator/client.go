package allocator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// peakWindow is the number of share requests over which the peak usage counts as demand.
const peakWindow = 4

// maxArrivalDelay is the maximum time between the start of a request and its arrival at the endpoint.
const maxArrivalDelay = time.Second

// ShareClient requests shares for a gateway from the Allocator on the leader and allocates slots from them. It
// implements scheduler.SlotSource and is safe for concurrent use.
type ShareClient struct {
	gateway     scheduler.GatewayID
	group       scheduler.Group
	transport   scheduler.Transport
	directory   scheduler.Directory
	allocator   *Allocator
	queueLength func(service scheduler.ServiceName) int
	onFreeSlots func(slots int)
	log         zerolog.Logger

	mutex         sync.Mutex
	shares        map[scheduler.EndpointName]*share
	term          scheduler.Term
	requestNumber uint64
	released      bool
	// baseline is the last answered request.
	baseline baselineRequest
}

// baselineRequest is an answered request with all of its reports and grants, which the allocator has as well. Its
// requestNumber is 0 if no request has been answered.
type baselineRequest struct {
	requestNumber uint64
	reports       map[scheduler.EndpointName]endpointReport
	grants        map[scheduler.EndpointName]grant
}

// share is the part of an endpoint's slots and connections that this gateway may use, and its current usage.
type share struct {
	limit, connectionLimit int
	expires                time.Time
	// expirations is the number of times that the share has expired. A share that is granted after an expiration
	// does not cover slots that were acquired before it.
	expirations int
	active      map[*slot]bool
	// abandoned contains the times at which requests were abandoned that the endpoint may still be running.
	abandoned       []time.Time
	openConnections int
	peaks           [peakWindow]int
}

func (share *share) inUse() int { return len(share.active) + len(share.abandoned) }

// ShareClientOption configures a ShareClient.
type ShareClientOption func(shareClient *ShareClient)

// WithQueueLength sets the function that returns the number of requests waiting for a slot of a service.
func WithQueueLength(queueLength func(service scheduler.ServiceName) int) ShareClientOption {
	return func(shareClient *ShareClient) { shareClient.queueLength = queueLength }
}

// WithFreeSlotsHandler sets a function that is called when slots may have become free. It gets the number of slots, or
// 0 if the number is unknown. It is called without holding a lock and must not block.
func WithFreeSlotsHandler(onFreeSlots func(slots int)) ShareClientOption {
	return func(shareClient *ShareClient) { shareClient.onFreeSlots = onFreeSlots }
}

// WithShareClientLogger sets the logger. By default, nothing is logged.
func WithShareClientLogger(log zerolog.Logger) ShareClientOption {
	return func(shareClient *ShareClient) { shareClient.log = log }
}

// NewShareClient returns a ShareClient without any share. allocator is the Allocator of this VM, which is called
// directly while this VM is the leader.
func NewShareClient(gateway scheduler.GatewayID, group scheduler.Group, transport scheduler.Transport,
	directory scheduler.Directory, allocator *Allocator, options ...ShareClientOption,
) *ShareClient {
	shareClient := &ShareClient{
		gateway: gateway, group: group, transport: transport, directory: directory, allocator: allocator,
		queueLength: func(scheduler.ServiceName) int { return 0 },
		onFreeSlots: func(int) {},
		log:         zerolog.Nop(),
		shares:      map[scheduler.EndpointName]*share{},
	}
	for _, option := range options {
		option(shareClient)
	}
	return shareClient
}

// Run requests shares periodically until ctx is cancelled.
func (shareClient *ShareClient) Run(ctx context.Context) error {
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	for {
		shareClient.requestShares(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// ReleaseShares gives up all shares permanently. No further slot is allocated, and the requests of Run report only
// slots and connections that are still in use.
func (shareClient *ShareClient) ReleaseShares() {
	shareClient.mutex.Lock()
	defer shareClient.mutex.Unlock()
	shareClient.released = true
	for _, endpointShare := range shareClient.shares {
		endpointShare.limit, endpointShare.connectionLimit = 0, 0
	}
}

// requestShares sends a share request, and repeats it once if the response reports another term or baseline.
func (shareClient *ShareClient) requestShares(ctx context.Context) {
	for range 2 {
		if !shareClient.requestOnce(ctx) {
			return
		}
	}
}

func (shareClient *ShareClient) requestOnce(ctx context.Context) (retry bool) {
	sent := time.Now()
	request, reports := shareClient.buildRequest(sent)
	body, err := cbor.Marshal(request)
	if err != nil {
		return false
	}
	reply, err := shareClient.send(ctx, body)
	if err != nil {
		shareClient.log.Debug().Str("event", "shareAskFailed").Err(err).Msg("share request failed")
		return false
	}
	var response shareResponse
	if err := cbor.Unmarshal(reply, &response); err != nil {
		return false
	}
	retry = shareClient.applyResponse(request, reports, response, sent)
	shareClient.onFreeSlots(0)
	return retry
}

func (shareClient *ShareClient) send(ctx context.Context, body []byte) ([]byte, error) {
	leader := shareClient.group.Status().Leader()
	if leader == "" {
		return nil, Error.New("leader of group %s is unknown", shareClient.group.Name())
	}
	if leader == shareClient.transport.Self() {
		return shareClient.allocator.handle(ctx, leader, body)
	}
	ctx, cancel := context.WithTimeout(ctx, shareTTL/2)
	defer cancel()
	reply, err := shareClient.transport.Call(ctx, leader, shareClient.group.Name(), kindShareRequest, body)
	return reply, Error.Wrap(err)
}

// buildRequest returns the next share request and its complete reports. Until the response arrives, the gateway uses
// only the reported shares.
func (shareClient *ShareClient) buildRequest(now time.Time) (shareRequest, map[scheduler.EndpointName]endpointReport) {
	queuedRequests := shareClient.queuedRequests()
	shareClient.mutex.Lock()
	defer shareClient.mutex.Unlock()
	for endpoint := range queuedRequests {
		if shareClient.shares[endpoint] == nil {
			shareClient.shares[endpoint] = &share{active: map[*slot]bool{}}
		}
	}
	shareClient.requestNumber++
	reports := make(map[scheduler.EndpointName]endpointReport, len(shareClient.shares))
	for endpoint, endpointShare := range shareClient.shares {
		queued, announced := queuedRequests[endpoint]
		shareClient.reclaimAbandoned(endpoint, endpointShare)
		if !announced && endpointShare.inUse() == 0 && endpointShare.openConnections == 0 {
			delete(shareClient.shares, endpoint)
			continue
		}
		reports[endpoint] = endpointShare.endpointReport(endpoint, queued, now)
	}
	request := shareRequest{
		Gateway: shareClient.gateway, Term: shareClient.term, Number: shareClient.requestNumber,
		Leaving: shareClient.released, Baseline: shareClient.baseline.requestNumber,
	}
	request.setReports(reports, shareClient.baseline.reports)
	return request, reports
}

// queuedRequests returns each announced endpoint with its part of the requests that wait for its service.
func (shareClient *ShareClient) queuedRequests() map[scheduler.EndpointName]int {
	queuedRequests := map[scheduler.EndpointName]int{}
	for _, service := range shareClient.directory.Services() {
		endpoints := shareClient.directory.Endpoints(service)
		queueLength := shareClient.queueLength(service)
		for _, endpoint := range endpoints {
			queuedRequests[endpoint.Endpoint] = (queueLength + len(endpoints) - 1) / len(endpoints)
		}
	}
	return queuedRequests
}

func (share *share) endpointReport(endpoint scheduler.EndpointName, queued int, now time.Time) endpointReport {
	report := endpointReport{Endpoint: endpoint, InUse: share.inUse(), OpenConnections: share.openConnections}
	if now.Before(share.expires) {
		report.Limit, report.ConnectionLimit = share.limit, share.connectionLimit
	}
	peak := share.inUse()
	for _, previous := range share.peaks {
		peak = max(peak, previous)
	}
	copy(share.peaks[1:], share.peaks[:])
	share.peaks[0] = share.inUse()
	report.Demand = peak + queued
	return report
}

// reclaimAbandoned frees the slots of abandoned requests that the endpoint no longer runs. The endpoint's last
// announcement counts all active requests that arrived before it was sent. Any excess over these may be abandoned
// requests that are still running.
func (shareClient *ShareClient) reclaimAbandoned(endpoint scheduler.EndpointName, endpointShare *share) {
	announcement, known := shareClient.directory.LastAnnouncement(endpoint)
	if !known {
		// An endpoint without an announcement for this long no longer runs the requests of this gateway.
		endpointShare.abandoned = slices.DeleteFunc(endpointShare.abandoned, func(abandonedAt time.Time) bool {
			return time.Since(abandonedAt) > connectionTTL
		})
		return
	}
	sent := announcement.Received.Add(-maxAnnouncementDelay)
	excess := announcement.InProgress[shareClient.gateway]
	for active := range endpointShare.active {
		if !active.started.IsZero() && active.started.Before(sent.Add(-maxArrivalDelay)) {
			excess--
		}
	}
	endpointShare.abandoned = slices.DeleteFunc(endpointShare.abandoned, func(abandonedAt time.Time) bool {
		excess--
		return !abandonedAt.After(sent) && excess < 0
	})
}

// applyResponse updates the shares from a response. Their validity is measured from the time of the request.
func (shareClient *ShareClient) applyResponse(request shareRequest,
	reports map[scheduler.EndpointName]endpointReport, response shareResponse, sent time.Time,
) (retry bool) {
	shareClient.mutex.Lock()
	defer shareClient.mutex.Unlock()
	if response.TermMismatch || response.BaselineMismatch {
		shareClient.term, shareClient.baseline = response.Term, baselineRequest{}
		return true
	}
	if response.Term != request.Term {
		return false
	}
	grants, ok := response.applyTo(reports, shareClient.baseline.grants)
	if !ok {
		shareClient.baseline = baselineRequest{}
		return false
	}
	shareClient.baseline = baselineRequest{requestNumber: request.Number, reports: reports, grants: grants}
	for endpoint, granted := range grants {
		endpointShare := shareClient.shares[endpoint]
		if endpointShare == nil || shareClient.released {
			continue
		}
		if !time.Now().Before(endpointShare.expires) {
			endpointShare.expirations++
		}
		endpointShare.limit, endpointShare.connectionLimit, endpointShare.expires =
			granted.Slots, granted.Connections, sent.Add(shareTTL)
	}
	return false
}
