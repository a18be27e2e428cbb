package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"celeryvalve/identifier"
)

const (
	// minPresence is the share of the crashes since a part became a suspect at which it was
	// in flight, if it is refused. The others may have other causes, such as a second part,
	// but a part that few of them have in common is there by chance.
	minPresence = 0.25
	// minSeriesPresence is the same where most of the crashes came at about the same time,
	// so that they count as minRounds or little more.
	minSeriesPresence = 0.5
	minRounds         = 2
	// doubtFactor is how much more evidence is needed against a part that was proven harmless
	// before, or while another one may as well be the cause: as many times the crashes, and the
	// share of all crashes.
	doubtFactor = 2
	// maxCompanions bounds the companions that are stored for one part.
	maxCompanions = 8
	// maxBeside bounds the companions that are counted at one crash: the parts of two prompts.
	maxBeside = 64
	// maxSeenCrashes is the number of latest crashes of a suspect that are told apart. All
	// processes report a crash within seconds.
	maxSeenCrashes = 16
	// maxRecentCrashes is the same for all crashes.
	maxRecentCrashes = 256
	// clearedRetention is how long a part that was cleared is no suspect again. A part that
	// crashes each upstream is never cleared, and one that was cleared is likely to be in
	// flight beside others that do.
	clearedRetention = time.Minute
	// sameCrashSpan is the time within which processes notice one crash. An upstream that
	// crashes again before its next incarnation is known needs longer to start.
	sameCrashSpan = 500 * time.Millisecond
)

// Crash is one crash of one upstream.
type Crash struct {
	_  struct{} `cbor:",toarray"`
	ID CrashID
	At Instant
}

// isSame reports whether both are the same crash, reported by several processes.
func (c Crash) isSame(other Crash) bool {
	return c.ID == other.ID && time.Duration(max(c.At, other.At)-min(c.At, other.At)) < sameCrashSpan
}

// appendCrash appends the crash to the list of the latest ones and drops the oldest beyond
// the limit. It reports false, without a change, if the list has the crash.
func appendCrash(list []Crash, c Crash, limit int) ([]Crash, bool) {
	if slices.ContainsFunc(list, c.isSame) {
		return list, false
	}
	list = append(slices.Clone(list), c)
	return list[max(0, len(list)-limit):], true
}

// Companion is a part that was in the same prompts as a suspect.
type Companion struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	Crashes     int // at which it was
}

// History is at which crashes a suspect was in flight, and beside what. It tells parts that
// crash upstreams from those in flight beside them.
type History struct {
	// Presence is the number of crashes at which the suspect was in flight, whether they
	// count or not, and Since the number of all crashes of the service at the first one.
	Presence int    `cbor:",omitempty" json:",omitempty"`
	Since    uint64 `cbor:",omitempty" json:",omitempty"`
	// SeenCrashes are the latest of them.
	SeenCrashes []Crash     `cbor:",omitempty" json:",omitempty"`
	Companions  []Companion `cbor:",omitempty" json:",omitempty"`
	// LastBeside are the companions that were counted for the last of SeenCrashes. Each
	// process reports a crash with those that it had in flight.
	LastBeside []Fingerprint `cbor:",omitempty" json:",omitempty"`
}

// Evidence is what a Quarantine knows about the crashes of parts besides its suspects.
type Evidence struct {
	// Crashes is the number of crashes of each service, and Recent are the latest ones.
	Crashes map[identifier.Service]uint64 `cbor:",omitempty"`
	Recent  []Crash                       `cbor:",omitempty"`
	// Cleared holds when parts were cleared.
	Cleared map[Fingerprint]Instant `cbor:",omitempty"`
}

// Evidence returns the evidence for a snapshot.
func (q *Quarantine) Evidence() Evidence {
	return Evidence{
		Crashes: maps.Clone(q.evidence.Crashes),
		Recent:  slices.Clone(q.evidence.Recent),
		Cleared: maps.Clone(q.evidence.Cleared),
	}
}

// RestoreEvidence replaces the evidence by that of a snapshot.
func (q *Quarantine) RestoreEvidence(e Evidence) {
	if e.Crashes == nil {
		e.Crashes = make(map[identifier.Service]uint64)
	}
	if e.Cleared == nil {
		e.Cleared = make(map[Fingerprint]Instant)
	}
	q.evidence = e
}

// countCrash counts a crash at which parts were in flight, once for all processes that
// report it.
func (q *Quarantine) countCrash(m *ReportCrash, crash Crash) {
	first := slices.IndexFunc(m.InFlight, func(f InFlight) bool { return f.Part })
	if first < 0 {
		return
	}
	recent, isNew := appendCrash(q.evidence.Recent, crash, maxRecentCrashes)
	if !isNew {
		return
	}
	q.evidence.Recent = recent
	service := m.InFlight[first].Service
	if _, ok := q.evidence.Crashes[service]; !ok {
		q.dropUnusedCounts()
	}
	q.evidence.Crashes[service]++
}

// dropUnusedCounts drops the crashes of the services without a suspect part. Only how many there
// were since the first one of a suspect matters.
func (q *Quarantine) dropUnusedCounts() {
	used := make(map[identifier.Service]bool)
	for _, s := range q.suspects {
		used[s.Service] = used[s.Service] || s.Part
	}
	maps.DeleteFunc(q.evidence.Crashes, func(service identifier.Service, _ uint64) bool { return !used[service] })
}

// lastSeen returns when the last of the crashes was, or 0 if there is none.
func (h *History) lastSeen() Instant {
	var last Instant
	for _, c := range h.SeenCrashes {
		last = max(last, c.At)
	}
	return last
}

// add records that the suspect was in flight at a crash, with its companions. It reports
// false if that is known.
func (h *History) add(suspect InFlight, crash Crash, crashes uint64) bool {
	seen, isNew := appendCrash(h.SeenCrashes, crash, maxSeenCrashes)
	switch {
	case isNew:
		if h.Presence == 0 {
			h.Since = crashes
		}
		h.Presence++
		h.SeenCrashes = seen
		h.LastBeside = nil
	case !seen[len(seen)-1].isSame(crash):
		return false
	}
	h.addCompanions(suspect.Beside)
	return isNew
}

// addCompanions counts those companions at the last crash that are not counted for it yet.
func (h *History) addCompanions(beside []Fingerprint) {
	h.Companions = slices.Clone(h.Companions)
	h.LastBeside = slices.Clone(h.LastBeside)
	for _, f := range beside {
		if slices.Contains(h.LastBeside, f) || len(h.LastBeside) == maxBeside {
			continue
		}
		h.LastBeside = append(h.LastBeside, f)
		i := slices.IndexFunc(h.Companions, func(c Companion) bool { return c.Fingerprint == f })
		switch {
		case i >= 0:
			h.Companions[i].Crashes++
		case len(h.Companions) < maxCompanions:
			h.Companions = append(h.Companions, Companion{Fingerprint: f, Crashes: 1})
		default:
			rarest := slices.MinFunc(h.Companions, func(a, b Companion) int { return cmp.Compare(a.Crashes, b.Crashes) })
			j := slices.Index(h.Companions, rarest)
			h.Companions[j] = Companion{Fingerprint: f, Crashes: 1}
		}
	}
}

// refusesPart reports whether there is enough evidence against the part: it was in flight at
// enough crashes that count, and at a large enough share of all crashes.
func (q *Quarantine) refusesPart(s Suspect) bool {
	needed := q.cfg.PartCrashesUntilRefused
	if needed <= 0 || q.isExplained(s) {
		return false
	}
	crashes := float64(q.evidence.Crashes[s.Service] - s.Since + 1)
	share := float64(s.Presence) / crashes
	counted := min(s.Crashes, s.Presence)
	if s.CompletedBefore || q.hasAlternative(s) {
		return counted >= doubtFactor*needed && share >= doubtFactor*minPresence
	}
	// Crashes at about the same time count as one, but a part that has never run to its end
	// and was at most of them is not there by chance.
	series := s.Crashes >= minRounds && s.Presence > needed && share >= minSeriesPresence
	return series || counted >= needed && share >= minPresence
}

// isExplained reports whether a companion of the suspect is the likelier cause of its
// crashes: it alone has never run to its end, or, if both or neither have, it was at half as
// many crashes again.
func (q *Quarantine) isExplained(s Suspect) bool {
	return slices.ContainsFunc(q.companionsOf(s), func(other Suspect) bool {
		return s.CompletedBefore && !other.CompletedBefore || s.CompletedBefore == other.CompletedBefore && 2*other.Presence >= 3*s.Presence
	})
}

// rivalOf returns a companion of the suspect that may as well be the cause of its crashes.
func (q *Quarantine) rivalOf(s Suspect) (Fingerprint, bool) {
	for _, other := range q.companionsOf(s) {
		if s.CompletedBefore == other.CompletedBefore && 2*s.Presence < 3*other.Presence {
			return other.Fingerprint, true
		}
	}
	return 0, false
}

// hasAlternative reports whether a suspect that was not in the same prompts may as well be the cause.
func (q *Quarantine) hasAlternative(s Suspect) bool {
	companions := q.companionsOf(s)
	for f, other := range q.suspects {
		isCompanion := slices.ContainsFunc(companions, func(c Suspect) bool { return c.Fingerprint == f })
		if f != s.Fingerprint && !isCompanion && other.Part && other.Service == s.Service && other.mayExplain(&s) {
			return true
		}
	}
	return false
}

// mayExplain reports whether the suspect, rather than the other one, may be the cause of the crashes of the other
// one: it has never run to its end, was in flight at half of them at least, and at about as many in all.
// Processes report one crash one after the other, so that either may seem to be ahead.
func (s *Suspect) mayExplain(other *Suspect) bool {
	if s.Refused || s.CompletedBefore || 2*other.Presence >= 3*s.Presence {
		return false
	}
	return 2*other.sharedCrashes(&s.History) >= len(other.SeenCrashes)
}

// sharedCrashes returns how many of the latest crashes of the suspect are among those of the
// other one.
func (h *History) sharedCrashes(other *History) int {
	n := 0
	for _, c := range h.SeenCrashes {
		if slices.ContainsFunc(other.SeenCrashes, c.isSame) {
			n++
		}
	}
	return n
}

// companionsOf returns the suspects that were in the same prompts as the suspect at two of
// three of its crashes at least.
func (q *Quarantine) companionsOf(s Suspect) []Suspect {
	var list []Suspect
	for _, c := range s.Companions {
		if other, ok := q.suspects[c.Fingerprint]; ok && 3*c.Crashes >= 2*s.Presence {
			list = append(list, other)
		}
	}
	return list
}

// refusedPartOf returns a part that is refused in all prompts and was in flight at the
// crash, or 0. It explains the crash.
func (q *Quarantine) refusedPartOf(m *ReportCrash) Fingerprint {
	for _, f := range m.InFlight {
		if s, ok := q.suspects[f.Fingerprint]; ok && f.Part && s.Refused {
			if _, tied := q.rivalOf(s); !tied {
				return f.Fingerprint
			}
		}
	}
	return 0
}

// dropExplained drops the other suspect parts of the service once one is refused, since it
// explains the crashes so far. Those that may as well be the cause stay.
func (q *Quarantine) dropExplained(refused Suspect) {
	rival, _ := q.rivalOf(refused)
	for f, s := range q.suspects {
		if s.Part && !s.Refused && s.Service == refused.Service && f != refused.Fingerprint && f != rival {
			delete(q.suspects, f)
		}
	}
}

// wasCleared reports whether the part was cleared within clearedRetention.
func (q *Quarantine) wasCleared(f Fingerprint, now Instant) bool {
	at, ok := q.evidence.Cleared[f]
	return ok && now < at.after(clearedRetention)
}

// recordCleared records that the part was cleared, and forgets parts that were cleared
// long ago or, beyond Config.MaxSuspects, the one that was cleared first.
func (q *Quarantine) recordCleared(f Fingerprint, now Instant) {
	cleared := q.evidence.Cleared
	var oldest Fingerprint
	for g, at := range cleared {
		if now >= at.after(clearedRetention) {
			delete(cleared, g)
		} else if first, ok := cleared[oldest]; !ok || at < first || at == first && g < oldest {
			oldest = g
		}
	}
	if len(cleared) >= q.cfg.MaxSuspects {
		delete(cleared, oldest)
	}
	cleared[f] = now
}
