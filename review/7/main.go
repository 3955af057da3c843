// Command 7 shows that tasks that last have no run for two leases if their runners are lost for good and the leader is killed
// before the first lease ends.
package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/crocusplank/crocusplank/review/stager"
)

const (
	lasting = "91b2e07a5c0e4d36"
	runners = 16
	// lostRunners of runners are lost for good: 0.125 of them.
	lostRunners = 2
	// tasks is such that the other runners have room for the tasks of the lost ones over twice over, at two tasks to a runner.
	tasks = 20
	// killAfter is the time from the loss to the kill of the leader, and restartAfter the time from the kill to the start of its
	// process.
	killAfter    = 7 * time.Second
	restartAfter = 500 * time.Millisecond
	// steadyTime is how long all tasks run before the loss.
	steadyTime = 12 * time.Second
	// contactTime, calmBefore, sinceRun and window are the spans of the rule: until a machine counts as in touch again, without
	// disruption before, since the task's last run, and without a run.
	contactTime = 3 * time.Second
	calmBefore  = 4 * time.Second
	sinceRun    = 6 * time.Second
	window      = 3 * time.Second
	watchTime   = 32 * time.Second
)

var route = stager.Route{
	Name: "r-1", Host: "nony24.example", Prefix: "/lohu930/", Service: "huvo11a", MaxAttempts: 3,
}

func main() { stager.Main(run) }

func run(recorder *stager.Recorder, program string, trouble bool) (stager.Verdict, error) {
	fleet, err := stager.NewFleet(recorder, program, 32000, stager.Same("a", runners), &route, nil)
	if err != nil {
		return stager.Verdict{}, err
	}
	defer fleet.Close()
	fleet.Ledger.Describe(lasting, "0", stager.Task{CPU: 4000, Lasts: true})
	if !fleet.Domain.Submit(&route, lasting, map[string]any{
		"spec": "fit record",
		"phases": []map[string]any{{
			"count": tasks, "cpu": 4000, "memMb": 256, "estimateMs": 400, "longRunning": true, "antiAffinity": 2,
		}},
	}) {
		return stager.Verdict{}, errors.New("the job was not accepted")
	}
	time.Sleep(steadyTime)
	if running := countRunning(fleet); running != tasks {
		return stager.Verdict{}, fmt.Errorf("%d of %d tasks run before the disruption", running, tasks)
	}
	calm := recorder.Elapsed()
	if trouble {
		if calm, err = disrupt(recorder, fleet); err != nil {
			return stager.Verdict{}, err
		}
	}
	time.Sleep(watchTime - killAfter)
	return judge(fleet, calm, recorder.Elapsed()), nil
}

func countRunning(fleet *stager.Fleet) int {
	count := 0
	for _, runner := range fleet.Runners {
		count += len(runner.Running())
	}
	return count
}

// disrupt takes two runners with tasks away for good, kills the leader once and starts its process again. It returns when that ended.
func disrupt(recorder *stager.Recorder, fleet *stager.Fleet) (time.Duration, error) {
	lost := 0
	for _, runner := range fleet.Runners {
		if lost < lostRunners && len(runner.Running()) > 0 {
			runner.PowerOff()
			lost++
		}
	}
	time.Sleep(killAfter)
	leader := fleet.Domain.Leader()
	if leader == nil {
		return 0, errors.New("no core says that it leads")
	}
	fleet.Domain.Kill(leader)
	time.Sleep(restartAfter)
	if err := fleet.Domain.Start(leader); err != nil {
		return 0, err
	}
	return recorder.Elapsed(), nil
}

// judge looks for tasks without a run for the rule's spans. calm is when the last disruption ended.
func judge(fleet *stager.Fleet, calm, until time.Duration) stager.Verdict {
	idleSince := map[string]time.Duration{}
	worst, broken := "", 0
	note := func(task string, from, to time.Duration) {
		if to-max(from+sinceRun, calm+contactTime+calmBefore) > window {
			broken++
			worst = fmt.Sprintf("task %s has no run from %.1f s to %.1f s", task, from.Seconds(), to.Seconds())
		}
	}
	for _, event := range fleet.Ledger.Events() {
		if !strings.HasPrefix(event.Task, lasting) || event.Kind == stager.KindTaken {
			continue
		}
		if event.Kind != stager.KindStarted {
			idleSince[event.Task] = event.At
			continue
		}
		if from, idle := idleSince[event.Task]; idle {
			note(event.Task, from, event.At)
			delete(idleSince, event.Task)
		}
	}
	for task, from := range idleSince {
		note(task, from, until)
	}
	if broken == 0 {
		return stager.Verdict{}
	}
	return stager.Verdict{Broken: fmt.Sprintf(
		"LOST: %d tasks that last had no run for too long, though the last disruption ended at %.1f s and %d of %d runners are sound and mostly free; %s",
		broken, calm.Seconds(), runners-lostRunners, runners, worst)}
}
