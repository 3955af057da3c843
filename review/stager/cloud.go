package stager

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// portCloud is the port of the platform of the machines, and upkeepTime how long a machine is down for its upkeep.
const (
	portCloud  = 8169
	upkeepTime = 2 * time.Second
)

// Cloud is a stand-in for the platform of the machines, as far as upkeep needs it.
type Cloud struct {
	recorder *Recorder
	server   *http.Server

	mutex    sync.Mutex
	machines map[string]*machine
}

// machine is the state of a machine. label is the kind of its runner.
type machine struct {
	runner *Runner
	label  string
	token  uint64
	down   bool
	// waves holds the waves whose upkeep the machine has begun.
	waves map[uint64]bool
}

// StartCloud starts the platform and enters its address into the settings of a domain that hasn't been started.
func StartCloud(domain *Domain) (*Cloud, error) {
	domain.CloudAddress = fmt.Sprintf("%s:%d", domain.Address(90), portCloud)
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", domain.CloudAddress)
	if err != nil {
		return nil, err
	}
	cloud := &Cloud{recorder: domain.recorder, machines: map[string]*machine{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/machine-upkeep", cloud.upkeep)
	cloud.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = cloud.server.Serve(listener) }() // It ends with Close.
	return cloud, nil
}

// Add adds the machine of a runner.
func (cloud *Cloud) Add(runner *Runner, label string) {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	cloud.machines[runner.Machine] = &machine{runner: runner, label: label, waves: map[uint64]bool{}}
}

// Close ends the platform.
func (cloud *Cloud) Close() { _ = cloud.server.Close() }

// upkeep handles the order for the upkeep of a machine.
func (cloud *Cloud) upkeep(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Machine string `json:"machine"`
		Wave    uint64 `json:"wave"`
	}
	token, err := strconv.ParseUint(request.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(request.Body).Decode(&order) != nil {
		http.Error(writer, "the order can't be read", http.StatusBadRequest)
		return
	}
	status, reason := cloud.begin(order.Machine, order.Wave, token)
	cloud.recorder.Write("upkeep of %s in wave %d ordered by %s with token %d -> %d %s", order.Machine, order.Wave,
		request.Header.Get("Lease-Holder"), token, status, reason)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(map[string]string{"reason": reason}) // Whoever has left repeats its order.
}

// begin ends what runs on a machine and starts it again after its upkeep.
func (cloud *Cloud) begin(name string, wave, token uint64) (status int, reason string) {
	cloud.mutex.Lock()
	defer cloud.mutex.Unlock()
	machine := cloud.machines[name]
	switch {
	case machine == nil:
		return http.StatusBadRequest, ""
	case token < machine.token:
		return http.StatusConflict, "fence"
	}
	machine.token = token
	switch {
	case machine.waves[wave]:
		return http.StatusOK, ""
	case machine.down:
		return http.StatusConflict, "busy"
	}
	machine.down, machine.waves[wave] = true, true
	machine.runner.Crash()
	time.AfterFunc(upkeepTime, func() {
		if err := machine.runner.Boot(machine.label); err != nil {
			cloud.recorder.Write("machine %s doesn't start: %v", name, err)
		}
		cloud.mutex.Lock()
		defer cloud.mutex.Unlock()
		machine.down = false
	})
	return http.StatusOK, ""
}
