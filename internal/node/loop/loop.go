// Package loop runs a core, a deterministic state machine without I/O, on the wall clock.
package loop

import (
	"context"
	"time"

	"endivepost/internal/core/event"
)

// Loop is the only goroutine that steps a core. It steps on an input and when the core is
// due, and handles the inputs queued by then together, so that a burst takes few steps.
type Loop struct {
	core        Core
	perform     func(event.Output)
	inbox       chan event.Input
	inspections chan func()
	bootTime    time.Time
}

// Core is the state machine that a Loop runs. Step handles the inputs at the given uptime
// and returns the outputs; NextDue returns the uptime at which it is to be stepped without
// inputs.
type Core interface {
	Step(now time.Duration, inputs []event.Input) []event.Output
	NextDue() time.Duration
}

const (
	// inboxCapacity is the number of inputs that may be queued before Post blocks.
	inboxCapacity    = 8192
	maxInputsPerStep = 256
	// maxIdle bounds the wait for an input before a step, also if the core is due later.
	maxIdle = time.Second
)

// New returns a loop. It calls perform for each output, on the goroutine of Run; perform
// must not block and so must not call Post. BootTime is the time at which the uptime is
// zero.
func New(core Core, bootTime time.Time, perform func(event.Output)) *Loop {
	return &Loop{
		core: core, perform: perform, bootTime: bootTime,
		inbox:       make(chan event.Input, inboxCapacity),
		inspections: make(chan func()),
	}
}

// Post queues an input for the core. It blocks while the inbox is full: that delays the
// goroutines of connections, not the core.
func (loop *Loop) Post(input event.Input) {
	loop.inbox <- input
}

// Inspect runs the function between two steps, when it may read the core, and waits for it.
// It does nothing if the context is done first.
func (loop *Loop) Inspect(ctx context.Context, inspect func()) {
	done := make(chan struct{})
	wrapped := func() {
		inspect()
		close(done)
	}
	select {
	case loop.inspections <- wrapped:
		<-done
	case <-ctx.Done():
	}
}

// Uptime returns the time since bootTime.
func (loop *Loop) Uptime() time.Duration {
	return time.Since(loop.bootTime)
}

// Run steps the core until the context is done.
func (loop *Loop) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(loop.idleFor())
		select {
		case <-ctx.Done():
			return
		case inspect := <-loop.inspections:
			inspect()
		case input := <-loop.inbox:
			loop.step(loop.gather(input))
		case <-timer.C:
			loop.step(nil)
		}
	}
}

// idleFor returns the time until the core is due, at most maxIdle.
func (loop *Loop) idleFor() time.Duration {
	idle := loop.core.NextDue() - loop.Uptime()
	return min(max(idle, 0), maxIdle)
}

// gather returns the first input and those queued behind it, without waiting.
func (loop *Loop) gather(first event.Input) []event.Input {
	inputs := []event.Input{first}
	for len(inputs) < maxInputsPerStep {
		select {
		case input := <-loop.inbox:
			inputs = append(inputs, input)
		default:
			return inputs
		}
	}
	return inputs
}

func (loop *Loop) step(inputs []event.Input) {
	for _, output := range loop.core.Step(loop.Uptime(), inputs) {
		loop.perform(output)
	}
}
