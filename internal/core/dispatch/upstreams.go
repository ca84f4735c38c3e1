package dispatch

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/enginechoice"
	"endivepost/internal/policy/prefix"
	"endivepost/internal/policy/rendezvous"
	"endivepost/internal/wire/message"
)

// upstreamRow is what this entry knows of an upstream from its own requests.
type upstreamRow struct {
	use message.Use
	// heard is when the upstream last sent anything, busySince when it was given
	// work after having had none.
	heard     time.Duration
	busySince time.Duration
	failures  int
	// avoidUntil keeps new work away while others can take it.
	avoidUntil time.Duration
	kept       *prefix.Memory
	// blamed are the requests that its last crash, if it was one, is put down to.
	blamed []blame
}

// WithHeard returns the row after a sign of life.
func (row upstreamRow) WithHeard(now time.Duration) upstreamRow {
	row.heard = now
	return row
}

// WithFailure returns the row after a failure that speaks against the upstream.
// Each one in a row doubles the time for which it is avoided.
func (row upstreamRow) WithFailure(now time.Duration) upstreamRow {
	row.failures++
	row.avoidUntil = now + avoidFirst<<min(row.failures-1, avoidDoublings)
	return row
}

// WithSuccess returns the row after an answer.
func (row upstreamRow) WithSuccess(now time.Duration) upstreamRow {
	row.failures = 0
	row.avoidUntil = now
	return row.WithHeard(now)
}

const (
	avoidFirst     = 250 * time.Millisecond
	avoidDoublings = 4
	// silentAfter is how long an upstream may send nothing at all while it has
	// work, beside the time for reading its prompts.
	silentAfter = 700 * time.Millisecond
	// readingSlack multiplies the predicted time of reading, which grows with the
	// length of the prompts.
	readingSlack = 1.5
	// mostHomes is the number of upstreams that a prefix is sent to by preference.
	mostHomes = 2
	// defaultCache is the size of a KV cache that the document does not state.
	defaultCache = 200_000
)

// homeShares are the parts of a prefix that its homes are taken to keep, by their
// place, if entries do not tell each other where it is: others send it there too.
// Where they do, announcedShares only let two entries that meet a new prefix at
// the same time choose alike.
var (
	homeShares      = [mostHomes]float64{0.9, 0.5}
	announcedShares = [mostHomes]float64{0.05, 0}
)

func (dispatcher *Dispatcher) upstream(name string) upstreamRow {
	row, ok := dispatcher.upstreams.Get(name)
	if !ok {
		row = upstreamRow{use: message.Use{Upstream: name}}
	}
	return row
}

// choice is an upstream with the belief that spoke for it.
type choice struct {
	upstream event.Upstream
	view     event.View
}

// choose returns the upstream to send the request to, if there is one. Those
// that were tried, failed lately or fail often are taken only if there is no other.
func (dispatcher *Dispatcher) choose(now time.Duration, row requestRow) (choice, bool) {
	return dispatcher.chooseFrom(now, row, func(event.Upstream) bool { return true })
}

// chooseFrom is choose among the upstreams that will do.
func (dispatcher *Dispatcher) chooseFrom(now time.Duration, row requestRow, willDo func(event.Upstream) bool) (choice, bool) {
	pool := dispatcher.view(now, row.pool)
	var fresh, untried []event.Upstream
	for _, upstream := range pool.usable {
		if slices.Contains(row.tried, upstream.Name) || !willDo(upstream) {
			continue
		}
		untried = append(untried, upstream)
		if !pool.outliers[upstream.Name] && now >= dispatcher.upstream(upstream.Name).avoidUntil {
			fresh = append(fresh, upstream)
		}
	}
	if len(fresh) == 0 {
		fresh = untried
	}
	if len(fresh) == 0 {
		return choice{}, false
	}
	return dispatcher.best(now, row, fresh, pool.apart), true
}

// best returns the cheapest of the upstreams for the request. Engines that are
// set apart for urgent streams are costlier for long prompts, and the others are
// costlier for urgent streams, so that each borrows from the other only when its
// own are full.
func (dispatcher *Dispatcher) best(now time.Duration, row requestRow, upstreams []event.Upstream, apart map[string]bool) choice {
	uses := dispatcher.allUses()
	homes := dispatcher.homes(row, upstreams, apart)
	candidates := make([]enginechoice.Candidate, len(upstreams))
	start := dispatcher.settings.Random.IntN(len(upstreams))
	rotated := slices.Concat(upstreams[start:], upstreams[:start])
	for i, upstream := range rotated {
		use := uses[upstream.Name]
		candidates[i] = enginechoice.Candidate{
			Running: use.Running,
			Batch:   upstream.Slots,
			Reading: use.Reading,
			Urgent:  use.Urgent,
			Unread:  dispatcher.unread(row, upstream.Name, homes),
			Apart:   apart[upstream.Name],
			Far:     upstream.Domain != dispatcher.settings.Domain,
		}
	}
	best := enginechoice.Choose(enginechoice.Ask{Urgent: row.urgent(), Split: len(apart) > 0, Within: row.within(now)}, candidates)
	chosen := candidates[best]
	return choice{upstream: rotated[best], view: event.View{
		Running: chosen.Running, Reading: chosen.Reading, Unread: chosen.Unread, Apart: chosen.Apart, Entries: len(dispatcher.mesh.Beats()),
		Waiting: int(dispatcher.waitingWork),
	}}
}

// homes returns the upstreams that all entries prefer for the request's longest
// shared prefix, the first choice first; none for a request without one.
func (dispatcher *Dispatcher) homes(row requestRow, upstreams []event.Upstream, apart map[string]bool) []string {
	parts := row.request.Prompt.Parts
	if len(parts) < 2 {
		return nil
	}
	var names []string
	for _, upstream := range upstreams {
		if apart[upstream.Name] == row.urgent() {
			names = append(names, upstream.Name)
		}
	}
	key := binary.BigEndian.AppendUint64(nil, parts[len(parts)-2].ID)
	ranked := rendezvous.Rank(key, names)
	return ranked[:min(len(ranked), mostHomes)]
}

// unread returns how many tokens of the prompt the upstream has to read. A caller
// may tell the parts of a prompt and not its size.
func (dispatcher *Dispatcher) unread(row requestRow, name string, homes []string) int {
	return max(row.request.Prompt.Tokens-dispatcher.held(row, name, homes), 0)
}

// held returns how many tokens of the prompt the upstream need not read.
func (dispatcher *Dispatcher) held(row requestRow, name string, homes []string) int {
	prompt := row.request.Prompt
	held := 0
	if known := dispatcher.upstream(name).kept; known != nil {
		held = known.Held(prompt.Parts)
	}
	place := slices.Index(homes, name)
	if place < 0 {
		return held
	}
	share := homeShares[place]
	if dispatcher.announces(prompt) {
		share = announcedShares[place]
	}
	return max(held, int(share*float64(tokens(prompt.Shared()))))
}

// allUses adds what the other entries last reported to this entry's own work.
func (dispatcher *Dispatcher) allUses() map[string]message.Use {
	if dispatcher.total != nil {
		return dispatcher.total
	}
	total := make(map[string]message.Use)
	for _, name := range dispatcher.upstreams.Keys() {
		row, _ := dispatcher.upstreams.Get(name)
		total[name] = row.use
	}
	for _, beat := range dispatcher.mesh.Beats() {
		for _, use := range beat.Uses {
			sum := total[use.Upstream]
			sum.Running += use.Running
			sum.Reading += use.Reading
			sum.Urgent += use.Urgent
			sum.Memory += use.Memory
			total[use.Upstream] = sum
		}
	}
	dispatcher.total = total
	return total
}

// usesChanged drops the sum of all uses, and has the requests that wait for room
// looked at again.
func (dispatcher *Dispatcher) usesChanged() {
	dispatcher.total = nil
	dispatcher.freed = true
}

// uses returns this entry's own work in progress, in a fixed order.
func (dispatcher *Dispatcher) uses() []message.Use {
	var uses []message.Use
	for _, name := range dispatcher.upstreams.Keys() {
		if row, _ := dispatcher.upstreams.Get(name); row.use.Running > 0 {
			uses = append(uses, row.use)
		}
	}
	slices.SortFunc(uses, func(left, right message.Use) int { return cmp.Compare(left.Upstream, right.Upstream) })
	return uses
}

// occupy records that the request was sent to its upstream.
func (dispatcher *Dispatcher) occupy(now time.Duration, row requestRow) {
	held := dispatcher.upstream(row.upstream)
	if held.use.Running == 0 {
		held.busySince = now
	}
	held.use.Running++
	held.use.Reading += row.reading
	held.use.Memory += row.memory(row.reading)
	if row.urgent() {
		held.use.Urgent++
	}
	if parts := row.request.Prompt.Parts; len(parts) > 0 {
		dispatcher.announce(now, row, held)
		held = held.WithMemory(dispatcher.cacheTokens(row.pool))
		held.kept.Add(parts)
	}
	dispatcher.upstreams.Put(row.upstream, held)
	dispatcher.total = nil
}

// WithMemory returns the row with a memory of what the upstream keeps.
func (row upstreamRow) WithMemory(bound int) upstreamRow {
	if row.kept == nil {
		row.kept = prefix.New(bound)
	}
	return row
}

func (dispatcher *Dispatcher) cacheTokens(pool string) int {
	if found, ok := dispatcher.config.Document().Pool(pool); ok && found.Engine.CacheTokens > 0 {
		return found.Engine.CacheTokens
	}
	return defaultCache
}

// release undoes occupy at the end of an attempt.
func (dispatcher *Dispatcher) release(row requestRow) {
	held := dispatcher.upstream(row.upstream)
	held.use.Running--
	if !row.answered {
		held.use.Reading -= row.reading
	}
	held.use.Memory -= row.memory(row.reading)
	if row.urgent() {
		held.use.Urgent--
	}
	dispatcher.upstreams.Put(row.upstream, held)
	dispatcher.usesChanged()
}

// forgetGone drops what is known of upstreams that the list no longer has.
func (dispatcher *Dispatcher) forgetGone() {
	for _, name := range dispatcher.upstreams.Keys() {
		held, _ := dispatcher.upstreams.Get(name)
		if _, listed := dispatcher.roster.Find(name); !listed && held.use.Running == 0 {
			dispatcher.upstreams.Delete(name)
			dispatcher.total = nil
		}
	}
}

// quietFor returns for how long the upstream has had work and sent nothing.
func (row upstreamRow) quietFor(now time.Duration) time.Duration {
	if row.use.Running == 0 {
		return 0
	}
	return now - max(row.heard, row.busySince)
}

// silent says whether the upstream has sent nothing for longer than the work of
// all entries explains.
func (dispatcher *Dispatcher) silent(now time.Duration, name string, row upstreamRow) bool {
	reading := enginechoice.ReadingTime(dispatcher.allUses()[name].Reading)
	return row.quietFor(now) > silentAfter+time.Duration(readingSlack*float64(reading))
}

// moveFromSilent takes repeatable requests away from upstreams that have gone
// silent: with a crash that nobody announces, connections stay open and nothing
// comes. Requests that must not be repeated stay.
func (dispatcher *Dispatcher) moveFromSilent(now time.Duration) {
	if now < dispatcher.listenDue {
		return
	}
	dispatcher.listenDue = now + listenEvery
	for _, name := range dispatcher.upstreams.Keys() {
		held, _ := dispatcher.upstreams.Get(name)
		if now < held.avoidUntil || !dispatcher.silent(now, name, held) {
			continue
		}
		dispatcher.upstreams.Put(name, held.WithFailure(now))
		upstream, _ := dispatcher.roster.Find(name)
		dispatcher.emit(event.Believed{
			Belief: event.Silent, Name: name, Address: upstream.Address, Version: uint64(held.quietFor(now).Milliseconds()),
		})
		dispatcher.moveAll(now, name)
	}
}

func (dispatcher *Dispatcher) moveAll(now time.Duration, name string) {
	for _, id := range dispatcher.requests.Keys() {
		row, _ := dispatcher.requests.Get(id)
		if row.state != running || row.upstream != name || !row.mayRepeat(now) {
			continue
		}
		if _, ok := dispatcher.choose(now, row.WithTried(name)); !ok {
			continue
		}
		row.state = stopping
		dispatcher.requests.Put(id, row)
		dispatcher.emit(event.Stop{ID: id})
	}
}
