package registrar

import (
	"fmt"
	"math"
	"time"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

const (
	// maxUpstreams bounds the records of a table. It is ten times the number of upstreams in
	// docs/CAPACITY.md.
	maxUpstreams = 1 << 13
	// maxStartAhead is how far the start of an upstream may lie ahead of this process's clock.
	// Clocks of instances differ by seconds.
	maxStartAhead = time.Hour
	// maxSequence is above what upstreams count to, also those that take nanoseconds for it.
	maxSequence = math.MaxInt64
)

// Report merges a report that an upstream has sent to this process, and reports whether that
// changed what Merge says. It returns an error of kind InvalidInput if the report's numbers
// can't be true, and of kind Unavailable if the table is full.
//
// A report that is older than the record is late, unless the record is stale and further reports
// follow for as long again: then the record was wrong, and is replaced in all tables.
func (t *Table) Report(now time.Time, r Record) (changed bool, err error) {
	if err := r.checkNumbers(now); err != nil {
		return false, err
	}
	e, ok := t.entries[r.Upstream]
	if !ok {
		if changed = t.Merge(now, r); !changed {
			return false, explainer.New(explainer.Unavailable, fmt.Sprintf("the table has %d upstreams, no more are taken in", len(t.entries)),
				"find out who reports under ever new names")
		}
		return true, nil
	}
	r.Epoch = e.record.Epoch
	if !r.newerThan(e.record) && t.contests(now, e, r) {
		r.Epoch++
	}
	return t.Merge(now, r), nil
}

// contender is an upstream whose reports contradict the record of its name while that is stale.
type contender struct {
	incarnation identifier.Incarnation
	sequence    uint64
	since       time.Time
}

// contests reports whether reports in a row, of which r is the last, have contradicted a stale
// record for Config.StaleAfter. Reports that were delayed in transit arrive together.
func (t *Table) contests(now time.Time, e *entry, r Record) bool {
	if !t.isStale(now, e) || r.Incarnation == e.record.Incarnation && ranks[r.State] < ranks[e.record.State] {
		return false
	}
	c := e.contender
	if c == nil || c.incarnation != r.Incarnation || r.Sequence <= c.sequence {
		e.contender = &contender{incarnation: r.Incarnation, sequence: r.Sequence, since: now}
		return false
	}
	c.sequence = r.Sequence
	return now.Sub(c.since) >= t.cfg.StaleAfter
}

// isStale reports whether the upstream has not reported for longer than Config.StaleAfter.
func (t *Table) isStale(now time.Time, e *entry) bool {
	return now.Sub(e.heardAt) > t.cfg.StaleAfter
}

// checkNumbers returns an error if the report claims a start in the future or a sequence that no
// upstream reaches: such a record would count as the newest for good.
func (r Record) checkNumbers(now time.Time) error {
	if latest := identifier.Incarnation(now.Add(maxStartAhead).UnixMilli()); r.Incarnation > latest {
		return explainer.New(explainer.InvalidInput, fmt.Sprintf("the upstream's start, %d ms after 1970, is more than %v ahead", r.Incarnation, maxStartAhead),
			"report the start in Unix milliseconds, and set the clocks")
	}
	if r.Sequence > maxSequence {
		return explainer.New(explainer.InvalidInput, fmt.Sprintf("the report's sequence %d is above %d", r.Sequence, uint64(maxSequence)),
			"count the reports of an upstream by one")
	}
	return nil
}
