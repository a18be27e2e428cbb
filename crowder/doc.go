// Package crowder makes crowds of clients that don't behave, for tests of processes, and samples what a
// process takes while they stay: memory, with what has arrived for it and was not read, and descriptors.
//
// All connections stay open until the crowd leaves.
//
// # Usage
//
//	watch := crowder.Watch(pid, netip.MustParseAddr("127.53.1.1"))
//	crowd := crowder.Gather(crowder.Alike(400, "127.53.1.1:7981", crowder.ByPieces(head)))
//	defer crowd.Leave()
//	peak := watch.End()
package crowder
