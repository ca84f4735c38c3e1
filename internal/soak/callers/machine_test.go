//go:build !race

package callers

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/event"
	"endivepost/internal/standin/loopback"
)

const (
	key      = "a-key"
	patience = 60 * time.Second
	// holdFor is how long the upstream keeps a request at the path of the workloads.
	holdFor = 2 * time.Second
)

var largeBody = bytes.Repeat([]byte("x"), maxBodyBytes)

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// startOfHead returns the start of a header section that both forms accept.
func startOfHead(number int) string {
	return fmt.Sprintf("POST /services/held/x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r-%d\r\nApi-Key: %s\r\nAuthorization: Bearer %s\r\n", number, key, key)
}

func headWithBody(number int) string {
	return startOfHead(number) + fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)
}

// repeat returns lines of at least the size together.
func repeat(line func(int) string, size int) string {
	var text strings.Builder
	for number := 0; text.Len() < size; number++ {
		text.WriteString(line(number))
	}
	return text.String()
}

func repeatTo(size int) string { return repeat(shortLine, size-size%4) }

// legalHead returns a header section of at most the limit.
func legalHead(number int, line func(int) string) string {
	start := startOfHead(number)
	return start + repeat(line, maxHeaderBytes-len(start)-64) + "\r\n"
}

// shortLine returns a line of four bytes. The names are different ones.
func shortLine(number int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	return string([]byte{letters[number%len(letters)], letters[number/len(letters)%len(letters)], ':', '\n'})
}

// oddLine returns lines that differ in size, white space, and folding.
func oddLine(number int) string {
	lines := []string{"a:\t \r\n", "x-%d: \x80\xff\r\n", "X-Prompt-Prefix: ,,%d\r\n", "Cookie: a=%d\r\n", "Y%d:" + strings.Repeat(" ", 40) + "\r\n", "B:\n"}
	line := lines[number%len(lines)]
	if strings.Contains(line, "%d") {
		return fmt.Sprintf(line, number)
	}
	return line
}

// machine is one entry, and its sidecar in that form, with the stand-ins they speak to.
type machine struct {
	callers, ready, peers, metrics string
	// ordinary is the start of an ordinary request.
	ordinary  string
	processes []*exec.Cmd
	// log gets the output of the processes, nil for nobody.
	log    *os.File
	exited atomic.Int32
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := loopback.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func (machine *machine) start(t *testing.T, arguments ...string) {
	t.Helper()
	program, err := exec.LookPath("endivepost")
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(program, arguments...)
	command.Env = append(os.Environ(), "ENDIVEPOST_SECRET=a-shared-secret", "GOMAXPROCS=2",
		fmt.Sprintf("ENDIVEPOST_MEMORY_MB=%d", memoryMB), fmt.Sprintf("ENDIVEPOST_MAX_FDS=%d", maxDescriptors))
	if machine.log != nil {
		command.Stdout = machine.log
	}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	machine.processes = append(machine.processes, command)
	done := make(chan struct{})
	go func() {
		_ = command.Wait()
		machine.exited.Add(1)
		close(done)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-done
	})
}

// newUpstream starts a plain service that answers at once, or later at the workloads' path.
func newUpstream(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		if strings.Contains(request.URL.Path, "held") || request.URL.Path == "/x" {
			time.Sleep(holdFor)
		}
		writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
		writer.Header().Set("X-Server-Seal", "seal")
		_, _ = io.WriteString(writer, "answer")
	}))
	server.Config.MaxHeaderBytes = 4 << 20
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startDirect starts an entry without sidecars.
func startDirect(t *testing.T) *machine {
	t.Helper()
	items := map[string]string{
		"op/config": fmt.Sprintf(`{"version":1,"routes":[{"name":"held","hostname":"h","prefix":"/services/","kind":"safe","timeout_ms":20000,
			"target_latency_ms":5000,"service":"held"}],"services":[{"name":"held"}],"tenants":[{"name":"a","api_keys":[%q]}],
			"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, key, maxHeaderBytes, maxBodyBytes),
		"servers/i-1": fmt.Sprintf(`{"service":"held","address":%q,"zone":"a","version":"v1","slots":1000,"state":"ready","sequence":1,"born":1}`, newUpstream(t)),
	}
	return startDirectWith(t, items, nil)
}

// startDirectWith starts an entry without sidecars, with the items in its store. It writes its log
// to the file, if there is one.
func startDirectWith(t *testing.T, items map[string]string, log *os.File) *machine {
	t.Helper()
	machine := &machine{
		callers: freeAddress(t), ready: freeAddress(t), peers: freeAddress(t), metrics: freeAddress(t), log: log,
		ordinary: "POST /services/now HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r\r\nApi-Key: " + key + "\r\n",
	}
	settings := filepath.Join(t.TempDir(), "settings.toml")
	text := fmt.Sprintf("node_name = \"e\"\nzone = \"a\"\n[listen]\nfront = %q\nready = %q\ncontrol = %q\n[platform]\naddress = %q\n"+
		"[limits]\nmemory_mb = %d\nmax_fds = %d\n", machine.callers, machine.ready, machine.peers, newStore(t, items), memoryMB, maxDescriptors)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, port, _ := net.SplitHostPort(machine.metrics)
	machine.start(t, "platform-entry", "--settings", settings, "--metrics-port", port)
	machine.awaitAnswer(t, machine.ordinary+"\r\n")
	return machine
}

// startWithSidecar starts an entry and a sidecar.
func startWithSidecar(t *testing.T) *machine {
	t.Helper()
	return startWithSidecars(t, service{name: "held", upstream: newUpstream(t)})
}

// service is a plain service with one upstream at the address.
type service struct{ name, upstream string }

// startWithSidecars starts an entry and a sidecar for each service. Ordinary requests are for the
// first.
func startWithSidecars(t *testing.T, services ...service) *machine {
	t.Helper()
	machine := &machine{
		callers: freeAddress(t), peers: freeAddress(t),
		ordinary: fmt.Sprintf("POST /services/%s/now HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n", services[0].name, key),
	}
	admin := freeAddress(t)
	published := document.Document{
		Version: 1, Accounts: []document.Account{{Name: "a", KeySHA256: fmt.Sprintf("%x", sha256.Sum256([]byte(key))), DefaultClass: services[0].name}},
	}
	members := []event.Member{{Name: "e", Address: admin, Role: "entry", Domain: "a"}}
	address := machine.peers
	for number, served := range services {
		name := fmt.Sprintf("i-%d", number+1)
		published.Upstreams = append(published.Upstreams, document.Upstream{Name: name, Service: served.name})
		published.Classes = append(published.Classes, document.Class{
			Name: served.name, Tier: 1, Service: served.name, WholeAnswer: document.Duration(5 * time.Second), GiveUpAfter: document.Duration(20 * time.Second),
		})
		members = append(members, event.Member{Name: name, Address: address, Role: "sidecar", Domain: "a"})
		address = freeAddress(t)
	}
	platform := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/v1/vms" {
			_ = json.NewEncoder(writer).Encode(members)
			return
		}
		if after, err := strconv.Atoi(request.URL.Query().Get("after")); err == nil && after > 0 {
			time.Sleep(time.Second)
			writer.WriteHeader(http.StatusNotModified)
			return
		}
		_ = json.NewEncoder(writer).Encode(published)
	}))
	t.Cleanup(platform.Close)
	machine.start(t, "entry", "--name", "e", "--listen", machine.callers, "--admin", admin, "--platform", platform.URL, "--trace-share", "0")
	for number, served := range services {
		machine.start(t, "sidecar", "--name", members[number+1].Name, "--listen", members[number+1].Address, "--upstream", served.upstream,
			"--fixed-limit", "64", "--trace-share", "0")
	}
	machine.awaitAnswer(t, machine.ordinary+"\r\n")
	return machine
}

// check runs the workload at the address and checks the processes.
func (machine *machine) check(t *testing.T, sent workload, address string) {
	t.Helper()
	most := make([]int, len(machine.processes))
	done := make(chan struct{})
	go func() {
		sent.run(address)
		close(done)
	}()
	for running := true; running; {
		for index, process := range machine.processes {
			files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process.Process.Pid))
			most[index] = max(most[index], len(files))
		}
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
	}
	machine.checkMemory(t)
	for index, process := range machine.processes {
		t.Logf("%s: descriptors %d", process.Args[1], most[index])
		if most[index] > maxDescriptors {
			t.Errorf("%s: %d descriptors, want at most %d", process.Args[1], most[index], maxDescriptors)
		}
	}
}

// checkMemory checks that the processes live, answer an ordinary request and were never above their
// memory.
func (machine *machine) checkMemory(t *testing.T) {
	t.Helper()
	if count := machine.exited.Load(); count > 0 {
		t.Fatalf("processes that ended: got %d, want 0", count)
	}
	machine.awaitAnswer(t, machine.ordinary+"\r\n")
	for _, process := range machine.processes {
		peak := peakMemory(t, process.Process.Pid)
		t.Logf("%s: peak memory %d MiB", process.Args[1], peak>>20)
		if peak > memoryMB<<20 {
			t.Errorf("%s: peak memory %d MiB, want at most %d", process.Args[1], peak>>20, memoryMB)
		}
	}
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func peakMemory(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, text, _ := strings.Cut(string(status), "VmHWM:")
	kilobytes, err := strconv.Atoi(strings.Fields(text)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}

// awaitAnswer sends the request until it is answered with status 200.
func (machine *machine) awaitAnswer(t *testing.T, request string) {
	t.Helper()
	last := "no connection"
	for limit := time.Now().Add(patience); time.Now().Before(limit); time.Sleep(50 * time.Millisecond) {
		status, err := machine.ask(request)
		if status == http.StatusOK {
			return
		}
		last = fmt.Sprintf("status %d, %v", status, err)
	}
	t.Fatalf("no answer within %s; last: %s", patience, last)
}

func (machine *machine) ask(request string) (status int, err error) {
	conn, err := net.DialTimeout("tcp", machine.callers, time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	go write(conn, request)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
