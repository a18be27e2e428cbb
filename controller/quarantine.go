package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"celeryvalve/identifier"
)

const (
	// RefusedAfter is after how many crashes a request is refused everywhere.
	RefusedAfter = 2
	// QuarantineRetention is how long a suspect is kept after its last crash.
	QuarantineRetention = 24 * time.Hour
	// MaximumSuspects is how many suspects are kept. The one with the fewest and
	// oldest crashes is dropped for a new one.
	MaximumSuspects = 4096
	// CrashesKept is how many crashes are remembered, so that each counts once.
	CrashesKept = 1024
)

// Suspect is a request that was in flight when upstreams crashed.
type Suspect struct {
	InFlight
	Crashes int
	Last    Instant
	Changed Index
}

// Refused reports whether the request is refused everywhere.
func (s Suspect) Refused() bool {
	return s.Crashes >= RefusedAfter
}

// Suspects is the whole list. Index changes whenever the list does.
type Suspects struct {
	Index Index
	List  []Suspect
}

// Crash identifies one crash of an upstream.
type Crash struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Number      uint64
}

type quarantine struct {
	suspects map[Fingerprint]Suspect
	crashes  []Crash // oldest first
	seen     map[Crash]bool
	changed  Index
	check    Instant // nothing expires before it
}

func newQuarantine() quarantine {
	return quarantine{suspects: make(map[Fingerprint]Suspect), seen: make(map[Crash]bool)}
}

func (c *core) reportCrash(m *ReportCrash) any {
	q := &c.quarantine
	crash := Crash{m.Upstream, m.Incarnation, m.Crash}
	if !q.see(crash) {
		return q.answer()
	}
	counted := make(map[Fingerprint]bool) // a request may have run twice at once
	for _, request := range m.InFlight {
		if !counted[request.Fingerprint] {
			counted[request.Fingerprint] = true
			q.suspect(request, c.now, c.index)
		}
	}
	return q.answer()
}

func (c *core) clearSuspects(m *ClearSuspects) any {
	q := &c.quarantine
	for _, fingerprint := range m.Fingerprints {
		if _, ok := q.suspects[fingerprint]; ok {
			delete(q.suspects, fingerprint)
			q.changed = c.index
		}
	}
	return q.answer()
}

// see reports whether the crash is new.
func (q *quarantine) see(crash Crash) bool {
	if q.seen[crash] {
		return false
	}
	q.seen[crash] = true
	q.crashes = append(q.crashes, crash)
	if len(q.crashes) > CrashesKept {
		delete(q.seen, q.crashes[0])
		q.crashes = q.crashes[1:]
	}
	return true
}

func (q *quarantine) suspect(request InFlight, now Instant, index Index) {
	s := q.suspects[request.Fingerprint]
	s.InFlight = request
	s.Crashes++
	s.Last = now
	s.Changed = index
	q.suspects[request.Fingerprint] = s
	q.changed = index
	if len(q.suspects) > MaximumSuspects {
		delete(q.suspects, q.least(request.Fingerprint))
	}
}

// least returns the suspect that is the least loss, other than the given one.
func (q *quarantine) least(keep Fingerprint) Fingerprint {
	others := slices.DeleteFunc(slices.Collect(maps.Values(q.suspects)), func(s Suspect) bool {
		return s.Fingerprint == keep
	})
	return slices.MinFunc(others, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Crashes, b.Crashes), cmp.Compare(a.Last, b.Last), cmp.Compare(a.Fingerprint, b.Fingerprint))
	}).Fingerprint
}

// expire drops suspects that crashed nothing for the time of retention.
func (q *quarantine) expire(now Instant, index Index) {
	if now < q.check {
		return
	}
	q.check = now.after(QuarantineRetention)
	for fingerprint, s := range q.suspects {
		expires := s.Last.after(QuarantineRetention)
		if expires > now {
			q.check = min(q.check, expires)
			continue
		}
		delete(q.suspects, fingerprint)
		q.changed = index
	}
}

func (q *quarantine) answer() *QuarantineAnswer {
	answer := &QuarantineAnswer{Suspects: len(q.suspects)}
	for _, s := range q.suspects {
		if s.Refused() {
			answer.Refused++
		}
	}
	return answer
}

func (q *quarantine) list() Suspects {
	list := slices.SortedFunc(maps.Values(q.suspects), func(a, b Suspect) int {
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
	return Suspects{Index: q.changed, List: list}
}
