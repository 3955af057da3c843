package harness

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// heartbeat returns the next heartbeat, or false while the runner is down.
func (runner *Runner) heartbeat() (id string, body []byte, ok bool) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if !runner.up {
		return "", nil, false
	}
	runner.sequence++
	content := map[string]any{
		"service": Service, "address": runner.Address, "zone": runner.Zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]int{"cpu": capacityCPU, "memMb": capacityMemMb, "gpu": 0},
		"labels": runner.labels, "machine": runner.Machine, "born": runner.born.UnixMilli(),
		"clockMs": runner.clock().Milliseconds(), "sequence": runner.sequence,
	}
	if !runner.leavesAt.IsZero() {
		content["state"], content["drainRemainingMs"] = "draining", max(0, time.Until(runner.leavesAt).Milliseconds())
	}
	body, err := json.Marshal(content)
	return runner.id, body, err == nil
}

// sendHeartbeats sends heartbeats. After a failure it calls the next core machine.
func (runner *Runner) sendHeartbeats() {
	next := rand.IntN(len(runner.controls))
	for {
		wait := HeartbeatInterval
		if id, body, ok := runner.heartbeat(); ok {
			runner.mutex.Lock()
			address := runner.target
			runner.mutex.Unlock()
			if address == "" {
				next = (next + 1) % len(runner.controls)
				address = runner.controls[next]
			}
			var content struct {
				HeartbeatURL string `json:"heartbeatUrl"`
			}
			acknowledged := runner.call(address, "/v1/instances/"+id+"/heartbeat", body, &content)
			if content.HeartbeatURL != "" {
				address = content.HeartbeatURL
			}
			if !acknowledged {
				address, wait = "", retryPause
			}
			runner.mutex.Lock()
			runner.target = address
			runner.mutex.Unlock()
		}
		select {
		case <-runner.closed:
			return
		case <-runner.beatNow:
		case <-time.After(wait):
		}
	}
}

// deregister sends the notification to the core machine that gets the heartbeats, later to the others.
func (runner *Runner) deregister(position int) (acknowledged bool) {
	runner.mutex.Lock()
	address, id := runner.target, runner.id
	if position > 0 || address == "" {
		address = runner.controls[position%len(runner.controls)]
	}
	runner.mutex.Unlock()
	acknowledged = runner.call(address, "/v1/instances/"+id+"/deregister", []byte("{}"), nil)
	runner.recorder.Printf("runner %s: deregisters at %s, acknowledged: %v", id, address, acknowledged)
	return acknowledged
}

// dial opens a connection to a core machine. In a cut there is none, also if only one way is cut.
func (runner *Runner) dial(ctx context.Context, network, address string) (net.Conn, error) {
	runner.mutex.Lock()
	cut := runner.cutOff != nil
	runner.mutex.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// call sends a body to a core machine and decodes the response. It returns false if there is no response with status 200
// that reaches the runner. If one way is cut, what is sent on an open connection arrives, and its response is lost.
func (runner *Runner) call(address, path string, body []byte, content any) bool {
	runner.mutex.Lock()
	cut, delivered := runner.cutOff != nil, runner.cutOff == nil || runner.oneWay
	runner.mutex.Unlock()
	if !delivered {
		time.Sleep(heartbeatTimeout)
		return false
	}
	response, err := post(runner.client, address, path, body)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if cut {
		runner.recorder.Printf("runner %s: the response of %s with status %d is lost", runner.ID(), address, response.StatusCode)
		time.Sleep(heartbeatTimeout)
		runner.client.CloseIdleConnections()
		return false
	}
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	return content == nil || json.Unmarshal(data, content) == nil
}
