//go:build !race

package callers

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// endlessResponse is what a faulty upstream sends to each request until its peer closes: the start,
// in which %s stands for the request's ID, and then the rest again and again.
type endlessResponse struct {
	name   string
	stream bool
	start  string
	rest   string
}

const (
	identified = "X-Attempt-Id: %s\r\nX-Server-Seal: seal\r\n"
	okHead     = "HTTP/1.1 200 OK\r\n" + identified
	chunkedEnd = "Transfer-Encoding: chunked\r\n\r\n"
	// faultyCallers is how many callers at once call the faulty upstream for faultyTime.
	faultyCallers = 60
	faultyTime    = 3 * time.Second
	// soundTime bounds the response to an ordinary request meanwhile: the target of its class.
	soundTime = 5 * time.Second
)

var differentFields = repeat(shortLine, 10_400)

var endlessResponses = []endlessResponse{
	{"status line", false, "HTTP/1.1 200 ", "x"},
	{"no response", false, "", "\x00\xff"},
	{"header line", false, okHead + "A: ", "x"},
	{"header fields", false, okHead, "A: x\r\n"},
	{"header fields of different names", false, okHead, differentFields},
	{"values that cannot be read", false, okHead + "Server-Limit: " + strings.Repeat("\xff", 60<<10) + "\r\n\r\n", "x"},
	{"informational responses", false, "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
	{"long informational responses", false, "", "HTTP/1.1 103 Early Hints\r\n" + differentFields + "\r\n"},
	{"body without length", false, okHead + "\r\n", "x"},
	{"body of any length", false, okHead + "Content-Length: 9000000000\r\n\r\n", "x"},
	{"chunks", false, okHead + chunkedEnd, "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
	{"small chunks", false, okHead + chunkedEnd, "1\r\nx\r\n"},
	{"chunk size", false, okHead + chunkedEnd, "0"},
	{"chunk extension", false, okHead + chunkedEnd + "1;a=", "x"},
	{"chunk extensions", false, okHead + chunkedEnd, "1;a=" + strings.Repeat("x", 1024) + "\r\nx\r\n"},
	{"trailer line", false, okHead + chunkedEnd + "1\r\nx\r\n0\r\nA: ", "x"},
	{"trailer fields", false, okHead + chunkedEnd + "1\r\nx\r\n0\r\n", differentFields},
	{"error", false, "HTTP/1.1 500 Internal Server Error\r\n" + identified + "\r\n", "x"},
	{"refusal", false, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + identified + "\r\n", "x"},
	{"refusal by another upstream", false, "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n" + identified + "\r\n", "x"},
	{"response to another request", false, "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n\r\n", "x"},
	{"responses to other requests", false, "", "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 1\r\n\r\nx"},
	{"bytes after a response", false, okHead + "Content-Length: 1\r\n\r\nx", "x"},
	{"line of an event", true, okHead + "Content-Type: text/event-stream\r\n\r\ndata: ", "x"},
	{"lines of an event", true, okHead + "Content-Type: text/event-stream\r\n\r\n", "data: x\n"},
	{"comments", true, okHead + "Content-Type: text/event-stream\r\n\r\n", ": x\n\n"},
	{"events without data", true, okHead + "Content-Type: text/event-stream\r\n\r\n", "id: 1\n\n"},
	{"the same event", true, okHead + "Content-Type: text/event-stream\r\n\r\n", "id: 1\ndata: x\n\n"},
	{"events without number", true, okHead + "Content-Type: text/event-stream\r\n\r\n", "data: x\n\n"},
	{"trailer of a stream", true, okHead + "Content-Type: text/event-stream\r\n" + chunkedEnd + "10\r\nid: 1\ndata: xx\n\n\r\n0\r\n", differentFields},
	{"error of a stream", true, "HTTP/1.1 500 Internal Server Error\r\n" + identified + "\r\n", "x"},
}

// newFaulty starts an upstream that answers each request with the response.
func newFaulty(t *testing.T, response endlessResponse) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	block := strings.Repeat(response.rest, 1+(32<<10)/len(response.rest))
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go sendWithoutEnd(conn, response.start, block)
		}
	}()
	return listener.Addr().String()
}

// sendWithoutEnd answers the requests on the connection, the first of which has no end.
func sendWithoutEnd(conn net.Conn, start, block string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	go func() { _, _ = io.Copy(io.Discard, request.Body) }()
	if strings.Contains(start, "%s") {
		start = fmt.Sprintf(start, request.Header.Get("X-Attempt-Id"))
	}
	_, err = io.WriteString(conn, start)
	for err == nil {
		_, err = io.WriteString(conn, block)
	}
}

// faultyItems is the configuration and list with a sound and a faulty upstream.
func faultyItems(sound, faulty string) map[string]string {
	route := func(name, kind, service string) string {
		return fmt.Sprintf(`{"name":%q,"hostname":"h","prefix":"/%s/","kind":%q,"stream_resume":%t,"timeout_ms":8000,"target_latency_ms":5000,"service":%q}`,
			name, name, kind, kind == "streaming", service)
	}
	server := func(service, address string) string {
		return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":1000,"state":"ready","sequence":1,"born":1}`, service, address)
	}
	routes := strings.Join([]string{route("services", "safe", "sound"), route("plain", "safe", "faulty"), route("stream", "streaming", "faulty")}, ",")
	return map[string]string{
		"op/config": fmt.Sprintf(`{"version":1,"routes":[%s],"services":[{"name":"sound"},{"name":"faulty"}],"tenants":[{"name":"a","api_keys":[%q]}],
			"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, routes, key, maxHeaderBytes, maxBodyBytes),
		"servers/i-1": server("sound", sound), "servers/i-2": server("faulty", faulty),
	}
}

// callFaulty has callers send the request to the faulty upstream until the time is over, each one
// after the other. %s in it stands for an ID. Every third caller does not read its responses.
func (machine *machine) callFaulty(request string) {
	end := time.Now().Add(faultyTime)
	var callers sync.WaitGroup
	for number := range faultyCallers {
		callers.Go(func() {
			for attempt := 0; time.Now().Before(end); attempt++ {
				machine.callOnce(fmt.Sprintf(request, fmt.Sprintf("f-%d-%d", number, attempt)), end, number%3 > 0)
			}
		})
	}
	callers.Wait()
}

func (machine *machine) callOnce(request string, end time.Time, reads bool) {
	conn, err := net.DialTimeout("tcp", machine.callers, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	write(conn, request)
	if !reads {
		time.Sleep(time.Until(end))
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

// checkFaulty has callers send the request to the faulty upstream, and checks that ordinary requests are
// answered meanwhile and what memory it takes.
func (machine *machine) checkFaulty(t *testing.T, request string) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		machine.callFaulty(request)
	}()
	sound, answered := 0, 0
	for running := true; running; {
		sound++
		started := time.Now()
		if status, _ := machine.ask(machine.ordinary + "\r\n"); status == http.StatusOK && time.Since(started) < soundTime {
			answered++
		}
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
	}
	if answered < sound {
		t.Errorf("%d of %d ordinary requests were answered within %s, want all", answered, sound, soundTime)
	}
	machine.checkMemory(t)
}

// TestEndlessResponses guards against an upstream that sends bytes without end until the entry that
// called it is out of memory, or has no time for the requests of other callers.
func TestEndlessResponses(t *testing.T) {
	for _, response := range endlessResponses {
		t.Run(response.name, func(t *testing.T) {
			t.Parallel()
			machine := startDirectWith(t, faultyItems(newUpstream(t), newFaulty(t, response)), nil)
			machine.checkFaulty(t, response.request())
		})
	}
}

// request is the request of a caller at an entry without sidecars.
func (response endlessResponse) request() string {
	path := "/plain/x"
	if response.stream {
		path = "/stream/x"
	}
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nApi-Key: " + key + "\r\nConnection: close\r\n\r\n"
}

// TestEndlessResponsesInUnreadLog guards against the same by way of the log, which quotes what could
// not be read, while nobody reads it.
func TestEndlessResponsesInUnreadLog(t *testing.T) {
	for _, response := range endlessResponses[:6] {
		t.Run(response.name, func(t *testing.T) {
			t.Parallel()
			reader, log, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer reader.Close()
			defer log.Close()
			machine := startDirectWith(t, faultyItems(newUpstream(t), newFaulty(t, response)), log)
			machine.checkFaulty(t, response.request())
		})
	}
}

// TestEndlessResponsesWithSidecars guards against the same at an entry and at the sidecar of the
// upstream.
func TestEndlessResponsesWithSidecars(t *testing.T) {
	for _, response := range endlessResponses {
		t.Run(response.name, func(t *testing.T) {
			t.Parallel()
			machine := startWithSidecars(t, service{"held", newUpstream(t)}, service{"faulty", newFaulty(t, response)})
			machine.checkFaulty(t, "GET /services/faulty/x HTTP/1.1\r\nHost: h\r\nEndivepost-Class: faulty\r\nX-Request: %s\r\n"+
				"Authorization: Bearer "+key+"\r\nConnection: close\r\n\r\n")
		})
	}
}

// newStore starts a stand-in of the store that has the items.
func newStore(t *testing.T, items map[string]string) (address string) {
	t.Helper()
	store := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/api/kv-range" {
			select {
			case <-time.After(time.Second):
			case <-request.Context().Done():
			}
			_, _ = io.WriteString(writer, `{"events":[],"store_revision":1}`)
			return
		}
		found := []map[string]any{}
		for name, value := range items {
			if strings.HasPrefix(name, request.URL.Query().Get("prefix")) {
				found = append(found, map[string]any{"key": name, "value": []byte(value), "revision": 1, "created": 1})
			}
		}
		_ = json.NewEncoder(writer).Encode(map[string]any{"items": found, "has_more": false, "store_revision": 1})
	}))
	t.Cleanup(store.Close)
	return store.Listener.Addr().String()
}
