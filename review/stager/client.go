package stager

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// clientTimeout is how long clients and the operator wait for a response.
const clientTimeout = 3 * time.Second

// Answer is the answer to a call. Its status is 0 if there was none.
type Answer struct {
	Status int
	Body   []byte
}

// Field returns a field of the body, or nil.
func (answer Answer) Field(name string) any {
	var fields map[string]any
	if json.Unmarshal(answer.Body, &fields) != nil {
		return nil
	}
	return fields[name]
}

// call sends a request once. It writes the request and the answer to the record.
func (domain *Domain) call(method, address, path, host string, body any) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	var content io.Reader
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body) // The bodies of this package can be encoded.
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, content)
	if err != nil {
		domain.recorder.Write("%s %s: %v", method, path, err)
		return Answer{}
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		domain.recorder.Write("%s %s%s %s -> no answer: %v", method, address, path, data, err)
		return Answer{}
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		domain.recorder.Write("%s %s%s %s -> %d, broken off", method, address, path, data, response.StatusCode)
		return Answer{}
	}
	domain.recorder.Write("%s %s%s %s -> %d %s", method, address, path, data, response.StatusCode, bytes.TrimSpace(read))
	return Answer{Status: response.StatusCode, Body: read}
}

// Route is a queue of the configuration.
type Route struct {
	Name, Host, Prefix, Service string
	MaxAttempts, Priority       int
}

// Configure sends a configuration to one core after the other until it is acknowledged.
func (domain *Domain) Configure(version int, guards bool, routes ...Route) error {
	var list []map[string]any
	services := map[string]bool{}
	for _, route := range routes {
		entry := map[string]any{
			"name": route.Name, "host": route.Host, "pathPrefix": route.Prefix, "kind": "unsafe", "timeoutMs": 3000,
			"targetLatencyMs": 1000, "priority": route.Priority, "service": route.Service,
			"maxAttempts": route.MaxAttempts, "slowdownFactor": 2.0,
		}
		list = append(list, entry)
		services[route.Service] = true
	}
	var pools []map[string]any
	for name := range services {
		pools = append(pools, map[string]any{
			"name": name, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "tls": false,
			"enforcesCapacity": guards, "standby": false,
		})
	}
	body := map[string]any{
		"version": version, "routes": list, "services": pools,
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	}
	for turn := range 200 {
		core := domain.Cores[turn%len(domain.Cores)]
		if domain.call(http.MethodPost, fmt.Sprintf("%s:%d", core.Address, portControl), "/v1/config/replace", "", body).Status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("version %d of the configuration was not acknowledged", version)
}

// AwaitReady waits until all entry VMs report that they are ready.
func (domain *Domain) AwaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, entry := range domain.Entries {
		for domain.call(http.MethodGet, fmt.Sprintf("%s:%d", entry.Address, portReadiness), "/v1/readyz", "", nil).Status != http.StatusOK {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", entry.Name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

// Submit hands a job in until there is a clear answer, and reports whether the job was accepted.
func (domain *Domain) Submit(route *Route, id string, job map[string]any) bool {
	for turn := range 8 {
		entry := domain.Entries[turn%len(domain.Entries)]
		answer := domain.call(http.MethodPost, fmt.Sprintf("%s:%d", entry.Address, portFrontend), route.Prefix+id, route.Host, job)
		switch {
		case answer.Status/100 == 2:
			return true
		case answer.Status != 0 && answer.Status != http.StatusBadGateway && answer.Status != http.StatusGatewayTimeout:
			return false
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// State asks an entry VM for the state of a job.
func (domain *Domain) State(route *Route, id string, entry int) Answer {
	vm := domain.Entries[entry%len(domain.Entries)]
	return domain.call(http.MethodGet, fmt.Sprintf("%s:%d", vm.Address, portFrontend), route.Prefix+id, route.Host, nil)
}

// Cancel cancels a job at an entry VM.
func (domain *Domain) Cancel(route *Route, id string, entry int) Answer {
	vm := domain.Entries[entry%len(domain.Entries)]
	return domain.call(http.MethodDelete, fmt.Sprintf("%s:%d", vm.Address, portFrontend), route.Prefix+id, route.Host, nil)
}

// Pending asks an entry VM for the number of jobs of a queue of which no task has started.
func (domain *Domain) Pending(route *Route, entry int) Answer {
	vm := domain.Entries[entry%len(domain.Entries)]
	return domain.call(http.MethodGet, fmt.Sprintf("%s:%d", vm.Address, portFrontend), route.Prefix, route.Host, nil)
}

// Control sends a call to the control interface of a core.
func (domain *Domain) Control(core int, method, path string, body any) Answer {
	vm := domain.Cores[core%len(domain.Cores)]
	return domain.call(method, fmt.Sprintf("%s:%d", vm.Address, portControl), path, "", body)
}
