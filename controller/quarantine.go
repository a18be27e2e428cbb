package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"celeryvalve/identifier"
)

const (
	// CrashesUntilRefused is the number of crashes after which requests with the
	// fingerprint are refused on all upstreams.
	CrashesUntilRefused = 2
	// QuarantineRetention is how long a suspect is stored after its last crash.
	QuarantineRetention = 24 * time.Hour
	// MaximumSuspects is the maximum number of suspects. A new one beyond it
	// replaces the suspect with the fewest crashes and, among these, the oldest
	// last crash.
	MaximumSuspects = 4096
	// MaximumCrashes is the number of latest crashes that are stored, so that each is
	// counted once.
	MaximumCrashes = 1024
)

// Suspect is a fingerprint of requests that were in flight when upstreams crashed.
type Suspect struct {
	InFlight
	Crashes int
	Last    Instant // time of the last crash
	Changed Index   // log index of the last crash
}

// Refused reports whether requests with the fingerprint are refused on all
// upstreams.
func (s Suspect) Refused() bool {
	return s.Crashes >= CrashesUntilRefused
}

// Suspects is the list of all suspects.
type Suspects struct {
	Index Index // log index of the last command that changed the list
	List  []Suspect
}

// Crash identifies a crash of an upstream.
type Crash struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Number      uint64
}

type quarantine struct {
	suspects   map[Fingerprint]Suspect
	crashes    []Crash // oldest first
	seen       map[Crash]bool
	changed    Index
	nextExpiry Instant // no suspect expires before it
}

func newQuarantine() quarantine {
	return quarantine{suspects: make(map[Fingerprint]Suspect), seen: make(map[Crash]bool)}
}

func (c *core) reportCrash(m *ReportCrash) any {
	q := &c.quarantine
	crash := Crash{m.Upstream, m.Incarnation, m.Crash}
	if !q.addCrash(crash) {
		return q.answer()
	}
	counted := make(map[Fingerprint]bool) // several requests in flight may have the same fingerprint
	for _, request := range m.InFlight {
		if !counted[request.Fingerprint] {
			counted[request.Fingerprint] = true
			q.addSuspect(request, c.now, c.index)
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

// addCrash records the crash and reports whether it is new.
func (q *quarantine) addCrash(crash Crash) bool {
	if q.seen[crash] {
		return false
	}
	q.seen[crash] = true
	q.crashes = append(q.crashes, crash)
	if len(q.crashes) > MaximumCrashes {
		delete(q.seen, q.crashes[0])
		q.crashes = q.crashes[1:]
	}
	return true
}

func (q *quarantine) addSuspect(request InFlight, now Instant, index Index) {
	s := q.suspects[request.Fingerprint]
	s.InFlight = request
	s.Crashes++
	s.Last = now
	s.Changed = index
	q.suspects[request.Fingerprint] = s
	q.changed = index
	if len(q.suspects) > MaximumSuspects {
		delete(q.suspects, q.evictionCandidate(request.Fingerprint))
	}
}

// evictionCandidate returns the suspect to drop, other than the given one: that
// with the fewest crashes and, among these, the oldest last crash.
func (q *quarantine) evictionCandidate(keep Fingerprint) Fingerprint {
	others := slices.DeleteFunc(slices.Collect(maps.Values(q.suspects)), func(s Suspect) bool {
		return s.Fingerprint == keep
	})
	return slices.MinFunc(others, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Crashes, b.Crashes), cmp.Compare(a.Last, b.Last), cmp.Compare(a.Fingerprint, b.Fingerprint))
	}).Fingerprint
}

// expire drops the suspects whose last crash is older than QuarantineRetention.
func (q *quarantine) expire(now Instant, index Index) {
	if now < q.nextExpiry {
		return
	}
	q.nextExpiry = now.after(QuarantineRetention)
	for fingerprint, s := range q.suspects {
		expires := s.Last.after(QuarantineRetention)
		if expires > now {
			q.nextExpiry = min(q.nextExpiry, expires)
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
