package processes

import (
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// rule is a promise to callers or upstreams.
type rule string

const (
	// lost: a request that was read has no whole answer.
	lost rule = "LOST"
	// hung: a request has neither an answer nor a closed connection long after its deadline.
	hung rule = "HUNG"
	// mixed: an answer is not the one that the request's upstream gave.
	mixed rule = "MIXED"
	// order: a stream has a gap or an event twice, or seems complete without its last event.
	order rule = "ORDER"
	// refused: a request was refused as not run, and has run.
	refused rule = "REFUSED"
	// twice: a request that is not idempotent has run more than once.
	twice rule = "TWICE"
	// denied: a proper request was answered as not allowed.
	denied rule = "DENIED"
	// altered: an upstream got another request than the caller sent.
	altered rule = "ALTERED"
	// unclean: a process did not exit in time or with success.
	unclean rule = "EXIT"
)

// violation is a rule that was broken, by a call or by a process.
type violation struct {
	rule    rule
	detail  string
	call    *call
	process *process
}

// excuse says why a lost answer is no fault of the entry; "" if it is.
type excuse string

const (
	upstreamEnded excuse = "the upstream broke off"
	deadlineCame  excuse = "the deadline was reached"
	wasFrozen     excuse = "the entry was frozen"
	wasKilled     excuse = "the entry was killed"
	graceEnded    excuse = "the upstream was still at work at the end of the grace period"
)

const (
	// disruptionSpan is how long a disruption of an entry excuses what follows.
	disruptionSpan = 3 * time.Second
	// readSlack is the time after a request's last byte in which a close may cross it.
	readSlack = 200 * time.Millisecond
	// deadlineSlack is how much before its deadline a request may end.
	deadlineSlack = 50 * time.Millisecond
	// lateSend is the time after SIGTERM up to which requests may need the grace period.
	lateSend = 3 * time.Second
)

// verdict is the result of a check.
type verdict struct {
	violations []violation
	// excused has the lost answers that are no fault of an entry, failures the answers of
	// entries that an upstream failed though none has: no rule forbids these.
	excused  map[excuse][]*call
	failures []*call
}

// check checks all calls and processes.
func (journal *journal) check() verdict {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	found := verdict{excused: make(map[excuse][]*call)}
	add := func(of *call, broken rule, detail string) {
		if broken != "" {
			found.violations = append(found.violations, violation{rule: broken, detail: detail, call: of})
		}
	}
	for _, made := range journal.calls {
		runs := journal.runs[made.plan.id]
		broken, detail := made.checkRuns(runs)
		add(made, broken, detail)
		broken, detail = made.checkAnswer(runs)
		add(made, broken, detail)
		if made.status >= http.StatusInternalServerError && made.seal == "" && !isRefusal(made.status) && journal.excuse(made, runs) == "" {
			found.failures = append(found.failures, made)
		}
		if !made.isLost(runs) {
			continue
		}
		if why := journal.excuse(made, runs); why != "" {
			found.excused[why] = append(found.excused[why], made)
			continue
		}
		add(made, lost, string(made.ending))
	}
	for _, name := range journal.unasked {
		add(nil, mixed, "bytes without a request at "+name)
	}
	for _, process := range journal.processes {
		if detail := process.checkExit(); detail != "" {
			found.violations = append(found.violations, violation{rule: unclean, detail: detail, process: process})
		}
	}
	return found
}

// checkRuns checks what arrived at upstreams.
func (call *call) checkRuns(runs []*run) (rule, string) {
	for _, run := range runs {
		if run.altered != "" {
			return altered, run.altered
		}
	}
	if len(runs) > 1 && !call.plan.route.idempotent() {
		return twice, fmt.Sprintf("%d runs", len(runs))
	}
	if isRefusal(call.status) && len(runs) > 0 {
		return refused, fmt.Sprintf("status %d and %d runs", call.status, len(runs))
	}
	return "", ""
}

// isRefusal reports whether the status promises that the request has not run.
func isRefusal(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkAnswer checks that what arrived of the answer is the request's own.
func (call *call) checkAnswer(runs []*run) (rule, string) {
	switch {
	case call.extra:
		return mixed, "bytes follow the answer"
	case call.ending == malformed:
		return mixed, "not an HTTP response"
	case call.ending == abandoned && call.isHung(runs):
		return hung, "no end of the answer"
	case call.status == 0:
		return "", ""
	case call.status == http.StatusOK:
		return call.checkSuccess(runs)
	case call.seal != "" && call.runOf(runs) == nil:
		return mixed, fmt.Sprintf("status %d with another run's seal %q", call.status, call.seal)
	case call.seal != "" && call.runOf(runs).status != call.status:
		return mixed, fmt.Sprintf("status %d, the upstream sent %d", call.status, call.runOf(runs).status)
	case call.status < http.StatusInternalServerError && !isRefusal(call.status):
		return denied, fmt.Sprintf("status %d: %s", call.status, call.body)
	}
	return "", ""
}

// isHung reports whether the answer should have ended long before the caller left. An entry
// that does not know the deadline goes on as long as the upstream is at work.
func (call *call) isHung(runs []*run) bool {
	if call.process.disruption(call.began, call.ended) != "" {
		return false
	}
	latest := call.latestRun(runs)
	atWork := latest != nil && (latest.ended.IsZero() || latest.ended.After(call.ended.Add(-callerPatience)))
	return call.plan.dialect.tellsDeadline() || !atWork
}

// runOf returns the run with the answer's seal.
func (call *call) runOf(runs []*run) *run {
	for _, run := range runs {
		if run.seal == call.seal {
			return run
		}
	}
	return nil
}

func (call *call) checkSuccess(runs []*run) (rule, string) {
	of := call.runOf(runs)
	if of == nil || call.id != call.plan.id || of.status != call.status {
		return mixed, fmt.Sprintf("success with seal %q and ID %q", call.seal, call.id)
	}
	want, broken := call.plan.answerBody(call.seal), mixed
	if call.plan.route.streamed() {
		want, broken = call.plan.streamBody(), order
	}
	if at := firstDifference(call.body, want); at < len(call.body) {
		return broken, fmt.Sprintf("differs from byte %d on: got %q", at, tail(call.body[at:]))
	}
	if call.ending == whole && len(call.body) < len(want) {
		return broken, fmt.Sprintf("seems complete with %d of %d bytes", len(call.body), len(want))
	}
	return "", ""
}

// firstDifference returns the length of the common start.
func firstDifference(left, right string) int {
	at := 0
	for at < len(left) && at < len(right) && left[at] == right[at] {
		at++
	}
	return at
}

func tail(text string) string { return text[:min(len(text), 60)] }

// isLost reports whether the request was read and its answer is not whole. Without a run it
// counts as read if the connection was closed in order and not at once.
func (call *call) isLost(runs []*run) bool {
	switch call.ending {
	case cutOff:
		return true
	case closed:
		return len(runs) > 0 || !call.sent.IsZero() && call.ended.Sub(call.sent) > readSlack
	case reset, crossed:
		return len(runs) > 0
	}
	return false
}

// excuse returns why the answer of a lost request may be missing. A disruption of the entry
// or sidecar comes last, so that it names only what has no other reason.
func (journal *journal) excuse(of *call, runs []*run) excuse {
	deadline := of.began.Add(min(of.plan.deadline, routeTimeout))
	if !of.ended.Before(deadline.Add(-deadlineSlack)) {
		return deadlineCame
	}
	if latest := of.latestRun(runs); latest != nil {
		if (latest.outcome == brokenOff || latest.outcome == overdue) && latest.ended.Before(of.ended.Add(readSlack)) {
			return upstreamEnded
		}
	}
	if of.outlived(runs, journal.grace) {
		return graceEnded
	}
	if why := of.process.disruption(of.began, of.ended); why != "" {
		return why
	}
	return journal.sidecarDisruption(of, runs)
}

// sidecarDisruption returns whether a sidecar through which the request ran was frozen or
// killed meanwhile.
func (journal *journal) sidecarDisruption(of *call, runs []*run) excuse {
	for _, run := range runs {
		for _, process := range journal.processes {
			if process.entry != run.upstream {
				continue
			}
			if why := process.disruption(of.began, of.ended); why != "" && process.aliveAt(of.began) {
				return why
			}
		}
	}
	return ""
}

// aliveAt reports whether the process had not ended by the time.
func (process *process) aliveAt(at time.Time) bool {
	return process.ended.IsZero() || process.ended.After(at)
}

// latestRun returns the last run that the entry had not left before the call ended: an
// upstream that was paused may begin with a request long after its entry has left it.
func (call *call) latestRun(runs []*run) *run {
	var latest *run
	for _, run := range runs {
		left := run.outcome == cut && run.ended.Before(call.ended)
		if run.began.Before(call.ended) && !left {
			latest = run
		}
	}
	return latest
}

// outlived reports whether an upstream was still at work in the last sixth of the grace
// period on a request that was sent early in it.
func (call *call) outlived(runs []*run, grace time.Duration) bool {
	terminated := call.process.terminated
	if terminated.IsZero() || call.began.After(terminated.Add(lateSend)) {
		return false
	}
	sixth := terminated.Add(grace - grace/6)
	return call.ended.After(sixth) && slices.ContainsFunc(runs, func(run *run) bool {
		return run.began.Before(call.ended) && (run.ended.IsZero() || run.ended.After(sixth))
	})
}

// disruption returns whether the process was frozen or killed around the time.
func (process *process) disruption(from, until time.Time) excuse {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	if !process.killed.IsZero() && process.killed.Before(until.Add(readSlack)) {
		return wasKilled
	}
	from = from.Add(-disruptionSpan)
	for _, frozen := range process.frozen {
		if frozen.overlaps(from, until) {
			return wasFrozen
		}
	}
	return ""
}

// checkExit says what is wrong with the end of a process that was not killed or frozen.
func (process *process) checkExit() string {
	process.mutex.Lock()
	defer process.mutex.Unlock()
	frozen := len(process.frozen) > 0 && process.frozen[len(process.frozen)-1].until.After(process.terminated)
	switch {
	case process.terminated.IsZero() && process.killed.IsZero() && !process.ended.IsZero():
		return fmt.Sprintf("ended without a signal: %v", process.err)
	case process.overran && !frozen:
		return "still ran at the end of the grace period"
	case process.killed.IsZero() && process.err != nil && !process.endedBySignal():
		return fmt.Sprintf("ended with %v", process.err)
	}
	return ""
}

// endedBySignal reports whether a SIGTERM ended the process before it had begun to serve or
// after it had stopped.
func (process *process) endedBySignal() bool {
	status, ok := process.command.ProcessState.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == syscall.SIGTERM && (!process.logged("started") || process.logged("stopped"))
}
