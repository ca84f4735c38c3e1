// Package document parses and checks the class document, the only thing that
// an operator writes.
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

// Document is one accepted version of the class document. It is immutable.
type Document struct {
	Version      uint64     `json:"version"`
	RepeatWindow Duration   `json:"repeat-window"`
	Classes      []Class    `json:"classes"`
	Accounts     []Account  `json:"accounts"`
	Upstreams    []Upstream `json:"upstreams"`
	// SelfRegistration says that upstreams register themselves: the document names pools
	// in place of single upstreams.
	SelfRegistration bool   `json:"upstreams-listed,omitempty"`
	Pools            []Pool `json:"pools,omitempty"`
	Limits           Limits `json:"limits,omitzero"`
	sum              Sum
}

// Limits bound what a caller may send. Zero leaves the default of the process.
type Limits struct {
	HeaderBytes   int      `json:"header-bytes,omitempty"`
	BodyBytes     int      `json:"body-bytes,omitempty"`
	HeaderTimeout Duration `json:"header-timeout,omitempty"`
	IdleTimeout   Duration `json:"idle-timeout,omitempty"`
}

// Pool is the group of upstreams that registers itself under one name.
type Pool struct {
	Name       string `json:"name"`
	HealthPath string `json:"health-path,omitempty"`
	// MaxConnections bounds the connections to one upstream from all entries.
	MaxConnections int    `json:"most-connections,omitempty"`
	Engine         Engine `json:"engine,omitzero"`
}

// Engine describes the model engines of a pool. The zero value is a plain service.
type Engine struct {
	// Batch is the number of requests that an engine runs at a time.
	Batch int `json:"batch,omitempty"`
	// CacheTokens is the size of its KV cache, which running requests share with
	// kept prompt prefixes.
	CacheTokens int `json:"cache-tokens,omitempty"`
}

// Share is the part of a class's requests that a pool serves, against the
// weights of the others.
type Share struct {
	Pool   string `json:"pool"`
	Weight int    `json:"weight"`
}

// Class is a class of work with its targets. Tier 1 is the highest.
type Class struct {
	Name          string   `json:"name"`
	Tier          int      `json:"tier"`
	Model         string   `json:"model,omitempty"`
	Service       string   `json:"service,omitempty"`
	FirstToken    Duration `json:"first-token,omitempty"`
	BetweenTokens Duration `json:"between-tokens,omitempty"`
	WholeAnswer   Duration `json:"whole-answer,omitempty"`
	GiveUpAfter   Duration `json:"give-up-after,omitempty"`
	// TimeLimit bounds the whole request, from its arrival to the end of its
	// answer; 0 is no bound beside the caller's own.
	TimeLimit     Duration `json:"time-limit,omitempty"`
	NonIdempotent bool     `json:"non-idempotent,omitempty"`
	// Host and PathPrefix select the class by a request's host and the longest
	// prefix of its path, where callers name no class.
	Host       string `json:"host,omitempty"`
	PathPrefix string `json:"path-prefix,omitempty"`
	// Streamed classes answer with server-sent events. Resumable ones may go on
	// at another upstream behind the last event that was passed on.
	Streamed  bool `json:"streamed,omitempty"`
	Resumable bool `json:"resumable,omitempty"`
	// MaxAttempts bounds the upstreams that one request is sent to; 0 is no bound.
	MaxAttempts int `json:"most-attempts,omitempty"`
	// Open classes need no key.
	Open  bool    `json:"open,omitempty"`
	Split []Share `json:"split,omitempty"`
}

// Account is a client account. Its bearer key is held as a SHA-256 sum only.
type Account struct {
	Name         string   `json:"name"`
	KeySHA256    string   `json:"key-sha256"`
	DefaultClass string   `json:"default-class,omitempty"`
	Classes      []string `json:"classes,omitempty"`
	// MoreKeys are further bearer keys, each as its SHA-256 sum.
	MoreKeys []string `json:"more-keys-sha256,omitempty"`
	// Tier goes before the tier of the class, unless it is 0.
	Tier int `json:"tier,omitempty"`
}

// Upstream is an upstream by name and role; its address comes from the list of VMs.
type Upstream struct {
	Name          string `json:"name"`
	Model         string `json:"model,omitempty"`
	Service       string `json:"service,omitempty"`
	ChecksFencing bool   `json:"checks-fencing,omitempty"`
}

// MaxBytes is the largest document that the configuration service holds.
const MaxBytes = 1 << 20

const (
	highestTier        = 1
	lowestTier         = 64
	shortestTarget     = time.Millisecond
	longestTarget      = 24 * time.Hour
	defaultWindow      = 10 * time.Minute
	giveUpPerFirst     = 4
	defaultGiveUpAfter = 30 * time.Second
	keySumBytes        = 32
)

// Parse reads a document and checks all of it. The error joins one line for
// each fault, with its path and remedy.
func Parse(raw []byte) (document Document, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("class document: %w", err)
		}
	}()
	if len(raw) > MaxBytes {
		return Document{}, fmt.Errorf("%d bytes are more than the service holds: keep it below %d", len(raw), MaxBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return Document{}, describeSyntax(raw, err)
	}
	if decoder.More() {
		return Document{}, errors.New("text follows the end of the document: remove it")
	}
	if faults := document.faults(); len(faults) > 0 {
		return Document{}, errors.Join(faults...)
	}
	return document.withDefaults().withSum(), nil
}

// describeSyntax adds the line to a JSON error, which carries an offset only.
func describeSyntax(raw []byte, err error) error {
	offset := int64(-1)
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	if errors.As(err, &kind) {
		offset = kind.Offset
	}
	if offset < 0 || offset > int64(len(raw)) {
		return err
	}
	line := 1 + bytes.Count(raw[:offset], []byte("\n"))
	return fmt.Errorf("line %d: %w", line, err)
}

func (document Document) withDefaults() Document {
	if document.RepeatWindow == 0 {
		document.RepeatWindow = Duration(defaultWindow)
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
		class.GiveUpAfter = class.FirstToken * giveUpPerFirst
	case class.WholeAnswer > 0:
		class.GiveUpAfter = class.WholeAnswer
	default:
		class.GiveUpAfter = Duration(defaultGiveUpAfter)
	}
	return class
}

// Class returns the class of that name and whether there is one.
func (document Document) Class(name string) (Class, bool) {
	for _, class := range document.Classes {
		if class.Name == name {
			return class, true
		}
	}
	return Class{}, false
}

// AccountByKeySum returns the account whose bearer key has that SHA-256 sum.
func (document Document) AccountByKeySum(sum string) (Account, bool) {
	for _, account := range document.Accounts {
		if account.KeySHA256 == sum || slices.Contains(account.MoreKeys, sum) {
			return account, true
		}
	}
	return Account{}, false
}

// Pool returns the pool of that name and whether there is one.
func (document Document) Pool(name string) (Pool, bool) {
	for _, pool := range document.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return Pool{}, false
}

// Repeatable says whether a request of the class may run more than once.
func (class Class) Repeatable() bool {
	if class.Streamed {
		return class.Resumable
	}
	return !class.NonIdempotent
}

// UpstreamsFor returns the names of the upstreams with the class's role, in the
// document's order.
func (document Document) UpstreamsFor(class Class) []string {
	var names []string
	for _, upstream := range document.Upstreams {
		if upstream.Model == class.Model && upstream.Service == class.Service {
			names = append(names, upstream.Name)
		}
	}
	return names
}

// Allows says whether the account may use the class. An account without a list
// may use all.
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

// MarshalJSON writes the duration as a string.
func (duration Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(duration).String())
}

// UnmarshalJSON reads a duration string.
func (duration *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("%s is no duration: write one such as \"900ms\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is no duration: write one such as \"900ms\"", text)
	}
	*duration = Duration(parsed)
	return nil
}

func isKeySum(text string) bool {
	sum, err := hex.DecodeString(text)
	return err == nil && len(sum) == keySumBytes
}
