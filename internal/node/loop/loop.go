// Package loop runs a core on the wall clock.
package loop

import (
	"context"
	"time"

	"endivepost/internal/core/event"
)

// Loop is the one goroutine that steps a core. It wakes on an input and when
// the core is due, and takes what has gathered in one step, so that a burst
// costs few steps.
type Loop struct {
	core    Core
	perform func(event.Output)
	inbox   chan event.Input
	visits  chan func()
	boot    time.Time
}

// Core is the part of a core that a loop needs.
type Core interface {
	Step(now time.Duration, inputs []event.Input) []event.Output
	NextDue() time.Duration
}

const (
	inboxLength = 8192
	mostInputs  = 256
	longestIdle = time.Second
)

// New returns a loop. Perform carries an output out and must not block. Boot is
// the instant of uptime zero.
func New(core Core, boot time.Time, perform func(event.Output)) *Loop {
	return &Loop{
		core: core, perform: perform, boot: boot,
		inbox:  make(chan event.Input, inboxLength),
		visits: make(chan func()),
	}
}

// Post gives the core an input. It blocks while the inbox is full, which slows
// the sockets down and not the core.
func (loop *Loop) Post(input event.Input) {
	loop.inbox <- input
}

// Inspect runs the function between two steps, where it may read the core.
func (loop *Loop) Inspect(ctx context.Context, visit func()) {
	done := make(chan struct{})
	wrapped := func() {
		visit()
		close(done)
	}
	select {
	case loop.visits <- wrapped:
		<-done
	case <-ctx.Done():
	}
}

// Uptime returns the time since boot.
func (loop *Loop) Uptime() time.Duration {
	return time.Since(loop.boot)
}

// Run steps the core until the context ends.
func (loop *Loop) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(loop.idleFor())
		select {
		case <-ctx.Done():
			return
		case visit := <-loop.visits:
			visit()
		case input := <-loop.inbox:
			loop.step(loop.gather(input))
		case <-timer.C:
			loop.step(nil)
		}
	}
}

func (loop *Loop) idleFor() time.Duration {
	idle := loop.core.NextDue() - loop.Uptime()
	return min(max(idle, 0), longestIdle)
}

func (loop *Loop) gather(first event.Input) []event.Input {
	inputs := []event.Input{first}
	for len(inputs) < mostInputs {
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
