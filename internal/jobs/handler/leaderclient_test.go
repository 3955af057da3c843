package handler

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fakeNetwork is a Network with one preset response function per VM.
type fakeNetwork struct {
	responses map[scheduler.VMName]func() (Response, error)
	down      map[scheduler.VMName]bool
	called    []scheduler.VMName
	added     []scheduler.VMName
	mutex     sync.Mutex
}

// setResponse replaces the response function of a VM while requests are in progress.
func (network *fakeNetwork) setResponse(vm scheduler.VMName, response func() (Response, error)) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.responses[vm] = response
}

func (network *fakeNetwork) Self() scheduler.VMName { return "entry" }
func (network *fakeNetwork) Send(scheduler.VMName, scheduler.GroupName, scheduler.MessageKind, []byte) {
}

func (network *fakeNetwork) Handle(scheduler.GroupName, scheduler.MessageKind, scheduler.MessageHandler) {
}

func (network *fakeNetwork) AddPeer(name scheduler.VMName, _ string) {
	network.added = append(network.added, name)
}

func (network *fakeNetwork) Connected(name scheduler.VMName) bool { return !network.down[name] }

func (network *fakeNetwork) Call(
	_ context.Context, to scheduler.VMName, _ scheduler.GroupName, _ scheduler.MessageKind, _ []byte,
) ([]byte, error) {
	network.mutex.Lock()
	network.called = append(network.called, to)
	respond := network.responses[to]
	network.mutex.Unlock()
	response, err := respond()
	if err != nil {
		return nil, err
	}
	return encoder.Marshal(response)
}

func respondWith(response Response) func() (Response, error) {
	return func() (Response, error) { return response, nil }
}

func failWith(err error) func() (Response, error) {
	return func() (Response, error) { return Response{}, err }
}

// Guards against three faults: a request that may have run is reported as having had no effect, a request runs on two
// VMs, and the leader is not found although it is reachable.
func TestDo(t *testing.T) {
	done, notLeader := respondWith(Response{Status: StatusDone}), respondWith(Response{Status: StatusNotLeader})
	tests := map[string]struct {
		responses map[scheduler.VMName]func() (Response, error)
		down      map[scheduler.VMName]bool
		want      Status
		called    int
	}{
		"first VM is leader": {
			map[scheduler.VMName]func() (Response, error){"a": done, "b": done},
			nil, StatusDone, 1,
		},
		"first VM names the leader": {
			map[scheduler.VMName]func() (Response, error){
				"a": respondWith(Response{Status: StatusNotLeader, Leader: "b"}),
				"b": done,
			},
			nil, StatusDone, 2,
		},
		"leader is not a seed": {
			map[scheduler.VMName]func() (Response, error){
				"a": respondWith(Response{Status: StatusNotLeader, Leader: "z"}),
				"z": done,
			},
			nil, StatusDone, 2,
		},
		"no leader": {
			map[scheduler.VMName]func() (Response, error){"a": notLeader, "b": notLeader},
			nil, StatusUnavailable, 2,
		},
		"no VM connected": {nil, map[scheduler.VMName]bool{"a": true, "b": true}, StatusUnavailable, 0},
		"request not sent": {
			map[scheduler.VMName]func() (Response, error){"a": failWith(scheduler.ErrNotRun.New("x")), "b": done},
			nil, StatusDone, 2,
		},
		"response lost": {
			map[scheduler.VMName]func() (Response, error){"a": failWith(scheduler.ErrOutcomeUnknown.New("x")), "b": done},
			nil, StatusDone, 2,
		},
		"two VMs name each other": {
			map[scheduler.VMName]func() (Response, error){
				"a": respondWith(Response{Status: StatusNotLeader, Leader: "b"}),
				"b": respondWith(Response{Status: StatusNotLeader, Leader: "a"}),
			},
			nil, StatusUnavailable, 2,
		},
		"refusal is not retried": {
			map[scheduler.VMName]func() (Response, error){"a": respondWith(Response{Status: StatusRefused}), "b": done},
			nil, StatusRefused, 1,
		},
		"outcome unknown": {
			map[scheduler.VMName]func() (Response, error){
				"a": respondWith(Response{Status: StatusOutcomeUnknown}),
				"b": done,
			},
			nil, StatusDone, 2,
		},
		"only the second VM is connected": {
			map[scheduler.VMName]func() (Response, error){"b": done},
			map[scheduler.VMName]bool{"a": true},
			StatusDone, 1,
		},
		"response cannot be read": {
			map[scheduler.VMName]func() (Response, error){"a": done, "b": done},
			nil, StatusDone, 1,
		},
		"queue unknown": {
			map[scheduler.VMName]func() (Response, error){"a": respondWith(Response{Status: StatusNoQueue})},
			nil, StatusNoQueue, 1,
		},
		"leadership lost during the request": {
			map[scheduler.VMName]func() (Response, error){"a": respondWith(Response{Status: StatusUnavailable}), "b": done},
			nil, StatusUnavailable, 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			network := &fakeNetwork{responses: test.responses, down: test.down}
			leaderClient := NewLeaderClient(network, "domain", []scheduler.VMName{"a", "b"}, nil, tally.NoopScope, zerolog.Nop())
			response := leaderClient.Do(t.Context(), &Request{ReadConfiguration: &ReadConfigurationRequest{}})
			if response.Status != test.want || len(network.called) != test.called {
				t.Errorf("got %s after %v, want %s after %d", response.Status, network.called, test.want, test.called)
			}
		})
	}
}

// Guards against a change being reported as having had no effect while its first attempt may still take effect. Also
// guards against an unknown outcome after a change of the leader although the new leader knows the outcome.
func TestDoRetriesUnknownOutcome(t *testing.T) {
	submit, cancel := &Request{Submit: &SubmitRequest{}}, &Request{Cancel: &JobRequest{}}
	state := &Request{JobState: &JobRequest{}}
	tests := map[string]struct {
		request *Request
		second  Status
		want    Status
	}{
		"submission, stored by the second VM":        {submit, StatusDone, StatusDone},
		"submission, refused by the second VM":       {submit, StatusRefused, StatusOutcomeUnknown},
		"submission, no leader afterwards":           {submit, StatusUnavailable, StatusOutcomeUnknown},
		"submission, queue removed in between":       {submit, StatusNoQueue, StatusOutcomeUnknown},
		"submission, invalid":                        {submit, StatusInvalid, StatusInvalid},
		"cancellation, done by the second VM":        {cancel, StatusDone, StatusDone},
		"cancellation, job unknown to the second VM": {cancel, StatusNoJob, StatusOutcomeUnknown},
		"query, answered by the second VM":           {state, StatusNoJob, StatusNoJob},
		"query, no leader afterwards":                {state, StatusUnavailable, StatusUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &fakeNetwork{responses: map[scheduler.VMName]func() (Response, error){
					"a": failWith(scheduler.ErrOutcomeUnknown.New("cut off")), "b": respondWith(Response{Status: test.second}),
				}}
				leaderClient := NewLeaderClient(
					network, "domain", []scheduler.VMName{"a", "b"}, nil, tally.NoopScope, zerolog.Nop())
				const deadline = 3 * time.Second
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				start := time.Now()
				if got := leaderClient.Do(ctx, test.request).Status; got != test.want {
					t.Errorf("got %s, want %s", got, test.want)
				}
				if elapsed := time.Since(start); test.want != StatusOutcomeUnknown && elapsed > 2*retryDelay {
					t.Errorf("got the response after %v, want it within two retry delays", elapsed)
				}
			})
		})
	}
}

// Guards against requests that are still sent to a partitioned former leader first after another VM has become leader.
func TestSilentLeaderIsAskedLast(t *testing.T) {
	network := &fakeNetwork{responses: map[scheduler.VMName]func() (Response, error){
		"a": failWith(scheduler.ErrOutcomeUnknown.New("cut off")), "b": respondWith(Response{Status: StatusDone}),
	}}
	leaderClient := NewLeaderClient(network, "domain", []scheduler.VMName{"a", "b"}, nil, tally.NoopScope, zerolog.Nop())
	if got := leaderClient.Do(t.Context(), &Request{ReadConfiguration: &ReadConfigurationRequest{}}).Status; got != StatusDone {
		t.Errorf("got %s, want %s", got, StatusDone)
	}
	network.called = nil
	if got := leaderClient.Do(t.Context(), &Request{ReadConfiguration: &ReadConfigurationRequest{}}).Status; got != StatusDone ||
		len(network.called) != 1 {
		t.Errorf("got %s after %v, want %s after one call", got, network.called, StatusDone)
	}
}

// Guards against an entry VM that accepts requests although the leader does not respond.
func TestReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		responses := map[scheduler.VMName]func() (Response, error){
			"a": respondWith(Response{Status: StatusDone, Version: 7, Members: []scheduler.VMName{"a", "n"}}),
		}
		network := &fakeNetwork{responses: responses}
		leaderClient := NewLeaderClient(network, "domain", []scheduler.VMName{"a"}, nil, tally.NoopScope, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go leaderClient.Run(ctx)
		time.Sleep(time.Second)
		if _, version := leaderClient.Limits(); !leaderClient.Reachable() || version != 7 || len(network.added) != 1 {
			t.Errorf("got reachable %v, version %d, added %v, want true, 7 and one peer",
				leaderClient.Reachable(), version, network.added)
		}
		network.setResponse("a", failWith(scheduler.ErrOutcomeUnknown.New("cut off")))
		network.setResponse("n", failWith(scheduler.ErrOutcomeUnknown.New("cut off")))
		time.Sleep(reachabilityTimeout + time.Second)
		if leaderClient.Reachable() {
			t.Error("got reachable without a response, want false")
		}
	})
}

// Guards against a leader that spends its processor time on the heartbeats of a large fleet.
func TestHeartbeatTargets(t *testing.T) {
	tests := map[string]struct {
		members []scheduler.VMName
		down    map[scheduler.VMName]bool
		want    map[scheduler.VMName]bool
	}{
		"leader and others":    {[]scheduler.VMName{"a", "b", "c"}, nil, map[scheduler.VMName]bool{"b": true, "c": true}},
		"others are down":      {[]scheduler.VMName{"a", "b"}, map[scheduler.VMName]bool{"b": true}, map[scheduler.VMName]bool{"a": true}},
		"no other VM":          {[]scheduler.VMName{"a"}, nil, map[scheduler.VMName]bool{"a": true}},
		"no VM can be reached": {[]scheduler.VMName{"a"}, map[scheduler.VMName]bool{"a": true}, map[scheduler.VMName]bool{"": true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			leaderClient := NewLeaderClient(
				&fakeNetwork{down: test.down}, "domain", test.members, nil, tally.NoopScope, zerolog.Nop())
			leaderClient.leader = "a"
			got := map[scheduler.VMName]bool{}
			for number := range 100 {
				got[leaderClient.heartbeatTarget(scheduler.WorkerName(fmt.Sprint("w", number)))] = true
			}
			if !maps.Equal(got, test.want) {
				t.Errorf("got targets %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a client that asks the same VMs again and again although they are out of their group.
func TestLeaderIsFoundBehindVMsOutOfTheirGroup(t *testing.T) {
	out := respondWith(Response{Status: StatusNotLeader})
	network := &fakeNetwork{responses: map[scheduler.VMName]func() (Response, error){
		"a": out, "b": out, "c": out, "d": out, "e": respondWith(Response{Status: StatusDone}),
	}}
	seeds := []scheduler.VMName{"a", "b", "c", "d", "e"}
	client := NewLeaderClient(network, "domain", seeds, nil, tally.NoopScope, zerolog.Nop())
	var got Status
	for range 2 {
		got = client.Do(t.Context(), &Request{Status: &StatusRequest{}}).Status
	}
	if want := StatusDone; got != want {
		t.Errorf("second request: got %s, want %s; asked %v", got, want, network.called)
	}
}
