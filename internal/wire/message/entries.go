package message

import "time"

// EntryHeartbeat is the periodic message between entries that reach upstreams
// without sidecars. ConfigVersion is the version of the sender's active document,
// Entries the addresses of the other entries that it knows. Loads is the sender's own
// work in flight, without the upstreams where it has none. In a large fleet Loads is
// not sent.
type EntryHeartbeat struct {
	ConfigVersion uint64         `cbor:"1,keyasint,omitempty"`
	Entries       []string       `cbor:"2,keyasint,omitempty"`
	Loads         []UpstreamLoad `cbor:"3,keyasint,omitempty"`
	Departures    []Departure    `cbor:"4,keyasint,omitempty"`
	// Earlier versions used the keys 5 and 6.
	Crashes CrashReports `cbor:"7,keyasint,omitzero"`
	// Limits are the rate limits that upstreams named, and those that ended lately.
	Limits []UpstreamLimit `cbor:"8,keyasint,omitempty"`
	// Origins are the builds of the upstreams' software, and of the streams begun lately.
	Origins StreamOrigins `cbor:"9,keyasint,omitzero"`
	// Evacuations are the evacuated domains, and those that were restored lately.
	Evacuations []Evacuation `cbor:"10,keyasint,omitempty"`
	// Cold are the upstreams that the sender takes for cold.
	Cold []ColdUpstream `cbor:"11,keyasint,omitempty"`
	// Partial is set if Loads has only the upstreams whose load has changed since the
	// sender's heartbeat before, with no requests running where it has none any more.
	Partial bool `cbor:"12,keyasint,omitempty"`
	// Restarted are the published rows of upstreams that started again under their names lately.
	// An entry that cannot read the list has them from here.
	Restarted []Upstream `cbor:"13,keyasint,omitempty"`
}

// WithLoads returns the heartbeat with the sender's work in flight after this heartbeat,
// which followed the given one on the same link.
func (heartbeat EntryHeartbeat) WithLoads(before EntryHeartbeat) EntryHeartbeat {
	if !heartbeat.Partial {
		return heartbeat
	}
	heartbeat.Partial = false
	if len(heartbeat.Loads) == 0 {
		heartbeat.Loads = before.Loads
		return heartbeat
	}
	changed := make(map[string]bool, len(heartbeat.Loads))
	var loads []UpstreamLoad
	for _, load := range heartbeat.Loads {
		changed[load.Upstream] = true
		if load.Running > 0 {
			loads = append(loads, load)
		}
	}
	for _, load := range before.Loads {
		if !changed[load.Upstream] {
			loads = append(loads, load)
		}
	}
	heartbeat.Loads = loads
	return heartbeat
}

// Evacuation reports that a domain is evacuated, or was restored, as of a revision of the
// store in an era. Age is the time since then.
type Evacuation struct {
	Domain    string        `cbor:"1,keyasint"`
	Evacuated bool          `cbor:"2,keyasint,omitempty"`
	Revision  uint64        `cbor:"3,keyasint"`
	Era       uint64        `cbor:"4,keyasint,omitempty"`
	Age       time.Duration `cbor:"5,keyasint,omitempty"`
}

// ColdUpstream reports that an upstream tolerates few requests: the process that started at
// Started, in Unix milliseconds and 0 if unknown, for the time in Remaining. Age is the time
// since the evidence for it. Broke is set if the evidence is a broken or refused connection:
// the upstream may have restarted, and is then cold from its return on.
type ColdUpstream struct {
	Upstream  string        `cbor:"1,keyasint"`
	Started   int64         `cbor:"2,keyasint,omitempty"`
	Remaining time.Duration `cbor:"3,keyasint,omitempty"`
	Age       time.Duration `cbor:"4,keyasint,omitempty"`
	Broke     bool          `cbor:"5,keyasint,omitempty"`
	// Back is set if the upstream has come back after the break: it is cold for Remaining more.
	Back bool `cbor:"6,keyasint,omitempty"`
}

// StreamOrigins are the builds that each pool had lately and, while a pool has several, the
// streams that the sender learned of since its last report. Observed is for how long the
// sender has observed the pools, up to the retention of origins.
type StreamOrigins struct {
	Observed time.Duration `cbor:"1,keyasint,omitempty"`
	// Confirmed is set if the published list was up to date a moment ago.
	Confirmed bool         `cbor:"2,keyasint,omitempty"`
	Pools     []PoolBuilds `cbor:"3,keyasint,omitempty"`
	Begun     []BegunBy    `cbor:"4,keyasint,omitempty"`
	// Answer is the stamp of the OriginsPull that this is the response to, 0 for none.
	Answer time.Duration `cbor:"5,keyasint,omitempty"`
}

// OriginsPull asks a peer for the builds that it knows now. Stamp is above 0.
type OriginsPull struct {
	Stamp time.Duration `cbor:"1,keyasint"`
}

// Add adds a stream that was begun by a build of the pool.
func (origins *StreamOrigins) Add(pool, build string, stream uint64) {
	for i, begun := range origins.Begun {
		if begun.Pool == pool && begun.Build == build {
			origins.Begun[i].Streams = append(origins.Begun[i].Streams, stream)
			return
		}
	}
	origins.Begun = append(origins.Begun, BegunBy{Pool: pool, Build: build, Streams: []uint64{stream}})
}

// PoolBuilds are the builds that a pool had lately.
type PoolBuilds struct {
	Pool   string        `cbor:"1,keyasint"`
	Builds []ListedBuild `cbor:"2,keyasint"`
}

// ListedBuild is a build that was listed last before Age.
type ListedBuild struct {
	Build string        `cbor:"1,keyasint"`
	Age   time.Duration `cbor:"2,keyasint,omitempty"`
}

// BegunBy are streams, by the hash of the caller's ID, that a build of the pool began.
type BegunBy struct {
	Pool    string   `cbor:"1,keyasint"`
	Build   string   `cbor:"2,keyasint"`
	Streams []uint64 `cbor:"3,keyasint"`
}

// CrashReports are what the sender learned of crashes since its last heartbeat, or all that
// it knows after a link has opened. Refuted are the interrupted attempts whose upstreams did
// not crash.
type CrashReports struct {
	Interruptions []Interruption `cbor:"1,keyasint,omitempty"`
	Refuted       []RequestID    `cbor:"2,keyasint,omitempty"`
	Survivals     []Survival     `cbor:"3,keyasint,omitempty"`
	Trials        []Trial        `cbor:"4,keyasint,omitempty"`
}

// IsZero returns whether there are no reports.
func (reports CrashReports) IsZero() bool {
	return len(reports.Interruptions) == 0 && len(reports.Refuted) == 0 && len(reports.Survivals) == 0 && len(reports.Trials) == 0
}

// UpstreamLimit is the rate limit of an upstream, in requests per second from all entries
// together. Age is the time since a response last named it or, if Limited is false, came
// without it; Held is how long before that it was first named.
type UpstreamLimit struct {
	Upstream  string        `cbor:"1,keyasint"`
	Limited   bool          `cbor:"2,keyasint,omitempty"`
	PerSecond float64       `cbor:"3,keyasint,omitempty"`
	Age       time.Duration `cbor:"4,keyasint,omitempty"`
	Held      time.Duration `cbor:"5,keyasint,omitempty"`
}

// Interruption reports that an upstream broke off its response to an attempt, perhaps
// because it crashed. Age is the time since then, SentAge since the request was sent.
// Attributes are the IDs of the prompt's parts, in their order, and the fingerprint of the
// request.
type Interruption struct {
	Attempt    RequestID     `cbor:"1,keyasint"`
	Upstream   string        `cbor:"2,keyasint"`
	Age        time.Duration `cbor:"3,keyasint"`
	SentAge    time.Duration `cbor:"4,keyasint"`
	Attributes []uint64      `cbor:"5,keyasint,omitempty"`
}

// Survival reports that the upstream survived the response to a request with the attribute.
// Attempts are the interrupted ones before which the request was not sent yet. Without any,
// the report says only that some upstream survived one at some time.
type Survival struct {
	Attribute uint64      `cbor:"1,keyasint"`
	Attempts  []RequestID `cbor:"2,keyasint,omitempty"`
	Upstream  string      `cbor:"3,keyasint,omitempty"`
}

// Trial reports that a request was sent, Age ago, although the attribute is blamed for
// crashes. Ended means that it was not interrupted.
type Trial struct {
	Attribute uint64        `cbor:"1,keyasint"`
	Attempt   RequestID     `cbor:"2,keyasint"`
	Age       time.Duration `cbor:"3,keyasint,omitempty"`
	Ended     bool          `cbor:"4,keyasint,omitempty"`
}

// UpstreamLoad is one entry's work in flight at one upstream.
type UpstreamLoad struct {
	Upstream string `cbor:"1,keyasint"`
	Running  int    `cbor:"2,keyasint,omitempty"`
	// PrefillTokens counts the prompt tokens of requests that have no first event yet.
	PrefillTokens int `cbor:"3,keyasint,omitempty"`
	// LatencySensitive counts the running streams whose target between tokens is so
	// short that they miss it while the engine prefills long prompts.
	LatencySensitive int `cbor:"4,keyasint,omitempty"`
	// KVTokens is the maximum number of tokens that the running requests may add to the
	// engine's KV cache: the uncached part of their prompts, and their responses at
	// maximum length.
	KVTokens int `cbor:"5,keyasint,omitempty"`
	// Speed is what the sender learned of the upstream's speed.
	Speed UpstreamSpeed `cbor:"6,keyasint,omitzero"`
}

// sameStated is the part, one in so many, by which a stated slowdown may change without being
// told again: neighbours on the same machine change it many times a second.
const sameStated = 4

// Same returns whether the peers need not be told the later load: what is known of the speed
// differs at most in its age, slightly in what the upstream stated, and by less than twice as
// much in how well founded it is.
func (load UpstreamLoad) Same(later UpstreamLoad) bool {
	change := later.Speed.StatedPercent - load.Speed.StatedPercent
	if later.Speed.Weight >= 2*max(load.Speed.Weight, 1) || sameStated*max(change, -change) > load.Speed.StatedPercent {
		return false
	}
	later.Speed.StatedPercent = load.Speed.StatedPercent
	later.Speed.StatedAgeMs = load.Speed.StatedAgeMs
	later.Speed.Weight = load.Speed.Weight
	return load == later
}

// UpstreamSpeed is how much longer work takes at an upstream than at the median one of its
// pool. RatioPercent is what the sender observed in the long run, 100 for the median, and Weight
// the number of observations in that, 0 if none. StatedPercent is the slowdown that the
// upstream stated last, 0 if none lately, and StatedAgeMs how many milliseconds ago.
type UpstreamSpeed struct {
	RatioPercent  int `cbor:"1,keyasint,omitempty"`
	Weight        int `cbor:"2,keyasint,omitempty"`
	StatedPercent int `cbor:"3,keyasint,omitempty"`
	StatedAgeMs   int `cbor:"4,keyasint,omitempty"`
}

// Departure reports that an upstream is leaving or was removed as of a revision
// of its row in the published list. Era and Started are as in Upstream.
type Departure struct {
	Upstream string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
	Era      uint64 `cbor:"3,keyasint,omitempty"`
	Started  int64  `cbor:"4,keyasint,omitempty"`
	// Announced is set if the upstream announced it in a response, Age ago: it then holds
	// for the process with that start time whatever its row says.
	Announced bool          `cbor:"5,keyasint,omitempty"`
	Age       time.Duration `cbor:"6,keyasint,omitempty"`
}

// PromptPart is a run of tokens that is the same in all prompts that contain a
// part with this ID.
type PromptPart struct {
	ID     uint64 `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Placement lists prompt parts that were sent to an upstream for prefill.
type Placement struct {
	Upstream string       `cbor:"1,keyasint"`
	Parts    []PromptPart `cbor:"2,keyasint"`
}

// Placements reports to other entries which upstreams have cached which prompt
// parts: the sender's changes since its last report, or all that it knows as the
// response to PlacementsPull.
type Placements struct {
	Placements []Placement `cbor:"1,keyasint"`
	// Complete is set in a response to PlacementsPull if the sender has collected
	// placements for long enough that they cover the whole fleet.
	Complete bool `cbor:"2,keyasint,omitempty"`
}

// PlacementsPull requests all placements that an entry knows; it responds with
// Placements.
type PlacementsPull struct{}

// UpstreamListPull requests the upstreams that an entry knows; it responds with
// UpstreamList.
type UpstreamListPull struct{}

// UpstreamList is an entry's copy of the published list of upstreams, with the evacuations
// that it knows: the receiver may send requests as soon as it has the list.
type UpstreamList struct {
	Upstreams   []Upstream   `cbor:"1,keyasint,omitempty"`
	Evacuations []Evacuation `cbor:"2,keyasint,omitempty"`
}

// Upstream is one row of the published list at the given revision. Address is
// host:port, Domain the failure domain, Slots the maximum number of requests in an
// engine's batch.
type Upstream struct {
	Name     string `cbor:"1,keyasint"`
	Pool     string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	Domain   string `cbor:"4,keyasint,omitempty"`
	Slots    int    `cbor:"5,keyasint,omitempty"`
	Leaving  bool   `cbor:"6,keyasint,omitempty"`
	Revision uint64 `cbor:"7,keyasint"`
	// Started is the start time of the upstream's process by its own clock, in Unix
	// milliseconds; 0 if not published. It distinguishes one process from the next.
	Started int64 `cbor:"8,keyasint,omitempty"`
	// Era is the era of the published list in which the row has its revision. It rises when
	// the list is restored from a copy; revisions are then given out again.
	Era uint64 `cbor:"9,keyasint,omitempty"`
	// Build is the version of the upstream's software, "" if not published.
	Build string `cbor:"10,keyasint,omitempty"`
	// ColdRemaining is for how much longer the upstream is cold as it stated in its row, 0 if
	// it is not.
	ColdRemaining time.Duration `cbor:"11,keyasint,omitempty"`
}
