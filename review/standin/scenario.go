package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// pick returns a number below limit. It is safe for concurrent use.
func (world *world) pick(limit int) int {
	pickMutex.Lock()
	defer pickMutex.Unlock()
	return world.random.IntN(limit)
}

var pickMutex sync.Mutex

// newID returns the id of a job.
func (world *world) newID() string {
	pickMutex.Lock()
	defer pickMutex.Unlock()
	return fmt.Sprintf("%016x", world.random.Uint64())
}

// addRunners starts runners in racks of a size.
func (world *world) addRunners(ctx context.Context, jobs *ledger, count, rack int, capacity resources) error {
	for number := range count {
		runner := &runner{
			world: world, jobs: jobs, machine: fmt.Sprintf("m-%02d", number), zone: zones[number%len(zones)],
			address: fmt.Sprintf("%s.%d:%d", world.subnet, 101+number, runnerPort), capacity: capacity,
			labels: []string{"a", fmt.Sprintf("r1-%d", number/rack)},
		}
		world.runners = append(world.runners, runner)
		if err := runner.begin(ctx); err != nil {
			return err
		}
	}
	return nil
}

// prepare starts the system and its runners, and waits until it serves.
func (world *world) prepare(ctx context.Context, jobs *ledger, runners, rack int, capacity resources) (*clients, error) {
	if err := world.start(); err != nil {
		return nil, err
	}
	clients := newClients(world, jobs)
	if err := clients.configure(ctx); err != nil {
		return nil, err
	}
	if err := world.addRunners(ctx, jobs, runners, rack, capacity); err != nil {
		return nil, err
	}
	if !sleep(ctx, 4*time.Second) {
		return nil, ctx.Err()
	}
	for _, entry := range world.entries {
		if status, _ := clients.send(ctx, entry, readyPort, http.MethodGet, "/v1/readyz", nil); status != http.StatusOK {
			return nil, fmt.Errorf("%s is not ready", entry.name)
		}
	}
	return clients, nil
}
