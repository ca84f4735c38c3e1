package crashcause_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"endivepost/internal/core/crashcause"
	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

const (
	sharedPart   = 1
	crashingPart = 2
	callersPart  = 3
)

// ExampleFinder shows that of two parts that requests to crashed upstreams have in common,
// the one under which an upstream survived is not blamed.
func ExampleFinder() {
	finder := crashcause.New()
	now := time.Minute
	for i := range uint64(4) {
		now += time.Second
		finder.Interrupted(now, message.Interruption{
			Attempt: message.NewRequestID(1, i), Upstream: fmt.Sprintf("engine-%d", i), SentAge: 100 * time.Millisecond,
			Attributes: []uint64{sharedPart, crashingPart, 100 + i},
		})
	}
	finder.Survived("engine-0", []uint64{sharedPart, callersPart, 200}, 2, now)
	blamed, _ := finder.Review(now)
	wait, rejected := finder.Cause(now, []uint64{sharedPart, crashingPart, 300})
	_, alsoRejected := finder.Cause(now, []uint64{sharedPart, callersPart, 301})
	fmt.Println(attributes(blamed), rejected, wait, alsoRejected)
	// Output: [2] true 1s false
}

// attributes returns those that are blamed.
func attributes(blamed []event.CrashCause) []uint64 {
	var names []uint64
	for _, cause := range blamed {
		names = append(names, cause.Attribute)
	}
	return names
}

// interruption returns the interruption of the numbered attempt at the numbered upstream.
func interruption(attempt uint64, upstream int, sentAge time.Duration, attributes ...uint64) message.Interruption {
	return message.Interruption{
		Attempt: message.NewRequestID(1, attempt), Upstream: fmt.Sprintf("engine-%d", upstream), SentAge: sentAge, Attributes: attributes,
	}
}

// TestBlame guards against blaming an attribute for failures that it did not cause, and
// against missing the one that did.
func TestBlame(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name    string
		report  func(finder *crashcause.Finder, now time.Duration)
		blaming []uint64
	}{
		{"upstreams that fail at the same time", func(finder *crashcause.Finder, now time.Duration) {
			for i := range 8 {
				finder.Interrupted(now, interruption(uint64(i), i, time.Second, sharedPart, 100+uint64(i)))
			}
		}, nil},
		{"connections of one upstream that break one after the other", func(finder *crashcause.Finder, now time.Duration) {
			for i := range 8 {
				finder.Interrupted(now+time.Duration(i)*200*time.Millisecond/2, interruption(uint64(i), 1, 50*time.Millisecond, sharedPart, 100+uint64(i)))
			}
		}, nil},
		{"a request that its caller repeats", func(finder *crashcause.Finder, now time.Duration) {
			for i := range 3 {
				finder.Interrupted(now+time.Duration(i)*time.Second, interruption(uint64(i), i, 100*time.Millisecond, sharedPart, 100, 200))
			}
		}, []uint64{200}},
		{"a part that survived before it began to crash upstreams", func(finder *crashcause.Finder, now time.Duration) {
			finder.Survived("engine-0", []uint64{crashingPart, 50}, 1, now-time.Second)
			for i := range 4 {
				finder.Interrupted(now+time.Duration(i)*time.Second, interruption(uint64(i), i, 100*time.Millisecond, crashingPart, 100+uint64(i)))
			}
		}, []uint64{crashingPart}},
		{"upstreams that were alive afterwards", func(finder *crashcause.Finder, now time.Duration) {
			for i := range 4 {
				at := now + time.Duration(i)*time.Second
				finder.Interrupted(at, interruption(uint64(i), i, 100*time.Millisecond, sharedPart, 100))
				finder.Alive(at+500*time.Millisecond, fmt.Sprintf("engine-%d", i))
			}
		}, nil},
		{"a part that some upstreams survive", func(finder *crashcause.Finder, now time.Duration) {
			for i := range 5 {
				at := now + time.Duration(i)*time.Second
				finder.Interrupted(at, interruption(uint64(i), i, 100*time.Millisecond, sharedPart, crashingPart, 100+uint64(i)))
				finder.Survived("robust", []uint64{crashingPart, 200 + uint64(i)}, 1, at+10*time.Millisecond)
				finder.Survived("engine-0", []uint64{sharedPart, 300 + uint64(i)}, 1, at+10*time.Millisecond)
			}
		}, []uint64{crashingPart}},
		{"a part that as many upstreams survive as crash", func(finder *crashcause.Finder, now time.Duration) {
			for i := range 5 {
				at := now + time.Duration(i)*time.Second
				finder.Interrupted(at, interruption(uint64(i), i, 100*time.Millisecond, sharedPart, 100+uint64(i)))
				finder.Survived(fmt.Sprintf("other-%d", i), []uint64{sharedPart, 200 + uint64(i)}, 1, now+10*time.Millisecond)
			}
		}, nil},
		{"a part that an upstream survived between the crashes and then crashed", func(finder *crashcause.Finder, now time.Duration) {
			for i := range 5 {
				at := now + time.Duration(i)*time.Second
				finder.Interrupted(at, interruption(uint64(i), i, 100*time.Millisecond, sharedPart, 100+uint64(i)))
				finder.Survived(fmt.Sprintf("engine-%d", i+1), []uint64{sharedPart, 200 + uint64(i)}, 1, at+10*time.Millisecond)
			}
		}, nil},
		{"one upstream that crashes again and again while others survive", func(finder *crashcause.Finder, now time.Duration) {
			for i := range 5 {
				at := now + time.Duration(i)*1100*time.Millisecond
				finder.Interrupted(at, interruption(uint64(i), 0, 100*time.Millisecond, sharedPart, 100+uint64(i)))
				finder.Survived(fmt.Sprintf("other-%d", i%3), []uint64{sharedPart, 200 + uint64(i)}, 1, at+10*time.Millisecond)
			}
		}, nil},
		{"an upstream that breaks off one request after the other, before it can have restarted", func(finder *crashcause.Finder, now time.Duration) {
			for i := range 30 {
				at := now + time.Duration(i)*200*time.Millisecond
				finder.Interrupted(at, interruption(uint64(i), 0, 20*time.Millisecond, sharedPart, 100+uint64(i)))
			}
		}, nil},
		{"a part that sound requests share, with the same crashes as another", func(finder *crashcause.Finder, now time.Duration) {
			finder.Survived("robust", []uint64{sharedPart, 50}, 1, now-time.Second)
			for i := range 4 {
				finder.Interrupted(now+time.Duration(i)*time.Second, interruption(uint64(i), i, 100*time.Millisecond, crashingPart, sharedPart, 100+uint64(i)))
			}
		}, []uint64{crashingPart}},
		{"a request's own part that has fewer of the crashes", func(finder *crashcause.Finder, now time.Duration) {
			for i := range 4 {
				own := 100 + uint64(min(i, 1))
				finder.Interrupted(now+time.Duration(i)*time.Second, interruption(uint64(i), i, 100*time.Millisecond, crashingPart, own))
			}
		}, []uint64{crashingPart}},
	}
	for _, row := range cases {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			finder := crashcause.New()
			row.report(finder, time.Minute)
			blamed, _ := finder.Review(time.Minute + 5*time.Second)
			if fmt.Sprint(attributes(blamed)) != fmt.Sprint(row.blaming) {
				t.Errorf("got blamed %v, want %v", attributes(blamed), row.blaming)
			}
		})
	}
}

// TestSharedPartIsBlamedOnceConfirmed guards against blaming a part that sound requests share
// before it can be known which upstreams survive it, and against never blaming it.
func TestSharedPartIsBlamedOnceConfirmed(t *testing.T) {
	t.Parallel()
	for _, survives := range []bool{true, false} {
		finder, now := crashcause.New(), time.Minute
		for i := range 3 {
			finder.Survived(fmt.Sprintf("engine-%d", i), []uint64{sharedPart, 50}, 1, now-time.Second)
		}
		for i := range uint64(4) {
			now += 200 * time.Millisecond
			finder.Interrupted(now, interruption(i, int(i), 100*time.Millisecond, sharedPart, 100+i))
		}
		if blamed, _ := finder.Review(now); len(blamed) > 0 {
			t.Errorf("got blamed %v right after the crashes, want none", attributes(blamed))
		}
		if survives {
			for i := range 4 {
				finder.Survived(fmt.Sprintf("other-%d", i), []uint64{sharedPart, 60}, 1, now)
			}
		}
		due, found := finder.ReviewDue()
		for ; found && due < now+10*time.Second; due, found = finder.ReviewDue() {
			now = max(now, due)
			finder.Review(now)
		}
		if _, blamed := finder.Cause(now, []uint64{sharedPart}); blamed == survives {
			t.Errorf("survivors reported %t: got blamed %t, want %t", survives, blamed, !survives)
		}
	}
}

// TestReportsInAnyOrder guards against processes that disagree because reports reach them
// late, in another order or twice.
func TestReportsInAnyOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		now := time.Minute
		var reports []func(finder *crashcause.Finder)
		for i := range rapid.IntRange(1, 30).Draw(t, "interruptions") {
			at := time.Duration(i) * 300 * time.Millisecond
			upstream := rapid.IntRange(0, 9).Draw(t, "upstream")
			attributes := []uint64{rapid.Uint64Range(1, 3).Draw(t, "first"), rapid.Uint64Range(11, 13).Draw(t, "second"), 100 + uint64(i)}
			reported := interruption(uint64(i), upstream, 10*time.Second-at+100*time.Millisecond, attributes...)
			reported.Age = 10*time.Second - at
			reports = append(reports, func(finder *crashcause.Finder) { finder.Interrupted(now, reported) })
			if rapid.Bool().Draw(t, "survives") {
				survivor := rapid.SampledFrom([]string{"", "engine-0", "engine-1", "robust-1", "robust-2"}).Draw(t, "survivor")
				survival := message.Survival{Attribute: attributes[0], Attempts: []message.RequestID{reported.Attempt}, Upstream: survivor}
				reports = append(reports, func(finder *crashcause.Finder) {
					finder.Merge(now, message.CrashReports{Survivals: []message.Survival{survival}}, false)
				})
			}
			if rapid.IntRange(0, 4).Draw(t, "refuted") == 0 {
				reports = append(reports, func(finder *crashcause.Finder) {
					finder.Merge(now, message.CrashReports{Refuted: []message.RequestID{reported.Attempt}}, false)
				})
			}
		}
		first, second := crashcause.New(), crashcause.New()
		for _, report := range reports {
			report(first)
		}
		for _, report := range rapid.Permutation(append(reports, reports...)).Draw(t, "order") {
			report(second)
		}
		got, _ := second.Review(now)
		want, _ := first.Review(now)
		if fmt.Sprint(attributes(got)) != fmt.Sprint(attributes(want)) {
			t.Errorf("got blamed %v, want %v as in the order of their times", got, want)
		}
	})
}

// TestReportToNewPeer guards against a restarted process that does not know what the others
// blame or have cleared.
func TestReportToNewPeer(t *testing.T) {
	t.Parallel()
	finder, started := crashcause.New(), crashcause.New()
	now := time.Minute
	for i := range uint64(5) {
		now += time.Second
		finder.Interrupted(now, interruption(i, int(i), 100*time.Millisecond, sharedPart, crashingPart, 100+i))
	}
	finder.Survived("engine-0", []uint64{sharedPart, callersPart}, 1, now)
	finder.Resend()
	started.Merge(time.Second, finder.Take(now), false)
	want, _ := finder.Review(now)
	if got, _ := started.Review(time.Second); fmt.Sprint(attributes(got)) != fmt.Sprint(attributes(want)) || len(got) != 1 || got[0].Attribute != crashingPart {
		t.Errorf("got blamed %v, want %v", got, []uint64{crashingPart})
	}
}

// TestManyPartsTakeLittleTime guards against prompts of very many parts that take all the time of
// the process: 10 of them a second must leave half of it.
func TestManyPartsTakeLittleTime(t *testing.T) {
	const parts, perSecond, seconds = 1900, 10, 4
	finder := crashcause.New()
	started := time.Now()
	for request := range uint64(perSecond * seconds) {
		var attributes []uint64
		for part := range uint64(parts) {
			attributes = append(attributes, request<<32|part)
		}
		finder.Survived("engine-0", attributes, parts, time.Minute)
	}
	if took := time.Since(started); took > seconds*time.Second/2 {
		t.Errorf("%d requests with %d new parts each took %s, want at most %s", perSecond*seconds, parts, took, seconds*time.Second/2)
	}
}
