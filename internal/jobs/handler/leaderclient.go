package handler

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/internal/basics/ranker"
	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// KindRequest is the message kind of a Request between VMs.
const KindRequest scheduler.MessageKind = "domainRequest"

const (
	// statusInterval is the interval of the status requests to the leader.
	statusInterval = 500 * time.Millisecond
	// statusTimeout bounds one status request.
	statusTimeout = 700 * time.Millisecond
	// reachabilityTimeout is how long the leader counts as reachable after a response.
	reachabilityTimeout = 1500 * time.Millisecond
	// retryDelay is the delay before a request whose response was lost is sent again.
	retryDelay = 100 * time.Millisecond
	// maxAttempts bounds the number of VMs to which one request is sent while the leader is looked up.
	maxAttempts = 3
)

// Network provides the connections between VMs.
type Network interface {
	scheduler.Transport
	// AddPeer adds a VM and its network address.
	AddPeer(name scheduler.VMName, address string)
	// Connected reports whether the connection to a VM is up.
	Connected(name scheduler.VMName) bool
}

// Serve registers handler with a transport for the requests from other VMs.
func Serve(transport scheduler.Transport, group scheduler.GroupName, handler *Handler) {
	transport.Handle(group, KindRequest, func(ctx context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
		var request Request
		if err := encoder.Unmarshal(body, &request); err != nil {
			return nil, scheduler.ErrNotRun.Wrap(Error.Wrap(err))
		}
		return encoder.Marshal(handler.Process(ctx, &request))
	})
}

// LeaderClient sends requests to the leader of the domain. It is safe for concurrent use.
type LeaderClient struct {
	network Network
	group   scheduler.GroupName
	// localHandler is nil on a VM that does not hold the replicated state.
	localHandler *Handler
	logger       zerolog.Logger
	scope        tally.Scope
	latency      tally.Histogram

	mutex   sync.Mutex
	members []scheduler.VMName
	leader  scheduler.VMName
	// lastResponse is the time of the leader's last response. limits and version come from its last status response.
	lastResponse time.Time
	limits       scheduler.RequestLimits
	version      uint64
}

// NewLeaderClient returns a LeaderClient that first looks for the leader among the VMs in seeds. local is nil on a VM
// that does not hold the replicated state. The number of responses by status and their latency are reported to scope.
func NewLeaderClient(
	network Network, group scheduler.GroupName, seeds []scheduler.VMName, local *Handler, scope tally.Scope,
	logger zerolog.Logger,
) *LeaderClient {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	return &LeaderClient{
		network: network, group: group, members: slices.Clone(seeds), localHandler: local, logger: logger,
		scope: scope, latency: scope.Histogram("request_duration", buckets),
	}
}

// Run tracks the leader and its reachability with periodic status requests until ctx ends.
func (leaderClient *LeaderClient) Run(ctx context.Context) {
	reachable := false
	for ctx.Err() == nil {
		leaderClient.refreshStatus(ctx)
		if current := leaderClient.Reachable(); current != reachable {
			reachable = current
			leaderClient.logger.Info().Str("event", "domainReachable").Bool("reachable", reachable).
				Str("leader", string(leaderClient.Leader())).Msg("domain reachability changed")
		}
		waiter.Sleep(ctx, statusInterval)
	}
}

func (leaderClient *LeaderClient) refreshStatus(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	leaderClient.Do(ctx, &Request{Status: &StatusRequest{}})
}

// Reachable reports whether the leader has responded recently.
func (leaderClient *LeaderClient) Reachable() bool {
	leaderClient.mutex.Lock()
	defer leaderClient.mutex.Unlock()
	return !leaderClient.lastResponse.IsZero() && time.Since(leaderClient.lastResponse) < reachabilityTimeout
}

// Leader returns the last known leader, or an empty name if none is known.
func (leaderClient *LeaderClient) Leader() scheduler.VMName {
	leaderClient.mutex.Lock()
	defer leaderClient.mutex.Unlock()
	return leaderClient.leader
}

// Limits returns the request limits and the configuration version of the last status response of the leader.
func (leaderClient *LeaderClient) Limits() (scheduler.RequestLimits, uint64) {
	leaderClient.mutex.Lock()
	defer leaderClient.mutex.Unlock()
	return leaderClient.limits, leaderClient.version
}

// Members returns the VMs that can become leader.
func (leaderClient *LeaderClient) Members() []scheduler.VMName {
	leaderClient.mutex.Lock()
	defer leaderClient.mutex.Unlock()
	return slices.Clone(leaderClient.members)
}

// Do sends a request to the leader and returns its response. If there is no response, the status tells whether the
// request definitely had no effect.
func (leaderClient *LeaderClient) Do(ctx context.Context, request *Request) Response {
	start := time.Now()
	response := leaderClient.doWithRetry(ctx, request)
	leaderClient.latency.RecordDuration(time.Since(start))
	leaderClient.scope.Tagged(map[string]string{"status": string(response.Status)}).Counter("requests").Inc(1)
	return response
}

// doWithRetry sends a request until its outcome is known or ctx ends. All requests are idempotent, so a request whose
// response was lost can be sent again. After a change of the leader, the caller thus gets the actual outcome instead of
// an error that leaves it unknown.
func (leaderClient *LeaderClient) doWithRetry(ctx context.Context, request *Request) Response {
	body, err := encoder.Marshal(request)
	if err != nil {
		return errorResponse(StatusInvalid, err.Error(), 0)
	}
	response := leaderClient.doOnce(ctx, request, body)
	if response.Status != StatusOutcomeUnknown {
		return response
	}
	for unresolved := response; ; {
		if !waiter.Sleep(ctx, retryDelay) {
			return unresolved
		}
		response = leaderClient.doOnce(ctx, request, body)
		if response.Status != StatusOutcomeUnknown && (!request.isMutation() || response.isConclusive()) {
			return response
		}
	}
}

// isMutation reports whether a request changes the replicated state.
func (request *Request) isMutation() bool {
	return request.Submit != nil || request.Cancel != nil || request.Configure != nil || request.SubmitWave != nil ||
		request.Evacuate != nil
}

// isConclusive reports whether a response to a retried change also holds for the first attempt, which may still take
// effect. An error such as StatusRefused holds for the retry only. After StatusSuperseded, no earlier attempt can still
// take effect.
func (response *Response) isConclusive() bool {
	return response.Status == StatusDone || response.Status == StatusInvalid || response.Status == StatusSuperseded
}

// doOnce sends a request to the leader and follows redirects.
func (leaderClient *LeaderClient) doOnce(ctx context.Context, request *Request, body []byte) Response {
	tried := map[scheduler.VMName]bool{}
	for range maxAttempts {
		vm, found := leaderClient.nextVM(tried)
		if !found {
			break
		}
		tried[vm] = true
		response := leaderClient.call(ctx, vm, request, body)
		if response.Status != StatusNotLeader {
			leaderClient.recordResponse(vm, request, &response)
			return response
		}
		leaderClient.redirect(vm, response.Leader, tried)
	}
	return errorResponse(StatusUnavailable, "no reachable VM is the leader of the domain", leaderRetry)
}

// nextVM returns the VM to send a request to: the leader if it is known and reachable, otherwise this VM if it holds
// the replicated state, otherwise any reachable member.
func (leaderClient *LeaderClient) nextVM(tried map[scheduler.VMName]bool) (scheduler.VMName, bool) {
	leaderClient.mutex.Lock()
	defer leaderClient.mutex.Unlock()
	if leaderClient.leader != "" && !tried[leaderClient.leader] && leaderClient.canReach(leaderClient.leader) {
		return leaderClient.leader, true
	}
	if self := leaderClient.network.Self(); leaderClient.localHandler != nil && !tried[self] {
		return self, true
	}
	for _, member := range leaderClient.members {
		if !tried[member] && leaderClient.canReach(member) {
			return member, true
		}
	}
	return "", false
}

func (leaderClient *LeaderClient) canReach(vm scheduler.VMName) bool {
	return leaderClient.localHandler != nil && vm == leaderClient.network.Self() || leaderClient.network.Connected(vm)
}

func (leaderClient *LeaderClient) call(
	ctx context.Context, vm scheduler.VMName, request *Request, body []byte,
) Response {
	if leaderClient.localHandler != nil && vm == leaderClient.network.Self() {
		return leaderClient.localHandler.Process(ctx, request)
	}
	data, err := leaderClient.network.Call(ctx, vm, leaderClient.group, KindRequest, body)
	if scheduler.ErrNotRun.Has(err) {
		return errorResponse(StatusNotLeader, err.Error(), leaderRetry)
	}
	if err != nil {
		return errorResponse(StatusOutcomeUnknown, err.Error(), 0)
	}
	var response Response
	if err := encoder.Unmarshal(data, &response); err != nil {
		return errorResponse(StatusOutcomeUnknown, err.Error(), 0)
	}
	return response
}

// redirect records that a VM is not the leader, and which leader it reported.
func (leaderClient *LeaderClient) redirect(vm, leader scheduler.VMName, tried map[scheduler.VMName]bool) {
	leaderClient.mutex.Lock()
	defer leaderClient.mutex.Unlock()
	if leader != "" && !tried[leader] {
		leaderClient.addMembers([]scheduler.VMName{leader})
		leaderClient.leader = leader
		return
	}
	if leader == "" {
		// A VM out of its group knows no leader. The next request starts with other VMs.
		leaderClient.demote(vm)
	} else if leaderClient.leader == vm {
		leaderClient.leader = ""
	}
}

// recordResponse updates the known leader, limits and members from a response.
func (leaderClient *LeaderClient) recordResponse(vm scheduler.VMName, request *Request, response *Response) {
	leaderClient.mutex.Lock()
	defer leaderClient.mutex.Unlock()
	if response.Status == StatusOutcomeUnknown {
		leaderClient.demote(vm)
		return
	}
	leaderClient.leader = vm
	leaderClient.lastResponse = time.Now()
	if request.Status != nil && response.Status == StatusDone {
		leaderClient.limits, leaderClient.version = response.Limits, response.Version
		leaderClient.addMembers(response.Members)
	}
}

// heartbeatTarget returns the VM to which a worker should send its heartbeats, or an empty name if no VM is reachable. The
// leader is left out if there are others: it has most of the work, and receives the heartbeats of the others in batches.
func (leaderClient *LeaderClient) heartbeatTarget(worker scheduler.WorkerName) scheduler.VMName {
	leaderClient.mutex.Lock()
	defer leaderClient.mutex.Unlock()
	var reachable []scheduler.VMName
	for _, member := range leaderClient.members {
		if leaderClient.canReach(member) {
			reachable = append(reachable, member)
		}
	}
	if len(reachable) == 0 {
		return ""
	}
	ranked := ranker.Rank(reachable, string(worker))
	if ranked[0] == leaderClient.leader && len(ranked) > 1 {
		return ranked[1]
	}
	return ranked[0]
}

// demote clears a leader that has not responded and moves it to the end of the members. The mutex must be held.
func (leaderClient *LeaderClient) demote(vm scheduler.VMName) {
	if leaderClient.leader == vm {
		leaderClient.leader = ""
	}
	if position := slices.Index(leaderClient.members, vm); position >= 0 {
		leaderClient.members = append(slices.Delete(leaderClient.members, position, position+1), vm)
	}
}

// addMembers adds VMs that can become leader. The mutex must be held.
func (leaderClient *LeaderClient) addMembers(members []scheduler.VMName) {
	for _, member := range members {
		if slices.Contains(leaderClient.members, member) {
			continue
		}
		leaderClient.members = append(leaderClient.members, member)
		if member != leaderClient.network.Self() {
			leaderClient.network.AddPeer(member, string(member))
		}
	}
}
