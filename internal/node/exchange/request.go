package exchange

import (
	"bytes"
	"fmt"
	"net/http"
)

// Request is an HTTP request to the upstream at Address (host:port). Target is the
// path with the query, Host the value of the Host field.
type Request struct {
	Address string
	Method  string
	Target  string
	Host    string
	// Body is the body in segments.
	Body [][]byte
	// Fresh requires a new connection, on which no response to an earlier request can
	// arrive.
	Fresh bool
	// SameProcess requires that the upstream has not closed the idle connections to it, as it
	// does when it restarts. Otherwise the error is ErrClosedIdle, and nothing was sent.
	SameProcess bool
	// Header returns the header without Host and Content-Length. It is called once a
	// connection is open, right before the request is written, and again if that
	// connection turns out to be closed. Its error is returned with ErrNotSent.
	Header func() (http.Header, error)
	// Match reports whether a response belongs to this request: an upstream may
	// deliver the response to an earlier request late.
	Match func(*http.Response) Match
}

// Match is whether a response belongs to the request in flight, by its header.
type Match uint8

// The results of matching a response with the request in flight.
const (
	// Matched means that the response belongs to the request.
	Matched Match = iota + 1
	// Mismatched means that the response belongs to another request.
	Mismatched
	// Unidentified means that the response carries no request ID. It belongs to the
	// request only if that is the first one on its connection.
	Unidentified
)

// head returns the encoded request line and header.
func (request Request) head(header http.Header) []byte {
	var buffer bytes.Buffer
	fmt.Fprintf(&buffer, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, request.Target, request.Host)
	_ = header.Write(&buffer)
	if length := request.bodyLength(); length > 0 || request.Method != http.MethodGet {
		fmt.Fprintf(&buffer, "Content-Length: %d\r\n", length)
	}
	buffer.WriteString("\r\n")
	return buffer.Bytes()
}

func (request Request) bodyLength() (length int) {
	for _, segment := range request.Body {
		length += len(segment)
	}
	return length
}
