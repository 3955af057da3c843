package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// resources is the capacity of a runner or what a task takes of it.
type resources struct {
	CPU   int64 `json:"cpu"`
	MemMb int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// order is the body of the calls that a runner takes.
type order struct {
	Task         string `json:"task"`
	Attempt      uint32 `json:"attempt"`
	Spec         string `json:"spec"`
	DeadlineMs   int64  `json:"deadlineMs"`
	FencingToken uint64 `json:"fencingToken"`
	AckCursor    uint64 `json:"ackCursor"`
	WaitMs       int64  `json:"waitMs"`
	Percent      int    `json:"percent"`
}

// activity is a task that a runner runs.
type activity struct {
	attempt uint32
	lasts   bool
	needs   resources
	begun   time.Time
	ends    *time.Timer
}

// life is one life of a runner. Its mutex guards all fields below it.
type life struct {
	runner *runner
	id     string
	born   time.Time
	server *http.Server

	mutex       sync.Mutex
	connections map[net.Conn]bool
	dead        bool
	dark        bool
	// gone is closed at the end of the life.
	gone     chan struct{}
	running  map[string]*activity
	used     resources
	finished [][]any
	ends     uint64
	highest  map[string]uint32
	fence    uint64
	leaseMs  int64
	changed  chan struct{}
	sequence int64
	target   string
}

// runner is a machine that runs tasks, in one life after the other.
type runner struct {
	world    *world
	jobs     *ledger
	machine  string
	zone     string
	address  string
	labels   []string
	capacity resources

	mutex sync.Mutex
	lives int
	life  *life
}

// begin starts a life of the runner.
func (runner *runner) begin(ctx context.Context) error {
	var config net.ListenConfig
	socket, err := config.Listen(ctx, "tcp", runner.address)
	if err != nil {
		return err
	}
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.lives++
	life := &life{
		runner: runner, id: fmt.Sprintf("i-%s-%d", runner.machine, runner.lives), born: time.Now(), gone: make(chan struct{}),
		connections: map[net.Conn]bool{}, running: map[string]*activity{}, highest: map[string]uint32{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", life.call(life.start))
	mux.HandleFunc("POST /v1/run-stop", life.call(life.stop))
	mux.HandleFunc("POST /v1/hold", life.call(life.hold))
	mux.HandleFunc("POST /v1/pace", life.call(func(*order) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	life.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute, ConnState: life.track}
	runner.life = life
	runner.world.record.printf("runner %s begins at %s", life.id, runner.address)
	go func() { _ = life.server.Serve(socket) }()
	go life.heartbeats(ctx)
	go life.expire()
	return nil
}

// crash ends the process of the runner: its connections are closed, and what it ran is gone. The reason is for the record.
func (runner *runner) crash(reason string) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	life := runner.life
	if life == nil {
		return
	}
	runner.life = nil
	life.mutex.Lock()
	defer life.mutex.Unlock()
	life.dead = true
	close(life.gone)
	_ = life.server.Close()
	for connection := range life.connections {
		_ = connection.Close()
	}
	for task, running := range life.running {
		if running.ends != nil {
			running.ends.Stop()
		}
		runner.jobs.ended(task, running.attempt, "lost", life.id)
	}
	life.running = nil
	runner.world.record.printf("runner %s ends: %s", life.id, reason)
}

// goDark ends the runner without a trace: it answers nothing, and its connections stay open.
func (runner *runner) goDark() {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	life := runner.life
	life.mutex.Lock()
	defer life.mutex.Unlock()
	life.dark = true
	for task, running := range life.running {
		if running.ends != nil {
			running.ends.Stop()
		}
		runner.jobs.ended(task, running.attempt, "lost", life.id)
	}
	life.running = map[string]*activity{}
	runner.world.record.printf("runner %s goes dark", life.id)
}

func (life *life) track(connection net.Conn, state http.ConnState) {
	life.mutex.Lock()
	defer life.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(life.connections, connection)
		return
	}
	life.connections[connection] = true
}

// clock returns the runner's clock in milliseconds.
func (life *life) clock() int64 { return 1000 + time.Since(life.born).Milliseconds() }

// call returns the handler of a call. Whoever means another runner gets 421, an older fencing token 409.
func (life *life) call(serve func(order *order) (int, map[string]any)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var order order
		if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		if life.isDark() {
			<-life.gone
			return
		}
		status, body := http.StatusMisdirectedRequest, map[string]any{}
		if expected := request.Header.Get("Expect-Instance"); expected == "" || expected == life.id {
			status, body = serve(&order)
		}
		if life.isDark() {
			<-life.gone
			return
		}
		body["clockMs"], body["born"] = life.clock(), life.born.UnixMilli()
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		writer.Header().Set("Content-Type", "application/json")
		writer.WriteHeader(status)
		_, _ = writer.Write(data)
	}
}

func (life *life) isDark() bool {
	life.mutex.Lock()
	defer life.mutex.Unlock()
	return life.dark
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// isFenced reports whether an order has a lower token than one before. The mutex must be held.
func (life *life) isFenced(order *order) bool {
	if order.FencingToken < life.fence {
		return true
	}
	life.fence = order.FencingToken
	return false
}

// extend extends the lease of all that runs. The mutex must be held.
func (life *life) extend(order *order) {
	life.leaseMs = max(life.leaseMs, min(order.DeadlineMs, life.clock()+holdMax.Milliseconds()))
}

func (life *life) start(order *order) (int, map[string]any) {
	life.mutex.Lock()
	defer life.mutex.Unlock()
	if life.isFenced(order) {
		return refuse("fence")
	}
	if order.DeadlineMs <= life.clock() {
		return refuse("late")
	}
	life.extend(order)
	known := life.running[order.Task]
	switch {
	case known != nil && known.attempt == order.Attempt:
		return http.StatusOK, map[string]any{}
	case known != nil || order.Attempt <= life.highest[order.Task]:
		return refuse("old")
	}
	plan := life.runner.jobs.plan(order.Task)
	needs, used, capacity := plan.needs, life.used, life.runner.capacity
	if plan.fills {
		needs.CPU = 0
	}
	used.CPU, used.MemMb = used.CPU+needs.CPU, used.MemMb+needs.MemMb
	if used.CPU > capacity.CPU || used.MemMb > capacity.MemMb {
		return refuse("room")
	}
	life.used = used
	started := &activity{attempt: order.Attempt, lasts: plan.lasts, needs: needs, begun: time.Now()}
	if !plan.lasts {
		started.ends = time.AfterFunc(plan.work, func() { life.end(order.Task, order.Attempt, "done") })
	}
	life.running[order.Task] = started
	life.runner.jobs.began(order.Task, order.Attempt, life.id)
	return http.StatusOK, map[string]any{}
}

func (life *life) stop(order *order) (int, map[string]any) {
	life.mutex.Lock()
	fenced := life.isFenced(order)
	if !fenced {
		life.highest[order.Task] = max(life.highest[order.Task], order.Attempt)
	}
	life.mutex.Unlock()
	if fenced {
		return refuse("fence")
	}
	life.end(order.Task, order.Attempt, "stopped")
	return http.StatusOK, map[string]any{}
}

// end ends a run, if it is still there.
func (life *life) end(task string, attempt uint32, how string) {
	life.mutex.Lock()
	defer life.mutex.Unlock()
	running := life.running[task]
	if running == nil || running.attempt != attempt || life.dead || life.dark {
		return
	}
	if running.ends != nil {
		running.ends.Stop()
	}
	delete(life.running, task)
	life.used.CPU, life.used.MemMb = life.used.CPU-running.needs.CPU, life.used.MemMb-running.needs.MemMb
	life.highest[task] = max(life.highest[task], attempt)
	life.ends++
	life.finished = append(life.finished, []any{life.ends, task, attempt, how, ""})
	life.runner.jobs.ended(task, attempt, how, life.id)
	close(life.changed)
	life.changed = make(chan struct{})
}

func (life *life) hold(order *order) (int, map[string]any) {
	life.mutex.Lock()
	if life.isFenced(order) {
		life.mutex.Unlock()
		return refuse("fence")
	}
	if order.DeadlineMs > 0 {
		life.extend(order)
	}
	life.finished = slices.DeleteFunc(life.finished, func(end []any) bool { return end[0].(uint64) <= order.AckCursor })
	changed, listed := life.changed, len(life.finished) > 0
	life.mutex.Unlock()
	if wait := time.Duration(min(order.WaitMs, 2000)) * time.Millisecond; wait > 0 && !listed {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-life.gone:
		}
	}
	life.mutex.Lock()
	defer life.mutex.Unlock()
	running := [][]any{}
	for task, activity := range life.running {
		plan, percent := life.runner.jobs.plan(task), 100
		if !activity.lasts {
			percent = min(99, int(100*time.Since(activity.begun)/plan.work))
		}
		running = append(running, []any{task, activity.attempt, "", percent, plan.needs.CPU})
	}
	const listLimit = 500
	finished := append([][]any{}, life.finished[:min(len(life.finished), listLimit)]...)
	return http.StatusOK, map[string]any{"running": running, "finished": finished}
}

// expire kills what runs once its lease has ended.
func (life *life) expire() {
	const interval = 20 * time.Millisecond
	for {
		select {
		case <-life.gone:
			return
		case <-time.After(interval):
		}
		lapsed := map[string]uint32{}
		life.mutex.Lock()
		if life.clock() > life.leaseMs {
			for task, running := range life.running {
				lapsed[task] = running.attempt
			}
		}
		life.mutex.Unlock()
		for task, attempt := range lapsed {
			life.end(task, attempt, "lapsed")
		}
	}
}

// heartbeats reports the runner to the nodes that serve control until its life ends.
func (life *life) heartbeats(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for position := life.runner.world.cores; ctx.Err() == nil; {
		if life.isDark() {
			return
		}
		acknowledged := false
		for attempt := 0; attempt < len(position) && !acknowledged; attempt++ {
			acknowledged = life.heartbeat(ctx, client)
		}
		select {
		case <-life.gone:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat sends one heartbeat and reports whether it was acknowledged. After a failure another node is called.
func (life *life) heartbeat(ctx context.Context, client *http.Client) bool {
	runner := life.runner
	life.mutex.Lock()
	life.sequence++
	if life.target == "" {
		core := runner.world.cores[int(life.sequence)%len(runner.world.cores)]
		life.target = fmt.Sprintf("%s:%d", core.ip, controlPort)
	}
	target, sequence := life.target, life.sequence
	life.mutex.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": runner.address, "zone": runner.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": runner.capacity, "labels": runner.labels, "clockMs": life.clock(),
		"sequence": sequence, "born": life.born.UnixMilli(), "machine": runner.machine,
	})
	if err != nil {
		panic(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+target+"/v1/instances/"+life.id+"/heartbeat", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	var answer struct {
		HeartbeatURL string `json:"heartbeatUrl"`
	}
	acknowledged := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
	}
	life.mutex.Lock()
	defer life.mutex.Unlock()
	if !acknowledged {
		life.target = ""
	} else if answer.HeartbeatURL != "" {
		life.target = strings.TrimPrefix(answer.HeartbeatURL, "http://")
	}
	return acknowledged
}
