// Package httpserver runs an HTTP server with the bounds that all our
// listeners share.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Server is a listening HTTP server.
type Server struct {
	server   *http.Server
	listener net.Listener
}

const (
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 30 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// Listen opens the address and serves the handler on it. Failed is told if the
// server ends by itself: then nobody is served at the address any more.
func Listen(address string, handler http.Handler, failed func(error)) (server *Server, err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %q: %w", address, err)
	}
	server = &Server{
		listener: listener,
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       bodyTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}
	go func() {
		if err := server.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed(fmt.Errorf("serve on %q: %w", address, err))
		}
	}()
	return server, nil
}

// Address returns the address that the server listens on.
func (server *Server) Address() string {
	return server.listener.Addr().String()
}

// Shutdown accepts no more connections and waits for the requests in progress.
// It does not wait for WebSocket connections: their owner must.
func (server *Server) Shutdown(ctx context.Context) error {
	return server.server.Shutdown(ctx)
}

// Close ends all connections at once.
func (server *Server) Close() error {
	return server.server.Close()
}
