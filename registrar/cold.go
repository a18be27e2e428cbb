package registrar

import "time"

// coldTolerance is by how much the end of coldness must change for a record to be sent on.
// Reports are delayed in transit by less, so that counting down sends none.
const coldTolerance = 250 * time.Millisecond

// recordCold takes in how long the upstream stays cold by the report, and reports whether
// that is news. A report that is not newer than the one behind what is known says nothing.
func (e *entry) recordCold(now time.Time, r Record) bool {
	if !e.coldUntil.IsZero() && r.Sequence <= e.coldSequence {
		return false
	}
	e.coldSequence = r.Sequence
	before := e.coldRemaining(now)
	left := time.Duration(r.ColdMillis) * time.Millisecond
	e.coldUntil = now.Add(left)
	return (left - before).Abs() > coldTolerance
}

// coldRemaining returns how long the upstream still stays cold.
func (e *entry) coldRemaining(now time.Time) time.Duration {
	return max(0, e.coldUntil.Sub(now))
}
