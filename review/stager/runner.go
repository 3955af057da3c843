package stager

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// timerInterval is how often a runner looks for runs that end.
	timerInterval = 5 * time.Millisecond
	// startupTime is how long a task that lasts takes until it is at work.
	startupTime = 300 * time.Millisecond
	// maxListedEnds is how many ends a runner lists at most.
	maxListedEnds = 500
)

// Runner is a stand-in for a runner of the platform. One Runner is one machine; each Boot begins a new life of it.
type Runner struct {
	ID, Machine, Zone, Service, Rack string
	CPU                              int
	domain                           *Domain
	ledger                           *Ledger
	address                          string

	mutex sync.Mutex
	life  *life
	// dark is the last life while the machine has no power.
	dark *life

	// network guards cut and the connections of the present life. It is locked after mutex.
	network sync.Mutex
	cut     bool
}

// life is one life of a runner. The mutex of the Runner guards its fields, except where they say otherwise.
type life struct {
	runner   *Runner
	label    string
	born     time.Time
	listener net.Listener
	server   *http.Server
	sockets  map[*gate]bool
	over     chan struct{}
	// silent is true once the machine has lost power. The network mutex guards it, and sockets.
	silent   bool
	state    string
	token    uint64
	leaseEnd time.Duration
	runs     map[string]*run
	highest  map[string]int
	ends     []end
	lastEnd  uint64
	// lapsedEnd is the last end before the latest time at which the lease had run out.
	lapsedEnd uint64
	sequence  int
	// changed is closed and replaced when a run ends.
	changed chan struct{}
}

type run struct {
	task    string
	attempt int
	spec    Task
	began   time.Time
}

type end struct {
	number  uint64
	task    string
	attempt int
	how     string
}

// NewRunner returns a runner that has not booted yet. number selects its address.
func (domain *Domain) NewRunner(number, cpu int, service string, ledger *Ledger) *Runner {
	return &Runner{
		ID: fmt.Sprintf("i-%d", number), Machine: fmt.Sprintf("m-%d", number), Zone: Zones[number%len(Zones)], Service: service,
		Rack: fmt.Sprintf("r1-%d", number/8), CPU: cpu, domain: domain, ledger: ledger,
		address: fmt.Sprintf("%s:%d", domain.Address(100+number), portRunner),
	}
}

// Boot begins a new life of the given kind.
func (runner *Runner) Boot(label string) error {
	runner.endDark()
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", runner.address)
	if err != nil {
		return err
	}
	next := &life{
		runner: runner, label: label, born: time.Now(), listener: listener, sockets: map[*gate]bool{}, over: make(chan struct{}),
		state: "ready", runs: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	next.server = &http.Server{Handler: next.handler(), ReadHeaderTimeout: time.Minute}
	runner.mutex.Lock()
	runner.life = next
	runner.mutex.Unlock()
	runner.domain.recorder.Write("runner %s (%s) boots at %s, born %d", runner.ID, label, runner.address, next.born.UnixMilli())
	go func() { _ = next.server.Serve(gatedListener{listener, next}) }() // It ends with the life.
	go next.tick()
	go next.beat()
	return nil
}

// Crash ends the present life at once. Its connections are reset.
func (runner *Runner) Crash() {
	runner.endDark()
	runner.mutex.Lock()
	current := runner.life
	runner.life = nil
	if current == nil {
		runner.mutex.Unlock()
		return
	}
	close(current.over)
	runner.network.Lock()
	for socket := range current.sockets {
		socket.reset()
	}
	runner.network.Unlock()
	lost := current.runs
	current.runs = map[string]*run{}
	runner.mutex.Unlock()
	_ = current.server.Close()
	runner.domain.recorder.Write("runner %s crashes", runner.ID)
	for _, run := range lost {
		runner.ledger.add(Event{Kind: KindLost, Runner: runner.ID, Label: current.label, Task: run.task, Attempt: run.attempt})
	}
}

// PowerOff ends the present life at once, and the machine stays dark: nothing answers at its address, not even with a reset.
func (runner *Runner) PowerOff() {
	runner.mutex.Lock()
	current := runner.life
	if current == nil {
		runner.mutex.Unlock()
		return
	}
	close(current.over)
	lost := current.runs
	current.runs = map[string]*run{}
	runner.network.Lock()
	current.silent = true
	runner.network.Unlock()
	runner.life, runner.dark = nil, current
	runner.mutex.Unlock()
	runner.domain.recorder.Write("runner %s loses power", runner.ID)
	for _, run := range lost {
		runner.ledger.add(Event{Kind: KindLost, Runner: runner.ID, Label: current.label, Task: run.task, Attempt: run.attempt})
	}
}

// endDark frees the address of a life that has lost power. Its connections stay silent.
func (runner *Runner) endDark() {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if runner.dark != nil {
		_ = runner.dark.listener.Close() // Nothing more is accepted on it.
		runner.dark = nil
	}
}

// Cut cuts the runner off from all machines, or ends that. Connections that were open in between are reset afterwards.
func (runner *Runner) Cut(cut bool) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.network.Lock()
	defer runner.network.Unlock()
	runner.cut = cut
	runner.domain.recorder.Write("runner %s cut off: %v", runner.ID, cut)
	if cut || runner.life == nil {
		return
	}
	for socket := range runner.life.sockets {
		if socket.held {
			socket.reset()
		}
	}
}

// Running returns the names of the tasks that run.
func (runner *Runner) Running() []string {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	var names []string
	if runner.life != nil {
		for name := range runner.life.runs {
			names = append(names, name)
		}
	}
	return names
}

func (runner *Runner) isCut() bool {
	runner.network.Lock()
	defer runner.network.Unlock()
	return runner.cut
}

func (life *life) clock() time.Duration { return time.Since(life.born) }

func (life *life) isOver() bool {
	select {
	case <-life.over:
		return true
	default:
		return false
	}
}

// tick ends runs that are complete or whose lease has run out.
func (life *life) tick() {
	for !life.isOver() {
		time.Sleep(timerInterval)
		life.runner.mutex.Lock()
		lapsed := life.clock() > life.leaseEnd
		if lapsed {
			life.lapsedEnd = life.lastEnd
		}
		for _, run := range life.runs {
			switch {
			case lapsed:
				life.end(run, "lapsed")
			case run.spec.Fails != nil && time.Since(run.began) >= run.spec.FailTime && run.spec.Fails(life.runner):
				life.end(run, "failed")
			case !run.spec.Lasts && time.Since(run.began) >= run.spec.Duration:
				life.end(run, "done")
			}
		}
		life.runner.mutex.Unlock()
	}
}

// end ends a run. The mutex must be held.
func (life *life) end(ended *run, how string) {
	delete(life.runs, ended.task)
	life.lastEnd++
	life.highest[ended.task] = max(life.highest[ended.task], ended.attempt)
	life.ends = append(life.ends, end{number: life.lastEnd, task: ended.task, attempt: ended.attempt, how: how})
	close(life.changed)
	life.changed = make(chan struct{})
	event := Event{
		Kind: KindEnded, Runner: life.runner.ID, Label: life.label, Task: ended.task, Attempt: ended.attempt, How: how,
	}
	life.runner.ledger.add(event)
}

// order is the body of an order.
type order struct {
	Task         string  `json:"task"`
	Attempt      int     `json:"attempt"`
	Spec         string  `json:"spec"`
	DeadlineMs   int64   `json:"deadlineMs"`
	FencingToken uint64  `json:"fencingToken"`
	AckCursor    *uint64 `json:"ackCursor"`
	WaitMs       int64   `json:"waitMs"`
}

func (life *life) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", life.serve(life.start))
	mux.HandleFunc("POST /v1/run-stop", life.serve(life.stop))
	mux.HandleFunc("POST /v1/pace", life.serve(func(http.ResponseWriter, *http.Request, *order) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /v1/hold", life.serve(life.hold))
	return mux
}

// serve returns a handler that checks an order and carries it out with the mutex held. A status of 0 means that act has
// answered itself.
func (life *life) serve(
	act func(writer http.ResponseWriter, request *http.Request, order *order) (status int, reason string),
) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var order order
		if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		life.runner.mutex.Lock()
		defer life.runner.mutex.Unlock()
		status, reason := life.check(request, &order)
		if status == 0 {
			status, reason = act(writer, request, &order)
		}
		if status == 0 {
			return
		}
		if !strings.HasSuffix(request.URL.Path, "/hold") {
			life.runner.domain.recorder.Write("runner %s: %s %s run %d -> %d %s", life.runner.ID, request.URL.Path, order.Task,
				order.Attempt, status, reason)
		}
		life.respond(writer, status, reason, nil)
	}
}

// check returns the status with which an order is rejected, or 0.
func (life *life) check(request *http.Request, order *order) (status int, reason string) {
	switch {
	case life.isOver():
		panic(http.ErrAbortHandler)
	case request.Header.Get("Expect-Instance") != life.runner.ID:
		return http.StatusMisdirectedRequest, ""
	case order.FencingToken < life.token:
		return http.StatusConflict, "fence"
	}
	life.token = order.FencingToken
	return 0, ""
}

// extend extends the lease. It reports false if the time has passed already.
func (life *life) extend(deadlineMs int64) bool {
	until := time.Duration(deadlineMs) * time.Millisecond
	if until <= life.clock() {
		return false
	}
	life.leaseEnd = max(life.leaseEnd, min(until, life.clock()+LeaseLimit))
	return true
}

func (life *life) start(_ http.ResponseWriter, _ *http.Request, order *order) (status int, reason string) {
	if !life.extend(order.DeadlineMs) {
		return http.StatusConflict, "late"
	}
	spec, known := life.runner.ledger.find(order.Task)
	running := life.runs[order.Task]
	used := spec.CPU
	for _, other := range life.runs {
		used += other.spec.CPU
	}
	switch {
	case !known:
		life.runner.domain.recorder.Write("runner %s: %s is not known to any client", life.runner.ID, order.Task)
		return http.StatusBadRequest, ""
	case running != nil && running.attempt == order.Attempt:
		return http.StatusOK, ""
	case order.Attempt <= life.highest[order.Task]:
		return http.StatusConflict, "old"
	case used > life.runner.CPU:
		return http.StatusConflict, "room"
	}
	life.runs[order.Task] = &run{task: order.Task, attempt: order.Attempt, spec: spec, began: time.Now()}
	life.runner.ledger.add(Event{
		Kind: KindStarted, Runner: life.runner.ID, Label: life.label, Task: order.Task, Attempt: order.Attempt,
	})
	return http.StatusOK, ""
}

func (life *life) stop(_ http.ResponseWriter, _ *http.Request, order *order) (status int, reason string) {
	life.highest[order.Task] = max(life.highest[order.Task], order.Attempt)
	if running := life.runs[order.Task]; running != nil && running.attempt <= order.Attempt {
		life.end(running, "stopped")
	}
	return http.StatusOK, ""
}

// hold renews the lease, forgets the acknowledged ends and lists the others. It waits for an end as long as it may.
func (life *life) hold(writer http.ResponseWriter, request *http.Request, order *order) (status int, reason string) {
	if order.DeadlineMs > 0 && !life.extend(order.DeadlineMs) {
		return http.StatusConflict, "late"
	}
	for order.AckCursor != nil && len(life.ends) > 0 && life.ends[0].number <= *order.AckCursor {
		life.take(life.ends[0])
		life.ends = life.ends[1:]
	}
	if len(life.ends) == 0 && order.WaitMs > 0 {
		changed := life.changed
		life.runner.mutex.Unlock()
		select {
		case <-changed:
		case <-request.Context().Done():
		case <-life.over:
		case <-time.After(time.Duration(min(order.WaitMs, 2000)) * time.Millisecond):
		}
		life.runner.mutex.Lock()
	}
	if life.isOver() {
		panic(http.ErrAbortHandler)
	}
	running, finished := [][]any{}, [][]any{}
	for _, run := range life.runs {
		running = append(running, []any{run.task, run.attempt, "", run.percent(), 1})
	}
	for _, end := range life.ends[:min(len(life.ends), maxListedEnds)] {
		finished = append(finished, []any{end.number, end.task, end.attempt, end.how, ""})
	}
	life.respond(writer, http.StatusOK, "", map[string]any{"running": running, "finished": finished})
	return 0, ""
}

// take notes that an end was acknowledged. The mutex must be held.
func (life *life) take(taken end) {
	if taken.number <= life.lapsedEnd {
		return
	}
	event := Event{
		Kind: KindTaken, Runner: life.runner.ID, Label: life.label, Task: taken.task, Attempt: taken.attempt, How: taken.how,
	}
	life.runner.ledger.add(event)
}

func (run *run) percent() int {
	whole := run.spec.Duration
	if run.spec.Lasts {
		whole = startupTime
	}
	return int(min(100, 100*time.Since(run.began)/max(whole, 1)))
}

func (life *life) respond(writer http.ResponseWriter, status int, reason string, fields map[string]any) {
	body := map[string]any{"clockMs": life.clock().Milliseconds(), "born": life.born.UnixMilli()}
	for name, value := range fields {
		body[name] = value
	}
	if reason != "" {
		body["reason"] = reason
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body) // Whoever has left repeats its order.
}

// Drain makes the runner report that it is draining.
func (runner *Runner) Drain() {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if runner.life != nil {
		runner.life.state = "draining"
	}
}

// beat sends heartbeats until the life is over. It follows the address that the last answer named.
func (life *life) beat() {
	client := &http.Client{Timeout: time.Second}
	named, turn := "", 0
	for !life.isOver() {
		if !life.runner.isCut() {
			address := named
			if address == "" {
				address = net.JoinHostPort(life.runner.domain.Cores[turn%len(life.runner.domain.Cores)].Address, strconv.Itoa(portControl))
			}
			next, err := life.sendBeat(client, address)
			if err != nil {
				named, turn = "", turn+1
				time.Sleep(100 * time.Millisecond)
				continue
			}
			if next != "" {
				named = next
			}
		}
		select {
		case <-life.over:
		case <-time.After(HeartbeatInterval):
		}
	}
}

func (life *life) sendBeat(client *http.Client, address string) (next string, err error) {
	runner := life.runner
	runner.mutex.Lock()
	life.sequence++
	body := map[string]any{
		"service": runner.Service, "address": runner.address, "zone": runner.Zone, "version": "v1", "slots": 8, "state": life.state,
		"coldRemainingMs": 0, "capacity": map[string]int{"cpu": runner.CPU, "memMb": 32768, "gpu": 0},
		"labels": []string{life.label, runner.Rack}, "clockMs": life.clock().Milliseconds(), "sequence": life.sequence,
		"born": life.born.UnixMilli(), "machine": runner.Machine,
	}
	if life.state == "draining" {
		body["drainRemainingMs"] = 2000
	}
	runner.mutex.Unlock()
	data, _ := json.Marshal(body) // These types can be encoded.
	path := "http://" + address + "/v1/instances/" + runner.ID + "/heartbeat"
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, path, strings.NewReader(string(data)))
	if err != nil {
		return "", err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		HeartbeatURL string `json:"heartbeatUrl"`
	}
	if response.StatusCode/100 != 2 {
		return "", fmt.Errorf("status %d", response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil && !errors.Is(err, net.ErrClosed) {
		return "", nil //nolint:nilerr // An answer without a body names no other address.
	}
	return answer.HeartbeatURL, nil
}
