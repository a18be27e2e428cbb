package spreader

import (
	"slices"
	"time"

	"celeryvalve/quarantiner"
)

// WatchQuarantine registers f, which is called with each newer summary of the
// quarantine. Call it before Start.
func (s *Spreader) WatchQuarantine(f func(quarantiner.Summary)) {
	s.quarantineWatchers = append(s.quarantineWatchers, f)
}

// quarantineInterval is the least time between two summaries on one stream while only their
// suspects change. Several upstreams may crash in a second, and each crash changes them.
const quarantineInterval = 100 * time.Millisecond

// quarantineIsDue reports whether to send the summary on the stream now. One that is not due
// yet is sent with a later change or heartbeat. The caller holds s.mu.
func (s *Spreader) quarantineIsDue(sent *sentState) bool {
	if s.quarantine.Revision == sent.quarantine.Revision {
		return false
	}
	refusesOthers := !slices.Equal(s.quarantine.Refused, sent.quarantine.Refused) || !slices.Equal(s.quarantine.Pairs, sent.quarantine.Pairs) ||
		!slices.Equal(s.quarantine.Probation, sent.quarantine.Probation)
	return refusesOthers || s.clock.Since(sent.quarantineAt) >= quarantineInterval
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
