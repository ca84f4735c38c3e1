// Package document parses and validates the class document: the request classes,
// client accounts and upstreams or pools that an operator configures.
package document

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Duration is a time.Duration written as a Go duration string, such as "900ms".
type Duration time.Duration

// Document is one valid version of the class document. It is immutable. RepeatWindow
// is how long an idempotency key is stored after its run ended; Parse replaces 0 by 10
// minutes. The JSON names belong to the document's format and stay when a field is renamed.
type Document struct {
	Version      uint64     `json:"version"`
	RepeatWindow Duration   `json:"repeat-window"`
	Classes      []Class    `json:"classes"`
	Accounts     []Account  `json:"accounts"`
	Upstreams    []Upstream `json:"upstreams"`
	// SelfRegistration is set if upstreams register themselves. The document then
	// names pools instead of upstreams.
	SelfRegistration bool   `json:"upstreams-listed,omitempty"`
	Pools            []Pool `json:"pools,omitempty"`
	Limits           Limits `json:"limits,omitzero"`
	sum              Sum
}

// Limits bound the size of what a caller sends and the time that it may take to send
// it. Zero means the default of the process. Only BodyBytes is applied; the other
// limits are accepted and not used.
type Limits struct {
	HeaderBytes   int      `json:"header-bytes,omitempty"`
	BodyBytes     int      `json:"body-bytes,omitempty"`
	HeaderTimeout Duration `json:"header-timeout,omitempty"`
	IdleTimeout   Duration `json:"idle-timeout,omitempty"`
}

// Pool is a group of upstreams that register themselves under one name. HealthPath and
// MaxConnections are accepted and not used.
type Pool struct {
	Name string `json:"name"`
	// HealthPath is the path of the upstreams' health check.
	HealthPath string `json:"health-path,omitempty"`
	// MaxConnections is the maximum number of connections from all entries to one
	// upstream.
	MaxConnections int    `json:"most-connections,omitempty"`
	Engine         Engine `json:"engine,omitzero"`
	// ColdStart is how long an upstream is cold after its start. While it is cold, it tolerates
	// ColdPerSecond requests per second from all entries together; 0 means no limit.
	ColdStart     Duration `json:"cold-start,omitempty"`
	ColdPerSecond float64  `json:"cold-requests-per-second,omitempty"`
}

// Engine describes the model engines of a pool. The zero value is a plain service.
type Engine struct {
	// Batch is the number of requests that an engine runs at a time; 0 if the pool has
	// no model engines.
	Batch int `json:"batch,omitempty"`
	// CacheTokens is the size of the engine's KV cache in tokens. Running requests
	// share it with cached prompt prefixes. With 0 the process assumes a size.
	CacheTokens int `json:"cache-tokens,omitempty"`
	// TokensPerEvent is the number of tokens in an event of a stream, 0 if unknown.
	TokensPerEvent int `json:"tokens-per-event,omitempty"`
}

// Share is the weight of a pool in the split of a class's requests, relative to the
// weights of the other pools. A pool of weight 0 gets no requests, unless all weights
// are 0: then the first pool gets them.
type Share struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Class is a class of requests. Tier 1 is the highest. Model or Service selects the
// upstreams that serve the class. FirstToken, BetweenTokens and WholeAnswer are the
// targets for the time to first token, the inter-token latency and the total latency, 0
// for none. GiveUpAfter is the longest wait for an upstream in one attempt; Parse
// replaces 0 by a multiple of FirstToken, or else by WholeAnswer.
//
// With self-registration of upstreams, Split takes the place of Model and Service, and
// GiveUpAfter is not used. Without it, only the fields from Name to GiveUpAfter and
// NonIdempotent are used.
type Class struct {
	Name          string   `json:"name"`
	Tier          int      `json:"tier"`
	Model         string   `json:"model,omitempty"`
	Service       string   `json:"service,omitempty"`
	FirstToken    Duration `json:"first-token,omitempty"`
	BetweenTokens Duration `json:"between-tokens,omitempty"`
	WholeAnswer   Duration `json:"whole-answer,omitempty"`
	GiveUpAfter   Duration `json:"give-up-after,omitempty"`
	// TimeLimit bounds the time from the arrival of a request to the end of its
	// response. With 0 the caller's own timeout applies, or the longest that the
	// process allows.
	TimeLimit Duration `json:"time-limit,omitempty"`
	// NonIdempotent is set if a request must not run twice.
	NonIdempotent bool `json:"non-idempotent,omitempty"`
	// Host and PathPrefix select the class of a request, by host and longest path
	// prefix.
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"path-prefix,omitempty"`
	// Streamed classes respond with server-sent events. A resumable stream may
	// continue at another upstream after the last event sent to the caller.
	Streamed  bool `json:"streamed,omitempty"`
	Resumable bool `json:"resumable,omitempty"`
	// MaxAttempts is the maximum number of upstreams that a request is sent to; 0
	// means no limit.
	MaxAttempts int `json:"most-attempts,omitempty"`
	// Open classes accept requests without a bearer key.
	Open bool `json:"open,omitempty"`
	// Split divides the requests among pools. Each request goes to a pool at random, by
	// weight.
	Split []Share `json:"split,omitempty"`
}

// Account is a client account. Only the SHA-256 sum of its bearer key is stored, in
// hexadecimal.
type Account struct {
	Name      string `json:"name"`
	KeySHA256 string `json:"key-sha256"`
	// DefaultClass is the class of requests that name none. Classes are the further
	// classes that the account may use; none means all. With self-registration of
	// upstreams, neither is used.
	DefaultClass string   `json:"default-class,omitempty"`
	Classes      []string `json:"classes,omitempty"`
	// MoreKeys are the SHA-256 sums of further bearer keys.
	MoreKeys []string `json:"more-keys-sha256,omitempty"`
	// Tier, unless 0, is compared before the tier of the class. It is used only with
	// self-registration of upstreams.
	Tier int `json:"tier,omitempty"`
}

// Upstream is an upstream with its role, a model or a service. Its address comes from
// the list of VMs. ChecksFencing is accepted and not used.
type Upstream struct {
	Name          string `json:"name"`
	Model         string `json:"model,omitempty"`
	Service       string `json:"service,omitempty"`
	ChecksFencing bool   `json:"checks-fencing,omitempty"`
	// Build is the version of the upstream's software. A stream is resumed only at an
	// upstream of the build that began it.
	Build string `json:"build,omitempty"`
}

const (
	// MaxBytes is the size of the largest document that the configuration service stores.
	MaxBytes = 1 << 20
	// MaxTranslatedBytes is that of the largest one that is translated from another format, in
	// which short keys take a fraction of their sums. A message to another process carries it.
	MaxTranslatedBytes = 12 << 20
)

const (
	highestTier         = 1
	lowestTier          = 64
	minTarget           = time.Millisecond
	maxTarget           = 24 * time.Hour
	defaultRepeatWindow = 10 * time.Minute
	// giveUpFactor is the default of give-up-after as a multiple of first-token.
	giveUpFactor       = 4
	defaultGiveUpAfter = 30 * time.Second
	// keySumBytes is the length of a SHA-256 sum.
	keySumBytes = 32
)

// Parse parses a document from JSON, validates it and sets defaults. The error has
// one line for each validation error, with its path and a remedy.
func Parse(raw []byte) (document Document, err error) {
	if len(raw) > MaxBytes {
		return Document{}, fmt.Errorf("class document: has %d bytes, but the configuration service stores at most %d: shorten it", len(raw), MaxBytes)
	}
	return ParseTranslated(raw)
}

// ParseTranslated is Parse for a document that was translated from another format, of at most
// MaxTranslatedBytes.
func ParseTranslated(raw []byte) (document Document, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("class document: %w", err)
		}
	}()
	if len(raw) > MaxTranslatedBytes {
		return Document{}, fmt.Errorf("has %d bytes once it is translated, want at most %d: shorten it", len(raw), MaxTranslatedBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return Document{}, withLine(raw, err)
	}
	if decoder.More() {
		return Document{}, errors.New("text follows the end of the document: remove it")
	}
	if validationErrors := document.validationErrors(); len(validationErrors) > 0 {
		return Document{}, errors.Join(validationErrors...)
	}
	return document.withDefaults().withSum(), nil
}

// withLine adds the line number to a JSON error, which has only a byte offset.
func withLine(raw []byte, err error) error {
	offset := int64(-1)
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	if errors.As(err, &mismatch) {
		offset = mismatch.Offset
	}
	if offset < 0 || offset > int64(len(raw)) {
		return err
	}
	line := 1 + bytes.Count(raw[:offset], []byte("\n"))
	return fmt.Errorf("line %d: %w", line, err)
}

func (document Document) withDefaults() Document {
	if document.RepeatWindow == 0 {
		document.RepeatWindow = Duration(defaultRepeatWindow)
	}
	classes := make([]Class, len(document.Classes))
	for i, class := range document.Classes {
		classes[i] = class.withDefaults()
	}
	document.Classes = classes
	return document
}

func (class Class) withDefaults() Class {
	if class.GiveUpAfter > 0 {
		return class
	}
	switch {
	case class.FirstToken > 0:
		class.GiveUpAfter = class.FirstToken * giveUpFactor
	case class.WholeAnswer > 0:
		class.GiveUpAfter = class.WholeAnswer
	default:
		class.GiveUpAfter = Duration(defaultGiveUpAfter)
	}
	return class
}

// Class returns the class of that name, and false if there is none.
func (document Document) Class(name string) (Class, bool) {
	for _, class := range document.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return Class{}, false
}

// AccountByKeySum returns the account with a bearer key of that SHA-256 sum in
// hexadecimal, and false if there is none.
func (document Document) AccountByKeySum(sum string) (Account, bool) {
	for _, account := range document.Accounts {
		if account.KeySHA256 == sum || slices.Contains(account.MoreKeys, sum) {
			return account, true
		}
	}
	return Account{}, false
}

// Pool returns the pool of that name, and false if there is none.
func (document Document) Pool(name string) (Pool, bool) {
	for _, pool := range document.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return Pool{}, false
}

// Upstream returns the listed upstream with the name.
func (document Document) Upstream(name string) (Upstream, bool) {
	for _, upstream := range document.Upstreams {
		if upstream.Name == name {
			return upstream, true
		}
	}
	return Upstream{}, false
}

// Repeatable returns whether a request of the class may run more than once. A
// streamed request may if its stream can be resumed.
func (class Class) Repeatable() bool {
	if class.Streamed {
		return class.Resumable
	}
	return !class.NonIdempotent
}

// UpstreamsFor returns the names of the upstreams with the class's model or service,
// in document order.
func (document Document) UpstreamsFor(class Class) []string {
	var names []string
	for _, upstream := range document.Upstreams {
		if upstream.Model == class.Model && upstream.Service == class.Service {
			names = append(names, upstream.Name)
		}
	}
	return names
}

// Allows returns whether the account may use the class. An account without a list of
// classes may use all.
func (account Account) Allows(class string) bool {
	if len(account.Classes) == 0 || class == account.DefaultClass {
		return true
	}
	for _, allowed := range account.Classes {
		if allowed == class {
			return true
		}
	}
	return false
}

// MarshalJSON implements json.Marshaler. It writes a string such as "900ms".
func (duration Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(duration).String())
}

// UnmarshalJSON implements json.Unmarshaler.
func (duration *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("%s is not a duration: write one such as \"900ms\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration: write one such as \"900ms\"", text)
	}
	*duration = Duration(parsed)
	return nil
}

func isKeySum(text string) bool {
	sum, err := hex.DecodeString(text)
	return err == nil && len(sum) == keySumBytes
}
