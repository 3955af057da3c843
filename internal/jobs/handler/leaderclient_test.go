package handler

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// fakeNetwork is a Network whose VMs answer as the test says.
type fakeNetwork struct {
	answers map[scheduler.VMName]func() (Response, error)
	down    map[scheduler.VMName]bool
	asked   []scheduler.VMName
	added   []scheduler.VMName
	mutex   sync.Mutex
}

// set changes the answer of a VM while requests are under way.
func (network *fakeNetwork) set(vm scheduler.VMName, answer func() (Response, error)) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.answers[vm] = answer
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

func (network *fakeNetwork) Call(_ context.Context, to scheduler.VMName, _ scheduler.GroupName, _ scheduler.MessageKind, _ []byte) ([]byte, error) {
	network.mutex.Lock()
	network.asked = append(network.asked, to)
	give := network.answers[to]
	network.mutex.Unlock()
	answer, err := give()
	if err != nil {
		return nil, err
	}
	return encoder.Marshal(answer)
}

func says(answer Response) func() (Response, error) {
	return func() (Response, error) { return answer, nil }
}

func fails(err error) func() (Response, error) {
	return func() (Response, error) { return Response{}, err }
}

// Guards against "had no effect" for a request that may have run, against a request that runs on two VMs, and
// against a leader that is not found.
func TestAsk(t *testing.T) {
	done, notLeader := says(Response{Status: StatusDone}), says(Response{Status: StatusNotLeader})
	tests := map[string]struct {
		answers map[scheduler.VMName]func() (Response, error)
		down    map[scheduler.VMName]bool
		want    Status
		asked   int
	}{
		"the first leads":               {map[scheduler.VMName]func() (Response, error){"a": done, "b": done}, nil, StatusDone, 1},
		"the first names the leader":    {map[scheduler.VMName]func() (Response, error){"a": says(Response{Status: StatusNotLeader, Leader: "b"}), "b": done}, nil, StatusDone, 2},
		"the leader is no seed":         {map[scheduler.VMName]func() (Response, error){"a": says(Response{Status: StatusNotLeader, Leader: "z"}), "z": done}, nil, StatusDone, 2},
		"nobody leads":                  {map[scheduler.VMName]func() (Response, error){"a": notLeader, "b": notLeader}, nil, StatusUnavailable, 2},
		"nobody is connected":           {nil, map[scheduler.VMName]bool{"a": true, "b": true}, StatusUnavailable, 0},
		"the request was not sent":      {map[scheduler.VMName]func() (Response, error){"a": fails(scheduler.ErrNotRun.New("x")), "b": done}, nil, StatusDone, 2},
		"the answer was lost":           {map[scheduler.VMName]func() (Response, error){"a": fails(scheduler.ErrOutcomeUnknown.New("x")), "b": done}, nil, StatusDone, 2},
		"two VMs name each other":       {map[scheduler.VMName]func() (Response, error){"a": says(Response{Status: StatusNotLeader, Leader: "b"}), "b": says(Response{Status: StatusNotLeader, Leader: "a"})}, nil, StatusUnavailable, 2},
		"a refusal is not asked again":  {map[scheduler.VMName]func() (Response, error){"a": says(Response{Status: StatusRefused}), "b": done}, nil, StatusRefused, 1},
		"an outcome that is not known":  {map[scheduler.VMName]func() (Response, error){"a": says(Response{Status: StatusOutcomeUnknown}), "b": done}, nil, StatusDone, 2},
		"the only connected one leads":  {map[scheduler.VMName]func() (Response, error){"b": done}, map[scheduler.VMName]bool{"a": true}, StatusDone, 1},
		"an answer that can't be read":  {map[scheduler.VMName]func() (Response, error){"a": done, "b": done}, nil, StatusDone, 1},
		"a queue that is not known":     {map[scheduler.VMName]func() (Response, error){"a": says(Response{Status: StatusNoQueue})}, nil, StatusNoQueue, 1},
		"leadership lost while it runs": {map[scheduler.VMName]func() (Response, error){"a": says(Response{Status: StatusUnavailable}), "b": done}, nil, StatusUnavailable, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			network := &fakeNetwork{answers: test.answers, down: test.down}
			courier := NewLeaderClient(network, "domain", []scheduler.VMName{"a", "b"}, nil, tally.NoopScope, zerolog.Nop())
			answer := courier.Do(t.Context(), &Request{ReadConfiguration: &ReadConfigurationRequest{}})
			if answer.Status != test.want || len(network.asked) != test.asked {
				t.Errorf("got %s after %v, want %s after %d", answer.Status, network.asked, test.want, test.asked)
			}
		})
	}
}

// Guards against "had no effect" for a change of which an earlier copy may still take effect, and against callers left in
// doubt by a change of the leader although the new one could tell them.
func TestAskAgain(t *testing.T) {
	submit, cancel := &Request{Submit: &SubmitRequest{}}, &Request{Cancel: &JobRequest{}}
	state := &Request{JobState: &JobRequest{}}
	tests := map[string]struct {
		request *Request
		second  Status
		want    Status
	}{
		"submission, stored by the second":          {submit, StatusDone, StatusDone},
		"submission, refused by the second":         {submit, StatusRefused, StatusOutcomeUnknown},
		"submission, no leader afterwards":          {submit, StatusUnavailable, StatusOutcomeUnknown},
		"submission, queue removed meanwhile":       {submit, StatusNoQueue, StatusOutcomeUnknown},
		"submission, not valid":                     {submit, StatusInvalid, StatusInvalid},
		"cancellation, done by the second":          {cancel, StatusDone, StatusDone},
		"cancellation, job not known to the second": {cancel, StatusNoJob, StatusOutcomeUnknown},
		"question, answered by the second":          {state, StatusNoJob, StatusNoJob},
		"question, no leader afterwards":            {state, StatusUnavailable, StatusUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := &fakeNetwork{answers: map[scheduler.VMName]func() (Response, error){
					"a": fails(scheduler.ErrOutcomeUnknown.New("cut off")), "b": says(Response{Status: test.second}),
				}}
				courier := NewLeaderClient(network, "domain", []scheduler.VMName{"a", "b"}, nil, tally.NoopScope, zerolog.Nop())
				const deadline = 3 * time.Second
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				began := time.Now()
				if got := courier.Do(ctx, test.request).Status; got != test.want {
					t.Errorf("got %s, want %s", got, test.want)
				}
				if took := time.Since(began); test.want != StatusOutcomeUnknown && took > 2*askAgain {
					t.Errorf("got the answer after %v, want it at once", took)
				}
			})
		})
	}
}

// Guards against requests that wait for a leader that is cut off while another VM leads already.
func TestSilentLeaderIsAskedLast(t *testing.T) {
	network := &fakeNetwork{answers: map[scheduler.VMName]func() (Response, error){
		"a": fails(scheduler.ErrOutcomeUnknown.New("cut off")), "b": says(Response{Status: StatusDone}),
	}}
	courier := NewLeaderClient(network, "domain", []scheduler.VMName{"a", "b"}, nil, tally.NoopScope, zerolog.Nop())
	if got := courier.Do(t.Context(), &Request{ReadConfiguration: &ReadConfigurationRequest{}}).Status; got != StatusDone {
		t.Errorf("got %s, want %s", got, StatusDone)
	}
	network.asked = nil
	if got := courier.Do(t.Context(), &Request{ReadConfiguration: &ReadConfigurationRequest{}}).Status; got != StatusDone || len(network.asked) != 1 {
		t.Errorf("got %s after %v, want %s after one", got, network.asked, StatusDone)
	}
}

// Guards against an entry VM that takes requests although the leader does not answer.
func TestReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answers := map[scheduler.VMName]func() (Response, error){"a": says(Response{Status: StatusDone, Version: 7, Members: []scheduler.VMName{"a", "n"}})}
		network := &fakeNetwork{answers: answers}
		courier := NewLeaderClient(network, "domain", []scheduler.VMName{"a"}, nil, tally.NoopScope, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go courier.Run(ctx)
		time.Sleep(time.Second)
		if _, version := courier.Limits(); !courier.Reachable() || version != 7 || len(network.added) != 1 {
			t.Errorf("got reachable %v, version %d, added %v, want true, 7 and one", courier.Reachable(), version, network.added)
		}
		network.set("a", fails(scheduler.ErrOutcomeUnknown.New("cut off")))
		network.set("n", fails(scheduler.ErrOutcomeUnknown.New("cut off")))
		time.Sleep(reachableFor + time.Second)
		if courier.Reachable() {
			t.Error("got reachable without an answer, want false")
		}
	})
}
