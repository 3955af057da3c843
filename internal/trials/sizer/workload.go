package sizer

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

// rackSize is the number of workers in an emulated rack.
const rackSize = 8

// configure applies an inventory with workers of Couva's size.
func (system *system) configure(workers int) error {
	document := scheduler.Configuration{
		DataCentres: []scheduler.DataCentre{{Name: dataCentre}, {Name: "chaguanas"}, {Name: "claxton-bay"}},
		Teams:       []scheduler.Team{{Name: "cutting", Quota: scheduler.Resources{MilliCores: 1e9, MemoryBytes: 1e17}}},
		Services:    []scheduler.Service{{Name: serviceName, Class: scheduler.ClassLatencyCritical, Team: "cutting"}},
	}
	for number := range workers {
		rack := fmt.Sprintf("rack-%d", number/rackSize)
		if number%rackSize == 0 {
			document.Racks = append(document.Racks, scheduler.Rack{Name: rack, DataCentre: dataCentre})
		}
		document.Workers = append(document.Workers, scheduler.Worker{
			Name: workerName(number), DataCentre: dataCentre, Rack: rack,
			Capacity: scheduler.Resources{MilliCores: 32_000, MemoryBytes: 125e9},
		})
	}
	path, err := system.writeFile("configuration.json", map[string]any{"revision": 0, "document": document})
	if err != nil {
		return err
	}
	_, err = system.cli("config", "apply", path, "--operator", "sizer")
	return err
}

func (system *system) writeFile(name string, content any) (string, error) {
	data, err := json.Marshal(content)
	if err != nil {
		return "", Error.Wrap(err)
	}
	path := filepath.Join(system.folder, name)
	return path, Error.Wrap(os.WriteFile(path, data, 0o600))
}

// fill starts long tasks and waits until they run. A worker has room for 32 of them.
func (system *system) fill(ctx context.Context, platform *platform, tasks int) error {
	for left := tasks; left > 0; left -= largestJob {
		if err := system.submit(min(left, largestJob), 1000, 1e9, longRunTime); err != nil {
			return err
		}
	}
	if err := until(ctx, func() bool { return platform.running.Load() == int64(tasks) }); err != nil {
		return Error.New("%d of %d tasks run: %v", platform.running.Load(), tasks, err)
	}
	return nil
}

// submit submits a job. A rejected job is an error.
func (system *system) submit(tasks int, milliCores, memoryBytes int64, runTime string) error {
	system.jobs++
	path, err := system.writeFile("job.json", map[string]any{
		"id": fmt.Sprintf("load-%d", system.jobs), "team": "cutting", "class": scheduler.ClassBatch, "kind": "pattern-scaling",
		"tasks": tasks, "request": scheduler.Resources{MilliCores: milliCores, MemoryBytes: memoryBytes}, "runTime": runTime,
	})
	if err != nil {
		return err
	}
	_, err = system.cli("job", "submit", path)
	return err
}

// submitEachSecond submits short tasks until ctx ends. A job that is refused shows in the rate of ended
// tasks.
func (system *system) submitEachSecond(ctx context.Context, tasks int) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		_ = system.submit(tasks, 100, 1e8, shortRunTime)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
