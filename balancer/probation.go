package balancer

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
)

const (
	// probationDelay is the time before a request on probation runs. The reports of the
	// crashes that put it there have arrived by then, and copies in flight are over.
	probationDelay = time.Second
	// maxProbationSends is how many requests of one fingerprint this entry sends while it is
	// on probation. The second one is for the case that the first one is turned away.
	maxProbationSends = 2
)

// probation is what this entry has done to find out whether a request crashes upstreams.
type probation struct {
	since time.Time // known here
	sent  int
	// request is the one in flight, or empty.
	request identifier.RequestID
}

// changeProbations takes in which fingerprints are on probation. Those that have lately run
// to their end are cleared.
func (d *crashDetector) changeProbations(now time.Time, list []quarantiner.Fingerprint) {
	probations := make(map[quarantiner.Fingerprint]*probation, len(list))
	for _, f := range list {
		p := d.probations[f]
		if p == nil {
			p = &probation{since: now}
			if d.completed.contains(now, f) {
				d.findings.Cleared = append(d.findings.Cleared, f)
			}
		}
		probations[f] = p
	}
	d.probations = probations
}

// heldBack reports whether the request is on probation and may not run here and now.
func (r *Reducer) heldBack(now time.Time, q *Request) bool {
	p := r.crashes.probations[q.Fingerprint]
	if p == nil {
		return false
	}
	isTurn := p.request == "" && p.sent < maxProbationSends && now.Sub(p.since) >= probationDelay
	return !isTurn || !r.runsProbation(q.Fingerprint)
}

// runsProbation reports whether this entry is the one that runs requests on probation with
// the fingerprint. All entries rank each other alike for it.
func (r *Reducer) runsProbation(f quarantiner.Fingerprint) bool {
	if len(r.entries) == 0 {
		return false
	}
	subject := strconv.FormatUint(uint64(f), 16)
	first := slices.MinFunc(r.entries, func(a, b Entry) int { return cmp.Compare(a.score(subject), b.score(subject)) })
	return first.Name == r.cfg.Entry
}

// beginProbation records that the request is sent, if it is on probation.
func (d *crashDetector) beginProbation(s *request) {
	if p := d.probations[s.Fingerprint]; p != nil {
		p.sent++
		p.request = s.ID
		s.MaximumAttempts = 1
	}
}

// endProbation records that the attempt of the request is over, and whether its upstream
// got it.
func (d *crashDetector) endProbation(a *attempt, reached bool) {
	p := d.probations[a.Fingerprint]
	if p == nil || p.request != a.ID {
		return
	}
	p.request = ""
	if !reached {
		p.sent--
	}
}
