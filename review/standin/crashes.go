package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// The case of runners that crash: two of fifteen at a time, drawn by lot, again and again. Each is down for two
// seconds and then begins a new life on the same machine. Nothing that they run ever fails by itself.
const (
	crashRunners  = 15
	crashAtOnce   = 2
	crashRounds   = 12
	crashInterval = 4 * time.Second
	crashDownTime = 2 * time.Second
)

func playCrashes(ctx context.Context, world *world) (broken []string, err error) {
	jobs := newLedger(world.record)
	clients, err := world.prepare(ctx, jobs, crashRunners, 8, resources{CPU: 32000, MemMb: 125000})
	if err != nil {
		return nil, err
	}
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var traffic sync.WaitGroup
	traffic.Go(func() { submitSteadily(trafficCtx, clients) })
	for range crashRounds {
		if !sleep(ctx, crashInterval-crashDownTime) {
			return nil, ctx.Err()
		}
		if err := world.crashSome(ctx); err != nil {
			return nil, err
		}
	}
	stopTraffic()
	traffic.Wait()
	if !sleep(ctx, 14*time.Second) {
		return nil, ctx.Err()
	}
	return judgeFailed(ctx, clients), nil
}

// crashSome crashes some runners at once and starts them again.
func (world *world) crashSome(ctx context.Context) error {
	var down []*runner
	if world.trouble {
		first := world.pick(len(world.runners))
		second := (first + 1 + world.pick(len(world.runners)-1)) % len(world.runners)
		down = []*runner{world.runners[first], world.runners[second]}[:crashAtOnce]
	}
	for _, runner := range down {
		runner.crash("crash")
	}
	if !sleep(ctx, crashDownTime) {
		return ctx.Err()
	}
	for _, runner := range down {
		if err := runner.begin(ctx); err != nil {
			return err
		}
	}
	return nil
}

// submitSteadily hands in jobs of six tasks, each of 1 s on 2.3 cores, as on the sheet of the small site.
func submitSteadily(ctx context.Context, clients *clients) {
	const tasks, interval = 6, 50 * time.Millisecond
	plan := plan{work: time.Second, needs: resources{CPU: 2300, MemMb: 4000}}
	var group sync.WaitGroup
	defer group.Wait()
	for {
		job := clients.jobs.add(clients.world.newID(), plan)
		group.Go(func() { clients.submit(ctx, job, tasks) })
		if !sleep(ctx, interval) {
			return
		}
	}
}

// judgeFailed returns the accepted jobs that are shown as failed although none of their runs has ended so.
func judgeFailed(ctx context.Context, clients *clients) []string {
	var accepted []*job
	clients.jobs.each(func(job *job) {
		if !job.acceptedAt.IsZero() {
			accepted = append(accepted, job)
		}
	})
	var broken []string
	counts := map[string]int{}
	for _, job := range accepted {
		job.shown = clients.state(ctx, job.id)
		counts[job.shown]++
		if job.shown == "failed" && job.ends["failed"] == 0 {
			broken = append(broken, fmt.Sprintf("job %s is shown as failed; ends of its runs: %v", job.id, job.ends))
		}
	}
	clients.world.record.printf("%d jobs accepted, shown as %v", len(accepted), counts)
	return broken
}
