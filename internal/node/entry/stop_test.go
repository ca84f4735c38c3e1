package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"endivepost/internal/node/entry"
	"endivepost/internal/node/sidecar"
	"endivepost/internal/node/telemetry"
	"endivepost/internal/policy/fixed"
	"endivepost/internal/policy/latebinding"
	"endivepost/internal/policy/tiered"
	"endivepost/internal/standin/loopback"
	"endivepost/internal/standin/platform"
	"endivepost/internal/wire/message"
)

const (
	secret  = "a-shared-secret"
	key     = "desk-key"
	maxWait = 60 * time.Second
	// stopLimit is the entry's drain timeout.
	stopLimit = 40 * time.Second
)

// fleet is an entry with one sidecar, in this process and with sockets on loopback.
type fleet struct {
	address string
	// stop stops the entry as SIGTERM does, stopped is closed once it has returned.
	stop    context.CancelFunc
	stopped chan struct{}
}

// newFleet starts a fleet whose upstream is the handler, and waits until the entry is ready.
func newFleet(t *testing.T, upstream http.Handler) *fleet {
	t.Helper()
	served := httptest.NewServer(upstream)
	t.Cleanup(served.Close)
	t.Cleanup(served.CloseClientConnections)
	return newFleetAt(t, served.Listener.Addr().String())
}

// newFleetAt starts a fleet with the upstream at the address.
func newFleetAt(t *testing.T, upstream string) *fleet {
	t.Helper()
	started := &fleet{address: freeAddress(t), stopped: make(chan struct{})}
	sidecarAddress := freeAddress(t)
	document := fmt.Sprintf(`{"version": 1, "classes": [{"name": "fetch", "tier": 1, "service": "files", "whole-answer": "20s"},
			{"name": "post", "tier": 1, "service": "files", "whole-answer": "20s", "non-idempotent": true}],
		"accounts": [{"name": "desk", "key-sha256": "%x", "default-class": "fetch"}], "upstreams": [{"name": "files-1", "service": "files"}]}`,
		sha256.Sum256([]byte(key)))
	vms := fmt.Sprintf(`[{"name": "files-1", "address": %q, "role": "sidecar", "domain": "a"}]`, sidecarAddress)
	published := httptest.NewServer(platform.New([]byte(document), []byte(vms), 1000).Handler())
	t.Cleanup(published.Close)
	t.Cleanup(published.CloseClientConnections)
	go runSidecar(t, sidecarAddress, upstream)
	started.runEntry(t, published.URL)
	started.awaitReady(t)
	return started
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func newTelemetry(t *testing.T, process string) *telemetry.Telemetry {
	t.Helper()
	observe := telemetry.New(io.Discard, process, 0)
	t.Cleanup(observe.Close)
	return observe
}

func runSidecar(t *testing.T, address, upstream string) {
	t.Helper()
	settings := sidecar.Settings{
		Name: "files-1", Listen: address, Upstream: upstream, Secret: secret, Boot: 7,
		Order: tiered.New[message.RequestID](tiered.Floor{}), Limit: fixed.Limit(8), KeyCapacity: 100,
		HeartbeatInterval: time.Second, HeartbeatTimeout: 3500 * time.Millisecond,
		FirstByteTimeout: maxWait, StallTimeout: maxWait, DrainTimeout: time.Second,
	}
	if err := sidecar.New(settings, newTelemetry(t, settings.Name)).Run(t.Context()); err != nil {
		t.Error(err)
	}
}

func (fleet *fleet) runEntry(t *testing.T, published string) {
	t.Helper()
	settings := entry.Settings{
		Name: "entry-1", Domain: "a", Listen: fleet.address, Admin: "127.0.0.1:0", Platform: published, Secret: secret, Boot: 8,
		Placement: latebinding.New(2), Queue: tiered.New[message.RequestID](tiered.Floor{}), QueueCapacity: 100, SubsetSize: 4, WatchersPerDomain: 2,
		HeartbeatInterval: time.Second, HeartbeatTimeout: 3500 * time.Millisecond, ListInterval: time.Second, DrainTimeout: stopLimit,
	}
	running := entry.New(settings, newTelemetry(t, settings.Name))
	ctx, stop := context.WithCancel(t.Context())
	fleet.stop = stop
	go func() {
		defer close(fleet.stopped)
		if err := running.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-fleet.stopped
	})
}

func (fleet *fleet) awaitReady(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(maxWait); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + fleet.address + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("the entry is not ready")
}

// dial opens a connection of a caller with the given size of its receive buffer.
func (fleet *fleet) dial(t *testing.T, receiveBuffer int) net.Conn {
	t.Helper()
	dialer := net.Dialer{Timeout: maxWait, Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	conn, err := dialer.Dial("tcp", fleet.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(maxWait)); err != nil {
		t.Fatal(err)
	}
	return conn
}

func (fleet *fleet) writeHead(t *testing.T, conn io.Writer, length int, header string) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "POST /services/files/report HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n%s\r\n",
		fleet.address, key, length, header)
	if err != nil {
		t.Error(err)
	}
}

// TestStopCutsRequestThatArrives guards against a stopping entry that closes the connection
// of a request whose body still arrives, without an answer.
func TestStopCutsRequestThatArrives(t *testing.T) {
	t.Parallel()
	const rest = 8 * time.Second
	running := newFleet(t, http.NotFoundHandler())
	conn := running.dial(t, 1<<16)
	body := strings.Repeat("x", 100)
	running.writeHead(t, conn, len(body), "Expect: 100-continue\r\n")
	reader := bufio.NewReader(conn)
	if line, err := reader.ReadString('\n'); err != nil || !strings.Contains(line, "100 Continue") {
		t.Fatalf("got %q and error %v, want the entry to ask for the body", line, err)
	}
	fmt.Fprint(conn, body[:50])
	running.stop()
	time.Sleep(rest)
	fmt.Fprint(conn, body[50:])
	_, _ = reader.ReadString('\n')
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no answer to a request whose body arrived %v after the stop began: %v", rest, err)
	}
	defer response.Body.Close()
	if got := response.Header.Get("Endivepost-Outcome"); response.StatusCode != http.StatusServiceUnavailable || got != "not-run" {
		t.Errorf("got status %d and outcome %q, want %d and not-run", response.StatusCode, got, http.StatusServiceUnavailable)
	}
}

// readSlowly reads an answer at the given rate and returns the length of its body.
func readSlowly(conn io.Reader, bytesPerSecond int) (length int64, err error) {
	const readsPerSecond = 50
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d: %s", response.StatusCode, response.Header.Get("Endivepost-Reason"))
	}
	for {
		count, err := io.CopyN(io.Discard, response.Body, int64(bytesPerSecond)/readsPerSecond)
		length += count
		if errors.Is(err, io.EOF) {
			return length, nil
		}
		if err != nil {
			return length, err
		}
		time.Sleep(time.Second / readsPerSecond)
	}
}

// TestStopCutsAnswerOfSlowReader guards against a stopping entry that exits while the rest of
// a complete answer is still on its way to a caller that reads slowly.
func TestStopCutsAnswerOfSlowReader(t *testing.T) {
	t.Parallel()
	const size, rate = 20 << 20, 2 << 20
	answered := make(chan struct{})
	running := newFleet(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write(bytes.Repeat([]byte("x"), size))
		close(answered)
	}))
	conn := running.dial(t, 1<<16)
	running.writeHead(t, conn, 0, "")
	<-answered
	time.AfterFunc(time.Second, running.stop)
	length, err := readSlowly(conn, rate)
	if err != nil || length != size {
		t.Errorf("got %d bytes of the answer and error %v, want %d bytes", length, err, size)
	}
}

// TestStopCutsKeptConnections guards against a stopping entry that closes a kept connection in
// use without telling its caller first: a request that is on its way then gets no answer.
func TestStopCutsKeptConnections(t *testing.T) {
	t.Parallel()
	const callers = 40
	running := newFleet(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(10 * time.Millisecond) }))
	var ended sync.WaitGroup
	for range callers {
		conn := running.dial(t, 1<<16)
		ended.Go(func() { running.callUntilClosed(t, conn) })
	}
	time.Sleep(time.Second)
	running.stop()
	ended.Wait()
}

// callUntilClosed sends requests on a connection until an answer says that it is closed.
func (fleet *fleet) callUntilClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	for reader := bufio.NewReader(conn); ; {
		fleet.writeHead(t, conn, 0, "")
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Errorf("no answer to a request on a kept connection: %v", err)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.Close {
			return
		}
	}
}
