package simulation

import (
	"fmt"
	"time"

	"endivepost/internal/core/event"
)

func pair(entry, sidecar string) string {
	return entry + ">" + sidecar
}

func (world *world) find(name string) *node {
	for _, node := range world.sidecars {
		if node.name == name {
			return node
		}
	}
	return nil
}

// dial opens a connection unless the other side is dead, frozen or cut off.
func (world *world) dial(entry *node, wanted event.Dial) {
	world.dials++
	sidecar := world.find(wanted.Peer)
	boot := entry.boot
	world.after(world.jitter(5), func() {
		if !entry.alive || entry.boot != boot {
			return
		}
		if !sidecar.alive || world.cutOff[pair(entry.name, sidecar.name)] {
			world.tell(entry, event.LinkClosed{Peer: wanted.Peer, Link: wanted.Link})
			return
		}
		world.serial++
		peer := fmt.Sprintf("%s/%x", entry.name, entry.boot)
		opened := &wire{entry: entry, sidecar: sidecar, peer: peer, link: wanted.Link, accepted: world.serial, open: true}
		world.wires[pair(entry.name, sidecar.name)] = opened
		world.tell(sidecar, event.LinkOpened{Peer: peer, Link: opened.accepted, Boot: entry.boot})
		world.tell(entry, event.LinkOpened{Peer: sidecar.name, Link: opened.link, Boot: sidecar.boot})
	})
}

// openWires returns the connections in a fixed order.
func (world *world) openWires() []*wire {
	var wires []*wire
	for _, entry := range world.entries {
		for _, sidecar := range world.sidecars {
			if wire, ok := world.wires[pair(entry.name, sidecar.name)]; ok && wire.open {
				wires = append(wires, wire)
			}
		}
	}
	return wires
}

// send delivers in order, after a delay, unless the connection has ended.
func (world *world) send(from *node, output event.Send) {
	for _, wire := range world.openWires() {
		if !wire.open || wire.silent {
			continue
		}
		if wire.entry == from && wire.sidecar.name == output.Peer && wire.link == output.Link {
			world.carry(wire, &wire.toSidecar, wire.sidecar, event.Received{Peer: wire.peer, Link: wire.accepted, Message: output.Message})
		}
		if wire.sidecar == from && wire.peer == output.Peer && wire.accepted == output.Link {
			world.carry(wire, &wire.toEntry, wire.entry, event.Received{Peer: wire.sidecar.name, Link: wire.link, Message: output.Message})
		}
	}
}

func (world *world) carry(wire *wire, last *time.Duration, to *node, received event.Received) {
	arrival := max(*last, world.now+time.Millisecond+world.jitter(4))
	*last = arrival
	boot := to.boot
	world.after(arrival-world.now, func() {
		if wire.open && !wire.silent && to.boot == boot {
			world.tell(to, received)
		}
	})
}

// cut ends a connection; what is on its way is lost.
func (world *world) cut(wire *wire) {
	if !wire.open {
		return
	}
	wire.open = false
	entryBoot, sidecarBoot := wire.entry.boot, wire.sidecar.boot
	world.after(world.jitter(5), func() {
		if wire.entry.boot == entryBoot {
			world.tell(wire.entry, event.LinkClosed{Peer: wire.sidecar.name, Link: wire.link})
		}
	})
	world.after(world.jitter(5), func() {
		if wire.sidecar.boot == sidecarBoot {
			world.tell(wire.sidecar, event.LinkClosed{Peer: wire.peer, Link: wire.accepted})
		}
	})
}

func (world *world) hangUp(from *node, output event.CloseLink) {
	for _, wire := range world.openWires() {
		mine := wire.entry == from && wire.sidecar.name == output.Peer && wire.link == output.Link
		theirs := wire.sidecar == from && wire.peer == output.Peer && wire.accepted == output.Link
		if mine || theirs {
			wire.silent = false
			world.cut(wire)
		}
	}
}

// heal ends all faults and starts what is dead.
func (world *world) heal() {
	world.cutOff = make(map[string]bool)
	world.service = true
	for _, node := range append(append([]*node{}, world.entries...), world.sidecars...) {
		node.paused = 0
		node.down = 0
		if !node.alive || node.drained {
			world.restart(node)
			continue
		}
		if node.entry {
			continue
		}
		world.tell(node, event.UpstreamChecked{Up: true})
	}
}
