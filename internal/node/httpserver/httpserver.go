// Package httpserver runs an HTTP server with the timeouts and limits that all listeners
// of this program share.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"endivepost/internal/node/guard"
)

// Server is an HTTP server and its listener.
type Server struct {
	server   *http.Server
	listener net.Listener
	closing  atomic.Bool
	// The mutex guards states, which has the state of each open connection.
	mutex  sync.Mutex
	states map[net.Conn]http.ConnState
}

// Connections are the numbers of open connections by state: New without a byte of a request
// yet, Active with a request that is being read or answered.
type Connections struct {
	New    int
	Active int
}

// There is no write timeout, because it would truncate long streams. The timeouts for reading
// a request and for idle connections are those of the connections' group, which may change,
// unlike those of http.Server.
const (
	noTimeout = -1
	// maxHeaderBytes is above what a group allows.
	maxHeaderBytes = 16 << 20
	// openWait is how long after the listener requests on open connections are still served:
	// they may be on the way.
	openWait = 250 * time.Millisecond
)

// Listen opens the host:port address and serves the handler on it in the background. If the
// server stops without Shutdown or Close, it calls failed from another goroutine: the
// address is then not served any more. The error is that of opening the address.
func Listen(address string, handler http.Handler, failed func(error)) (server *Server, err error) {
	return ListenIn(guard.New(guard.Settings{}).Callers, address, handler, failed)
}

// ListenIn does the same with connections that belong to the group.
func ListenIn(group *guard.Group, address string, handler http.Handler, failed func(error)) (server *Server, err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %q: %w", address, err)
	}
	server = &Server{
		listener: listener,
		states:   make(map[net.Conn]http.ConnState),
		server: &http.Server{
			Handler:           guard.Handler(handler),
			ReadHeaderTimeout: noTimeout,
			IdleTimeout:       noTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ConnContext:       guard.WithConn,
		},
	}
	server.server.ConnState = server.setState
	go func() {
		if err := server.server.Serve(group.Listen(listener)); !errors.Is(err, http.ErrServerClosed) && !server.closing.Load() {
			failed(fmt.Errorf("serve on %q: %w", address, err))
		}
	}()
	return server, nil
}

// Address returns the address that the server listens on.
func (server *Server) Address() string {
	return server.listener.Addr().String()
}

func (server *Server) setState(conn net.Conn, state http.ConnState) {
	guard.Track(conn, state)
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(server.states, conn)
		return
	}
	server.states[conn] = state
}

// Connections returns the numbers of open connections.
func (server *Server) Connections() (connections Connections) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for _, state := range server.states {
		switch state {
		case http.StateNew:
			connections.New++
		case http.StateActive:
			connections.Active++
		}
	}
	return connections
}

// Shutdown stops accepting connections and waits for the requests in flight, until the
// context is done. After openWait it closes idle connections and those on which no request
// has arrived, for which http.Server would wait. It neither closes nor waits for WebSocket
// connections.
func (server *Server) Shutdown(ctx context.Context) error {
	server.closing.Store(true)
	_ = server.listener.Close()
	select {
	case <-time.After(openWait):
	case <-ctx.Done():
	}
	server.closeUnused()
	return server.server.Shutdown(ctx)
}

func (server *Server) closeUnused() {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	for conn, state := range server.states {
		if state == http.StateNew {
			_ = conn.Close()
		}
	}
}

// Close closes the listener and all connections without waiting.
func (server *Server) Close() error {
	return server.server.Close()
}
