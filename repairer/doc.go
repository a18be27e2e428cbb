// Package repairer decides, on the leader of the control replicas, which replica
// is admitted to the membership and which one is removed, so that no operator is
// needed.
//
// It keeps enough voters to tolerate the loss of Config.ToleratedLosses replicas. A
// member is silent if the leader has received no message from it for a time set in
// Config. A replica that announces itself under the name of a silent member is
// that member with an empty disk, and replaces it. Any other new replica is
// admitted while too few voters respond. A silent voter is removed only while there
// are more voters than wanted, so only after its replacement has caught up and
// synced. At most one change runs at a time, and package replicator rejects changes
// that the quorum does not allow.
//
// # Usage
//
//	r := repairer.New(repairer.Config{ToleratedLosses: 1, SilentAfter: 8 * time.Second, JoinerLifetime: time.Second})
//	switch action := r.Decide(now, status); action.Kind {
//	case repairer.Admit: err = coordinator.AdmitMember(ctx, action.Name)
//	case repairer.Remove: err = coordinator.RemoveMember(ctx, action.Name)
//	}
package repairer
