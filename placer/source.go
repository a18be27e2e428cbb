package placer

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

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

// peerSource requests chunks from a process that passes them on: a mirror or a cache.
type peerSource struct {
	candidate puller.Candidate
	address   netip.AddrPort
	manifest  identifier.Digest
	endpoint  *connector.Endpoint
	self      identifier.Upstream
	idle      bool
	clock     clockwork.Clock
}

// refusalRetryDelay is the delay before a process that refused a request is asked again:
// it may learn of the release a little later than this one.
const refusalRetryDelay = 100 * time.Millisecond

// maxRefusals is how many times a process is asked again before another one is asked.
const maxRefusals = 8

// Candidate describes the process to a puller.Plan.
func (s peerSource) Candidate() puller.Candidate {
	return s.candidate
}

// Chunk requests one chunk. With wait it waits while the process itself fetches the chunk.
func (s peerSource) Chunk(ctx context.Context, _ declarer.Pinned, i int, wait bool, alive func()) ([]byte, error) {
	for refused := 0; ; refused++ {
		data, err := s.requestChunk(ctx, i, wait, alive)
		if explainer.KindOf(err) != explainer.NotFound {
			return data, err
		}
		if !wait {
			return nil, puller.ErrNotHeld
		}
		if refused == maxRefusals {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-s.clock.After(refusalRetryDelay):
		}
	}
}

func (s peerSource) requestChunk(ctx context.Context, i int, wait bool, alive func()) ([]byte, error) {
	request := &fetcher.ChunkRequest{Manifest: s.manifest, Chunk: verifier.ChunkIndex(i), Upstream: s.self, Wait: wait, Idle: s.idle}
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
			return nil, explainer.New(explainer.Corrupt, fmt.Sprintf("%s answered with unexpected message %T", s.address, msg), "run compatible releases on all instances")
		case answer.Refused != "":
			return nil, explainer.New(explainer.NotFound, string(answer.Refused), "try again, or ask another process")
		case answer.Delayed:
			alive()
		default:
			return answer.Data, nil
		}
	}
}

// originSource reads chunks from the origin.
type originSource struct {
	origin *platform.OriginClient
	model  identifier.Model
}

// Candidate describes the origin to a puller.Plan.
func (originSource) Candidate() puller.Candidate {
	return puller.Candidate{Name: "origin", Tier: puller.Origin}
}

// Chunk reads one chunk.
func (s originSource) Chunk(ctx context.Context, p declarer.Pinned, i int, _ bool, _ func()) ([]byte, error) {
	return s.origin.Chunk(ctx, s.model, p.Number, i, p.ChunkSize)
}

// sources finds the processes that pass weights on to this one.
type sources struct {
	placement parser.Placement
	spreader  *spreader.Spreader
	endpoint  *connector.Endpoint
	clock     clockwork.Clock
	// isCache is set if this process is a cache itself: the others are its peers.
	isCache bool
	// isIdle reports whether the engine of this instance serves nothing. It is nil without
	// an engine.
	isIdle func() bool
}

// of returns the mirrors, the caches of this region and the origin, if there is one, as
// they are known now.
func (s sources) of(origin *platform.OriginClient, model identifier.Model, manifest identifier.Digest) []puller.Source {
	var list []puller.Source
	mirrors := s.spreader.ReplicaAddresses()
	for _, address := range mirrors {
		tier := puller.Remote
		if s.spreader.RegionOf(address) == s.placement.Region {
			tier = puller.Local
		}
		list = append(list, s.peer(address, tier, false, manifest))
	}
	for _, address := range s.spreader.Caches() {
		if address != s.placement.InternalAddress && !slices.Contains(mirrors, address) {
			list = append(list, s.peer(address, puller.Local, s.isCache, manifest))
		}
	}
	if origin != nil {
		list = append(list, originSource{origin: origin, model: model})
	}
	return list
}

func (s sources) peer(address netip.AddrPort, tier puller.Tier, peer bool, manifest identifier.Digest) peerSource {
	return peerSource{
		candidate: puller.Candidate{Name: puller.SourceName(address.String()), Tier: tier, Peer: peer},
		address:   address,
		manifest:  manifest,
		endpoint:  s.endpoint,
		self:      identifier.Upstream(s.placement.InternalAddress.String()),
		idle:      s.isIdle != nil && s.isIdle(),
		clock:     s.clock,
	}
}

// relaysIn returns a function that reports whether a process caches weights in this region,
// and so passes them on.
func relaysIn(s *spreader.Spreader) func(identifier.Upstream) bool {
	return func(peer identifier.Upstream) bool {
		address, err := netip.ParseAddrPort(string(peer))
		return err == nil && slices.Contains(s.Caches(), address)
	}
}

// newPuller returns a puller whose requests to other regions begin after remoteDelay.
func newPuller(placement parser.Placement, remoteDelay time.Duration, clock clockwork.Clock, log *zap.Logger) *puller.Puller {
	cfg := puller.Config{Self: puller.SourceName(placement.InternalAddress.String()), RemoteDelay: remoteDelay}
	return puller.New(cfg, clock, log)
}
