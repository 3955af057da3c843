package allocator

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// TestLoneGateway guards against slots that stay with idle gateways, and reports how much of the slots a
// lone hot gateway can use and how fast shares follow demand that moves to another gateway.
func TestLoneGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		world := newWorld(ctx, 1, 50, true)
		demand := func(demands ...int) {
			world.mutex.Lock()
			defer world.mutex.Unlock()
			for number, vm := range world.vms {
				vm.demand = demands[number]
			}
		}
		limits := func(number int) int {
			shares := world.vms[number].shares
			shares.mutex.Lock()
			defer shares.mutex.Unlock()
			sum := 0
			for _, own := range shares.shares {
				sum += own.limit
			}
			return sum
		}
		demand(1000, 0, 0)
		time.Sleep(10 * time.Second)
		lone := limits(0)
		t.Logf("lone hot gateway: %d of %d slots", lone, 50*capacity)
		if got, want := lone, 50*(capacity-1); got < want {
			t.Errorf("lone hot gateway: got %d slots, want at least %d", got, want)
		}
		unchanged, claims := world.vms[1].shares.compose(time.Now())
		whole := ask{Gateway: unchanged.Gateway, Session: unchanged.Session, Number: unchanged.Number}
		whole.list(claims, nil)
		wholeBytes, _ := cbor.Marshal(whole)
		unchangedBytes, _ := cbor.Marshal(unchanged)
		t.Logf("an ask about 50 endpoints takes %d bytes in whole and %d when nothing has changed", len(wholeBytes), len(unchangedBytes))
		if got, want := len(unchanged.Claims)+len(unchanged.Gone), 0; got != want {
			t.Errorf("claims in an ask without a change: got %d, want %d", got, want)
		}
		demand(0, 1000, 0)
		moved := time.Now()
		for limits(1) < lone/2 {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("half of the slots followed after %v", time.Since(moved))
		for limits(1) < lone*9/10 {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("nine tenths of the slots followed after %v", time.Since(moved))
		cancel()
		world.work.Wait()
	})
}

// TestAnswer guards against grants that count a stale or late ask as the truth. Each ask of the table is
// answered after a pause; the last one's grant is checked.
func TestAnswer(t *testing.T) {
	type step struct {
		pause time.Duration
		ask   ask
	}
	asks := func(gateway scheduler.GatewayID, number uint64, limit, inUse int) ask {
		return ask{Gateway: gateway, Session: 1, Number: number, Claims: []claim{{
			Endpoint: "desk-0", Limit: limit, InUse: inUse, Demand: 20, ConnectionLimit: limit, Open: inUse,
		}}}
	}
	leaving := asks("a/1", 2, 0, 1)
	leaving.Leaving = true
	cases := map[string]struct {
		inProgress map[scheduler.GatewayID]int
		steps      []step
		want       int
		refused    bool
	}{
		"alone":                        {nil, []step{{0, asks("a/1", 1, 0, 0)}}, 8, false},
		"shrunk share not confirmed":   {nil, []step{{0, asks("a/1", 1, 8, 8)}, {0, asks("b/1", 1, 0, 0)}}, 0, false},
		"shrunk share confirmed":       {nil, []step{{0, asks("a/1", 1, 8, 8)}, {0, asks("b/1", 1, 0, 0)}, {0, asks("a/1", 2, 8, 3)}, {0, asks("a/1", 3, 4, 3)}, {0, asks("b/1", 2, 0, 0)}}, 4, false},
		"expired, announcement older":  {nil, []step{{0, asks("a/1", 1, 8, 8)}, {3200 * time.Millisecond, asks("b/1", 1, 0, 0)}}, 0, false},
		"expired, announcement newer":  {map[scheduler.GatewayID]int{"a/1": 3}, []step{{0, asks("a/1", 1, 8, 8)}, {4 * time.Second, asks("b/1", 1, 0, 0)}}, 5, false},
		"unknown life in progress":     {map[scheduler.GatewayID]int{"a/1": 3}, []step{{0, asks("a/2", 1, 0, 0)}}, 5, false},
		"unknown life beside another":  {map[scheduler.GatewayID]int{"a/1": 3}, []step{{0, asks("b/1", 1, 5, 5)}, {0, asks("a/2", 1, 0, 0)}}, 0, false},
		"ask older than the expiry":    {map[scheduler.GatewayID]int{"a/1": 6}, []step{{0, asks("a/1", 1, 8, 8)}, {4 * time.Second, leaving}, {0, asks("b/1", 1, 0, 0)}}, 2, false},
		"asks out of order":            {nil, []step{{0, asks("a/1", 2, 8, 8)}, {0, asks("a/1", 1, 0, 0)}}, 0, true},
		"ask for an earlier allocator": {nil, []step{{0, ask{Gateway: "a/1", Session: 0, Number: 1, Claims: make([]claim, 1)}}}, 0, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := &world{heard: map[scheduler.EndpointName]scheduler.ReceivedAnnouncement{}}
				allocator := New(&vm{handlers: map[scheduler.MessageKind]scheduler.MessageHandler{}}, &vm{handlers: map[scheduler.MessageKind]scheduler.MessageHandler{}}, world)
				allocator.takeOver(1)
				time.Sleep(10 * time.Second)
				var got answerMessage
				var err error
				for _, step := range test.steps {
					time.Sleep(step.pause)
					received := time.Now().Truncate(time.Second)
					if step.pause == 3200*time.Millisecond {
						received = received.Add(-time.Second)
					}
					world.heard["desk-0"] = scheduler.ReceivedAnnouncement{Received: received, Announcement: scheduler.Announcement{
						Endpoint: "desk-0", Slots: capacity, Connections: 64, InProgress: test.inProgress,
					}}
					got, err = allocator.answer(step.ask, time.Now())
				}
				if got, want := err != nil || got.Refused, test.refused; got != want {
					t.Fatalf("refused: got %v, want %v", got, want)
				}
				if !test.refused && got.Grants[0].Slots != test.want {
					t.Errorf("slots: got %d, want %d", got.Grants[0].Slots, test.want)
				}
			})
		})
	}
}

// TestSlotLapse guards against a slot that becomes valid again with a share that was granted after the
// one under which it was taken had expired.
func TestSlotLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own := &share{active: map[*slot]bool{}}
		shares := &ShareClient{shares: map[scheduler.EndpointName]*share{"desk-0": own}, notify: func(int) {}}
		claims := map[scheduler.EndpointName]claim{"desk-0": {Endpoint: "desk-0"}}
		granted := answerMessage{Grants: []givenGrant{{Endpoint: "desk-0", Slots: 1, Connections: 1}}}
		shares.accept(ask{}, claims, granted, time.Now())
		early, _ := shares.Acquire("desk-0")
		if got, want := early.Valid(), true; got != want {
			t.Errorf("valid at once: got %v, want %v", got, want)
		}
		time.Sleep(shareLife)
		shares.accept(ask{}, claims, granted, time.Now())
		if got, want := early.Valid(), false; got != want {
			t.Errorf("valid after a lapse: got %v, want %v", got, want)
		}
	})
}

// TestAskWithBase guards against claims or grants that differ between the two sides when an ask or its
// answer was lost: the allocator may only build on the ask that it answered last.
func TestAskWithBase(t *testing.T) {
	first := []claim{{Endpoint: "desk-0", Limit: 2}, {Endpoint: "desk-1", Limit: 3}}
	cases := map[string]struct {
		next   ask
		rebase bool
		want   map[scheduler.EndpointName]int
	}{
		"nothing changed":      {ask{Number: 5, Base: 4}, false, map[scheduler.EndpointName]int{"desk-0": 2, "desk-1": 3}},
		"one changed":          {ask{Number: 5, Base: 4, Claims: []claim{{Endpoint: "desk-1", Limit: 1}}}, false, map[scheduler.EndpointName]int{"desk-0": 2, "desk-1": 1}},
		"one gone":             {ask{Number: 5, Base: 4, Gone: []scheduler.EndpointName{"desk-0"}}, false, map[scheduler.EndpointName]int{"desk-1": 3}},
		"whole":                {ask{Number: 5, Claims: first[:1]}, false, map[scheduler.EndpointName]int{"desk-0": 2}},
		"base before the last": {ask{Number: 5, Base: 3}, true, map[scheduler.EndpointName]int{"desk-0": 2, "desk-1": 3}},
		"base never answered":  {ask{Number: 6, Base: 5}, true, map[scheduler.EndpointName]int{"desk-0": 2, "desk-1": 3}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			world := &world{heard: map[scheduler.EndpointName]scheduler.ReceivedAnnouncement{}}
			allocator := New(&vm{handlers: map[scheduler.MessageKind]scheduler.MessageHandler{}}, &vm{handlers: map[scheduler.MessageKind]scheduler.MessageHandler{}}, world)
			allocator.takeOver(1)
			if _, err := allocator.answer(ask{Gateway: "a/1", Session: 1, Number: 4, Claims: first}, time.Now()); err != nil {
				t.Fatal(err)
			}
			test.next.Gateway, test.next.Session = "a/1", 1
			answered, err := allocator.answer(test.next, time.Now())
			if err != nil {
				t.Fatal(err)
			}
			if got, want := answered.Rebase, test.rebase; got != want {
				t.Errorf("rebase: got %v, want %v", got, want)
			}
			got := map[scheduler.EndpointName]int{}
			for endpoint, claimed := range allocator.gateways["a/1"].claims {
				got[endpoint] = claimed.Limit
			}
			if !maps.Equal(got, test.want) {
				t.Errorf("claims at the allocator: got %v, want %v", got, test.want)
			}
		})
	}
}
