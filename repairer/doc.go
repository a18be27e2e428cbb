// Package repairer decides, on the leader of the control replicas, which replica
// joins and which one leaves, so that no operator is needed.
//
// It wants enough voters that the loss of as many as the settings say can be
// borne. A replica that announces itself under the name of a member is that
// member with an empty disk, and takes its place. Any other one joins while too
// few voters answer. A silent voter leaves only while more voters than wanted
// remain, so in exchange for one that has caught up and synced. One change runs
// at a time, and package replicator refuses what the quorum doesn't allow.
//
// # Usage
//
//	r := repairer.New(repairer.Config{Tolerated: 1, SilentAfter: 8 * time.Second})
//	switch action := r.Decide(now, status); action.Kind {
//	case repairer.Admit: err = coordinator.AdmitMember(ctx, action.Name)
//	case repairer.Remove: err = coordinator.RemoveMember(ctx, action.Name)
//	}
package repairer
