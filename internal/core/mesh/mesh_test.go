package mesh_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/core/mesh"
)

func newMesh(self string, fanout int) *mesh.Mesh {
	return mesh.New(mesh.Settings{
		Self: self, Fanout: fanout, HeartbeatTimeout: 2 * time.Second, RedialDelay: 300 * time.Millisecond, Random: rand.New(rand.NewPCG(1, 1)),
	})
}

// TestOtherPeersAreDialledAfterFailures guards against an entry that stays without
// peers: once the chosen ones have been unreachable for long, other known ones are
// dialled.
func TestOtherPeersAreDialledAfterFailures(t *testing.T) {
	subject := newMesh("self", 1)
	subject.AddPeer(0, "a")
	subject.AddPeer(0, "b")
	dialled := make(map[string]int)
	for now := time.Duration(0); now < 2*time.Minute; now += 100 * time.Millisecond {
		for _, output := range subject.Dial(now) {
			dial, ok := output.(event.Dial)
			if !ok {
				continue
			}
			dialled[dial.Address]++
			subject.HandleClosed(now, event.LinkClosed{Peer: dial.Peer, Link: dial.Link})
		}
	}
	if dialled["a"] == 0 || dialled["b"] == 0 {
		t.Errorf("dialled %v, want a and b dialled", dialled)
	}
}

// TestSimultaneousDialsKeepOneLink guards against two entries that dial each other
// at the same time and then close both links or keep different ones.
func TestSimultaneousDialsKeepOneLink(t *testing.T) {
	lower, higher := newMesh("a", 4), newMesh("b", 4)
	lower.AddPeer(0, "b")
	higher.AddPeer(0, "a")
	fromLower, _ := lower.Dial(0)[0].(event.Dial)
	fromHigher, _ := higher.Dial(0)[0].(event.Dial)
	for _, order := range []bool{true, false} {
		open := func(subject *mesh.Mesh, first, second event.LinkOpened) {
			if !order {
				first, second = second, first
			}
			subject.HandleOpened(0, first)
			subject.HandleOpened(0, second)
		}
		open(lower, event.LinkOpened{Peer: fromLower.Peer, Link: fromLower.Link}, event.LinkOpened{Peer: mesh.AcceptedKey("b"), Link: 9})
		open(higher, event.LinkOpened{Peer: fromHigher.Peer, Link: fromHigher.Link}, event.LinkOpened{Peer: mesh.AcceptedKey("a"), Link: 9})
		if got := lower.Send(nil); len(got) != 1 || got[0] != (event.Send{Peer: fromLower.Peer, Link: fromLower.Link}) {
			t.Errorf("lower address: kept links %+v, want only the one it dialled", got)
		}
		if got := higher.Send(nil); len(got) != 1 || got[0] != (event.Send{Peer: mesh.AcceptedKey("a"), Link: 9}) {
			t.Errorf("higher address: kept links %+v, want only the one it accepted", got)
		}
	}
}

// dialAll dials what is due, and opens the links if reachable is true.
func dialAll(subject *mesh.Mesh, now time.Duration, reachable bool) (opened int) {
	for _, output := range subject.Dial(now) {
		dial, ok := output.(event.Dial)
		switch {
		case !ok:
		case reachable:
			opened++
			subject.HandleOpened(now, event.LinkOpened{Peer: dial.Peer, Link: dial.Link})
		default:
			subject.HandleClosed(now, event.LinkClosed{Peer: dial.Peer, Link: dial.Link})
		}
	}
	return opened
}

// TestLongCutHeals guards against an entry that forgets the others while it is cut off from
// them, and they it, so that they never connect again.
func TestLongCutHeals(t *testing.T) {
	t.Parallel()
	const connected, step = 40 * time.Second, 100 * time.Millisecond
	for _, cut := range []time.Duration{5 * time.Second, 20 * time.Second, 5 * time.Minute} {
		subject := newMesh("self", 4)
		subject.AddPeer(0, "a")
		dialAll(subject, 0, true)
		subject.HandleClosed(connected, event.LinkClosed{Peer: "dial:a", Link: 1})
		healed := connected + cut
		for now := connected; now < healed; now += step {
			dialAll(subject, now, false)
		}
		opened := 0
		for now := healed; now < healed+10*time.Second; now += step {
			opened += dialAll(subject, now, true)
		}
		if opened == 0 {
			t.Errorf("no link within 10 s after a cut of %s, want one", cut)
		}
	}
}

// TestUnreachablePeerDoesNotCount guards against sharing limits with entries that are gone.
func TestUnreachablePeerDoesNotCount(t *testing.T) {
	t.Parallel()
	subject := newMesh("self", 4)
	subject.AddPeer(0, "a")
	for now := time.Duration(0); now < 2*time.Minute; now += 100 * time.Millisecond {
		dialAll(subject, now, false)
	}
	if known := subject.KnownCount(); known != 1 {
		t.Errorf("got %d known entries, want only this one", known)
	}
}
