package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store: kv-key, kv-range and kv-watch over
// one revision counter, with leases that expire.
type Store struct {
	mutex    sync.Mutex
	items    map[string]storedItem
	history  []storedEvent
	revision uint64
	changed  chan struct{}
	// down is true while the store does nothing.
	down    bool
	Address string
	server  *http.Server
}

type storedItem struct {
	value    []byte
	revision uint64
	created  uint64
	expires  time.Time
}

type storedEvent struct {
	key      string
	value    []byte
	revision uint64
	created  uint64
	removed  bool
}

// NewStore serves an empty store on a free port.
func NewStore() *Store {
	store := &Store{items: make(map[string]storedItem), revision: 100, changed: make(chan struct{})}
	listener := listen("127.0.0.1:0")
	store.Address = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/api/kv-key", store.serve(store.key))
	mux.HandleFunc("/api/kv-range", store.serve(store.list))
	mux.HandleFunc("/api/kv-watch", store.serve(store.watch))
	store.server = &http.Server{Handler: mux}
	go store.server.Serve(listener)
	go store.expire()
	return store
}

func listen(address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fail("listen on %s: %v", address, err)
	}
	return listener
}

// Down makes the store answer each call with 503, with nothing done, until the returned
// function is called. Leases do not run out meanwhile.
func (store *Store) Down() (end func()) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.down = true
	return func() {
		store.mutex.Lock()
		defer store.mutex.Unlock()
		now := time.Now()
		for key, item := range store.items {
			if !item.expires.IsZero() {
				item.expires = now.Add(leaseTime)
				store.items[key] = item
			}
		}
		store.down = false
	}
}

// Answers returns whether the store answers now.
func (store *Store) Answers() bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return !store.down
}

// Put writes an item. It returns false while the store is down: the write is then not done.
func (store *Store) Put(key string, value any, lease time.Duration) bool {
	data, err := json.Marshal(value)
	if err != nil {
		fail("encode %s: %v", key, err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.down {
		return false
	}
	store.revision++
	old, known := store.items[key]
	item := storedItem{value: data, revision: store.revision, created: store.revision}
	if known {
		item.created = old.created
	}
	if lease > 0 {
		item.expires = time.Now().Add(lease)
	}
	store.items[key] = item
	store.note(storedEvent{key: key, value: data, revision: store.revision, created: item.created})
	return true
}

// Touch renews the lease of an item without a new revision. It returns false while the store
// is down or if there is no such item.
func (store *Store) Touch(key string, lease time.Duration) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	item, known := store.items[key]
	if store.down || !known {
		return false
	}
	item.expires = time.Now().Add(lease)
	store.items[key] = item
	return true
}

// Remove removes an item.
func (store *Store) Remove(key string) bool {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.down {
		return false
	}
	store.remove(key)
	return true
}

func (store *Store) remove(key string) {
	if _, known := store.items[key]; !known {
		return
	}
	store.revision++
	delete(store.items, key)
	store.note(storedEvent{key: key, revision: store.revision, removed: true})
}

func (store *Store) note(event storedEvent) {
	store.history = append(store.history, event)
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *Store) expire() {
	for range time.Tick(50 * time.Millisecond) {
		store.mutex.Lock()
		now := time.Now()
		if !store.down {
			for key, item := range store.items {
				if !item.expires.IsZero() && now.After(item.expires) {
					store.remove(key)
				}
			}
		}
		store.mutex.Unlock()
	}
}

// serve wraps a call.
func (store *Store) serve(call func(http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if !store.Answers() {
			http.Error(writer, "{}", http.StatusServiceUnavailable)
			return
		}
		time.Sleep(2 * time.Millisecond)
		call(writer, request)
	}
}

func (store *Store) wireItem(key string, item storedItem) map[string]any {
	return map[string]any{"key": key, "value": item.value, "revision": item.revision, "created": item.created, "lease": 0}
}

func (store *Store) key(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	item, known := store.items[request.URL.Query().Get("key")]
	store.mutex.Unlock()
	if !known {
		http.Error(writer, "{}", http.StatusNotFound)
		return
	}
	answer := store.wireItem(request.URL.Query().Get("key"), item)
	store.reply(writer, answer)
}

func (store *Store) list(writer http.ResponseWriter, request *http.Request) {
	prefix, after := request.URL.Query().Get("prefix"), request.URL.Query().Get("after")
	store.mutex.Lock()
	var keys []string
	for key := range store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []any{}
	for _, key := range keys {
		items = append(items, store.wireItem(key, store.items[key]))
	}
	answer := map[string]any{"items": items, "has_more": false, "store_revision": store.revision}
	store.mutex.Unlock()
	store.reply(writer, answer)
}

func (store *Store) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		store.mutex.Lock()
		down := store.down
		events := []any{}
		for _, event := range store.history {
			switch {
			case event.revision <= after || !strings.HasPrefix(event.key, query.Get("prefix")):
			case event.removed:
				events = append(events, map[string]any{"key": event.key, "revision": event.revision, "removed": true})
			default:
				events = append(events, store.wireItem(event.key, storedItem{value: event.value, revision: event.revision, created: event.created}))
			}
		}
		revision, changed := store.revision, store.changed
		store.mutex.Unlock()
		if down {
			http.Error(writer, "{}", http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 {
			store.reply(writer, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			if !store.Answers() {
				http.Error(writer, "{}", http.StatusServiceUnavailable)
				return
			}
			store.reply(writer, map[string]any{"events": events, "store_revision": revision})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (store *Store) reply(writer http.ResponseWriter, answer any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(answer)
}
