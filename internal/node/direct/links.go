package direct

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"endivepost/internal/core/event"
	"endivepost/internal/core/mesh"
	"endivepost/internal/node/logevent"
	"endivepost/internal/wire/link"
	"endivepost/internal/wire/message"
)

// identity returns the identity of this entry for handshakes. Its name is the
// address at which other entries reach it.
func (entry *Entry) identity() link.Identity {
	return link.Identity{Name: entry.settings.PeerAddress, Boot: entry.settings.Boot}
}

func (entry *Entry) peerRoutes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/link", entry.acceptLink)
	return router
}

func (entry *Entry) acceptLink(writer http.ResponseWriter, request *http.Request) {
	accepted, err := link.Accept(writer, request, entry.settings.Secret, entry.identity())
	if err != nil {
		entry.log(logevent.LinkRefused).WithError(err).Warn()
		return
	}
	entry.serveLink(mesh.AcceptedKey(accepted.Peer().Name), entry.sequence.Add(1), accepted)
}

func (entry *Entry) dial(requested event.Dial) {
	dialled, err := link.Dial(requested.Address, entry.settings.Secret, entry.identity())
	if err != nil {
		entry.log(logevent.DialFailed).WithField("peer", requested.Peer).WithError(err).Warn()
		entry.loop.Post(event.LinkClosed{Peer: requested.Peer, Link: requested.Link})
		return
	}
	entry.serveLink(requested.Peer, requested.Link, dialled)
}

// serveLink posts the other entry's messages to the dispatcher until the link is
// closed. Peer is the dispatcher's key of the link: the other entry's address with a
// prefix that tells which of the two entries dialled.
func (entry *Entry) serveLink(peer string, number uint64, opened *link.Link) {
	entry.mutex.Lock()
	entry.links[peer] = numberedLink{link: opened, number: number}
	entry.mutex.Unlock()
	entry.loop.Post(event.LinkOpened{Peer: peer, Link: number, Boot: opened.Peer().Boot})
	entry.log(logevent.LinkOpened).WithField("peer", peer).Info()
	opened.Observe(entry.countPeerBytes)
	err := opened.Run(func(body message.Message) {
		entry.loop.Post(event.Received{Peer: peer, Link: number, Message: body})
	})
	entry.loop.Post(event.LinkClosed{Peer: peer, Link: number})
	entry.removeLink(peer, number)
	entry.log(logevent.LinkClosed).WithField("peer", peer).WithError(err).Info()
}

func (entry *Entry) findLink(peer string, number uint64) (*link.Link, bool) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	registered, ok := entry.links[peer]
	return registered.link, ok && registered.number == number
}

func (entry *Entry) removeLink(peer string, number uint64) {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	if registered, ok := entry.links[peer]; ok && registered.number == number {
		delete(entry.links, peer)
	}
}

func (entry *Entry) closeLinks() {
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	deadline := time.Now().Add(flushTimeout)
	for _, registered := range entry.links {
		registered.link.Flush(time.Until(deadline))
		registered.link.Close()
	}
}
