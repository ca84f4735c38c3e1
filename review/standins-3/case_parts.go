package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// The case "parts": callers that nobody controls send requests of legal size with one long
// header line, a prompt prefix of many short parts, while runners of the language model crash.
// Bookings at another service are no longer answered.

const (
	modelService = "endive-gen"
	bookService  = "ledger-api"
	bookKey      = "n2ctnfzs989anu6wsjnb"
	bookTimeout  = time.Second
	// overdue is how long after the timeout of its route a request must have an answer.
	overdue  = 500 * time.Millisecond
	patience = 5 * time.Second

	partsLength = 20 * time.Second
	// Two of nine engines crash for crashTime, at each of crashAt.
	engineCount = 9
	crashed     = 2
	crashTime   = 2 * time.Second
	// prefixBytes is below the limit on a header section, 16,384 bytes.
	prefixBytes = 15_500
	// minLate is the least number of overdue bookings that is judged.
	minLate = 10
)

var crashAt = []time.Duration{6 * time.Second}

func playParts(play *play) (bool, error) {
	var err error
	if play.store, err = newStore(); err != nil {
		return false, err
	}
	play.store.put("op/config", partsConfig())
	for _, zone := range []string{"maz-a", "maz-b", "maz-c"} {
		started, err := play.startRunner(bookService, zone, 15*time.Millisecond, neverLost)
		if err != nil {
			return false, err
		}
		defer started.stop()
	}
	var engines []*engine
	for i := range engineCount {
		started, err := play.newEngine(modelService, "maz-"+string("abc"[i%3]), "v1")
		if err != nil {
			return false, err
		}
		engines = append(engines, started)
	}
	if err := play.startEntries(); err != nil {
		return false, err
	}
	go play.crashEngines(engines)
	return play.judgeTimeouts(play.sendPartsTraffic()), nil
}

// partsConfig is a configuration with streams that anyone may ask for and that may be resumed, and
// bookings that may not run twice.
func partsConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{
				"name": "r-note", "hostname": hostName, "prefix": "/note/", "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 300,
				"priority": 0, "service": modelService, "max_attempts": 2, "public": true, "sticky": true, "stream_resume": true, "gap_aim_ms": 200,
			},
			{
				"name": "r-plan", "hostname": hostName, "prefix": "/plan/", "kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 1500,
				"priority": 2, "service": modelService, "max_attempts": 2, "public": true, "sticky": true, "stream_resume": true, "gap_aim_ms": 800,
			},
			{
				"name": "r-book", "hostname": hostName, "prefix": "/book/", "kind": "unsafe", "timeout_ms": bookTimeout.Milliseconds(),
				"target_latency_ms": 150, "priority": 2, "service": bookService, "max_attempts": 1, "public": false, "sticky": false,
				"stream_resume": false,
			},
		},
		"services": []map[string]any{
			{"name": bookService, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false},
			{
				"name": modelService, "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": engineSlots, "kv_cache_tokens": engineCacheTokens, "stride": 5, "models": []map[string]any{{"name": "m"}}},
			},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{bookKey}, "priority": 1}},
	}
}

// crashEngines crashes two engines at each of the times, and starts them again.
func (play *play) crashEngines(engines []*engine) {
	if !play.trouble {
		return
	}
	begin := time.Now()
	for round, at := range crashAt {
		time.Sleep(time.Until(begin.Add(at)))
		broken := int64(0)
		for i := range crashed {
			engine := engines[(round*crashed+i)%len(engines)]
			engine.crash()
			broken += engine.broken.Load()
		}
		play.record.say("%d of %d engines crash, with %d requests inside", crashed, len(engines), broken)
		time.Sleep(crashTime)
		for i := range crashed {
			if err := engines[(round*crashed+i)%len(engines)].start("i-" + randomID()[:10]); err != nil {
				play.record.say("an engine did not start again: %v", err)
			}
		}
	}
}

// sendPartsTraffic sends streams with long prefixes and bookings of ordinary callers, and returns
// the bookings.
func (play *play) sendPartsTraffic() []*call {
	odd, ordinary := newClient(), newClient()
	var mutex sync.Mutex
	var bookings []*call
	statuses := make(map[int]int)
	var running sync.WaitGroup
	running.Go(func() {
		every(2500*time.Microsecond, partsLength, func() {
			sent := &call{
				id: randomID(), method: "POST", path: "/note/" + randomID(), patience: 10 * time.Second, body: "note",
				header: map[string]string{"X-Prompt-Prefix": longPrefix(), "X-Token-Usage": "1700,120", "X-Model": "m"},
			}
			odd.do(odd.next(play.entries), sent)
			mutex.Lock()
			defer mutex.Unlock()
			statuses[sent.status]++
		})
	})
	running.Go(func() {
		every(50*time.Millisecond, partsLength, func() {
			sent := &call{
				id: randomID(), method: "POST", path: "/book/" + randomID(), patience: patience,
				header: map[string]string{"Api-Key": bookKey}, body: strings.Repeat("slot ", 120),
			}
			to := ordinary.next(play.entries)
			ordinary.do(to, sent)
			play.record.add("booking %s to %s: status %d after %s, error %v", sent.id, to.name, sent.status, sent.took.Round(time.Millisecond), sent.err)
			mutex.Lock()
			defer mutex.Unlock()
			bookings = append(bookings, sent)
		})
	})
	running.Wait()
	play.record.say("streams with long prefixes, by status: %v", statuses)
	return bookings
}

// longPrefix returns a prompt prefix of parts of one token, no two alike.
func longPrefix() string {
	var prefix strings.Builder
	for prefix.Len() < prefixBytes {
		fmt.Fprintf(&prefix, "%06x:1,", rand.IntN(1<<24))
	}
	return strings.TrimSuffix(prefix.String(), ",")
}

// judgeTimeouts returns whether, of the bookings without an answer at their route's timeout, more
// than half had none half a second later, or an entry ended by itself.
func (play *play) judgeTimeouts(bookings []*call) bool {
	late, unanswered, statuses := 0, 0, make(map[int]int)
	for _, sent := range bookings {
		statuses[sent.status]++
		if sent.took > bookTimeout {
			late++
		}
		if sent.took > bookTimeout+overdue {
			unanswered++
		}
	}
	play.record.say("%d bookings, by status: %v", len(bookings), statuses)
	play.record.say("unanswered at the timeout of 1 s: %d; of these still unanswered 0.5 s later: %d", late, unanswered)
	broken := late >= minLate && 2*unanswered > late
	for _, entry := range play.entries {
		play.record.say("%s: at most %d MB of %d MB, ended by itself: %t", entry.name, entry.peakKB.Load()>>10, memoryMB, entry.ended.Load())
		broken = broken || entry.ended.Load()
	}
	return broken
}
