package sizer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/crocusplank/crocusplank/internal/basics/waiter"
	"github.com/crocusplank/crocusplank/internal/trials/emulator"
	"github.com/crocusplank/crocusplank/pkg/scheduler"
)

const (
	announceInterval = time.Second
	requestTimeout   = 2 * time.Second
	serviceName      = scheduler.ServiceName("charts")
)

// traffic counts the HTTP requests of one kind and their bytes, headers included, on the client's side.
type traffic struct {
	messages atomic.Int64
	failed   atomic.Int64
	sent     atomic.Int64
	received atomic.Int64
}

// countingConn is a net.Conn that counts the bytes read and written.
type countingConn struct {
	net.Conn
	traffic *traffic
}

func (countingConn countingConn) Read(data []byte) (int, error) {
	count, err := countingConn.Conn.Read(data)
	countingConn.traffic.received.Add(int64(count))
	return count, err
}

func (countingConn countingConn) Write(data []byte) (int, error) {
	count, err := countingConn.Conn.Write(data)
	countingConn.traffic.sent.Add(int64(count))
	return count, err
}

// newClient returns a client with its own connection pool, because each worker and each endpoint has connections of its
// own.
func newClient(counted *traffic) *http.Client {
	dialer := &net.Dialer{}
	return &http.Client{Timeout: requestTimeout, Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countingConn{Conn: conn, traffic: counted}, nil
		},
	}}
}

// platform emulates the workers and endpoints of one data centre.
type platform struct {
	gateways  []string
	mediaType string

	exchanges     traffic
	announcements traffic
	// usageReports and usageBytes count the usage reports in the exchanges and their size in CBOR.
	usageReports atomic.Int64
	usageBytes   atomic.Int64
	endedTasks   atomic.Int64
	// runningTasks is the number of running tasks on all workers.
	runningTasks atomic.Int64
	endpoints    int
}

// startWorkers starts count workers and distributes them over the gateways, like the platform's load balancer. Each
// starts after a random delay of up to a second, so that their exchanges are spread over time.
func (platform *platform) startWorkers(ctx context.Context, count int) {
	for number := range count {
		exchange := emulator.NewHTTPExchange(newClient(&platform.exchanges),
			"http://"+platform.gateways[number%len(platform.gateways)], platform.mediaType)
		worker := emulator.NewWorker(workerName(number), platform.countExchange(exchange))
		go func() {
			if waiter.Sleep(ctx, time.Duration(rand.Int64N(int64(time.Second)))) {
				worker.Run(ctx)
			}
		}()
	}
}

// countExchange wraps an exchange to count its messages, running and ended tasks, and usage reports.
func (platform *platform) countExchange(exchange emulator.Exchange) emulator.Exchange {
	last := 0
	return func(ctx context.Context, request *scheduler.SyncRequest) (*scheduler.SyncResponse, error) {
		platform.runningTasks.Add(int64(len(request.Running) - last))
		last = len(request.Running)
		platform.exchanges.messages.Add(1)
		platform.endedTasks.Add(int64(len(request.Ended)))
		for _, report := range request.Usage {
			data, err := cbor.Marshal(report)
			if err != nil {
				return nil, Error.Wrap(err)
			}
			platform.usageReports.Add(1)
			platform.usageBytes.Add(int64(len(data)))
		}
		answer, err := exchange(ctx, request)
		if err != nil {
			platform.exchanges.failed.Add(1)
		}
		return answer, err
	}
}

// addEndpoints starts endpoints until count of them run.
func (platform *platform) addEndpoints(ctx context.Context, count int) {
	for ; platform.endpoints < count; platform.endpoints++ {
		number := platform.endpoints
		announcement := scheduler.Announcement{
			Endpoint: scheduler.EndpointName(fmt.Sprintf("desk-%d", number)), Service: serviceName, DataCentre: dataCentre,
			Address: fmt.Sprintf("127.%d.%d.1:9000", 1+number/250, number%250), Incarnation: 1, Slots: 8, Connections: 64,
		}
		go platform.announce(ctx, announcement, platform.gateways[number%len(platform.gateways)])
	}
}

// announce sends an announcement at every announceInterval until ctx ends. No requests run, so the request counts in
// the announcement stay empty.
func (platform *platform) announce(ctx context.Context, announcement scheduler.Announcement, gateway string) {
	client := newClient(&platform.announcements)
	waiter.Sleep(ctx, time.Duration(rand.Int64N(int64(announceInterval))))
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		platform.announcements.messages.Add(1)
		if post(ctx, client, "http://"+gateway+"/v1/endpoints", announcement) != nil && ctx.Err() == nil {
			platform.announcements.failed.Add(1)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func post(ctx context.Context, client *http.Client, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return Error.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode >= http.StatusMultipleChoices {
		return Error.New("%s answered %s: %s", url, response.Status, text)
	}
	return Error.Wrap(err)
}
