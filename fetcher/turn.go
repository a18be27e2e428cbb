package fetcher

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Turn is the place of a peer among those that pull a release from one source: the lowest
// goes first, and those with the same turn go in the order of their requests.
type Turn uint64

const (
	// RelayTurn is the turn of peers that pass chunks on to others.
	RelayTurn Turn = 0
	// ServingTurn is the turn of peers whose engines serve an earlier release meanwhile. It
	// is better for callers if they hold the release all at once than if the last ones hold
	// it late.
	ServingTurn Turn = math.MaxUint64
)

// Turn returns the turn of the peer, unless it passes chunks on. All sources agree on the
// order of peers with idle engines: the first ones hold the release and serve soon, instead
// of all of them only once the last one holds it. Each release has another order.
func (r *ChunkRequest) Turn() Turn {
	if !r.Idle {
		return ServingTurn
	}
	return max(RelayTurn+1, Turn(xxhash.Sum64(append(r.Manifest[:], r.Upstream...))))
}
