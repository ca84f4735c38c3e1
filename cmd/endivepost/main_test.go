package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"endivepost/internal/command/verbs"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"endivepost": func() { os.Exit(verbs.Run(os.Args, os.Stdout, os.Stderr)) },
		"call":       func() { os.Exit(call(os.Args[1:])) },
	})
}

// TestCases runs testdata/NAME/case.txtar, each with real processes on loopback.
func TestCases(t *testing.T) {
	files, err := filepath.Glob("testdata/*/case.txtar")
	if err != nil {
		t.Fatal(err)
	}
	runCases(t, files...)
}

// TestHangupCutsAnswers guards against an entry or a sidecar that SIGHUP ends at once.
func TestHangupCutsAnswers(t *testing.T) {
	runCases(t, "testdata/hangup/stop.txtar")
}

func runCases(t *testing.T, files ...string) {
	t.Helper()
	testscript.Run(t, testscript.Params{
		Files: files,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"ports": reservePorts, "expand": expandFiles, "await": awaitStatus, "signal": sendSignal,
			"await-text": awaitText, "await-state": awaitState, "new-key": newKey, "fleet": writeFleet, "same-events": compareEvents,
		},
	})
}

// call METHOD URL [-h NAME:VALUE]... [BODY] sends a request and prints the status,
// header, body and trailer of the response.
func call(arguments []string) int {
	method, url := arguments[0], arguments[1]
	rest := arguments[2:]
	header := http.Header{}
	for len(rest) > 1 && rest[0] == "-h" {
		name, value, _ := strings.Cut(rest[1], ":")
		header.Set(name, value)
		rest = rest[2:]
	}
	request, err := http.NewRequest(method, url, strings.NewReader(strings.Join(rest, " ")))
	if err != nil {
		return fail(err)
	}
	request.Header = header
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fail(err)
	}
	defer response.Body.Close()
	body := &bytes.Buffer{}
	_, err = io.Copy(body, response.Body)
	fmt.Println("status", response.StatusCode)
	response.Header.Write(os.Stdout)
	fmt.Println(body.String())
	response.Trailer.Write(os.Stdout)
	if err != nil {
		return fail(err)
	}
	return 0
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return 1
}

// lastAddress is the number of the last loopback address used. Each case has its own
// address, so that no other case and no outgoing connection takes a reserved port before
// its process listens on it.
var lastAddress atomic.Uint32

// reservePorts sets each variable NAME to an address with a free port, and NAME_PORT
// to the port.
func reservePorts(ts *testscript.TestScript, _ bool, names []string) {
	host := fmt.Sprintf("127.1.%d.1:0", lastAddress.Add(1))
	var listeners []net.Listener
	for _, name := range names {
		listener, err := net.Listen("tcp", host)
		ts.Check(err)
		listeners = append(listeners, listener)
		address := listener.Addr().String()
		_, port, err := net.SplitHostPort(address)
		ts.Check(err)
		ts.Setenv(name, address)
		ts.Setenv(name+"_PORT", port)
	}
	for _, listener := range listeners {
		ts.Check(listener.Close())
	}
}

// expandFiles replaces variables in the files.
func expandFiles(ts *testscript.TestScript, _ bool, files []string) {
	for _, file := range files {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

// awaitStatus polls a URL for at least 30 s until it answers with the status.
func awaitStatus(ts *testscript.TestScript, _ bool, arguments []string) {
	wanted, err := strconv.Atoi(arguments[1])
	ts.Check(err)
	for range 600 {
		response, err := http.Get(arguments[0])
		if err == nil {
			response.Body.Close()
			if response.StatusCode == wanted {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	ts.Fatalf("%s: timed out waiting for status %d", arguments[0], wanted)
}

// awaitText polls a URL for at least 60 s until its body contains the text.
func awaitText(ts *testscript.TestScript, _ bool, arguments []string) {
	last := ""
	for range 3000 {
		response, err := http.Get(arguments[0])
		if err == nil {
			body, _ := io.ReadAll(response.Body)
			response.Body.Close()
			last = string(body)
			if strings.Contains(last, arguments[1]) {
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	ts.Fatalf("%s: timed out waiting for %q, last body %q", arguments[0], arguments[1], last)
}

// awaitState waits until the entry's status lists the sidecar in the state. In the state
// up, the sidecar must also have version 1 of the class document.
func awaitState(ts *testscript.TestScript, _ bool, arguments []string) {
	text := fmt.Sprintf(`"name":%q,"domain":"a","state":%q`, arguments[0], arguments[1])
	if arguments[1] == "up" {
		text += `,"config-version":1`
	}
	awaitText(ts, false, []string{"http://" + ts.Getenv("ADMIN") + "/status", text})
}

// newKey sets a variable to a version 7 UUID.
func newKey(ts *testscript.TestScript, _ bool, arguments []string) {
	key, err := uuid.NewV7()
	ts.Check(err)
	ts.Setenv(arguments[0], key.String())
}

// compareEvents checks that two streamed responses have the same events.
func compareEvents(ts *testscript.TestScript, _ bool, files []string) {
	first, second := eventsOf(ts.ReadFile(files[0])), eventsOf(ts.ReadFile(files[1]))
	if len(first) == 0 || strings.Join(first, "\n") != strings.Join(second, "\n") {
		ts.Fatalf("streams differ or are empty: got %d and %d events", len(first), len(second))
	}
}

func eventsOf(text string) []string {
	var events []string
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "data:") {
			events = append(events, line)
		}
	}
	return events
}

// fleetDocument is the format of the class document of the fault cases. Its argument is
// the SHA-256 sum of the account's key.
const fleetDocument = `{"version": 1, "repeat-window": "10m", "classes": [
 {"name": "guide", "tier": 1, "model": "chat", "first-token": "900ms", "give-up-after": "20s"},
 {"name": "hold", "tier": 1, "service": "booking", "whole-answer": "8s", "non-idempotent": true}],
 "accounts": [{"name": "desk", "key-sha256": "%x", "default-class": "guide"}],
 "upstreams": [{"name": "runner-1", "model": "chat"}, {"name": "runner-2", "model": "chat"}, {"name": "booking-1", "service": "booking"}]}`

// writeFleet reserves ports and writes classes.json and vms.json for one entry, two
// model engines (runner-1 and runner-2) and a booking service.
func writeFleet(ts *testscript.TestScript, _ bool, _ []string) {
	reservePorts(ts, false, []string{
		"PLATFORM", "ENTRY", "ADMIN", "RUNNER1", "ENGINE1", "RUNNER2", "ENGINE2", "BOOKING", "SERVICE",
	})
	ts.Setenv("ENDIVEPOST_SECRET", "a-shared-secret")
	ts.Setenv("ENDIVEPOST_CLOCK_SKEW", "1ms")
	var vms []string
	for _, vm := range [][3]string{
		{"entry-1", "ADMIN", "entry"}, {"runner-1", "RUNNER1", "sidecar"}, {"runner-2", "RUNNER2", "sidecar"}, {"booking-1", "BOOKING", "sidecar"},
	} {
		vms = append(vms, fmt.Sprintf(`{"name": %q, "address": %q, "role": %q, "domain": "a"}`, vm[0], ts.Getenv(vm[1]), vm[2]))
	}
	document := fmt.Sprintf(fleetDocument, sha256.Sum256([]byte("desk-key")))
	ts.Check(os.WriteFile(ts.MkAbs("classes.json"), []byte(document), 0o600))
	ts.Check(os.WriteFile(ts.MkAbs("vms.json"), []byte("["+strings.Join(vms, ",")+"]"), 0o600))
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "HUP": syscall.SIGHUP,
}

// sendSignal sends a signal to the background command whose arguments contain the
// text.
func sendSignal(ts *testscript.TestScript, _ bool, arguments []string) {
	for _, command := range ts.BackgroundCmds() {
		if strings.Contains(strings.Join(command.Args, " "), arguments[1]) {
			ts.Check(command.Process.Signal(signals[arguments[0]]))
			return
		}
	}
	ts.Fatalf("no background command contains %q", arguments[1])
}
