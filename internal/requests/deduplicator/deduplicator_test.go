package deduplicator

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// group is a fake replicated group with two replicas whose states are compared after every command. fault
// selects the fault to inject into a proposal by the proposal's number.
type group struct {
	t         *testing.T
	mutex     sync.Mutex
	machines  [2]*Machine
	fault     func(number int) string
	proposals int
}

func (group *group) Propose(ctx context.Context, body []byte) ([]byte, error) {
	group.mutex.Lock()
	group.proposals++
	fault := ""
	if group.fault != nil {
		fault = group.fault(group.proposals)
	}
	group.mutex.Unlock()
	switch fault {
	case "unreachable":
		return nil, scheduler.ErrNotRun.New("no leader")
	case "lost":
		return nil, scheduler.ErrOutcomeUnknown.New("connection broke")
	case "late":
		time.AfterFunc(300*time.Millisecond, func() { group.apply(body) })
		return nil, scheduler.ErrOutcomeUnknown.New("connection broke")
	}
	time.Sleep(2 * time.Millisecond)
	reply := group.apply(body)
	if fault == "answerLost" || ctx.Err() != nil {
		return nil, scheduler.ErrOutcomeUnknown.New("connection broke")
	}
	return reply, nil
}

// apply applies a command to both replicas. The second one is restored from a snapshot of the first each time.
func (group *group) apply(body []byte) []byte {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	var before bytes.Buffer
	_ = group.machines[0].Snapshot(&before)
	restored := NewMachine()
	if err := restored.Restore(&before); err != nil {
		group.t.Errorf("restore: %v", err)
	}
	reply, other := group.machines[0].Apply(1, body), restored.Apply(1, body)
	var first, second bytes.Buffer
	_, _ = group.machines[0].Snapshot(&first), restored.Snapshot(&second)
	if !bytes.Equal(reply, other) || !bytes.Equal(first.Bytes(), second.Bytes()) {
		group.t.Errorf("replicas differ after %x", body)
	}
	return reply
}

// cluster is two data centres with one gateway each, and a second gateway in the first one.
type cluster struct {
	groups map[scheduler.DataCentreName]*group
	stores [3]*Store
}

func newCluster(t *testing.T) *cluster {
	fake := &cluster{groups: map[scheduler.DataCentreName]*group{}}
	homes := []scheduler.DataCentreName{"couva", "chaguanas"}
	for _, home := range homes {
		fake.groups[home] = &group{t: t, machines: [2]*Machine{NewMachine(), NewMachine()}}
	}
	for number, gateway := range []scheduler.Gateway{{VM: "couva-1", DataCentre: "couva"}, {VM: "couva-2", DataCentre: "couva"}, {VM: "chaguanas-1", DataCentre: "chaguanas"}} {
		fake.stores[number] = NewStore(gateway, 1, func() []scheduler.DataCentreName { return homes },
			func(home scheduler.DataCentreName) Proposer { return fake.groups[home] },
			WithMachine(fake.groups[gateway.DataCentre].machines[0]))
	}
	return fake
}

// step is one action at a gateway. An async step runs concurrently with the steps that follow.
type step struct {
	store   int
	finish  scheduler.Outcome
	digest  string
	restart bool
	delay   time.Duration
	async   bool
	want    string
}

func (cluster *cluster) run(t *testing.T, key string, step step, deadline time.Duration) string {
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	store := cluster.stores[step.store]
	request := scheduler.KeyRequest{Key: key, Digest: []byte("digest" + step.digest), Deadline: time.Now().Add(deadline)}
	if step.finish != "" {
		return fmt.Sprint(store.Finish(ctx, request, step.finish, scheduler.StoredResponse{Status: 201, Body: []byte("palms")}))
	}
	decision, response, err := store.Begin(ctx, request)
	switch {
	case err != nil && scheduler.ErrNotRun.Has(err):
		return "notRun"
	case err != nil:
		return "error"
	case decision == scheduler.KeyCompleted:
		return fmt.Sprintf("answered %d %s", response.Status, response.Body)
	}
	return string(decision)
}

// TestStore guards against a request that is run twice, and against a retry that gets a wrong response. Steps run
// in order; the deadline of every request is 10 s.
func TestStore(t *testing.T) {
	always := func(fault string) func(int) string { return func(int) string { return fault } }
	first := func(fault string) func(int) string {
		return func(number int) string {
			if number == 1 {
				return fault
			}
			return ""
		}
	}
	const done, run = "answered 201 palms", "run"
	cases := map[string]struct {
		key   string
		fault func(number int) string
		steps []step
	}{
		"retry at another gateway":          {"couva:x", nil, []step{{want: run}, {finish: "done"}, {store: 1, want: done}}},
		"retry in another data centre":      {"couva:x", nil, []step{{want: run}, {finish: "done"}, {store: 2, want: done}}},
		"key without a known prefix":        {"order 17", nil, []step{{want: run}, {finish: "done"}, {store: 2, want: done}}},
		"retry waits for the first outcome": {"couva:x", nil, []step{{want: run}, {store: 1, async: true, want: done}, {store: 2, async: true, want: done}, {finish: "done", delay: time.Second}}},
		"retry waits until its deadline":    {"couva:x", nil, []step{{want: run}, {store: 1, want: "unknown"}}},
		"crash after begin":                 {"couva:x", nil, []step{{want: run}, {delay: 16 * time.Second, store: 1, want: "unknown"}, {store: 2, want: "unknown"}}},
		"crash after begin, then restart": {"couva:x", nil, []step{
			{want: run}, {store: 1, async: true, want: "unknown"}, {restart: true, delay: time.Second},
		}},
		"slow gateway reports after all":  {"couva:x", nil, []step{{want: run}, {delay: 16 * time.Second, store: 1, want: "unknown"}, {finish: "done"}, {store: 1, want: done}}},
		"not run frees the key":           {"couva:x", nil, []step{{want: run}, {finish: "notRun"}, {store: 1, want: run}}},
		"unknown stays unknown":           {"couva:x", nil, []step{{want: run}, {finish: "unknown"}, {store: 1, want: "unknown"}}},
		"another request with the key":    {"couva:x", nil, []step{{want: run}, {finish: "done"}, {store: 1, digest: "2", want: "conflict"}}},
		"begin lost":                      {"couva:x", first("lost"), []step{{want: run}, {store: 1, async: true, want: done}, {finish: "done"}}},
		"begin committed, response lost":  {"couva:x", first("answerLost"), []step{{want: run}, {store: 1, async: true, want: done}, {finish: "done"}}},
		"begin committed late":            {"couva:x", first("late"), []step{{want: run}, {delay: time.Second, finish: "done"}, {store: 1, want: done}}},
		"begin never known":               {"couva:x", always("lost"), []step{{want: "error"}}},
		"home unreachable":                {"couva:x", always("unreachable"), []step{{want: "notRun"}, {store: 2, want: "notRun"}}},
		"key without issue time expired":  {"couva:x", nil, []step{{want: run}, {finish: "done"}, {delay: 23 * time.Hour, want: done}, {delay: 25 * time.Hour, want: run}}},
		"key with issue time expired":     {"couva:946684800000:x", nil, []step{{want: run}, {finish: "done"}, {delay: 23 * time.Hour, want: done}, {delay: 2 * time.Hour, want: "unknown"}, {delay: 48 * time.Hour, want: "unknown"}}},
		"issue time in the past":          {"couva:946584800000:x", nil, []step{{want: "unknown"}}},
		"begin of an earlier incarnation": {"couva:x", nil, []step{{store: 1, restart: true}, {store: 1, want: "notRun"}}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t)
				var waiting sync.WaitGroup
				for _, group := range cluster.groups {
					group.fault = test.fault
				}
				for position, step := range test.steps {
					time.Sleep(step.delay)
					check := func() {
						if got := cluster.run(t, test.key, step, 10*time.Second); step.finish == "" && got != step.want {
							t.Errorf("step %d: got %s, want %s", position, got, step.want)
						}
					}
					switch {
					case step.restart:
						next := cluster.stores[step.store]
						gateway := scheduler.Gateway{VM: next.vm, DataCentre: next.dataCentre}
						_ = NewStore(gateway, 2, next.homes, next.proposer).Start(t.Context())
					case step.async:
						waiting.Go(check)
						time.Sleep(10 * time.Millisecond)
					default:
						check()
					}
				}
				waiting.Wait()
				for _, store := range cluster.stores {
					store.Close()
				}
			})
		})
	}
}

// TestStartAgain guards against requests of an earlier incarnation that stay in progress because a group was not reached at
// the start, and against a registration that is repeated for the groups that were reached.
func TestStartAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		cluster.groups["couva"].fault = func(number int) string {
			if number == 1 {
				return "unreachable"
			}
			return ""
		}
		store := cluster.stores[0]
		for number, wantErr := range []bool{true, false, false} {
			if err := store.Start(t.Context()); (err != nil) != wantErr {
				t.Errorf("start %d: got error %v, want one: %v", number, err, wantErr)
			}
		}
		for home, want := range map[scheduler.DataCentreName]int{"couva": 2, "chaguanas": 1} {
			if got := cluster.groups[home].proposals; got != want {
				t.Errorf("proposals in %s: got %d, want %d", home, got, want)
			}
		}
	})
}

// TestWithdraw guards against a key that stays in use after a begin whose outcome was unknown and whose request
// was not run.
func TestWithdraw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t)
		cluster.groups["couva"].fault = func(int) string { return "answerLost" }
		if got, want := cluster.run(t, "couva:x", step{}, time.Second), "error"; got != want {
			t.Errorf("begin: got %s, want %s", got, want)
		}
		cluster.groups["couva"].mutex.Lock()
		cluster.groups["couva"].fault = nil
		cluster.groups["couva"].mutex.Unlock()
		cluster.stores[0].Close()
		if got, want := cluster.run(t, "couva:x", step{store: 1}, time.Second), "run"; got != want {
			t.Errorf("retry: got %s, want %s", got, want)
		}
	})
}

// TestBounds guards against unbounded growth of records and responses, and against eviction of records to make
// room, since their requests could then run again.
func TestBounds(t *testing.T) {
	machine := NewMachine(WithLimits(10, 1000))
	apply := func(proposal command) resultKind {
		proposal.Attempt = []byte("a")
		body, _ := cbor.Marshal(proposal)
		var response result
		_ = cbor.Unmarshal(machine.Apply(1, body), &response)
		return response.Kind
	}
	for number := range 10 {
		key := fmt.Sprintf("k%d", number)
		if got, want := apply(command{Kind: commandBegin, Key: key, Now: 1, Deadline: 1000}), resultRun; got != want {
			t.Errorf("begin of %s: got %s, want %s", key, got, want)
		}
		apply(command{Kind: commandFinish, Key: key, Outcome: scheduler.OutcomeDone, Response: scheduler.StoredResponse{Body: make([]byte, 300)}})
	}
	cases := map[string]struct {
		command command
		want    resultKind
	}{
		"full":            {command{Kind: commandBegin, Key: "k10", Deadline: 1000}, resultFull},
		"oldest response": {command{Kind: commandBegin, Key: "k0", Deadline: 1000}, resultUnknown},
		"newest response": {command{Kind: commandBegin, Key: "k9", Deadline: 1000}, resultCompleted},
		"long key":        {command{Kind: commandBegin, Key: string(make([]byte, MaxKeyLength+1)), Deadline: 1000}, resultInvalid},
		"unknown command": {command{Kind: "other"}, resultInvalid},
	}
	for name, test := range cases {
		if got := apply(test.command); got != test.want {
			t.Errorf("%s: got %s, want %s", name, got, test.want)
		}
	}
	day := keyRetention.Milliseconds()
	if got, want := apply(command{Kind: commandBegin, Key: "k10", Now: 2*day + 2000, Deadline: 3 * day}), resultRun; got != want {
		t.Errorf("after the key retention: got %s, want %s", got, want)
	}
	if got, want := len(machine.records)+machine.responseBytes+len(machine.responses), 1; got != want {
		t.Errorf("records, bytes and responses kept: got %d, want %d", got, want)
	}
}

// TestAttempts guards against an attempt that sets the outcome of another one, and against a key that stays running
// after its gateway has crashed. The last command of each case is a retry with attempt b.
func TestAttempts(t *testing.T) {
	cases := map[string]struct {
		finish string
		now    int64
		want   resultKind
	}{
		"running":                     {"", 5999, resultRunning},
		"5 s after the deadline":      {"", 6001, resultUnknown},
		"finished by another attempt": {"b", 10, resultRunning},
		"finished by its attempt":     {"a", 10, resultCompleted},
	}
	for name, test := range cases {
		machine := NewMachine()
		var got result
		for _, proposal := range []command{
			{Kind: commandBegin, Attempt: []byte("a"), Now: 1},
			{Kind: commandFinish, Attempt: []byte(test.finish), Now: 2, Outcome: scheduler.OutcomeDone},
			{Kind: commandBegin, Attempt: []byte("b"), Now: test.now},
		} {
			proposal.Key, proposal.Deadline = "k", 1000
			body, _ := cbor.Marshal(proposal)
			_ = cbor.Unmarshal(machine.Apply(1, body), &got)
		}
		if got.Kind != test.want {
			t.Errorf("%s: got %s, want %s", name, got.Kind, test.want)
		}
	}
}

// BenchmarkMachine measures a begin and a finish with a response of 1 KiB, and reports the number of records and
// the size of the stored responses.
func BenchmarkMachine(b *testing.B) {
	machine, response := NewMachine(), scheduler.StoredResponse{Status: 200, Body: make([]byte, 1024)}
	number := 0
	for b.Loop() {
		number++
		for _, kind := range []commandKind{commandBegin, commandFinish} {
			body, _ := cbor.Marshal(command{
				Kind: kind, Now: int64(number), Key: fmt.Sprintf("couva:%d:x", number), Digest: make([]byte, 32), Attempt: make([]byte, 16),
				Deadline: int64(number) + 1000, Outcome: scheduler.OutcomeDone, Response: response,
			})
			machine.Apply(1, body)
		}
	}
	b.ReportMetric(float64(len(machine.records)), "records")
	b.ReportMetric(float64(machine.responseBytes), "answerBytes")
}
