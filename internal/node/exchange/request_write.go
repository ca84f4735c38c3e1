package exchange

import "fmt"

// requestWrite is the writing of one request, which may go on while its response is read.
type requestWrite struct {
	done   chan struct{}
	result writeResult
}

func newRequestWrite() *requestWrite {
	return &requestWrite{done: make(chan struct{})}
}

// end records the result. It is called once.
func (write *requestWrite) end(result writeResult) {
	write.result = result
	close(write.done)
}

// await returns the result once the write has ended, at the latest when the connection is
// closed.
func (write *requestWrite) await() writeResult {
	<-write.done
	return write.result
}

// isComplete reports whether the request has been written completely by now.
func (write *requestWrite) isComplete() bool {
	select {
	case <-write.done:
		return write.result.err == nil
	default:
		return false
	}
}

// writeResult is the number of bytes of a request that were written, and the error.
type writeResult struct {
	count int
	err   error
}

// failure returns the error of a request that got no response: ErrNoAnswer if any of
// it was written, else errStale on a reused connection and ErrNotSent on a new one.
func (result writeResult) failure(cause error, reused bool) error {
	switch {
	case result.err == nil || result.count > 0:
		return fmt.Errorf("%w: %w", ErrNoAnswer, cause)
	case reused:
		return errStale
	}
	return fmt.Errorf("%w: %w", ErrNotSent, result.err)
}
