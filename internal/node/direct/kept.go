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

// askKeptWithin bounds the wait for what an engine keeps: later than that its
// requests have told more.
const askKeptWithin = time.Second

var errNoList = errors.New("the engine gives no list")

// askKept has an engine tell what it keeps, and passes it on to the dispatcher.
func (entry *Entry) askKept(order event.QueryCache) {
	parts, err := entry.readKept(order.Address)
	line := entry.log(logevent.CacheReported).WithFields(logrus.Fields{"name": order.Upstream, "parts": len(parts)})
	if err != nil {
		line.WithError(err).Warn()
		return
	}
	line.Info()
	entry.loop.Post(event.CacheReported{Upstream: order.Upstream, Parts: parts})
}

func (entry *Entry) readKept(address string) (parts []event.PromptPart, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), askKeptWithin)
	defer cancel()
	answer, err := entry.exchange.Do(ctx, exchange.Request{
		Address: address, Method: http.MethodGet, Target: entry.settings.Dialect.CacheListTarget(), Host: address,
		Header: func() (http.Header, error) { return http.Header{}, nil },
		Match:  entry.ownerOfKept,
	})
	if err != nil {
		return nil, err
	}
	defer answer.Close(false)
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", errNoList, answer.StatusCode)
	}
	held, err := hold(answer)
	if err != nil {
		return nil, err
	}
	return entry.settings.Dialect.ParseCacheList(held.body)
}

// ownerOfKept tells the answer on what an engine keeps, which names no request,
// from late answers to requests.
func (entry *Entry) ownerOfKept(response *http.Response) exchange.Match {
	if entry.settings.Dialect.ParseResponse(response).ID != "" {
		return exchange.Mismatched
	}
	return exchange.Matched
}
