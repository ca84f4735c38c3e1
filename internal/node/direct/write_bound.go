package direct

import (
	"net/http"
	"sync"
	"time"
)

// lastWriteTime is how long a write to a caller may still take once the time of the attempt is
// over. A caller that does not read would otherwise hold its request for as long as it likes.
const lastWriteTime = time.Second

// boundWrites has writes to the caller fail that are in progress lastWriteTime after the time
// left. The function that it returns lifts the bound.
func (inflight *inflight) boundWrites(left time.Duration) (lift func()) {
	controller := http.NewResponseController(inflight.writer)
	var mutex sync.Mutex
	lifted, bound := false, false
	timer := time.AfterFunc(left, func() {
		mutex.Lock()
		defer mutex.Unlock()
		if !lifted {
			bound = controller.SetWriteDeadline(time.Now().Add(lastWriteTime)) == nil
		}
	})
	return func() {
		timer.Stop()
		mutex.Lock()
		defer mutex.Unlock()
		lifted = true
		if bound {
			_ = controller.SetWriteDeadline(time.Time{})
		}
	}
}
