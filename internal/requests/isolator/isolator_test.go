package isolator

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// directory is a fake of the last announcements.
type directory map[scheduler.EndpointName]scheduler.ReceivedAnnouncement

func (directory directory) last(endpoint scheduler.EndpointName) (scheduler.ReceivedAnnouncement, bool) {
	announcement, ok := directory[endpoint]
	return announcement, ok
}

// announce records an announcement that arrives now.
func (directory directory) announce(endpoint scheduler.EndpointName, incarnation scheduler.Incarnation, leaving bool) {
	directory[endpoint] = scheduler.ReceivedAnnouncement{
		Announcement: scheduler.Announcement{Endpoint: endpoint, Incarnation: incarnation, Leaving: leaving},
		Received:     time.Now(),
	}
}

func name(text string) func() Fingerprint {
	var fingerprint Fingerprint
	copy(fingerprint[:], text)
	return func() Fingerprint { return fingerprint }
}

// TestEvidence guards against closed connections that count as crashes although the endpoint goes on or leaves, and
// against crashes that don't count because the endpoint came back at once.
func TestEvidence(t *testing.T) {
	tests := map[string]struct {
		refused bool
		after   func(directory directory)
		want    int
	}{
		"refuses connections":    {true, func(directory) {}, 1},
		"only closed":            {false, func(directory) { time.Sleep(time.Minute) }, 0},
		"comes back":             {false, func(directory directory) { time.Sleep(time.Second); directory.announce("desk", 2, false) }, 1},
		"comes back much later":  {false, func(directory directory) { time.Sleep(time.Minute); directory.announce("desk", 2, false) }, 0},
		"goes on":                {false, func(directory directory) { time.Sleep(2 * time.Second); directory.announce("desk", 1, false) }, 0},
		"announced just before":  {false, func(directory directory) { directory.announce("desk", 1, false) }, 0},
		"leaves":                 {false, func(directory directory) { directory.announce("desk", 1, true) }, 0},
		"remembered":             {true, func(directory) { time.Sleep(memoryTime) }, 1},
		"forgotten after a time": {true, func(directory) { time.Sleep(memoryTime + time.Second) }, 0},
	}
	for testName, test := range tests {
		t.Run(testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := directory{}
				isolator := New(directory.last)
				directory.announce("desk", 1, false)
				run := isolator.Start(directory["desk"].Announcement, name("a"), false)
				run.Broken(test.refused)
				test.after(directory)
				if got := isolator.Crashes(name("a")); got != test.want {
					t.Errorf("crashes: got %d, want %d", got, test.want)
				}
			})
		})
	}
}

// TestLeavingEndpoint guards against blame for the planned stop of an endpoint.
func TestLeavingEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := directory{}
		isolator := New(directory.last)
		directory.announce("desk", 1, false)
		run := isolator.Start(directory["desk"].Announcement, name("a"), false)
		directory.announce("desk", 1, true)
		run.Broken(true)
		if got, want := isolator.Crashes(name("a")), 0; got != want {
			t.Errorf("crashes: got %d, want %d", got, want)
		}
	})
}

// TestClosedListener guards against blame for an endpoint that closes its listener, finishes its requests and restarts.
func TestClosedListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := directory{}
		isolator := New(directory.last)
		directory.announce("desk", 1, false)
		isolator.Start(directory["desk"].Announcement, name("a"), false)
		isolator.Start(directory["desk"].Announcement, name("b"), false).Refused()
		time.Sleep(2 * time.Second)
		directory.announce("desk", 2, false)
		if got, want := isolator.Crashes(name("a")), 0; got != want {
			t.Errorf("crashes: got %d, want %d", got, want)
		}
	})
}

// TestBlame guards against blame for requests that a crash can hardly have been caused by. The letters of a case are
// requests that begin 10 s before the crash (old), or just before it (new).
func TestBlame(t *testing.T) {
	type running struct {
		request      string
		old, suspect bool
	}
	tests := map[string]struct {
		running  []running
		answered string
		want     string
	}{
		"new before old":             {[]running{{"a", true, false}, {"b", false, false}, {"c", false, false}}, "", "bc"},
		"new suspect before new":     {[]running{{"a", true, true}, {"b", false, true}, {"c", false, false}}, "", "b"},
		"new before old suspect":     {[]running{{"a", true, true}, {"b", false, false}}, "", "b"},
		"old suspect before old":     {[]running{{"a", true, true}, {"b", true, false}}, "", "a"},
		"all old":                    {[]running{{"a", true, false}, {"b", true, false}}, "", "ab"},
		"not what was answered":      {[]running{{"a", true, false}, {"b", false, false}}, "b", "a"},
		"same content counts once":   {[]running{{"a", false, false}, {"a", false, false}}, "", "a"},
		"an answer clears the blame": {[]running{{"a", false, false}, {"b", false, false}}, "", "ab"},
	}
	for testName, test := range tests {
		t.Run(testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := directory{}
				isolator := New(directory.last)
				directory.announce("desk", 1, false)
				runs := map[string]*Run{}
				start := func(old bool) {
					for _, item := range test.running {
						if item.old == old {
							runs[item.request] = isolator.Start(directory["desk"].Announcement, name(item.request), item.suspect)
						}
					}
				}
				start(true)
				time.Sleep(10 * time.Second)
				start(false)
				for request, run := range runs {
					if request == test.answered {
						run.Answered()
					}
				}
				for request, run := range runs {
					if request != test.answered {
						run.Broken(true)
					}
				}
				got := ""
				for _, request := range []string{"a", "b", "c"} {
					if crashes := isolator.Crashes(name(request)); crashes == 1 {
						got += request
					} else if crashes > 1 {
						t.Errorf("crashes of %s: got %d, want at most 1", request, crashes)
					}
				}
				if got != test.want {
					t.Errorf("blamed: got %q, want %q", got, test.want)
				}
				isolator.Start(scheduler.Announcement{Endpoint: "desk-2"}, name("a"), true).Answered()
				if got, want := isolator.Crashes(name("a")), 0; got != want {
					t.Errorf("crashes after an answer: got %d, want %d", got, want)
				}
			})
		})
	}
}

// TestIsolation guards against suspects that run beside each other, and against a service that stops because of them.
func TestIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isolator := New(directory{}.last)
		endpoints := []scheduler.Announcement{{Endpoint: "desk-1"}, {Endpoint: "desk-2"}, {Endpoint: "desk-3"}}
		check := func(when string, suspect bool, want ...scheduler.EndpointName) {
			t.Helper()
			var got []scheduler.EndpointName
			for _, endpoint := range isolator.Candidates(endpoints, suspect) {
				got = append(got, endpoint.Endpoint)
			}
			if !slices.Equal(got, want) {
				t.Errorf("%s: got %v, want %v", when, got, want)
			}
		}
		first := isolator.Start(endpoints[0], name("a"), true)
		check("beside a new suspect", false, "desk-2", "desk-3")
		time.Sleep(2 * freshTime)
		check("beside an older suspect", false, "desk-1", "desk-2", "desk-3")
		check("suspect beside an older suspect", true, "desk-2", "desk-3")
		isolator.Start(endpoints[1], name("b"), true)
		first.Broken(true)
		check("after a crash", false, "desk-3")
		isolator.Start(endpoints[2], name("c"), false).Refused()
		check("no endpoint left", true, "desk-1", "desk-2", "desk-3")
	})
}

// TestTurn guards against suspects that take all endpoints of a service or wait for ever.
func TestTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		isolator := New(directory{}.last)
		turn := func(content Fingerprint, limit time.Duration) (func(), bool) {
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			return isolator.Turn(ctx, "sizing", content, func() int { return 4 })
		}
		end, _ := turn(name("a")(), time.Second)
		if _, ok := turn(name("a")(), time.Second); ok {
			t.Error("second suspect with the same content: got a turn")
		}
		if _, ok := turn(name("b")(), time.Second); !ok {
			t.Error("second suspect of four endpoints: got no turn")
		}
		if _, ok := turn(name("c")(), time.Second); ok {
			t.Error("third suspect of four endpoints: got a turn")
		}
		time.AfterFunc(time.Second, end)
		if _, ok := turn(name("a")(), 1500*time.Millisecond); !ok {
			t.Error("after the end of a turn: got no turn")
		}
		if _, ok := turn(name("d")(), turnTime); !ok {
			t.Error("after the time of a turn: got no turn")
		}
	})
}

// TestBoundedRecords guards against records that use up the memory.
func TestBoundedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := directory{}
		isolator := New(directory.last)
		for number := range maxRecords + 10 {
			endpoint := scheduler.Announcement{Endpoint: scheduler.EndpointName(fmt.Sprint(number % 10)), Incarnation: scheduler.Incarnation(number)}
			isolator.Start(endpoint, name(fmt.Sprint(number)), false).Broken(true)
			time.Sleep(20 * time.Millisecond)
		}
		if got, want := len(isolator.records), maxRecords; got != want {
			t.Errorf("records: got %d, want %d", got, want)
		}
		if got, want := isolator.Crashes(name("0")), 0; got != want {
			t.Errorf("crashes of the oldest request: got %d, want %d", got, want)
		}
		time.Sleep(2 * confirmationTime)
		isolator.Crashes(name("0"))
		if got, want := len(isolator.crashes)+len(isolator.running), 0; got != want {
			t.Errorf("crashes and runs that are kept: got %d, want %d", got, want)
		}
	})
}
