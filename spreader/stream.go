package spreader

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/encoder"
	"celeryvalve/registrar"
)

// Handler is where handlers of messages are registered.
type Handler interface {
	Handle(kind encoder.Kind, h connector.Handler)
}

// Register serves those who follow this process.
func (s *Spreader) Register(h Handler) {
	h.Handle(FollowKind, s.serveFollow)
	h.Handle(FetchDeclaredKind, s.serveFetch)
}

// serveFollow tells a follower what changes here, and takes in what it tells.
func (s *Spreader) serveFollow(ctx context.Context, stream *connector.Stream, first any) {
	follower, ok := first.(*Follow)
	if !ok {
		return
	}
	s.mu.Lock()
	if follower.Address.IsValid() {
		s.regions[follower.Address.String()] = follower.Region
	}
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	var done sync.WaitGroup
	defer done.Wait()
	done.Go(func() {
		defer cancel()
		s.tellAll(ctx, stream, follower.Loads)
	})
	for {
		told, err := s.receive(ctx, stream)
		if err != nil {
			return
		}
		s.take(told, netip.AddrPort{})
	}
}

// follow keeps a stream to the address until ctx ends.
func (s *Spreader) follow(ctx context.Context, addr netip.AddrPort) {
	failed := false
	for ctx.Err() == nil {
		err := s.followOnce(ctx, addr, failed)
		if ctx.Err() != nil {
			return
		}
		if !failed {
			s.log.Info("Lost a control replica.", zap.Stringer("address", addr), zap.Error(err))
		}
		failed = true
		select {
		case <-ctx.Done():
		case <-s.clock.After(retryPause):
		}
	}
}

func (s *Spreader) followOnce(ctx context.Context, addr netip.AddrPort, again bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialCtx, dialled := context.WithTimeout(ctx, dialTimeout)
	stream, err := s.endpoint.Open(dialCtx, addr, &Follow{Process: s.cfg.Process, Address: s.cfg.Address, Region: s.cfg.Region, Loads: s.cfg.FollowAll})
	dialled()
	if err != nil {
		return err
	}
	defer stream.Cancel()
	var done sync.WaitGroup
	defer done.Wait()
	defer cancel()
	done.Go(func() {
		defer cancel()
		s.tellAll(ctx, stream, !s.cfg.FollowAll)
	})
	heard := false
	for {
		told, err := s.receive(ctx, stream)
		if err != nil {
			if errors.Is(err, context.DeadlineExceeded) {
				s.endpoint.Replace(addr)
			}
			return err
		}
		if !heard && again {
			s.log.Info("Regained a control replica.", zap.Stringer("address", addr))
		}
		heard = true
		s.take(told, addr)
	}
}

func (s *Spreader) receive(ctx context.Context, stream *connector.Stream) (*Told, error) {
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	msg, err := stream.Receive(ctx)
	if err != nil {
		return nil, err
	}
	told, ok := msg.(*Told)
	if !ok {
		return nil, errors.New("unexpected message on a stream of changes")
	}
	return told, nil
}

// teller is what one stream was told so far.
type teller struct {
	cursor    registrar.Cursor
	refreshed uint64
	replicas  *Replicas
	loads     bool
	loadRound uint64
	revision  declarer.Revision
}

// tellAll sends what changes until the stream breaks. What changes while a
// message is under way goes out together with the next.
func (s *Spreader) tellAll(ctx context.Context, stream *connector.Stream, loads bool) {
	t := &teller{loads: loads}
	beat := s.clock.NewTicker(beatInterval)
	defer beat.Stop()
	due := true
	for {
		told, changed := s.nextTold(t)
		news := !told.isEmpty() || told.Revision != t.revision
		t.revision = told.Revision
		if (due || news) && stream.Send(told) != nil {
			return
		}
		due = false
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-beat.Chan():
			due = true
		}
	}
}

// nextTold returns what the stream was not told yet, and what is closed at the
// next change.
func (s *Spreader) nextTold(t *teller) (*Told, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	told := &Told{Revision: s.view.Declared().Revision}
	known := s.replicas
	if s.own != nil {
		known = s.own
		told.Led = s.own.Led
	}
	if known != t.replicas {
		t.replicas = known
		told.Replicas = known
	}
	told.Records, t.cursor = s.table.Since(t.cursor)
	if s.refreshN != t.refreshed {
		told.Refreshes = s.refresh
		t.refreshed = s.refreshN
	}
	if t.loads && s.loadRound != t.loadRound {
		told.Loads = s.loadsSince(t.loadRound)
		t.loadRound = s.loadRound
	}
	return told, s.changed
}

// take merges what a peer told. from is set where this process follows it.
func (s *Spreader) take(told *Told, from netip.AddrPort) {
	now := s.clock.Now()
	changed := false
	s.mu.Lock()
	for _, r := range told.Records {
		changed = s.table.Merge(now, r) || changed
	}
	for _, f := range told.Refreshes {
		s.table.Refresh(now, f)
	}
	if !from.IsValid() {
		s.setLoads(told.Loads) // an agent's, for the others that follow this process
	}
	if from.IsValid() {
		h := s.heard[from]
		h.at = now
		if told.Led {
			h.ledAt = now
		}
		s.heard[from] = h
	}
	if told.Replicas != nil {
		s.learnReplicas(*told.Replicas)
	}
	if changed {
		s.tell()
	}
	s.mu.Unlock()
	if changed {
		s.notify()
	}
	if len(told.Loads) > 0 {
		for _, f := range s.loadWatchers {
			f(told.Loads)
		}
	}
	if from.IsValid() && told.Revision > s.view.Declared().Revision && s.beginFetch() {
		s.fetch(from)
	}
}

// beginFetch reports whether to fetch now: several replicas tell of a change at
// once, and one answer is enough unless it takes long.
func (s *Spreader) beginFetch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clock.Since(s.fetchedAt) < fetchPause {
		return false
	}
	s.fetchedAt = s.clock.Now()
	return true
}

// endFetch lets the next fetch begin.
func (s *Spreader) endFetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetchedAt = time.Time{}
}

// fetch brings what is declared to the revision of the address.
func (s *Spreader) fetch(addr netip.AddrPort) {
	defer s.endFetch()
	ctx, cancel := context.WithTimeout(s.ctx, fetchTimeout)
	defer cancel()
	msg, err := s.endpoint.Call(ctx, addr, &FetchDeclared{Have: s.view.Current(), WeightsOnly: !s.cfg.FollowAll})
	answer, ok := msg.(*DeclaredAnswer)
	if err != nil || !ok {
		s.log.Warn("Can't fetch what is declared; the next sign of life brings it.", zap.Stringer("address", addr), zap.Error(err))
		return
	}
	delta, err := answer.Delta.Unpack()
	if err != nil {
		s.log.Error("Can't read what is declared.", zap.Stringer("address", addr), zap.Error(err))
		return
	}
	if s.view.Merge(answer.Revision, delta, answer.Releases) {
		s.log.Info("Declaration is in force.", zap.Uint64("version", uint64(s.view.Current())),
			zap.Uint64("revision", uint64(answer.Revision)), zap.Bool("whole", delta.Whole), zap.Stringer("from", addr))
	}
}

func (s *Spreader) serveFetch(_ context.Context, stream *connector.Stream, first any) {
	request, ok := first.(*FetchDeclared)
	if !ok {
		return
	}
	declared := s.view.Declared()
	now, before := declared.Declaration, s.declaration(request)
	if request.WeightsOnly {
		now, before = now.ForWeights(), before.ForWeights()
	}
	delta, err := now.Since(before).Pack()
	if err != nil {
		s.log.Error("Can't tell what is declared.", zap.Error(err))
		return
	}
	answer := &DeclaredAnswer{Revision: declared.Revision, Delta: delta, Releases: declared.Releases}
	// A peer that went away asks again.
	_ = stream.Send(answer)
}

// declaration returns the version that the request has, or an empty one.
func (s *Spreader) declaration(request *FetchDeclared) declarer.Declaration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.history {
		if d.Version == request.Have {
			return d
		}
	}
	return declarer.Declaration{}
}
