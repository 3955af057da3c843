package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// The case of runners that are lost for good without a sign, a second before jobs of one task come in.
const (
	pendingRunners = 15
	pendingLost    = 2
	pendingJobs    = 42
	pendingAfter   = 14 * time.Second
	// pendingSlack is how long after its acceptance a job must be counted: visible_ms and two seconds.
	pendingSlack = visibleTime + 2*time.Second
)

func playPending(ctx context.Context, world *world) (broken []string, err error) {
	jobs := newLedger(world.record)
	clients, err := world.prepare(ctx, jobs, pendingRunners, 8, resources{CPU: 32000, MemMb: 125000})
	if err != nil {
		return nil, err
	}
	if world.trouble {
		first := world.pick(len(world.runners))
		second := (first + 1 + world.pick(len(world.runners)-1)) % len(world.runners)
		for _, runner := range []*runner{world.runners[first], world.runners[second]}[:pendingLost] {
			runner.goDark()
		}
	}
	if !sleep(ctx, time.Second) {
		return nil, ctx.Err()
	}
	var submissions sync.WaitGroup
	submitSingles(ctx, clients, &submissions)
	for end := time.Now().Add(pendingAfter); time.Now().Before(end) && sleep(ctx, 500*time.Millisecond); {
		for _, entry := range world.entries {
			broken = append(broken, judgePending(ctx, clients, entry)...)
		}
	}
	submissions.Wait()
	return broken, ctx.Err()
}

// submitSingles hands in jobs of one task of 2 s on up to 4 cores that others leave unused.
func submitSingles(ctx context.Context, clients *clients, submissions *sync.WaitGroup) {
	plan := plan{work: 2 * time.Second, fills: true, needs: resources{CPU: 4000, MemMb: 8000}}
	for range pendingJobs {
		job := clients.jobs.add(clients.world.newID(), plan)
		submissions.Go(func() { clients.submit(ctx, job, 1) })
		sleep(ctx, 10*time.Millisecond)
	}
}

// judgePending asks for the number of jobs that have not begun. It must be at least half of the number of those that were
// accepted more than pendingSlack before the question and have not begun until the answer.
func judgePending(ctx context.Context, clients *clients, entry *process) []string {
	asked := time.Now()
	shown, ok := clients.pending(ctx, entry)
	if !ok {
		return nil
	}
	waiting := 0
	var oldest time.Duration
	clients.jobs.each(func(job *job) {
		if !job.acceptedAt.IsZero() && job.begunAt.IsZero() && asked.Sub(job.acceptedAt) > pendingSlack {
			waiting++
			oldest = max(oldest, asked.Sub(job.acceptedAt))
		}
	})
	clients.world.record.printf("GET %s at %s: pending %d; %d jobs wait for over %v", queuePrefix, entry.name, shown, waiting, pendingSlack)
	if 2*shown >= waiting {
		return nil
	}
	return []string{fmt.Sprintf("%s gives %d as pending while %d jobs accepted over %v before have not begun, the oldest for %v",
		entry.name, shown, waiting, pendingSlack, oldest.Round(time.Millisecond))}
}
