package processes

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stub of the platform's store.
type store struct {
	address string
	server  *http.Server
	// The mutex guards the fields below it. Changed is closed at each change.
	mutex    sync.Mutex
	items    map[string]storeItem
	history  []storeItem
	revision uint64
	changed  chan struct{}
}

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

type storePage struct {
	Items         []storeItem `json:"items"`
	HasMore       bool        `json:"has_more"`
	StoreRevision uint64      `json:"store_revision"`
}

type storeChanges struct {
	Events        []storeItem `json:"events"`
	StoreRevision uint64      `json:"store_revision"`
}

func newStore(listener net.Listener) *store {
	store := &store{address: listener.Addr().String(), items: make(map[string]storeItem), revision: 100, changed: make(chan struct{})}
	store.server = &http.Server{Handler: http.HandlerFunc(store.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = store.server.Serve(listener) }()
	return store
}

func (store *store) put(key string, value any) {
	encoded, _ := json.Marshal(value)
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	stored := storeItem{Key: key, Value: encoded, Revision: store.revision, Created: store.revision}
	store.items[key] = stored
	store.record(stored)
}

func (store *store) remove(key string) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.revision++
	delete(store.items, key)
	store.record(storeItem{Key: key, Revision: store.revision, Removed: true})
}

func (store *store) record(stored storeItem) {
	store.history = append(store.history, stored)
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) serve(writer http.ResponseWriter, request *http.Request) {
	switch request.URL.Path {
	case "/api/kv-range":
		_ = json.NewEncoder(writer).Encode(store.list(request.URL.Query()))
	case "/api/kv-watch":
		_ = json.NewEncoder(writer).Encode(store.watch(request))
	default:
		http.NotFound(writer, request)
	}
}

func (store *store) list(query url.Values) storePage {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	page := storePage{Items: []storeItem{}, StoreRevision: store.revision}
	for key, stored := range store.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			page.Items = append(page.Items, stored)
		}
	}
	slices.SortFunc(page.Items, func(left, right storeItem) int { return strings.Compare(left.Key, right.Key) })
	return page
}

func (store *store) watch(request *http.Request) storeChanges {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	expired := time.After(time.Duration(wait) * time.Millisecond)
	for {
		found, changed := store.changesSince(after, query.Get("prefix"))
		if len(found.Events) > 0 {
			return found
		}
		select {
		case <-changed:
		case <-expired:
			return found
		case <-request.Context().Done():
			return found
		}
	}
}

func (store *store) changesSince(after uint64, prefix string) (storeChanges, <-chan struct{}) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	found := storeChanges{Events: []storeItem{}, StoreRevision: store.revision}
	for _, stored := range store.history {
		if stored.Revision > after && strings.HasPrefix(stored.Key, prefix) {
			found.Events = append(found.Events, stored)
		}
	}
	return found, store.changed
}
