package simulation

import (
	"fmt"
	"time"

	"endivepost/internal/core/event"
)

func linkKey(entry, sidecar string) string {
	return entry + ">" + sidecar
}

func (simulation *simulation) sidecarNamed(name string) *process {
	for _, process := range simulation.sidecars {
		if process.name == name {
			return process
		}
	}
	return nil
}

// dialTimeout is how long a dial waits for the handshake of a paused sidecar.
const dialTimeout = time.Second

// dial opens a connection unless the sidecar is dead or partitioned from the entry. A paused
// sidecar does not answer the handshake until its pause ends.
func (simulation *simulation) dial(entry *process, wanted event.Dial) {
	simulation.dials++
	sidecar := simulation.sidecarNamed(wanted.Peer)
	boot := entry.boot
	simulation.after(simulation.jitter(5), func() {
		if remaining := sidecar.pausedUntil - simulation.now; sidecar.alive && remaining > 0 {
			simulation.after(min(remaining, dialTimeout), func() { simulation.handshake(entry, boot, wanted) })
			return
		}
		simulation.handshake(entry, boot, wanted)
	})
}

func (simulation *simulation) handshake(entry *process, boot uint64, wanted event.Dial) {
	sidecar := simulation.sidecarNamed(wanted.Peer)
	if !entry.alive || entry.boot != boot {
		return
	}
	silent := simulation.now < sidecar.pausedUntil || sidecar.machineDown || simulation.partitioned[linkKey(entry.name, sidecar.name)]
	if !sidecar.alive || silent {
		simulation.deliver(entry, event.LinkClosed{Peer: wanted.Peer, Link: wanted.Link, TimedOut: silent})
		return
	}
	simulation.sequence++
	peer := fmt.Sprintf("%s/%x", entry.name, entry.boot)
	opened := &connection{entry: entry, sidecar: sidecar, peer: peer, entryLink: wanted.Link, sidecarLink: simulation.sequence, open: true}
	simulation.connections[linkKey(entry.name, sidecar.name)] = opened
	simulation.deliver(sidecar, event.LinkOpened{Peer: peer, Link: opened.sidecarLink, Boot: entry.boot})
	simulation.deliver(entry, event.LinkOpened{Peer: sidecar.name, Link: opened.entryLink, Boot: sidecar.boot})
}

// openConnections returns the open connections in a deterministic order.
func (simulation *simulation) openConnections() []*connection {
	var connections []*connection
	for _, entry := range simulation.entries {
		for _, sidecar := range simulation.sidecars {
			if connection, ok := simulation.connections[linkKey(entry.name, sidecar.name)]; ok && connection.open {
				connections = append(connections, connection)
			}
		}
	}
	return connections
}

// send delivers a message in order and after a delay, unless its connection was
// closed or drops messages.
func (simulation *simulation) send(from *process, output event.Send) {
	for _, connection := range simulation.openConnections() {
		if !connection.open || connection.blackholed {
			continue
		}
		if connection.entry == from && connection.sidecar.name == output.Peer && connection.entryLink == output.Link {
			simulation.deliverLater(connection, &connection.lastAtSidecar, connection.sidecar,
				event.Received{Peer: connection.peer, Link: connection.sidecarLink, Message: output.Message})
		}
		if connection.sidecar == from && connection.peer == output.Peer && connection.sidecarLink == output.Link {
			simulation.deliverLater(connection, &connection.lastAtEntry, connection.entry,
				event.Received{Peer: connection.sidecar.name, Link: connection.entryLink, Message: output.Message})
		}
	}
}

func (simulation *simulation) deliverLater(connection *connection, last *time.Duration, to *process, received event.Received) {
	arrival := max(*last, simulation.now+time.Millisecond+simulation.jitter(4))
	*last = arrival
	boot := to.boot
	simulation.after(arrival-simulation.now, func() {
		if connection.open && !connection.blackholed && to.boot == boot {
			simulation.deliver(to, received)
		}
	})
}

// disconnect closes a connection. Messages in transit are lost.
func (simulation *simulation) disconnect(connection *connection) {
	if !connection.open {
		return
	}
	connection.open = false
	entryBoot, sidecarBoot := connection.entry.boot, connection.sidecar.boot
	simulation.after(simulation.jitter(5), func() {
		if connection.entry.boot == entryBoot {
			simulation.deliver(connection.entry, event.LinkClosed{Peer: connection.sidecar.name, Link: connection.entryLink})
		}
	})
	simulation.after(simulation.jitter(5), func() {
		if connection.sidecar.boot == sidecarBoot {
			simulation.deliver(connection.sidecar, event.LinkClosed{Peer: connection.peer, Link: connection.sidecarLink})
		}
	})
}

func (simulation *simulation) closeLink(from *process, output event.CloseLink) {
	for _, connection := range simulation.openConnections() {
		byEntry := connection.entry == from && connection.sidecar.name == output.Peer && connection.entryLink == output.Link
		bySidecar := connection.sidecar == from && connection.peer == output.Peer && connection.sidecarLink == output.Link
		if byEntry || bySidecar {
			connection.blackholed = false
			simulation.disconnect(connection)
		}
	}
}

// heal ends all faults and restarts dead processes. Blackholed connections stay, since
// the cores must detect them by the heartbeat timeout.
func (simulation *simulation) heal() {
	simulation.partitioned = make(map[string]bool)
	simulation.serviceUp = true
	for _, process := range append(append([]*process{}, simulation.entries...), simulation.sidecars...) {
		process.pausedUntil = 0
		process.upstreamDownUntil = 0
		if !process.alive || process.drained {
			simulation.restart(process)
			continue
		}
		if process.isEntry {
			continue
		}
		simulation.deliver(process, event.UpstreamChecked{Up: true})
	}
}
