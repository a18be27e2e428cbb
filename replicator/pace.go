package replicator

import (
	"time"

	"celeryvalve/recorder"
)

// pace measures how far a member lags behind the leader, in rounds: a round ends once the member has
// acknowledged every entry that the log had when the round began.
type pace struct {
	// until and since are the last entry and the beginning of the current round.
	until recorder.Index
	since time.Time
	// lag is how long the last round took. It holds if measured is set.
	lag      time.Duration
	measured bool
}

// acknowledge notes that the member has acknowledged the entries up to match. last is the end of the
// leader's log.
func (p *pace) acknowledge(match, last recorder.Index, now time.Time) {
	if match < p.until {
		return
	}
	p.lag, p.measured = now.Sub(p.since), true
	p.until, p.since = last, now
}

// within reports whether the last round, and the current one so far, took no longer than the limit.
func (p *pace) within(limit time.Duration, now time.Time) bool {
	return p.measured && p.lag <= limit && now.Sub(p.since) <= limit
}
