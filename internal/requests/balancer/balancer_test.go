package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fakeSlotSource is a scheduler.SlotSource with a fixed number of free slots per endpoint.
type fakeSlotSource map[scheduler.EndpointName]int

type slot struct{}

func (slot) Valid() bool { return true }
func (slot) Release()    {}
func (slot) Abandon()    {}

func (fakeSlotSource fakeSlotSource) Free(endpoint scheduler.EndpointName) int {
	return fakeSlotSource[endpoint]
}

func (fakeSlotSource fakeSlotSource) Acquire(endpoint scheduler.EndpointName) (scheduler.Slot, bool) {
	return slot{}, fakeSlotSource[endpoint] > 0
}

func (fakeSlotSource fakeSlotSource) AcquireConnection(scheduler.EndpointName) (scheduler.Slot, bool) {
	return slot{}, true
}

// TestChoose guards against requests to endpoints that have no free slot, fail, are slow or were just readmitted. Each
// case runs its steps and then checks how many of 1,000 choices among four endpoints are desk-0.
func TestChoose(t *testing.T) {
	failed, succeeded := scheduler.EndpointResult{Failed: true}, scheduler.EndpointResult{Latency: 10 * time.Millisecond}
	report := func(balancer *Balancer, result scheduler.EndpointResult, times int) {
		for range times {
			balancer.Report("desk-0", result)
		}
	}
	others := func(balancer *Balancer) {
		for range minLatencySamples {
			for index := 1; index < 4; index++ {
				balancer.Report(scheduler.EndpointName(fmt.Sprintf("desk-%d", index)), succeeded)
			}
		}
	}
	cases := map[string]struct {
		free      int
		steps     func(balancer *Balancer)
		low, high int
	}{
		"even":         {8, func(*Balancer) {}, 200, 300},
		"no free slot": {0, func(*Balancer) {}, 0, 0},
		"loaded":       {2, func(*Balancer) {}, 40, 90},
		"failures below limit": {8, func(b *Balancer) {
			report(b, failed, 4)
			report(b, succeeded, 1)
			report(b, failed, 4)
		}, 200, 300},
		"ejected for failures":        {8, func(b *Balancer) { report(b, failed, 5) }, 0, 0},
		"rejections are not failures": {8, func(b *Balancer) { report(b, scheduler.EndpointResult{Refused: true}, 50) }, 200, 300},
		"one trial after ejection":    {8, func(b *Balancer) { report(b, failed, 5); time.Sleep(initialEjection) }, 1, 1},
		"failed trial ejects again": {8, func(b *Balancer) {
			report(b, failed, 5)
			time.Sleep(initialEjection)
			report(b, failed, 1)
		}, 0, 0},
		"second ejection is longer": {8, func(b *Balancer) {
			report(b, failed, 5)
			time.Sleep(initialEjection)
			report(b, failed, 1)
			time.Sleep(initialEjection)
		}, 0, 0},
		"slow start": {8, func(b *Balancer) {
			report(b, failed, 5)
			time.Sleep(initialEjection + 100*time.Millisecond)
			report(b, succeeded, 1)
		}, 30, 120},
		"after slow start": {8, func(b *Balancer) {
			report(b, failed, 5)
			time.Sleep(initialEjection + slowStartWindow)
			report(b, succeeded, 1)
		}, 200, 300},
		"slow": {8, func(b *Balancer) {
			others(b)
			report(b, scheduler.EndpointResult{Latency: time.Second}, minLatencySamples)
		}, 0, 0},
		"slow with few samples": {8, func(b *Balancer) {
			others(b)
			report(b, scheduler.EndpointResult{Latency: time.Second}, 5)
		}, 200, 300},
		"failed probe": {8, func(b *Balancer) { b.Eject("desk-0") }, 0, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				free, candidates := fakeSlotSource{}, []scheduler.Announcement(nil)
				for index := range 4 {
					endpoint := scheduler.EndpointName(fmt.Sprintf("desk-%d", index))
					free[endpoint] = 8
					candidates = append(candidates, scheduler.Announcement{Endpoint: endpoint, Slots: 8, Incarnation: 1})
				}
				free["desk-0"] = test.free
				balancer := New(free, WithRandom(rand.New(rand.NewPCG(1, 2)).IntN))
				_, _, _ = balancer.Choose(candidates)
				test.steps(balancer)
				clear(balancer.lastCheck)
				// A check of another service must not delay the check of this service.
				_, _, _ = balancer.Choose([]scheduler.Announcement{{Endpoint: "other", Service: "pairing"}})
				got := 0
				for range 1000 {
					if chosen, _, _ := balancer.Choose(candidates); chosen.Endpoint == "desk-0" {
						got++
					}
				}
				if got < test.low || got > test.high {
					t.Errorf("choices of desk-0: got %d, want %d to %d", got, test.low, test.high)
				}
			})
		})
	}
}

// TestEjectSlowLimit guards against an outage of a service because all of its endpoints are ejected as slow.
func TestEjectSlowLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		balancer := New(fakeSlotSource{})
		var candidates []scheduler.Announcement
		for index := range 10 {
			endpoint := scheduler.EndpointName(fmt.Sprintf("desk-%d", index))
			candidates = append(candidates, scheduler.Announcement{Endpoint: endpoint, Slots: 8})
			latency := time.Millisecond
			if index >= 6 {
				latency = time.Second
			}
			if index >= 3 && index < 5 {
				balancer.Eject(endpoint)
			}
			for range minLatencySamples {
				balancer.Report(endpoint, scheduler.EndpointResult{Latency: latency})
			}
		}
		_, _, _ = balancer.Choose(candidates)
		got := 0
		for _, candidate := range candidates {
			if balancer.Ejected(candidate.Endpoint) {
				got++
			}
		}
		if want := 5; got != want {
			t.Errorf("ejected: got %d of 10, want %d", got, want)
		}
	})
}

// BenchmarkChoose measures a choice among endpoints that all have free slots and among endpoints that have none. The
// latter is the cost of each attempt of a waiting request.
func BenchmarkChoose(b *testing.B) {
	for name, free := range map[string]int{"free": 8, "full": 0} {
		for _, size := range []int{50, 386, 2700} {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				fakeSlotSource, candidates := fakeSlotSource{}, []scheduler.Announcement(nil)
				for index := range size {
					endpoint := scheduler.EndpointName(fmt.Sprintf("desk-%d", index))
					fakeSlotSource[endpoint] = free
					candidates = append(candidates, scheduler.Announcement{Endpoint: endpoint, Slots: 8, Incarnation: 1})
				}
				balancer := New(fakeSlotSource)
				for b.Loop() {
					_, _, _ = balancer.Choose(candidates)
				}
			})
		}
	}
}
