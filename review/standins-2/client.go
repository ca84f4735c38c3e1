package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Answer is what a client saw of an answer.
type Answer struct {
	ID     string
	Status int
	Header http.Header
	Body   string
	// Events are the events of a stream that came whole, by their data.
	Events []string
	// Whole is true if the answer came to its end.
	Whole bool
	Err   error
	Took  time.Duration
	// HeadAfter is the time until the head of the answer came, 0 if none did.
	HeadAfter time.Duration
}

const clientKey = "n2ctnfzs989anu6wsjnb"

// publicPrefix begins the paths of public routes, on which clients send no key.
const publicPrefix = "/open/"

var lastID atomic.Int64

// newID returns an id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be2a00000+lastID.Add(1)) }

// send sends a request on a new connection and reads the whole answer. It calls each, if it is
// not nil, for each event of a stream.
func send(address, method, path, id, extra, body string, limit time.Duration, each func(event string)) Answer {
	return sendUntil(nil, address, method, path, id, extra, body, limit, each)
}

// sendWithKey does the same with another key.
func sendWithKey(address, apiKey, method, path, id, extra, body string, limit time.Duration) Answer {
	return sendUntil(nil, address, method, path, id, "Api-Key: "+apiKey+"\r\n"+extra, body, limit, nil)
}

// sendUntil does the same as send, and closes the connection once the client has abandoned the request.
func sendUntil(
	abandoned <-chan struct{}, address, method, path, id, extra, body string, limit time.Duration, each func(event string),
) (answer Answer) {
	started := time.Now()
	answer.ID = id
	defer func() { answer.Took = time.Since(started) }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		answer.Err = err
		return answer
	}
	defer conn.Close()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-abandoned:
			_ = conn.Close()
		case <-ended:
		}
	}()
	_ = conn.SetDeadline(started.Add(limit))
	if !strings.HasPrefix(extra, "Api-Key:") && !strings.HasPrefix(path, publicPrefix) {
		extra = "Api-Key: " + clientKey + "\r\n" + extra
	}
	length := ""
	if method != http.MethodGet {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, answer.Err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: site.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s%s\r\n%s",
		method, path, id, limit.Milliseconds(), length, extra, body)
	if answer.Err != nil {
		return answer
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		answer.Err = err
		return answer
	}
	answer.Status, answer.Header, answer.HeadAfter = response.StatusCode, response.Header, time.Since(started)
	if !strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		read, err := io.ReadAll(response.Body)
		answer.Body, answer.Err, answer.Whole = string(read), err, err == nil
		return answer
	}
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			answer.Err, answer.Whole = err, err == io.EOF
			return answer
		}
		if data, found := strings.CutPrefix(strings.TrimSpace(line), "data: "); found {
			answer.Events = append(answer.Events, data)
			if each != nil {
				each(data)
			}
		}
	}
}
