// Package spreader keeps the processes of the system equal: what is declared,
// which upstreams there are, and where the control replicas are.
//
// Each process keeps one stream to control replicas: an entry to all of them, an
// agent to one. Over a stream both ends tell what changed in their tables of
// upstreams, at once and without being asked, and how they are at intervals. So
// a report that any process took reaches every other one over any replica that
// both can reach, also while the replicas can't agree on anything.
//
// What is declared is not told but fetched: a replica tells its revision, and a
// process that is behind asks it for the difference. Versions never go back.
//
// # Usage
//
//	s := spreader.New(spreader.Config{Process: "entry-1", Seeds: seeds, FollowAll: true}, deps)
//	s.Register(endpoint)
//	s.Start()
//	s.Report(record)       // an upstream reported here
//	s.SetReplicas(replicas) // on a control replica
package spreader
