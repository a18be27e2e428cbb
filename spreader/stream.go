package spreader

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"celeryvalve/catcher"
	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/encoder"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
	"celeryvalve/registrar"
)

// HandlerRegistry registers handlers for kinds of messages.
type HandlerRegistry interface {
	Handle(kind encoder.Kind, h connector.Handler)
}

// Register registers the handlers for requests of followers.
func (s *Spreader) Register(h HandlerRegistry) {
	h.Handle(FollowKind, s.serveFollow)
	h.Handle(FetchDeclarationKind, s.serveFetch)
}

// serveFollow sends updates to a follower and applies the updates received from it.
func (s *Spreader) serveFollow(ctx context.Context, stream *connector.Stream, first any) {
	follower, ok := first.(*FollowRequest)
	if !ok || s.ctx.Err() != nil {
		return
	}
	s.mu.Lock()
	if follower.Loads {
		s.noteEntry(follower, false)
	}
	if follower.Address.IsValid() && identifier.CheckOptionalName("region", follower.Region) == nil {
		s.regions[follower.Address.String()] = follower.Region
	}
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.ctx, cancel)
	defer stop()
	sent := &sentState{includeLoads: follower.Loads, follower: follower, known: newKnownRecords(s.clock.Now(), follower.Digests)}
	follower.Digests = nil // follower is kept as long as the stream
	var done sync.WaitGroup
	defer done.Wait()
	done.Go(func() {
		defer cancel()
		s.sendUpdates(ctx, stream, sent)
	})
	in := &incoming{spreader: s, stream: stream}
	for {
		update, err := in.next(ctx)
		if err != nil {
			return
		}
		s.applyUpdate(update, netip.AddrPort{}, sent)
		if follower.Loads {
			s.mu.Lock()
			s.noteEntry(follower, update.TakesRequests)
			s.mu.Unlock()
		}
	}
}

// follow keeps a stream to addr open until ctx ends.
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
		case <-s.clock.After(s.reconnectDelayTo(addr)):
		}
	}
}

// reconnectDelayTo returns the pause before the next attempt to follow addr. A control replica
// tries a seed that is none seldom: it may have been gone for long.
func (s *Spreader) reconnectDelayTo(addr netip.AddrPort) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ownReplicas != nil && len(s.replicas.Addresses) > 0 && !slices.Contains(s.replicas.Addresses, addr) {
		return seedRetryDelay
	}
	return reconnectDelay
}

func (s *Spreader) followOnce(ctx context.Context, addr netip.AddrPort, reconnecting bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	request, sent := s.newFollowRequest(addr)
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	stream, err := s.endpoint.Open(dialCtx, addr, request)
	cancelDial()
	if err != nil {
		return err
	}
	defer stream.Cancel()
	defer s.catchUp(catcher.Left{Peer: addr})
	var done sync.WaitGroup
	defer done.Wait()
	defer cancel()
	done.Go(func() {
		defer cancel()
		s.sendUpdates(ctx, stream, sent)
	})
	received := false
	in := &incoming{spreader: s, stream: stream}
	for {
		update, err := in.next(ctx)
		if err != nil {
			if errors.Is(err, context.DeadlineExceeded) {
				s.endpoint.Replace(addr)
			}
			return err
		}
		if !received && reconnecting {
			s.log.Info("Regained a control replica.", zap.Stringer("address", addr))
		}
		received = true
		s.applyUpdate(update, addr, sent)
	}
}

// newFollowRequest returns the first message of a stream to addr, and the state of the stream.
func (s *Spreader) newFollowRequest(addr netip.AddrPort) (*FollowRequest, *sentState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := &FollowRequest{
		Process: s.cfg.Process, Address: s.cfg.Address, Region: s.cfg.Region, AvailabilityZone: s.cfg.AvailabilityZone,
		Loads: s.cfg.FollowAll, Start: s.startedAt.UnixNano(), Digests: s.encodeDigests(),
	}
	sent := &sentState{includeLoads: !s.cfg.FollowAll, followed: addr, backlog: s.newBacklog()}
	if sent.backlog != nil {
		sent.cursor = sent.backlog.upTo
	}
	return request, sent
}

func (s *Spreader) receive(ctx context.Context, stream *connector.Stream) (*Update, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	msg, err := stream.Receive(ctx)
	if err != nil {
		return nil, err
	}
	update, ok := msg.(*Update)
	if !ok {
		return nil, errors.New("unexpected message on a stream of updates")
	}
	return update, nil
}

// sentState records what has been sent on one stream.
type sentState struct {
	// follower is the process at the other end, or nil if this process follows it.
	follower *FollowRequest
	// followed is the address of the replica at the other end, if this process follows it.
	followed netip.AddrPort
	// wantsRefreshes is set if the follower at the other end wants refreshes.
	wantsRefreshes bool
	// received holds the changes of records that the other end told, which it is not sent.
	received     map[identifier.Upstream]registrar.Cursor
	caches       []netip.AddrPort
	cursor       registrar.Cursor
	refreshRound uint64
	reportRound  uint64
	replicas     *Replicas
	includeLoads bool
	loadRound    uint64
	revision     declarer.Revision
	quarantine   quarantiner.Summary
	quarantineAt time.Time
	serving      []ServingEntry
	// known holds what the follower at the other end had when the stream began, if it has said
	// so and that is not long ago.
	known *knownRecords
	// backlog is the table that this follower may still have to send, and peerSum the sum of
	// the table of the replica that it follows.
	backlog *backlog
	peerSum uint64
}

// peer names the process at the other end in logs.
func (s *sentState) peer() string {
	if s.follower != nil {
		return s.follower.Process
	}
	return s.followed.String()
}

// sendUpdates sends changes and heartbeats until the stream breaks. Changes that
// occur while an update is being sent are combined in the next one.
func (s *Spreader) sendUpdates(ctx context.Context, stream *connector.Stream, sent *sentState) {
	heartbeat := s.clock.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	heartbeatDue := true
	for {
		update, changed := s.nextUpdate(sent)
		pending := !update.isEmpty() || update.Revision != sent.revision
		sent.revision = update.Revision
		if heartbeatDue || pending {
			for _, part := range update.parts() {
				if err := stream.Send(part); err != nil {
					s.logUnsent(stream, err)
					return
				}
			}
		}
		heartbeatDue = false
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-heartbeat.Chan():
			heartbeatDue = true
		}
	}
}

// logUnsent logs that a message could not be sent, unless its stream has failed: that one is
// logged by the process that follows.
func (s *Spreader) logUnsent(stream *connector.Stream, err error) {
	if explainer.KindOf(err) != explainer.Unavailable {
		s.log.Error("Can't send a message.", zap.String("peer", stream.Peer().Name), zap.Stringer("address", stream.Peer().Address), zap.Error(err))
	}
}

// nextUpdate returns the changes not yet sent on the stream, and a channel that is
// closed at the next change.
func (s *Spreader) nextUpdate(sent *sentState) (*Update, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update := &Update{Revision: s.view.Declared().Revision, TakesRequests: s.takesRequests != nil && s.takesRequests()}
	known := s.replicas
	if s.ownReplicas != nil {
		known = s.ownReplicas
		update.Led = s.ownReplicas.Led
		update.StartedAgo = s.clock.Since(s.startFor(sent))
		update.TableSum = s.largeTableSum()
		if sent.includeLoads {
			update.Entries = s.countFollowers()
			if update.Led {
				update.LedFor = s.led.duration(s.clock.Now())
			}
			if serving := s.followersServing(); !slices.Equal(serving, sent.serving) {
				sent.serving = serving
				update.Serving = &ServingEntries{Entries: serving}
			}
		}
	}
	if s.ownReplicas != nil && sent.follower != nil {
		if caches := s.cachesIn(sent.follower.Region); !slices.Equal(caches, sent.caches) {
			sent.caches = caches
			update.Caches = &CacheList{Addresses: caches}
		}
	}
	if known != sent.replicas {
		sent.replicas = known
		update.Replicas = known
	}
	update.Records = s.nextRecords(sent)
	update.WantsRefreshes = sent.followed.IsValid() && s.wantsRefreshesFrom(sent.followed)
	update.Refreshes = s.nextRefreshes(sent)
	if sent.includeLoads && s.loadRound != sent.loadRound {
		update.Loads = s.loadsSince(sent.loadRound)
		sent.loadRound = s.loadRound
	}
	if sent.includeLoads && s.quarantineIsDue(sent) {
		quarantine := s.quarantine
		update.Quarantine = &quarantine
		sent.quarantine, sent.quarantineAt = quarantine, s.clock.Now()
	}
	return update, s.changed
}

// applyUpdate merges an update from a peer. from is the peer's address if this
// process follows it, and zero if the peer is a follower.
func (s *Spreader) applyUpdate(update *Update, from netip.AddrPort, sent *sentState) {
	now := s.clock.Now()
	changed := false
	s.leaveOutUnreadable(update, sent.peer())
	s.mu.Lock()
	for _, r := range update.Records {
		changed = s.table.Merge(now, r) || changed
		s.noteReceived(r, sent)
	}
	sent.wantsRefreshes = update.WantsRefreshes
	sent.peerSum = update.TableSum
	for _, f := range update.Refreshes {
		s.table.Refresh(now, f)
	}
	if !from.IsValid() {
		s.setLoads(update.Loads) // from an agent, to be sent to the other followers
	}
	if from.IsValid() {
		status := s.statuses[from]
		status.lastReceived = now
		status.noteStart(now, update.StartedAgo)
		if update.Led {
			status.lastLed = now
			status.ledFor = update.LedFor
		}
		if update.Entries > 0 {
			status.entries = update.Entries
		}
		if update.Serving != nil {
			status.serving = update.Serving.Entries
		}
		s.statuses[from] = status
	}
	if update.Replicas != nil {
		s.updateReplicas(*update.Replicas)
	}
	if update.Caches != nil {
		s.updateCaches(*update.Caches)
	}
	if changed {
		s.signalChange()
	}
	entriesChanged := s.updateEntries()
	entries := s.entries
	s.mu.Unlock()
	if changed {
		s.notifyWatchers()
	}
	if entriesChanged {
		s.notifyEntries(entries)
	}
	if update.Serving != nil {
		s.notifyServing()
	}
	if update.Quarantine != nil {
		s.SetQuarantine(*update.Quarantine)
	}
	if len(update.Loads) > 0 {
		for _, f := range s.loadWatchers {
			f(update.Loads)
		}
	}
	if from.IsValid() {
		s.catchUp(catcher.Told{Peer: from, Revision: catcher.Revision(update.Revision), Confirmed: update.Led})
	}
}
