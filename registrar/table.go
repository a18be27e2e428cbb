package registrar

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
)

// Config sets how long the record of an upstream that no longer reports is used.
type Config struct {
	// StaleAfter is the time without a report after which a record is stale.
	StaleAfter time.Duration
	// ForgetAfter is the time without a report after which a record is dropped. It
	// must be longer than a report can be delayed in transit, so that a delayed
	// report can't bring a dropped upstream back.
	ForgetAfter time.Duration
}

// Cursor is a position in the sequence of a table's changes.
type Cursor uint64

// Table is the table of upstreams of one process. It is not safe for concurrent
// use.
type Table struct {
	cfg     Config
	entries map[identifier.Upstream]*entry
	// holders holds the entries that are not over, by the address of their record.
	holders map[netip.AddrPort][]*entry
	// over holds the entries that are over.
	over map[*entry]struct{}
	// byName holds the entries sorted by name, or nil if one was added or dropped since.
	byName []*entry
	cursor Cursor
	// sum combines the digests of all records.
	sum uint64
}

type entry struct {
	record  Record
	digest  Digest         // of the record
	held    netip.AddrPort // under which the table's holders have the entry, or invalid
	heardAt time.Time
	changed Cursor
	// coldUntil is when the upstream has warmed up, by the report with coldSequence.
	coldUntil    time.Time
	coldSequence uint64
	// refreshedSequence is the sequence that Refreshes returned last.
	refreshedSequence uint64
	// contender has contradicted the record while that was stale. It is nil if nobody has.
	contender *contender
}

// KnownUpstream is a record with its age in this process.
type KnownUpstream struct {
	Record
	// Age is the time since this process first learned of the upstream's latest
	// report.
	Age time.Duration
	// ColdRemaining is how long the upstream still stays cold.
	ColdRemaining time.Duration
	// Stale reports whether Age is longer than Config.StaleAfter.
	Stale bool
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{
		cfg:     cfg,
		entries: make(map[identifier.Upstream]*entry),
		holders: make(map[netip.AddrPort][]*entry),
		over:    make(map[*entry]struct{}),
	}
}

// RecordServing records the agent's announcement of the release that an upstream serves, and
// reports whether it did so. It ignores announcements for unknown upstreams and
// those whose stamp is not higher than the recorded one.
func (t *Table) RecordServing(name identifier.Upstream, noted declarer.ReleaseNumber, stamp uint64) bool {
	e, ok := t.entries[name]
	if !ok || stamp <= e.record.Stamp {
		return false
	}
	e.record.Noted, e.record.Stamp = noted, stamp
	t.markChanged(e)
	return true
}

// RecordLimit records the limit that an incarnation of an upstream named, and reports
// whether it did so. It ignores limits of unknown upstreams and of other incarnations, and
// those whose stamp is not higher than the recorded one.
func (t *Table) RecordLimit(name identifier.Upstream, incarnation identifier.Incarnation, limit limiter.RequestLimit) bool {
	e, ok := t.entries[name]
	if !ok || e.record.Incarnation != incarnation || limit.Stamp <= e.record.Limit.Stamp {
		return false
	}
	e.record.Limit = limit
	t.markChanged(e)
	return true
}

// RecordLeaving records that an incarnation of an upstream has said in an answer that it
// leaves, and reports whether that is new. It ignores unknown upstreams and other incarnations.
func (t *Table) RecordLeaving(name identifier.Upstream, incarnation identifier.Incarnation) bool {
	e, ok := t.entries[name]
	if !ok || e.record.Incarnation != incarnation || e.record.State != Ready {
		return false
	}
	e.record.State = Draining
	t.markChanged(e)
	return true
}

// Merge merges a record into the table. It reports whether anything changed except
// the sequence and the arrival time of the latest report, and a ColdMillis that counts down.
func (t *Table) Merge(now time.Time, r Record) bool {
	if r.Upstream == "" || ranks[r.State] == 0 {
		return false
	}
	e, ok := t.entries[r.Upstream]
	if !ok {
		return t.add(now, r)
	}
	renewed := r.Epoch > e.record.Epoch
	if renewed && r.Incarnation == e.record.Incarnation && ranks[r.State] < ranks[e.record.State] {
		r.State = e.record.State
	}
	if r.Incarnation == e.record.Incarnation && ranks[r.State] < ranks[e.record.State] {
		// Leaving is final for an incarnation. This report was delayed in transit,
		// or the upstream has reversed its decision to leave too late, or has said
		// only in its answers that it leaves.
		if r.newerThan(e.record) {
			e.record.Sequence, e.heardAt, e.contender = r.Sequence, now, nil
		}
		return false
	}
	if !r.newerThan(e.record) && !r.advances(e.record) {
		if r.Incarnation != e.record.Incarnation {
			return false
		}
		serving := t.RecordServing(r.Upstream, r.Noted, r.Stamp)
		limit := t.RecordLimit(r.Upstream, r.Incarnation, r.Limit)
		cold := e.recordCold(now, r)
		if cold {
			t.markChanged(e)
		}
		return serving || limit || cold
	}
	e.heardAt = now
	e.contender = nil
	if r.Incarnation == e.record.Incarnation {
		if r.Stamp < e.record.Stamp {
			r.Noted, r.Stamp = e.record.Noted, e.record.Stamp
		}
		if r.Limit.Stamp < e.record.Limit.Stamp {
			r.Limit = e.record.Limit
		}
	}
	if renewed || r.Incarnation != e.record.Incarnation {
		e.coldUntil, e.coldSequence = time.Time{}, 0
	} else if !r.newerThan(e.record) {
		r.Displaced = r.Displaced || e.record.Displaced
	}
	cold := e.recordCold(now, r)
	same := r.equivalent(e.record) && !cold
	if !renewed && r.Incarnation == e.record.Incarnation {
		r.Epoch, r.Sequence = e.record.Epoch, max(r.Sequence, e.record.Sequence)
	}
	e.record = r
	if same {
		return false
	}
	t.markChanged(e)
	t.displace(now, r)
	return true
}

// add adds the record of an upstream that is not known. It reports false if the table is full.
func (t *Table) add(now time.Time, r Record) bool {
	if len(t.entries) >= maxUpstreams && !t.dropOver() {
		return false
	}
	e := &entry{record: r, heardAt: now}
	e.recordCold(now, r)
	t.entries[r.Upstream] = e
	t.byName = nil
	t.markChanged(e)
	t.displace(now, r)
	return true
}

// dropOver drops half of the records that get no requests any more, those that were not heard for
// longest. It returns false if there are none.
func (t *Table) dropOver() bool {
	over := slices.SortedFunc(maps.Keys(t.over), func(a, b *entry) int { return a.heardAt.Compare(b.heardAt) })
	for _, e := range over[:(len(over)+1)/2] {
		t.drop(e)
	}
	return len(over) > 0
}

func (t *Table) drop(e *entry) {
	delete(t.entries, e.record.Upstream)
	t.release(e)
	t.byName = nil
	t.sum -= uint64(e.digest)
}

// hold files the entry among the holders of its address, or among those that are over.
func (t *Table) hold(e *entry) {
	if e.held.IsValid() && e.held == e.record.Address && !e.record.IsOver() {
		return
	}
	t.release(e)
	if e.record.IsOver() {
		t.over[e] = struct{}{}
		return
	}
	if e.record.Address.IsValid() {
		e.held = e.record.Address
		t.holders[e.held] = append(t.holders[e.held], e)
	}
}

// release removes the entry from the holders of its address, and from those that are over.
func (t *Table) release(e *entry) {
	delete(t.over, e)
	if !e.held.IsValid() {
		return
	}
	left := slices.DeleteFunc(t.holders[e.held], func(other *entry) bool { return other == e })
	if len(left) == 0 {
		delete(t.holders, e.held)
	} else {
		t.holders[e.held] = left
	}
	e.held = netip.AddrPort{}
}

// displace marks as Displaced every other upstream whose address r has taken over, or r itself
// if another one that has started later holds the address and still reports.
func (t *Table) displace(now time.Time, r Record) {
	if r.IsOver() {
		return
	}
	var others []*entry
	for _, e := range t.holders[r.Address] {
		if e.record.Upstream == r.Upstream {
			continue
		}
		if r.Incarnation != 0 && r.Incarnation < e.record.Incarnation && !t.isStale(now, e) {
			others = []*entry{t.entries[r.Upstream]}
			break
		}
		others = append(others, e)
	}
	for _, e := range others {
		e.record.Displaced = true
		t.markChanged(e)
	}
}

func (t *Table) markChanged(e *entry) {
	t.cursor++
	e.changed = t.cursor
	t.sum -= uint64(e.digest)
	e.digest = e.record.Digest()
	t.sum += uint64(e.digest)
	t.hold(e)
}

// Refresh records that an upstream has sent a new report. It returns false if the
// table has no record of that incarnation of the upstream.
func (t *Table) Refresh(now time.Time, f Refresh) bool {
	e, ok := t.entries[f.Upstream]
	if !ok || e.record.Incarnation != f.Incarnation {
		return false
	}
	if f.Sequence > e.record.Sequence && !e.record.Displaced {
		e.record.Sequence = f.Sequence
		e.heardAt, e.contender = now, nil
	}
	return true
}

// Refreshes returns a Refresh for each upstream that is not Gone and has sent a new
// report since the last call.
func (t *Table) Refreshes() []Refresh {
	var list []Refresh
	for _, e := range t.sorted() {
		if e.record.IsOver() || e.record.Sequence == e.refreshedSequence {
			continue
		}
		e.refreshedSequence = e.record.Sequence
		list = append(list, Refresh{Upstream: e.record.Upstream, Incarnation: e.record.Incarnation, Sequence: e.record.Sequence})
	}
	return list
}

// Since returns the records that changed after the cursor, and the cursor for the
// next call. Their ColdMillis count from now.
func (t *Table) Since(now time.Time, after Cursor) ([]Record, Cursor) {
	if after == t.cursor {
		return nil, t.cursor
	}
	var list []Record
	for _, e := range t.sorted() {
		if e.changed > after {
			r := e.record
			r.ColdMillis = e.coldRemaining(now).Milliseconds()
			list = append(list, r)
		}
	}
	return list, t.cursor
}

// Len returns the number of records.
func (t *Table) Len() int {
	return len(t.entries)
}

// Sum returns a value that is equal for tables with equal records, but for what changes with
// every report.
func (t *Table) Sum() uint64 {
	return t.sum
}

// Digests returns the digests of all records, sorted by upstream.
func (t *Table) Digests() []Digest {
	list := make([]Digest, 0, len(t.entries))
	for _, e := range t.sorted() {
		list = append(list, e.digest)
	}
	return list
}

// Cursor returns the position after the last change.
func (t *Table) Cursor() Cursor {
	return t.cursor
}

// Upstreams returns all upstreams that are neither Gone nor Displaced, sorted by name.
func (t *Table) Upstreams(now time.Time) []KnownUpstream {
	list := make([]KnownUpstream, 0, len(t.entries))
	for _, e := range t.sorted() {
		if e.record.IsOver() {
			continue
		}
		list = append(list, KnownUpstream{Record: e.record, Age: now.Sub(e.heardAt), ColdRemaining: e.coldRemaining(now), Stale: t.isStale(now, e)})
	}
	return list
}

// LastChange returns the last change of an upstream's record, or 0 if it is not known.
func (t *Table) LastChange(name identifier.Upstream) Cursor {
	e, ok := t.entries[name]
	if !ok {
		return 0
	}
	return e.changed
}

// Holds reports whether the table's record of the upstream says no more than r, which is of the
// same report or a later one.
func (t *Table) Holds(r Record) bool {
	e, ok := t.entries[r.Upstream]
	return ok && e.record.equivalent(r) && e.record.Sequence <= r.Sequence
}

// Find returns the record of one upstream, even if it is Gone.
func (t *Table) Find(name identifier.Upstream) (Record, bool) {
	e, ok := t.entries[name]
	if !ok {
		return Record{}, false
	}
	return e.record, true
}

// Forget drops the records of upstreams without a report for more than
// Config.ForgetAfter.
func (t *Table) Forget(now time.Time) {
	for _, e := range t.entries {
		if now.Sub(e.heardAt) > t.cfg.ForgetAfter {
			t.drop(e)
		}
	}
}

// sorted returns the entries by name. The caller must not change the list.
func (t *Table) sorted() []*entry {
	if t.byName == nil {
		t.byName = make([]*entry, 0, len(t.entries))
		for _, e := range t.entries {
			t.byName = append(t.byName, e)
		}
		slices.SortFunc(t.byName, func(a, b *entry) int { return cmp.Compare(a.record.Upstream, b.record.Upstream) })
	}
	return t.byName
}
