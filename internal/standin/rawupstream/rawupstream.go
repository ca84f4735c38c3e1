// Package rawupstream is a stand-in for an upstream in trouble: it sends given bytes as its
// response, at a given point of the request, and then ends the connection in a given way.
package rawupstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// Upstream is a running stand-in.
type Upstream struct {
	listener net.Listener
	respond  func(request *http.Request) Response
	received atomic.Int64
}

// Response is what the stand-in sends to one request, and how it goes on.
type Response struct {
	// Text is sent once the head of the request and the first BodyBytes of its body have come.
	Text      string
	BodyBytes int64
	// Pause is the time between Text and Ending.
	Pause  time.Duration
	Ending Ending
}

// Ending is what the stand-in does after a response.
type Ending uint8

// The endings of a response.
const (
	// Close reads the rest of the request and closes the connection.
	Close Ending = iota
	// Reset resets the connection. The rest of the request is not read.
	Reset
	// Abandon closes the connection, as the end of a process does. The rest of the request is
	// not read.
	Abandon
	// Finish ends the response before the pause and then reads the rest of the request.
	Finish
	// Next reads the rest of the request and serves the next one on the connection.
	Next
)

// receiveBufferBytes is small, so that a long request is still being written when the response
// comes.
const receiveBufferBytes = 4 << 10

// New returns a stand-in that listens on a loopback address. It calls respond for each request,
// whose body may be read up to its end only by the stand-in itself.
func New(respond func(request *http.Request) Response) (upstream *Upstream, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("stand-in for an upstream: %w", err)
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if err := limitReceiveBuffer(listener); err != nil {
		return nil, err
	}
	upstream = &Upstream{listener: listener, respond: respond}
	go upstream.accept()
	return upstream, nil
}

// limitReceiveBuffer bounds what the kernel holds of a request that is not read. Connections
// inherit the bound.
func limitReceiveBuffer(listener net.Listener) error {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return syscall.ENOTSOCK
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(descriptor uintptr) {
		set = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
	if err != nil {
		return err
	}
	return set
}

// Address returns the host:port at which the stand-in listens.
func (upstream *Upstream) Address() string { return upstream.listener.Addr().String() }

// Received returns the number of requests of which the head has come.
func (upstream *Upstream) Received() int { return int(upstream.received.Load()) }

// Close stops the stand-in from accepting connections.
func (upstream *Upstream) Close() error { return upstream.listener.Close() }

func (upstream *Upstream) accept() {
	for {
		conn, err := upstream.listener.Accept()
		if err != nil {
			return
		}
		go upstream.serve(conn)
	}
}

// serve serves the requests on a connection until a response ends it.
func (upstream *Upstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	requests := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		upstream.received.Add(1)
		response := upstream.respond(request)
		if !send(conn, request, response) {
			return
		}
	}
}

// send sends the response and returns whether the connection may be read for another request.
func send(conn net.Conn, request *http.Request, response Response) bool {
	_, _ = io.CopyN(io.Discard, request.Body, response.BodyBytes)
	_, _ = io.WriteString(conn, response.Text)
	socket, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	if response.Ending == Finish {
		_ = socket.CloseWrite()
	}
	time.Sleep(response.Pause)
	switch response.Ending {
	case Reset:
		_ = socket.SetLinger(0)
		return false
	case Abandon:
		return false
	}
	_, err := io.Copy(io.Discard, request.Body)
	return err == nil && response.Ending == Next
}
