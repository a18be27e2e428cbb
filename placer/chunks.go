package placer

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryvalve/declarer"
	"celeryvalve/explainer"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/platform"
	"celeryvalve/verifier"
)

// errNotHeld means that another release became wanted before the staging began.
var errNotHeld = explainer.New(explainer.NotFound, "the chunks of the release are not held", "wait until the release that is wanted now has arrived")

var errCorrupt = explainer.New(explainer.Corrupt, "staged chunks are corrupt after repeated writes", "check the engine's instance")

// leaseDuration is how long the root of a stripe may read from the origin.
const leaseDuration = 5 * time.Second

// lessor grants the root of a stripe a lease to read it from the origin. All members
// compute the same roots, so that each chunk is read about once.
type lessor struct {
	clock clockwork.Clock
	// askPeers reports whether the release was mirrored before this process wanted it: the
	// other mirrors may hold chunks that this one, restarted, would read again.
	askPeers func(manifest identifier.Digest) bool
}

// Lease grants requests for the first copy and refuses all others. Chunks that other
// mirrors may hold are granted once these were asked for them.
func (l lessor) Lease(_ context.Context, request fetcher.RequestOriginLease) (fetcher.OriginLeaseAnswered, error) {
	held := request.Copy == 0 && !request.Regrant && l.askPeers(request.Manifest)
	return fetcher.OriginLeaseAnswered{
		Manifest: request.Manifest,
		Chunks:   request.Chunks,
		Copy:     request.Copy,
		Granted:  request.Copy == 0 && !held,
		Held:     held,
		Expires:  l.clock.Now().Add(leaseDuration),
	}, nil
}

// fewOriginConnections is how many connections a process other than a mirror may have to
// the origin, which accepts only a few dozen from all processes together.
const fewOriginConnections = 2

// originCache keeps one client of the declared origin, as long as its address stays the
// same.
type originCache struct {
	// connections is how many connections the client may have, or 0 for
	// fewOriginConnections.
	connections int

	mu      sync.Mutex
	address string
	origin  *platform.OriginClient
}

// client returns a client of the declared origin, or an error of kind Unavailable if
// none is declared.
func (o *originCache) client(d declarer.Declaration) (*platform.OriginClient, error) {
	address := originAddress(d)
	if address == "" {
		return nil, explainer.New(explainer.Unavailable, "no origin is declared", "declare an origin in a service")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.address != address {
		o.address, o.origin = address, platform.NewOrigin(address, cmp.Or(o.connections, fewOriginConnections))
	}
	return o.origin, nil
}

// originAddress returns the address of the origin of weights, or an empty string if
// none is declared.
func originAddress(d declarer.Declaration) string {
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		if origin := d.Services[name].Origin; origin != "" {
			return origin
		}
	}
	return ""
}

// chunkOrigin reads chunks from the declared origin. It is a transferrer.ChunkOrigin.
type chunkOrigin struct {
	view    *declarer.View
	origins *originCache
}

// releaseSource returns the source that identifies a release to chunkOrigin.
func releaseSource(model identifier.Model, n declarer.ReleaseNumber) string {
	return fmt.Sprintf("%d/%s", n, model)
}

// Chunk reads chunk i of the release that source identifies. The caller verifies it.
func (o chunkOrigin) Chunk(ctx context.Context, source string, i verifier.ChunkIndex, size identifier.ByteCount) ([]byte, error) {
	text, model, _ := strings.Cut(source, "/")
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, err
	}
	origin, err := o.origins.client(o.view.Declared().Declaration)
	if err != nil {
		return nil, err
	}
	return origin.Chunk(ctx, identifier.Model(model), declarer.ReleaseNumber(n), int(i), size)
}
