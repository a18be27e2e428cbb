package placer

import (
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

var errSpoilt = explainer.New(explainer.Corrupt, "staged chunks read back spoilt again and again", "look at the engine's instance")

// leaseDuration is for how long the root of a stripe may read from the origin.
const leaseDuration = 5 * time.Second

// lessor lets the root of a stripe read it from the origin. All agents compute
// the same roots, so each chunk is read about once.
type lessor struct {
	clock clockwork.Clock
}

// Lease grants reads of the first copy.
func (l lessor) Lease(_ context.Context, ask fetcher.AskOriginLease) (fetcher.OriginLeaseAnswered, error) {
	return fetcher.OriginLeaseAnswered{
		Manifest: ask.Manifest,
		Chunks:   ask.Chunks,
		Copy:     ask.Copy,
		Granted:  ask.Copy == 0,
		Expires:  l.clock.Now().Add(leaseDuration),
	}, nil
}

// origins keeps the one client of the origin that is declared.
type origins struct {
	mu      sync.Mutex
	address string
	origin  *platform.Origin
}

// declared returns the origin of the declaration, or an error without one.
func (o *origins) declared(d declarer.Declaration) (*platform.Origin, error) {
	address := originOf(d)
	if address == "" {
		return nil, explainer.New(explainer.Unavailable, "no origin is declared", "declare one")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.address != address {
		o.address, o.origin = address, platform.NewOrigin(address)
	}
	return o.origin, nil
}

// originOf returns the address of the origin of weights, or nothing.
func originOf(d declarer.Declaration) string {
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		if origin := d.Services[name].Origin; origin != "" {
			return origin
		}
	}
	return ""
}

// chunkOrigin reads chunks from the origin that is declared.
type chunkOrigin struct {
	view    *declarer.View
	origins *origins
}

// sourceOf names a release for chunkOrigin.
func sourceOf(model identifier.Model, n declarer.ReleaseNumber) string {
	return fmt.Sprintf("%d/%s", n, model)
}

// Chunk reads one chunk.
func (o chunkOrigin) Chunk(ctx context.Context, source string, i verifier.ChunkIndex, size identifier.ByteCount) ([]byte, error) {
	text, model, _ := strings.Cut(source, "/")
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, err
	}
	origin, err := o.origins.declared(o.view.Declared().Declaration)
	if err != nil {
		return nil, err
	}
	return origin.Chunk(ctx, identifier.Model(model), declarer.ReleaseNumber(n), int(i), size)
}
