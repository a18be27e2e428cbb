package spreader

import "celeryvalve/quarantiner"

// WatchQuarantine registers f, which is called with each newer summary of the
// quarantine. Call it before Start.
func (s *Spreader) WatchQuarantine(f func(quarantiner.Summary)) {
	s.quarantineWatchers = append(s.quarantineWatchers, f)
}

// Quarantine returns the newest summary of the quarantine.
func (s *Spreader) Quarantine() quarantiner.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.quarantine
}

// SetQuarantine passes a summary of the quarantine on, unless this process knows one
// that is as new. A control replica calls it with its own state.
func (s *Spreader) SetQuarantine(summary quarantiner.Summary) {
	s.mu.Lock()
	newer := summary.Revision > s.quarantine.Revision
	if newer {
		s.quarantine = summary
		s.signalChange()
	}
	s.mu.Unlock()
	if !newer {
		return
	}
	for _, f := range s.quarantineWatchers {
		f(summary)
	}
}
