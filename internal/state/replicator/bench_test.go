package replicator

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

var measureTraffic = flag.Bool("traffic", false, "print the traffic of idle and of working groups")

func diskVoters(count int) []Member {
	var members []Member
	for number := range count {
		members = append(members, disk(scheduler.VMName(fmt.Sprintf("vm-%d", number))))
	}
	return members
}

// BenchmarkPropose measures the throughput and latency of proposals by the number of concurrent proposers,
// which limits the batch size of group commit, with and without the delay of a disk sync.
func BenchmarkPropose(b *testing.B) {
	for _, syncDelay := range []time.Duration{0, 2 * time.Millisecond} {
		for _, proposers := range []int{1, 16, 64, 256, 1024} {
			b.Run(fmt.Sprintf("sync=%v/proposers=%d", syncDelay, proposers), func(b *testing.B) {
				benchmarkPropose(b, syncDelay, proposers)
			})
		}
	}
}

func benchmarkPropose(b *testing.B, syncDelay time.Duration, proposers int) {
	network := newFakeNetwork(1, 0)
	members := diskVoters(3)
	var replicators []*Replicator
	for _, member := range members {
		transport := network.connect(member.VM)
		replicator, err := New(testGroup, member, members, &fakeJournal{syncDelay: syncDelay}, transport, &countingMachine{})
		if err != nil {
			b.Fatal(err)
		}
		network.attach(transport)
		replicators = append(replicators, replicator)
	}
	for _, replicator := range replicators {
		if err := replicator.Start(); err != nil {
			b.Fatal(err)
		}
		defer replicator.node().stop(nil)
	}
	defer close(network.closed)
	var leader *Replicator
	for leader == nil {
		// ReadBarrier waits for a leader.
		_ = replicators[0].ReadBarrier(b.Context())
		for _, replicator := range replicators {
			if replicator.HoldsLeaderLease() {
				leader = replicator
			}
		}
	}
	latencies := make([][]time.Duration, proposers)
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	b.ResetTimer()
	var group sync.WaitGroup
	for proposer := range proposers {
		group.Go(func() {
			command := make([]byte, 128)
			for remaining.Add(-1) >= 0 {
				start := time.Now()
				if _, err := leader.Propose(b.Context(), command); err != nil {
					b.Error(err)
					return
				}
				latencies[proposer] = append(latencies[proposer], time.Since(start))
			}
		})
	}
	group.Wait()
	b.StopTimer()
	all := slices.Concat(latencies...)
	slices.Sort(all)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
}

// countingMachine ignores commands, so that a benchmark measures only the replication.
type countingMachine struct{ fakeMachine }

func (*countingMachine) Apply(scheduler.Index, []byte) []byte { return nil }

// TestTraffic logs the number of messages and bytes by number of followers and entry size, without the
// framing of the transport. It checks that idle traffic does not grow with the number of entries.
func TestTraffic(t *testing.T) {
	for _, followers := range []int{2, 4, 8} {
		for _, size := range []int{16, 128, 1024, 8192} {
			if (followers > 2 || size != 128) && !*measureTraffic {
				continue
			}
			inBubble(t, func(t *testing.T) { logTraffic(t, followers, size) })
		}
	}
}

func logTraffic(t *testing.T, followers, size int) {
	cluster := newCluster(t, 1, diskVoters(followers+1))
	defer cluster.stop()
	cluster.startAll()
	leader := cluster.leader()
	time.Sleep(time.Second)
	count := func(run func()) (messages, bytes float64, elapsed time.Duration) {
		startMessages, startBytes, start := cluster.network.messages.Load(), cluster.network.bytes.Load(), time.Now()
		run()
		return float64(cluster.network.messages.Load() - startMessages),
			float64(cluster.network.bytes.Load() - startBytes), time.Since(start)
	}
	const proposals = 640
	idle := func() (messages, bytes float64) {
		messages, bytes, elapsed := count(func() { time.Sleep(time.Minute) })
		return messages / elapsed.Seconds(), bytes / elapsed.Seconds()
	}
	idleMessages, idleBytes := idle()
	line := fmt.Sprintf("followers %d, entry %d B: idle %.0f messages/s %.0f B/s", followers, size, idleMessages, idleBytes)
	for _, concurrent := range []int{1, 64} {
		messages, bytes, elapsed := count(func() {
			for range proposals / concurrent {
				var group sync.WaitGroup
				for range concurrent {
					group.Go(func() { cluster.mustPropose(leader, string(make([]byte, size))) })
				}
				group.Wait()
			}
		})
		line += fmt.Sprintf("; %d at a time: %.2f messages and %.0f B per proposal", concurrent,
			(messages-idleMessages*elapsed.Seconds())/proposals, (bytes-idleBytes*elapsed.Seconds())/proposals)
	}
	t.Log(line)
	if _, after := idle(); after > 1.2*idleBytes {
		t.Errorf("idle traffic after %d proposals: got %.0f B/s, want about %.0f", 2*proposals, after, idleBytes)
	}
}
