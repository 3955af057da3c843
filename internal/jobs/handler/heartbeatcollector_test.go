package handler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/crocusplank/crocusplank/internal/basics/encoder"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// recordingNetwork is a network in which one VM leads and keeps the requests about workers.
type recordingNetwork struct {
	fakeNetwork
	leader   scheduler.VMName
	unknown  []scheduler.WorkerName
	requests []Request
}

func (network *recordingNetwork) Call(_ context.Context, to scheduler.VMName, _ scheduler.GroupName, _ scheduler.MessageKind, body []byte) ([]byte, error) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if to != network.leader {
		return encoder.Marshal(Response{Status: StatusNotLeader, Leader: network.leader})
	}
	var request Request
	if err := encoder.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	answer := Response{Status: StatusDone}
	if request.Heartbeats != nil {
		answer.UnknownWorkers, network.unknown = network.unknown, nil
	}
	if request.Heartbeat != nil || request.Heartbeats != nil {
		network.requests = append(network.requests, request)
	}
	return encoder.Marshal(answer)
}

func (network *recordingNetwork) take() []Request {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	taken := network.requests
	network.requests = nil
	return taken
}

func readyBeat(sequence uint64) *scheduler.WorkerHeartbeat {
	return &scheduler.WorkerHeartbeat{
		Worker: "w", Instance: 3, Address: "10.0.0.1:80", Phase: scheduler.WorkerReady, Sequence: sequence, Clock: time.Duration(sequence) * time.Second,
	}
}

// lead makes another VM the leader.
func (network *recordingNetwork) lead(leader scheduler.VMName) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.leader = leader
}

// forgetWorker makes the leader ask for a worker.
func (network *recordingNetwork) forgetWorker(worker scheduler.WorkerName) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.unknown = []scheduler.WorkerName{worker}
}

// collectorTest plays beats on a VM that does not lead.
type collectorTest struct {
	network   *recordingNetwork
	collector *HeartbeatCollector
}

func (test *collectorTest) beat(t *testing.T, beat *scheduler.WorkerHeartbeat) {
	t.Helper()
	if got := test.collector.Heartbeat(t.Context(), beat); got.Status != StatusDone {
		t.Errorf("beat %d: got %s, want %s", beat.Sequence, got.Status, StatusDone)
	}
}

func testCollector(t *testing.T, play func(t *testing.T, test *collectorTest)) {
	synctest.Test(t, func(t *testing.T) {
		network := &recordingNetwork{leader: "a"}
		courier := NewLeaderClient(network, "domain", []scheduler.VMName{"a", "b"}, nil, tally.NoopScope, zerolog.Nop())
		test := &collectorTest{network: network, collector: NewHeartbeatCollector(courier, zerolog.Nop())}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go courier.Run(ctx)
		go test.collector.Run(ctx)
		time.Sleep(time.Second)
		play(t, test)
	})
}

// Guards against a leader that takes one call for each beat of thousands of workers.
func TestRepeatedBeatsTravelTogether(t *testing.T) {
	testCollector(t, func(t *testing.T, test *collectorTest) {
		test.beat(t, readyBeat(1))
		if got := test.network.take(); len(got) != 1 || got[0].Heartbeat == nil {
			t.Fatalf("first beat: got requests %+v, want the beat", got)
		}
		time.Sleep(time.Second)
		test.network.take()
		test.beat(t, readyBeat(2))
		if got := test.network.take(); len(got) != 0 {
			t.Errorf("repeated beat: got requests %+v at once, want none", got)
		}
		time.Sleep(2 * collectInterval)
		got := test.network.take()
		if len(got) != 1 || got[0].Heartbeats == nil || len(got[0].Heartbeats.Repeated) != 1 || got[0].Heartbeats.Repeated[0].Sequence != 2 {
			t.Errorf("repeated beat: got requests %+v, want one with sequence 2", got)
		}
	})
}

// Guards against a worker that leaves, or has changed otherwise, and is acknowledged before the leader knows it.
func TestChangedBeatsGoAtOnce(t *testing.T) {
	changes := map[string]func(beat *scheduler.WorkerHeartbeat){
		"phase":    func(beat *scheduler.WorkerHeartbeat) { beat.Phase = scheduler.WorkerDraining },
		"life":     func(beat *scheduler.WorkerHeartbeat) { beat.Instance++ },
		"address":  func(beat *scheduler.WorkerHeartbeat) { beat.Address = "10.0.0.2:80" },
		"capacity": func(beat *scheduler.WorkerHeartbeat) { beat.Capacity.MilliCores = 7 },
		"labels":   func(beat *scheduler.WorkerHeartbeat) { beat.Labels = []string{"b"} },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			testCollector(t, func(t *testing.T, test *collectorTest) {
				test.beat(t, readyBeat(1))
				time.Sleep(time.Second)
				test.network.take()
				changed := readyBeat(2)
				change(changed)
				test.beat(t, changed)
				if got := test.network.take(); len(got) != 1 || got[0].Heartbeat == nil || got[0].Heartbeat.Sequence != 2 {
					t.Errorf("got requests %+v, want the beat", got)
				}
			})
		})
	}
}

// Guards against a new leader that knows no worker until each of them states itself again.
func TestNewLeaderIsToldAtOnce(t *testing.T) {
	tests := map[string]func(test *collectorTest){
		"the leader changes":           func(test *collectorTest) { test.network.lead("b") },
		"the leader has forgotten one": func(test *collectorTest) { test.network.forgetWorker("w") },
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			testCollector(t, func(t *testing.T, test *collectorTest) {
				test.beat(t, readyBeat(1))
				time.Sleep(time.Second)
				test.beat(t, readyBeat(2))
				test.network.take()
				disturb(test)
				time.Sleep(time.Second)
				var told []toldBeat
				for _, request := range test.network.take() {
					for _, aged := range request.Heartbeats.Full {
						told = append(told, toldBeat{worker: aged.Beat.Worker, sequence: aged.Beat.Sequence})
					}
				}
				if len(told) != 1 || told[0].worker != "w" || told[0].sequence != 2 {
					t.Errorf("got beats %+v, want the last one of w", told)
				}
			})
		})
	}
}

// toldBeat is what a test looks at in a beat.
type toldBeat struct {
	worker   scheduler.WorkerName
	sequence uint64
}

// Guards against beats that are acknowledged on a VM that no leader can be reached from.
func TestBeatsWithoutLeader(t *testing.T) {
	testCollector(t, func(t *testing.T, test *collectorTest) {
		test.beat(t, readyBeat(1))
		time.Sleep(time.Second)
		test.network.lead("")
		time.Sleep(reachableFor + time.Second)
		if got := test.collector.Heartbeat(t.Context(), readyBeat(2)); got.Status == StatusDone {
			t.Errorf("got %s, want a refusal", got.Status)
		}
	})
}
