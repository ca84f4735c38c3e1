package processes

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"endivepost/internal/config/document"
	"endivepost/internal/core/event"
)

// configService is a stub of the configuration service of entries with sidecars.
type configService struct {
	address string
	server  *http.Server
	// The mutex guards the fields below it. Changed is closed at each change.
	mutex     sync.Mutex
	published document.Document
	members   []event.Member
	changed   chan struct{}
}

func newConfigService(listener net.Listener) *configService {
	service := &configService{address: listener.Addr().String(), changed: make(chan struct{})}
	service.server = &http.Server{Handler: http.HandlerFunc(service.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = service.server.Serve(listener) }()
	return service
}

// publish publishes the document of the version. Its targets change with it.
func (service *configService) publish(version int, random *rand.Rand) {
	target := document.Duration(between(random, 300*time.Millisecond, 600*time.Millisecond))
	chatClass := func(name route, tier int) document.Class {
		return document.Class{
			Name: string(name), Tier: tier, Model: engineService, FirstToken: target, GiveUpAfter: document.Duration(routeTimeout), NonIdempotent: !name.idempotent(),
		}
	}
	call := func(name route) document.Class {
		return document.Class{
			Name: string(name), Tier: 3, Service: bookingService, WholeAnswer: target, GiveUpAfter: document.Duration(routeTimeout), NonIdempotent: !name.idempotent(),
		}
	}
	published := document.Document{
		Version: uint64(version),
		Classes: []document.Class{
			chatClass(resumable, 1), chatClass(single, 2), call(unsafe), call(safe), call(route(fmt.Sprintf("added-%d", version))),
		},
		Accounts: []document.Account{{Name: accountName, KeySHA256: fmt.Sprintf("%x", sha256.Sum256([]byte(accountKey))), DefaultClass: string(safe)}},
	}
	for index := range engineCount + bookingCount {
		upstream := document.Upstream{Name: sidecarName(index)}
		if index < engineCount {
			upstream.Model = engineService
		} else {
			upstream.Service = bookingService
		}
		published.Upstreams = append(published.Upstreams, upstream)
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.published = published
	close(service.changed)
	service.changed = make(chan struct{})
}

func (service *configService) setMembers(members []event.Member) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.members = members
}

func (service *configService) serve(writer http.ResponseWriter, request *http.Request) {
	service.mutex.Lock()
	published, members, changed := service.published, service.members, service.changed
	service.mutex.Unlock()
	if request.URL.Path == "/v1/vms" {
		_ = json.NewEncoder(writer).Encode(members)
		return
	}
	after, err := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	if err != nil || after < published.Version {
		_ = json.NewEncoder(writer).Encode(published)
		return
	}
	wait, _ := time.ParseDuration(request.URL.Query().Get("wait"))
	select {
	case <-changed:
		service.mutex.Lock()
		defer service.mutex.Unlock()
		_ = json.NewEncoder(writer).Encode(service.published)
	case <-time.After(wait):
		writer.WriteHeader(http.StatusNotModified)
	case <-request.Context().Done():
	}
}
