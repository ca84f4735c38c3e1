package streamorigin_test

import (
	"testing"
	"time"

	"endivepost/internal/core/streamorigin"
	"endivepost/internal/wire/message"
)

const pool = "engines"

func list(origins *streamorigin.Origins, now time.Duration, builds ...string) {
	origins.ObserveList(now, map[string][]string{pool: builds})
}

// TestOnlyBuild guards against taking a build for the only one of a pool that may have had
// another, and against never being certain.
func TestOnlyBuild(t *testing.T) {
	const now = time.Hour
	long, short := now-streamorigin.Retention, now-streamorigin.Retention/2
	cases := []struct {
		name    string
		observe func(*streamorigin.Origins)
		certain bool
	}{
		{"observed for long", func(origins *streamorigin.Origins) { list(origins, long, "v1") }, true},
		{"observed for a short time", func(origins *streamorigin.Origins) { list(origins, short, "v1") }, false},
		{"another build left lately", func(origins *streamorigin.Origins) {
			list(origins, long, "v1", "v2")
			list(origins, short, "v1", "v2")
		}, false},
		{"another build left long ago", func(origins *streamorigin.Origins) { list(origins, long-time.Second, "v1", "v2") }, true},
		{"peer observed for long", func(origins *streamorigin.Origins) {
			list(origins, short, "v1")
			origins.Merge(short, peerReport(true, "v1"), false)
		}, true},
		{"peer's list is out of date", func(origins *streamorigin.Origins) {
			list(origins, short, "v1")
			origins.Merge(short, peerReport(false, "v1"), false)
		}, false},
		{"peer knows another build", func(origins *streamorigin.Origins) {
			list(origins, long, "v1")
			origins.Merge(short, peerReport(true, "v2"), false)
		}, false},
		{"list was never read", func(origins *streamorigin.Origins) { origins.Merge(now, peerReport(true, "v1"), false) }, false},
	}
	for _, row := range cases {
		origins := streamorigin.New()
		row.observe(origins)
		list(origins, now, "v1")
		if row.name == "list was never read" {
			origins = streamorigin.New()
			row.observe(origins)
		}
		if build, certain := origins.OnlyBuild(now, pool); certain != row.certain || certain && build != "v1" {
			t.Errorf("%s: got %q, certain %v, want v1, certain %v", row.name, build, certain, row.certain)
		}
	}
}

// peerReport is what a peer reports that has had one build for as long as it tells.
func peerReport(confirmed bool, build string) message.StreamOrigins {
	return message.StreamOrigins{
		Observed: streamorigin.Retention, Confirmed: confirmed,
		Pools: []message.PoolBuilds{{Pool: pool, Builds: []message.ListedBuild{{Build: build}}}},
	}
}

// TestListedBuildsAge guards against two entries that keep a build alive which is gone, since
// each has it from the other.
func TestListedBuildsAge(t *testing.T) {
	left, right := streamorigin.New(), streamorigin.New()
	list(left, 0, "v1", "v2")
	list(right, 0, "v2")
	const step = time.Second
	for now := step; now <= 2*streamorigin.Retention+step; now += step {
		list(left, now, "v2")
		list(right, now, "v2")
		right.Merge(now, left.Report(now), false)
		left.Merge(now, right.Report(now), false)
	}
	if build, certain := right.OnlyBuild(2*streamorigin.Retention+step, pool); !certain || build != "v2" {
		t.Errorf("got %q, certain %v, want v2 to be the only build", build, certain)
	}
}

// TestStreamsAreTold guards against streams that a peer is not told of, and that are told when
// there is no doubt about them.
func TestStreamsAreTold(t *testing.T) {
	left, right := streamorigin.New(), streamorigin.New()
	list(left, 0, "v1")
	now := 2 * streamorigin.Retention
	list(left, now, "v1")
	left.Record(now, 1, pool, "v1")
	if left.Urgent(now) {
		t.Error("a stream of the only build is to be told, want it left out")
	}
	list(left, now, "v1", "v2")
	right.Merge(now, left.Report(now), false)
	if _, build, known := right.Find(1); !known || build != "v1" {
		t.Errorf("got %q, known %v, want the stream's build v1 known", build, known)
	}
	if left.Urgent(now) || len(left.Report(now).Begun) > 0 {
		t.Error("a stream is told twice, want once")
	}
	if all := left.All(now); len(all[0].Begun) == 0 || len(all[0].Pools) == 0 {
		t.Error("a stream is not told to a peer that has just connected, want it told")
	}
}

// TestAllStreamsAreTold guards against streams that no peer knows as a second build joins and the
// entry that began them is lost.
func TestAllStreamsAreTold(t *testing.T) {
	left, right := streamorigin.New(), streamorigin.New()
	left.TellAll(true)
	list(left, 0, "v1")
	now := 2 * streamorigin.Retention
	list(left, now, "v1")
	left.Record(now, 1, pool, "v1")
	if left.Urgent(now) {
		t.Error("a stream of the only build is to be told at once, want it in the next report")
	}
	right.Merge(now, left.Report(now), false)
	if _, build, known := right.Find(1); !known || build != "v1" {
		t.Errorf("got %q, known %v, want the stream's build v1 known", build, known)
	}
	if again := left.Report(now); len(again.Begun) > 0 {
		t.Error("a stream is told twice, want once")
	}
	if all := left.All(now); len(all[0].Begun) == 0 {
		t.Error("a stream is not told to a peer that has just connected, want it told")
	}
}

// TestStreamsAreBounded guards against memory that grows with the number of streams.
func TestStreamsAreBounded(t *testing.T) {
	origins := streamorigin.New()
	list(origins, 0, "v1", "v2")
	const many = 200_000
	for stream := range uint64(many) {
		origins.Record(0, stream, pool, "v1")
	}
	if _, _, known := origins.Find(1); known {
		t.Error("the oldest of very many streams is still known, want it forgotten")
	}
	if _, _, known := origins.Find(0); known {
		t.Error("stream 0 is recorded, want it left out")
	}
	if _, _, known := origins.Find(many - 1); !known {
		t.Error("the newest stream is not known")
	}
	report := origins.Report(0)
	if told := len(report.Begun[0].Streams); told > 1024 {
		t.Errorf("got %d streams in a report, want at most 1024", told)
	}
	origins.Record(2*streamorigin.Retention, many, pool, "v1")
	if _, _, known := origins.Find(many - 1); known {
		t.Error("a stream older than the retention is still known")
	}
}
