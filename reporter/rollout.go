package reporter

import (
	"slices"
	"strings"
	"time"

	"celeryvalve/identifier"
)

// RolloutStatus is the progress of one rollout and its limits.
type RolloutStatus struct {
	Rollout
	Limits RolloutLimits
	// Elapsed is the time since the declaration; once finished, until the end.
	Elapsed Duration
	// Progress is the share of the bytes that the wanted replicas hold, at most 1.
	Progress float64
	// Rate is the growth of Received between the last two snapshots.
	Rate identifier.BytesPerSecond
	// Remaining is the time until all bytes are received at Rate; zero if not known.
	Remaining Duration
	// Copies is the number of copies that were read from the origin.
	Copies float64
	// Stalled is true if bytes are missing and none were received since the previous
	// snapshot.
	Stalled  bool
	Severity Severity
}

// Done reports whether the rollout has finished: every wanted replica was ready.
func (s RolloutStatus) Done() bool {
	return !s.Finished.IsZero()
}

// rolloutKey identifies a rollout across snapshots.
type rolloutKey struct {
	service identifier.Service
	model   identifier.Model
	adapter identifier.Adapter
	version identifier.WeightVersion
}

func (r Rollout) key() rolloutKey {
	return rolloutKey{r.Service, r.Model, r.Adapter, r.Version}
}

// rolloutStatuses returns the status of the latest rollouts whose service has limits.
// Running rollouts come first, then each group is sorted by service.
func rolloutStatuses(snapshots []Snapshot, limits map[identifier.Service]RolloutLimits) []RolloutStatus {
	last, previous, interval := lastRollouts(snapshots)
	var list []RolloutStatus
	for _, r := range last.Rollouts {
		limit, ok := limits[r.Service]
		if !ok {
			continue
		}
		earlier, known := previous[r.key()]
		status := newRolloutStatus(r, limit, last.Time)
		if known && interval > 0 && !status.Done() {
			status.project(earlier, interval)
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
// previous such snapshot of the same process, and the interval between the two snapshots,
// which is zero if there is no previous one.
func lastRollouts(snapshots []Snapshot) (last Snapshot, previous map[rolloutKey]Rollout, interval time.Duration) {
	previous = make(map[rolloutKey]Rollout)
	for _, s := range slices.Backward(snapshots) {
		switch {
		case len(s.Rollouts) == 0:
		case last.Time.IsZero():
			last = s
		case s.Source == last.Source:
			for _, r := range s.Rollouts {
				previous[r.key()] = r
			}
			return last, previous, last.Time.Sub(s.Time)
		}
	}
	return last, previous, 0
}

func newRolloutStatus(r Rollout, limits RolloutLimits, now time.Time) RolloutStatus {
	status := RolloutStatus{Rollout: r, Limits: limits}
	end := now
	if status.Done() {
		end = r.Finished
	}
	status.Elapsed = Duration(end.Sub(r.Declared))
	if total := float64(r.Size) * float64(r.Wanted); total > 0 {
		status.Progress = min(1, float64(r.Received)/total)
	}
	if r.Size > 0 {
		status.Copies = float64(r.FromOrigin) / float64(r.Size)
	}
	return status
}

// project computes the rate, the remaining time and whether the rollout has stalled,
// given its state in the previous snapshot and the interval between the two snapshots.
func (s *RolloutStatus) project(previous Rollout, interval time.Duration) {
	s.Rate = identifier.BytesPerSecond(float64(s.Received-previous.Received) / interval.Seconds())
	missing := float64(s.Size)*float64(s.Wanted) - float64(s.Received)
	s.Stalled = missing > 0 && s.Rate <= 0
	if s.Rate > 0 && missing > 0 {
		s.Remaining = Duration(missing / float64(s.Rate) * float64(time.Second))
	}
}

// severity returns Page if a running rollout has exceeded a limit. It returns Ticket if a
// finished rollout has exceeded a limit, or a running one has stalled or is projected to
// exceed its time limit.
func (s RolloutStatus) severity() Severity {
	exceeded := s.Elapsed > s.Limits.TimeToReplicas || s.Copies > s.Limits.OriginCopies
	if exceeded && !s.Done() {
		return Page
	}
	if exceeded || s.Stalled || s.Elapsed+s.Remaining > s.Limits.TimeToReplicas {
		return Ticket
	}
	return None
}
