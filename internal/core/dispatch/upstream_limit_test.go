package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// limitLoad is a load in which some engines name rate limits.
type limitLoad struct {
	*fleet
	// limitedAt is when each engine first named its limit, told when it told each entry.
	limitedAt map[string]time.Duration
	told      map[string]map[int]time.Duration
	arrivals  map[string][]limitedArrival
	// failed counts the requests that arrived after the limits had ended and failed.
	failed int
}

// limitedArrival is a request that reached a limited engine. Counted is true if its entry
// had been told of the limit and was in touch.
type limitedArrival struct {
	at      time.Duration
	counted bool
}

const (
	limitsFrom  = 10 * time.Second
	limitsUntil = 30 * time.Second
	limitsEnd   = 40 * time.Second
	// limitWindow is the span in which requests are counted, limitFactor and limitSlack
	// bound them: limitFactor times the limit, and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// toldDelay is the time after which an entry that was told of a limit counts.
	toldDelay = 500 * time.Millisecond
)

// newLimitLoad returns a load of the given rate per second. The engines with a limit above
// 0 name it from limitsFrom to limitsUntil.
func newLimitLoad(entries int, rate float64, limits []float64, seed uint64) *limitLoad {
	load := &limitLoad{
		fleet: newFleet(entries, len(limits), seed), limitedAt: make(map[string]time.Duration),
		told: make(map[string]map[int]time.Duration), arrivals: make(map[string][]limitedArrival),
	}
	load.after(limitsFrom, func() { load.setLimits(limits) })
	load.after(limitsUntil, func() { load.setLimits(make([]float64, len(limits))) })
	load.started = load.tell
	load.arrivedAt = load.arrive
	load.finished = func(run *fleetRun, finish event.Finish) {
		if finish.Outcome != message.Complete && run.arrived > limitsUntil+contact {
			load.failed++
		}
	}
	load.submitUntil(limitsEnd, rate)
	return load
}

func (load *limitLoad) setLimits(limits []float64) {
	for i, engine := range load.engines {
		engine.limited = limits[i] > 0
		if engine.limited {
			engine.limitPerSecond = limits[i]
		}
	}
}

func (load *limitLoad) submitUntil(end time.Duration, rate float64) {
	if load.now >= end {
		return
	}
	load.after(time.Duration(load.random.ExpFloat64()/rate*float64(time.Second)), func() {
		entry := load.entries[load.random.IntN(len(load.entries))]
		load.submit(entry, []uint64{load.random.Uint64N(10), ownPartsID + load.sequence}, false, nil)
		load.submitUntil(end, rate)
	})
}

// tell records that an engine's response names its limit.
func (load *limitLoad) tell(run *fleetRun) {
	name := run.engine.name
	if !run.engine.limited {
		return
	}
	if _, known := load.limitedAt[name]; !known {
		load.limitedAt[name] = load.now
		load.told[name] = make(map[int]time.Duration)
	}
	if _, known := load.told[name][run.entry.number]; !known {
		load.told[name][run.entry.number] = load.now
	}
}

func (load *limitLoad) arrive(run *fleetRun) {
	name := run.engine.name
	first, limited := load.limitedAt[name]
	if !limited || load.now < first+contact || load.now > limitsUntil {
		return
	}
	told, known := load.told[name][run.entry.number]
	counted := known && load.now >= told+toldDelay && load.inTouch(run.entry)
	load.arrivals[name] = append(load.arrivals[name], limitedArrival{at: load.now, counted: counted})
}

// mostInWindow returns the most counted arrivals within limitWindow.
func mostInWindow(arrivals []limitedArrival) int {
	most := 0
	for i, first := range arrivals {
		count := 0
		for _, arrival := range arrivals[i:] {
			if arrival.counted && arrival.at < first.at+limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// served is the part of what the engines' limits allow that they were sent, from contact
// after the limits until their end.
func (load *limitLoad) served() float64 {
	arrived, allowed := 0, 0.0
	for _, engine := range load.engines {
		arrived += len(load.arrivals[engine.name])
		allowed += engine.limitPerSecond * (limitsUntil - limitsFrom - contact).Seconds()
	}
	return float64(arrived) / allowed
}

func (load *limitLoad) check(t *testing.T) {
	t.Helper()
	for _, engine := range load.engines {
		if engine.limitPerSecond == 0 {
			continue
		}
		limit := int(limitFactor*limitWindow.Seconds()*engine.limitPerSecond) + limitSlack
		if most := mostInWindow(load.arrivals[engine.name]); most > limit {
			t.Errorf("%s, which named a limit of %g per second, got %d requests in %s, want at most %d",
				engine.name, engine.limitPerSecond, most, limitWindow, limit)
		}
	}
}

// checkServed checks that callers get at least half of what the limits allow if all engines
// are limited, and everything once the limits have ended.
func (load *limitLoad) checkServed(t *testing.T, limits []float64) {
	t.Helper()
	if served := load.served(); !slices.Contains(limits, 0) && served < 0.5 {
		t.Errorf("engines were sent %.2f of what their limits allow, want at least half", served)
	}
	if load.failed > 0 {
		t.Errorf("%d requests failed after the limits had ended, want none", load.failed)
	}
}

// disrupt restarts, pauses and cuts off entries in turn while engines are limited.
func (load *limitLoad) disrupt(turn int) {
	gap := max(12*time.Second/time.Duration(len(load.entries)), 1700*time.Millisecond)
	load.after(gap, func() {
		if load.now >= limitsUntil {
			return
		}
		load.disruptEntry(turn)
		load.disrupt(turn + 1)
	})
}

// TestUpstreamGetsMoreThanItsLimit guards against requests beyond the rate limit that an
// upstream named for all entries together, and against rejecting what the limits allow.
func TestUpstreamGetsMoreThanItsLimit(t *testing.T) {
	t.Parallel()
	few := slices.Concat([]float64{1, 1.2, 0.3, 10}, make([]float64, 8))
	cases := []struct {
		name   string
		rate   float64
		limits []float64
	}{
		{"few engines", 40, few},
		{"all engines", 40, slices.Repeat([]float64{2}, 12)},
	}
	for _, entries := range []int{3, 40} {
		for _, row := range cases {
			for _, disrupted := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d entries, disrupted %t", row.name, entries, disrupted), func(t *testing.T) {
					t.Parallel()
					forEachFleetSeed(t, fleetSeeds, func(t *testing.T, seed uint64) {
						load := newLimitLoad(entries, row.rate, row.limits, seed)
						if disrupted {
							load.after(limitsFrom, func() { load.disrupt(0) })
						}
						load.runUntil(t, limitsEnd+10*time.Second)
						load.check(t)
						if !disrupted {
							load.checkServed(t, row.limits)
						}
					})
				})
			}
		}
	}
}
