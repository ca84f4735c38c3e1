// Package exchange is an HTTP client for upstreams that never retries a request.
//
// The transport of net/http retries some requests by itself and does not report
// how far the first attempt came. Here Do writes a request to one connection once,
// and its error says whether the upstream may have run it.
package exchange

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Client sends requests and pools idle connections by upstream address.
type Client struct {
	settings Settings
	mutex    sync.Mutex
	idle     map[string][]*connection
	open     atomic.Int64
}

// Settings of a Client.
type Settings struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection may be reused if the upstream's
	// responses carry no Keep-Alive header.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections to one address.
	MaxIdle int
	// ReadBufferBytes is the size of a connection's read buffer, 0 for 16 KiB. It grows for a
	// longer head.
	ReadBufferBytes int
	// MaxOpen is the number of connections from which on an idle one is closed before
	// another is opened, 0 for no limit.
	MaxOpen int
}

// Errors of Do, by how far the request came.
var (
	// ErrNotConnected means that the connection could not be opened.
	ErrNotConnected = errors.New("cannot connect to the upstream")
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.New("the request was not sent")
	// ErrClosedIdle is the cause of an ErrNotSent if the upstream closed the idle connections to
	// it before they were too old.
	ErrClosedIdle = errors.New("the upstream closed its idle connections")
	// ErrNoAnswer means that at least part of the request may have been sent and no
	// response that belongs to it was received.
	ErrNoAnswer = errors.New("the request may have been sent and no response to it was received")
	// ErrOtherAnswer is the cause of an ErrNoAnswer if the upstream did respond, but to
	// another request as far as can be told.
	ErrOtherAnswer = errors.New("no response is identified as that to the request")
	// ErrRequestCutOff means that the connection broke before the request was written
	// completely. A response without a length or chunks may then lack its end.
	ErrRequestCutOff = errors.New("the connection broke while the request was being written")
)

// A connection breaks if keepAliveCount probes in a row are not acknowledged: the first
// after keepAliveIdle without any data, the others each keepAliveInterval.
const (
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 5
)

// lateTimeout is how late a timeout is noticed only by a process that did not run meanwhile.
const lateTimeout = 100 * time.Millisecond

// New returns a Client without open connections.
func New(settings Settings) *Client {
	return &Client{settings: settings, idle: make(map[string][]*connection)}
}

// Do sends the request and returns the response, with its body still to be read. The
// error wraps ErrNotConnected, ErrNotSent or ErrNoAnswer, that of reading the body may wrap
// ErrRequestCutOff. When the context is done the
// connection is closed, also while the body is read.
func (client *Client) Do(ctx context.Context, request Request) (answer *Answer, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("upstream %s: %w", request.Address, err)
		}
	}()
	for {
		conn, err := client.connect(ctx, request)
		if err != nil {
			return nil, err
		}
		answer, err := conn.exchange(ctx, request)
		if err == nil {
			answer.client = client
			answer.address = request.Address
			answer.Body = answerBody{ReadCloser: answer.Body, answer: answer}
			return answer, nil
		}
		client.dropIfReset(request.Address, err)
		conn.close()
		if !errors.Is(err, errStale) {
			return nil, err
		}
		if request.SameProcess {
			return nil, fmt.Errorf("%w: %w: %w", ErrNotSent, ErrClosedIdle, err)
		}
	}
}

// connect returns an idle connection that is still usable, or a new one.
func (client *Client) connect(ctx context.Context, request Request) (*connection, error) {
	closed := false
	for !request.Fresh {
		pooled := client.takeIdle(request.Address)
		if pooled == nil {
			break
		}
		now := time.Now()
		if pooled.isUsable(now) {
			return pooled, nil
		}
		closed = closed || !now.After(pooled.usableUntil)
		pooled.close()
	}
	if closed && request.SameProcess {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrClosedIdle)
	}
	return client.dial(ctx, request.Address)
}

// dial opens a connection. It breaks once its other end has not acknowledged keep-alive
// probes, which a process that is only busy or paused does not prevent. A timeout that this
// process noticed late is no evidence against the other end: it dials again.
func (client *Client) dial(ctx context.Context, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: client.settings.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	client.makeRoom()
	for {
		started := time.Now()
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			client.open.Add(1)
			return newConnection(conn, client.settings, func() { client.open.Add(-1) }), nil
		}
		if ctx.Err() != nil || time.Since(started) < client.settings.DialTimeout+lateTimeout {
			return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
		}
	}
}

// Open returns the number of open connections.
func (client *Client) Open() int64 { return client.open.Load() }

// Probe opens a connection to the address and closes it. Its error wraps ErrNotConnected.
func (client *Client) Probe(ctx context.Context, address string) error {
	opened, err := client.dial(ctx, address)
	if err != nil {
		return err
	}
	opened.close()
	return nil
}
