// Package trafficsplit draws the pool of a request from the traffic split of its class.
package trafficsplit

import (
	"math/rand/v2"

	"endivepost/internal/config/document"
)

// Split divides requests among pools, by weight. It has at least one share.
type Split struct{ shares []document.Share }

// New returns a split with the shares.
func New(shares []document.Share) Split {
	return Split{shares: shares}
}

// Draw draws a pool at random. Without any weight it is the first.
func (split Split) Draw(random *rand.Rand) string {
	total := 0
	for _, share := range split.shares {
		total += share.Weight
	}
	if total <= 0 {
		return split.shares[0].Pool
	}
	drawn := random.IntN(total)
	for _, share := range split.shares {
		if drawn < share.Weight {
			return share.Pool
		}
		drawn -= share.Weight
	}
	return split.shares[len(split.shares)-1].Pool
}

// DrawFor draws the pool of the stream, the same one in each process.
func (split Split) DrawFor(stream uint64) string {
	return split.Draw(rand.New(rand.NewPCG(stream, 0)))
}
