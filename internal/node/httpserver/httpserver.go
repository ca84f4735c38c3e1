// Package httpserver runs an HTTP server with the timeouts and limits that all listeners
// of this program share.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Server is an HTTP server and its listener.
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

// Listen opens the address and serves the handler on it in the background. It calls failed
// if the server stops without Shutdown or Close: the address is then not served any more.
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

// Shutdown stops accepting connections and waits for the requests in flight, until the
// context is done. It neither closes nor waits for WebSocket connections.
func (server *Server) Shutdown(ctx context.Context) error {
	return server.server.Shutdown(ctx)
}

// Close closes the listener and all connections without waiting.
func (server *Server) Close() error {
	return server.server.Close()
}
