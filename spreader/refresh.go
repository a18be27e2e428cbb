package spreader

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/identifier"
	"celeryvalve/registrar"
)

// nextRefreshes returns the refreshes that the other end of a stream was not sent yet. A
// replica sends those of all upstreams, to the followers that want them and to the replicas
// that it follows itself. Any other process sends those of the upstreams that reported to it.
// The caller holds s.mu.
func (s *Spreader) nextRefreshes(sent *sentState) []registrar.Refresh {
	switch {
	case sent.follower != nil && !sent.wantsRefreshes:
	case sent.follower == nil && s.ownReplicas == nil:
		if sent.reportRound != s.reportRound {
			sent.reportRound = s.reportRound
			return s.ownRefreshes
		}
	case sent.refreshRound != s.refreshRound:
		sent.refreshRound = s.refreshRound
		return s.refreshes
	}
	return nil
}

// wantsRefreshesFrom reports whether this process wants refreshes from the replica: replicas
// want them from each other, other processes from one replica. The caller holds s.mu.
func (s *Spreader) wantsRefreshesFrom(addr netip.AddrPort) bool {
	return s.ownReplicas != nil || addr == s.primary
}

// choosePrimary chooses the replica to get refreshes from, among those that are followed. It
// stays with one while that one is heard and knows the leader. One that is heard has to do
// where none knows the leader. The caller holds s.mu.
func (s *Spreader) choosePrimary(followed []netip.AddrPort) {
	if slices.Contains(followed, s.primary) && s.isLed(s.primary) {
		return
	}
	for _, isUsable := range []func(netip.AddrPort) bool{s.isLed, s.isHeard} {
		usable := slices.DeleteFunc(s.nearest(followed), func(a netip.AddrPort) bool { return !isUsable(a) })
		if len(usable) > 0 {
			s.primary = usable[s.position(len(usable))]
			return
		}
	}
}

// isLed reports whether the followed replica is heard and knows the leader. The caller holds
// s.mu.
func (s *Spreader) isLed(addr netip.AddrPort) bool {
	return s.clock.Since(s.statuses[addr].lastLed) < heartbeatTimeout
}

// isHeard reports whether the followed replica is heard. The caller holds s.mu.
func (s *Spreader) isHeard(addr netip.AddrPort) bool {
	return s.clock.Since(s.statuses[addr].lastReceived) < heartbeatTimeout
}

// nearest returns a copy of the list, with the replicas of this process's region alone if one
// of them is led, so that as little as possible crosses regions. The caller holds s.mu.
func (s *Spreader) nearest(list []netip.AddrPort) []netip.AddrPort {
	near := s.inOwnRegion(list)
	if slices.ContainsFunc(near, s.isLed) {
		return near
	}
	return slices.Clone(list)
}

// position distributes processes over the elements of a list of replicas.
func (s *Spreader) position(n int) int {
	return int(xxhash.Sum64String(s.cfg.Process) % uint64(n))
}

// noteReceived records that the other end of the stream has told the record as it is known
// here. The caller holds s.mu.
func (s *Spreader) noteReceived(r registrar.Record, sent *sentState) {
	if !s.table.Holds(r) {
		return
	}
	if sent.received == nil {
		sent.received = make(map[identifier.Upstream]registrar.Cursor)
	}
	sent.received[r.Upstream] = s.table.LastChange(r.Upstream)
}

// withoutReceived removes the records that the other end has told itself. The caller holds
// s.mu.
func (s *Spreader) withoutReceived(records []registrar.Record, sent *sentState) []registrar.Record {
	if len(sent.received) == 0 {
		return records
	}
	records = slices.DeleteFunc(records, func(r registrar.Record) bool {
		return sent.received[r.Upstream] == s.table.LastChange(r.Upstream)
	})
	clear(sent.received)
	return records
}
