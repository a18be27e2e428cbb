package spreader

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/identifier"
)

// SetSeeds replaces the seeds: addresses of processes that know the control
// replicas. It reports whether they have changed.
func (s *Spreader) SetSeeds(seeds []netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := !slices.Equal(seeds, s.seeds)
	s.seeds = seeds
	return changed
}

// SetReplicas sets the list of control replicas that this process, itself a
// control replica, sends to its peers. It overwrites Regions with the regions of
// this process and its followers.
func (s *Spreader) SetReplicas(r Replicas) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.led.set(s.clock.Now(), r.Led)
	r.Regions = make(map[string]identifier.Region, len(r.Addresses))
	for _, a := range r.Addresses {
		if region, ok := s.regions[a.String()]; ok {
			r.Regions[a.String()] = region
		}
	}
	same := s.ownReplicas != nil && s.ownReplicas.Index == r.Index && s.ownReplicas.Led == r.Led &&
		slices.Equal(s.ownReplicas.Addresses, r.Addresses) && maps.Equal(s.ownReplicas.Regions, r.Regions)
	if same {
		return
	}
	s.ownReplicas = &r
	s.updateReplicas(r)
	s.signalChange()
}

// ReplicaList returns the newest list of control replicas that this process knows.
func (s *Spreader) ReplicaList() Replicas {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.replicas
}

// ReplicaAddresses returns the addresses at which to look for control replicas. Those of
// the newest list come first. The seeds follow as long as there is no list, or
// if none of its replicas knows the leader.
func (s *Spreader) ReplicaAddresses() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.candidates()
}

// IsSilent reports whether a control replica that this process follows and has heard from
// has sent nothing for heartbeatTimeout.
func (s *Spreader) IsSilent(addr netip.AddrPort) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	status, ok := s.statuses[addr]
	return ok && s.clock.Since(status.lastReceived) > heartbeatTimeout
}

// RegionOf returns the region of a control replica, or "" if it is not known.
func (s *Spreader) RegionOf(addr netip.AddrPort) identifier.Region {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas.Regions[addr.String()]
}

func (s *Spreader) candidates() []netip.AddrPort {
	list := slices.Clone(s.replicas.Addresses)
	if len(list) == 0 || s.isWithoutControl() {
		for _, seed := range s.seeds {
			if !slices.Contains(list, seed) {
				list = append(list, seed)
			}
		}
	}
	return list
}

// isWithoutControl reports whether no followed process has known the leader within twice
// heartbeatTimeout. All replicas of the list may have been replaced in the meantime, and one
// that was removed may still respond. It is always false on a control replica, which follows
// its unconnected seeds besides.
func (s *Spreader) isWithoutControl() bool {
	if s.ownReplicas != nil {
		return false
	}
	for _, status := range s.statuses {
		if s.clock.Since(status.lastLed) < 2*heartbeatTimeout {
			return false
		}
	}
	return true
}

// unconnectedSeeds returns the seeds that neither are in the list nor follow this control
// replica. A process that knows only such seeds can't find the replicas by itself, and a
// replica whose list is out of date can't find its successors.
func (s *Spreader) unconnectedSeeds(list []netip.AddrPort) []netip.AddrPort {
	connected := make(map[netip.AddrPort]bool)
	for _, seen := range s.entriesSeen {
		if s.clock.Since(seen.heardAt) <= heartbeatTimeout {
			connected[seen.address] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(s.seeds), func(seed netip.AddrPort) bool {
		return seed == s.cfg.Address || connected[seed] || slices.Contains(list, seed)
	})
}

// updateReplicas stores the list unless it is empty, older than the current one or
// created by a replica without a leader. The caller holds s.mu.
func (s *Spreader) updateReplicas(r Replicas) {
	if !r.Led || len(r.Addresses) == 0 || r.Index < s.replicas.Index {
		return
	}
	r.Regions = s.knownRegions(r)
	same := r.Index == s.replicas.Index && slices.Equal(r.Addresses, s.replicas.Addresses) && maps.Equal(r.Regions, s.replicas.Regions)
	if !same {
		s.replicas = &r
	}
}

// knownRegions returns the regions of the listed replicas. A replica that does not know some
// of them yet must not make others forget them, since mirrors that know different regions
// read the same chunks from the origin. The caller holds s.mu.
func (s *Spreader) knownRegions(r Replicas) map[string]identifier.Region {
	regions := maps.Clone(r.Regions)
	if regions == nil {
		regions = make(map[string]identifier.Region)
	}
	for _, a := range r.Addresses {
		addr := a.String()
		if _, ok := regions[addr]; ok {
			continue
		}
		if region, ok := s.replicas.Regions[addr]; ok {
			regions[addr] = region
		} else if region, ok := s.regions[addr]; ok {
			regions[addr] = region
		}
	}
	return regions
}

// replicasToFollow returns the addresses to which streams are kept open. With
// FollowAll these are all candidates, and on a control replica the unconnected seeds. Otherwise the process stays with its replica
// while that one sends updates and knows the leader, but for one in its region, which
// it tries every nearRetryDelay. Without such a replica it selects one by a hash of its
// name, which distributes the agents over the replicas, and another one after each
// noLeaderTimeout.
func (s *Spreader) replicasToFollow() []netip.AddrPort {
	list := slices.DeleteFunc(s.candidates(), func(a netip.AddrPort) bool { return a == s.cfg.Address })
	if s.ownReplicas != nil {
		list = append(list, s.unconnectedSeeds(list)...)
	}
	if s.cfg.FollowAll || len(list) == 0 {
		return list
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int { return a.Compare(b) })
	near := s.inOwnRegion(list)
	for addr := range s.streams {
		status, ok := s.statuses[addr]
		if !slices.Contains(list, addr) || !ok || s.clock.Since(status.lastReceived) >= heartbeatTimeout || s.clock.Since(status.lastLed) >= noLeaderTimeout {
			continue
		}
		if len(near) == 0 || slices.Contains(near, addr) || s.clock.Since(s.nearTriedAt) < nearRetryDelay {
			return []netip.AddrPort{addr}
		}
		s.nearTriedAt = s.clock.Now()
		return []netip.AddrPort{near[s.position(len(near))]}
	}
	rotation := uint64(s.clock.Now().UnixNano() / int64(noLeaderTimeout))
	if len(s.streams) == 0 {
		rotation = 0
	}
	index := (xxhash.Sum64String(s.cfg.Process) + rotation) % uint64(len(list))
	return []netip.AddrPort{list[index]}
}

// inOwnRegion returns the replicas of the list that are in this process's region.
func (s *Spreader) inOwnRegion(list []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(list), func(a netip.AddrPort) bool {
		return s.replicas.Regions[a.String()] != s.cfg.Region
	})
}
