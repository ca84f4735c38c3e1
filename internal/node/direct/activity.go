package direct

import (
	"io"
	"sync"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/node/loop"
)

// activity reports to the dispatcher that an attempt goes on although no event of a stream
// arrives: bytes of another response do, or data waits for a caller who reads slowly.
type activity struct {
	loop       *loop.Loop
	attempt    event.Attempt
	reportedAt time.Time
}

// report reports at most once per progressInterval.
func (activity *activity) report(now time.Time) {
	if now.Sub(activity.reportedAt) > progressInterval {
		activity.reportedAt = now
		activity.post(false)
	}
}

// post reports the activity. Begun means that the caller is about to get a part of the
// response.
func (activity *activity) post(begun bool) {
	activity.loop.Post(event.AttemptActive{ID: activity.attempt.ID, Number: activity.attempt.Number, Begun: begun})
}

// duringWrite reports every progressInterval until the returned function is called, after
// a write to the caller.
func (activity *activity) duringWrite() (done func()) {
	var mutex sync.Mutex
	finished := false
	var timer *time.Timer
	mutex.Lock()
	defer mutex.Unlock()
	timer = time.AfterFunc(progressInterval, func() {
		mutex.Lock()
		defer mutex.Unlock()
		if !finished {
			activity.post(false)
			timer.Reset(progressInterval)
		}
	})
	return func() {
		mutex.Lock()
		defer mutex.Unlock()
		finished = true
		timer.Stop()
	}
}

// activeBody is the body of a response that reports what is read of it.
type activeBody struct {
	io.ReadCloser
	activity *activity
}

// Read implements io.Reader.
func (body activeBody) Read(data []byte) (int, error) {
	count, err := body.ReadCloser.Read(data)
	if count > 0 {
		body.activity.report(time.Now())
	}
	return count, err
}
