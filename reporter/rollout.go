package reporter

import (
	"slices"
	"strings"
	"time"

	"celeryvalve/identifier"
)

// RolloutStatus is where one rollout stands against its limits.
type RolloutStatus struct {
	Rollout
	Limits RolloutLimits
	// Elapsed is the time since the declaration, up to the end.
	Elapsed Duration
	// Progress is the share of the bytes that the replicas hold.
	Progress float64
	// Rate is the growth of Received between the last two snapshots.
	Rate identifier.BytesPerSecond
	// Remaining is the time until all bytes are there at that rate; zero if not known.
	Remaining Duration
	// Copies is how many copies were read from the origin.
	Copies float64
	// Stalled says that bytes are missing and none came since the last snapshot.
	Stalled  bool
	Severity Severity
}

// Done reports whether every wanted replica was ready.
func (s RolloutStatus) Done() bool {
	return !s.Finished.IsZero()
}

type rolloutKey struct {
	service identifier.Service
	model   identifier.Model
	adapter identifier.Adapter
	version identifier.WeightVersion
}

func (r Rollout) key() rolloutKey {
	return rolloutKey{r.Service, r.Model, r.Adapter, r.Version}
}

// rolloutStatuses returns the last rollouts whose service has limits, those that
// run first.
func rolloutStatuses(snapshots []Snapshot, limits map[identifier.Service]RolloutLimits) []RolloutStatus {
	last, before, since := lastRollouts(snapshots)
	var list []RolloutStatus
	for _, r := range last.Rollouts {
		limit, ok := limits[r.Service]
		if !ok {
			continue
		}
		previous, known := before[r.key()]
		status := newRolloutStatus(r, limit, last.Time)
		if known && since > 0 && !status.Done() {
			status.project(previous, since)
		}
		status.Severity = status.severity()
		list = append(list, status)
	}
	slices.SortStableFunc(list, func(a, b RolloutStatus) int {
		if a.Done() != b.Done() {
			if b.Done() {
				return -1
			}
			return 1
		}
		return strings.Compare(string(a.Service), string(b.Service))
	})
	return list
}

// lastRollouts returns the last snapshot that lists rollouts, the rollouts of the
// same process's snapshot before it, and the time between the two.
func lastRollouts(snapshots []Snapshot) (last Snapshot, before map[rolloutKey]Rollout, since time.Duration) {
	before = make(map[rolloutKey]Rollout)
	for _, s := range slices.Backward(snapshots) {
		switch {
		case len(s.Rollouts) == 0:
		case last.Time.IsZero():
			last = s
		case s.Source == last.Source:
			for _, r := range s.Rollouts {
				before[r.key()] = r
			}
			return last, before, last.Time.Sub(s.Time)
		}
	}
	return last, before, 0
}

func newRolloutStatus(r Rollout, limits RolloutLimits, now time.Time) RolloutStatus {
	status := RolloutStatus{Rollout: r, Limits: limits}
	end := now
	if status.Done() {
		end = r.Finished
	}
	status.Elapsed = Duration(end.Sub(r.Declared))
	if whole := float64(r.Size) * float64(r.Wanted); whole > 0 {
		status.Progress = min(1, float64(r.Received)/whole)
	}
	if r.Size > 0 {
		status.Copies = float64(r.FromOrigin) / float64(r.Size)
	}
	return status
}

// project derives the rate and the time that remains from the previous snapshot.
func (s *RolloutStatus) project(previous Rollout, since time.Duration) {
	s.Rate = identifier.BytesPerSecond(float64(s.Received-previous.Received) / since.Seconds())
	missing := float64(s.Size)*float64(s.Wanted) - float64(s.Received)
	s.Stalled = missing > 0 && s.Rate <= 0
	if s.Rate > 0 && missing > 0 {
		s.Remaining = Duration(missing / float64(s.Rate) * float64(time.Second))
	}
}

// severity pages for a limit that a running rollout has broken, and files a
// ticket for one that will be broken or that a finished rollout broke.
func (s RolloutStatus) severity() Severity {
	broken := s.Elapsed > s.Limits.TimeToReplicas || s.Copies > s.Limits.OriginCopies
	if broken && !s.Done() {
		return Page
	}
	if broken || s.Stalled || s.Elapsed+s.Remaining > s.Limits.TimeToReplicas {
		return Ticket
	}
	return None
}
