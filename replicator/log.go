package replicator

import (
	"time"

	"celeryvalve/identifier"
	"celeryvalve/recorder"
)

// log holds the entries after begin.
type log struct {
	// begin is the position of the last entry that was compacted or replaced by a
	// snapshot, or zero if the log holds every entry from the first on.
	begin recorder.Position
	// beginAt is the time of the entry at begin.
	beginAt time.Time
	entries []recorder.Entry
}

func (l *log) last() recorder.Position {
	if len(l.entries) == 0 {
		return l.begin
	}
	return l.entries[len(l.entries)-1].Position()
}

// at returns the position of the entry at index, if it is in the log or at begin.
func (l *log) at(index recorder.Index) (recorder.Position, bool) {
	if index == l.begin.Index {
		return l.begin, true
	}
	e, ok := l.entry(index)
	return e.Position(), ok
}

func (l *log) entry(index recorder.Index) (recorder.Entry, bool) {
	if index <= l.begin.Index || index > l.last().Index {
		return recorder.Entry{}, false
	}
	return l.entries[index-l.begin.Index-1], true
}

// between returns a copy of the entries from first to last, inclusive.
func (l *log) between(first, last recorder.Index) []recorder.Entry {
	if first > last {
		return nil
	}
	from, to := first-l.begin.Index-1, last-l.begin.Index
	return append([]recorder.Entry(nil), l.entries[from:to]...)
}

// after returns the entries after index, without a copy.
func (l *log) after(index recorder.Index) []recorder.Entry {
	if index <= l.begin.Index {
		return l.entries
	}
	return l.entries[min(int(index-l.begin.Index), len(l.entries)):]
}

// batch returns up to n entries from first on with at most size bytes of data. The
// first entry is included whatever its size.
func (l *log) batch(first recorder.Index, n int, size identifier.ByteCount) []recorder.Entry {
	last := first
	var sum identifier.ByteCount
	for ; last <= l.last().Index && int(last-first) < n; last++ {
		e, _ := l.entry(last)
		sum += identifier.ByteCount(len(e.Data))
		if sum > size && last > first {
			break
		}
	}
	return l.between(first, last-1)
}

func bytesOf(entries []recorder.Entry) identifier.ByteCount {
	var sum identifier.ByteCount
	for _, e := range entries {
		sum += identifier.ByteCount(len(e.Data))
	}
	return sum
}

func (l *log) append(entries ...recorder.Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on.
func (l *log) truncate(index recorder.Index) {
	l.entries = l.entries[:index-l.begin.Index-1]
}

// compactionIndex returns the index up to which to compact the log, such that at
// most n entries with at most size bytes of data remain between it and last.
func (l *log) compactionIndex(last recorder.Index, n int, size identifier.ByteCount) recorder.Index {
	index := last
	var sum identifier.ByteCount
	for ; index > l.begin.Index && int(last-index) < n; index-- {
		e, _ := l.entry(index)
		sum += identifier.ByteCount(len(e.Data))
		if sum > size {
			break
		}
	}
	return index
}

// compact drops the entries up to index.
func (l *log) compact(index recorder.Index) {
	position, ok := l.at(index)
	if !ok || index == l.begin.Index {
		return
	}
	l.beginAt = l.timeOf(index)
	l.entries = l.between(index+1, l.last().Index)
	l.begin = position
}

// reset empties the log, so that the next entry is the one after the snapshot.
func (l *log) reset(s recorder.Snapshot) {
	l.begin = s.Position
	l.beginAt = s.At
	l.entries = nil
}

// timeOf returns the time of the entry at index, which must be in the log or at
// begin.
func (l *log) timeOf(index recorder.Index) time.Time {
	if e, ok := l.entry(index); ok {
		return e.At
	}
	return l.beginAt
}

// lastBeforeTerm returns the last index whose term is lower than that of the entry
// at index, or the index of begin if there is none in the log.
func (l *log) lastBeforeTerm(index recorder.Index) recorder.Index {
	position, ok := l.at(index)
	if !ok {
		return l.begin.Index
	}
	term := position.Term
	for index > l.begin.Index && position.Term == term {
		index--
		position, _ = l.at(index)
	}
	return index
}
