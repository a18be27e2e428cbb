package balancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/identifier"
)

// The entries of an availability zone divide its engines among themselves, and each sends
// requests first to those that it attends. Most of their requests are then its own, so that it
// knows how full they are although reports are old. If all entries chose among all engines by
// the same old reports, they would fill those that look empty beyond their slots, while others
// have free ones.

// unattendedPenalty is added to the forecast of an engine that another entry attends. About
// as many requests as an engine starts in that time may be on their way there unseen.
const unattendedPenalty = 60 * time.Millisecond

const (
	// minAttended is how many engines each entry has to get before any are attended: with fewer
	// it has too little choice, and their slots fill up and run empty by chance.
	minAttended = 3
	// keptAttended is the same where engines are attended already: when many are lost, entries
	// go on with what they know of the others.
	keptAttended = 2
)

// assignAttendants chooses the entry that attends each engine. All entries choose alike from
// the same lists.
func (r *Reducer) assignAttendants() {
	for service, list := range r.byService {
		byZone := make(map[identifier.AvailabilityZone][]*upstream)
		for _, u := range list {
			byZone[u.view.AvailabilityZone] = append(byZone[u.view.AvailabilityZone], u)
		}
		for zone, upstreams := range byZone {
			var entries []identifier.Instance
			if r.services[service].Engine != nil {
				entries = r.entriesIn(zone)
			}
			assign(upstreams, entries)
		}
	}
}

func (r *Reducer) entriesIn(zone identifier.AvailabilityZone) []identifier.Instance {
	var names []identifier.Instance
	for _, e := range r.entries {
		if e.AvailabilityZone == zone {
			names = append(names, e.Name)
		}
	}
	return names
}

// assign divides the upstreams among the entries, as many to each as to any other or one more.
// One that comes or goes changes few of the other assignments. Nobody attends upstreams of which
// there are too few.
func assign(upstreams []*upstream, entries []identifier.Instance) {
	least := minAttended
	for _, u := range upstreams {
		if u.attendant != "" {
			least = keptAttended
		}
		u.attendant = ""
	}
	if len(entries) == 0 || len(upstreams) < least*len(entries) {
		return
	}
	type pair struct {
		upstream *upstream
		entry    int
		score    uint64
	}
	pairs := make([]pair, 0, len(upstreams)*len(entries))
	for _, u := range upstreams {
		for i, e := range entries {
			pairs = append(pairs, pair{u, i, xxhash.Sum64String(string(u.view.Upstream) + " " + string(e))})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int { return cmp.Compare(a.score, b.score) })
	each, more := len(upstreams)/len(entries), len(upstreams)%len(entries)
	counts := make([]int, len(entries))
	for _, p := range pairs {
		switch {
		case p.upstream.attendant != "" || counts[p.entry] > each:
			continue
		case counts[p.entry] == each && more == 0:
			continue
		case counts[p.entry] == each:
			more--
		}
		counts[p.entry]++
		p.upstream.attendant = entries[p.entry]
	}
}

// attends reports whether this entry attends the upstream.
func (r *Reducer) attends(u *upstream) bool {
	return u.attendant != "" && u.attendant == r.cfg.Entry
}
