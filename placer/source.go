package placer

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/explainer"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/parser"
	"celeryvalve/platform"
	"celeryvalve/puller"
	"celeryvalve/spreader"
	"celeryvalve/verifier"
)

// manifestOf makes the manifest of a pinned release, equal in every process.
func manifestOf(model identifier.Model, pinned declarer.Pinned) (*verifier.Manifest, error) {
	return verifier.FromDigests(verifier.Description{
		Model:     model,
		Version:   identifier.WeightVersion(strconv.FormatUint(uint64(pinned.Number), 10)),
		ChunkSize: pinned.ChunkSize,
	}, pinned.Digests)
}

// mirrorSource asks a mirror.
type mirrorSource struct {
	address  netip.AddrPort
	manifest identifier.Digest
	endpoint *connector.Endpoint
	self     identifier.Upstream
}

// String names the mirror.
func (s mirrorSource) String() string {
	return s.address.String()
}

// refusalPause is when a mirror is asked again that does not want the release
// yet: it may hear of it a little later than this process.
const refusalPause = 100 * time.Millisecond

// refusals is how often a mirror is asked again before another one is.
const refusals = 8

// Chunk asks for one chunk and waits while the mirror fetches it itself.
func (s mirrorSource) Chunk(ctx context.Context, _ declarer.Pinned, i int) ([]byte, error) {
	for refused := 0; ; refused++ {
		data, err := s.ask(ctx, i)
		if explainer.KindOf(err) != explainer.NotFound || refused == refusals {
			return data, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(refusalPause):
		}
	}
}

func (s mirrorSource) ask(ctx context.Context, i int) ([]byte, error) {
	request := &fetcher.ChunkRequest{Manifest: s.manifest, Chunk: verifier.ChunkIndex(i), Upstream: s.self, Wait: true}
	stream, err := s.endpoint.Open(ctx, s.address, request)
	if err != nil {
		return nil, err
	}
	defer stream.Cancel()
	for {
		msg, err := stream.Receive(ctx)
		if err != nil {
			return nil, err
		}
		answer, ok := msg.(*fetcher.ChunkAnswer)
		switch {
		case !ok:
			return nil, explainer.New(explainer.Corrupt, fmt.Sprintf("mirror answers with %T", msg), "run compatible releases")
		case answer.Refused != "":
			return nil, explainer.New(explainer.NotFound, string(answer.Refused), "ask again, or another mirror")
		case !answer.Delayed:
			return answer.Data, nil
		}
	}
}

// originSource asks the origin itself.
type originSource struct {
	origin *platform.Origin
	model  identifier.Model
}

// String names the origin.
func (originSource) String() string {
	return "origin"
}

// Chunk reads one chunk.
func (s originSource) Chunk(ctx context.Context, p declarer.Pinned, i int) ([]byte, error) {
	return s.origin.Chunk(ctx, s.model, p.Number, i, p.ChunkSize)
}

// sourcesOf returns the mirrors, those of the own region first, and then the
// origin. Instances of one region begin with different mirrors.
func sourcesOf(placement parser.Placement, s *spreader.Spreader, e *connector.Endpoint, origin *platform.Origin,
	model identifier.Model, manifest identifier.Digest) []puller.Source {
	mirrors := s.Replicas()
	rank := func(a netip.AddrPort) uint64 {
		h := fnv.New64a()
		// A hash takes any bytes.
		_, _ = h.Write([]byte(placement.Inner.String() + "|" + a.String()))
		rank := h.Sum64() >> 1
		if s.RegionOf(a) != placement.Region {
			rank |= 1 << 63
		}
		return rank
	}
	slices.SortFunc(mirrors, func(a, b netip.AddrPort) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	var sources []puller.Source
	for _, address := range mirrors {
		sources = append(sources, mirrorSource{
			address:  address,
			manifest: manifest,
			endpoint: e,
			self:     identifier.Upstream(placement.Inner.String()),
		})
	}
	if origin != nil {
		sources = append(sources, originSource{origin: origin, model: model})
	}
	return sources
}
