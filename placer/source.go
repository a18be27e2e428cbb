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

// manifestOf builds the manifest of a pinned release. It is equal in every process.
func manifestOf(model identifier.Model, pinned declarer.Pinned) (*verifier.Manifest, error) {
	return verifier.FromDigests(verifier.Description{
		Model:     model,
		Version:   identifier.WeightVersion(strconv.FormatUint(uint64(pinned.Number), 10)),
		ChunkSize: pinned.ChunkSize,
	}, pinned.Digests)
}

// mirrorSource requests chunks from one mirror.
type mirrorSource struct {
	address  netip.AddrPort
	manifest identifier.Digest
	endpoint *connector.Endpoint
	self     identifier.Upstream
}

// String returns the address of the mirror.
func (s mirrorSource) String() string {
	return s.address.String()
}

// refusalRetryDelay is the delay before a mirror that refused a request is asked again:
// it may learn of the release a little later than this process.
const refusalRetryDelay = 100 * time.Millisecond

// maxRefusals is how many times a mirror is asked again before another one is asked.
const maxRefusals = 8

// Chunk requests one chunk. It waits while the mirror itself fetches the chunk.
func (s mirrorSource) Chunk(ctx context.Context, _ declarer.Pinned, i int) ([]byte, error) {
	for refused := 0; ; refused++ {
		data, err := s.requestChunk(ctx, i)
		if explainer.KindOf(err) != explainer.NotFound || refused == maxRefusals {
			return data, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(refusalRetryDelay):
		}
	}
}

func (s mirrorSource) requestChunk(ctx context.Context, i int) ([]byte, error) {
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
			return nil, explainer.New(explainer.Corrupt, fmt.Sprintf("mirror answered with unexpected message %T", msg), "run compatible releases on all instances")
		case answer.Refused != "":
			return nil, explainer.New(explainer.NotFound, string(answer.Refused), "try again, or ask another mirror")
		case !answer.Delayed:
			return answer.Data, nil
		}
	}
}

// originSource reads chunks from the origin.
type originSource struct {
	origin *platform.OriginClient
	model  identifier.Model
}

// String returns the name of the source.
func (originSource) String() string {
	return "origin"
}

// Chunk reads one chunk.
func (s originSource) Chunk(ctx context.Context, p declarer.Pinned, i int) ([]byte, error) {
	return s.origin.Chunk(ctx, s.model, p.Number, i, p.ChunkSize)
}

// sourcesOf returns the mirrors, those of this region first, and then the origin if
// there is one. Instances of one region start with different mirrors.
func sourcesOf(placement parser.Placement, s *spreader.Spreader, e *connector.Endpoint, origin *platform.OriginClient,
	model identifier.Model, manifest identifier.Digest) []puller.Source {
	mirrors := s.ReplicaAddresses()
	rank := func(a netip.AddrPort) uint64 {
		h := fnv.New64a()
		// Writing to a hash never fails.
		_, _ = h.Write([]byte(placement.InternalAddress.String() + "|" + a.String()))
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
			self:     identifier.Upstream(placement.InternalAddress.String()),
		})
	}
	if origin != nil {
		sources = append(sources, originSource{origin: origin, model: model})
	}
	return sources
}
