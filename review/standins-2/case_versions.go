package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["versions"] = playVersions }

// playVersions plays streams at one runner while the machine that passes them on has lost its
// path to the store. Meanwhile the runners crash one after the other and start again under their
// ids with a new version of their software, the one with the streams last.
func playVersions(world *World) int {
	const streams, events, pause = 6, 30, 200 * time.Millisecond
	// A runner is down for a second, and the next one follows after half a second.
	const down, between = time.Second, 500 * time.Millisecond
	store := NewStore()
	storeAddress := world.Address(8223)
	store.Serve(storeAddress)
	store.Put("op/config", streamConfig())
	var runners []*Runner
	for number := range 3 {
		runner := &Runner{
			ID: fmt.Sprintf("i-%08x", 0x7f3a9100+number), Service: "gen", Address: world.Address(8080), Zone: "zone-a", Version: "v1", Slots: 64,
			store: store, record: world.record, handle: streamHandler(events, pause),
		}
		runner.Start()
		runners = append(runners, runner)
	}
	path := world.Address(8223)
	proxy := NewProxy(path, storeAddress)
	first := world.Machine("front-1", "zone-a", path)
	second := world.Machine("front-2", "zone-a", storeAddress, first.Control)
	first.Seeds = []string{first.Control, second.Control}
	first.Start()
	second.Start()
	first.AwaitReady(10 * time.Second)
	second.AwaitReady(10 * time.Second)
	// Traffic begins 10 s after the machines.
	time.Sleep(10500 * time.Millisecond)

	var answers [streams]Answer
	var group sync.WaitGroup
	for number := range streams {
		group.Go(func() {
			id := newID()
			world.record.Add("client sends %s to front-1", id)
			answers[number] = send(first.Front, http.MethodPost, "/gen/a", id, streamHeader, "prompt", 9*time.Second, nil)
			world.record.Add("client got %s: status %d, whole %t, error %v, events: %s", id, answers[number].Status, answers[number].Whole,
				answers[number].Err, summary(answers[number].Events))
		})
	}
	time.Sleep(700 * time.Millisecond)
	busy := make(map[string]bool)
	for _, runner := range runners {
		busy[runner.ID] = runner.Running() > 0
	}
	world.record.Add("runners at which streams run: %v", busy)
	if world.trouble {
		proxy.Cut()
		world.record.Add("front-1 is cut off from the store")
	}
	time.Sleep(200 * time.Millisecond)
	for _, runner := range runners {
		if !busy[runner.ID] {
			runner.Crash()
			time.Sleep(down)
			runner.Version = "v2"
			runner.Start()
			time.Sleep(between)
		}
	}
	for _, runner := range runners {
		if busy[runner.ID] {
			runner.Crash()
			time.Sleep(down)
			runner.Version = "v2"
			runner.Start()
		}
	}
	time.Sleep(between)
	if world.trouble {
		proxy.Heal()
		world.record.Add("front-1 reaches the store again")
	}
	group.Wait()
	joined := 0
	for _, answer := range answers {
		versions := make(map[string]bool)
		for _, event := range answer.Events {
			version, _, _ := strings.Cut(event, " ")
			versions[version] = true
		}
		if len(versions) > 1 {
			joined++
		}
	}
	world.record.Add("%d of %d streams hold events of two versions, at most 2 may", joined, streams)
	if joined > 2 {
		return broken
	}
	return held
}

// summary returns the events of a stream in short.
func summary(events []string) string {
	var parts []string
	for first := 0; first < len(events); {
		last := first
		for last+1 < len(events) && events[last+1] == events[first] {
			last++
		}
		parts = append(parts, fmt.Sprintf("%d-%d of %s", first+1, last+1, events[first]))
		first = last + 1
	}
	return strings.Join(parts, ", ")
}

// streamHeader describes the prompt of a request on the streaming route.
const streamHeader = "X-Model: m\r\nX-Token-Usage: 1460,150\r\nX-Prompt-Prefix: 5c1e07a2:1200,91bd3f06:260\r\n"

// streamConfig returns a configuration with one streaming route, whose streams may be resumed.
func streamConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "hostname": "site.example", "prefix": "/gen/", "kind": "streaming", "timeout_ms": 10000, "target_latency_ms": 1500,
			"priority": 2, "service": "gen", "max_attempts": 2, "public": false, "sticky": true, "stream_resume": true, "gap_aim_ms": 800,
		}},
		"services": []any{map[string]any{
			"name": "gen", "health_path": "/health", "max_connections": 370,
			"engine": map[string]any{"slots": 64, "kv_cache_tokens": 573116, "stride": 5},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{clientKey}}},
	}
}
