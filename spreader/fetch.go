package spreader

import (
	"context"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"celeryvalve/catcher"
	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

const (
	fetchTimeout = time.Second
	// maxFetchTimeout leaves time for a large declaration over a narrow link.
	maxFetchTimeout = 8 * time.Second
	// fetchHedgeDelay is how long a fetch from one replica may take before a second
	// replica is asked as well.
	fetchHedgeDelay = 250 * time.Millisecond
	// fetchRetryDelay bounds the fetches from a process that has nothing newer.
	fetchRetryDelay = time.Second
	// abandonDelay is several times as long as a replica that knows the leader may lag behind it.
	abandonDelay = 10 * time.Second
)

func newCatcher(cfg Config) *catcher.Catcher {
	return catcher.New(catcher.Config{
		HedgeDelay:   fetchHedgeDelay,
		RetryDelay:   fetchRetryDelay,
		Timeout:      fetchTimeout,
		MaxTimeout:   maxFetchTimeout,
		AbandonDelay: abandonDelay,
		Salt:         xxhash.Sum64String(cfg.Process),
	})
}

// catchUp feeds an event to the catcher, and begins the fetches that it returns.
func (s *Spreader) catchUp(event catcher.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return
	}
	for _, f := range s.catcher.Reduce(s.clock.Now(), event) {
		s.done.Go(func() { s.fetch(f) })
	}
}

// fetch updates the declared state to the revision of a peer.
func (s *Spreader) fetch(f catcher.Fetch) {
	ctx, cancel := context.WithTimeout(s.ctx, f.Timeout)
	defer cancel()
	revision, err := s.fetchFrom(ctx, f.Peer)
	if err != nil {
		s.fetches.failed.Inc()
		s.log.Warn("Can't fetch the declared state; a later update triggers a retry.", zap.Stringer("address", f.Peer), zap.Error(err))
	}
	s.catchUp(catcher.Ended{Peer: f.Peer, Revision: catcher.Revision(revision), Expired: ctx.Err() != nil})
}

// fetchFrom applies the difference to the declared state of a peer, and returns its revision.
func (s *Spreader) fetchFrom(ctx context.Context, addr netip.AddrPort) (declarer.Revision, error) {
	before := s.view.CurrentVersion()
	msg, err := s.endpoint.Call(ctx, addr, &FetchDeclarationRequest{Have: before, WeightsOnly: !s.cfg.FollowAll})
	if err != nil {
		return 0, err
	}
	answer, ok := msg.(*FetchDeclarationResponse)
	if !ok {
		return 0, eris.Errorf("the answer is a %T instead of a declaration", msg)
	}
	delta, err := answer.Delta.Decode()
	if err != nil {
		return 0, err
	}
	if !s.view.ApplyDelta(answer.Revision, delta, answer.Releases, answer.Evacuations) {
		s.fetches.unchanged.Inc()
		return answer.Revision, nil
	}
	s.fetches.newer.Inc()
	if version := s.view.CurrentVersion(); version != before {
		s.log.Info("Declaration is in force.", zap.Uint64("version", uint64(version)),
			zap.Uint64("revision", uint64(answer.Revision)), zap.Bool("whole", delta.Whole), zap.Stringer("from", addr))
	}
	return answer.Revision, nil
}

func (s *Spreader) serveFetch(_ context.Context, stream *connector.Stream, first any) {
	request, ok := first.(*FetchDeclarationRequest)
	if !ok {
		return
	}
	answer, err := s.fetchAnswer(request)
	if err != nil {
		s.log.Error("Can't encode the declaration for a follower.", zap.Error(err))
		return
	}
	// A peer that lost the connection sends the request again.
	if err := stream.Send(answer); err != nil {
		s.logUnsent(stream, err)
	}
}

// fetchAnswers holds the answers to the requests for one revision. Dozens of followers send
// the same request at once, and a difference takes a millisecond to compute and compress.
type fetchAnswers struct {
	revision declarer.Revision
	byBase   map[fetchBase]*FetchDeclarationResponse
}

// fetchBase is what an answer depends on besides the revision.
type fetchBase struct {
	version     identifier.ConfigurationVersion
	weightsOnly bool
}

// fetchAnswer returns the difference between the declared state and what the requester has.
func (s *Spreader) fetchAnswer(request *FetchDeclarationRequest) (*FetchDeclarationResponse, error) {
	s.fetchMu.Lock()
	defer s.fetchMu.Unlock()
	declared := s.view.Declared()
	current, base := declared.Declaration, s.baseDeclaration(request)
	if s.fetchAnswers.byBase == nil || s.fetchAnswers.revision != declared.Revision {
		s.fetchAnswers = fetchAnswers{revision: declared.Revision, byBase: make(map[fetchBase]*FetchDeclarationResponse)}
	}
	key := fetchBase{version: base.Version, weightsOnly: request.WeightsOnly}
	if answer, ok := s.fetchAnswers.byBase[key]; ok {
		return answer, nil
	}
	if request.WeightsOnly {
		current, base = current.ForAgents(), base.ForAgents()
	}
	delta, err := current.DeltaFrom(base).Encode()
	if err != nil {
		return nil, err
	}
	answer := &FetchDeclarationResponse{
		Revision: declared.Revision, Delta: delta, Releases: declared.Releases, Evacuations: declared.Evacuations,
	}
	s.fetchAnswers.byBase[key] = answer
	return answer, nil
}

// baseDeclaration returns the version of the declaration that the requester has, or
// an empty declaration if the history lacks it.
func (s *Spreader) baseDeclaration(request *FetchDeclarationRequest) declarer.Declaration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.history {
		if d.Version == request.Have {
			return d
		}
	}
	return declarer.Declaration{}
}
