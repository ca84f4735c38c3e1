// Package message defines what the processes of the system say to each other
// and its encoding: one CBOR array of a kind and a body for each message.
package message

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Protocol is the version of this set of messages. Peers of another version are
// refused at the handshake.
const Protocol = 1

// Message is any of the typed messages of this package.
type Message interface {
	kind() uint8
}

// RequestID names one request for all time: eight random bytes drawn when the
// entry boots, then a sequence number. A restarted entry never meets it again.
type RequestID [16]byte

// Digest is a truncated SHA-256 sum of a key or a body.
type Digest [16]byte

// Payload is what the upstream is asked to run. It is never logged.
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

// Load is a sidecar's fresh view of its upstream.
type Load struct {
	Limit   int           `cbor:"1,keyasint"`
	Running int           `cbor:"2,keyasint"`
	Queued  int           `cbor:"3,keyasint,omitempty"`
	Wait    time.Duration `cbor:"4,keyasint,omitempty"`
}

// Suspicion says that a request was running when its upstream crashed.
type Suspicion struct {
	Fingerprint uint64        `cbor:"1,keyasint"`
	Crashes     int           `cbor:"2,keyasint"`
	Remaining   time.Duration `cbor:"3,keyasint"`
}

// Heartbeat is sent both ways on every connection. Uptime is the sender's
// clock, Echo the latest Uptime that the sender has had from its peer.
type Heartbeat struct {
	Uptime        time.Duration `cbor:"1,keyasint"`
	Echo          time.Duration `cbor:"2,keyasint,omitempty"`
	ConfigVersion uint64        `cbor:"3,keyasint,omitempty"`
	Load          Load          `cbor:"4,keyasint,omitempty"`
	Leaving       bool          `cbor:"5,keyasint,omitempty"`
	Suspicions    []Suspicion   `cbor:"6,keyasint,omitempty"`
}

// Reserve asks a sidecar for a place in its queue. With a Payload the request
// is pushed: the sidecar may run it at once, and Echo bounds its age.
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
}

// Claim tells an entry that a slot is held for its reservation.
type Claim struct {
	ID RequestID `cbor:"1,keyasint"`
}

// Grant gives the body for a claimed slot. After it the request may run.
type Grant struct {
	ID      RequestID `cbor:"1,keyasint"`
	Payload Payload   `cbor:"2,keyasint"`
}

// Withdraw takes a reservation back, or cancels a run. A sidecar answers
// Refused if the request had not been handed over, End otherwise.
type Withdraw struct {
	ID RequestID `cbor:"1,keyasint"`
}

// Refused says that the request was not run here and will not be.
type Refused struct {
	ID         RequestID     `cbor:"1,keyasint"`
	Reason     Reason        `cbor:"2,keyasint"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// Chunk is one numbered part of an answer. The part with Index 0 carries the
// status and header.
type Chunk struct {
	ID     RequestID `cbor:"1,keyasint"`
	Index  int       `cbor:"2,keyasint"`
	Data   []byte    `cbor:"3,keyasint,omitempty"`
	Status int       `cbor:"4,keyasint,omitempty"`
	Header []Header  `cbor:"5,keyasint,omitempty"`
}

// End closes an answer of Chunks parts. Crashes is the number of upstreams that
// the request is blamed for, if this run ended in a crash.
type End struct {
	ID      RequestID `cbor:"1,keyasint"`
	Chunks  int       `cbor:"2,keyasint"`
	Outcome Outcome   `cbor:"3,keyasint"`
	Reason  Reason    `cbor:"4,keyasint,omitempty"`
	Crashes int       `cbor:"5,keyasint,omitempty"`
	// RetryAfter tells the caller of an unknown outcome when to come back.
	RetryAfter time.Duration `cbor:"6,keyasint,omitempty"`
}

// Attach asks for the rest of an answer after a reconnect, from part Next on.
// Since is a reading of the sidecar's clock from before the body was sent.
type Attach struct {
	ID    RequestID     `cbor:"1,keyasint"`
	Next  int           `cbor:"2,keyasint"`
	Since time.Duration `cbor:"3,keyasint,omitempty"`
}

// ConfigPull asks for the class document if the peer's is newer than Have.
type ConfigPull struct {
	Have uint64 `cbor:"1,keyasint"`
}

// Config carries the whole class document, or the patches that lead to it from
// the version that the peer has.
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
	kindEntryBeat
	kindListPull
	kindUpstreamList
	kindPlacements
	kindPlacementsPull
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
func (EntryHeartbeat) kind() uint8   { return kindEntryBeat }
func (UpstreamListPull) kind() uint8 { return kindListPull }
func (UpstreamList) kind() uint8     { return kindUpstreamList }
func (Placements) kind() uint8       { return kindPlacements }
func (PlacementsPull) kind() uint8   { return kindPlacementsPull }

type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind uint8
	Body cbor.RawMessage
}

// ErrUnknownKind is returned for a message of a kind that this version lacks.
var ErrUnknownKind = errors.New("unknown kind of message")

// Encode returns the message as CBOR.
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

// Decode reads one message. It returns ErrUnknownKind, or the error of the
// CBOR library for data that is not well formed.
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
	kindHeartbeat:      decodeAs[Heartbeat],
	kindReserve:        decodeAs[Reserve],
	kindClaim:          decodeAs[Claim],
	kindGrant:          decodeAs[Grant],
	kindWithdraw:       decodeAs[Withdraw],
	kindRefused:        decodeAs[Refused],
	kindChunk:          decodeAs[Chunk],
	kindEnd:            decodeAs[End],
	kindAttach:         decodeAs[Attach],
	kindConfigPull:     decodeAs[ConfigPull],
	kindConfig:         decodeAs[Config],
	kindEntryBeat:      decodeAs[EntryHeartbeat],
	kindListPull:       decodeAs[UpstreamListPull],
	kindUpstreamList:   decodeAs[UpstreamList],
	kindPlacements:     decodeAs[Placements],
	kindPlacementsPull: decodeAs[PlacementsPull],
}

func decodeAs[M Message](body []byte) (Message, error) {
	var decoded M
	err := cbor.Unmarshal(body, &decoded)
	return decoded, err
}

const attemptBytes = 2

// WithAttempt returns the ID under which the given attempt travels; attempt 0
// names the request itself.
func (id RequestID) WithAttempt(attempt int) RequestID {
	binary.BigEndian.PutUint16(id[len(id)-attemptBytes:], uint16(attempt))
	return id
}

// NewRequestID returns the ID of the request with that sequence number of the
// entry's incarnation.
func NewRequestID(boot, sequence uint64) RequestID {
	var id RequestID
	binary.BigEndian.PutUint64(id[:], boot)
	binary.BigEndian.PutUint64(id[8:], sequence<<(8*attemptBytes))
	return id
}

// String returns the ID in hexadecimal digits.
func (id RequestID) String() string {
	return hex.EncodeToString(id[:])
}
