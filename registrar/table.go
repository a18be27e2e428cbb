package registrar

import (
	"cmp"
	"slices"
	"time"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

// Config sets how long upstreams are remembered.
type Config struct {
	// StaleAfter is how long an upstream counts as heard.
	StaleAfter time.Duration
	// ForgetAfter is after how long without a word its record is dropped. It is
	// longer than any report can be under way.
	ForgetAfter time.Duration
}

// Cursor is a position in the row of a table's changes.
type Cursor uint64

// Table is the table of one process. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	entries map[identifier.Upstream]*entry
	cursor  Cursor
}

type entry struct {
	record  Record
	heardAt time.Time
	changed Cursor
	// refreshed is the sequence that was passed on last.
	refreshed uint64
	// displaced is set where Gone came from the address alone.
	displaced bool
}

// Known is a record with its age.
type Known struct {
	Record
	// Age is the time since a report of the upstream was first heard of here.
	Age time.Duration
	// Stale says that the upstream has not been heard for Config.StaleAfter.
	Stale bool
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, entries: make(map[identifier.Upstream]*entry)}
}

// Note takes in what the agent beside an upstream says that it serves, and
// reports whether that changed.
func (t *Table) Note(name identifier.Upstream, noted declarer.ReleaseNumber, stamp uint64) bool {
	e, ok := t.entries[name]
	if !ok || stamp <= e.record.Stamp {
		return false
	}
	e.record.Noted, e.record.Stamp = noted, stamp
	t.touch(e)
	return true
}

// Merge takes in a record and reports whether it changed what is known beyond
// the time at which the upstream was heard.
func (t *Table) Merge(now time.Time, r Record) bool {
	if r.Upstream == "" || ranks[r.State] == 0 {
		return false
	}
	e, ok := t.entries[r.Upstream]
	if !ok {
		t.entries[r.Upstream] = &entry{record: r, heardAt: now}
		t.touch(t.entries[r.Upstream])
		t.displace(r)
		return true
	}
	if r.Incarnation == e.record.Incarnation && ranks[r.State] < ranks[e.record.State] && !e.displaced {
		// A later report than the one that told of leaving does not exist; this
		// one was under way for long, or the upstream changed its mind too late.
		return false
	}
	leaves := r.Incarnation == e.record.Incarnation && ranks[r.State] > ranks[e.record.State]
	if !r.follows(e.record) && !leaves {
		return r.Incarnation == e.record.Incarnation && t.Note(r.Upstream, r.Noted, r.Stamp)
	}
	e.heardAt = now
	if r.Incarnation == e.record.Incarnation && r.Stamp < e.record.Stamp {
		r.Noted, r.Stamp = e.record.Noted, e.record.Stamp
	}
	same := r.sameFacts(e.record)
	r.Sequence = max(r.Sequence, sequenceWithin(e.record, r.Incarnation))
	e.record = r
	e.displaced = false
	if same {
		return false
	}
	t.touch(e)
	t.displace(r)
	return true
}

func sequenceWithin(r Record, incarnation identifier.Incarnation) uint64 {
	if r.Incarnation != incarnation {
		return 0
	}
	return r.Sequence
}

// displace marks those as gone whose address the record took over.
func (t *Table) displace(r Record) {
	if r.State == Gone {
		return
	}
	for _, e := range t.entries {
		if e.record.Upstream == r.Upstream || e.record.Address != r.Address || e.record.State == Gone {
			continue
		}
		e.record.State = Gone
		e.displaced = true
		t.touch(e)
	}
}

func (t *Table) touch(e *entry) {
	t.cursor++
	e.changed = t.cursor
}

// Refresh takes in that an upstream was heard. It reports false where the record
// itself is missing here.
func (t *Table) Refresh(now time.Time, f Refresh) bool {
	e, ok := t.entries[f.Upstream]
	if !ok || e.record.Incarnation != f.Incarnation {
		return false
	}
	if f.Sequence > e.record.Sequence {
		e.record.Sequence = f.Sequence
		e.heardAt = now
	}
	return true
}

// Refreshes returns, each once, which upstreams were heard since the last call.
func (t *Table) Refreshes() []Refresh {
	var list []Refresh
	for _, e := range t.sorted() {
		if e.record.State == Gone || e.record.Sequence == e.refreshed {
			continue
		}
		e.refreshed = e.record.Sequence
		list = append(list, Refresh{Upstream: e.record.Upstream, Incarnation: e.record.Incarnation, Sequence: e.record.Sequence})
	}
	return list
}

// Since returns the records that changed after the cursor, and the cursor to ask
// from next time.
func (t *Table) Since(after Cursor) ([]Record, Cursor) {
	var list []Record
	for _, e := range t.sorted() {
		if e.changed > after {
			list = append(list, e.record)
		}
	}
	return list, t.cursor
}

// Known returns all upstreams that are not gone, by name.
func (t *Table) Known(now time.Time) []Known {
	var list []Known
	for _, e := range t.sorted() {
		if e.record.State == Gone {
			continue
		}
		age := now.Sub(e.heardAt)
		list = append(list, Known{Record: e.record, Age: age, Stale: age > t.cfg.StaleAfter})
	}
	return list
}

// Find returns the record of one upstream, also of one that is gone.
func (t *Table) Find(name identifier.Upstream) (Record, bool) {
	e, ok := t.entries[name]
	if !ok {
		return Record{}, false
	}
	return e.record, true
}

// Forget drops what was not heard for long.
func (t *Table) Forget(now time.Time) {
	for name, e := range t.entries {
		if now.Sub(e.heardAt) > t.cfg.ForgetAfter {
			delete(t.entries, name)
		}
	}
}

func (t *Table) sorted() []*entry {
	list := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int { return cmp.Compare(a.record.Upstream, b.record.Upstream) })
	return list
}
