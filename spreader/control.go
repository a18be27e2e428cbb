package spreader

import "time"

const (
	// controlSuspected is how long no control replica may have told that it knows the leader
	// until control counts as out of reach: two heartbeats.
	controlSuspected = 2 * heartbeatInterval
	// controlOutage is the shortest time in which a replica knows no leader that counts as an
	// outage. An election after the loss of one replica is shorter.
	controlOutage = 3 * time.Second
)

// ControlStatus says whether control works, as this process knows it.
type ControlStatus struct {
	// Reached is set while a control replica tells that it knows the leader.
	Reached bool
	// LastReached is when one last did, or zero.
	LastReached time.Time
	// SteadySince is since when the steadiest of the replicas runs and knows a leader. A
	// process that was cut off by itself thus takes that for no outage of control.
	SteadySince time.Time
	// StartedAt is when the control replica that started last did, or zero if none has told.
	StartedAt time.Time
}

// WatchControl registers f, which is called regularly with the status of control. Call it
// before Start.
func (s *Spreader) WatchControl(f func(ControlStatus)) {
	s.controlWatchers = append(s.controlWatchers, f)
}

// notifyControl brings the status of control up to date and tells the watchers.
func (s *Spreader) notifyControl() {
	s.mu.Lock()
	now := s.clock.Now()
	lastLed, ledFor := s.lastLed(now)
	s.control = s.control.observe(now, lastLed, ledFor)
	s.control.StartedAt = s.lastStart()
	status := s.control
	s.mu.Unlock()
	for _, f := range s.controlWatchers {
		f(status)
	}
}

// lastLed returns when a control replica last told that it knows the leader, and the longest
// time for which one has known it without an outage. The caller holds s.mu.
func (s *Spreader) lastLed(now time.Time) (at time.Time, ledFor time.Duration) {
	if s.ownReplicas != nil && s.ownReplicas.Led {
		at, ledFor = now, s.led.duration(now)
	}
	for _, status := range s.statuses {
		if status.lastLed.IsZero() || now.Sub(status.lastLed) >= controlOutage {
			continue
		}
		if status.lastLed.After(at) {
			at = status.lastLed
		}
		ledFor = max(ledFor, status.ledFor)
	}
	return at, ledFor
}

// lastStart returns when the control replica that started last did. The caller holds s.mu.
func (s *Spreader) lastStart() time.Time {
	var last time.Time
	if s.ownReplicas != nil {
		last = s.startedAt
	}
	for _, status := range s.statuses {
		if status.startedAt.After(last) {
			last = status.startedAt
		}
	}
	return last
}

// startFor returns the start that a follower is told. One that follows all replicas gets that
// of this one: replicas that passed on each other's word would delay it further each time.
// The caller holds s.mu.
func (s *Spreader) startFor(sent *sentState) time.Time {
	if sent.includeLoads {
		return s.startedAt
	}
	return s.lastStart()
}

// noteStart takes in how long ago a replica started. Of several updates about one start, the
// one that was the shortest time on its way counts.
func (s *replicaStatus) noteStart(now time.Time, ago time.Duration) {
	if ago == 0 {
		return
	}
	at := now.Add(-ago)
	if ago < s.startedAgo || s.startedAt.IsZero() || at.Before(s.startedAt) {
		s.startedAt = at
	}
	s.startedAgo = ago
}

// observe returns the status after a look at what the control replicas have told.
func (c ControlStatus) observe(now, lastLed time.Time, ledFor time.Duration) ControlStatus {
	if lastLed.After(c.LastReached) {
		c.LastReached, c.SteadySince = lastLed, lastLed.Add(-ledFor)
	}
	c.Reached = !c.LastReached.IsZero() && now.Sub(c.LastReached) <= controlSuspected
	return c
}

// ledSpan is how long a control replica has known a leader, apart from interruptions shorter
// than controlOutage.
type ledSpan struct {
	since  time.Time
	lostAt time.Time
}

// set records whether the replica knows the leader now.
func (l *ledSpan) set(now time.Time, led bool) {
	switch {
	case !led && l.lostAt.IsZero():
		l.lostAt = now
	case led:
		if l.since.IsZero() || !l.lostAt.IsZero() && now.Sub(l.lostAt) >= controlOutage {
			l.since = now
		}
		l.lostAt = time.Time{}
	}
}

// duration returns how long the replica has known a leader.
func (l *ledSpan) duration(now time.Time) time.Duration {
	if l.since.IsZero() {
		return 0
	}
	return now.Sub(l.since)
}
