// Package eventstream reads server-sent events.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
)

// Reader reads a stream event by event.
type Reader struct {
	buffered *bufio.Reader
}

const (
	readBytes = 32 << 10
	// maxEventBytes bounds the size of an event.
	maxEventBytes = 1 << 20
)

// New returns a Reader of the stream.
func New(stream io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(stream, readBytes)}
}

// Next returns the bytes of the next event, including the blank line that ends it. A
// line may be longer than the read buffer. A truncated event is not returned. The error
// is io.EOF at the end of the stream, io.ErrUnexpectedEOF at its end within an event, and
// bufio.ErrTooLong for an event larger than 1 MiB.
func (reader *Reader) Next() ([]byte, error) {
	var data []byte
	for {
		line, err := reader.buffered.ReadBytes('\n')
		data = append(data, line...)
		if err == io.EOF && len(data) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(data) > maxEventBytes {
			return nil, bufio.ErrTooLong
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return data, nil
		}
	}
}

// ID returns the value of the event's id field, and false if it has none.
func ID(data []byte) (string, bool) {
	for line := range bytes.Lines(data) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
