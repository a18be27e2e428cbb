package placer

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryvalve/declarer"
	"celeryvalve/explainer"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/platform"
	"celeryvalve/registrar"
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

// chunkOrigin reads chunks from the origin that is declared.
type chunkOrigin struct {
	view *declarer.View
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
	address := originOf(o.view.Declared().Declaration)
	if address == "" {
		return nil, explainer.New(explainer.Unavailable, "no origin is declared", "declare one")
	}
	return platform.NewOrigin(address).Chunk(ctx, identifier.Model(model), declarer.ReleaseNumber(n), int(i), size)
}

// innerOf returns where the agent beside an engine is reached.
func innerOf(r registrar.Record, placement parser.Placement) netip.AddrPort {
	return netip.AddrPortFrom(r.Address.Addr(), placement.Inner.Port())
}
