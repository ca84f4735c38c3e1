package responsehead_test

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"endivepost/internal/wire/responsehead"
)

// read returns the response that net/http reads from the head.
func read(t *testing.T, head string) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
	if err != nil {
		t.Fatalf("%q: %v", head, err)
	}
	return response
}

func ExampleCheck() {
	for _, status := range []int{http.StatusOK, 0, http.StatusEarlyHints, http.StatusSwitchingProtocols} {
		fmt.Println(responsehead.Check(&http.Response{StatusCode: status}))
	}
	// Output:
	// <nil>
	// malformed head of a response: got status 000, want 100 to 599
	// <nil>
	// malformed head of a response: got informational status 101, want 100, 102 or 103
}

// TestStatuses guards against a status that is skipped or passed on although nobody knows what
// follows it, for each status that net/http reads.
func TestStatuses(t *testing.T) {
	for status := range 1000 {
		head := fmt.Sprintf("HTTP/1.1 %03d Text\r\n\r\n", status)
		sound := status >= 200 && status <= 599 || status == 100 || status == 102 || status == 103
		if err := responsehead.Check(read(t, head)); (err == nil) != sound || err != nil && !errors.Is(err, responsehead.ErrMalformed) {
			t.Errorf("status %03d: got error %v, want one: %t", status, err, !sound)
		}
	}
}

// TestInformationalBodies guards against reading on in the body of an informational response.
func TestInformationalBodies(t *testing.T) {
	for fields, sound := range map[string]bool{
		"": true, "Link: </x>\r\n": true, "Content-Length: 0\r\n": true, "Content-Length: 5\r\n": false, "content-length: 00\r\n": false,
		"Transfer-Encoding: chunked\r\n": false, "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n": false,
	} {
		if err := responsehead.Check(read(t, "HTTP/1.1 103 Early Hints\r\n"+fields+"\r\n")); (err == nil) != sound {
			t.Errorf("%q: got error %v, want one: %t", fields, err, !sound)
		}
	}
}
