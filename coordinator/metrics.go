package coordinator

import (
	"github.com/VictoriaMetrics/metrics"

	"celeryvalve/identifier"
	"celeryvalve/replicator"
)

// replicaMetrics holds the metrics that the replica updates itself. The gauges
// are computed when they are read.
type replicaMetrics struct {
	applied            *metrics.Counter
	snapshotsTaken     *metrics.Counter
	snapshotsInstalled *metrics.Counter
	statesSent         *metrics.Counter
	roleChanges        *metrics.Counter
	dropped            *metrics.Counter
	syncSeconds        *metrics.Histogram
	applySeconds       *metrics.Histogram
	snapshotSeconds    *metrics.Histogram
	changeSeconds      *metrics.Histogram
}

func newMetrics(c *Coordinator) *replicaMetrics {
	set := c.cfg.Metrics
	set.NewGauge("celeryvalve_control_leader", func() float64 {
		if c.IsLeader() {
			return 1
		}
		return 0
	})
	set.NewGauge("celeryvalve_control_term", func() float64 { return float64(c.Term()) })
	set.NewGauge("celeryvalve_control_failed", func() float64 {
		if c.Status().Failure != nil {
			return 1
		}
		return 0
	})
	set.NewGauge("celeryvalve_control_voters_silent", func() float64 { return float64(c.silentVoters()) })
	set.NewGauge("celeryvalve_control_replicas_waiting", func() float64 { return float64(len(c.Status().Joiners)) })
	set.NewGauge("celeryvalve_control_learner_backlog_bytes", func() float64 { return float64(c.learnerBacklog()) })
	set.NewGauge("celeryvalve_control_log_bytes", func() float64 { return float64(c.logBytes.Load()) })
	return &replicaMetrics{
		applied:            set.NewCounter("celeryvalve_control_entries_applied_total"),
		snapshotsTaken:     set.NewCounter("celeryvalve_control_snapshots_taken_total"),
		statesSent:         set.NewCounter("celeryvalve_control_states_sent_total"),
		snapshotsInstalled: set.NewCounter("celeryvalve_control_snapshots_installed_total"),
		roleChanges:        set.NewCounter("celeryvalve_control_role_changes_total"),
		dropped:            set.NewCounter("celeryvalve_control_messages_dropped_total"),
		syncSeconds:        set.NewHistogram("celeryvalve_control_sync_seconds"),
		applySeconds:       set.NewHistogram("celeryvalve_control_apply_seconds"),
		snapshotSeconds:    set.NewHistogram("celeryvalve_control_snapshot_write_seconds"),
		changeSeconds:      set.NewHistogram("celeryvalve_control_change_seconds"),
	}
}

// learnerBacklog returns how many bytes the learners have not acknowledged. It returns 0 on replicas
// that don't lead.
func (c *Coordinator) learnerBacklog() identifier.ByteCount {
	var sum identifier.ByteCount
	for _, m := range c.Status().Members {
		if !m.Voter {
			sum += m.Backlog.EntryBytes + m.Backlog.SnapshotBytes
		}
	}
	return sum
}

// silentVoters returns the number of voters from which the leader has received
// no message for more than an election timeout. It returns 0 on other replicas,
// which don't track this.
func (c *Coordinator) silentVoters() int {
	status := c.Status()
	if status.Role != replicator.Leader {
		return 0
	}
	n := 0
	for _, m := range status.Members {
		self := m.Replica == status.Replica
		if m.Voter && !self && c.clock.Since(m.LastHeard) > c.cfg.ElectionTimeout {
			n++
		}
	}
	return n
}
