package eventstream_test

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"endivepost/internal/node/eventstream"
)

// endless reads as its text repeated for ever, and counts the bytes read.
type endless struct {
	text string
	read int
}

func (endless *endless) Read(buffer []byte) (int, error) {
	count := copy(buffer, strings.Repeat(endless.text, 1+len(buffer)/len(endless.text)))
	endless.read += count
	return count, nil
}

// TestNext checks the events of a stream and the error at its end.
func TestNext(t *testing.T) {
	long := "data: " + strings.Repeat("x", 100_000) + "\n\n"
	cases := []struct {
		name   string
		stream string
		events []string
		err    error
	}{
		{"empty", "", nil, io.EOF},
		{"two events", "id: 1\ndata: a\n\ndata: b\n\n", []string{"id: 1\ndata: a\n\n", "data: b\n\n"}, io.EOF},
		{"CRLF line ends", "data: a\r\n\r\n", []string{"data: a\r\n\r\n"}, io.EOF},
		{"a line longer than the buffer", long, []string{long}, io.EOF},
		{"an event without its end", "data: a\n\ndata: b\n", []string{"data: a\n\n"}, io.ErrUnexpectedEOF},
		{"a comment", ": a\n\ndata: b\n\n", []string{": a\n\n", "data: b\n\n"}, io.EOF},
	}
	for _, row := range cases {
		reader := eventstream.New(strings.NewReader(row.stream))
		for _, want := range row.events {
			if got, err := reader.Next(); string(got) != want || err != nil {
				t.Errorf("%s: got event %.40q, error %v, want %.40q", row.name, got, err, want)
			}
		}
		if got, err := reader.Next(); !errors.Is(err, row.err) {
			t.Errorf("%s: at the end: got event %.40q, error %v, want error %v", row.name, got, err, row.err)
		}
	}
}

// TestEndlessStream guards against buffering an event that never ends, and against
// reading comments for ever that no event follows.
func TestEndlessStream(t *testing.T) {
	const maxRead = 2 << 20
	for _, text := range []string{"x", "data: x\n", ": x\n", "\n", ": x\n\n", "x\n\n"} {
		source := &endless{text: text}
		reader := eventstream.New(source)
		var err error
		for err == nil && source.read < maxRead {
			_, err = reader.Next()
		}
		if !errors.Is(err, bufio.ErrTooLong) {
			t.Errorf("%q repeated: got error %v after %d bytes, want bufio.ErrTooLong", text, err, source.read)
		}
	}
}

// TestCommentsBetweenEvents guards against counting keep-alive comments of a long stream
// against the bound of one event.
func TestCommentsBetweenEvents(t *testing.T) {
	reader := eventstream.New(&endless{text: ": " + strings.Repeat("x", 1000) + "\n\ndata: a\n\n"})
	for count := range 4000 {
		if _, err := reader.Next(); err != nil {
			t.Fatalf("after %d records: got error %v, want none", count, err)
		}
	}
}

// TestHasData checks which records of a stream are events.
func TestHasData(t *testing.T) {
	for record, want := range map[string]bool{
		"data: a\n\n": true, "id: 1\ndata:a\n\n": true, "data\n\n": true, "data\r\n\r\n": true,
		": data: a\n\n": false, "\n": false, "id: 1\n\n": false, "database\n\n": false,
	} {
		if got := eventstream.HasData([]byte(record)); got != want {
			t.Errorf("%q: got %t, want %t", record, got, want)
		}
	}
}
