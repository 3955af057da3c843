package isolator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fakeNetwork delivers messages at once, except to and from VMs that are cut off.
type fakeNetwork struct {
	handlers map[scheduler.VMName]scheduler.MessageHandler
	cutOff   map[scheduler.VMName]bool
}

type fakeTransport struct {
	scheduler.Transport
	network *fakeNetwork
	self    scheduler.VMName
}

func (fakeTransport fakeTransport) Self() scheduler.VMName { return fakeTransport.self }

func (fakeTransport fakeTransport) Handle(
	_ scheduler.GroupName, _ scheduler.MessageKind, handler scheduler.MessageHandler,
) {
	fakeTransport.network.handlers[fakeTransport.self] = handler
}

func (fakeTransport fakeTransport) Send(
	to scheduler.VMName, _ scheduler.GroupName, _ scheduler.MessageKind, body []byte,
) {
	if !fakeTransport.network.cutOff[to] && !fakeTransport.network.cutOff[fakeTransport.self] {
		_, _ = fakeTransport.network.handlers[to](context.Background(), fakeTransport.self, body)
	}
}

// TestSharing guards against a request that crashes two endpoints for each gateway, and against messages that block
// other requests.
func TestSharing(t *testing.T) {
	tests := map[string]struct {
		cutOff   scheduler.VMName
		between  func(second *Isolator, directory directory)
		crashes  int
		atSecond int
	}{
		"connected":                 {"", nil, 2, 2},
		"once each":                 {"", nil, 1, 1},
		"cut off":                   {"couva-2", nil, 2, 0},
		"answered at the second":    {"", answerOnce, 1, 0},
		"forgotten after some time": {"", func(*Isolator, directory) { time.Sleep(memoryTime + time.Second) }, 1, 0},
		"malformed message":         {"", sendMalformed, 0, 0},
		"crash at the second":       {"", crashOnce, 1, 2},
	}
	for testName, test := range tests {
		t.Run(testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := directory{}
				network := &fakeNetwork{map[scheduler.VMName]scheduler.MessageHandler{}, map[scheduler.VMName]bool{test.cutOff: true}}
				gateways := func() []scheduler.Gateway { return []scheduler.Gateway{{VM: "couva-1"}, {VM: "couva-2"}} }
				first := New(directory.last, WithSharing(fakeTransport{network: network, self: "couva-1"}, gateways))
				second := New(directory.last, WithSharing(fakeTransport{network: network, self: "couva-2"}, gateways))
				for range test.crashes {
					crashOnce(first, directory)
				}
				if test.between != nil {
					test.between(second, directory)
				}
				if got := second.Crashes(name("a")); got != test.atSecond {
					t.Errorf("crashes at the second gateway: got %d, want %d", got, test.atSecond)
				}
			})
		})
	}
}

func crashOnce(isolator *Isolator, directory directory) {
	incarnation := directory["desk"].Incarnation + 1
	directory.announce("desk", incarnation, false)
	isolator.Start(directory["desk"].Announcement, name("a"), false).Broken(true)
}

func answerOnce(isolator *Isolator, directory directory) {
	isolator.Start(directory["desk"].Announcement, name("a"), true).Answered()
}

func sendMalformed(isolator *Isolator, _ directory) {
	for _, body := range []string{"", "x", "\xa2afx", "\xa2af\x41xac\x01", "\xa2af\x41xac\x20"} {
		_, _ = isolator.handleBlame(context.Background(), "couva-1", []byte(body))
	}
}
