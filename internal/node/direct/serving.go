package direct

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"endivepost/internal/config/index"
	"endivepost/internal/core/event"
	"endivepost/internal/node/caller"
	"endivepost/internal/node/dialect"
	"endivepost/internal/node/guard"
	"endivepost/internal/node/logevent"
	"endivepost/internal/wire/message"
)

// serveReady responds to a readiness probe: status 503 until the entry is ready and
// while it drains, else 200.
func (entry *Entry) serveReady(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != entry.settings.ReadyPath {
		http.NotFound(writer, request)
		return
	}
	if !entry.ready.Load() || entry.draining.Load() || !entry.guard.Callers.CanAccept(time.Now()) {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serve handles one request of a caller up to its final response.
func (entry *Entry) serve(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	if !entry.released.Load() {
		entry.earlier.Add(1)
		defer entry.earlier.Add(-1)
	}
	if entry.draining.Load() || hasChunkedBody(request) {
		writer.Header().Set("Connection", "close")
	}
	published := entry.index.Load()
	if published == nil {
		boundUnread(writer, request)
		entry.refuse(writer, refusal{status: http.StatusServiceUnavailable, code: "not-ready", retryAfter: notReadyRetryAfter})
		return
	}
	inflight, err := entry.read(request, published)
	if err != nil {
		boundUnread(writer, request)
		entry.refuse(writer, err)
		return
	}
	// The server's read timeout covers the whole request: clear it, or it would
	// truncate a long response.
	if err := http.NewResponseController(writer).SetReadDeadline(time.Time{}); err != nil {
		entry.refuse(writer, err)
		return
	}
	inflight.writer = writer
	inflight.arrived = arrived
	if inflight.resolved.Timeout > 0 {
		inflight.resolved.Timeout -= time.Since(arrived)
	}
	entry.run(request.Context(), inflight)
}

// unreadTime is how long the server waits for the rest of a body that is not read. Callers that
// never send it would otherwise keep their connections for the time of a whole request.
const unreadTime = 500 * time.Millisecond

// boundUnread bounds the time for which the server discards what a refused request has of its
// body: it does so before and after it sends the refusal.
func boundUnread(writer http.ResponseWriter, request *http.Request) {
	if request.ContentLength != 0 {
		_ = http.NewResponseController(writer).SetReadDeadline(time.Now().Add(unreadTime))
	}
}

// hasChunkedBody reports whether the body has chunked encoding. net/http drops a
// Content-Length sent along with it, so a sender that relies on the length would
// have the rest of its body read as another request (request smuggling). The
// connection is therefore closed after the response.
func hasChunkedBody(request *http.Request) bool {
	return len(request.TransferEncoding) > 0
}

// notReadyRetryAfter is the Retry-After of a request that arrives before the first
// configuration.
const notReadyRetryAfter = 300 * time.Millisecond

// overloaded is the code of requests that are refused for lack of memory or descriptors.
const (
	overloaded           = "overloaded"
	overloadedRetryAfter = time.Second
)

// read resolves the class and account of a request and reads its body. The error is a
// refusal. A request without a known key is accepted if its class is open or the
// document has no accounts.
func (entry *Entry) read(request *http.Request, published *index.Index) (*inflight, error) {
	info, err := entry.settings.Dialect.ParseRequest(request.Header)
	if err != nil {
		return nil, refusal{status: http.StatusBadRequest, code: "bad-request", detail: err.Error()}
	}
	for _, ignored := range info.Ignored {
		entry.log(logevent.FieldIgnored).WithFields(logrus.Fields{"request": info.ID, "detail": ignored.Error()}).Info()
	}
	version := published.Document().Version
	class, ok := published.Class(request.Host, request.URL.EscapedPath())
	if !ok {
		return nil, refusal{status: http.StatusNotFound, code: "no-class", id: info.ID, version: version, detail: "no class has this host and path"}
	}
	account, known := published.Account(info.Key)
	if !known && !class.Open && len(published.Document().Accounts) > 0 {
		return nil, refusal{status: http.StatusUnauthorized, code: "wrong-key", id: info.ID, version: version, detail: "no client account has this key"}
	}
	tier := published.Tier(account, class)
	guard.FromContext(request.Context()).Classify(account.Name, tier)
	entry.reading.Add(1)
	body, err := readBody(request, published.Document().Limits.BodyBytes)
	entry.reading.Add(-1)
	if err != nil {
		return nil, err
	}
	resolved := event.Request{
		Account: account.Name, Class: class, Tier: tier, Timeout: info.Timeout, Prompt: info.Prompt,
		Fingerprint: fingerprint(account.Name, request, body), Stream: streamID(info), TakenUp: info.ResumeAfter != "",
	}
	return &inflight{entry: entry, info: info, resolved: resolved, request: request, body: body, version: version, lastEventID: info.ResumeAfter}, nil
}

// readBody reads at most maxBytes, or caller.MaxBodyBytes if the document sets no
// limit.
func readBody(request *http.Request, maxBytes int) ([][]byte, error) {
	if maxBytes <= 0 {
		maxBytes = caller.MaxBodyBytes
	}
	body, err := guard.ReadBody(request, maxBytes)
	var rejected guard.RejectedError
	if errors.As(err, &rejected) {
		return nil, refusal{status: http.StatusServiceUnavailable, code: overloaded, detail: err.Error(), retryAfter: overloadedRetryAfter, closes: true}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal{status: http.StatusRequestEntityTooLarge, code: "body-too-large", detail: err.Error()}
	}
	if err != nil {
		return nil, refusal{status: http.StatusBadRequest, code: "body-cut-off", detail: err.Error()}
	}
	return body, nil
}

// fingerprint hashes what identifies a request. It is the same for a request that the
// caller retries.
func fingerprint(account string, request *http.Request, body [][]byte) uint64 {
	sum := fnv.New64a()
	for _, part := range []string{account, request.Method, request.Host, request.RequestURI} {
		_, _ = sum.Write([]byte(part))
		_, _ = sum.Write([]byte{0})
	}
	for _, segment := range body {
		_, _ = sum.Write(segment)
	}
	return sum.Sum64()
}

// streamID hashes the ID of the request that brought the first event of the stream: of this
// one, unless it takes up another one's. It returns 0 if the caller does not say which.
func streamID(info dialect.RequestInfo) uint64 {
	first := info.ID
	if info.ResumeAfter != "" {
		first = info.Resumes
	}
	if first == "" {
		return 0
	}
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(first))
	return sum.Sum64()
}

// refusal is the entry's own error response to a request that is not sent to any
// upstream.
type refusal struct {
	status     int
	code       string
	detail     string
	id         string
	version    uint64
	retryAfter time.Duration
	outcome    message.Outcome
	// closes is set if the connection is closed after the response.
	closes bool
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
	refused.outcome = message.NotRun
	writeRefusal(writer, refused)
}

// millisecondDigits is the number of decimals of Retry-After, which is in seconds.
const millisecondDigits = 3

func writeRefusal(writer http.ResponseWriter, refused refusal) {
	if refused.closes {
		writer.Header().Set("Connection", "close")
	}
	if refused.retryAfter > 0 {
		writer.Header().Set("Retry-After", strconv.FormatFloat(refused.retryAfter.Seconds(), 'f', millisecondDigits, 64))
	}
	caller.WriteFailure(writer, caller.RefusalError{Status: refused.status, Code: refused.code, Message: refused.detail}, refused.outcome)
}

// run submits the request to the dispatcher and carries out its outputs until the
// request has its final response.
func (entry *Entry) run(ctx context.Context, inflight *inflight) {
	id := message.NewRequestID(entry.settings.Boot, entry.sequence.Add(1))
	inflight.resolved.ID = id
	inflight.commands = &commands{queue: make(chan event.Output, maxCommands)}
	if !entry.activate(id, inflight.commands) {
		inflight.entry.countRejection(guard.Descriptors, inflight.request.RemoteAddr)
		entry.refuse(inflight.writer, refusal{
			status: http.StatusServiceUnavailable, code: overloaded, id: inflight.info.ID, version: inflight.version, retryAfter: overloadedRetryAfter,
			detail: "each descriptor for upstreams is taken", closes: true,
		})
		return
	}
	defer func() {
		entry.mutex.Lock()
		delete(entry.active, id)
		entry.mutex.Unlock()
	}()
	ctx, span := entry.startSpan(ctx, inflight)
	defer span.End()
	stop := context.AfterFunc(ctx, func() { entry.loop.Post(event.CallerDisconnected{ID: id}) })
	defer stop()
	entry.loop.Post(event.Submitted{Request: inflight.resolved})
	for command := range inflight.commands.queue {
		switch command := command.(type) {
		case event.Attempt:
			if command.Number == 1 {
				inflight.waited = time.Since(inflight.arrived)
			}
			ended := inflight.runAttempt(ctx, command)
			inflight.recordAttempt(command, ended)
			entry.loop.Post(ended)
		case event.Finish:
			inflight.finish(command)
			return
		}
	}
}

// activate adds the request to those in flight. It returns false if there may be no
// descriptor for its connection to an upstream.
func (entry *Entry) activate(id message.RequestID, of *commands) bool {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	if limit := entry.guard.MaxUpstreams(); limit > 0 && len(entry.active) >= limit {
		return false
	}
	entry.active[id] = of
	return true
}

// inflight is one request in flight and the state of its response.
type inflight struct {
	entry    *Entry
	info     dialect.RequestInfo
	resolved event.Request
	request  *http.Request
	body     [][]byte
	version  uint64
	writer   http.ResponseWriter
	arrived  time.Time
	commands *commands
	// activity reports that the attempt in progress goes on.
	activity *activity
	// addresses are those of the attempts so far.
	addresses []string
	// sentAt is the uptime at which the attempt in progress began.
	sentAt time.Duration
	// buffered is the latest error response of an upstream, sent if no attempt succeeds.
	buffered *bufferedResponse
	// started is set once the response to the caller has begun, with the status code status.
	started     bool
	status      int
	lastEventID string
	events      int
	// waited is the time from arrival to the first attempt, timeToFirst that from
	// arrival to the start of the response.
	waited      time.Duration
	timeToFirst time.Duration
	lastEventAt time.Time
	// longestGap is the longest time between two events, lateEvents the number of events
	// that came later after the previous one than the class's target.
	longestGap time.Duration
	lateEvents int
}

// finish sends the final response to the caller, unless it is already sent.
func (inflight *inflight) finish(finish event.Finish) {
	status := inflight.writeFinal(finish)
	inflight.record(finish, status)
	if finish.Outcome == message.Incomplete {
		// Abort the connection, or the truncated response would look complete.
		inflight.resetUnframed()
		panic(http.ErrAbortHandler)
	}
}

// resetUnframed resets the connection to a caller of HTTP/1.0: its response has no chunks,
// and an orderly close would be its end.
func (inflight *inflight) resetUnframed() {
	if inflight.request.ProtoAtLeast(1, 1) {
		return
	}
	conn, _, err := http.NewResponseController(inflight.writer).Hijack()
	if err != nil {
		return
	}
	if socket, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}

// writeFinal writes the response if runAttempt has not done so, and returns its status
// code.
func (inflight *inflight) writeFinal(finish event.Finish) int {
	refused := refusal{code: finish.Outcome.String(), detail: finish.Reason.String(), retryAfter: finish.RetryAfter, outcome: finish.Outcome}
	switch {
	case finish.Outcome == message.Complete || finish.Outcome == message.Incomplete:
		return inflight.status
	case finish.Outcome == message.Failed && inflight.buffered != nil:
		if err := inflight.buffered.write(inflight); err != nil {
			inflight.logUndelivered(err)
		}
		return inflight.buffered.status
	case finish.Outcome == message.NotRun:
		refused.status = http.StatusServiceUnavailable
	case finish.Reason == message.DeadlinePassed:
		refused.status = http.StatusGatewayTimeout
	default:
		refused.status = http.StatusBadGateway
	}
	writeRefusal(inflight.writer, refused)
	return refused.status
}
