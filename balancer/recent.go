package balancer

import (
	"time"

	"celeryvalve/quarantiner"
)

const (
	// completionRetention is how long a completed request protects those with the same
	// fingerprint from suspicion at least, unless maxCompletions others complete sooner.
	completionRetention = 30 * time.Second
	maxCompletions      = 4096
)

// recentSet is a bounded set of fingerprints that were added in the last
// completionRetention, and of some that were added up to twice as long ago.
type recentSet struct {
	current, previous map[quarantiner.Fingerprint]bool
	rotatedAt         time.Time
}

func (s *recentSet) rotate(now time.Time) {
	age := now.Sub(s.rotatedAt)
	if s.current != nil && len(s.current) < maxCompletions && age < completionRetention {
		return
	}
	s.previous = s.current
	if age >= 2*completionRetention {
		s.previous = nil
	}
	s.current = make(map[quarantiner.Fingerprint]bool)
	s.rotatedAt = now
}

func (s *recentSet) add(now time.Time, f quarantiner.Fingerprint) {
	s.rotate(now)
	s.current[f] = true
}

func (s *recentSet) contains(now time.Time, f quarantiner.Fingerprint) bool {
	s.rotate(now)
	return s.current[f] || s.previous[f]
}
