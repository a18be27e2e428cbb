package quarantiner

import (
	"cmp"
	"slices"
)

// maxSummaryParts bounds the suspect parts of a summary, which every entry receives at each
// crash, to 2 KiB.
const maxSummaryParts = 256

// Summary is what the processes that send requests to upstreams need to know of a
// quarantine.
type Summary struct {
	// Revision is the log index of the last change. Of two summaries the one with the
	// higher revision is newer.
	Revision Revision
	Refused  []Refusal `cbor:",omitempty"`
	// Pairs are parts of prompts that are refused only where both are in a prompt, since
	// either may be the cause. They are among the suspects as well.
	Pairs []PairRefusal `cbor:",omitempty"`
	// Probation are requests that may have crashed enough upstreams to be refused, or may have
	// been in flight while these crashed together. One entry may run one of them at a time.
	Probation []Fingerprint `cbor:",omitempty"`
	// Suspects are other requests that may be refused after one more crash, and the parts of
	// prompts with the most crashes, at most maxSummaryParts of them. They are to be cleared
	// if such a request runs to its end.
	Suspects []Fingerprint `cbor:",omitempty"`
}

// Refusal is a fingerprint whose requests are refused.
type Refusal struct {
	_           struct{} `cbor:",toarray"`
	Fingerprint Fingerprint
	Until       Instant
}

// PairRefusal is a pair of parts whose requests are refused.
type PairRefusal struct {
	_     struct{} `cbor:",toarray"`
	Part  Fingerprint
	Other Fingerprint
	Until Instant
}

// Summary returns the summary of the quarantine.
func (q *Quarantine) Summary() Summary {
	summary := Summary{Revision: q.changed}
	var parts []Suspect
	for _, s := range q.List() {
		rival, tied := q.rivalOf(s)
		switch {
		case s.Refused && tied:
			summary.Pairs = append(summary.Pairs, PairRefusal{Part: s.Fingerprint, Other: rival, Until: q.ExpiryOf(s)})
			parts = append(parts, s)
		case s.Refused:
			summary.Refused = append(summary.Refused, Refusal{Fingerprint: s.Fingerprint, Until: q.ExpiryOf(s)})
		case q.isOnProbation(s):
			summary.Probation = append(summary.Probation, s.Fingerprint)
		case s.Part:
			parts = append(parts, s)
		case s.Crashes+1 >= q.cfg.CrashesUntilRefused:
			summary.Suspects = append(summary.Suspects, s.Fingerprint)
		}
	}
	slices.SortStableFunc(parts, func(a, b Suspect) int { return cmp.Compare(b.Crashes, a.Crashes) })
	for _, s := range parts[:min(len(parts), maxSummaryParts)] {
		summary.Suspects = append(summary.Suspects, s.Fingerprint)
	}
	return summary
}
