package spreader

import (
	"context"

	"celeryvalve/registrar"
)

// loadEntry is a load with the round of its last change.
type loadEntry struct {
	load  registrar.Load
	round uint64
}

// WatchLoads calls f with the loads that came. Call it before Start.
func (s *Spreader) WatchLoads(f func([]registrar.Load)) {
	s.loadWatchers = append(s.loadWatchers, f)
}

// ReportLoad takes in the load of the upstream beside this process.
func (s *Spreader) ReportLoad(l registrar.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLoads([]registrar.Load{l})
}

// setLoads takes in loads to be told with the next round. The caller holds the
// lock.
func (s *Spreader) setLoads(loads []registrar.Load) {
	for _, l := range loads {
		if s.loads[l.Upstream].load == l {
			continue
		}
		s.loads[l.Upstream] = loadEntry{load: l, round: s.loadRound + 1}
		s.loadsChanged = true
	}
}

// tellLoads ends a round.
func (s *Spreader) tellLoads(context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loadsChanged {
		return
	}
	s.loadsChanged = false
	s.loadRound++
	s.tell()
}

// loadsSince returns the loads that changed after the round.
func (s *Spreader) loadsSince(round uint64) []registrar.Load {
	var list []registrar.Load
	for _, e := range s.loads {
		if e.round > round && e.round <= s.loadRound {
			list = append(list, e.load)
		}
	}
	return list
}
