package capacity

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/admission"
	"endivepost/internal/core/event"
	"endivepost/internal/core/idempotency"
	"endivepost/internal/core/router"
	"endivepost/internal/policy/fixed"
	"endivepost/internal/policy/latebinding"
	"endivepost/internal/policy/tiered"
	"endivepost/internal/wire/message"
)

// measurements lists the measurements in the order of the table.
func measurements() []measurement {
	// Rows are numbers of requests, reservations, stored runs or accounts.
	rows := []int{64, 256, 1024, 4096}
	peers := []int{16, 64, 256, 1024}
	return []measurement{
		{"entry: memory of a connected sidecar's row", "B", peers, func(size int) float64 {
			return retainedHeap(func() any { return newRouter(size) })
		}},
		{"entry: memory of a queued request (1 KB body)", "B", rows, func(size int) float64 {
			return retainedHeap(func() any { return withRequests(newRouter(16), size) })
		}},
		{"entry: time to handle one heartbeat from each sidecar", "us", peers, handleHeartbeats},
		{"entry: time to send a round of heartbeats", "us", peers, sendHeartbeats},
		{"entry: time to place and finish requests among 16 sidecars", "us", rows, placeRequests},
		{"entry: time to place and finish 256 requests, by sidecars", "us", peers, func(size int) float64 {
			return completeRequests(newRouter(size), 256)
		}},
		{"sidecar: memory of a queued reservation", "B", rows, func(size int) float64 {
			return retainedHeap(func() any { return withReservations(newController(0), size) })
		}},
		{"sidecar: memory of a stored run (600 B response)", "B", rows, func(size int) float64 {
			return retainedHeap(func() any { return withRuns(newController(size), size) })
		}},
		{"sidecar: time to reserve, claim, grant, run and end", "us", rows, func(size int) float64 {
			sidecar := newController(size)
			return elapsedMicros(func() { withRuns(sidecar, size) })
		}},
		{"sidecar: time to send a round of heartbeats, by entries", "us", peers, func(size int) float64 {
			sidecar := controllerWithLinks(size)
			return elapsedMicros(func() { sidecar.Step(time.Minute, nil) })
		}},
		{"all: size of the class document, by accounts", "B", rows, func(size int) float64 { return float64(len(newDocument(size, 64))) }},
		{"all: time to accept the class document, by accounts", "us", rows, func(size int) float64 {
			raw := newDocument(size, 64)
			return elapsedMicros(func() { _, _ = document.Parse(raw) })
		}},
		{"all: memory of the class document, by accounts", "B", rows, func(size int) float64 {
			raw := newDocument(size, 64)
			defer runtime.KeepAlive(raw)
			return retainedHeap(func() any { parsed, _ := document.Parse(raw); return parsed })
		}},
		{"all: size of a change of one account, by accounts", "B", rows, func(size int) float64 {
			before, after := changedDocument(size)
			encoded, _ := json.Marshal(document.Diff(before, after))
			return float64(len(encoded))
		}},
		{"all: time to apply a change of one account, by accounts", "us", rows, func(size int) float64 {
			before, after := changedDocument(size)
			patch := document.Diff(before, after)
			return elapsedMicros(func() {
				_, _ = before.Apply(patch)
			})
		}},
		{"all: memory of an idle connection, both ends", "B", []int{16, 64, 256, 512}, linkMemory},
		{"all: processor time of a heartbeat, both ends", "us", []int{256, 1024, 4096, 16384}, heartbeatTime},
	}
}

func newDocument(accounts, upstreams int) []byte {
	written := document.Document{Version: 1, Classes: []document.Class{
		{Name: "class-1", Tier: 1, Model: "model-1", FirstToken: document.Duration(time.Second)},
	}}
	for i := range accounts {
		written.Accounts = append(written.Accounts, document.Account{
			Name: fmt.Sprintf("account-%d", i), KeySHA256: fmt.Sprintf("%064x", i), DefaultClass: "class-1",
		})
	}
	for i := range upstreams {
		written.Upstreams = append(written.Upstreams, document.Upstream{Name: sidecarName(i), Model: "model-1"})
	}
	raw, _ := json.Marshal(written)
	return raw
}

// changedDocument returns a document before and after a change of one account.
func changedDocument(accounts int) (before, after document.Document) {
	before, _ = document.Parse(newDocument(accounts, 64))
	changed, _ := document.Parse(newDocument(accounts, 64))
	changed.Version++
	changed.Accounts[0].Classes = []string{"class-1"}
	raw, _ := json.Marshal(changed)
	after, _ = document.Parse(raw)
	return before, after
}

func sidecarName(i int) string {
	return fmt.Sprintf("runner-%d", i)
}

const readyGrace = time.Millisecond

// newRouter returns a router connected to the number of sidecars. Its clock is past
// readyGrace, so that it is ready.
func newRouter(sidecars int) *router.Router {
	entry := router.New(router.Settings{
		Name: "entry-1", Placement: latebinding.New(2), Queue: tiered.New[message.RequestID](tiered.Floor{Wait: time.Second, Every: 10}),
		Random: rand.New(rand.NewPCG(1, 1)), QueueCapacity: 1 << 20, SubsetSize: 1 << 20, WatchersPerDomain: 1, PushLease: 2 * time.Second,
		HeartbeatInterval: time.Second, HeartbeatTimeout: time.Hour, ReattachTimeout: time.Second, ReadyGrace: readyGrace, RedialDelay: time.Second,
	})
	members := make([]event.Member, sidecars)
	for i := range members {
		members[i] = event.Member{Name: sidecarName(i), Address: "127.0.0.1:1", Role: "sidecar"}
	}
	entry.Step(0, []event.Input{event.DocumentRead{Raw: newDocument(1, sidecars)}, event.MembersRead{Members: members}})
	for i := range sidecars {
		entry.Step(0, []event.Input{event.LinkOpened{Peer: sidecarName(i), Link: 1, Boot: 1}})
	}
	entry.Step(2*readyGrace, heartbeats(sidecars, message.Load{Limit: 1, Running: 1}))
	return entry
}

func heartbeats(sidecars int, load message.Load) []event.Input {
	inputs := make([]event.Input, sidecars)
	for i := range inputs {
		heartbeat := message.Heartbeat{Uptime: time.Second, ConfigVersion: 1, Load: load}
		inputs[i] = event.Received{Peer: sidecarName(i), Link: 1, Message: heartbeat}
	}
	return inputs
}

func handleHeartbeats(sidecars int) float64 {
	entry := newRouter(sidecars)
	inputs := heartbeats(sidecars, message.Load{Limit: 1, Running: 1})
	return elapsedMicros(func() { entry.Step(10*readyGrace, inputs) })
}

func sendHeartbeats(sidecars int) float64 {
	entry := newRouter(sidecars)
	return elapsedMicros(func() { entry.Step(2*time.Second, nil) })
}

func submitted(sequence int) event.Submitted {
	class := document.Class{Name: "class-1", Tier: 1, Model: "model-1", GiveUpAfter: document.Duration(time.Hour)}
	return event.Submitted{Request: event.Request{
		ID: message.NewRequestID(1, uint64(sequence)), Account: "account-1", Class: class, Payload: message.Payload{Body: make([]byte, 1024)},
	}}
}

func withRequests(entry *router.Router, count int) *router.Router {
	for i := range count {
		entry.Step(3*readyGrace, []event.Input{submitted(i + 1)})
	}
	return entry
}

func placeRequests(count int) float64 {
	return completeRequests(newRouter(16), count)
}

// completeRequests returns the time in microseconds to reserve, claim, grant and
// complete count requests.
func completeRequests(entry *router.Router, count int) float64 {
	return elapsedMicros(func() {
		for i := range count {
			completeRequest(entry, i+1)
		}
	})
}

func completeRequest(entry *router.Router, sequence int) {
	now := 3 * readyGrace
	for _, output := range entry.Step(now, []event.Input{submitted(sequence)}) {
		sent, ok := output.(event.Send)
		if !ok {
			continue
		}
		reserve, ok := sent.Message.(message.Reserve)
		if !ok {
			continue
		}
		from := func(body message.Message) event.Input { return event.Received{Peer: sent.Peer, Link: 1, Message: body} }
		entry.Step(now, []event.Input{from(message.Claim{ID: reserve.ID})})
		entry.Step(now, []event.Input{
			from(message.Chunk{ID: reserve.ID}), from(message.Chunk{ID: reserve.ID, Index: 1}),
			from(message.End{ID: reserve.ID, Chunks: 2, Outcome: message.Complete}),
		})
		return
	}
}

// peer is the name of an entry's connection: the entry's name and its incarnation.
const peer = "entry-1/1"

func newController(slots int) *admission.Controller {
	sidecar := admission.New(admission.Settings{
		Name: "runner-0", Order: tiered.New[message.RequestID](tiered.Floor{Wait: time.Second, Every: 10}), Limit: fixed.Limit(slots),
		Keys: idempotency.Settings{Capacity: 1 << 20}, QueueCapacity: 1 << 20, ClaimLease: time.Second, PushLease: time.Second,
		HeartbeatInterval: time.Second, HeartbeatTimeout: time.Hour, ReattachTimeout: time.Hour, ReplayBytes: 1 << 20,
	})
	sidecar.Step(0, []event.Input{event.LinkOpened{Peer: peer, Link: 1, Boot: 1}, event.DocumentRead{Raw: newDocument(1, 1)}})
	return sidecar
}

func controllerWithLinks(links int) *admission.Controller {
	sidecar := newController(0)
	for i := range links {
		sidecar.Step(0, []event.Input{event.LinkOpened{Peer: fmt.Sprintf("entry-%d/1", i+2), Link: 1, Boot: 1}})
	}
	return sidecar
}

func received(body message.Message) event.Input {
	return event.Received{Peer: peer, Link: 1, Message: body}
}

func reservation(sequence int) message.Reserve {
	return message.Reserve{
		ID: message.NewRequestID(1, uint64(sequence)), Class: "class-1", Account: "account-1", Tier: 1, Timeout: time.Hour,
	}
}

func withReservations(sidecar *admission.Controller, count int) *admission.Controller {
	for i := range count {
		sidecar.Step(0, []event.Input{received(reservation(i + 1))})
	}
	return sidecar
}

// chunksPerRun chunks of 200 B are the 600 B response of a stored run.
const chunksPerRun = 3

func withRuns(sidecar *admission.Controller, count int) *admission.Controller {
	for i := range count {
		reserve := reservation(i + 1)
		sidecar.Step(0, []event.Input{received(reserve)})
		sidecar.Step(0, []event.Input{received(message.Grant{ID: reserve.ID})})
		for range chunksPerRun {
			sidecar.Step(0, []event.Input{event.ResponseChunk{ID: reserve.ID, Data: make([]byte, 200)}})
		}
		sidecar.Step(0, []event.Input{event.RunEnded{ID: reserve.ID, Outcome: message.Complete}})
	}
	return sidecar
}
