package spreader

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"celeryvalve/identifier"
)

// entryMemory is how long a process of an entry counts after its last update. It is two
// windows of a retry budget, so that what a process used before it ended is accounted for
// while its successor runs.
const entryMemory = 20 * time.Second

// seenEntry is a process of an entry that follows this process.
type seenEntry struct {
	entry         ServingEntry
	address       netip.AddrPort
	region        identifier.Region
	heardAt       time.Time
	takesRequests bool
}

// WatchEntries registers f, which is called with the number of entries whenever it
// changes. An entry that restarts counts twice for entryMemory. Call it before Start.
func (s *Spreader) WatchEntries(f func(entries int)) {
	s.entryWatchers = append(s.entryWatchers, f)
}

// noteEntry records that a process of an entry follows this one, and whether callers send
// requests to it. The caller holds s.mu.
func (s *Spreader) noteEntry(f *FollowRequest, takesRequests bool) {
	s.entriesSeen[fmt.Sprintf("%s/%d", f.Process, f.Start)] = seenEntry{
		entry:         ServingEntry{Entry: identifier.Instance(f.Process), AvailabilityZone: f.AvailabilityZone},
		address:       f.Address,
		region:        f.Region,
		heardAt:       s.clock.Now(),
		takesRequests: takesRequests,
	}
}

// countFollowers returns the number of entries that follow this process or did so less
// than entryMemory ago, with this process if it is one. The caller holds s.mu.
func (s *Spreader) countFollowers() int {
	for process, seen := range s.entriesSeen {
		if s.clock.Since(seen.heardAt) > entryMemory {
			delete(s.entriesSeen, process)
		}
	}
	if s.cfg.FollowAll {
		return len(s.entriesSeen) + 1
	}
	return len(s.entriesSeen)
}

// updateEntries takes the largest number of entries that a replica has counted, and
// returns whether it changed. The caller holds s.mu.
func (s *Spreader) updateEntries() bool {
	n := s.countFollowers()
	for _, status := range s.statuses {
		if s.clock.Since(status.lastReceived) < entryMemory {
			n = max(n, status.entries)
		}
	}
	changed := n != s.entries
	s.entries = n
	return changed
}

func (s *Spreader) notifyEntries(entries int) {
	for _, f := range s.entryWatchers {
		f(entries)
	}
}

// Caches returns the addresses of the entries in this process's region, as the control
// replica that it follows knows them.
func (s *Spreader) Caches() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caches
}

// cachesIn returns the followers of this control replica that are entries in the region.
// The caller holds s.mu.
func (s *Spreader) cachesIn(region identifier.Region) []netip.AddrPort {
	var list []netip.AddrPort
	for _, seen := range s.entriesSeen {
		if seen.region == region && seen.address.IsValid() && s.clock.Since(seen.heardAt) <= heartbeatTimeout {
			list = append(list, seen.address)
		}
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	return slices.Compact(list)
}

// updateCaches takes the list of a replica. A process that follows several replicas takes
// that of any of them, since all know the same entries but for short times. The caller
// holds s.mu.
func (s *Spreader) updateCaches(list CacheList) {
	s.caches = list.Addresses
}
