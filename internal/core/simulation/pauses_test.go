package simulation

import (
	"testing"
	"time"

	"endivepost/internal/wire/message"
)

// pauses are the lengths of the pauses of a process that must not end an answer.
var pauses = []time.Duration{
	500 * time.Millisecond, time.Second, 1500 * time.Millisecond, 1900 * time.Millisecond, 3 * time.Second, 5 * time.Second, 10 * time.Second,
}

// checkPauses starts streams, pauses the processes in the middle of them, and checks that all
// streams complete.
func checkPauses(t *testing.T, paused func(simulation *simulation) []*process) {
	t.Helper()
	const seeds = 20
	for _, pause := range pauses {
		cut, total := 0, 0
		for seed := range uint64(seeds) {
			for _, stream := range streamsDuring(seed, pause, paused) {
				total++
				if stream.finish == nil || stream.finish.Outcome != message.Complete {
					cut++
				}
			}
		}
		if cut > 0 {
			t.Errorf("pause of %v: %d of %d streams did not complete, want all to complete", pause, cut, total)
		}
	}
}

// streamsDuring returns the streams once they have had time to end. An odd seed has two
// sidecars, an even one has one.
func streamsDuring(seed uint64, pause time.Duration, paused func(simulation *simulation) []*process) []*sentRequest {
	sidecars := 1 + int(seed%2)
	simulation := newSimulation(seed, 1, sidecars, published(1, sidecars))
	simulation.advance(3 * time.Second)
	var streams []*sentRequest
	for range slots * sidecars {
		streams = append(streams, simulation.submit(simulation.entries[0], classes()[0], "body", "", true))
		simulation.advance(10 * time.Millisecond)
	}
	simulation.advance(50 * time.Millisecond)
	for _, process := range paused(simulation) {
		simulation.pause(process, pause)
	}
	simulation.advance(pause + time.Minute)
	return streams
}

// TestSilentSidecarsCutStreams guards against the loss of streams that have nowhere else to
// go while all sidecars are paused.
func TestSilentSidecarsCutStreams(t *testing.T) {
	t.Parallel()
	checkPauses(t, func(simulation *simulation) []*process { return simulation.sidecars })
}

// TestStreamsLeaveSilentSidecarForFullQueue guards against streams that leave a paused sidecar
// for the queue of another one whose slots are all in use, and end there at their deadline.
func TestStreamsLeaveSilentSidecarForFullQueue(t *testing.T) {
	t.Parallel()
	checkPauses(t, func(simulation *simulation) []*process {
		if len(simulation.sidecars) == 1 {
			return nil
		}
		busy := simulation.sidecars[1]
		for _, id := range simulation.recorder.runsInOrder(busy) {
			busy.runs[id].delay = 15 * time.Second
		}
		return simulation.sidecars[:1]
	})
}

// TestPausedEntryCutsStreams guards against an entry that takes its own pause for the silence
// of its sidecars.
func TestPausedEntryCutsStreams(t *testing.T) {
	t.Parallel()
	checkPauses(t, func(simulation *simulation) []*process { return simulation.entries })
}
