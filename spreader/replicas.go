package spreader

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/identifier"
)

// SetSeeds replaces the addresses from which replicas are found.
func (s *Spreader) SetSeeds(seeds []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = seeds
}

// SetReplicas is told by a control replica what it knows of all of them.
func (s *Spreader) SetReplicas(r Replicas) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.Regions = make(map[string]identifier.Region, len(r.Addresses))
	for _, a := range r.Addresses {
		if region, ok := s.regions[a.String()]; ok {
			r.Regions[a.String()] = region
		}
	}
	same := s.own != nil && s.own.Index == r.Index && s.own.Led == r.Led &&
		slices.Equal(s.own.Addresses, r.Addresses) && maps.Equal(s.own.Regions, r.Regions)
	if same {
		return
	}
	s.own = &r
	s.learnReplicas(r)
	s.tell()
}

// Membership returns the newest list of control replicas that is known here.
func (s *Spreader) Membership() Replicas {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.replicas
}

// Replicas returns where control replicas are to be found, nearest knowledge
// first: the newest list, or the seeds before any list came.
func (s *Spreader) Replicas() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets()
}

// RegionOf returns the region of a control replica, or nothing where it is not
// known.
func (s *Spreader) RegionOf(addr netip.AddrPort) identifier.Region {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replicas.Regions[addr.String()]
}

func (s *Spreader) targets() []netip.AddrPort {
	list := slices.Clone(s.replicas.Addresses)
	if len(list) == 0 || s.lost() {
		for _, seed := range s.seeds {
			if !slices.Contains(list, seed) {
				list = append(list, seed)
			}
		}
	}
	return list
}

// lost reports whether no replica of the list has been heard for long: all of
// them may have been replaced meanwhile.
func (s *Spreader) lost() bool {
	if s.own != nil {
		return false
	}
	for _, h := range s.heard {
		if s.clock.Since(h.at) < 2*silenceTimeout {
			return false
		}
	}
	return true
}

func (s *Spreader) learnReplicas(r Replicas) {
	if !r.Led || len(r.Addresses) == 0 || r.Index < s.replicas.Index {
		return
	}
	same := r.Index == s.replicas.Index && slices.Equal(r.Addresses, s.replicas.Addresses) && maps.Equal(r.Regions, s.replicas.Regions)
	if !same {
		s.replicas = &r
	}
}

// followed returns whom to follow. An agent stays with one replica while that one
// is heard and led; where it must choose, its name selects the first.
func (s *Spreader) followed() []netip.AddrPort {
	list := slices.DeleteFunc(s.targets(), func(a netip.AddrPort) bool { return a == s.cfg.Address })
	if s.cfg.FollowAll || len(list) == 0 {
		return list
	}
	for addr := range s.streams {
		h, ok := s.heard[addr]
		if slices.Contains(list, addr) && ok && s.clock.Since(h.at) < silenceTimeout && s.clock.Since(h.ledAt) < unledPatience {
			return []netip.AddrPort{addr}
		}
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int { return a.Compare(b) })
	turn := uint64(s.clock.Now().UnixNano() / int64(unledPatience))
	if len(s.streams) == 0 {
		turn = 0
	}
	first := (xxhash.Sum64String(s.cfg.Process) + turn) % uint64(len(list))
	return []netip.AddrPort{list[first]}
}
