package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"endivepost/internal/wire/responsehead"
)

// checkLines waits for the next head and checks its lines, without consuming any. net/http
// accepts lines that are no fields.
func (connection *connection) checkLines() error {
	var lines responsehead.Lines
	for {
		arrived, err := connection.reader.Peek(connection.reader.Buffered())
		if err != nil {
			return err
		}
		complete, err := lines.Check(arrived)
		if complete || err != nil {
			return err
		}
		if len(arrived) == connection.reader.Size() {
			connection.growBuffer(arrived)
		}
		if err := connection.awaitBytes(len(arrived) + 1); err != nil {
			return err
		}
	}
}

// growBuffer replaces the read buffer, which is full, by one for any head that is allowed.
func (connection *connection) growBuffer(arrived []byte) {
	source := io.MultiReader(bytes.NewReader(bytes.Clone(arrived)), connection.bounded)
	connection.reader = bufio.NewReaderSize(source, connection.bufferBytes+maxHeadBytes)
}

// shrinkBuffer replaces a read buffer that grew and is empty by one of the usual size.
func (connection *connection) shrinkBuffer() {
	if connection.reader.Size() > connection.bufferBytes && connection.reader.Buffered() == 0 {
		connection.reader = bufio.NewReaderSize(connection.bounded, connection.bufferBytes)
	}
}

// awaitBytes waits until so many bytes are buffered. The error is io.ErrUnexpectedEOF if the
// connection ends before.
func (connection *connection) awaitBytes(count int) error {
	_, err := connection.reader.Peek(count)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
