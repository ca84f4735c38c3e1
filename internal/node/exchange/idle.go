package exchange

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// idleTimeoutMargin is how long before the upstream closes an idle connection we stop
// reusing it.
const idleTimeoutMargin = 600 * time.Millisecond

func (client *Client) takeIdle(address string) *connection {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	pooled := client.idle[address]
	if len(pooled) == 0 {
		return nil
	}
	newest := pooled[len(pooled)-1]
	client.idle[address] = pooled[:len(pooled)-1]
	return newest
}

func (client *Client) putIdle(address string, pooled *connection) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if len(client.idle[address]) >= client.settings.MaxIdle {
		pooled.close()
		return
	}
	client.idle[address] = append(client.idle[address], pooled)
}

// makeRoom closes an idle connection if no more may be opened.
func (client *Client) makeRoom() {
	if client.settings.MaxOpen <= 0 || client.open.Load() < int64(client.settings.MaxOpen) {
		return
	}
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for address, pooled := range client.idle {
		if len(pooled) > 0 {
			pooled[0].close()
			client.idle[address] = pooled[1:]
			return
		}
	}
}

// Drop closes the idle connections to the address. The next request has to open a
// new one, and so detects an unreachable upstream before it is sent.
func (client *Client) Drop(address string) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for _, pooled := range client.idle[address] {
		pooled.close()
	}
	delete(client.idle, address)
}

// dropIfReset closes the idle connections to the address if the error is a reset: they may be
// lost too, without a sign of it, and each would cost another request.
func (client *Client) dropIfReset(address string, err error) {
	if errors.Is(err, syscall.ECONNRESET) {
		client.Drop(address)
	}
}

// Prune closes the idle connections that are too old to be reused.
func (client *Client) Prune(now time.Time) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for address, connections := range client.idle {
		var kept []*connection
		for _, pooled := range connections {
			if now.Before(pooled.usableUntil) {
				kept = append(kept, pooled)
				continue
			}
			pooled.close()
		}
		if len(kept) == 0 {
			delete(client.idle, address)
			continue
		}
		client.idle[address] = kept
	}
}

// keepAlive returns how long the connection may stay idle before it is reused: the time
// in the response's Keep-Alive header less idleTimeoutMargin, or the default without
// one. It returns false if the connection must not be reused.
func keepAlive(response *http.Response, defaultTimeout time.Duration) (time.Duration, bool) {
	if response.Close {
		return 0, false
	}
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return time.Duration(seconds)*time.Second - idleTimeoutMargin, seconds > 0
		}
	}
	return defaultTimeout, true
}
