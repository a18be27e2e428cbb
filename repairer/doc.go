// Package repairer decides, on the leader of the control replicas, which replica
// is admitted to the membership and which one is removed, so that no operator is
// needed.
//
// It keeps enough voters to tolerate the loss of Config.ToleratedLosses replicas. A
// new replica is admitted at once as a standby: a learner that holds the log and has
// no vote. A standby takes the place of a voter that has been silent for
// Config.SilentAfter or has announced that it is about to stop. A replica that
// announces itself under the name of a silent member is that member with an empty
// disk, and replaces it. A replica that has lost its place gives up its disk and announces
// itself anew; Exclusion tells it when. At most one change runs at a time, and package replicator
// rejects changes that the quorum does not allow.
//
// # Usage
//
//	cfg := repairer.NewConfig(1, 4*time.Second)
//	r := repairer.New(cfg)
//	switch action := r.Decide(now, status); action.Kind {
//	case repairer.Admit: err = coordinator.AdmitMember(ctx, action.Name)
//	case repairer.AddStandby: err = coordinator.AddStandby(ctx, action.Name)
//	case repairer.Replace: err = coordinator.ReplaceMember(ctx, action.Voter, action.Standby)
//	case repairer.Remove: err = coordinator.RemoveMember(ctx, action.Name)
//	}
//
// On every replica:
//
//	if exclusion.Observe(now, status, newestMembership) {
//		// empty the disk and start anew
//	}
package repairer
