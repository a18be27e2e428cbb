package quarantiner

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"celeryvalve/identifier"
)

// MaxReports is the maximum number of latest reports that are stored, so that each is
// counted once.
const MaxReports = 1024

// Config sets when a fingerprint is refused, and the bounds of a Quarantine.
type Config struct {
	// CrashesUntilRefused is the number of crashes after which requests with the
	// fingerprint are refused on all upstreams.
	CrashesUntilRefused int
	// PartCrashesUntilRefused is the number of crashes after which requests with the part
	// in their prompts may be refused. 0 means never.
	PartCrashesUntilRefused int
	// ResendMargin is how long after the last crash a request must have been sent for
	// its crash to count as a further one. It covers the difference between the delays
	// of the reports of several processes.
	ResendMargin time.Duration
	// Retention is how long a suspect is stored after its last crash.
	Retention time.Duration
	// MaxSuspects is the maximum number of suspects. A new one beyond it replaces the
	// suspect with the fewest crashes and, among these, the oldest last crash.
	MaxSuspects int
}

// Instant is a time in Unix nanoseconds.
type Instant int64

// Time returns the instant as a time.Time.
func (i Instant) Time() time.Time {
	return time.Unix(0, int64(i))
}

func (i Instant) after(d time.Duration) Instant {
	return i + Instant(d)
}

// Revision is the log index of the command that made a change.
type Revision uint64

// Suspect is a fingerprint of requests that were in flight when upstreams crashed.
type Suspect struct {
	InFlight
	// Crashes is the number of crashes that count.
	Crashes int
	Last    Instant  // time of the last crash that counted
	Changed Revision // of the last crash that counted
	// EarlierCrashes is the part of Crashes that was counted before the current round, and
	// EarlierLast the time of the last of them. RoundCrashes identifies those of the round.
	EarlierCrashes int       `cbor:",omitempty" json:",omitempty"`
	EarlierLast    Instant   `cbor:",omitempty" json:",omitempty"`
	RoundCrashes   []CrashID `cbor:",omitempty" json:",omitempty"`
	// Refused reports whether requests with the fingerprint are refused on all
	// upstreams.
	Refused bool `cbor:",omitempty"`
	History
}

// CrashID is a hash that identifies a crash within a round, whoever reports it.
type CrashID uint64

func crashID(upstream identifier.Upstream, incarnation identifier.Incarnation) CrashID {
	h := xxhash.New()
	// Writing to a hash never fails.
	_, _ = h.WriteString(string(upstream))
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte{0}, uint64(incarnation)))
	return CrashID(h.Sum64())
}

// ReportID identifies a report of a crash.
type ReportID struct {
	Upstream    identifier.Upstream
	Incarnation identifier.Incarnation
	Number      uint64
	Reporter    string `cbor:",omitempty"`
}

// Quarantine counts the crashes of fingerprints. It is deterministic and not safe for
// concurrent use.
type Quarantine struct {
	cfg        Config
	suspects   map[Fingerprint]Suspect
	reports    []ReportID // oldest first
	seen       map[ReportID]bool
	changed    Revision
	nextExpiry Instant // no suspect expires before it
	evidence   Evidence
}

// New returns an empty quarantine.
func New(cfg Config) *Quarantine {
	q := &Quarantine{cfg: cfg, suspects: make(map[Fingerprint]Suspect), seen: make(map[ReportID]bool)}
	q.RestoreEvidence(Evidence{})
	return q
}

// Report counts a crash for each fingerprint in flight.
func (q *Quarantine) Report(m *ReportCrash, now Instant, revision Revision) *Answer {
	if !q.addReport(ReportID{m.Upstream, m.Incarnation, m.Crash, m.Reporter}) {
		return q.answerTo(m)
	}
	crash := Crash{ID: crashID(m.Upstream, m.Incarnation), At: now.after(-m.Ago)}
	q.countCrash(m, crash)
	refusedPart := q.refusedPartOf(m)
	counted := make(map[Fingerprint]bool) // several requests in flight may have the same one
	for _, request := range m.InFlight {
		f := request.Fingerprint
		explained := request.Part && (refusedPart != 0 && refusedPart != f || q.wasCleared(f, now))
		if !explained && !counted[f] {
			counted[f] = true
			request.Beside = m.companionsOf(f)
			q.addSuspect(request, crash, revision)
		}
	}
	q.judge(slices.Collect(maps.Keys(counted)), revision)
	return q.answerTo(m)
}

// judge refuses those suspects against which there is enough evidence, the ones at most
// crashes first, since a part that is refused explains the crashes of others. Once refused,
// a suspect stays so until it is cleared or dropped.
func (q *Quarantine) judge(list []Fingerprint, revision Revision) {
	slices.SortFunc(list, func(f, g Fingerprint) int {
		return cmp.Or(cmp.Compare(q.suspects[g].Presence, q.suspects[f].Presence), cmp.Compare(f, g))
	})
	for _, f := range list {
		s, ok := q.suspects[f]
		if !ok || s.Refused || !q.refuses(s) {
			continue
		}
		s.Refused = true
		q.suspects[f] = s
		q.changed = revision
		if s.Part {
			q.dropExplained(s)
		}
	}
}

// Clear removes the fingerprints from the suspects.
func (q *Quarantine) Clear(m *ClearSuspects, now Instant, revision Revision) *Answer {
	for _, fingerprint := range m.Fingerprints {
		s, ok := q.suspects[fingerprint]
		if !ok {
			continue
		}
		delete(q.suspects, fingerprint)
		q.changed = revision
		if s.Part {
			q.recordCleared(fingerprint, now)
		}
	}
	for _, fingerprint := range m.CompletedBefore {
		if s, ok := q.suspects[fingerprint]; ok && s.Part {
			s.CompletedBefore = true
			if s.Refused && q.isExplained(s) {
				s.Refused = false
				q.changed = revision
			}
			q.suspects[fingerprint] = s
		}
	}
	return q.answer()
}

// addReport records the report and returns whether it is new.
func (q *Quarantine) addReport(id ReportID) bool {
	if q.seen[id] {
		return false
	}
	q.seen[id] = true
	q.reports = append(q.reports, id)
	if len(q.reports) > MaxReports {
		delete(q.seen, q.reports[0])
		q.reports = q.reports[1:]
	}
	return true
}

// addSuspect counts the crash for the request's fingerprint.
func (q *Quarantine) addSuspect(request InFlight, crash Crash, revision Revision) {
	s := q.suspects[request.Fingerprint]
	onProbation := q.isOnProbation(s)
	isFurther := crash.At.after(-request.Age) >= s.lastSeen().after(q.cfg.ResendMargin)
	counts := s.count(request, crash, q.cfg.ResendMargin)
	isNew := s.add(request, crash, q.evidence.Crashes[request.Service])
	if !counts && !isNew && !request.Part {
		return
	}
	if onProbation && isFurther && isNew {
		s.Refused = true
	}
	request.Beside, request.CompletedBefore = nil, request.CompletedBefore || s.CompletedBefore
	s.InFlight = request
	if counts || q.isOnProbation(s) != onProbation {
		s.Changed = revision
		q.changed = revision
	}
	q.suspects[request.Fingerprint] = s
	if len(q.suspects) > q.cfg.MaxSuspects {
		delete(q.suspects, q.evictionCandidate(request.Fingerprint))
	}
}

// count counts the crash and reports whether it did so. In the first round, that of the
// copies which were in flight at the first crash, only the crashes of one copy count: all of
// them may have another cause.
func (s *Suspect) count(request InFlight, crash Crash, margin time.Duration) bool {
	firstSent := crash.At.after(-request.Age)
	earlierCrashes, earlierLast, roundCrashes := s.EarlierCrashes, s.EarlierLast, s.RoundCrashes
	switch {
	case firstSent >= s.Last.after(margin):
		earlierCrashes, earlierLast, roundCrashes = s.Crashes, s.Last, nil
	case firstSent < s.EarlierLast.after(margin):
		return false // a late report of a crash in an earlier round
	}
	crashes := earlierCrashes + max(1, request.Crashes)
	if earlierCrashes > 0 && !slices.Contains(roundCrashes, crash.ID) {
		crashes = max(crashes, s.Crashes+1)
	}
	if crashes <= s.Crashes {
		return false
	}
	if len(roundCrashes) < maxSeenCrashes {
		roundCrashes = append(slices.Clone(roundCrashes), crash.ID)
	}
	s.EarlierCrashes, s.EarlierLast, s.RoundCrashes = earlierCrashes, earlierLast, roundCrashes
	s.Crashes = crashes
	s.Last = crash.At
	return true
}

// isOnProbation reports whether as many upstreams have crashed under the request as refuse
// it, while too few of the crashes count. The next one of a request that is sent after them
// refuses it.
func (q *Quarantine) isOnProbation(s Suspect) bool {
	return !s.Part && !s.Refused && s.Presence >= q.cfg.CrashesUntilRefused && s.Crashes < q.cfg.CrashesUntilRefused
}

func (q *Quarantine) refuses(s Suspect) bool {
	if s.Part {
		return q.refusesPart(s)
	}
	return s.Crashes >= q.cfg.CrashesUntilRefused
}

// evictionCandidate returns the suspect to drop, other than the given one: that
// with the fewest crashes, those first that count, and among these the oldest last crash.
func (q *Quarantine) evictionCandidate(keep Fingerprint) Fingerprint {
	others := slices.DeleteFunc(slices.Collect(maps.Values(q.suspects)), func(s Suspect) bool {
		return s.Fingerprint == keep
	})
	return slices.MinFunc(others, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Crashes, b.Crashes), cmp.Compare(a.Presence, b.Presence), cmp.Compare(a.Last, b.Last), cmp.Compare(a.Fingerprint, b.Fingerprint))
	}).Fingerprint
}

// Expire drops the suspects whose last crash is older than Config.Retention.
func (q *Quarantine) Expire(now Instant, revision Revision) {
	if now < q.nextExpiry {
		return
	}
	q.nextExpiry = now.after(q.cfg.Retention)
	for fingerprint, s := range q.suspects {
		expires := q.ExpiryOf(s)
		if expires > now {
			q.nextExpiry = min(q.nextExpiry, expires)
			continue
		}
		delete(q.suspects, fingerprint)
		q.changed = revision
	}
}

// ExpiryOf returns when the suspect is dropped unless it crashes another upstream.
func (q *Quarantine) ExpiryOf(s Suspect) Instant {
	return s.Last.after(q.cfg.Retention)
}

func (q *Quarantine) answer() *Answer {
	answer := &Answer{Suspects: len(q.suspects)}
	for _, s := range q.suspects {
		if s.Refused {
			answer.Refused++
		}
	}
	return answer
}

func (q *Quarantine) answerTo(m *ReportCrash) *Answer {
	answer := q.answer()
	for _, request := range m.InFlight {
		answer.Crashes = max(answer.Crashes, q.suspects[request.Fingerprint].Crashes)
	}
	return answer
}

// Len returns the number of suspects.
func (q *Quarantine) Len() int {
	return len(q.suspects)
}

// Changed returns the revision of the last change.
func (q *Quarantine) Changed() Revision {
	return q.changed
}

// List returns all suspects, sorted by fingerprint.
func (q *Quarantine) List() []Suspect {
	return slices.SortedFunc(maps.Values(q.suspects), func(a, b Suspect) int {
		return cmp.Compare(a.Fingerprint, b.Fingerprint)
	})
}

// Reports returns the reports that the quarantine recognises, oldest first.
func (q *Quarantine) Reports() []ReportID {
	return q.reports
}

// RestoreSuspects adds suspects of a snapshot.
func (q *Quarantine) RestoreSuspects(list []Suspect) {
	for _, s := range list {
		s.Refused = s.Refused || !s.Part && q.refuses(s)
		q.suspects[s.Fingerprint] = s
	}
}

// RestoreReports adds the recognised reports and the revision of a snapshot.
func (q *Quarantine) RestoreReports(reports []ReportID, changed Revision) {
	q.changed = changed
	for _, id := range reports {
		q.addReport(id)
	}
}
