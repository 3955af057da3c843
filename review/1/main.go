// Command 1 shows that ends which do not fit into one answer of a runner are taken for lost runs, so that finished tasks
// run again.
package main

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/crocusplank/crocusplank/review/harness"
)

const (
	runners = 6
	tasks   = 1_500
	job     = "5c0e7a21d94b36f8"
	// cutTime is the length of node_cut in the list of troubles of the site, a share of 0.17 of the runners.
	cutTime    = 5500 * time.Millisecond
	setupLimit = 20 * time.Second
	// The tasks wait for the same input, which comes firstEnd after the job was accepted. They end within endSpread.
	firstEnd  = 8 * time.Second
	endSpread = 4 * time.Second
	endLimit  = 60 * time.Second
	// shortWork is how long a task works if the input is there.
	shortWork = time.Second
)

var task = harness.Step{Count: tasks, CPU: 20, MemMb: 64, EstimateMs: 6000, Requirements: harness.RareLabel}

func main() { harness.Main(run) }

func run(script *harness.Script) (breaks []string, err error) {
	if err := script.Configure(3, setupLimit); err != nil {
		return nil, err
	}
	var accepted atomic.Int64
	behaviour := func(string) (harness.Step, time.Duration) {
		waited := time.Since(time.Unix(0, accepted.Load()))
		return task, max(firstEnd-waited+rand.N(endSpread), shortWork)
	}
	machines, err := script.StartRunners(runners, script.Ledger, behaviour)
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * harness.HeartbeatInterval)
	accepted.Store(time.Now().UnixNano())
	if err := script.Submit(job, "pattern 17", setupLimit, task); err != nil {
		return nil, err
	}
	accepted.Store(time.Now().UnixNano())
	time.Sleep(firstEnd - time.Second)
	cut := harness.Fullest(machines)
	script.Recorder.Printf("%d tasks begun, %d of them on runner %s", script.Ledger.Begun(), cut.Active(), cut.ID())
	if script.Trouble {
		cut.Cut()
		time.Sleep(cutTime)
		cut.Heal()
	}
	state := script.AwaitState(job, endLimit, "completed", "failed")
	script.Recorder.Printf("the job is shown as %q; %d tasks begun, %d runs ended done", state, script.Ledger.Begun(), script.Ledger.Ends("done"))
	return script.Ledger.Breaks(), nil
}
