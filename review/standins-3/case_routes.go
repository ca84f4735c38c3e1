package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// The case "routes": the operator replaces a few hundred routes by new ones, again and again, and
// each new route gets one request at each entry. What entries keep of routes that are gone takes
// more memory than their machines have.

const (
	// changes configurations come, one at each changeGap. Each has newRoutes routes that no other had.
	changes      = 46
	changeGap    = time.Second
	newRoutes    = 390
	requestGap   = time.Millisecond
	applied      = 300 * time.Millisecond
	firstVersion = 7
)

func playRoutes(play *play) (bool, error) {
	var err error
	if play.store, err = newStore(); err != nil {
		return false, err
	}
	play.store.put("op/config", routesConfig(firstVersion, 0))
	for _, zone := range []string{"maz-a", "maz-b", "maz-c"} {
		started, err := play.startRunner(bookService, zone, time.Millisecond, neverLost)
		if err != nil {
			return false, err
		}
		defer started.stop()
	}
	if err := play.startEntries(); err != nil {
		return false, err
	}
	client := newClient()
	begin := time.Now()
	for change := range changes {
		time.Sleep(time.Until(begin.Add(time.Duration(change) * changeGap)))
		round := 0
		if play.trouble {
			round = change
			play.store.put("op/config", routesConfig(firstVersion+change, round))
			time.Sleep(applied)
		}
		served := play.requestRoutes(client, round)
		play.record.add("version %d: %d of %d requests served; memory of the entries: %s", firstVersion+round, served, newRoutes*len(play.entries), play.memory())
	}
	return play.judgeMemory(), nil
}

// routesConfig is a configuration whose routes have names of the round.
func routesConfig(version, round int) map[string]any {
	config := partsConfig()
	config["version"] = version
	var routes []map[string]any
	for number := range newRoutes {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%d-%d", round, number), "hostname": hostName, "prefix": routePrefix(round, number), "kind": "safe",
			"timeout_ms": 1000, "target_latency_ms": 150, "priority": 2, "service": bookService, "max_attempts": 2, "public": true,
			"sticky": false, "stream_resume": false,
		})
	}
	config["routes"] = routes
	return config
}

func routePrefix(round, number int) string { return fmt.Sprintf("/n%d/%d/", round, number) }

// requestRoutes sends each entry one request for each route of the round. It returns how many were
// served.
func (play *play) requestRoutes(client *client, round int) int64 {
	var served atomic.Int64
	var running sync.WaitGroup
	for number := range newRoutes {
		time.Sleep(requestGap)
		for _, entry := range play.entries {
			running.Go(func() {
				sent := &call{id: randomID(), method: "GET", path: routePrefix(round, number) + "x", patience: time.Second}
				client.do(entry, sent)
				if sent.status == 200 {
					served.Add(1)
				}
			})
		}
	}
	running.Wait()
	return served.Load()
}

// memory returns the largest resident memory of each entry so far.
func (play *play) memory() string {
	text := ""
	for _, entry := range play.entries {
		text += fmt.Sprintf(" %d MB", readPeakKB(entry.command.Process.Pid)>>10)
	}
	return text
}

// judgeMemory returns whether an entry took more memory than its machine has, at which it is killed.
func (play *play) judgeMemory() bool {
	over := 0
	for _, entry := range play.entries {
		peak := max(entry.peakKB.Load(), readPeakKB(entry.command.Process.Pid)) >> 10
		play.record.say("%s: at most %d MB of %d MB, ended by itself: %t", entry.name, peak, memoryMB, entry.ended.Load())
		if peak > memoryMB || entry.ended.Load() {
			over++
		}
	}
	play.record.say("%d of %d entries took more memory than their machine has", over, len(play.entries))
	return over >= minOver
}

// minOver is on how many machines at least processes must end.
const minOver = 2
