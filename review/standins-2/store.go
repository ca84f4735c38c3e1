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

// Store is a stand-in of the platform's metadata store. It serves reads and watches, and the
// stand-ins of the operator and the runners write to it.
type Store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// NewStore returns a store without items.
func NewStore() *Store {
	return &Store{revision: 100, items: make(map[string]storeItem), changed: make(chan struct{})}
}

// Put writes an item and returns its revision.
func (store *Store) Put(key string, value any) uint64 {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	written := storeItem{Key: key, Value: encoded, Revision: store.revision, Created: store.revision}
	if before, found := store.items[key]; found {
		written.Created = before.Created
	}
	store.items[key] = written
	store.record(written)
	return store.revision
}

// Remove removes an item.
func (store *Store) Remove(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	delete(store.items, key)
	store.record(storeItem{Key: key, Revision: store.revision, Removed: true})
}

// record appends a change to the history. The mutex must be held.
func (store *Store) record(change storeItem) {
	store.history = append(store.history, change)
	close(store.changed)
	store.changed = make(chan struct{})
}

// Serve serves the store's calls at the address.
func (store *Store) Serve(address string) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		cannotRun("store: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/api/kv-range", store.serveRange)
	mux.HandleFunc("/api/kv-watch", store.serveWatch)
	mux.HandleFunc("/api/kv-key", store.serveKey)
	go func() { _ = http.Serve(listener, mux) }()
}

func (store *Store) serveKey(writer http.ResponseWriter, request *http.Request) {
	store.mutex.Lock()
	found, ok := store.items[request.URL.Query().Get("key")]
	store.mutex.Unlock()
	if !ok {
		http.NotFound(writer, request)
		return
	}
	writeJSON(writer, found)
}

func (store *Store) serveRange(writer http.ResponseWriter, request *http.Request) {
	const pageItems = 500
	query := request.URL.Query()
	store.mutex.Lock()
	defer store.mutex.Unlock()
	page := struct {
		Items         []storeItem `json:"items"`
		HasMore       bool        `json:"has_more"`
		StoreRevision uint64      `json:"store_revision"`
	}{Items: []storeItem{}, StoreRevision: store.revision}
	var keys []string
	for key := range store.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		if len(page.Items) == pageItems {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, store.items[key])
	}
	writeJSON(writer, page)
}

func (store *Store) serveWatch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		store.mutex.Lock()
		answer := struct {
			Events        []storeItem `json:"events"`
			StoreRevision uint64      `json:"store_revision"`
		}{Events: []storeItem{}, StoreRevision: store.revision}
		for _, change := range store.history {
			if change.Revision > after && strings.HasPrefix(change.Key, query.Get("prefix")) {
				answer.Events = append(answer.Events, change)
			}
		}
		changed := store.changed
		store.mutex.Unlock()
		if len(answer.Events) > 0 {
			writeJSON(writer, answer)
			return
		}
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-timeout:
			writeJSON(writer, answer)
			return
		}
	}
}

func writeJSON(writer http.ResponseWriter, value any) {
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(value)
}
