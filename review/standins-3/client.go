package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// client sends requests to the entries as the platform's balancer would hand them out.
type client struct {
	transport *http.Transport
	mutex     sync.Mutex
	sent      int
}

func newClient() *client {
	dialer := net.Dialer{Timeout: time.Second}
	return &client{transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}
}

// call is one request of a client and its answer.
type call struct {
	id     string
	method string
	path   string
	header map[string]string
	body   string
	// patience is how long the client waits.
	patience time.Duration

	sentAt time.Time
	took   time.Duration
	// status is 0 without an answer in that time.
	status int
	seal   string
	text   string
	err    error
}

const hostName = "ficu95.example"

// do sends the request and waits for its answer.
func (client *client) do(to *entry, call *call) {
	ctx, cancel := context.WithTimeout(context.Background(), call.patience)
	defer cancel()
	call.sentAt = time.Now()
	defer func() { call.took = time.Since(call.sentAt) }()
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+to.front+call.path, strings.NewReader(call.body))
	if err != nil {
		call.err = err
		return
	}
	request.Host = hostName
	request.Header.Set("X-Attempt-Id", call.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(call.patience.Milliseconds(), 10))
	for name, value := range call.header {
		request.Header.Set(name, value)
	}
	response, err := client.transport.RoundTrip(request)
	if err != nil {
		call.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	call.status, call.seal, call.text, call.err = response.StatusCode, response.Header.Get("X-Server-Seal"), string(body), err
}

// next returns the entry for the next request, each in turn.
func (client *client) next(entries []*entry) *entry {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	client.sent++
	return entries[client.sent%len(entries)]
}

// every calls the function in a goroutine of its own at each interval for a time, and then waits
// for all of them.
func every(interval, length time.Duration, function func()) {
	var running sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		running.Go(function)
	}
	running.Wait()
}
