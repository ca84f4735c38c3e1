package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store plays the platform's store: items by key, a revision that rises with each change, lists
// and watches.
type store struct {
	mutex    sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
	// down is true while the store refuses all calls.
	down    bool
	server  *http.Server
	address string
}

// item is an item of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	opened := &store{items: make(map[string]item), revision: 400, changed: make(chan struct{}), address: listener.Addr().String()}
	routes := http.NewServeMux()
	routes.HandleFunc("GET /api/kv-range", opened.serveRange)
	routes.HandleFunc("GET /api/kv-watch", opened.serveWatch)
	opened.server = &http.Server{Handler: routes, ReadHeaderTimeout: time.Minute}
	go func() { _ = opened.server.Serve(listener) }()
	return opened, nil
}

func (store *store) close() { _ = store.server.Close() }

// setDown has the store answer each call with 503 and take no writes, or end that. A watch that
// waits is cut.
func (store *store) setDown(down bool) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down = down
	store.wake()
}

// wake has the watches look at the store again.
func (store *store) wake() {
	close(store.changed)
	store.changed = make(chan struct{})
}

// isUp returns whether the store answers. If not, it refuses the call.
func (store *store) isUp(writer http.ResponseWriter) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.down {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	return !store.down
}

// put writes an item as JSON, unless the store is down: its writer tries again later.
func (store *store) put(key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.down {
		return
	}
	store.revision++
	written := item{Key: key, Value: encoded, Revision: store.revision, Created: store.revision}
	if before, found := store.items[key]; found {
		written.Created = before.Created
	}
	store.items[key] = written
	store.add(written)
}

// remove removes an item.
func (store *store) remove(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if _, found := store.items[key]; !found || store.down {
		return
	}
	store.revision++
	delete(store.items, key)
	store.add(item{Key: key, Revision: store.revision, Removed: true})
}

func (store *store) add(change item) {
	store.history = append(store.history, change)
	store.wake()
}

func (store *store) serveRange(writer http.ResponseWriter, request *http.Request) {
	if !store.isUp(writer) {
		return
	}
	prefix := request.URL.Query().Get("prefix")
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found := []item{}
	for key, stored := range store.items {
		if strings.HasPrefix(key, prefix) {
			found = append(found, stored)
		}
	}
	slices.SortFunc(found, func(left, right item) int { return strings.Compare(left.Key, right.Key) })
	writeJSON(writer, map[string]any{"items": found, "has_more": false, "store_revision": store.revision})
}

func (store *store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		if !store.isUp(writer) {
			return
		}
		events, revision, changed := store.since(query.Get("prefix"), after)
		if len(events) > 0 {
			writeJSON(writer, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-timer.C:
			writeJSON(writer, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

func (store *store) since(prefix string, after uint64) (events []item, revision uint64, changed chan struct{}) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	events = []item{}
	for _, change := range store.history {
		if change.Revision > after && strings.HasPrefix(change.Key, prefix) {
			events = append(events, change)
		}
	}
	return events, store.revision, store.changed
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
