package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Proxy is the path from one machine to a server. While it is cut, it passes nothing on in
// either direction and closes nothing.
type Proxy struct {
	target string
	cut    atomic.Bool
	mutex  sync.Mutex
	conns  []net.Conn
}

// NewProxy returns the proxy that listens on the address.
func NewProxy(address, target string) *Proxy {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("proxy: %v", err)
	}
	proxy := &Proxy{target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy.pass(conn)
		}
	}()
	return proxy
}

func (proxy *Proxy) pass(conn net.Conn) {
	proxy.mutex.Lock()
	proxy.conns = append(proxy.conns, conn)
	proxy.mutex.Unlock()
	if proxy.cut.Load() {
		return
	}
	server, err := net.Dial("tcp", proxy.target)
	if err != nil {
		_ = conn.Close()
		return
	}
	go proxy.copy(server, conn)
	proxy.copy(conn, server)
}

// copy passes bytes on until the path is cut. What is sent meanwhile is lost.
func (proxy *Proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		if proxy.cut.Load() {
			return
		}
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			_ = to.Close()
			return
		}
	}
}

// Cut cuts the path.
func (proxy *Proxy) Cut() { proxy.cut.Store(true) }

// Heal ends the cut. The connections from before are reset.
func (proxy *Proxy) Heal() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	proxy.cut.Store(false)
	for _, conn := range proxy.conns {
		reset(conn)
	}
	proxy.conns = nil
}

// reset closes the connection with a reset.
func reset(conn net.Conn) {
	if socket, ok := conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}
