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

// isOutcast reports whether this replica has heard for a while that it is none of
// the members, and hears no leader itself.
func (r *replica) isOutcast(status replicator.Status) bool {
	known := r.spreader.Membership()
	committed := repairer.Committed{Index: recorder.Index(known.Index), Replicas: known.Disks}
	now := r.clock.Now()
	if status.Addr.IsValid() || !repairer.IsOutcast(status, committed) {
		r.outcastSince = time.Time{}
		return false
	}
	if r.outcastSince.IsZero() {
		r.outcastSince = now
	}
	return now.Sub(r.outcastSince) >= outcastPatience
}

// renew begins anew with an empty disk.
func (r *replica) renew(d *disk) {
	r.giveUp(d, explainer.New(explainer.Fenced, "this replica is no longer a member", "none: it joins again with an empty disk"))
	folder := filepath.Join(r.parts.Placement.DataFolder, controlFolder)
	old := filepath.Join(r.parts.Placement.DataFolder, outcastFolder)
	err := errors.Join(os.RemoveAll(old), os.Rename(folder, old))
	if err == nil {
		err = os.RemoveAll(old)
	}
	r.log.Warn("Emptied the disk of a replica that is no longer a member.", zap.Error(err))
}
