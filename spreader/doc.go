// Package spreader synchronises four things between the processes of the system:
// the declared state, the table of upstreams, the list of control replicas and the
// summary of the quarantine.
//
// Each process keeps streams to control replicas open: an entry or a replica to
// all of them, an agent to one. Both ends of a stream send the changes of their
// table of upstreams at once and unasked, and refreshes and loads of upstreams at
// intervals. A report that one process received therefore reaches every other
// process over any replica that both can reach, even while the replicas cannot
// reach consensus. A report that an upstream leaves is confirmed only once a majority of
// the replicas have confirmed it, since the upstream need not repeat it.
//
// The declared state is fetched instead: a replica sends its revision with each
// update, and a process with an older revision requests the difference from a peer
// that package catcher chooses. Versions never decrease.
//
// A process without a disk knows only its seeds when it starts. A control replica
// therefore follows the seeds that don't follow it, until they have learned of the
// replicas. With many upstreams, the ends of a new stream compare their tables before
// they send them.
//
// What a process can't read of an update it leaves out, counts and logs: the revision and who
// leads must not depend on the record of one upstream.
//
// # Usage
//
//	cfg := spreader.Config{Process: "entry-1", Address: address, Region: "north", FollowAll: true}
//	s := spreader.New(cfg, seeds, table, view, endpoint, clock, log)
//	s.Register(endpoint)
//	s.Start()
//	s.Report(record)        // a record that an upstream reported to this process
//	s.SetReplicas(replicas) // on a control replica only
//	s.RecordDepartures(records) // on a control replica only
package spreader
