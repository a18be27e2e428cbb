package balancer

import (
	"slices"
	"time"

	"celeryvalve/quarantiner"
)

// changeQuarantine takes in a summary of the quarantine. It ignores one that is older
// than the last.
func (d *crashDetector) changeQuarantine(now time.Time, s quarantiner.Summary) {
	if s.Revision < d.revision {
		return
	}
	d.revision = s.Revision
	refused := make(map[quarantiner.Fingerprint]quarantiner.Instant, len(s.Refused))
	for _, refusal := range s.Refused {
		refused[refusal.Fingerprint] = refusal.Until
		if _, known := d.refused[refusal.Fingerprint]; !known {
			d.findings.Refused = append(d.findings.Refused, refusal.Fingerprint)
		}
	}
	d.refused = refused
	d.pairs = s.Pairs
	suspects := make(map[quarantiner.Fingerprint]time.Time, len(s.Suspects)+len(s.Probation))
	for _, f := range s.Suspects {
		since, known := d.suspects[f]
		if !known {
			since = now
		}
		suspects[f] = since
		if !known && d.completed.contains(now, f) {
			d.findings.CompletedBefore = append(d.findings.CompletedBefore, f)
		}
	}
	d.changeProbations(now, s.Probation)
	for f, p := range d.probations {
		suspects[f] = p.since
	}
	d.suspects = suspects
}

// refusedFor returns for how long the request is refused, and whether for its own
// fingerprint or that of a part. It returns 0 if the request is not refused.
func (d *crashDetector) refusedFor(now time.Time, q *Request) (quarantiner.Fingerprint, time.Duration) {
	for _, f := range append([]quarantiner.Fingerprint{q.Fingerprint}, q.Parts...) {
		until, ok := d.refused[f]
		if wait := until.Time().Sub(now); ok && f != 0 && wait > 0 {
			return f, wait
		}
	}
	for _, pair := range d.pairs {
		wait := pair.Until.Time().Sub(now)
		if wait > 0 && slices.Contains(q.Parts, pair.Part) && slices.Contains(q.Parts, pair.Other) {
			return pair.Part, wait
		}
	}
	return 0, 0
}

// refuses reports whether the request may not be sent to a further upstream.
func (d *crashDetector) refuses(now time.Time, q *Request) bool {
	_, wait := d.refusedFor(now, q)
	return wait > 0 || d.probations[q.Fingerprint] != nil
}

// recordParts records that an attempt ran far enough to show that no part of its prompt can
// be what crashes upstreams.
func (d *crashDetector) recordParts(now time.Time, a *attempt) {
	for _, f := range a.Parts {
		d.recordCompletion(now, f, a.sentAt)
	}
}

// recordCompletion records that a request which was sent at a time ran to its end on an
// upstream. If it was sent after its fingerprint became a suspect, neither it nor its like
// can be what crashes upstreams.
func (d *crashDetector) recordCompletion(now time.Time, f quarantiner.Fingerprint, sentAt time.Time) {
	if f == 0 {
		return
	}
	known := d.completed.contains(now, f)
	d.completed.add(now, f)
	since, suspected := d.suspects[f]
	switch {
	case !suspected:
	case sentAt.Before(since):
		if !known { // otherwise that was reported when it became a suspect
			d.findings.CompletedBefore = append(d.findings.CompletedBefore, f)
		}
	default:
		delete(d.suspects, f)
		d.findings.Cleared = append(d.findings.Cleared, f)
	}
}
