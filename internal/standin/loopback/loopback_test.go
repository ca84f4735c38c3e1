package loopback_test

import (
	"net"
	"testing"

	"endivepost/internal/standin/loopback"
)

// TestFreeAddress guards against two listeners of one test that get the same address.
func TestFreeAddress(t *testing.T) {
	hosts := make(map[string]bool)
	for range 600 {
		address, err := loopback.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil || hosts[host] || !net.ParseIP(host).IsLoopback() {
			t.Fatalf("got address %q, error %v, want a loopback address with another IP than before", address, err)
		}
		hosts[host] = true
	}
}
