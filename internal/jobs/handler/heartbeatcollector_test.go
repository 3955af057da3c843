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

// recordingNetwork is a Network in which one VM is the leader and records the heartbeat requests.
type recordingNetwork struct {
	fakeNetwork
	leader         scheduler.VMName
	unknownWorkers []scheduler.WorkerName
	requests       []Request
	// ignoresBatches is true while batches of heartbeats get no response.
	ignoresBatches bool
}

func (network *recordingNetwork) Call(
	ctx context.Context, to scheduler.VMName, _ scheduler.GroupName, _ scheduler.MessageKind, body []byte,
) ([]byte, error) {
	var request Request
	if err := encoder.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	network.mutex.Lock()
	defer network.mutex.Unlock()
	if to != network.leader {
		return encoder.Marshal(Response{Status: StatusNotLeader, Leader: network.leader})
	}
	if request.Heartbeats != nil && network.ignoresBatches {
		network.mutex.Unlock()
		<-ctx.Done()
		network.mutex.Lock()
		return nil, scheduler.ErrOutcomeUnknown.Wrap(ctx.Err())
	}
	response := Response{Status: StatusDone}
	if request.Heartbeats != nil {
		response.UnknownWorkers, network.unknownWorkers = network.unknownWorkers, nil
	}
	if request.Heartbeat != nil || request.Heartbeats != nil {
		network.requests = append(network.requests, request)
	}
	return encoder.Marshal(response)
}

// takeRequests returns the recorded requests and clears them.
func (network *recordingNetwork) takeRequests() []Request {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	taken := network.requests
	network.requests = nil
	return taken
}

func readyHeartbeat(sequence uint64) *scheduler.WorkerHeartbeat {
	return &scheduler.WorkerHeartbeat{
		Worker: "w", Instance: 3, Address: "10.0.0.1:80", Phase: scheduler.WorkerReady, Sequence: sequence,
		Clock: time.Duration(sequence) * time.Second,
	}
}

// setLeader makes another VM the leader, none if leader is empty.
func (network *recordingNetwork) setLeader(leader scheduler.VMName) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.leader = leader
}

// ignoreBatches determines whether batches of heartbeats get no response.
func (network *recordingNetwork) ignoreBatches(ignores bool) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.ignoresBatches = ignores
}

// reportUnknown makes the leader report a worker as unknown once.
func (network *recordingNetwork) reportUnknown(worker scheduler.WorkerName) {
	network.mutex.Lock()
	defer network.mutex.Unlock()
	network.unknownWorkers = []scheduler.WorkerName{worker}
}

// collectorTest is a HeartbeatCollector on a VM that is not the leader.
type collectorTest struct {
	network   *recordingNetwork
	collector *HeartbeatCollector
}

func (test *collectorTest) heartbeat(t *testing.T, heartbeat *scheduler.WorkerHeartbeat) {
	t.Helper()
	if got := test.collector.Heartbeat(t.Context(), heartbeat); got.Status != StatusDone {
		t.Errorf("heartbeat %d: got %s, want %s", heartbeat.Sequence, got.Status, StatusDone)
	}
}

func runCollectorTest(t *testing.T, run func(t *testing.T, test *collectorTest)) {
	synctest.Test(t, func(t *testing.T) {
		network := &recordingNetwork{leader: "a"}
		leaderClient := NewLeaderClient(network, "domain", []scheduler.VMName{"a", "b"}, nil, tally.NoopScope, zerolog.Nop())
		test := &collectorTest{network: network, collector: NewHeartbeatCollector(leaderClient, zerolog.Nop())}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go leaderClient.Run(ctx)
		go test.collector.Run(ctx)
		time.Sleep(time.Second)
		run(t, test)
	})
}

// Guards against one call to the leader for each heartbeat of thousands of workers.
func TestRepeatedHeartbeatsAreBatched(t *testing.T) {
	runCollectorTest(t, func(t *testing.T, test *collectorTest) {
		test.heartbeat(t, readyHeartbeat(1))
		if got := test.network.takeRequests(); len(got) != 1 || got[0].Heartbeat == nil {
			t.Fatalf("first heartbeat: got requests %+v, want the heartbeat", got)
		}
		time.Sleep(time.Second)
		test.network.takeRequests()
		test.heartbeat(t, readyHeartbeat(2))
		if got := test.network.takeRequests(); len(got) != 0 {
			t.Errorf("repeated heartbeat: got requests %+v immediately, want none", got)
		}
		time.Sleep(2 * batchInterval)
		got := test.network.takeRequests()
		if len(got) != 1 || got[0].Heartbeats == nil || len(got[0].Heartbeats.Repeated) != 1 ||
			got[0].Heartbeats.Repeated[0].Sequence != 2 {
			t.Errorf("repeated heartbeat: got requests %+v, want one with sequence 2", got)
		}
	})
}

// Guards against one call for each heartbeat to a leader that is too slow to respond to batches, and against heartbeats
// that are lost with a batch.
func TestFailedBatchIsSentAgain(t *testing.T) {
	runCollectorTest(t, func(t *testing.T, test *collectorTest) {
		test.heartbeat(t, readyHeartbeat(1))
		time.Sleep(time.Second)
		test.network.takeRequests()
		test.network.ignoreBatches(true)
		for sequence := uint64(2); sequence < 5; sequence++ {
			test.heartbeat(t, readyHeartbeat(sequence))
			time.Sleep(batchTimeout)
		}
		if got := test.network.takeRequests(); len(got) != 0 {
			t.Errorf("got %d requests outside of batches, want none", len(got))
		}
		test.network.ignoreBatches(false)
		time.Sleep(batchTimeout + 2*batchInterval)
		got := test.network.takeRequests()
		if len(got) != 1 || got[0].Heartbeats == nil || len(got[0].Heartbeats.Repeated) != 1 ||
			got[0].Heartbeats.Repeated[0].Sequence != 4 {
			t.Errorf("got %d requests, want one batch with heartbeat 4", len(got))
		}
	})
}

// Guards against a heartbeat with a new phase or other changed content that is acknowledged before the leader has
// received it.
func TestChangedHeartbeatsAreForwardedImmediately(t *testing.T) {
	changes := map[string]func(heartbeat *scheduler.WorkerHeartbeat){
		"phase":    func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Phase = scheduler.WorkerDraining },
		"life":     func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Instance++ },
		"address":  func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Address = "10.0.0.2:80" },
		"capacity": func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Capacity.MilliCores = 7 },
		"labels":   func(heartbeat *scheduler.WorkerHeartbeat) { heartbeat.Labels = []string{"b"} },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			runCollectorTest(t, func(t *testing.T, test *collectorTest) {
				test.heartbeat(t, readyHeartbeat(1))
				time.Sleep(time.Second)
				test.network.takeRequests()
				changed := readyHeartbeat(2)
				change(changed)
				test.heartbeat(t, changed)
				if got := test.network.takeRequests(); len(got) != 1 || got[0].Heartbeat == nil || got[0].Heartbeat.Sequence != 2 {
					t.Errorf("got requests %+v, want the heartbeat", got)
				}
			})
		})
	}
}

// Guards against a leader that takes the capacity of a heartbeat that another VM received for the current one, because the
// next heartbeat only repeats what this VM received before that.
func TestHeartbeatAfterGapIsForwardedInFull(t *testing.T) {
	runCollectorTest(t, func(t *testing.T, test *collectorTest) {
		test.heartbeat(t, readyHeartbeat(1))
		time.Sleep(time.Second)
		test.network.takeRequests()
		test.heartbeat(t, readyHeartbeat(3))
		if got := test.network.takeRequests(); len(got) != 1 || got[0].Heartbeat == nil || got[0].Heartbeat.Sequence != 3 {
			t.Errorf("got requests %+v, want heartbeat 3", got)
		}
	})
}

// Guards against a new leader that knows no workers until each of them has sent its next heartbeat.
func TestNewLeaderReceivesRecentHeartbeats(t *testing.T) {
	tests := map[string]func(test *collectorTest){
		"leader changes":                     func(test *collectorTest) { test.network.setLeader("b") },
		"leader reports a worker as unknown": func(test *collectorTest) { test.network.reportUnknown("w") },
	}
	for name, trigger := range tests {
		t.Run(name, func(t *testing.T) {
			runCollectorTest(t, func(t *testing.T, test *collectorTest) {
				test.heartbeat(t, readyHeartbeat(1))
				time.Sleep(time.Second)
				test.heartbeat(t, readyHeartbeat(2))
				test.network.takeRequests()
				trigger(test)
				time.Sleep(time.Second)
				var sent []sentHeartbeat
				for _, request := range test.network.takeRequests() {
					for _, relayed := range request.Heartbeats.Full {
						sent = append(sent, sentHeartbeat{worker: relayed.Heartbeat.Worker, sequence: relayed.Heartbeat.Sequence})
					}
				}
				if len(sent) != 1 || sent[0].worker != "w" || sent[0].sequence != 2 {
					t.Errorf("got heartbeats %+v, want the last one of w", sent)
				}
			})
		})
	}
}

// sentHeartbeat holds the fields of a forwarded heartbeat that the test compares.
type sentHeartbeat struct {
	worker   scheduler.WorkerName
	sequence uint64
}

// Guards against heartbeats that are acknowledged by a VM from which no leader is reachable.
func TestHeartbeatsWithoutLeader(t *testing.T) {
	runCollectorTest(t, func(t *testing.T, test *collectorTest) {
		test.heartbeat(t, readyHeartbeat(1))
		time.Sleep(time.Second)
		test.network.setLeader("")
		time.Sleep(reachabilityTimeout + time.Second)
		if got := test.collector.Heartbeat(t.Context(), readyHeartbeat(2)); got.Status == StatusDone {
			t.Errorf("got %s, want an error status", got.Status)
		}
	})
}
