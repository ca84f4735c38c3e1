package processes

import (
	"fmt"
	"math/rand/v2"
)

// storeRoute and the other types are the parts of a configuration that the store has.
type storeRoute struct {
	Name         string `json:"name"`
	Hostname     string `json:"hostname"`
	Prefix       string `json:"prefix"`
	Kind         string `json:"kind"`
	TimeoutMs    int64  `json:"timeout_ms"`
	TargetMs     int64  `json:"target_latency_ms"`
	Priority     int    `json:"priority"`
	Service      string `json:"service"`
	MaxAttempts  int    `json:"max_attempts"`
	StreamResume bool   `json:"stream_resume"`
	Sticky       bool   `json:"sticky"`
	GapAimMs     int64  `json:"gap_aim_ms,omitempty"`
}

type storeEngine struct {
	Slots         int `json:"slots"`
	KVCacheTokens int `json:"kv_cache_tokens"`
	Stride        int `json:"stride"`
}

type storeService struct {
	Name           string       `json:"name"`
	HealthPath     string       `json:"health_path"`
	MaxConnections int          `json:"max_connections"`
	Engine         *storeEngine `json:"engine,omitempty"`
}

type storeLimits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMs int `json:"header_timeout_ms"`
	IdleTimeoutMs   int `json:"idle_timeout_ms"`
}

type storeTenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

type storeConfig struct {
	Version  int            `json:"version"`
	Routes   []storeRoute   `json:"routes"`
	Services []storeService `json:"services"`
	Limits   storeLimits    `json:"limits"`
	Tenants  []storeTenant  `json:"tenants"`
}

type storeServer struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// publish stores the configuration of the version. Each has another route and target beside
// the routes that callers use.
func (store *store) publish(version int, random *rand.Rand) {
	added := func(name route, kind, service string, priority int) storeRoute {
		return storeRoute{
			Name: string(name), Hostname: hostName, Prefix: "/" + string(name) + "/", Kind: kind, TimeoutMs: routeTimeout.Milliseconds(),
			TargetMs: int64(300 + random.IntN(300)), Priority: priority, Service: service, MaxAttempts: 3, StreamResume: name == resumable,
			Sticky: service == engineService,
		}
	}
	store.put("op/config", storeConfig{
		Version: version,
		Routes: []storeRoute{
			added(resumable, "streaming", engineService, 0), added(single, "streaming", engineService, 1),
			added(unsafe, "unsafe", bookingService, 2), added(safe, "safe", bookingService, 2),
			added(route(fmt.Sprintf("added-%d", version)), "safe", bookingService, 2),
		},
		Services: []storeService{
			{Name: engineService, HealthPath: "/health", MaxConnections: 370, Engine: &storeEngine{Slots: 64, KVCacheTokens: 570_000, Stride: 1}},
			{Name: bookingService, HealthPath: "/health", MaxConnections: 370},
		},
		Limits:  storeLimits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 64 << 10, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000},
		Tenants: []storeTenant{{Name: accountName, APIKeys: []string{accountKey}}},
	})
}
