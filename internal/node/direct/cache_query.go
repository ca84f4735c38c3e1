package direct

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"endivepost/internal/core/event"
	"endivepost/internal/node/exchange"
	"endivepost/internal/node/logevent"
)

// cacheQueryTimeout bounds a cache query. After that time the prompts sent to the engine
// meanwhile are a better guide to its cache than a late response.
const cacheQueryTimeout = time.Second

// maxCacheListBytes bounds an engine's list of cached prompt parts. The entry queries
// many engines at once.
const maxCacheListBytes = 2 << 20

var errNoCacheList = errors.New("the engine did not return its cached prompt parts")

// queryCache asks an engine for its cached prompt parts and posts a cache report to
// the dispatcher if it responds.
func (entry *Entry) queryCache(query event.QueryCache) {
	parts, err := entry.readCacheList(query.Address)
	line := entry.log(logevent.CacheReported).WithFields(logrus.Fields{"name": query.Upstream, "parts": len(parts)})
	if err != nil {
		line.WithError(err).Warn()
		return
	}
	entry.loop.Post(event.CacheReported{Upstream: query.Upstream, Parts: parts})
	line.Info()
}

func (entry *Entry) readCacheList(address string) (parts []event.PromptPart, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), cacheQueryTimeout)
	defer cancel()
	answer, err := entry.exchange.Do(ctx, exchange.Request{
		Address: address, Method: http.MethodGet, Target: entry.settings.Dialect.CacheListTarget(), Host: address,
		Header: func() (http.Header, error) { return http.Header{}, nil },
		Match:  entry.matchCacheList,
	})
	if err != nil {
		return nil, err
	}
	defer answer.Close(false)
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", errNoCacheList, answer.StatusCode)
	}
	response, err := readResponse(answer, maxCacheListBytes)
	if err != nil {
		return nil, err
	}
	return entry.settings.Dialect.ParseCacheList(response.body)
}

// matchCacheList distinguishes the response to a cache query, which carries no
// request ID, from late responses to requests.
func (entry *Entry) matchCacheList(response *http.Response) exchange.Match {
	if entry.settings.Dialect.ParseResponse(response).ID != "" {
		return exchange.Mismatched
	}
	return exchange.Matched
}
