// Package caller reads callers' HTTP requests and writes the responses to them.
package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"endivepost/internal/config/document"
	"endivepost/internal/core/event"
	"endivepost/internal/node/guard"
	"endivepost/internal/wire/message"
)

// RefusalError refuses a request before anything is run: the HTTP status, the error
// code and the message of the response.
type RefusalError struct {
	Status  int
	Code    string
	Message string
}

// Error implements error.
func (refusal RefusalError) Error() string {
	return refusal.Message
}

const (
	// MaxBodyBytes is the largest body that a caller may send.
	MaxBodyBytes = 4 << 20
	// HeaderClass selects the class of a request.
	HeaderClass = "Endivepost-Class"
	// HeaderOutcome carries the outcome of a request, a message.Outcome.
	HeaderOutcome = "Endivepost-Outcome"
	// HeaderReason carries the message.Reason of a response that is not complete.
	HeaderReason = "Endivepost-Reason"
	// ServicePrefix is the path prefix of requests to plain services; the service's
	// name follows.
	ServicePrefix = "/services/"

	headerKey   = "Idempotency-Key"
	maxKeyBytes = 255
	// uuidVersionWithTime is the version of UUIDs that contain their creation time.
	uuidVersionWithTime = 7
)

// chatRequest holds the fields of a chat completion request that the router reads.
type chatRequest struct {
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
}

// maxPromptParts bounds the messages that are told apart in a chat. The first ones are
// those that other chats share.
const maxPromptParts = 16

// promptParts returns the messages of the chat as parts of its prompt. Equal messages have
// the same ID. The lengths are not known. Messages that are no list are left to the upstream
// to refuse, and have no parts.
func (chat chatRequest) promptParts() []event.PromptPart {
	var messages []json.RawMessage
	if err := json.Unmarshal(chat.Messages, &messages); err != nil {
		return nil
	}
	var parts []event.PromptPart
	for _, text := range messages[:min(len(messages), maxPromptParts)] {
		sum := fnv.New64a()
		_, _ = sum.Write(text)
		parts = append(parts, event.PromptPart{ID: sum.Sum64()})
	}
	return parts
}

// Read resolves the account and class of a request and reads its body. The error is a
// RefusalError.
func Read(request *http.Request, published document.Document) (resolved event.Request, err error) {
	account, err := authenticate(request, published)
	if err != nil {
		return event.Request{}, err
	}
	body, err := readBody(request)
	if err != nil {
		return event.Request{}, err
	}
	resolved = event.Request{Account: account.Name}
	resolved.Payload = message.Payload{Method: request.Method, Path: request.URL.RequestURI(), Body: body}
	if strings.HasPrefix(request.URL.Path, ServicePrefix) {
		resolved.Class, err = resolveService(request, published, account, &resolved.Payload)
	} else {
		resolved.Class, err = resolveChat(request, published, account, &resolved)
	}
	if err != nil {
		return event.Request{}, err
	}
	resolved.Payload.NonIdempotent = resolved.Class.NonIdempotent
	resolved.Payload.Header = message.HeadersOf(request.Header, excludedHeaders)
	return withIdentity(request, resolved)
}

func authenticate(request *http.Request, published document.Document) (document.Account, error) {
	key, ok := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return document.Account{}, RefusalError{http.StatusUnauthorized, "missing-key", "send the client account's key as a bearer token"}
	}
	sum := sha256.Sum256([]byte(key))
	account, ok := published.AccountByKeySum(hex.EncodeToString(sum[:]))
	if !ok {
		return document.Account{}, RefusalError{http.StatusUnauthorized, "wrong-key", "no client account has this key"}
	}
	return account, nil
}

// bodyCopies counts the body as one, in the message to the sidecar and in the buffer of the
// link.
const bodyCopies = 3

func readBody(request *http.Request) ([]byte, error) {
	segments, err := guard.ReadBody(request, MaxBodyBytes)
	var rejected guard.RejectedError
	if errors.As(err, &rejected) {
		return nil, err
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, RefusalError{http.StatusRequestEntityTooLarge, "body-too-large", fmt.Sprintf("the body is larger than %d bytes", MaxBodyBytes)}
	}
	if err != nil {
		return nil, RefusalError{http.StatusBadRequest, "body-cut-off", "the body ended early"}
	}
	return guard.Join(request, segments, bodyCopies)
}

func resolveService(request *http.Request, published document.Document, account document.Account, payload *message.Payload) (document.Class, error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, ServicePrefix), "/")
	payload.Path = strings.TrimPrefix(payload.Path, ServicePrefix+name)
	if !strings.HasPrefix(payload.Path, "/") {
		payload.Path = "/" + payload.Path
	}
	serves := func(class document.Class) bool { return class.Service == name && name != "" }
	return resolveClass(request, published, account, serves, "service "+name)
}

func resolveChat(request *http.Request, published document.Document, account document.Account, resolved *event.Request) (document.Class, error) {
	var chat chatRequest
	if err := json.Unmarshal(resolved.Payload.Body, &chat); err != nil {
		return document.Class{}, RefusalError{http.StatusBadRequest, "malformed-json", "the body is no chat completion request: " + err.Error()}
	}
	resolved.Payload.Stream = chat.Stream
	resolved.Prompt.Parts = chat.promptParts()
	serves := func(class document.Class) bool {
		return class.Model != "" && (chat.Model == "" || chat.Model == class.Model)
	}
	return resolveClass(request, published, account, serves, "model "+chat.Model)
}

// resolveClass returns the class in the header, else the account's default class, else
// the first class that the account may use for the model or service.
func resolveClass(
	request *http.Request, published document.Document, account document.Account, serves func(document.Class) bool, wanted string,
) (document.Class, error) {
	if name := request.Header.Get(HeaderClass); name != "" {
		class, ok := published.Class(name)
		if !ok || !account.Allows(name) {
			return document.Class{}, RefusalError{http.StatusBadRequest, "unknown-class", fmt.Sprintf("client account %s has no class %q", account.Name, name)}
		}
		if !serves(class) {
			return document.Class{}, RefusalError{http.StatusBadRequest, "wrong-class", fmt.Sprintf("class %q does not serve %s", name, wanted)}
		}
		return class, nil
	}
	if class, ok := published.Class(account.DefaultClass); ok && serves(class) {
		return class, nil
	}
	for _, class := range published.Classes {
		if account.Allows(class.Name) && serves(class) {
			return class, nil
		}
	}
	return document.Class{}, RefusalError{http.StatusNotFound, "no-class", fmt.Sprintf("client account %s has no class for %s", account.Name, wanted)}
}

// withIdentity adds the values that are the same in a retry of the request: body digest,
// fingerprint, and for non-idempotent classes the idempotency key. The key is scoped to
// account and class.
func withIdentity(request *http.Request, resolved event.Request) (event.Request, error) {
	sum := sha256.New()
	for _, part := range [][]byte{[]byte(resolved.Payload.Method), []byte(resolved.Payload.Path), resolved.Payload.Body} {
		_, _ = sum.Write(part)
		_, _ = sum.Write([]byte{0})
	}
	copy(resolved.BodyDigest[:], sum.Sum(nil))
	resolved.Fingerprint = fingerprint(resolved.Account, resolved.BodyDigest)
	key := request.Header.Get(headerKey)
	if key == "" || !resolved.Class.NonIdempotent {
		return resolved, nil
	}
	if len(key) > maxKeyBytes {
		return event.Request{}, RefusalError{http.StatusBadRequest, "key-too-long", fmt.Sprintf("the idempotency key is longer than %d bytes", maxKeyBytes)}
	}
	keySum := sha256.Sum256([]byte(resolved.Account + "\x00" + resolved.Class.Name + "\x00" + key))
	copy(resolved.Key[:], keySum[:])
	resolved.KeyCreatedAt = creationTime(key)
	return resolved, nil
}

// fingerprint returns the hash that identifies a request in crash suspicions. It is the
// same for a request that the caller retries.
func fingerprint(account string, sum message.Digest) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(account))
	_, _ = hash.Write(sum[:])
	return hash.Sum64()
}

// creationTime returns the time in a key that is a version 7 UUID, else the zero time.
func creationTime(key string) time.Time {
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != uuidVersionWithTime {
		return time.Time{}
	}
	seconds, nanoseconds := parsed.Time().UnixTime()
	return time.Unix(seconds, nanoseconds)
}

// excludedHeaders are the header fields of a caller's request that are not forwarded to
// the upstream. Accept-Encoding is one, because the events and the usage of a compressed
// response could not be read.
var excludedHeaders = map[string]bool{
	"Authorization": true, "Connection": true, "Content-Length": true, "Transfer-Encoding": true, "Traceparent": true,
	"Accept-Encoding": true, "Keep-Alive": true, "Upgrade": true, "Te": true, "Trailer": true, HeaderClass: true,
}
