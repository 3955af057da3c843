package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	serviceName = "huvo11a"
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
	maxAttempts = 3
	// clientDeadline is how long clients wait for a response.
	clientDeadline = 3 * time.Second
)

// clients plays the clients of the queue and the operator.
type clients struct {
	world  *world
	jobs   *ledger
	client *http.Client
}

func newClients(world *world, jobs *ledger) *clients {
	return &clients{world: world, jobs: jobs, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 32}, Timeout: clientDeadline,
	}}
}

// send sends a request to a port of a process. The status is 0 if there was no response.
func (clients *clients) send(
	ctx context.Context, process *process, port int, method, path string, body any,
) (status int, content []byte) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	url := fmt.Sprintf("http://%s:%d%s", process.ip, port, path)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Content-Type", "application/json")
	if port == frontendPort {
		request.Host = queueHost
		request.Header.Set("Deadline-Ms", fmt.Sprint(clientDeadline.Milliseconds()))
	}
	response, err := clients.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	content, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, content
}

// configure sends the first configuration until it is acknowledged.
func (clients *clients) configure(ctx context.Context) error {
	configuration := map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-3hwrr6x", "host": queueHost, "pathPrefix": queuePrefix, "kind": "unsafe", "timeoutMs": 3000,
			"targetLatencyMs": 250, "priority": 0, "service": serviceName, "maxAttempts": maxAttempts, "slowdownFactor": 1.5,
		}},
		"services": []any{map[string]any{
			"name": serviceName, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "tls": false,
			"enforcesCapacity": true, "standby": false,
		}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	}
	for attempt := 0; ctx.Err() == nil; attempt++ {
		core := clients.world.cores[attempt%len(clients.world.cores)]
		status, _ := clients.send(ctx, core, controlPort, http.MethodPost, "/v1/config/replace", configuration)
		if status == http.StatusOK {
			clients.world.record.printf("configuration 7 acknowledged by %s", core.name)
			return nil
		}
		sleep(ctx, 200*time.Millisecond)
	}
	return fmt.Errorf("the first configuration was not acknowledged")
}

// entry returns an entry process at random.
func (clients *clients) entry() *process {
	entries := clients.world.entries
	return entries[clients.world.pick(len(entries))]
}

// submit hands a job in, and sends it again after no response, a 502 or a 504. It reports whether it was accepted.
func (clients *clients) submit(ctx context.Context, job *job, count int) bool {
	phase := map[string]any{
		"count": count, "cpu": job.plan.needs.CPU, "memMb": job.plan.needs.MemMb, "estimateMs": job.plan.work.Milliseconds(),
	}
	if job.plan.fills {
		phase["fillRatio"] = true
	}
	body := map[string]any{"spec": "work", "phases": []any{phase}}
	const attempts = 5
	for range attempts {
		entry := clients.entry()
		status, _ := clients.send(ctx, entry, frontendPort, http.MethodPost, queuePrefix+job.id, body)
		clients.world.record.printf("POST %s with %d tasks at %s: %d", job.id, count, entry.name, status)
		switch status {
		case http.StatusOK:
			clients.jobs.mutex.Lock()
			job.acceptedAt = time.Now()
			clients.jobs.mutex.Unlock()
			return true
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			continue
		}
		return false
	}
	return false
}

// state asks for the state of a job. It is empty if it was not told.
func (clients *clients) state(ctx context.Context, id string) string {
	status, content := clients.send(ctx, clients.entry(), frontendPort, http.MethodGet, queuePrefix+id, nil)
	var answer struct {
		State  string `json:"state"`
		Reason string `json:"reason"`
	}
	if status != http.StatusOK || json.Unmarshal(content, &answer) != nil {
		return ""
	}
	return answer.State
}

// pending asks an entry process for the number of jobs of which no task has started.
func (clients *clients) pending(ctx context.Context, entry *process) (count int, ok bool) {
	status, content := clients.send(ctx, entry, frontendPort, http.MethodGet, queuePrefix, nil)
	var answer struct {
		Pending *int `json:"pending"`
	}
	if status != http.StatusOK || json.Unmarshal(content, &answer) != nil || answer.Pending == nil {
		return 0, false
	}
	return *answer.Pending, true
}
