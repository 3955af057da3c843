package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// shares is a fake of scheduler.ShareSource with a number of free slots per endpoint.
type shares map[scheduler.EndpointName]int

type slot struct{}

func (slot) Valid() bool { return true }
func (slot) Release()    {}
func (slot) Abandon()    {}

func (shares shares) Free(endpoint scheduler.EndpointName) int { return shares[endpoint] }

func (shares shares) Acquire(endpoint scheduler.EndpointName) (scheduler.Slot, bool) {
	return slot{}, shares[endpoint] > 0
}

func (shares shares) AcquireConnection(scheduler.EndpointName) (scheduler.Slot, bool) {
	return slot{}, true
}

// TestChoose guards against requests to endpoints that have no slot, fail, are slow or have just come back.
// The table's steps run first; then the share of 1,000 choices that desk-0 of four endpoints gets is checked.
func TestChoose(t *testing.T) {
	failed, fine := scheduler.EndpointResult{Failed: true}, scheduler.EndpointResult{Latency: 10 * time.Millisecond}
	report := func(balancer *Balancer, result scheduler.EndpointResult, times int) {
		for range times {
			balancer.Report("desk-0", result)
		}
	}
	others := func(balancer *Balancer) {
		for range slowSamples {
			for number := 1; number < 4; number++ {
				balancer.Report(scheduler.EndpointName(fmt.Sprintf("desk-%d", number)), fine)
			}
		}
	}
	cases := map[string]struct {
		free      int
		steps     func(balancer *Balancer)
		low, high int
	}{
		"even":                      {8, func(*Balancer) {}, 200, 300},
		"no free slot":              {0, func(*Balancer) {}, 0, 0},
		"loaded":                    {2, func(*Balancer) {}, 40, 90},
		"some failures":             {8, func(b *Balancer) { report(b, failed, 4); report(b, fine, 1); report(b, failed, 4) }, 200, 300},
		"ejected for failures":      {8, func(b *Balancer) { report(b, failed, 5) }, 0, 0},
		"refusals are not failures": {8, func(b *Balancer) { report(b, scheduler.EndpointResult{Refused: true}, 50) }, 200, 300},
		"one trial after ejection":  {8, func(b *Balancer) { report(b, failed, 5); time.Sleep(firstEjection) }, 1, 1},
		"ejected again after trial": {8, func(b *Balancer) { report(b, failed, 5); time.Sleep(firstEjection); report(b, failed, 1) }, 0, 0},
		"longer at the second time": {8, func(b *Balancer) {
			report(b, failed, 5)
			time.Sleep(firstEjection)
			report(b, failed, 1)
			time.Sleep(firstEjection)
		}, 0, 0},
		"slow start": {8, func(b *Balancer) {
			report(b, failed, 5)
			time.Sleep(firstEjection + 100*time.Millisecond)
			report(b, fine, 1)
		}, 30, 120},
		"after the slow start":  {8, func(b *Balancer) { report(b, failed, 5); time.Sleep(firstEjection + slowStart); report(b, fine, 1) }, 200, 300},
		"slow":                  {8, func(b *Balancer) { others(b); report(b, scheduler.EndpointResult{Latency: time.Second}, slowSamples) }, 0, 0},
		"slow with few samples": {8, func(b *Balancer) { others(b); report(b, scheduler.EndpointResult{Latency: time.Second}, 5) }, 200, 300},
		"failed probe":          {8, func(b *Balancer) { b.Eject("desk-0") }, 0, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				free, candidates := shares{}, []scheduler.Announcement(nil)
				for number := range 4 {
					endpoint := scheduler.EndpointName(fmt.Sprintf("desk-%d", number))
					free[endpoint] = 8
					candidates = append(candidates, scheduler.Announcement{Endpoint: endpoint, Slots: 8, Incarnation: 1})
				}
				free["desk-0"] = test.free
				balancer := New(free, WithRandom(rand.New(rand.NewPCG(1, 2)).IntN))
				_, _, _ = balancer.Choose(candidates)
				test.steps(balancer)
				clear(balancer.checked)
				// Another service's check must not stand for this one's.
				_, _, _ = balancer.Choose([]scheduler.Announcement{{Endpoint: "other", Service: "pairing"}})
				got := 0
				for range 1000 {
					if chosen, _, _ := balancer.Choose(candidates); chosen.Endpoint == "desk-0" {
						got++
					}
				}
				if got < test.low || got > test.high {
					t.Errorf("requests to desk-0: got %d, want %d to %d", got, test.low, test.high)
				}
			})
		})
	}
}

// TestEjectSlowLimit guards against a service that stops because all of its endpoints are ejected.
func TestEjectSlowLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		balancer := New(shares{})
		var candidates []scheduler.Announcement
		for number := range 10 {
			endpoint := scheduler.EndpointName(fmt.Sprintf("desk-%d", number))
			candidates = append(candidates, scheduler.Announcement{Endpoint: endpoint, Slots: 8})
			latency := time.Millisecond
			if number >= 6 {
				latency = time.Second
			}
			if number >= 3 && number < 5 {
				balancer.Eject(endpoint)
			}
			for range slowSamples {
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

// BenchmarkChoose measures a choice among endpoints that all have free slots, and among endpoints that have
// none, which is what a waiting request costs each time that it tries.
func BenchmarkChoose(b *testing.B) {
	for name, free := range map[string]int{"free": 8, "full": 0} {
		for _, size := range []int{50, 386, 2700} {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				shares, candidates := shares{}, []scheduler.Announcement(nil)
				for number := range size {
					endpoint := scheduler.EndpointName(fmt.Sprintf("desk-%d", number))
					shares[endpoint] = free
					candidates = append(candidates, scheduler.Announcement{Endpoint: endpoint, Slots: 8, Incarnation: 1})
				}
				balancer := New(shares)
				for b.Loop() {
					_, _, _ = balancer.Choose(candidates)
				}
			})
		}
	}
}
