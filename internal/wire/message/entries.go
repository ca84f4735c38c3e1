package message

// EntryBeat is what entries without sidecars tell each other. Uses holds what
// the sender has in progress; an upstream that it leaves out is idle there.
type EntryBeat struct {
	ConfigVersion uint64      `cbor:"1,keyasint,omitempty"`
	Entries       []string    `cbor:"2,keyasint,omitempty"`
	Uses          []Use       `cbor:"3,keyasint,omitempty"`
	Departures    []Departure `cbor:"4,keyasint,omitempty"`
	Suspicions    []Suspicion `cbor:"5,keyasint,omitempty"`
	// Cleared are fingerprints of requests that were suspected and turned out well.
	Cleared []uint64 `cbor:"6,keyasint,omitempty"`
}

// Use is one entry's work in progress at one upstream.
type Use struct {
	Upstream string `cbor:"1,keyasint"`
	Running  int    `cbor:"2,keyasint,omitempty"`
	// Reading counts the prompt tokens of requests without a first event yet.
	Reading int `cbor:"3,keyasint,omitempty"`
	// Urgent counts the running streams with a short target between tokens.
	Urgent int `cbor:"4,keyasint,omitempty"`
	// Memory counts the tokens that running requests may add to the engine's KV
	// cache: what is read of their prompts, and their longest answers.
	Memory int `cbor:"5,keyasint,omitempty"`
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
	// Informed says, in an answer, that the sender has known of placements for long.
	Informed bool `cbor:"2,keyasint,omitempty"`
}

// PlacementsPull asks an entry for all the placements that it knows of.
type PlacementsPull struct{}

// ListPull asks an entry for the upstreams that it knows of.
type ListPull struct{}

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
