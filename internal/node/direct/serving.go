package direct

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"endivepost/internal/config/index"
	"endivepost/internal/core/event"
	"endivepost/internal/node/caller"
	"endivepost/internal/node/dialect"
	"endivepost/internal/node/logevent"
	"endivepost/internal/wire/message"
)

// orders is how the dispatcher's decisions reach the goroutine of a request.
type orders struct {
	queue   chan event.Output
	mutex   sync.Mutex
	cancel  context.CancelCauseFunc
	stopped bool
}

// mostOrders bounds the decisions that wait for a request's goroutine: it gets
// one at a time, and a last one.
const mostOrders = 4

// errStopped is the cause of a context that the dispatcher ended.
var errStopped = errors.New("stopped by the dispatcher")

// stop ends the attempt in progress, or the next one to begin.
func (orders *orders) stop() {
	orders.mutex.Lock()
	defer orders.mutex.Unlock()
	orders.stopped = true
	if orders.cancel != nil {
		orders.cancel(errStopped)
	}
}

// begin lets stop end the attempt; nil lets go of it.
func (orders *orders) begin(cancel context.CancelCauseFunc) {
	orders.mutex.Lock()
	defer orders.mutex.Unlock()
	orders.cancel = cancel
	if cancel == nil {
		orders.stopped = false
		return
	}
	if orders.stopped {
		cancel(errStopped)
	}
}

func (entry *Entry) serveReady(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != entry.settings.ReadyPath {
		http.NotFound(writer, request)
		return
	}
	if !entry.ready.Load() || entry.draining.Load() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serve carries one request from its arrival to its final word.
func (entry *Entry) serve(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	if entry.draining.Load() || mayHideRequest(request) {
		writer.Header().Set("Connection", "close")
	}
	published := entry.index.Load()
	if published == nil {
		entry.refuse(writer, refusal{status: http.StatusServiceUnavailable, code: "not-ready", retryAfter: notReadyReturn})
		return
	}
	served, err := entry.read(request, published)
	if err != nil {
		entry.refuse(writer, err)
		return
	}
	// The server's bound on reading must not end a long answer.
	if err := http.NewResponseController(writer).SetReadDeadline(time.Time{}); err != nil {
		entry.refuse(writer, err)
		return
	}
	served.writer = writer
	served.arrived = arrived
	if served.resolved.Timeout > 0 {
		served.resolved.Timeout -= time.Since(arrived)
	}
	entry.carry(request.Context(), served)
}

// mayHideRequest says whether the end of the body was told by chunks. Its header
// may have told a length as well, which the library drops without a word; what
// the sender means to be the rest of the body must then not be read as a request.
func mayHideRequest(request *http.Request) bool {
	return len(request.TransferEncoding) > 0
}

const notReadyReturn = 300 * time.Millisecond

// read resolves the class and account of a request and takes in its body.
func (entry *Entry) read(request *http.Request, published *index.Index) (*served, error) {
	call, err := entry.settings.Dialect.ParseRequest(request.Header)
	if err != nil {
		return nil, refusal{status: http.StatusBadRequest, code: "bad-request", detail: err.Error()}
	}
	for _, ignored := range call.Ignored {
		entry.log(logevent.FieldIgnored).WithFields(logrus.Fields{"request": call.ID, "detail": ignored.Error()}).Info()
	}
	version := published.Document().Version
	class, ok := published.Class(request.Host, request.URL.EscapedPath())
	if !ok {
		return nil, refusal{status: http.StatusNotFound, code: "no-class", id: call.ID, version: version, detail: "no class has this host and path"}
	}
	account, known := published.Account(call.Key)
	if !known && !class.Open && len(published.Document().Accounts) > 0 {
		return nil, refusal{status: http.StatusUnauthorized, code: "wrong-key", id: call.ID, version: version, detail: "no client account has this key"}
	}
	body, err := readBody(request, published.Document().Limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	resolved := event.Request{
		Account: account.Name, Class: class, Tier: published.Tier(account, class), Timeout: call.Timeout, Prompt: call.Prompt,
		Fingerprint: fingerprint(account.Name, request, body),
	}
	return &served{entry: entry, call: call, resolved: resolved, request: request, body: body, version: version, lastID: call.ResumeAfter}, nil
}

func readBody(request *http.Request, most int) ([]byte, error) {
	if most <= 0 {
		most = caller.MaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, request.Body, int64(most)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal{status: http.StatusRequestEntityTooLarge, code: "body-too-large", detail: err.Error()}
	}
	if err != nil {
		return nil, refusal{status: http.StatusBadRequest, code: "body-cut-off", detail: err.Error()}
	}
	return body, nil
}

// fingerprint is the same for a request that is sent again.
func fingerprint(account string, request *http.Request, body []byte) uint64 {
	sum := fnv.New64a()
	for _, part := range []string{account, request.Method, request.Host, request.RequestURI} {
		_, _ = sum.Write([]byte(part))
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(body)
	return sum.Sum64()
}

// refusal is an answer of our own to a request that is not sent anywhere.
type refusal struct {
	status     int
	code       string
	detail     string
	id         string
	version    uint64
	retryAfter time.Duration
}

// Error implements error.
func (refusal refusal) Error() string {
	return fmt.Sprintf("%s: %s", refusal.code, refusal.detail)
}

func (entry *Entry) refuse(writer http.ResponseWriter, err error) {
	var refused refusal
	if !errors.As(err, &refused) {
		refused = refusal{status: http.StatusBadRequest, code: "bad-request", detail: err.Error()}
	}
	entry.telemetry.Metrics.Tagged(map[string]string{"code": refused.code}).Counter("refused").Inc(1)
	entry.log(logevent.RequestRefused).WithFields(logrus.Fields{
		"request": refused.id, "code": refused.code, "status": refused.status, "version": refused.version, "detail": refused.detail,
	}).Info()
	writeRefusal(writer, refused)
}

const millisecondDigits = 3

func writeRefusal(writer http.ResponseWriter, refused refusal) {
	if refused.retryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.FormatFloat(refused.retryAfter.Seconds(), 'f', millisecondDigits, 64))
	}
	caller.WriteRefusal(writer, caller.RefusalError{Status: refused.status, Code: refused.code, Message: refused.detail})
}

// carry follows the dispatcher's orders until the request has its final answer.
func (entry *Entry) carry(ctx context.Context, served *served) {
	id := message.NewRequestID(entry.settings.Boot, entry.sequence.Add(1))
	served.resolved.ID = id
	served.orders = &orders{queue: make(chan event.Output, mostOrders)}
	entry.mutex.Lock()
	entry.calls[id] = served.orders
	entry.mutex.Unlock()
	defer func() {
		entry.mutex.Lock()
		delete(entry.calls, id)
		entry.mutex.Unlock()
	}()
	ctx, span := entry.startSpan(ctx, served)
	defer span.End()
	forget := context.AfterFunc(ctx, func() { entry.loop.Post(event.CallerDisconnected{ID: id}) })
	defer forget()
	entry.loop.Post(event.Submitted{Request: served.resolved})
	for order := range served.orders.queue {
		switch order := order.(type) {
		case event.Attempt:
			if order.Number == 1 {
				served.sentAfter = time.Since(served.arrived)
			}
			ended := served.attempt(ctx, order)
			served.recordAttempt(order, ended)
			entry.loop.Post(ended)
		case event.Finish:
			served.finish(order)
			return
		}
	}
}

// served is one request in progress with what its answer has come to.
type served struct {
	entry    *Entry
	call     dialect.RequestInfo
	resolved event.Request
	request  *http.Request
	body     []byte
	version  uint64
	writer   http.ResponseWriter
	arrived  time.Time
	orders   *orders
	held     *heldAnswer
	begun    bool
	lastID   string
	events   int
	// sentAfter is the wait before the first attempt, first that for the answer.
	sentAfter time.Duration
	first     time.Duration
	latest    time.Time
	slow      int
}

// finish gives the caller its final answer, if it has none yet.
func (served *served) finish(finish event.Finish) {
	status := served.answerFinish(finish)
	served.record(finish, status)
	if finish.Outcome == message.Incomplete {
		// The connection must end here, or the answer would look complete.
		panic(http.ErrAbortHandler)
	}
}

func (served *served) answerFinish(finish event.Finish) int {
	refused := refusal{code: finish.Outcome.String(), detail: finish.Reason.String(), retryAfter: finish.RetryAfter}
	switch {
	case finish.Outcome == message.Complete || finish.Outcome == message.Incomplete:
		return http.StatusOK
	case finish.Outcome == message.Failed && served.held != nil:
		if err := served.held.write(served); err != nil {
			served.logLeft(err)
		}
		return served.held.status
	case finish.Outcome == message.NotRun:
		refused.status = http.StatusServiceUnavailable
	case finish.Reason == message.DeadlinePassed:
		refused.status = http.StatusGatewayTimeout
	default:
		refused.status = http.StatusBadGateway
	}
	writeRefusal(served.writer, refused)
	return refused.status
}
