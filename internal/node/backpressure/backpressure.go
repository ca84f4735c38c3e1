// Package backpressure keeps a process from reading responses faster than its links carry them.
package backpressure

import (
	"context"
	"sync"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/node/loop"
	"endivepost/internal/wire/link"
	"endivepost/internal/wire/message"
)

// Pressure has the readers of responses wait until what they have read before was handled by
// the core and, but for a bounded rest, written to the link that carries the response. Its
// methods may be called concurrently.
type Pressure struct {
	mutex sync.Mutex
	// unhandled counts the bytes that were admitted and that the core has not handled.
	unhandled int
	handled   *sync.Cond
	// carriers are the links that carried the latest chunk of each run in progress, nil before.
	carriers map[message.RequestID]*link.Link
}

const (
	// maxUnhandledBytes bounds what waits for the core, of all runs together.
	maxUnhandledBytes = 1 << 20
	// maxUnwrittenBytes is what may wait for a link before its runs read on.
	maxUnwrittenBytes = 1 << 20
)

// New returns a Pressure without any run.
func New() *Pressure {
	pressure := &Pressure{carriers: make(map[message.RequestID]*link.Link)}
	pressure.handled = sync.NewCond(&pressure.mutex)
	return pressure
}

// Admit waits until the run may hand the bytes over to the core. Its error is that of the context.
func (pressure *Pressure) Admit(ctx context.Context, id message.RequestID, bytes int) error {
	if carrier := pressure.begin(id); carrier != nil {
		carrier.AwaitUnwritten(ctx, maxUnwrittenBytes)
	}
	stop := context.AfterFunc(ctx, func() {
		pressure.mutex.Lock()
		defer pressure.mutex.Unlock()
		pressure.handled.Broadcast()
	})
	defer stop()
	pressure.mutex.Lock()
	defer pressure.mutex.Unlock()
	for ctx.Err() == nil && pressure.unhandled > 0 && pressure.unhandled+bytes > maxUnhandledBytes {
		pressure.handled.Wait()
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	pressure.unhandled += bytes
	return nil
}

// begin records that the run is in progress, and returns the link that carries it, if any.
func (pressure *Pressure) begin(id message.RequestID) *link.Link {
	pressure.mutex.Lock()
	defer pressure.mutex.Unlock()
	carrier := pressure.carriers[id]
	pressure.carriers[id] = carrier
	return carrier
}

// Carry records that the link carries the run, unless the run has ended and is only sent again.
func (pressure *Pressure) Carry(id message.RequestID, carrier *link.Link) {
	pressure.mutex.Lock()
	defer pressure.mutex.Unlock()
	if _, running := pressure.carriers[id]; running {
		pressure.carriers[id] = carrier
	}
}

// Core returns a core that behaves as the given one and frees what it has handled.
func (pressure *Pressure) Core(core loop.Core) loop.Core {
	return countingCore{Core: core, pressure: pressure}
}

// countingCore frees the bytes of the chunks that the core has handled.
type countingCore struct {
	loop.Core
	pressure *Pressure
}

// Step implements loop.Core.
func (core countingCore) Step(now time.Duration, inputs []event.Input) []event.Output {
	outputs := core.Core.Step(now, inputs)
	for _, input := range inputs {
		core.pressure.free(input)
	}
	return outputs
}

// free frees the bytes of a chunk, and forgets a run that has ended.
func (pressure *Pressure) free(input event.Input) {
	pressure.mutex.Lock()
	defer pressure.mutex.Unlock()
	switch input := input.(type) {
	case event.ResponseChunk:
		pressure.unhandled -= len(input.Data)
		pressure.handled.Broadcast()
	case event.RunEnded:
		delete(pressure.carriers, input.ID)
	}
}
