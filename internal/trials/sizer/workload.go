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

const workersPerRack = 8

// configure applies a configuration whose workers have the capacity of those in the data centre Couva.
func (system *system) configure(workers int) error {
	document := scheduler.Configuration{
		DataCentres: []scheduler.DataCentre{{Name: dataCentre}, {Name: "chaguanas"}, {Name: "claxton-bay"}},
		Teams:       []scheduler.Team{{Name: "cutting", Quota: scheduler.Resources{MilliCores: 1e9, MemoryBytes: 1e17}}},
		Services:    []scheduler.Service{{Name: serviceName, Class: scheduler.ClassLatencyCritical, Team: "cutting"}},
	}
	for number := range workers {
		rack := fmt.Sprintf("rack-%d", number/workersPerRack)
		if number%workersPerRack == 0 {
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
	_, err = system.runCLI("config", "apply", path, "--operator", "sizer")
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

// startLongTasks submits long tasks and waits until all of them run. A worker has capacity for 32 of them.
func (system *system) startLongTasks(ctx context.Context, platform *platform, tasks int) error {
	for left := tasks; left > 0; left -= maxJobTasks {
		if err := system.submit(min(left, maxJobTasks), 1000, 1e9, longRunTime); err != nil {
			return err
		}
	}
	if err := waitUntil(ctx, func() bool { return platform.runningTasks.Load() == int64(tasks) }); err != nil {
		return Error.New("only %d of %d tasks are running: %v", platform.runningTasks.Load(), tasks, err)
	}
	return nil
}

// submit submits a batch job of equal tasks and returns an error if it is rejected.
func (system *system) submit(tasks int, milliCores, memoryBytes int64, runTime string) error {
	system.submittedJobs++
	path, err := system.writeFile("job.json", map[string]any{
		"id": fmt.Sprintf("load-%d", system.submittedJobs), "team": "cutting", "class": scheduler.ClassBatch, "kind": "pattern-scaling",
		"tasks": tasks, "request": scheduler.Resources{MilliCores: milliCores, MemoryBytes: memoryBytes}, "runTime": runTime,
	})
	if err != nil {
		return err
	}
	_, err = system.runCLI("job", "submit", path)
	return err
}

// submitPeriodically submits a job of short tasks every second until ctx ends. It ignores rejected jobs: they lower the
// measured rate of ended tasks.
func (system *system) submitPeriodically(ctx context.Context, tasks int) {
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
