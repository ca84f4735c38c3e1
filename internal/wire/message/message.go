// Package message defines the messages between entries and sidecars, and between
// entries, and their encoding: one CBOR array of a kind and a body per message.
//
// Between entry and sidecar, requests are bound to an upstream late. The entry
// queues a request at one or more sidecars (Reserve); a sidecar with a free slot
// offers it (Claim); the entry sends the body to one of them (Grant) and cancels
// the other reservations (Withdraw). A Reserve that carries the body is a push: the
// sidecar may run it without a Claim.
package message

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Protocol is the version of this set of messages. The handshake refuses peers of
// any other version.
const Protocol = 1

// Message is one of the message types of this package.
type Message interface {
	kind() uint8
}

// RequestID is globally unique: the entry's incarnation (eight random bytes drawn
// at process start), a sequence number of six bytes and, in the last two bytes, the
// attempt. A restarted entry does not reuse it.
type RequestID [16]byte

// Digest is the first 16 bytes of a SHA-256 sum: of an idempotency key with its account
// and class, or of a request's method, path and body.
type Digest [16]byte

// Payload is the HTTP request for the upstream. It is never logged. Path includes
// the query. Stream means that the caller asked for a streamed response, TraceParent
// is the traceparent header of the entry's span, "" for none.
type Payload struct {
	Method        string   `cbor:"1,keyasint"`
	Path          string   `cbor:"2,keyasint"`
	Header        []Header `cbor:"3,keyasint,omitempty"`
	Body          []byte   `cbor:"4,keyasint,omitempty"`
	Stream        bool     `cbor:"5,keyasint,omitempty"`
	TraceParent   string   `cbor:"6,keyasint,omitempty"`
	NonIdempotent bool     `cbor:"7,keyasint,omitempty"`
}

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Load is a sidecar's current load: its concurrency limit, the requests running and
// queued, and the expected wait in the queue. Entries send the zero value.
type Load struct {
	Limit   int           `cbor:"1,keyasint"`
	Running int           `cbor:"2,keyasint"`
	Queued  int           `cbor:"3,keyasint,omitempty"`
	Wait    time.Duration `cbor:"4,keyasint,omitempty"`
}

// Suspicion reports a crash suspect: the request with the fingerprint was running
// when Crashes upstreams crashed. It expires after Remaining.
type Suspicion struct {
	Fingerprint uint64        `cbor:"1,keyasint"`
	Crashes     int           `cbor:"2,keyasint"`
	Remaining   time.Duration `cbor:"3,keyasint"`
}

// Heartbeat is sent periodically in both directions of every link between an entry
// and a sidecar. Uptime is the sender's clock, the time since its process started,
// Echo the latest Uptime that the sender received from its peer, and ConfigVersion
// the version of the sender's active document. Leaving means that the sender is
// shutting down.
type Heartbeat struct {
	Uptime        time.Duration `cbor:"1,keyasint"`
	Echo          time.Duration `cbor:"2,keyasint,omitempty"`
	ConfigVersion uint64        `cbor:"3,keyasint,omitempty"`
	Load          Load          `cbor:"4,keyasint,omitempty"`
	Leaving       bool          `cbor:"5,keyasint,omitempty"`
	Suspicions    []Suspicion   `cbor:"6,keyasint,omitempty"`
	Crashes       CrashReports  `cbor:"7,keyasint,omitzero"`
}

// Reserve adds a reservation to a sidecar's queue. With a Payload the request is
// pushed: the sidecar may run it without a Claim, and uses Echo, its own clock as
// last seen by the entry, to refuse a push that is too old.
//
// Timeout is the time left until the request's deadline. Crashes is the number of
// upstreams that the request is suspected to have crashed. ResumeFrom is the number
// of data chunks that the entry already has of an earlier attempt's stream, and that
// the upstream is to skip. Key and BodyDigest are zero for a request without an
// idempotency key, and KeyCreatedAt for a key without a creation time.
type Reserve struct {
	ID            RequestID     `cbor:"1,keyasint"`
	Class         string        `cbor:"2,keyasint"`
	Account       string        `cbor:"3,keyasint"`
	Tier          int           `cbor:"4,keyasint"`
	Timeout       time.Duration `cbor:"5,keyasint"`
	Fingerprint   uint64        `cbor:"6,keyasint,omitempty"`
	NonIdempotent bool          `cbor:"7,keyasint,omitempty"`
	Key           Digest        `cbor:"8,keyasint,omitzero"`
	KeyCreatedAt  time.Time     `cbor:"9,keyasint,omitzero"`
	BodyDigest    Digest        `cbor:"10,keyasint,omitzero"`
	Echo          time.Duration `cbor:"11,keyasint,omitempty"`
	ResumeFrom    int           `cbor:"12,keyasint,omitempty"`
	Payload       *Payload      `cbor:"13,keyasint,omitempty"`
	Crashes       int           `cbor:"14,keyasint,omitempty"`
	// Attributes are what the request may have in common with others that crash upstreams,
	// as in an Interruption.
	Attributes []uint64 `cbor:"15,keyasint,omitempty"`
}

// Claim offers an entry a free slot for its reservation.
type Claim struct {
	ID RequestID `cbor:"1,keyasint"`
}

// Grant sends the body for a claimed slot. The request may run from then on.
type Grant struct {
	ID      RequestID `cbor:"1,keyasint"`
	Payload Payload   `cbor:"2,keyasint"`
}

// Withdraw cancels a reservation or a run. The sidecar responds with Refused if the
// request was not sent to the upstream, and with End otherwise.
type Withdraw struct {
	ID RequestID `cbor:"1,keyasint"`
}

// Refused reports that the request did not run at this sidecar and will not.
type Refused struct {
	ID         RequestID     `cbor:"1,keyasint"`
	Reason     Reason        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// Chunk is one numbered part of a response. The chunk with Index 0 carries the
// status and header.
type Chunk struct {
	ID     RequestID `cbor:"1,keyasint"`
	Index  int       `cbor:"2,keyasint"`
	Data   []byte    `cbor:"3,keyasint,omitempty"`
	Status int       `cbor:"4,keyasint,omitempty"`
	Header []Header  `cbor:"5,keyasint,omitempty"`
}

// End ends a response; Chunks is the number of its chunks. Crashes is set if this
// run ended in a crash: the number of upstreams that the request is suspected to have
// crashed.
type End struct {
	ID      RequestID `cbor:"1,keyasint"`
	Chunks  int       `cbor:"2,keyasint"`
	Outcome Outcome   `cbor:"3,keyasint"`
	Reason  Reason    `cbor:"4,keyasint,omitempty"`
	Crashes int       `cbor:"5,keyasint,omitempty"`
	// RetryAfter is the delay after which the caller may retry; set for an unknown
	// outcome.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
}

// Attach requests the rest of a response after a reconnect, from chunk Next on.
// Since is a reading of the sidecar's clock from before the body was sent. A sidecar
// without a record of the request uses it to tell a request that was lost in transit
// from one whose record has expired.
type Attach struct {
	ID    RequestID     `cbor:"1,keyasint"`
	Next  int           `cbor:"2,keyasint"`
	Since time.Duration `cbor:"3,keyasint,omitempty"`
}

// ConfigPull requests the class document if the peer has a newer version than Have.
type ConfigPull struct {
	Have uint64 `cbor:"1,keyasint"`
}

// Config carries the whole class document, or the patches to it from the version
// that the peer has.
type Config struct {
	Raw     []byte   `cbor:"1,keyasint,omitempty"`
	Patches [][]byte `cbor:"2,keyasint,omitempty"`
}

const (
	kindHeartbeat uint8 = iota + 1
	kindReserve
	kindClaim
	kindGrant
	kindWithdraw
	kindRefused
	kindChunk
	kindEnd
	kindAttach
	kindConfigPull
	kindConfig
	kindEntryHeartbeat
	kindUpstreamListPull
	kindUpstreamList
	kindPlacements
	kindPlacementsPull
	kindStreamOrigins
	kindOriginsPull
)

func (Heartbeat) kind() uint8        { return kindHeartbeat }
func (Reserve) kind() uint8          { return kindReserve }
func (Claim) kind() uint8            { return kindClaim }
func (Grant) kind() uint8            { return kindGrant }
func (Withdraw) kind() uint8         { return kindWithdraw }
func (Refused) kind() uint8          { return kindRefused }
func (Chunk) kind() uint8            { return kindChunk }
func (End) kind() uint8              { return kindEnd }
func (Attach) kind() uint8           { return kindAttach }
func (ConfigPull) kind() uint8       { return kindConfigPull }
func (Config) kind() uint8           { return kindConfig }
func (EntryHeartbeat) kind() uint8   { return kindEntryHeartbeat }
func (UpstreamListPull) kind() uint8 { return kindUpstreamListPull }
func (UpstreamList) kind() uint8     { return kindUpstreamList }
func (Placements) kind() uint8       { return kindPlacements }
func (PlacementsPull) kind() uint8   { return kindPlacementsPull }
func (StreamOrigins) kind() uint8    { return kindStreamOrigins }
func (OriginsPull) kind() uint8      { return kindOriginsPull }

type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind uint8
	Body cbor.RawMessage
}

// ErrUnknownKind is returned for a message whose kind is not defined in this
// version of the protocol.
var ErrUnknownKind = errors.New("unknown kind of message")

// Encode returns the message as a CBOR array of its kind and body.
func Encode(message Message) (data []byte, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("encode message: %w", err)
		}
	}()
	body, err := encoder.Marshal(message)
	if err != nil {
		return nil, err
	}
	return encoder.Marshal(envelope{Kind: message.kind(), Body: body})
}

// Decode decodes one message. The error wraps ErrUnknownKind, or the error of the
// CBOR library for malformed data.
func Decode(data []byte) (message Message, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("decode message: %w", err)
		}
	}()
	var outer envelope
	if err := cbor.Unmarshal(data, &outer); err != nil {
		return nil, err
	}
	decode, ok := decoders[outer.Kind]
	if !ok {
		return nil, fmt.Errorf("%w: %d", ErrUnknownKind, outer.Kind)
	}
	return decode(outer.Body)
}

var encoder = newEncoder()

func newEncoder() cbor.EncMode {
	options := cbor.EncOptions{Time: cbor.TimeUnixMicro}
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

var decoders = map[uint8]func([]byte) (Message, error){
	kindHeartbeat:        decodeAs[Heartbeat],
	kindReserve:          decodeAs[Reserve],
	kindClaim:            decodeAs[Claim],
	kindGrant:            decodeAs[Grant],
	kindWithdraw:         decodeAs[Withdraw],
	kindRefused:          decodeAs[Refused],
	kindChunk:            decodeAs[Chunk],
	kindEnd:              decodeAs[End],
	kindAttach:           decodeAs[Attach],
	kindConfigPull:       decodeAs[ConfigPull],
	kindConfig:           decodeAs[Config],
	kindEntryHeartbeat:   decodeAs[EntryHeartbeat],
	kindUpstreamListPull: decodeAs[UpstreamListPull],
	kindUpstreamList:     decodeAs[UpstreamList],
	kindPlacements:       decodeAs[Placements],
	kindPlacementsPull:   decodeAs[PlacementsPull],
	kindStreamOrigins:    decodeAs[StreamOrigins],
	kindOriginsPull:      decodeAs[OriginsPull],
}

func decodeAs[M Message](body []byte) (Message, error) {
	var decoded M
	err := cbor.Unmarshal(body, &decoded)
	return decoded, err
}

const attemptBytes = 2

// WithAttempt returns the ID of the given attempt at the request, at most 65535;
// attempt 0 stands for the request itself.
func (id RequestID) WithAttempt(attempt int) RequestID {
	binary.BigEndian.PutUint16(id[len(id)-attemptBytes:], uint16(attempt))
	return id
}

// NewRequestID returns the ID of the request with the sequence number. Boot is the
// entry's incarnation, the random number drawn at process start.
func NewRequestID(boot, sequence uint64) RequestID {
	var id RequestID
	binary.BigEndian.PutUint64(id[:], boot)
	binary.BigEndian.PutUint64(id[8:], sequence<<(8*attemptBytes))
	return id
}

// String returns the ID as 32 hexadecimal digits.
func (id RequestID) String() string {
	return hex.EncodeToString(id[:])
}
