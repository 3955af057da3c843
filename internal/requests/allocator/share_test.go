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

// TestLoneGateway guards against slots that remain allocated to idle gateways. It logs how many slots a single
// gateway under load can use, and how long shares take to follow demand that moves to another gateway.
func TestLoneGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cluster := newCluster(ctx, 1, 50, true)
		demand := func(demands ...int) {
			cluster.mutex.Lock()
			defer cluster.mutex.Unlock()
			for index, vm := range cluster.vms {
				vm.demand = demands[index]
			}
		}
		limits := func(index int) int {
			client := cluster.vms[index].shareClient
			client.mutex.Lock()
			defer client.mutex.Unlock()
			sum := 0
			for _, endpointShare := range client.shares {
				sum += endpointShare.limit
			}
			return sum
		}
		demand(1000, 0, 0)
		time.Sleep(10 * time.Second)
		single := limits(0)
		t.Logf("single gateway under load: %d of %d slots", single, 50*capacity)
		if got, want := single, 50*(capacity-1); got < want {
			t.Errorf("single gateway under load: got %d slots, want at least %d", got, want)
		}
		delta, reports := cluster.vms[1].shareClient.buildRequest(time.Now())
		full := shareRequest{Gateway: delta.Gateway, Term: delta.Term, Number: delta.Number}
		full.setReports(reports, nil)
		fullBytes, _ := cbor.Marshal(full)
		deltaBytes, _ := cbor.Marshal(delta)
		t.Logf("share request for 50 endpoints: %d bytes in full, %d bytes without changes", len(fullBytes), len(deltaBytes))
		if got, want := len(delta.Reports)+len(delta.Removed), 0; got != want {
			t.Errorf("reports in a request without changes: got %d, want %d", got, want)
		}
		demand(0, 1000, 0)
		start := time.Now()
		for limits(1) < single/2 {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("half of the slots moved after %v", time.Since(start))
		for limits(1) < single*9/10 {
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("nine tenths of the slots moved after %v", time.Since(start))
		cancel()
		cluster.tasks.Wait()
	})
}

// TestRespond guards against grants that are based on a stale, late or reordered request. Each case sends its
// requests with pauses and checks the grant of the last response.
func TestRespond(t *testing.T) {
	type step struct {
		pause        time.Duration
		shareRequest shareRequest
	}
	newRequest := func(gateway scheduler.GatewayID, number uint64, limit, inUse int) shareRequest {
		return shareRequest{Gateway: gateway, Term: 1, Number: number, Reports: []endpointReport{{
			Endpoint: "desk-0", Limit: limit, InUse: inUse, Demand: 20, ConnectionLimit: limit, OpenConnections: inUse,
		}}}
	}
	leaving := newRequest("a/1", 2, 0, 1)
	leaving.Leaving = true
	cases := map[string]struct {
		inProgress map[scheduler.GatewayID]int
		steps      []step
		want       int
		refused    bool
	}{
		"alone": {nil, []step{{0, newRequest("a/1", 1, 0, 0)}}, 8, false},
		"reduced share unconfirmed": {nil, []step{
			{0, newRequest("a/1", 1, 8, 8)},
			{0, newRequest("b/1", 1, 0, 0)},
		}, 0, false},
		"reduced share confirmed": {nil, []step{
			{0, newRequest("a/1", 1, 8, 8)},
			{0, newRequest("b/1", 1, 0, 0)},
			{0, newRequest("a/1", 2, 8, 3)},
			{0, newRequest("a/1", 3, 4, 3)},
			{0, newRequest("b/1", 2, 0, 0)},
		}, 4, false},
		"expired, older announcement": {nil, []step{
			{0, newRequest("a/1", 1, 8, 8)},
			{3200 * time.Millisecond, newRequest("b/1", 1, 0, 0)},
		}, 0, false},
		"expired, newer announcement": {map[scheduler.GatewayID]int{"a/1": 3}, []step{
			{0, newRequest("a/1", 1, 8, 8)},
			{4 * time.Second, newRequest("b/1", 1, 0, 0)},
		}, 5, false},
		"requests of unknown gateway": {map[scheduler.GatewayID]int{"a/1": 3}, []step{
			{0, newRequest("a/2", 1, 0, 0)},
		}, 5, false},
		"unknown and known gateway": {map[scheduler.GatewayID]int{"a/1": 3}, []step{
			{0, newRequest("b/1", 1, 5, 5)},
			{0, newRequest("a/2", 1, 0, 0)},
		}, 0, false},
		"request sent before expiry": {map[scheduler.GatewayID]int{"a/1": 6}, []step{
			{0, newRequest("a/1", 1, 8, 8)},
			{4 * time.Second, leaving},
			{0, newRequest("b/1", 1, 0, 0)},
		}, 2, false},
		"requests out of order": {nil, []step{
			{0, newRequest("a/1", 2, 8, 8)},
			{0, newRequest("a/1", 1, 0, 0)},
		}, 0, true},
		"request for earlier term": {nil, []step{
			{0, shareRequest{Gateway: "a/1", Term: 0, Number: 1, Reports: make([]endpointReport, 1)}},
		}, 0, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := &cluster{announcements: map[scheduler.EndpointName]scheduler.ReceivedAnnouncement{}}
				allocator := New(
					&vm{handlers: map[scheduler.MessageKind]scheduler.MessageHandler{}},
					&vm{handlers: map[scheduler.MessageKind]scheduler.MessageHandler{}},
					cluster)
				allocator.startTerm(1)
				time.Sleep(10 * time.Second)
				var got shareResponse
				var err error
				for _, step := range test.steps {
					time.Sleep(step.pause)
					received := time.Now().Truncate(time.Second)
					if step.pause == 3200*time.Millisecond {
						received = received.Add(-time.Second)
					}
					cluster.announcements["desk-0"] = scheduler.ReceivedAnnouncement{
						Received: received,
						Announcement: scheduler.Announcement{
							Endpoint: "desk-0", Slots: capacity, Connections: 64, InProgress: test.inProgress,
						},
					}
					got, err = allocator.respond(step.shareRequest, time.Now())
				}
				if got, want := err != nil || got.TermMismatch, test.refused; got != want {
					t.Fatalf("refused: got %v, want %v", got, want)
				}
				if !test.refused && got.Grants[0].Slots != test.want {
					t.Errorf("slots: got %d, want %d", got.Grants[0].Slots, test.want)
				}
			})
		})
	}
}

// TestSlotExpiration guards against a slot that becomes valid again because a new share was granted after the share
// under which the slot was acquired had expired.
func TestSlotExpiration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpointShare := &share{active: map[*slot]bool{}}
		client := &ShareClient{shares: map[scheduler.EndpointName]*share{"desk-0": endpointShare}, onFreeSlots: func(int) {}}
		reports := map[scheduler.EndpointName]endpointReport{"desk-0": {Endpoint: "desk-0"}}
		response := shareResponse{Grants: []endpointGrant{{Endpoint: "desk-0", Slots: 1, Connections: 1}}}
		client.applyResponse(shareRequest{}, reports, response, time.Now())
		acquired, _ := client.Acquire("desk-0")
		if got, want := acquired.Valid(), true; got != want {
			t.Errorf("valid before expiration: got %v, want %v", got, want)
		}
		time.Sleep(shareTTL)
		client.applyResponse(shareRequest{}, reports, response, time.Now())
		if got, want := acquired.Valid(), false; got != want {
			t.Errorf("valid after expiration: got %v, want %v", got, want)
		}
	})
}

// TestRequestBaseline guards against reports or grants that differ between gateway and allocator after a request or
// its response was lost. The allocator must accept a delta only against the last request that it answered.
func TestRequestBaseline(t *testing.T) {
	first := []endpointReport{{Endpoint: "desk-0", Limit: 2}, {Endpoint: "desk-1", Limit: 3}}
	cases := map[string]struct {
		next     shareRequest
		mismatch bool
		want     map[scheduler.EndpointName]int
	}{
		"no change": {
			shareRequest{Number: 5, Baseline: 4},
			false,
			map[scheduler.EndpointName]int{"desk-0": 2, "desk-1": 3},
		},
		"one report changed": {
			shareRequest{Number: 5, Baseline: 4, Reports: []endpointReport{{Endpoint: "desk-1", Limit: 1}}},
			false,
			map[scheduler.EndpointName]int{"desk-0": 2, "desk-1": 1},
		},
		"one endpoint removed": {
			shareRequest{Number: 5, Baseline: 4, Removed: []scheduler.EndpointName{"desk-0"}},
			false,
			map[scheduler.EndpointName]int{"desk-1": 3},
		},
		"whole": {
			shareRequest{Number: 5, Reports: first[:1]},
			false,
			map[scheduler.EndpointName]int{"desk-0": 2},
		},
		"baseline before the last": {
			shareRequest{Number: 5, Baseline: 3},
			true,
			map[scheduler.EndpointName]int{"desk-0": 2, "desk-1": 3},
		},
		"baseline never answered": {
			shareRequest{Number: 6, Baseline: 5},
			true,
			map[scheduler.EndpointName]int{"desk-0": 2, "desk-1": 3},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			cluster := &cluster{announcements: map[scheduler.EndpointName]scheduler.ReceivedAnnouncement{}}
			allocator := New(
				&vm{handlers: map[scheduler.MessageKind]scheduler.MessageHandler{}},
				&vm{handlers: map[scheduler.MessageKind]scheduler.MessageHandler{}},
				cluster)
			allocator.startTerm(1)
			if _, err := allocator.respond(shareRequest{
				Gateway: "a/1", Term: 1, Number: 4, Reports: first,
			}, time.Now()); err != nil {
				t.Fatal(err)
			}
			test.next.Gateway, test.next.Term = "a/1", 1
			response, err := allocator.respond(test.next, time.Now())
			if err != nil {
				t.Fatal(err)
			}
			if got, want := response.BaselineMismatch, test.mismatch; got != want {
				t.Errorf("baseline mismatch: got %v, want %v", got, want)
			}
			got := map[scheduler.EndpointName]int{}
			for endpoint, report := range allocator.gateways["a/1"].reports {
				got[endpoint] = report.Limit
			}
			if !maps.Equal(got, test.want) {
				t.Errorf("reports at the allocator: got %v, want %v", got, test.want)
			}
		})
	}
}
