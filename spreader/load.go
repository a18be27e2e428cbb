package spreader

import (
	"context"

	"celeryvalve/registrar"
)

// loadEntry holds the last load of an upstream and the round in which it changed.
type loadEntry struct {
	load  registrar.Load
	round uint64
}

// WatchLoads registers f, which is called with the loads of each received update.
// Call it before Start.
func (s *Spreader) WatchLoads(f func([]registrar.Load)) {
	s.loadWatchers = append(s.loadWatchers, f)
}

// ReportLoad records the load of the upstream on this process's instance. It is
// sent at the end of the current round.
func (s *Spreader) ReportLoad(l registrar.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLoads([]registrar.Load{l})
}

// setLoads records the loads that changed, to be sent at the end of the current
// round. The caller holds s.mu.
func (s *Spreader) setLoads(loads []registrar.Load) {
	for _, l := range loads {
		if s.loads[l.Upstream].load == l {
			continue
		}
		s.loads[l.Upstream] = loadEntry{load: l, round: s.loadRound + 1}
		s.loadsChanged = true
	}
}

// publishLoads ends the current round, so that the loads that changed in it are
// sent. A round without changes continues.
func (s *Spreader) publishLoads(context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loadsChanged {
		return
	}
	s.loadsChanged = false
	s.loadRound++
	s.signalChange()
}

// loadsSince returns the loads that changed after the given round, up to the last
// round that has ended.
func (s *Spreader) loadsSince(round uint64) []registrar.Load {
	var list []registrar.Load
	for _, e := range s.loads {
		if e.round > round && e.round <= s.loadRound {
			list = append(list, e.load)
		}
	}
	return list
}
