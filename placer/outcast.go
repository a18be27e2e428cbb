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
)

// newestMembership returns the newest committed membership that this process has heard of.
func (r *replica) newestMembership() repairer.CommittedMembership {
	list := r.spreader.ReplicaList()
	return repairer.CommittedMembership{Index: recorder.Index(list.Index), Replicas: list.Disks}
}

// resetDisk stops the replica and deletes its data. The replica joins again with an empty
// disk at the next reconcile.
func (r *replica) resetDisk(node *replicaNode) {
	r.closeNode(node, explainer.New(explainer.Fenced, "this replica is no longer a member", "none: it joins again with an empty disk"))
	folder := filepath.Join(r.deps.Placement.DataFolder, controlFolder)
	old := filepath.Join(r.deps.Placement.DataFolder, removedFolder)
	err := errors.Join(os.RemoveAll(old), os.Rename(folder, old))
	if err == nil {
		err = os.RemoveAll(old)
	}
	r.mu.Lock()
	r.lastAttemptEnd = time.Time{} // the disk has not failed
	r.mu.Unlock()
	// The cluster exists: this replica must not found another one with its new disk.
	r.deps.Placement.FirstStart = false
	r.log.Warn("Emptied the disk of a replica that is no longer a member.", zap.Error(err))
}
