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

// KindRequest carries a Request between VMs.
const KindRequest scheduler.MessageKind = "domainRequest"

const (
	// statusInterval is how often a Courier asks whether the domain can be served.
	statusInterval = 500 * time.Millisecond
	// statusTimeout bounds that question.
	statusTimeout = 700 * time.Millisecond
	// reachableFor is for how long an answer shows that the domain can be served.
	reachableFor = 1500 * time.Millisecond
	// askAgain is the pause before a request whose answer was lost is sent again.
	askAgain = 100 * time.Millisecond
	// hops bounds how often one request is passed on to the VM that the last answer named.
	hops = 3
)

// Network is what a Courier needs of the connections between VMs.
type Network interface {
	scheduler.Transport
	// AddPeer adds a VM that is reached at an address.
	AddPeer(name scheduler.VMName, address string)
	// Connected reports whether the connection to a VM is up.
	Connected(name scheduler.VMName) bool
}

// Serve registers the handler of requests from other VMs with a transport.
func Serve(transport scheduler.Transport, group scheduler.GroupName, clerk *Handler) {
	transport.Handle(group, KindRequest, func(ctx context.Context, _ scheduler.VMName, body []byte) ([]byte, error) {
		var request Request
		if err := encoder.Unmarshal(body, &request); err != nil {
			return nil, scheduler.ErrNotRun.Wrap(Error.Wrap(err))
		}
		return encoder.Marshal(clerk.Process(ctx, &request))
	})
}

// LeaderClient passes requests to the VM that leads the domain. It is safe for concurrent use.
type LeaderClient struct {
	network Network
	group   scheduler.GroupName
	// local is nil on a VM that holds no state.
	local  *Handler
	logger zerolog.Logger
	scope  tally.Scope
	taken  tally.Histogram

	mutex   sync.Mutex
	members []scheduler.VMName
	leader  scheduler.VMName
	// answered is when the leader last answered, limits and version what it told.
	answered time.Time
	limits   scheduler.RequestLimits
	version  uint64
}

// NewLeaderClient returns a Courier that starts from the VMs named seeds. local is nil on a VM that holds no
// state. Answers are counted by status in scope, with the time that they took.
func NewLeaderClient(network Network, group scheduler.GroupName, seeds []scheduler.VMName, local *Handler, scope tally.Scope, logger zerolog.Logger) *LeaderClient {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	return &LeaderClient{
		network: network, group: group, members: slices.Clone(seeds), local: local, logger: logger,
		scope: scope, taken: scope.Histogram("request_duration", buckets),
	}
}

// Run keeps track of the leader until ctx ends.
func (courier *LeaderClient) Run(ctx context.Context) {
	reachable := false
	for ctx.Err() == nil {
		courier.ask(ctx)
		if now := courier.Reachable(); now != reachable {
			reachable = now
			courier.logger.Info().Str("event", "domainReachable").Bool("reachable", reachable).Str("leader", string(courier.Leader())).
				Msg("reachability of the domain changed")
		}
		waiter.Sleep(ctx, statusInterval)
	}
}

func (courier *LeaderClient) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	courier.Do(ctx, &Request{Status: &StatusRequest{}})
}

// Reachable reports whether the leader has answered recently.
func (courier *LeaderClient) Reachable() bool {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	return !courier.answered.IsZero() && time.Since(courier.answered) < reachableFor
}

// Leader returns the VM that led when it was last heard of, empty if none is known.
func (courier *LeaderClient) Leader() scheduler.VMName {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	return courier.leader
}

// Limits returns the limits of requests and the version of the configuration as the leader last told.
func (courier *LeaderClient) Limits() (scheduler.RequestLimits, uint64) {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	return courier.limits, courier.version
}

// Members returns the VMs that may lead.
func (courier *LeaderClient) Members() []scheduler.VMName {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	return slices.Clone(courier.members)
}

// Do passes a request to the leader and returns its answer. Without one, the answer tells whether the
// request surely had no effect.
func (courier *LeaderClient) Do(ctx context.Context, request *Request) Response {
	began := time.Now()
	answer := courier.pass(ctx, request)
	courier.taken.RecordDuration(time.Since(began))
	courier.scope.Tagged(map[string]string{"status": string(answer.Status)}).Counter("requests").Inc(1)
	return answer
}

// pass asks until the outcome is known or ctx ends. All requests are idempotent, so one whose answer was lost can be
// sent again: after a change of the leader, the caller gets the answer and not an error that leaves it in doubt.
func (courier *LeaderClient) pass(ctx context.Context, request *Request) Response {
	body, err := encoder.Marshal(request)
	if err != nil {
		return refusal(StatusInvalid, err.Error(), 0)
	}
	answer := courier.passOnce(ctx, request, body)
	if answer.Status != StatusOutcomeUnknown {
		return answer
	}
	for doubt := answer; ; {
		if !waiter.Sleep(ctx, askAgain) {
			return doubt
		}
		answer = courier.passOnce(ctx, request, body)
		if answer.Status != StatusOutcomeUnknown && (!request.changes() || answer.settles()) {
			return answer
		}
	}
}

// changes reports whether a request changes the replicated state.
func (request *Request) changes() bool {
	return request.Submit != nil || request.Cancel != nil || request.Configure != nil || request.SubmitWave != nil
}

// settles reports whether an answer tells the outcome of a change of which an earlier copy may still take effect. A
// refusal holds for the later copy only.
func (answer *Response) settles() bool {
	return answer.Status == StatusDone || answer.Status == StatusInvalid
}

// passOnce asks the VM that leads.
func (courier *LeaderClient) passOnce(ctx context.Context, request *Request, body []byte) Response {
	tried := map[scheduler.VMName]bool{}
	for range hops {
		vm, found := courier.next(tried)
		if !found {
			break
		}
		tried[vm] = true
		answer := courier.askVM(ctx, vm, request, body)
		if answer.Status != StatusNotLeader {
			courier.note(vm, request, &answer)
			return answer
		}
		courier.redirect(vm, answer.Leader, tried)
	}
	return refusal(StatusUnavailable, "no VM that leads the domain can be reached", leaderRetry)
}

// next returns the VM to ask: the leader if it is known and reachable, otherwise any other one.
func (courier *LeaderClient) next(tried map[scheduler.VMName]bool) (scheduler.VMName, bool) {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	if courier.leader != "" && !tried[courier.leader] && courier.mayReach(courier.leader) {
		return courier.leader, true
	}
	if self := courier.network.Self(); courier.local != nil && !tried[self] {
		return self, true
	}
	for _, member := range courier.members {
		if !tried[member] && courier.mayReach(member) {
			return member, true
		}
	}
	return "", false
}

func (courier *LeaderClient) mayReach(vm scheduler.VMName) bool {
	return courier.local != nil && vm == courier.network.Self() || courier.network.Connected(vm)
}

func (courier *LeaderClient) askVM(ctx context.Context, vm scheduler.VMName, request *Request, body []byte) Response {
	if courier.local != nil && vm == courier.network.Self() {
		return courier.local.Process(ctx, request)
	}
	data, err := courier.network.Call(ctx, vm, courier.group, KindRequest, body)
	if scheduler.ErrNotRun.Has(err) {
		return refusal(StatusNotLeader, err.Error(), leaderRetry)
	}
	if err != nil {
		return refusal(StatusOutcomeUnknown, err.Error(), 0)
	}
	var answer Response
	if err := encoder.Unmarshal(data, &answer); err != nil {
		return refusal(StatusOutcomeUnknown, err.Error(), 0)
	}
	return answer
}

// redirect notes that a VM does not lead and which one it names.
func (courier *LeaderClient) redirect(vm, leader scheduler.VMName, tried map[scheduler.VMName]bool) {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	if leader != "" && !tried[leader] {
		courier.learn([]scheduler.VMName{leader})
		courier.leader = leader
		return
	}
	if courier.leader == vm {
		courier.leader = ""
	}
}

// note keeps what the leader told.
func (courier *LeaderClient) note(vm scheduler.VMName, request *Request, answer *Response) {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	if answer.Status == StatusOutcomeUnknown {
		courier.suspect(vm)
		return
	}
	courier.leader = vm
	courier.answered = time.Now()
	if request.Status != nil && answer.Status == StatusDone {
		courier.limits, courier.version = answer.Limits, answer.Version
		courier.learn(answer.Members)
	}
}

// home returns the VM to which a worker should send its beats, empty if none can be reached.
func (courier *LeaderClient) home(worker scheduler.WorkerName) scheduler.VMName {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	var reachable []scheduler.VMName
	for _, member := range courier.members {
		if courier.mayReach(member) {
			reachable = append(reachable, member)
		}
	}
	if len(reachable) == 0 {
		return ""
	}
	return ranker.Rank(reachable, string(worker))[0]
}

// suspect forgets a leader that has not answered, and asks it last from now on. The mutex is held.
func (courier *LeaderClient) suspect(vm scheduler.VMName) {
	if courier.leader == vm {
		courier.leader = ""
	}
	if position := slices.Index(courier.members, vm); position >= 0 {
		courier.members = append(slices.Delete(courier.members, position, position+1), vm)
	}
}

// learn adds VMs that may lead. The mutex is held.
func (courier *LeaderClient) learn(members []scheduler.VMName) {
	for _, member := range members {
		if slices.Contains(courier.members, member) {
			continue
		}
		courier.members = append(courier.members, member)
		if member != courier.network.Self() {
			courier.network.AddPeer(member, string(member))
		}
	}
}
