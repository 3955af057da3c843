package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// The queue that the cases use.
const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
	// Service is the name of the runners' service.
	Service = "sizing-desk"
	// clientDeadline is how long clients wait for a response.
	clientDeadline = 3 * time.Second
	// operatorWait is how long the operator waits for a response before it moves on to another node.
	operatorWait = time.Second
	retryPause   = 200 * time.Millisecond
)

// Step is one step of a job.
type Step struct {
	Count         int  `json:"count"`
	CPU           int  `json:"cpu"`
	MemMb         int  `json:"memMb"`
	EstimateMs    int  `json:"estimateMs,omitempty"`
	Checkpointing bool `json:"checkpointing,omitempty"`
	LongRunning   bool `json:"longRunning,omitempty"`
	Gang          bool `json:"gang,omitempty"`
	// AntiAffinity is the maximum number of tasks of the step on one runner.
	AntiAffinity int `json:"antiAffinity,omitempty"`
	// Requirements is a label that the runner must have.
	Requirements string `json:"requirements,omitempty"`
}

// Job is a job as clients hand it in.
type Job struct {
	Spec   string `json:"spec"`
	Phases []Step `json:"phases"`
	// Repetitions and StartMs are set for a job that is due at a time.
	Repetitions int   `json:"repetitions,omitempty"`
	StartMs     int64 `json:"startMs,omitempty"`
	IntervalMs  int64 `json:"intervalMs,omitempty"`
}

// Configuration is a configuration with one queue.
type Configuration struct {
	Version uint64
	// Route is the name of the queue, at the host and prefix that the clients use.
	Route       string
	MaxAttempts int
}

func (configuration Configuration) body() []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":%q,"host":%q,"pathPrefix":%q,"kind":"unsafe",`+
		`"timeoutMs":3000,"targetLatencyMs":2500,"priority":0,"service":%q,"maxAttempts":%d,"slowdownFactor":3}],`+
		`"services":[{"name":%q,"healthPath":"/healthz","maxConnections":64,"protocol":"h1","tls":false,`+
		`"enforcesCapacity":true,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,`+
		`"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, configuration.Version, configuration.Route, queueHost, queuePrefix,
		Service, configuration.MaxAttempts, Service)
}

// Configure sends the first configuration until it is acknowledged. Tasks may fail maxAttempts times.
func (deployment *Deployment) Configure(maxAttempts int, limit time.Duration) error {
	return deployment.Replace(Configuration{Version: 7, Route: "r-3hwrr6x", MaxAttempts: maxAttempts}, limit)
}

// Replace sends a configuration until it is acknowledged.
func (deployment *Deployment) Replace(configuration Configuration, limit time.Duration) error {
	client := &http.Client{Timeout: operatorWait}
	controls := deployment.Controls()
	for attempt, end := 0, time.Now().Add(limit); time.Now().Before(end); attempt++ {
		response, err := post(client, controls[attempt%len(controls)], "/v1/config/replace", configuration.body())
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				deployment.recorder.Printf("operator: configuration %d acknowledged: %s", configuration.Version, configuration.body())
				return nil
			}
		}
		time.Sleep(retryPause)
	}
	return fmt.Errorf("the configuration was not acknowledged")
}

// call sends one request of a client to an entry machine. status is 0 if there was no response.
func (deployment *Deployment) call(attempt int, method, job string, body []byte) (status int, content []byte) {
	entry := deployment.Entries[attempt%len(deployment.Entries)]
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+entry.FrontendAddress()+queuePrefix+job, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", contentType)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(clientDeadline.Milliseconds(), 10))
	client := &http.Client{Timeout: clientDeadline, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		deployment.recorder.Printf("client: %s %s at %s: no response: %v", method, job, entry.Name, err)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	content, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	deployment.recorder.Printf("client: %s %s at %s: %d %s", method, job, entry.Name, response.StatusCode, bytes.TrimSpace(content))
	return response.StatusCode, content
}

// Submit hands a job in until it is accepted.
func (deployment *Deployment) Submit(job, spec string, limit time.Duration, steps ...Step) error {
	return deployment.SubmitJob(job, limit, Job{Spec: spec, Phases: steps})
}

// SubmitJob hands a job in until it is accepted.
func (deployment *Deployment) SubmitJob(job string, limit time.Duration, content Job) error {
	body, err := json.Marshal(content)
	if err != nil {
		return err
	}
	for attempt, end := 0, time.Now().Add(limit); time.Now().Before(end); attempt++ {
		if status, _ := deployment.call(attempt, http.MethodPost, job, body); status == http.StatusOK {
			return nil
		}
		time.Sleep(retryPause)
	}
	return fmt.Errorf("job %s was not accepted", job)
}

// State returns the state of a job, empty if no entry machine tells it.
func (deployment *Deployment) State(job string) string {
	for attempt := range deployment.Entries {
		status, content := deployment.call(attempt, http.MethodGet, job, nil)
		if status == http.StatusOK {
			var body struct {
				State string `json:"state"`
			}
			if json.Unmarshal(content, &body) == nil {
				return body.State
			}
		}
	}
	return ""
}

// AwaitState waits until a job is shown in one of the states, and returns the last state seen.
func (deployment *Deployment) AwaitState(job string, limit time.Duration, states ...string) string {
	seen := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * retryPause) {
		seen = deployment.State(job)
		for _, state := range states {
			if seen == state {
				return seen
			}
		}
	}
	return seen
}
