package message

// EntryHeartbeat is what entries without sidecars tell each other. Uses holds what
// the sender has in progress; an upstream that it leaves out is idle there.
type EntryHeartbeat struct {
	ConfigVersion uint64         `cbor:"1,keyasint,omitempty"`
	Entries       []string       `cbor:"2,keyasint,omitempty"`
	Loads         []UpstreamLoad `cbor:"3,keyasint,omitempty"`
	Departures    []Departure    `cbor:"4,keyasint,omitempty"`
	Suspicions    []Suspicion    `cbor:"5,keyasint,omitempty"`
	// Cleared are fingerprints of requests that were suspected and turned out well.
	Cleared []uint64 `cbor:"6,keyasint,omitempty"`
}

// UpstreamLoad is one entry's work in progress at one upstream.
type UpstreamLoad struct {
	Upstream string `cbor:"1,keyasint"`
	Running  int    `cbor:"2,keyasint,omitempty"`
	// PrefillTokens counts the prompt tokens of requests without a first event yet.
	PrefillTokens int `cbor:"3,keyasint,omitempty"`
	// LatencySensitive counts the running streams with a short target between tokens.
	LatencySensitive int `cbor:"4,keyasint,omitempty"`
	// KVTokens counts the tokens that running requests may add to the engine's KV
	// cache: what is read of their prompts, and their longest answers.
	KVTokens int `cbor:"5,keyasint,omitempty"`
}

// Departure says that an upstream is leaving or gone since a revision of its row.
type Departure struct {
	Upstream string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}

// PromptPart is a run of tokens that prompts with the same ID have in common.
type PromptPart struct {
	ID     uint64 `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"`
}

// Placement names prompt parts that an upstream was sent to read.
type Placement struct {
	Upstream string       `cbor:"1,keyasint"`
	Parts    []PromptPart `cbor:"2,keyasint"`
}

// Placements tells other entries which upstreams keep which prompt parts: the
// news of the sender, or all that it knows as the answer to PlacementsPull.
type Placements struct {
	Placements []Placement `cbor:"1,keyasint"`
	// Complete says, in an answer, that the sender has known of placements for long.
	Complete bool `cbor:"2,keyasint,omitempty"`
}

// PlacementsPull asks an entry for all the placements that it knows of.
type PlacementsPull struct{}

// UpstreamListPull asks an entry for the upstreams that it knows of.
type UpstreamListPull struct{}

// UpstreamList is what an entry knows of the published list of upstreams.
type UpstreamList struct {
	Upstreams []Upstream `cbor:"1,keyasint,omitempty"`
}

// Upstream is one row of the published list, as it was at its revision.
type Upstream struct {
	Name     string `cbor:"1,keyasint"`
	Pool     string `cbor:"2,keyasint"`
	Address  string `cbor:"3,keyasint"`
	Domain   string `cbor:"4,keyasint,omitempty"`
	Slots    int    `cbor:"5,keyasint,omitempty"`
	Leaving  bool   `cbor:"6,keyasint,omitempty"`
	Revision uint64 `cbor:"7,keyasint"`
	// Started is when the upstream's process started by its own clock, in Unix
	// milliseconds; 0 if it does not say. It tells one process from the next.
	Started int64 `cbor:"8,keyasint,omitempty"`
}
