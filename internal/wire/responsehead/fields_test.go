package responsehead_test

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"endivepost/internal/wire/responsehead"
)

func ExampleCheckNames() {
	fmt.Println(responsehead.CheckNames(http.Header{"Content-Length": {"5"}}))
	fmt.Println(responsehead.CheckNames(http.Header{"Content-Length ": {"5"}}))
	// Output:
	// <nil>
	// malformed head of a response: got the field name "Content-Length ", want a token
}

func ExampleLines() {
	var lines responsehead.Lines
	head := "HTTP/1.1 200 OK\r\nX Odd: 1\r\n\r\n"
	fmt.Println(lines.Check([]byte(head[:20])))
	fmt.Println(lines.Check([]byte(head)))
	// Output:
	// false <nil>
	// false malformed head of a response: got the field name "X Odd", want a token
}

// TestNames guards against a name with a byte that it may not have, wherever it stands, and
// against rejecting one with a byte that it may.
func TestNames(t *testing.T) {
	const allowed = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for char := range 256 {
		if char == ':' || char == '\n' {
			continue
		}
		sound := strings.IndexByte(allowed, byte(char)) >= 0
		odd := string([]byte{byte(char)})
		for _, name := range []string{odd, odd + "Odd", "X" + odd + "Odd", "X-Odd" + odd} {
			var lines responsehead.Lines
			complete, err := lines.Check([]byte("HTTP/1.1 200 OK\r\nA: 1\r\n" + name + ": 1\r\n\r\n"))
			if complete != sound || (err == nil) != sound || err != nil && !errors.Is(err, responsehead.ErrMalformed) {
				t.Errorf("%q: got complete %t, error %v, want complete: %t", name, complete, err, sound)
			}
		}
	}
}

// TestLinesInParts guards against a head that counts as complete too early or too late, however
// it arrives.
func TestLinesInParts(t *testing.T) {
	for head, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: 1\r\nB: 2\r\n\r\n": true, "HTTP/1.1 200 OK\nA: 1\n\n": true, "HTTP/1.1 204\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\nA: 1\r\n b\r\n\r\n": false, "HTTP/1.1 200 OK\r\nA\r\n\r\n": false, "HTTP/1.1 200 OK\r\n \r\n\r\n": false,
	} {
		var lines responsehead.Lines
		for end := range len(head) {
			complete, err := lines.Check([]byte(head[:end]))
			if complete || err != nil && sound {
				t.Errorf("%q up to byte %d: got complete %t, error %v, want more to come", head, end, complete, err)
			}
			if err != nil {
				break
			}
		}
		if !sound {
			continue
		}
		if complete, err := lines.Check([]byte(head + "body")); !complete || err != nil {
			t.Errorf("%q: got complete %t, error %v, want it complete", head, complete, err)
		}
	}
}

// TestNoStatusLine guards against waiting for the rest of a head that is none: net/http rejects
// its first line.
func TestNoStatusLine(t *testing.T) {
	for _, line := range []string{"\r\n", "garbage\r\n", "HTTP/9 spoiled\r\n", "HTTP/1.1 20 OK\r\n", "HTTP/1.1\r\n"} {
		var lines responsehead.Lines
		if complete, err := lines.Check([]byte(line)); !complete || err != nil {
			t.Errorf("%q: got complete %t, error %v, want true for net/http to reject it", line, complete, err)
		}
	}
}
