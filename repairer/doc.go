// Package repairer decides, on the leader of the control replicas, which replica
// is admitted to the membership and which one is removed, so that no operator is
// needed.
//
// It keeps enough voters to tolerate the loss of Config.ToleratedLosses replicas. A
// new replica is admitted at once as a standby: a learner that holds the log and has
// no vote. A standby takes the place of a voter that has been silent for
// Config.SilentAfter or has announced that it is about to stop. A replica that
// announces itself under the name of a silent member is that member with an empty
// disk, and replaces it. At most one change runs at a time, and package replicator
// rejects changes that the quorum does not allow.
//
// # Usage
//
//	r := repairer.New(repairer.Config{ToleratedLosses: 1, SilentAfter: 2 * time.Second, JoinerLifetime: time.Second, AnswerTimeout: 300 * time.Millisecond})
//	switch action := r.Decide(now, status); action.Kind {
//	case repairer.Admit: err = coordinator.AdmitMember(ctx, action.Name)
//	case repairer.AddStandby: err = coordinator.AddStandby(ctx, action.Name)
//	case repairer.Replace: err = coordinator.ReplaceMember(ctx, action.Voter, action.Standby)
//	case repairer.Remove: err = coordinator.RemoveMember(ctx, action.Name)
//	}
package repairer
