package main

import (
	"strings"
	"sync"
	"time"
)

// The case "versions": while the store is down, idle engines crash and start again under their
// ids with another version of their software. They crash again in the middle of streams, which
// go on at engines of the first version.

const (
	outageAt  = 5 * time.Second
	outageFor = 8 * time.Second
	// idleCrashAt is when two of nine engines crash, without any request. They are back idleCrashFor later.
	idleCrashAt  = 6 * time.Second
	idleCrashFor = 2 * time.Second
	// streamsAt is when streams begin, for streamsFor, and secondCrashAt when the engines crash again.
	streamsAt     = 9 * time.Second
	streamsFor    = 1500 * time.Millisecond
	secondCrashAt = 10700 * time.Millisecond
	longEvents    = 120
	// maxJoined is how many streams the rule lets hold events of two versions.
	maxJoined = 2
)

func playVersions(play *play) (bool, error) {
	var err error
	if play.store, err = newStore(); err != nil {
		return false, err
	}
	play.store.put("op/config", partsConfig())
	var engines []*engine
	for i := range engineCount {
		started, err := play.newEngine(modelService, "maz-"+string("abc"[i%3]), "v1")
		if err != nil {
			return false, err
		}
		started.events = longEvents
		engines = append(engines, started)
	}
	if err := play.startEntries(); err != nil {
		return false, err
	}
	begin := time.Now()
	go play.outage(begin)
	go play.changeVersions(begin, engines[:crashed])
	streams := play.sendStreams(begin)
	return play.judgeJoined(streams), nil
}

// outage has the store answer nothing for a time.
func (play *play) outage(begin time.Time) {
	if !play.trouble {
		return
	}
	time.Sleep(time.Until(begin.Add(outageAt)))
	play.record.say("the store is down for %s", outageFor)
	play.store.setDown(true)
	time.Sleep(outageFor)
	play.store.setDown(false)
	play.record.say("the store is back")
}

// changeVersions crashes the engines and starts them again with another version, twice.
func (play *play) changeVersions(begin time.Time, engines []*engine) {
	for _, at := range []time.Duration{idleCrashAt, secondCrashAt} {
		time.Sleep(time.Until(begin.Add(at)))
		for _, engine := range engines {
			engine.crash()
			play.record.say("engine %s crashes with %d requests inside", engine.id, engine.broken.Load())
		}
		time.Sleep(idleCrashFor)
		for _, engine := range engines {
			engine.version = "v2"
			if err := engine.start(engine.id); err != nil {
				play.record.say("an engine did not start again: %v", err)
				continue
			}
			play.record.say("engine %s is back under its id with version v2", engine.id)
		}
	}
}

// sendStreams asks for streams and returns them.
func (play *play) sendStreams(begin time.Time) []*call {
	client := newClient()
	var mutex sync.Mutex
	var streams []*call
	time.Sleep(time.Until(begin.Add(streamsAt)))
	every(15*time.Millisecond, streamsFor, func() {
		sent := &call{
			id: randomID(), method: "POST", path: "/plan/" + randomID(), patience: 8 * time.Second, body: "plan",
			header: map[string]string{"X-Prompt-Prefix": randomID()[:8] + ":300," + randomID()[:8] + ":200", "X-Token-Usage": "500,600", "X-Model": "m"},
		}
		to := client.next(play.entries)
		client.do(to, sent)
		first, second := strings.Count(sent.text, "of v1\n"), strings.Count(sent.text, "of v2\n")
		play.record.add("stream %s from %s: status %d, %d events of v1, %d of v2, seal %s, error %v",
			sent.id, to.name, sent.status, first, second, sent.seal, sent.err)
		mutex.Lock()
		defer mutex.Unlock()
		streams = append(streams, sent)
	})
	return streams
}

// judgeJoined returns whether more streams than allowed hold events of two versions.
func (play *play) judgeJoined(streams []*call) bool {
	joined, whole := 0, 0
	for _, sent := range streams {
		if strings.Contains(sent.text, "of v1\n") && strings.Contains(sent.text, "of v2\n") {
			joined++
		}
		if strings.Contains(sent.text, "id: 120\n") && sent.err == nil {
			whole++
		}
	}
	play.record.say("%d streams, %d of them whole, %d with events of two versions (allowed: %d)", len(streams), whole, joined, maxJoined)
	return joined > maxJoined
}
