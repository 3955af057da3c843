package limiter

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestWait guards against callers that crowd out others, priorities that are ignored, queues without bound
// and requests that wait in vain. Asks join in order while no slot is free; then one slot per 100 ms
// becomes free.
func TestWait(t *testing.T) {
	type ask struct {
		caller   string
		priority Priority
		deadline time.Duration
	}
	normal := func(callers string) []ask {
		var made []ask
		for _, caller := range callers {
			made = append(made, ask{string(caller), PriorityNormal, time.Minute})
		}
		return made
	}
	cases := map[string]struct {
		asks []ask
		want string
		full int
		late int
	}{
		"callers take turns":     {normal("aaabbc"), "abcaba", 0, 0},
		"higher priority first":  {[]ask{{"a", PriorityLow, time.Minute}, {"b", PriorityNormal, time.Minute}, {"c", PriorityHigh, time.Minute}}, "cba", 0, 0},
		"bounded per caller":     {normal("aaaaaab"), "abaaa", 2, 0},
		"bounded":                {normal("abcdefghijk"), "abcdefgh", 3, 0},
		"deadline in the queue":  {[]ask{{"a", PriorityNormal, time.Minute}, {"b", PriorityNormal, 150 * time.Millisecond}, {"c", PriorityNormal, time.Minute}}, "ac", 0, 1},
		"too late to be of use":  {[]ask{{"a", PriorityNormal, time.Minute}, {"b", PriorityNormal, 240 * time.Millisecond}, {"c", PriorityNormal, time.Minute}}, "ac", 0, 1},
		"priority out of bounds": {[]ask{{"a", -5, time.Minute}, {"b", 99, time.Minute}}, "ba", 0, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limiter := New(WithQueueLimits(8, 4))
				var mutex sync.Mutex
				var order []string
				free, full, late := 0, 0, 0
				var asks sync.WaitGroup
				for _, ask := range test.asks {
					asks.Go(func() {
						ctx, cancel := context.WithTimeout(t.Context(), ask.deadline)
						defer cancel()
						try := func() bool {
							if free == 0 {
								return false
							}
							free--
							order = append(order, ask.caller)
							return true
						}
						retryAfter, err := limiter.Wait(ctx, Request{Service: "sizing", Caller: ask.caller, Priority: ask.priority, TryAcquire: try})
						mutex.Lock()
						defer mutex.Unlock()
						switch {
						case err != nil && retryAfter < time.Second:
							t.Errorf("retry after: got %v, want at least 1 s", retryAfter)
						case ErrQueueFull.Has(err):
							full++
						case ErrDeadline.Has(err):
							late++
						}
					})
					synctest.Wait()
				}
				for range 200 {
					limiter.Observe("sizing", 80*time.Millisecond)
				}
				for range 12 {
					time.Sleep(100 * time.Millisecond)
					limiter.mutex.Lock()
					free = 1
					limiter.mutex.Unlock()
					limiter.Wake(1)
				}
				asks.Wait()
				if got := strings.Join(order, ""); got != test.want {
					t.Errorf("order: got %s, want %s", got, test.want)
				}
				if got, want := fmt.Sprint(full, late), fmt.Sprint(test.full, test.late); got != want {
					t.Errorf("refused as full and late: got %s, want %s", got, want)
				}
				found := limiter.queues["sizing"]
				if got := found.waiting + len(found.waitingByCaller) + found.roundRobin[PriorityNormal].Len() + len(found.callerQueues[PriorityNormal]); got != 0 {
					t.Errorf("left in the queue: got %d, want 0", got)
				}
			})
		})
	}
}

// TestShed guards against requests that join although they cannot be served in time, and against an
// estimate from the time before the overload.
func TestShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := New()
		try := func() bool { return true }
		for range 3 {
			time.Sleep(10 * time.Second)
			_, _ = limiter.Wait(t.Context(), Request{Service: "sizing", TryAcquire: try})
		}
		var admitted, refused []time.Duration
		var asks sync.WaitGroup
		free := false
		for number := range 60 {
			asks.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 990*time.Millisecond)
				defer cancel()
				started := time.Now()
				_, err := limiter.Wait(ctx, Request{Service: "sizing", Caller: fmt.Sprint(number), TryAcquire: func() bool { was := free; free = false; return was }})
				limiter.mutex.Lock()
				defer limiter.mutex.Unlock()
				if err == nil {
					admitted = append(admitted, time.Since(started))
				} else {
					refused = append(refused, time.Since(started))
				}
			})
			time.Sleep(25 * time.Millisecond)
			if number%4 == 3 {
				limiter.mutex.Lock()
				free = true
				limiter.mutex.Unlock()
				limiter.Wake(1)
			}
		}
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			limiter.mutex.Lock()
			free = true
			limiter.mutex.Unlock()
			limiter.Wake(1)
		}
		asks.Wait()
		slices.Sort(refused)
		// 15 slots become free while requests arrive; one request may wait within a tenth of 1 s.
		if got, want := len(admitted), 16; got != want {
			t.Errorf("admitted: got %d, want %d", got, want)
		}
		if got, want := refused[len(refused)/2], time.Duration(0); got != want {
			t.Errorf("median time to a refusal: got %v, want %v", got, want)
		}
	})
}

// TestAhead guards against an estimate that makes a caller with one request wait behind, or be refused for,
// the long line of another.
func TestAhead(t *testing.T) {
	queue := newQueue()
	for _, caller := range strings.Split("aaaaabbc", "") {
		queue.push(&waiter{}, caller, PriorityNormal, time.Now())
	}
	queue.push(&waiter{}, "a", PriorityHigh, time.Now())
	cases := map[string]struct {
		caller   string
		priority Priority
		want     int
	}{
		"long line":       {"a", PriorityNormal, 9},
		"short line":      {"c", PriorityNormal, 6},
		"newcomer":        {"d", PriorityNormal, 4},
		"higher priority": {"d", PriorityHigh, 1},
		"lower priority":  {"d", PriorityLow, 9},
	}
	for name, test := range cases {
		if got := queue.countAhead(test.caller, test.priority); got != test.want {
			t.Errorf("%s: got %d, want %d", name, got, test.want)
		}
	}
}
