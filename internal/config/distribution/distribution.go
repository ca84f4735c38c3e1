// Package distribution distributes the active class document among processes. It is
// part of a core: it does no I/O, but returns the messages to send as outputs.
package distribution

import (
	"encoding/json"
	"fmt"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/event"
	"endivepost/internal/wire/message"
)

// Distributor holds the active class document, accepts only higher versions and sends
// the document to peers with a lower one over their existing connections. Heartbeats
// carry the version number. A process that sees a higher one pulls: it gets the
// patches since its own version, or the whole document if the peer has not stored
// them. It pulls at most once per pullInterval, so that a hundred peers with a new
// version cost one copy.
type Distributor struct {
	parse    func(raw []byte) (document.Document, error)
	document document.Document
	// raw is the document as JSON. After a patch it is nil until a peer needs it.
	raw      []byte
	lastPull time.Duration
	// pulled is set if a pull was sent since the last change of the document.
	pulled bool
	// needWhole is set after a patch that could not be applied. The next pull then asks
	// for the whole document.
	needWhole bool
	patches   []storedPatch
}

// storedPatch is an encoded patch from one active version to the next.
type storedPatch struct {
	from  uint64
	patch []byte
}

const (
	// pullInterval is the least time between two pulls, unless the document changed
	// in between.
	pullInterval = 200 * time.Millisecond
	// maxPatches is the number of patches stored. Peers whose version is older than
	// these get the whole document.
	maxPatches = 64
)

// New returns a distributor without a document. Parse parses and validates documents.
func New(parse func(raw []byte) (document.Document, error)) *Distributor {
	return &Distributor{parse: parse}
}

// Version returns the version of the active document, 0 before the first.
func (distributor *Distributor) Version() uint64 {
	return distributor.document.Version
}

// Document returns the active document.
func (distributor *Distributor) Document() document.Document {
	return distributor.document
}

// Offer parses a document from the configuration service or a peer and makes it
// active. An equal or lower version is ignored. An invalid document is reported, and
// the last accepted one stays active.
func (distributor *Distributor) Offer(raw []byte) []event.Output {
	parsed, err := distributor.parse(raw)
	if err != nil {
		return []event.Output{event.DocumentRejected{Err: err}}
	}
	if parsed.Version <= distributor.document.Version {
		return nil
	}
	if distributor.document.Version > 0 {
		distributor.storePatch(document.Diff(distributor.document, parsed))
	}
	return distributor.accept(parsed, raw)
}

// accept makes a document active. Raw may be nil: the document is then encoded when a
// peer pulls it.
func (distributor *Distributor) accept(accepted document.Document, raw []byte) []event.Output {
	distributor.document = accepted
	distributor.raw = raw
	distributor.pulled = false
	distributor.needWhole = false
	return []event.Output{event.DocumentAccepted{Document: accepted}}
}

// ObserveVersion pulls from a peer whose heartbeat has a higher version than the active
// document, unless the last pull was less than pullInterval ago and the document has not
// changed since. Link identifies the connection to the peer.
func (distributor *Distributor) ObserveVersion(now time.Duration, peer string, link, version uint64) []event.Output {
	if version <= distributor.document.Version {
		return nil
	}
	if distributor.pulled && now-distributor.lastPull < pullInterval {
		return nil
	}
	distributor.pulled = true
	distributor.lastPull = now
	pull := message.ConfigPull{Have: distributor.document.Version}
	if distributor.needWhole {
		pull.Have = 0
	}
	return []event.Output{event.Send{Peer: peer, Link: link, Message: pull}}
}

// HandleConfig applies the document or the patches that a peer sent. If a patch cannot
// be applied, it is reported, and the next pull asks for the whole document.
func (distributor *Distributor) HandleConfig(config message.Config) []event.Output {
	if len(config.Raw) > 0 {
		return distributor.Offer(config.Raw)
	}
	var outputs []event.Output
	for _, encoded := range config.Patches {
		accepted, err := distributor.apply(encoded)
		if err != nil {
			distributor.needWhole = true
			return append(outputs, event.DocumentRejected{Err: err})
		}
		outputs = append(outputs, accepted...)
	}
	return outputs
}

func (distributor *Distributor) apply(encoded []byte) (outputs []event.Output, err error) {
	var patch document.Patch
	if err := json.Unmarshal(encoded, &patch); err != nil {
		return nil, fmt.Errorf("class document: patch: %w", err)
	}
	if patch.Version <= distributor.document.Version {
		return nil, nil
	}
	applied, err := distributor.document.Apply(patch)
	if err != nil {
		return nil, err
	}
	distributor.storePatch(patch)
	return distributor.accept(applied, nil), nil
}

// storePatch stores the patch from the active document to the next, for peers that
// still have the active one. At most maxPatches are stored.
func (distributor *Distributor) storePatch(patch document.Patch) {
	encoded, err := json.Marshal(patch)
	if err != nil {
		return
	}
	distributor.patches = append(distributor.patches, storedPatch{from: patch.From, patch: encoded})
	if len(distributor.patches) > maxPatches {
		distributor.patches = distributor.patches[1:]
	}
}

// patchesFrom returns the patches from the version to the active one, none if they are
// not stored.
func (distributor *Distributor) patchesFrom(version uint64) [][]byte {
	var patches [][]byte
	for _, stored := range distributor.patches {
		if stored.from == version || len(patches) > 0 {
			patches = append(patches, stored.patch)
		}
	}
	return patches
}

// HandlePull sends the patches since the peer's version or the whole document, if the
// active version is higher.
func (distributor *Distributor) HandlePull(peer string, link uint64, pull message.ConfigPull) []event.Output {
	if distributor.document.Version <= pull.Have {
		return nil
	}
	reply := message.Config{Patches: distributor.patchesFrom(pull.Have)}
	if len(reply.Patches) == 0 {
		reply.Raw = distributor.encodedDocument()
	}
	return []event.Output{event.Send{Peer: peer, Link: link, Message: reply}}
}

// encodedDocument returns the active document as JSON.
func (distributor *Distributor) encodedDocument() []byte {
	if distributor.raw == nil {
		distributor.raw, _ = json.Marshal(distributor.document)
	}
	return distributor.raw
}
