package placer

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"celeryvalve/explainer"
	"celeryvalve/recorder"
	"celeryvalve/repairer"
	"celeryvalve/replicator"
)

// isExcluded reports whether, for exclusionTimeout, the newest known membership has not
// contained this replica and the replica has known no leader.
func (r *replica) isExcluded(status replicator.Status) bool {
	membership := r.spreader.ReplicaList()
	committed := repairer.CommittedMembership{Index: recorder.Index(membership.Index), Replicas: membership.Disks}
	now := r.clock.Now()
	if status.LeaderAddr.IsValid() || !repairer.IsExcluded(status, committed) {
		r.excludedSince = time.Time{}
		return false
	}
	if r.excludedSince.IsZero() {
		r.excludedSince = now
	}
	return now.Sub(r.excludedSince) >= exclusionTimeout
}

// resetDisk stops the replica and deletes its data. The replica then joins again with
// an empty disk.
func (r *replica) resetDisk(node *replicaNode) {
	r.closeNode(node, explainer.New(explainer.Fenced, "this replica is no longer a member", "none: it joins again with an empty disk"))
	folder := filepath.Join(r.deps.Placement.DataFolder, controlFolder)
	old := filepath.Join(r.deps.Placement.DataFolder, removedFolder)
	err := errors.Join(os.RemoveAll(old), os.Rename(folder, old))
	if err == nil {
		err = os.RemoveAll(old)
	}
	// The cluster exists: this replica must not found another one with its new disk.
	r.deps.Placement.FirstStart = false
	r.log.Warn("Emptied the disk of a replica that is no longer a member.", zap.Error(err))
}
