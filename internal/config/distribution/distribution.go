// Package spread holds the class document in force and passes it on.
package distribution

import (
	"encoding/json"
	"fmt"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// Distributor accepts rising versions only and brings a peer that is behind up to
// date over the connection that stands anyway. Heartbeats carry the version
// number; on a gap the patches since the peer's version travel, or the whole
// document if they are not kept. It is asked for at most once in pullInterval,
// so that a hundred peers with news cost one copy.
type Distributor struct {
	document document.Document
	raw      []byte
	lastPull time.Duration
	pulled   bool
	whole    bool
	patches  []link
}

// link is the patch that leads from one version to the next that was in force.
type link struct {
	from  uint64
	patch []byte
}

const (
	pullInterval = 200 * time.Millisecond
	mostPatches  = 64
)

// New returns a Spread that holds no document yet.
func New() *Distributor {
	return &Distributor{}
}

// Version returns the version in force, or 0 before the first.
func (spread *Distributor) Version() uint64 {
	return spread.document.Version
}

// Document returns the document in force.
func (spread *Distributor) Document() document.Document {
	return spread.document
}

// Offer takes a document from the service or a peer. An equal or older version
// is ignored; a faulty document leaves the last accepted one in force.
func (spread *Distributor) Offer(raw []byte) []event.Output {
	parsed, err := document.Parse(raw)
	if err != nil {
		return []event.Output{event.DocumentRejected{Err: err}}
	}
	if parsed.Version <= spread.document.Version {
		return nil
	}
	if spread.document.Version > 0 {
		spread.keepPatch(document.Diff(spread.document, parsed))
	}
	return spread.accept(parsed, raw)
}

// accept puts a document in force. Raw may be nil: it is then encoded once a
// peer asks for the whole.
func (spread *Distributor) accept(accepted document.Document, raw []byte) []event.Output {
	spread.document = accepted
	spread.raw = raw
	spread.pulled = false
	spread.whole = false
	return []event.Output{event.DocumentAccepted{Document: accepted}}
}

// ObserveVersion compares a peer's version with ours and asks for the document if the
// peer's is newer.
func (spread *Distributor) ObserveVersion(now time.Duration, peer string, link, version uint64) []event.Output {
	if version <= spread.document.Version {
		return nil
	}
	if spread.pulled && now-spread.lastPull < pullInterval {
		return nil
	}
	spread.pulled = true
	spread.lastPull = now
	pull := message.ConfigPull{Have: spread.document.Version}
	if spread.whole {
		pull.Have = 0
	}
	return []event.Output{event.Send{Peer: peer, Link: link, Message: pull}}
}

// HandleConfig accepts what a peer sent. If its patches do not fit, the whole document
// is asked for next time.
func (spread *Distributor) HandleConfig(config message.Config) []event.Output {
	if len(config.Raw) > 0 {
		return spread.Offer(config.Raw)
	}
	var outputs []event.Output
	for _, encoded := range config.Patches {
		accepted, err := spread.apply(encoded)
		if err != nil {
			spread.whole = true
			return append(outputs, event.DocumentRejected{Err: err})
		}
		outputs = append(outputs, accepted...)
	}
	return outputs
}

func (spread *Distributor) apply(encoded []byte) (outputs []event.Output, err error) {
	var patch document.Patch
	if err := json.Unmarshal(encoded, &patch); err != nil {
		return nil, fmt.Errorf("class document: patch: %w", err)
	}
	if patch.Version <= spread.document.Version {
		return nil, nil
	}
	applied, err := spread.document.Apply(patch)
	if err != nil {
		return nil, err
	}
	spread.keepPatch(patch)
	return spread.accept(applied, nil), nil
}

// keepPatch remembers the way from the document in force to the next, for peers
// that are as far as we are.
func (spread *Distributor) keepPatch(patch document.Patch) {
	encoded, err := json.Marshal(patch)
	if err != nil {
		return
	}
	spread.patches = append(spread.patches, link{from: patch.From, patch: encoded})
	if len(spread.patches) > mostPatches {
		spread.patches = spread.patches[1:]
	}
}

// patchesFrom returns the patches that lead from the version to ours, if they
// are kept.
func (spread *Distributor) patchesFrom(version uint64) [][]byte {
	var patches [][]byte
	for _, link := range spread.patches {
		if link.from == version || len(patches) > 0 {
			patches = append(patches, link.patch)
		}
	}
	return patches
}

// HandlePull sends a peer that asked what it lacks, if ours is newer.
func (spread *Distributor) HandlePull(peer string, link uint64, pull message.ConfigPull) []event.Output {
	if spread.document.Version <= pull.Have {
		return nil
	}
	answer := message.Config{Patches: spread.patchesFrom(pull.Have)}
	if len(answer.Patches) == 0 {
		answer.Raw = spread.encoded()
	}
	return []event.Output{event.Send{Peer: peer, Link: link, Message: answer}}
}

func (spread *Distributor) encoded() []byte {
	if spread.raw == nil {
		spread.raw, _ = json.Marshal(spread.document)
	}
	return spread.raw
}
