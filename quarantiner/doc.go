// Package quarantiner finds the requests that crash the upstreams which run them, and the
// parts of prompts that crash the upstreams which begin to answer them.
//
// Quarantine is a part of a replicated state machine: each crash of an upstream is
// reported with the requests that were in flight there, and the quarantine counts
// the crashes of each Fingerprint. Requests whose fingerprint was in flight at too
// many crashes are refused on all upstreams. Since a crash says nothing about which
// of several requests caused it, a fingerprint is cleared once such a request has
// run to its end.
//
// Copies of a request may be in flight on several upstreams at the same time, and these
// may crash together for a reason of their own. Crashes are therefore counted in rounds: a
// round begins with a request that was sent after the last crash that counted. In the
// first round only the crashes of one copy count, those of its attempts one after the
// other; in later rounds the crash of each upstream counts, whoever reports it.
//
// A fingerprint that was in flight at as many crashes as refuse it, of which too few count,
// is on probation: processes run one such request at a time, all together. If it runs to its
// end the fingerprint is cleared; if its upstream crashes it is refused.
//
// Parts of prompts are suspects like requests, with fingerprints of their own. Many requests
// may share a part, so that more is needed to refuse one: it must have been in flight at a
// large share of all crashes, more so if requests with it have run to their end before. If
// two parts were in the same prompts at the crashes, the one that has never run to its end is
// the cause, or the one that was at more crashes; as long as either may be, only prompts with
// both are refused. Twice the evidence is needed while a part of other prompts was at about as
// many of the crashes. A part that is refused explains the crashes at which it was, so that the
// others are no suspects for them; and a part that ran to its end after it became a suspect
// is none for a minute, since the likely cause is beside it.
//
// The quarantine is bounded: Config.MaxSuspects limits its fingerprints, MaxReports
// the reports that it recognises, and a fingerprint is dropped Config.Retention
// after its last crash.
//
// # Usage
//
//	q := quarantiner.New(quarantiner.Config{CrashesUntilRefused: 2, Retention: 24 * time.Hour, MaxSuspects: 4096})
//	q.Report(&quarantiner.ReportCrash{Upstream: "u1", Crash: 1, InFlight: inFlight}, now, index)
//	q.Clear(&quarantiner.ClearSuspects{Fingerprints: completed}, now, index)
//	for _, s := range q.List() { ... s.Refused ... }
package quarantiner
