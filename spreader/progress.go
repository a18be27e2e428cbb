package spreader

import (
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"celeryvalve/catcher"
	"celeryvalve/declarer"
)

// behindLogDelay is how long this process must be behind before that is logged. A change is
// fetched within a round trip, and is no news by itself.
const behindLogDelay = time.Second

// fetchMetrics counts the fetches of the declared state by their result.
type fetchMetrics struct {
	newer, unchanged, failed *metrics.Counter
}

func newFetchMetrics(set *metrics.Set) fetchMetrics {
	return fetchMetrics{
		newer:     set.NewCounter(`celeryvalve_declaration_fetches_total{result="Newer"}`),
		unchanged: set.NewCounter(`celeryvalve_declaration_fetches_total{result="Unchanged"}`),
		failed:    set.NewCounter(`celeryvalve_declaration_fetches_total{result="Failed"}`),
	}
}

// exposeProgress adds the gauges of this process's progress to the set.
func (s *Spreader) exposeProgress(set *metrics.Set) {
	set.NewGauge("celeryvalve_declaration_revision", func() float64 { return float64(s.Progress().Held) })
	set.NewGauge("celeryvalve_declaration_revision_announced", func() float64 { return float64(s.Progress().Announced) })
	set.NewGauge("celeryvalve_declaration_behind_seconds", func() float64 {
		p := s.Progress()
		if p.BehindSince.IsZero() {
			return 0
		}
		return s.clock.Since(p.BehindSince).Seconds()
	})
	set.NewGauge("celeryvalve_declaration_unconfirmed_seconds", func() float64 { return s.unconfirmedFor().Seconds() })
	set.NewGauge("celeryvalve_control_replicas_known", func() float64 { return float64(len(s.ReplicaList().Addresses)) })
	set.NewGauge("celeryvalve_control_replicas_heard", func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.countHeard())
	})
}

// Progress returns how far this process has followed the declared state.
func (s *Spreader) Progress() catcher.Progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.catcher.Progress()
}

// unconfirmedFor returns how long ago the held state was last confirmed as the newest: by an
// update of a control replica that knows the leader, or by this process if it is one. Before
// the first time it counts from the start.
func (s *Spreader) unconfirmedFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	confirmedAt := s.catcher.ConfirmedAt()
	switch {
	case s.ownReplicas != nil && s.ownReplicas.Led && s.catcher.Progress().BehindSince.IsZero():
		return 0
	case confirmedAt.IsZero():
		return s.clock.Since(s.startedAt)
	default:
		return s.clock.Since(confirmedAt)
	}
}

// countHeard returns how many of the processes that this one follows are heard. The caller
// holds s.mu.
func (s *Spreader) countHeard() int {
	n := 0
	for addr := range s.statuses {
		if s.isHeard(addr) {
			n++
		}
	}
	return n
}

// logProgress writes one line when this process has been behind for behindLogDelay, and one
// when it has caught up, or when nobody holds the announced state any more.
func (s *Spreader) logProgress() {
	p := s.Progress()
	held := zap.Uint64("held", uint64(p.Held))
	switch {
	case s.behindLogged == 0 && !p.BehindSince.IsZero() && s.clock.Since(p.BehindSince) >= behindLogDelay:
		s.behindLogged = declarer.Revision(p.Announced)
		s.log.Warn("Behind the declared state.", held, zap.Uint64("announced", uint64(p.Announced)), zap.Time("since", p.BehindSince))
	case s.behindLogged > 0 && p.BehindSince.IsZero():
		if declarer.Revision(p.Held) >= s.behindLogged {
			s.log.Info("Caught up with the declared state.", held)
		} else {
			s.log.Warn("Gave up a state that no process holds.", held, zap.Uint64("announced", uint64(s.behindLogged)))
		}
		s.behindLogged = 0
	}
}

// logFollowed writes a line when this process follows others than before. The caller holds
// s.mu.
func (s *Spreader) logFollowed(wanted []netip.AddrPort) {
	sorted := slices.SortedFunc(slices.Values(wanted), netip.AddrPort.Compare)
	if slices.Equal(sorted, s.followedLogged) {
		return
	}
	s.followedLogged = sorted
	s.log.Info("Follows other processes.", zap.Stringers("addresses", sorted), zap.Int("replicas", len(s.replicas.Addresses)),
		zap.Uint64("listIndex", s.replicas.Index), zap.Stringers("seeds", s.seeds))
}
