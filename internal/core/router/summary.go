package router

import (
	"time"

	"endivepost/internal/core/event"
)

// Peers returns the state of all known sidecars, for operators.
func (router *Router) Peers(now time.Duration) []event.PeerSummary {
	var summaries []event.PeerSummary
	for _, name := range router.peers.Keys() {
		peer, _ := router.peers.Get(name)
		summaries = append(summaries, event.PeerSummary{
			Name:          name,
			Domain:        peer.member.Domain,
			State:         peer.stateName(),
			ConfigVersion: peer.configVersion,
			Limit:         peer.load.Limit,
			Running:       peer.load.Running,
			Queued:        peer.load.Queued,
			HeardAgo:      now - peer.heardAt,
		})
	}
	return summaries
}

func (row peerRow) stateName() string {
	switch {
	case row.leaving:
		return "leaving"
	case !row.listed:
		return "unlisted"
	case !row.inSubset:
		return "not-in-subset"
	case row.state == peerUp && row.loadKnown && row.load.Limit == 0:
		return "upstream-down"
	case row.state == peerUp:
		return "up"
	case row.state == peerDialing:
		return "connecting"
	}
	return "unreachable"
}
