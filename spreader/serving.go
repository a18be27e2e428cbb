package spreader

import (
	"cmp"
	"slices"

	"celeryvalve/identifier"
)

// ServingEntry is an entry that takes callers' requests.
type ServingEntry struct {
	_                struct{} `cbor:",toarray"`
	Entry            identifier.Instance
	AvailabilityZone identifier.AvailabilityZone
}

// ServingEntries is a list of entries that take callers' requests, sorted by name.
type ServingEntries struct {
	Entries []ServingEntry
}

// ReportServing registers f, which reports whether callers send requests to this process.
// Without it the process is not listed among those that take requests. Call it before
// Start.
func (s *Spreader) ReportServing(f func() bool) {
	s.takesRequests = f
}

// WatchServing registers f, which is called regularly, and at changes, with all entries
// that take requests: those that any control replica has heard of within heartbeatTimeout.
// The list is empty while no control replica is reached. Call it before Start.
func (s *Spreader) WatchServing(f func([]ServingEntry)) {
	s.servingWatchers = append(s.servingWatchers, f)
}

// followersServing returns the entries that take requests, as this control replica knows
// them: its followers and itself. The caller holds s.mu.
func (s *Spreader) followersServing() []ServingEntry {
	var list []ServingEntry
	for _, seen := range s.entriesSeen {
		if seen.takesRequests && s.clock.Since(seen.heardAt) <= heartbeatTimeout {
			list = append(list, seen.entry)
		}
	}
	if s.takesRequests != nil && s.takesRequests() {
		list = append(list, ServingEntry{Entry: identifier.Instance(s.cfg.Process), AvailabilityZone: s.cfg.AvailabilityZone})
	}
	return sortServing(list)
}

// sortServing sorts the list by name and removes duplicates, such as the processes before
// and after a restart.
func sortServing(list []ServingEntry) []ServingEntry {
	slices.SortFunc(list, func(a, b ServingEntry) int { return cmp.Compare(a.Entry, b.Entry) })
	return slices.CompactFunc(list, func(a, b ServingEntry) bool { return a.Entry == b.Entry })
}

// notifyServing passes the entries that take requests to the watchers.
func (s *Spreader) notifyServing() {
	s.mu.Lock()
	var list []ServingEntry
	if s.ownReplicas != nil {
		list = s.followersServing()
	}
	for _, status := range s.statuses {
		if s.clock.Since(status.lastReceived) <= heartbeatTimeout {
			list = append(list, status.serving...)
		}
	}
	s.mu.Unlock()
	list = sortServing(list)
	for _, f := range s.servingWatchers {
		f(list)
	}
}
