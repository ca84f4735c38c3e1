package guard

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	headerOutcome = "Endivepost-Outcome"
	// retryAfter is the Retry-After of rejections, in seconds: requests that stall are given
	// up after that time.
	retryAfter = "1"
)

// RejectedError says that a request was rejected before it ran.
type RejectedError struct{ Reason Reason }

// Error implements error.
func (rejected RejectedError) Error() string {
	return "rejected for the limit on " + string(rejected.Reason)
}

// Track follows the state of a connection. It is the server's ConnState hook.
func Track(inner net.Conn, to http.ConnState) {
	conn, ok := inner.(*Conn)
	if !ok {
		return
	}
	switch to {
	case http.StateIdle:
		conn.startIdle(time.Now())
	case http.StateActive:
		conn.mutex.Lock()
		if conn.phase == idle {
			conn.startHeader(time.Now())
		}
		conn.mutex.Unlock()
	case http.StateHijacked:
		conn.mutex.Lock()
		conn.release()
		conn.group.budget.Release(conn.base, conn.address)
		conn.base = 0
		conn.mutex.Unlock()
	}
}

// Handler returns the handler behind the check of the header section of each request.
func Handler(inner http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if conn := FromContext(request.Context()); conn != nil {
			if err := conn.begin(request); err != nil {
				WriteRejection(writer)
				return
			}
		}
		inner.ServeHTTP(writer, request)
	})
}

// WriteRejection writes the response to a request that was rejected, which closes its
// connection.
func WriteRejection(writer http.ResponseWriter) {
	writer.Header().Set("Connection", "close")
	writer.Header().Set("Retry-After", retryAfter)
	writer.Header().Set(headerOutcome, "not-run")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// takeOrReject charges bytes for the request. The error is a RejectedError.
func (conn *Conn) takeOrReject(count int) error {
	if conn == nil || conn.take(int64(count)) {
		return nil
	}
	conn.group.reject(Memory, conn.address)
	return RejectedError{Memory}
}

// Segments of a body: the first has up to firstSegment bytes, each further one is as large as
// all before it, up to largestSegment. So a body takes at most twice what has arrived of it.
const (
	firstSegment   = 16 << 10
	unknownSegment = 4 << 10
	largestSegment = 256 << 10
)

// ReadBody reads a body of at most maxBytes in segments, of which no copy is made, and charges
// each before it is allocated. The error is a RejectedError, a *http.MaxBytesError, or that of
// the connection.
func ReadBody(request *http.Request, maxBytes int) (segments [][]byte, err error) {
	if request.ContentLength == 0 {
		return nil, nil
	}
	if request.ContentLength > int64(maxBytes) {
		return nil, &http.MaxBytesError{Limit: int64(maxBytes)}
	}
	conn := FromContext(request.Context())
	if conn != nil {
		conn.startBody()
		defer func() {
			if rejected := conn.endBody(); rejected != nil {
				segments, err = nil, rejected
			}
		}()
	}
	return readSegments(conn, http.MaxBytesReader(nil, request.Body, int64(maxBytes)), request.ContentLength)
}

func readSegments(conn *Conn, body io.Reader, length int64) (segments [][]byte, err error) {
	total := 0
	for {
		size := nextSegment(total, length)
		if err := conn.takeOrReject(size); err != nil {
			return nil, err
		}
		segment, err := fill(body, make([]byte, size))
		total += len(segment)
		if len(segment) > 0 {
			segments = append(segments, segment)
		}
		if errors.Is(err, io.EOF) {
			return segments, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// fill reads until the segment is full. Unlike that of io.ReadFull, its error tells the end
// of the body from a body that was cut off.
func fill(body io.Reader, segment []byte) ([]byte, error) {
	total := 0
	for total < len(segment) {
		count, err := body.Read(segment[total:])
		total += count
		if err != nil {
			return segment[:total], err
		}
	}
	return segment, nil
}

func nextSegment(total int, length int64) int {
	size := min(total, largestSegment)
	if length < 0 {
		return max(size, unknownSegment)
	}
	// The read of one byte more tells that the body has ended.
	return max(min(max(size, firstSegment), int(length)-total), 1)
}

// Join returns the body as one, for those who need it so, and copies bytes that are made of it
// afterwards. The error is a RejectedError.
func Join(request *http.Request, segments [][]byte, copies int) ([]byte, error) {
	total := 0
	for _, segment := range segments {
		total += len(segment)
	}
	if err := FromContext(request.Context()).takeOrReject(total * copies); err != nil {
		return nil, err
	}
	joined := make([]byte, 0, total)
	for _, segment := range segments {
		joined = append(joined, segment...)
	}
	return joined, nil
}
