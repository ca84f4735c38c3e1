package telemetry_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"endivepost/internal/node/logqueue"
	"endivepost/internal/node/telemetry"
)

// classes is the number of classes whose metrics are recorded.
const classes = 17

// fill records the metrics of requests of all classes under the names that an entry uses.
func fill(observe *telemetry.Telemetry) {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)
	for class := range classes {
		scope := observe.Metrics.Tagged(map[string]string{"class": fmt.Sprint("class-", class)})
		for _, outcome := range []string{"complete", "not-run", "failed", "incomplete"} {
			scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
		}
		for _, name := range []string{"waited_seconds", "first_answer_seconds", "whole_answer_seconds"} {
			scope.Histogram(name, buckets).RecordDuration(time.Duration(class) * time.Millisecond)
		}
	}
}

// TestScrape guards against metrics that are recorded but missing from a scrape, or that
// lose their class tag.
func TestScrape(t *testing.T) {
	observe := telemetry.New(io.Discard, "entry", 0)
	fill(observe)
	observe.Close()
	recorder := httptest.NewRecorder()
	observe.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		`endivepost_requests{class="class-3",outcome="complete",process="entry"} 1`, `endivepost_waited_seconds_bucket{class="class-16"`,
	} {
		if !strings.Contains(recorder.Body.String(), want) {
			t.Errorf("metrics scrape: got no series %s, want it", want)
		}
	}
}

// BenchmarkScrape measures a scrape of the series of all classes.
func BenchmarkScrape(b *testing.B) {
	observe := telemetry.New(io.Discard, "entry", 0)
	fill(observe)
	observe.Close()
	for b.Loop() {
		recorder := httptest.NewRecorder()
		observe.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		b.SetBytes(int64(recorder.Body.Len()))
	}
}

// BenchmarkLine measures logging one request-finished line.
func BenchmarkLine(b *testing.B) {
	queue := logqueue.New(io.Discard, 8192)
	observe := telemetry.New(queue, "entry", 0)
	fields := logrus.Fields{"event": "request-finished", "process": "front-dakar-a-1", "request": "9c41d07be2a35f68", "outcome": "complete"}
	for _, name := range strings.Fields("running reading unread entries-heard waiting tier status attempts events waited-ms first-ms late-events " +
		"longest-gap-ms took-ms version retry-after-ms") {
		fields[name] = 1234
	}
	for _, name := range strings.Fields("class account reason upstream apart") {
		fields[name] = "i-53d1d537c8"
	}
	for b.Loop() {
		observe.Log.WithFields(fields).Info()
	}
	queue.Close(time.Second)
}
