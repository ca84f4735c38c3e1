package entry_test

import (
	"bytes"
	"net/http"
	"sync"
	"testing"
)

// TestWriteTimeoutCutsAnswerOfSlowReader guards against a write timeout that counts for a whole
// answer: a caller that reads all the time, but slowly, gets only a part of it.
func TestWriteTimeoutCutsAnswerOfSlowReader(t *testing.T) {
	t.Parallel()
	const size, rate = 40 << 20, 2 << 20
	running := newFleet(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write(bytes.Repeat([]byte("x"), size))
	}))
	conn := running.dial(t, 1<<16)
	running.writeHead(t, conn, 0, "")
	length, err := readSlowly(conn, rate)
	if err != nil || length != size {
		t.Errorf("got %d bytes of the answer and error %v, want %d bytes", length, err, size)
	}
}

// checkFastAnswers checks that callers who read as fast as they can get whole answers.
func checkFastAnswers(t *testing.T, size, callers int) {
	t.Helper()
	const unlimited = 1 << 40
	running := newFleet(t, http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write(bytes.Repeat([]byte("x"), size))
	}))
	var ended sync.WaitGroup
	for range callers {
		conn := running.dial(t, 1<<20)
		ended.Go(func() {
			running.writeHead(t, conn, 0, "")
			if length, err := readSlowly(conn, unlimited); err != nil || length != int64(size) {
				t.Errorf("got %d bytes of the answer and error %v, want %d bytes", length, err, size)
			}
		})
	}
	ended.Wait()
}

// TestFastAnswerOverflowsQueue guards against an answer that is cut off because its upstream
// sends it faster than the entry can buffer it.
func TestFastAnswerOverflowsQueue(t *testing.T) {
	t.Parallel()
	checkFastAnswers(t, 32<<20, 3)
}

// TestFastAnswersOverflowLink guards against answers that are cut off because their upstream
// sends them faster than the sidecar's link to the entry carries them.
func TestFastAnswersOverflowLink(t *testing.T) {
	t.Parallel()
	checkFastAnswers(t, 32<<20, 8)
}
