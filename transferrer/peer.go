package transferrer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryvalve/connector"
	"celeryvalve/explainer"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// Stream carries one request to a peer and its answers.
type Stream interface {
	Send(msg any) error
	Receive(ctx context.Context) (any, error)
	Cancel()
}

// Dialer opens streams to peers and sends their first message.
type Dialer interface {
	Open(ctx context.Context, addr netip.AddrPort, first any) (Stream, error)
}

// Lessor grants leases to read chunks from the origin. The Lessor of an agent asks
// control.
type Lessor interface {
	Lease(ctx context.Context, request fetcher.RequestOriginLease) (fetcher.OriginLeaseAnswered, error)
}

type endpointDialer struct{ endpoint *connector.Endpoint }

// NewDialer returns a Dialer that opens streams of the endpoint.
func NewDialer(endpoint *connector.Endpoint) Dialer {
	return endpointDialer{endpoint: endpoint}
}

// Open opens a stream and sends its first message.
func (d endpointDialer) Open(ctx context.Context, addr netip.AddrPort, first any) (Stream, error) {
	s, err := d.endpoint.Open(ctx, addr, first)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// requestChunk requests a chunk from a peer and returns its bytes, which are not yet
// verified.
func (t *Transferrer) requestChunk(ctx context.Context, e fetcher.FetchChunkFromPeer) ([]byte, error) {
	request := &fetcher.ChunkRequest{
		Manifest: e.Manifest, Chunk: e.Chunk, Upstream: t.cfg.Fetcher.Self.Upstream, Wait: e.Wait,
	}
	s, err := t.dialer.Open(ctx, e.Peer.Address, request)
	if err != nil {
		return nil, err
	}
	defer s.Cancel()
	for {
		msg, err := s.Receive(ctx)
		if err != nil {
			return nil, err
		}
		answer, ok := msg.(*fetcher.ChunkAnswer)
		switch {
		case !ok:
			return nil, explainer.New(explainer.Corrupt, fmt.Sprintf("peer answered with unexpected message %T", msg), "run compatible releases on all instances")
		case answer.Refused != "":
			return nil, &fetchError{reason: answer.Refused, retryAfter: answer.RetryAfter}
		case answer.Delayed:
			source := fetcher.Source{Peer: e.Peer.Upstream}
			t.Send(ctx, fetcher.ChunkDelayed{Manifest: e.Manifest, Chunk: e.Chunk, Source: source})
		default:
			return answer.Data, t.downloadLimiter.wait(ctx, len(answer.Data))
		}
	}
}

// peerRequest is an open request from a peer.
type peerRequest struct {
	stream Stream
	answer chan reply
}

// reply is the reducer's decision on a peer's request: a delay, a chunk or a refusal.
type reply struct {
	delayed    bool
	digest     identifier.Digest
	refused    fetcher.Reason
	retryAfter time.Duration
}

// Handle serves a stream of the connector. It is a connector.Handler.
func (t *Transferrer) Handle(ctx context.Context, s *connector.Stream, first any) {
	t.Serve(ctx, s, first)
}

// Serve answers one stream whose first message is a chunk or manifest request. It
// returns when the request is answered or cancelled.
func (t *Transferrer) Serve(ctx context.Context, s Stream, first any) {
	switch request := first.(type) {
	case *fetcher.ChunkRequest:
		t.serveChunk(ctx, s, request)
	case *fetcher.ManifestRequest:
		t.serveManifest(ctx, s, request)
	default:
		s.Cancel()
	}
}

func (t *Transferrer) serveChunk(ctx context.Context, s Stream, request *fetcher.ChunkRequest) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id, answer := t.register(s)
	go func() {
		_, _ = s.Receive(ctx) // returns when the peer cancels its request
		cancel()
	}()
	t.Send(ctx, fetcher.ChunkRequested{
		Request: id, Manifest: request.Manifest, Chunk: request.Chunk, Peer: request.Upstream, Wait: request.Wait,
	})
	t.answerAll(ctx, s, request, answer)
	t.unregister(id)
	t.Send(t.ctx, fetcher.RequestEnded{Request: id})
}

// answerAll sends the reducer's replies until the final one is sent or ctx ends.
func (t *Transferrer) answerAll(ctx context.Context, s Stream, request *fetcher.ChunkRequest, answer <-chan reply) {
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-answer:
			if !r.delayed {
				t.answer(ctx, s, request, r)
				return
			}
			_ = s.Send(&fetcher.ChunkAnswer{Delayed: true})
		}
	}
}

// answer sends the final reply: a refusal, or the chunk within the rate limits.
func (t *Transferrer) answer(ctx context.Context, s Stream, request *fetcher.ChunkRequest, r reply) {
	if r.refused != "" {
		_ = s.Send(&fetcher.ChunkAnswer{Refused: r.refused, RetryAfter: r.retryAfter})
		return
	}
	data, err := t.store.Get(r.digest)
	if err != nil {
		t.warn("Stored chunk can't be read.", err)
		_ = s.Send(&fetcher.ChunkAnswer{Refused: fetcher.NotHeld})
		return
	}
	err = t.waitToSend(ctx, s, request, len(data))
	if err == nil {
		err = s.Send(&fetcher.ChunkAnswer{Data: data})
	}
	if err == nil {
		t.counters.sent.Add(len(data))
	}
}

// waitToSend waits for the rate limiters, and for the peers that go first.
func (t *Transferrer) waitToSend(ctx context.Context, s Stream, request *fetcher.ChunkRequest, n int) error {
	interval := t.cfg.Fetcher.ProgressDeadline / delayMessagesPerDeadline
	return waitWithDelays(ctx, t.clock, interval, s, func(ctx context.Context) error {
		if t.inOtherRegion(request.Upstream) {
			if err := t.interRegionLimiter.wait(ctx, n); err != nil {
				return err
			}
		}
		switch {
		case !t.cfg.MembersFirst:
			return t.uploadLimiter.wait(ctx, n)
		case t.isMember(request.Upstream):
			return nil
		}
		return t.uploads.wait(ctx, request, n)
	})
}

// waitWithDelays returns once wait does. Meanwhile it sends the peer a delay message in
// each interval, so that the peer does not treat this process as stalled.
func waitWithDelays(ctx context.Context, clock clockwork.Clock, interval time.Duration, s Stream, wait func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- wait(ctx) }()
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-ticker.Chan():
			_ = s.Send(&fetcher.ChunkAnswer{Delayed: true})
		}
	}
}

// delayMessagesPerDeadline is how many delay messages are sent in one progress
// deadline while a chunk waits for the rate limiters.
const delayMessagesPerDeadline = 4

func (t *Transferrer) register(s Stream) (fetcher.RequestID, <-chan reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRequest++
	answer := make(chan reply, 2) // one delay and the final reply
	t.requests[t.lastRequest] = peerRequest{stream: s, answer: answer}
	return t.lastRequest, answer
}

func (t *Transferrer) unregister(id fetcher.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, id)
}

// deliverReply passes the reducer's decision to the request if that is still open. It
// does not block: the channel holds at most one delay, so the final reply has room.
func (t *Transferrer) deliverReply(id fetcher.RequestID, r reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	request, ok := t.requests[id]
	if !ok || r.delayed && len(request.answer) > 0 { // an earlier delay is not sent yet
		return
	}
	request.answer <- r
	if !r.delayed {
		delete(t.requests, id)
	}
}

// isMember reports whether the peer was in a list of members.
func (t *Transferrer) isMember(peer identifier.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.regions[peer]
	return ok
}

// inOtherRegion reports whether the peer is known to be in another region.
func (t *Transferrer) inOtherRegion(peer identifier.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	region, ok := t.regions[peer]
	return ok && region != t.cfg.Fetcher.Self.Region
}

// verify checks data against the digest of chunk i. A mismatch is a fetchError with
// the reason Corrupt.
func verify(m *verifier.Manifest, i verifier.ChunkIndex, data []byte) (verifier.Chunk, error) {
	chunk, err := m.VerifyChunk(i, data)
	if err != nil {
		return chunk, &fetchError{reason: fetcher.Corrupt, cause: err}
	}
	return chunk, nil
}
