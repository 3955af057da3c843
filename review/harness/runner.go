package harness

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the smaller site.
const (
	// HeartbeatInterval is heartbeatMs.
	HeartbeatInterval = 1500 * time.Millisecond
	// MaxLease is holdMaxMs, StopTime is stopMs.
	MaxLease = 10 * time.Second
	StopTime = 200 * time.Millisecond
	// Capacity of a runner of the smaller site.
	capacityCPU   = 32_000
	capacityMemMb = 128_000
	// RareLabel is the kind of the first runners. The others are of kind "a".
	RareLabel = "b"
	// rareShare is the number of runners for each one of the rare kind.
	rareShare = 12

	contentType = "application/json"
	// maxEndsListed is how many ends a renewal returns at a time.
	maxEndsListed = 500
	// endDone is how a run ends that has done its work, endFailed how one ends that fails.
	// Of a gang, one is "broken" if another member has ended, and "alone" if it has waited for the others in vain.
	endDone   = "done"
	endFailed = "failed"
	endBroken = "broken"
	endAlone  = "alone"
	// startupTime is how long a task that lasts takes to be at work.
	startupTime = 400 * time.Millisecond
	// tickInterval is how often a runner looks for runs that are to end.
	tickInterval = 5 * time.Millisecond
	// heartbeatTimeout is how long a runner waits for the acknowledgement of a heartbeat.
	heartbeatTimeout = time.Second
)

// Runner is a stand-in for one machine of the users' platform and the runner on it. It implements the
// parts of the protocol that the cases need.
type Runner struct {
	Machine   string
	Address   string
	Zone      string
	labels    []string
	behaviour Behaviour
	controls  []string
	client    *http.Client
	gangs     *gangs
	ledger    *Ledger
	recorder  *Recorder

	mutex sync.Mutex
	up    bool
	// target is the core machine that gets the heartbeats, empty if there is none.
	target   string
	server   *http.Server
	id       string
	born     time.Time
	sequence uint64
	token    uint64
	lease    time.Duration
	active   map[string]*active
	// highest holds the highest attempt of each task that was stopped or has ended here.
	highest   map[string]uint32
	ends      []listedEnd
	lastEnd   uint64
	endSignal chan struct{}
	// cutOff is closed when the runner is reached again, nil while it is reached. cuts counts the cuts.
	cutOff chan struct{}
	cuts   int
	// oneWay is true in a cut that lets the runner's packets through. Only what it sends on the connection that is open then
	// arrives; a new connection needs an answer.
	oneWay bool
	// leavesAt is when the runner deregisters, zero unless it drains.
	leavesAt time.Time
	// failsUntil is the time until which the runner fails what it runs, in Unix nanoseconds.
	failsUntil atomic.Int64
	// beatNow requests a heartbeat at once.
	beatNow chan struct{}
	closed  chan struct{}
}

// active is a run that goes on.
type active struct {
	run      *Run
	cpu, mem int
	endsAt   time.Time
	stopping bool
	gang     bool
}

type listedEnd struct {
	number uint64
	run    *Run
}

type order struct {
	Task         string `json:"task"`
	Attempt      uint32 `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckCursor    uint64 `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
}

// Behaviour returns what a task needs and how long a run of it takes from now on, or 0 if it lasts.
type Behaviour func(task string) (need Step, work time.Duration)

// StartRunners starts runners on the given number of machines.
func (deployment *Deployment) StartRunners(count int, ledger *Ledger, behaviour Behaviour) ([]*Runner, error) {
	var runners []*Runner
	shared := &gangs{runs: map[string]*gangRun{}}
	for number := range count {
		runner := &Runner{
			Machine: fmt.Sprintf("m-%02d", number), Zone: zones[number%len(zones)], labels: []string{"a", fmt.Sprintf("r1-%d", number/8)},
			behaviour: behaviour, controls: deployment.Controls(), gangs: shared, ledger: ledger, recorder: deployment.recorder,
			closed: make(chan struct{}), beatNow: make(chan struct{}, 1),
		}
		runner.client = &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{DialContext: runner.dial}}
		if number < rareRunners(count) {
			runner.labels[0] = RareLabel
		}
		listener, err := listen("127.0.0.1:0")
		if err != nil {
			return runners, err
		}
		runner.Address = listener.Addr().String()
		runner.begin(listener)
		go runner.tick()
		go runner.sendHeartbeats()
		runners = append(runners, runner)
	}
	return runners, nil
}

// rareRunners returns how many of the runners are of the rare kind, at least one.
func rareRunners(count int) int { return max(1, count/rareShare) }

// Fail makes the runner fail what it runs for some time.
func (runner *Runner) Fail(duration time.Duration) {
	runner.recorder.Printf("runner %s: fails what it runs for %v", runner.ID(), duration)
	runner.failsUntil.Store(time.Now().Add(duration).UnixNano())
}

// fails reports whether the runner fails what ends at the given time.
func (runner *Runner) fails(at time.Time) bool { return at.UnixNano() < runner.failsUntil.Load() }

// begin starts a new life of the runner.
func (runner *Runner) begin(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", runner.handle(runner.start))
	mux.HandleFunc("POST /v1/run-stop", runner.handle(runner.stop))
	mux.HandleFunc("POST /v1/pace", runner.handle(func(*order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /v1/hold", runner.hold)
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.up, runner.born, runner.id = true, time.Now(), newID()
	runner.sequence, runner.token, runner.lease, runner.lastEnd, runner.ends = 0, 0, 0, 0, nil
	runner.active, runner.highest, runner.endSignal = map[string]*active{}, map[string]uint32{}, make(chan struct{})
	runner.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	runner.recorder.Printf("runner %s: starts on machine %s at %s", runner.id, runner.Machine, runner.Address)
	go func(server *http.Server) { _ = server.Serve(listener) }(runner.server)
}

// newID returns an id in the form of a UUID.
func newID() string {
	a, b := rand.Uint64(), rand.Uint64()
	return fmt.Sprintf("%08x-%04x-%04x-%04x-%012x", a>>32, a>>16&0xffff, a&0xffff, b>>48, b&0xffffffffffff)
}

// Crash ends the process of the runner: its connections are closed, and new ones are refused.
func (runner *Runner) Crash() {
	runner.mutex.Lock()
	runner.recorder.Printf("runner %s: crashes", runner.id)
	runner.up = false
	for _, active := range runner.active {
		runner.ledger.end(active.run, "crashed")
	}
	server := runner.server
	runner.active = map[string]*active{}
	runner.mutex.Unlock()
	_ = server.Close()
}

// Cut cuts the runner off. What is sent to it until Heal is lost, and so are its responses.
func (runner *Runner) Cut() {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.recorder.Printf("runner %s: cut off", runner.id)
	runner.cutOff, runner.oneWay = make(chan struct{}), false
	runner.cuts++
}

// CutOneWay cuts the runner off, but what it sends arrives.
func (runner *Runner) CutOneWay() {
	runner.Cut()
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.recorder.Printf("runner %s: what it sends arrives", runner.id)
	runner.oneWay = true
}

// Drain makes the runner drain. It deregisters after the given time, and ends once that is acknowledged or patience later.
func (runner *Runner) Drain(remaining, patience time.Duration) {
	runner.mutex.Lock()
	runner.recorder.Printf("runner %s: drains, with %d runs at work", runner.id, len(runner.active))
	runner.leavesAt = time.Now().Add(remaining)
	runner.mutex.Unlock()
	runner.beatNow <- struct{}{}
	time.Sleep(remaining)
	end := time.Now().Add(patience)
	for position := 0; time.Now().Before(end); position++ {
		if runner.deregister(position) {
			break
		}
		time.Sleep(retryPause)
	}
	runner.mutex.Lock()
	runner.recorder.Printf("runner %s: ends", runner.id)
	runner.mutex.Unlock()
	runner.Crash()
}

// Heal ends a cut.
func (runner *Runner) Heal() {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.recorder.Printf("runner %s: reached again; %d runs at work, %d ends not acknowledged", runner.id, len(runner.active), len(runner.ends))
	close(runner.cutOff)
	runner.cutOff = nil
}

// Active returns the number of runs that go on.
func (runner *Runner) Active() int {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return len(runner.active)
}

// Fullest returns the runner with most runs at work.
func Fullest(runners []*Runner) *Runner {
	return slices.MaxFunc(runners, func(a, b *Runner) int { return cmp.Compare(a.Active(), b.Active()) })
}

// ID returns the id of the runner's present life.
func (runner *Runner) ID() string {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return runner.id
}

// Close ends the runner at the end of a script.
func (runner *Runner) Close() {
	close(runner.closed)
	runner.mutex.Lock()
	server := runner.server
	runner.mutex.Unlock()
	_ = server.Close()
}

func (runner *Runner) clock() time.Duration { return time.Since(runner.born) }

// tick ends runs that have done their work, and all runs when the lease has run out.
func (runner *Runner) tick() {
	for {
		select {
		case <-runner.closed:
			return
		case <-time.After(tickInterval):
		}
		runner.mutex.Lock()
		now, lapsed := time.Now(), runner.lease > 0 && runner.clock() > runner.lease
		if lapsed {
			for _, end := range runner.ends {
				runner.ledger.lapse(end.run)
			}
		}
		for _, active := range runner.active {
			if how := runner.endOf(active, now, lapsed); how != "" {
				runner.end(active, how)
			}
		}
		runner.mutex.Unlock()
	}
}

// endOf returns how a run ends now, or an empty string if it goes on. The mutex must be held.
func (runner *Runner) endOf(active *active, now time.Time, lapsed bool) string {
	due := !active.endsAt.IsZero() && !now.Before(active.endsAt)
	switch {
	case lapsed || active.stopping && due:
		if active.gang {
			runner.gangs.leave(active.run)
		}
		if lapsed {
			return "lapsed"
		}
		return "stopped"
	case active.gang:
		return runner.gangs.end(active.run, now)
	case due && runner.fails(now):
		return endFailed
	case due:
		return endDone
	}
	return ""
}

// end ends a run and lists its end. The mutex must be held.
func (runner *Runner) end(ended *active, how string) {
	delete(runner.active, ended.run.Task)
	runner.highest[ended.run.Task] = max(runner.highest[ended.run.Task], ended.run.Attempt)
	runner.lastEnd++
	runner.ends = append(runner.ends, listedEnd{number: runner.lastEnd, run: ended.run})
	runner.ledger.end(ended.run, how)
	close(runner.endSignal)
	runner.endSignal = make(chan struct{})
}

// accept reads an order and checks its runner, its token and its deadline. It returns with the mutex held if ok is true.
func (runner *Runner) accept(writer http.ResponseWriter, request *http.Request) (received *order, cuts int, ok bool) {
	received = &order{}
	if err := json.NewDecoder(request.Body).Decode(received); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return nil, 0, false
	}
	runner.mutex.Lock()
	if cutOff := runner.cutOff; cutOff != nil {
		runner.mutex.Unlock()
		<-cutOff
		panic(http.ErrAbortHandler)
	}
	switch {
	case !runner.up:
		runner.mutex.Unlock()
		panic(http.ErrAbortHandler)
	case request.Header.Get("Expect-Instance") != runner.id:
		runner.mutex.Unlock()
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return nil, 0, false
	case received.FencingToken < runner.token:
		runner.respond(writer, runner.cuts, http.StatusConflict, map[string]any{"reason": "fence"})
		return nil, 0, false
	case received.DeadlineMs > 0 && time.Duration(received.DeadlineMs)*time.Millisecond < runner.clock():
		runner.respond(writer, runner.cuts, http.StatusConflict, map[string]any{"reason": "late"})
		return nil, 0, false
	}
	runner.token = received.FencingToken
	if deadline := time.Duration(received.DeadlineMs) * time.Millisecond; deadline > 0 {
		runner.lease = max(runner.lease, min(deadline, runner.clock()+MaxLease))
	}
	return received, runner.cuts, true
}

// respond sends a response with the clock of the runner, and unlocks the mutex. A response to an order from before a cut
// is lost.
func (runner *Runner) respond(writer http.ResponseWriter, cuts, status int, body map[string]any) {
	body["clockMs"], body["born"] = runner.clock().Milliseconds(), runner.born.UnixMilli()
	cutOff, lost := runner.cutOff, runner.cuts != cuts
	runner.mutex.Unlock()
	if cutOff != nil {
		<-cutOff
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", contentType)
	writer.WriteHeader(status)
	_, _ = writer.Write(data)
}

func (runner *Runner) handle(carryOut func(order *order) (status int, reason string)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		order, cuts, ok := runner.accept(writer, request)
		if !ok {
			return
		}
		body := map[string]any{}
		status, reason := carryOut(order)
		if reason != "" {
			body["reason"] = reason
		}
		runner.respond(writer, cuts, status, body)
	}
}

func (runner *Runner) start(order *order) (status int, reason string) {
	if known := runner.active[order.Task]; known != nil && known.run.Attempt == order.Attempt {
		return http.StatusOK, ""
	}
	if known := runner.active[order.Task]; order.Attempt <= runner.highest[order.Task] || known != nil {
		return http.StatusConflict, "old"
	}
	need, work := runner.behaviour(order.Task)
	cpu, mem := need.CPU, need.MemMb
	for _, other := range runner.active {
		cpu, mem = cpu+other.cpu, mem+other.mem
	}
	if cpu > capacityCPU || mem > capacityMemMb {
		return http.StatusConflict, "room"
	}
	started := &active{
		run: &Run{Task: order.Task, Attempt: order.Attempt, Runner: runner.id, Began: time.Now()}, cpu: need.CPU, mem: need.MemMb,
	}
	switch {
	case need.Gang:
		started.gang = true
		runner.gangs.join(started.run, runner, need.Count, work)
	case work > 0:
		started.endsAt = started.run.Began.Add(work)
	}
	runner.active[order.Task] = started
	runner.ledger.begin(started.run)
	return http.StatusOK, ""
}

func (runner *Runner) stop(order *order) (status int, reason string) {
	runner.highest[order.Task] = max(runner.highest[order.Task], order.Attempt)
	if known := runner.active[order.Task]; known != nil && known.run.Attempt <= order.Attempt && !known.stopping {
		known.stopping, known.endsAt = true, time.Now().Add(StopTime/2)
	}
	return http.StatusOK, ""
}

// hold renews the lease, forgets the ends that are acknowledged, and lists what runs and what has ended.
func (runner *Runner) hold(writer http.ResponseWriter, request *http.Request) {
	order, cuts, ok := runner.accept(writer, request)
	if !ok {
		return
	}
	for len(runner.ends) > 0 && runner.ends[0].number <= order.AckCursor {
		runner.ledger.note(runner.ends[0].run)
		runner.ends = runner.ends[1:]
	}
	if len(runner.ends) == 0 && order.WaitMs > 0 {
		ended := runner.endSignal
		runner.mutex.Unlock()
		select {
		case <-ended:
		case <-time.After(time.Duration(order.WaitMs) * time.Millisecond):
		}
		runner.mutex.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, active := range runner.active {
		percent := 0
		if active.endsAt.IsZero() && time.Since(active.run.Began) > startupTime {
			percent = 100
		}
		running = append(running, []any{active.run.Task, active.run.Attempt, "", percent, active.cpu})
	}
	for _, end := range runner.ends[:min(len(runner.ends), maxEndsListed)] {
		finished = append(finished, []any{end.number, end.run.Task, end.run.Attempt, end.run.How, ""})
	}
	runner.respond(writer, cuts, http.StatusOK, map[string]any{"running": running, "finished": finished})
}
