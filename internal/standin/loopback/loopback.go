// Package loopback hands out addresses for processes under test.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	// firstNetwork is the first of the networks 127.N.0.0/16 that are used, networks their number.
	firstNetwork = 16
	networks     = 200
	// hostsPerSubnet leaves out the addresses of the subnet itself and of its broadcasts.
	hostsPerSubnet = 250
)

// last is the number of the last address handed out.
var last atomic.Int64

// FreeAddress returns the host:port of a loopback address at which nothing listens. Each address
// has its own IP, so that no other listener and no outgoing connection of this process can take
// its port. The process ID in it separates processes that run at the same time. The error is
// that of listening there.
func FreeAddress() (address string, err error) {
	number := last.Add(1)
	host := fmt.Sprintf("127.%d.%d.%d", firstNetwork+os.Getpid()%networks, number/hostsPerSubnet, number%hostsPerSubnet+1)
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", fmt.Errorf("free address: %w", err)
	}
	if err := listener.Close(); err != nil {
		return "", fmt.Errorf("free address: %w", err)
	}
	return listener.Addr().String(), nil
}
