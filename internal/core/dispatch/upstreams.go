package dispatch

import (
	"encoding/binary"
	"slices"
	"time"

	"endivepost/internal/core/event"
	"endivepost/internal/policy/enginechoice"
	"endivepost/internal/policy/pace"
	"endivepost/internal/policy/prefixcache"
	"endivepost/internal/policy/rendezvous"
	"endivepost/internal/wire/message"
)

// upstreamRow is the state of an upstream as this entry knows it from its own
// requests and from the placements of its peers.
type upstreamRow struct {
	load message.UpstreamLoad
	// lastActivity is when the upstream last sent anything, busySince when it was
	// sent a request after having had none in progress, both in watched time.
	lastActivity time.Duration
	busySince    time.Duration
	// silent is true if the upstream is avoided since it was found silent, unreachable if no
	// connection could be opened since.
	silent      bool
	unreachable bool
	// failures counts the failures since the last success.
	failures int
	// avoidUntil is the time until which new requests go to other upstreams, if
	// there are any.
	avoidUntil time.Duration
	// cache models the upstream's prefix cache; nil while no prompt part is known to
	// be cached there.
	cache *prefixcache.Cache
	// pace is that of this entry's own streams there.
	pace    pace.Pace
	limit   rateLimit
	backoff backoff
	// brokeAt is when the upstream last broke off or refused a connection, and backAt when it
	// first sent something since, 0 if it did not.
	brokeAt time.Duration
	backAt  time.Duration
}

// WithActivity returns the row after the upstream sent anything, at a watched time. It is no
// longer avoided for its silence.
func (row upstreamRow) WithActivity(watched time.Duration) upstreamRow {
	row.lastActivity = watched
	row.unreachable = false
	if row.silent {
		row.silent = false
		row.failures = 0
		row.avoidUntil = 0
	}
	return row
}

// WithSilence returns the row after the upstream was found silent.
func (row upstreamRow) WithSilence(now time.Duration) upstreamRow {
	row = row.WithFailure(now)
	row.silent = true
	return row
}

// WithUnreachable returns the row after an attempt to open a connection.
func (row upstreamRow) WithUnreachable(unreachable bool) upstreamRow {
	row.unreachable = unreachable
	return row
}

// WithFailure returns the row after a failed attempt. Each consecutive failure doubles the
// time for which the upstream is avoided.
func (row upstreamRow) WithFailure(now time.Duration) upstreamRow {
	row.silent = false
	row.failures++
	row.avoidUntil = now + initialAvoidTime<<min(row.failures-1, maxAvoidDoublings)
	return row
}

// WithSuccess returns the row after a successful response or its first byte.
func (row upstreamRow) WithSuccess(now, watched time.Duration) upstreamRow {
	row.failures = 0
	row.avoidUntil = now
	return row.WithActivity(watched)
}

const (
	// initialAvoidTime is how long an upstream is avoided after its first failure;
	// each further one in a row doubles it, up to maxAvoidDoublings times.
	initialAvoidTime  = 250 * time.Millisecond
	maxAvoidDoublings = 4
	// maxPreferred is the number of upstreams that all entries prefer for the
	// requests with the same prefix.
	maxPreferred = 2
	// defaultKVCacheTokens is the size of a KV cache if the class document sets
	// none.
	defaultKVCacheTokens = 200_000
)

// The shares are the parts of a prefix that its preferred upstreams are assumed to
// have cached, by rank. preferredCacheShares apply if placements of the prefix are
// not announced: other entries send its requests there too. announcedCacheShares
// apply if they are announced: their only purpose is that two entries that get a new
// prefix at the same time choose the same upstream.
var (
	preferredCacheShares = [maxPreferred]float64{0.9, 0.5}
	announcedCacheShares = [maxPreferred]float64{0.05, 0}
)

func (dispatcher *Dispatcher) upstream(name string) upstreamRow {
	row, ok := dispatcher.upstreams.Get(name)
	if !ok {
		row = upstreamRow{load: message.UpstreamLoad{Upstream: name}}
	}
	return row
}

// choice is an upstream with the load snapshot on which it was chosen.
type choice struct {
	upstream event.Upstream
	load     event.LoadSnapshot
}

// choose returns the upstream to send the request to, if there is one. It excludes
// upstreams that were tried for the request and those that asked for a backoff; those that failed lately or fail often
// are chosen only if there is no other, then, after a failure, those that fail more than the best, those at which its response would not end by its
// deadline, and last those whose rate limit leaves no request now.
func (dispatcher *Dispatcher) choose(now time.Duration, row requestRow) (choice, bool) {
	return dispatcher.chooseFrom(now, row, func(event.Upstream) bool { return true })
}

// chooseFrom chooses as choose does, among the eligible upstreams.
func (dispatcher *Dispatcher) chooseFrom(now time.Duration, row requestRow, eligible func(event.Upstream) bool) (choice, bool) {
	pool := dispatcher.pool(now, row.pool)
	var candidates, untried, limited []event.Upstream
	for _, upstream := range pool.usable {
		if slices.Contains(row.tried, upstream.Name) || !eligible(upstream) || !dispatcher.fitsBuild(now, row, upstream) ||
			!dispatcher.admitsWork(now, upstream.Name) {
			continue
		}
		if !dispatcher.withinLimit(now, upstream.Name) {
			limited = append(limited, upstream)
			continue
		}
		untried = append(untried, upstream)
		if !pool.outliers[upstream.Name] && now >= dispatcher.upstream(upstream.Name).avoidUntil {
			candidates = append(candidates, upstream)
		}
	}
	if len(candidates) == 0 {
		candidates = untried
	}
	if len(candidates) == 0 {
		candidates = limited
	}
	if len(candidates) == 0 {
		return choice{}, false
	}
	candidates = dispatcher.withoutSlow(now, row, dispatcher.soundest(now, row, candidates), pool.dedicated)
	return dispatcher.best(now, row, candidates, pool.dedicated), true
}

// best returns the upstream with the lowest cost for the request. Dedicated engines
// cost more for long prompts and the others cost more for latency-sensitive
// streams, so that either kind of request goes to the other's engines only when its
// own are full. The candidates start at a random upstream, since the first of equal
// cost is chosen.
func (dispatcher *Dispatcher) best(now time.Duration, row requestRow, upstreams []event.Upstream, dedicated map[string]bool) choice {
	loads := dispatcher.allLoads()
	preferred := dispatcher.preferredUpstreams(row, upstreams, dedicated)
	candidates := make([]enginechoice.Candidate, len(upstreams))
	start := dispatcher.settings.Random.IntN(len(upstreams))
	rotated := slices.Concat(upstreams[start:], upstreams[:start])
	for i, upstream := range rotated {
		load := loads[upstream.Name]
		candidates[i] = enginechoice.Candidate{
			Running:          load.Running,
			Batch:            upstream.Slots,
			PrefillTokens:    load.PrefillTokens,
			LatencySensitive: load.LatencySensitive,
			UncachedTokens:   dispatcher.uncachedTokens(row, upstream.Name, preferred),
			Dedicated:        dedicated[upstream.Name],
			Remote:           upstream.Domain != dispatcher.settings.Domain,
		}
	}
	best := enginechoice.Choose(enginechoice.Request{
		LatencySensitive: row.latencySensitive, HasDedicated: len(dedicated) > 0, FirstTokenBudget: row.firstTokenBudget(now),
	}, candidates)
	chosen := candidates[best]
	return choice{upstream: rotated[best], load: event.LoadSnapshot{
		Running: chosen.Running, PrefillTokens: chosen.PrefillTokens, UncachedTokens: chosen.UncachedTokens,
		Dedicated: chosen.Dedicated, Peers: len(dispatcher.mesh.Heartbeats()),
		QueuedTokens: dispatcher.queuedAhead(lowestTier),
	}}
}

// preferredUpstreams returns the upstreams that all entries prefer for the
// request's longest shared prefix, by rendezvous hashing and in order of rank; none
// for a request without a shared prefix.
func (dispatcher *Dispatcher) preferredUpstreams(row requestRow, upstreams []event.Upstream, dedicated map[string]bool) []string {
	parts := row.request.Prompt.Parts
	if len(parts) < 2 {
		return nil
	}
	var names []string
	for _, upstream := range upstreams {
		if dedicated[upstream.Name] == row.latencySensitive {
			names = append(names, upstream.Name)
		}
	}
	key := binary.BigEndian.AppendUint64(nil, parts[len(parts)-2].ID)
	ranked := rendezvous.Rank(key, names)
	return ranked[:min(len(ranked), maxPreferred)]
}

// uncachedTokens returns how many tokens of the prompt the upstream has to prefill.
// The result is at least 0 even if a caller sends the prompt's parts without its size.
func (dispatcher *Dispatcher) uncachedTokens(row requestRow, name string, preferred []string) int {
	return max(row.request.Prompt.Tokens-dispatcher.cachedTokens(row, name, preferred), 0)
}

// cachedTokens returns how many tokens of the prompt the upstream is assumed to
// have cached.
func (dispatcher *Dispatcher) cachedTokens(row requestRow, name string, preferred []string) int {
	prompt := row.request.Prompt
	cached := 0
	if model := dispatcher.upstream(name).cache; model != nil {
		cached = model.CachedTokens(prompt.Parts)
	}
	rank := slices.Index(preferred, name)
	if rank < 0 {
		return cached
	}
	share := preferredCacheShares[rank]
	if dispatcher.announces(prompt) {
		share = announcedCacheShares[rank]
	}
	return max(cached, int(share*float64(totalTokens(prompt.Shared()))))
}

// forgetRemoved deletes the state of idle upstreams that are no longer in the
// membership.
func (dispatcher *Dispatcher) forgetRemoved() {
	for _, name := range dispatcher.upstreams.Keys() {
		row, _ := dispatcher.upstreams.Get(name)
		if _, listed := dispatcher.membership.Find(name); !listed && row.load.Running == 0 {
			dispatcher.upstreams.Delete(name)
			dispatcher.totalLoads = nil
		}
	}
}

// WithCache returns the row with a model of the upstream's prefix cache, of the
// given size in tokens if it is new.
func (row upstreamRow) WithCache(size int) upstreamRow {
	if row.cache == nil {
		row.cache = prefixcache.New(size)
	}
	return row
}

// kvCacheTokens returns the size of the KV cache of the pool's engines, in tokens.
func (dispatcher *Dispatcher) kvCacheTokens(pool string) int {
	if found, ok := dispatcher.config.Document().Pool(pool); ok && found.Engine.CacheTokens > 0 {
		return found.Engine.CacheTokens
	}
	return defaultKVCacheTokens
}
