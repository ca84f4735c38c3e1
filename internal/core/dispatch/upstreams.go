package dispatch

import (
	"encoding/binary"
	"slices"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/enginechoice"
	"endivepost/internal/policy/prefixcache"
	"endivepost/internal/policy/rendezvous"
	"endivepost/internal/wire/message"
)

// upstreamRow is what this entry knows of an upstream from its own requests.
type upstreamRow struct {
	use message.UpstreamLoad
	// heard is when the upstream last sent anything, busySince when it was given
	// work after having had none.
	heard     time.Duration
	busySince time.Duration
	failures  int
	// avoidUntil keeps new work away while others can take it.
	avoidUntil time.Duration
	kept       *prefixcache.Cache
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
		row = upstreamRow{use: message.UpstreamLoad{Upstream: name}}
	}
	return row
}

// choice is an upstream with the belief that spoke for it.
type choice struct {
	upstream event.Upstream
	view     event.LoadSnapshot
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
			Running:          use.Running,
			Batch:            upstream.Slots,
			PrefillTokens:    use.PrefillTokens,
			LatencySensitive: use.LatencySensitive,
			UncachedTokens:   dispatcher.unread(row, upstream.Name, homes),
			Dedicated:        apart[upstream.Name],
			Remote:           upstream.Domain != dispatcher.settings.Domain,
		}
	}
	best := enginechoice.Choose(enginechoice.Request{LatencySensitive: row.urgent(), HasDedicated: len(apart) > 0, FirstTokenBudget: row.within(now)}, candidates)
	chosen := candidates[best]
	return choice{upstream: rotated[best], view: event.LoadSnapshot{
		Running: chosen.Running, PrefillTokens: chosen.PrefillTokens, UncachedTokens: chosen.UncachedTokens,
		Dedicated: chosen.Dedicated, Peers: len(dispatcher.mesh.Heartbeats()),
		QueuedTokens: int(dispatcher.waitingWork),
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
		held = known.CachedTokens(prompt.Parts)
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

// WithMemory returns the row with a memory of what the upstream keeps.
func (row upstreamRow) WithMemory(bound int) upstreamRow {
	if row.kept == nil {
		row.kept = prefixcache.New(bound)
	}
	return row
}

func (dispatcher *Dispatcher) cacheTokens(pool string) int {
	if found, ok := dispatcher.config.Document().Pool(pool); ok && found.Engine.CacheTokens > 0 {
		return found.Engine.CacheTokens
	}
	return defaultCache
}
