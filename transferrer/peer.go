package transferrer

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"celeryvalve/connector"
	"celeryvalve/explainer"
	"celeryvalve/fetcher"
	"celeryvalve/identifier"
	"celeryvalve/verifier"
)

// Stream is one exchange with a peer.
type Stream interface {
	Send(msg any) error
	Receive(ctx context.Context) (any, error)
	Cancel()
}

// Dialer opens streams to peers.
type Dialer interface {
	Open(ctx context.Context, addr netip.AddrPort, first any) (Stream, error)
}

// Lessor grants the right to read from the origin. Control is one.
type Lessor interface {
	Lease(ctx context.Context, ask fetcher.AskOriginLease) (fetcher.OriginLeaseAnswered, error)
}

type endpointDialer struct{ endpoint *connector.Endpoint }

// Connect returns a dialer of the endpoint's streams.
func Connect(endpoint *connector.Endpoint) Dialer {
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

// askPeer asks a peer for a chunk and returns its bytes, not yet verified.
func (t *Transferrer) askPeer(ctx context.Context, e fetcher.FetchChunkFromPeer) ([]byte, error) {
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
			return nil, explainer.New(explainer.Corrupt, fmt.Sprintf("peer answers with %T", msg), "run compatible releases")
		case answer.Refused != "":
			return nil, &failure{reason: answer.Refused, retryAfter: answer.RetryAfter}
		case answer.Delayed:
			source := fetcher.Source{Peer: e.Peer.Upstream}
			t.Send(ctx, fetcher.ChunkDelayed{Manifest: e.Manifest, Chunk: e.Chunk, Source: source})
		default:
			return answer.Data, t.download.wait(ctx, len(answer.Data))
		}
	}
}

// served is a peer's request at this agent.
type served struct {
	stream Stream
	answer chan reply
}

// reply is what the reducer decides about a request: a delay, a chunk, or a refusal.
type reply struct {
	delayed bool
	digest  identifier.Digest
	refused fetcher.Reason
	after   time.Duration
}

// Handle answers a stream of the connector. It fits connector.Handler.
func (t *Transferrer) Handle(ctx context.Context, s *connector.Stream, first any) {
	t.Serve(ctx, s, first)
}

// Serve answers one stream whose first message is a request of a member. It
// returns when the request is answered or withdrawn.
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
		_, _ = s.Receive(ctx) // ends when the peer withdraws its request
		cancel()
	}()
	t.Send(ctx, fetcher.ChunkRequested{
		Request: id, Manifest: request.Manifest, Chunk: request.Chunk, Peer: request.Upstream, Wait: request.Wait,
	})
	t.answerAll(ctx, s, request, answer)
	t.unregister(id)
	t.Send(t.ctx, fetcher.RequestEnded{Request: id})
}

// answerAll answers until the request has ended.
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

// answer sends what the reducer decided, inside the budgets.
func (t *Transferrer) answer(ctx context.Context, s Stream, request *fetcher.ChunkRequest, r reply) {
	if r.refused != "" {
		_ = s.Send(&fetcher.ChunkAnswer{Refused: r.refused, RetryAfter: r.after})
		return
	}
	data, err := t.store.Get(r.digest)
	if err != nil {
		t.warn("Stored chunk can't be read.", err)
		_ = s.Send(&fetcher.ChunkAnswer{Refused: fetcher.NotHeld})
		return
	}
	err = t.waitToSend(ctx, s, request.Upstream, len(data))
	if err == nil {
		err = s.Send(&fetcher.ChunkAnswer{Data: data})
	}
	if err == nil {
		t.counters.sent.Add(len(data))
	}
}

// waitToSend waits for the budgets. It tells the peer that the chunk is coming.
func (t *Transferrer) waitToSend(ctx context.Context, s Stream, peer identifier.Upstream, n int) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		if t.crosses(peer) {
			if err := t.thin.wait(ctx, n); err != nil {
				done <- err
				return
			}
		}
		done <- t.upload.wait(ctx, n)
	}()
	ticker := t.clock.NewTicker(t.cfg.Fetcher.ProgressDeadline / delayReports)
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

// delayReports is how often a deadline passes a report while a chunk waits for
// the budgets.
const delayReports = 4

func (t *Transferrer) register(s Stream) (fetcher.RequestID, <-chan reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastRequest++
	answer := make(chan reply, 2) // a delay and the end
	t.requests[t.lastRequest] = served{stream: s, answer: answer}
	return t.lastRequest, answer
}

func (t *Transferrer) unregister(id fetcher.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, id)
}

// decide hands the reducer's decision to the request, if it is still open.
func (t *Transferrer) decide(id fetcher.RequestID, r reply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.requests[id]
	switch {
	case !ok:
	case r.delayed:
		select {
		case s.answer <- r:
		default: // an earlier report is not sent yet
		}
	default:
		s.answer <- r
		delete(t.requests, id)
	}
}

// crosses reports whether the peer is in another region.
func (t *Transferrer) crosses(peer identifier.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	region, ok := t.regions[peer]
	return ok && region != t.cfg.Fetcher.Self.Region
}

// verify checks fetched bytes.
func verify(m *verifier.Manifest, i verifier.ChunkIndex, data []byte) (verifier.Chunk, error) {
	chunk, err := m.VerifyChunk(i, data)
	if err != nil {
		return chunk, &failure{reason: fetcher.Corrupt, cause: err}
	}
	return chunk, nil
}
