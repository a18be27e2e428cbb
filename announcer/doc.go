// Package announcer makes an agent's upstream a member and keeps it one.
//
// It announces the upstream to control, which grants a fencing token under a
// lease. The lease counts from when the agent sent the last report that the
// leader took as a renewal, less a margin for clocks that run at different
// rates, so that the agent's own view of it ends before control's. A member
// that control forgot is announced again under the same incarnation; one that a
// newer incarnation replaced is superseded for good.
//
// # Usage
//
//	a := announcer.New(announcement, submitter, clock, logger)
//	a.Start()
//	a.SetServing(announcer.Serving{...})
//	if lease, ok := a.Lease(); ok { ... give orders under lease.Token ... }
//	a.Leave(ctx)
package announcer
