// Package boundedreader bounds how much is read from a connection while its peer may send
// bytes without end.
package boundedreader

import (
	"errors"
	"io"
	"math"
)

// ErrTooLong is returned once the bytes allowed have been read.
var ErrTooLong = errors.New("the peer sent more bytes than are read")

// Reader reads from a source as many bytes as are allowed, at first none. Its methods
// must not be called concurrently.
type Reader struct {
	source io.Reader
	left   int
}

// New returns a reader of the source.
func New(source io.Reader) *Reader {
	return &Reader{source: source}
}

// Allow sets the number of bytes that may be read from now on.
func (reader *Reader) Allow(bytes int) {
	reader.left = bytes
}

// AllowAll removes the bound.
func (reader *Reader) AllowAll() {
	reader.left = math.MaxInt
}

// Read implements io.Reader. The error is ErrTooLong once the bytes allowed have been
// read.
func (reader *Reader) Read(buffer []byte) (int, error) {
	if reader.left <= 0 {
		return 0, ErrTooLong
	}
	count, err := reader.source.Read(buffer[:min(len(buffer), reader.left)])
	reader.left -= count
	return count, err
}
