package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The case "takeups": all entries are killed at once and start again. Clients take up their
// streams once the entries are in touch again. One version serves all the while.

const (
	// takenUpStreams streams are in progress when all entries are killed at killAt. They start
	// again killedFor later.
	takenUpStreams = 40
	killAt         = 40 * time.Second
	killedFor      = time.Second
	// contact is how long a started entry must have run to be in touch, touchMargin is added.
	contact     = 3 * time.Second
	touchMargin = 500 * time.Millisecond
	takeUpGap   = 40 * time.Millisecond
	minTakenUp  = 12
	longDelay   = 60 * time.Millisecond
	streamLimit = 10 * time.Second
)

func playTakeUps(play *play) (bool, error) {
	var err error
	if play.store, err = newStore(); err != nil {
		return false, err
	}
	play.store.put("op/config", partsConfig())
	for i := range engineCount {
		started, err := play.newEngine(modelService, "maz-"+string("abc"[i%3]), "v1")
		if err != nil {
			return false, err
		}
		started.events, started.eventGap = longEvents, longDelay
	}
	if err := play.startEntries(); err != nil {
		return false, err
	}
	begin := time.Now()
	time.Sleep(time.Until(begin.Add(killAt - time.Second)))
	client := newClient()
	begun := play.beginStreams(client, begin.Add(killAt))
	if err := play.restartAll(begin.Add(killAt)); err != nil {
		return false, err
	}
	for _, entry := range play.entries {
		time.Sleep(time.Until(entry.startedAt.Add(contact + touchMargin)))
	}
	return play.judgeTakeUps(client, broken(begun)), nil
}

// beginStreams asks for streams, which are in progress when it returns. Without the disruption
// their clients close the connections at the time at which it would come.
func (play *play) beginStreams(client *client, breakAt time.Time) []*call {
	var begun []*call
	for range takenUpStreams {
		time.Sleep(takeUpGap / 4)
		sent := newStreamCall()
		sent.ended = make(chan struct{})
		if !play.trouble {
			sent.leaveAt = breakAt
		}
		begun = append(begun, sent)
		to := client.next(play.entries)
		go func() {
			defer close(sent.ended)
			client.do(to, sent)
			play.record.add("stream %s from %s: status %d, %d events, error %v", sent.id, to.name, sent.status, sent.events(), sent.err)
		}()
	}
	return begun
}

func newStreamCall() *call {
	return &call{
		id: randomID(), method: "POST", path: "/note/" + randomID(), patience: streamLimit, body: "note",
		header: map[string]string{"X-Prompt-Prefix": "5c1e07a2:300," + randomID()[:8] + ":200", "X-Token-Usage": "500,600", "X-Model": "m"},
	}
}

// broken returns the streams that broke off after some of their events.
func broken(begun []*call) []*call {
	var broken []*call
	for _, sent := range begun {
		<-sent.ended
		if sent.status == 200 && sent.err != nil && sent.events() > 0 {
			broken = append(broken, sent)
		}
	}
	return broken
}

// restartAll kills all entries at the time and starts them again.
func (play *play) restartAll(at time.Time) error {
	time.Sleep(time.Until(at))
	if !play.trouble {
		return nil
	}
	play.record.say("all entries are killed")
	for _, entry := range play.entries {
		entry.kill()
	}
	time.Sleep(killedFor)
	for _, entry := range play.entries {
		if err := entry.startProcess(play, false); err != nil {
			return err
		}
	}
	for _, entry := range play.entries {
		if err := entry.awaitReady(streamLimit); err != nil {
			return err
		}
	}
	play.record.say("all entries are ready again")
	return nil
}

// judgeTakeUps has the clients take up their streams while others begin, and returns whether the
// share that goes on is under half of the share that begins.
func (play *play) judgeTakeUps(client *client, broken []*call) bool {
	var mutex sync.Mutex
	var running sync.WaitGroup
	wentOn, began := 0, 0
	for _, earlier := range broken {
		time.Sleep(takeUpGap)
		running.Go(func() {
			again, fresh := takeUp(earlier), newStreamCall()
			to := client.next(play.entries)
			client.do(to, again)
			client.do(to, fresh)
			play.record.add("take-up %s of %s behind event %d at %s, started %s ago: status %d, %d events; new stream %s: status %d, %d events",
				again.id, earlier.id, earlier.events(), to.name, time.Since(to.startedAt).Round(time.Millisecond), again.status, again.events(),
				fresh.id, fresh.status, fresh.events())
			mutex.Lock()
			defer mutex.Unlock()
			if again.status == 200 && strings.HasPrefix(again.text, fmt.Sprintf("id: %d\n", earlier.events()+1)) {
				wentOn++
			}
			if fresh.status == 200 && strings.HasPrefix(fresh.text, "id: 1\n") {
				began++
			}
		})
	}
	running.Wait()
	play.record.say("%d streams broke off and are taken up, %d go on; %d new ones are asked for, %d begin", len(broken), wentOn, len(broken), began)
	return len(broken) >= minTakenUp && 2*wentOn < began
}

// takeUp returns the request that takes up the stream within what is left of its time.
func takeUp(earlier *call) *call {
	again := newStreamCall()
	again.path = earlier.path
	again.patience = streamLimit - time.Since(earlier.sentAt)
	for name, value := range earlier.header {
		again.header[name] = value
	}
	again.header["Last-Event-Id"], again.header["Resumes"] = strconv.Itoa(earlier.events()), earlier.id
	return again
}
