// Command 3 shows that the tasks of a runner that has deregistered run elsewhere while it is still up.
package main

import (
	"fmt"
	"time"

	"github.com/crocusplank/crocusplank/review/harness"
)

const (
	// One of 16 runners drains and is cut off one way, a share of 0.0625, for cutTime.
	runners    = 16
	cutTime    = 5500 * time.Millisecond
	tasks      = 48
	job        = "7d1e0b93c25a4f60"
	workTime   = 20 * time.Second
	setupLimit = 20 * time.Second
	endLimit   = 60 * time.Second
	// drainTime is how long the runner goes on after it has said that it drains. Without an acknowledgement it ends
	// patience later.
	drainTime = 4200 * time.Millisecond
	patience  = 3 * time.Second
	// cutBefore is how long before its end the runner is cut off, shortly after its last heartbeat.
	cutBefore = 1100 * time.Millisecond
)

var task = harness.Step{Count: tasks, CPU: 5000, MemMb: 8000, EstimateMs: 20000}

func main() { harness.Main(run) }

func run(script *harness.Script) (breaks []string, err error) {
	if err := script.Configure(3, setupLimit); err != nil {
		return nil, err
	}
	behaviour := func(string) (harness.Step, time.Duration) { return task, workTime }
	machines, err := script.StartRunners(runners, script.Ledger, behaviour)
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * harness.HeartbeatInterval)
	if err := script.Submit(job, "pattern 17", setupLimit, task); err != nil {
		return nil, err
	}
	for end := time.Now().Add(setupLimit); script.Ledger.Begun() < tasks; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, fmt.Errorf("%d of %d tasks begun", script.Ledger.Begun(), tasks)
		}
	}
	time.Sleep(harness.HeartbeatInterval)
	leaving := harness.Fullest(machines)
	go leaving.Drain(drainTime, patience)
	time.Sleep(drainTime - cutBefore)
	if script.Trouble {
		leaving.CutOneWay()
		time.Sleep(cutTime)
		leaving.Heal()
	}
	state := script.AwaitState(job, endLimit, "completed", "failed")
	script.Recorder.Printf("the job is shown as %q; %d tasks begun, %d runs ended done", state, script.Ledger.Begun(), script.Ledger.Ends("done"))
	return script.Ledger.Breaks(), nil
}
