// Package eventstream reads server-sent events.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Reader reads a stream event by event.
type Reader struct {
	buffered *bufio.Reader
	// withoutData counts the bytes read since the last event that has data.
	withoutData int
}

const (
	readBytes = 32 << 10
	// maxEventBytes bounds an event together with the comments before it. Each stream in
	// progress may hold as much memory.
	maxEventBytes = 256 << 10
)

// New returns a Reader of the stream.
func New(stream io.Reader) *Reader {
	return &Reader{buffered: bufio.NewReaderSize(stream, readBytes)}
}

// Next returns the bytes of the next event or comment, including the blank line that
// ends it. A line may be longer than the read buffer. A truncated event is not returned.
// The error is io.EOF at the end of the stream, io.ErrUnexpectedEOF at its end within an
// event, and bufio.ErrTooLong once more than 256 KiB come without an event that has data.
func (reader *Reader) Next() ([]byte, error) {
	var data []byte
	for {
		start := len(data)
		var err error
		data, err = reader.appendLine(data)
		if errors.Is(err, io.EOF) && len(data) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
		if len(bytes.TrimRight(data[start:], "\r\n")) > 0 {
			continue
		}
		if HasData(data) {
			reader.withoutData = 0
		}
		return data, nil
	}
}

// appendLine appends the next line, with its end, to the data.
func (reader *Reader) appendLine(data []byte) ([]byte, error) {
	for {
		part, err := reader.buffered.ReadSlice('\n')
		reader.withoutData += len(part)
		if reader.withoutData > maxEventBytes {
			return nil, bufio.ErrTooLong
		}
		data = append(data, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return data, err
		}
	}
}

// HasData reports whether the event has a data field. A comment has none.
func HasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if string(name) == "data" {
			return true
		}
	}
	return false
}

// ID returns the value of the event's id field, and false if it has none.
func ID(data []byte) (string, bool) {
	return field(data, "id:")
}

// Type returns the value of the event's event field, "" if it has none.
func Type(data []byte) string {
	value, _ := field(data, "event:")
	return value
}

// field returns the value of the event's first field with the prefix.
func field(data []byte, prefix string) (string, bool) {
	for line := range bytes.Lines(data) {
		if value, ok := bytes.CutPrefix(line, []byte(prefix)); ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
