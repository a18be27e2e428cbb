// Package reporter computes how services meet their service-level objectives and how
// fast they use up the error budgets, per service and organisation. It renders the
// result as text, as JSON and as one HTML page that loads no other file. It
// collects no data itself: the caller provides the objectives and the snapshots of the
// counters over time.
//
// An Objective sets the share of events of one Indicator that must be good, over
// a period. Its error budget is the share that may be bad. The burn rate over a
// window is the share that was bad divided by the budget: at 1 the budget lasts
// exactly for the period. An alert fires when the burn rate is at or above the
// alert's threshold over both a long and a short window. The long window filters out
// short bursts; the short window stops the alert soon after its cause has ended. An
// objective of 1 has no error budget: a single bad event violates it.
//
// Rollouts of weights are too few for a burn rate. Each rollout has two limits: the time
// until it is ready on every replica, and the number of copies read from the origin.
// While a rollout runs, the time that remains is projected from its progress.
//
// A Tally counts the events in a process, and a History keeps snapshots of the counters
// over the period.
//
// # Usage
//
//	report := reporter.New(reporter.FromConfiguration(cfg)).Report(snapshots)
//	err := report.WriteText(os.Stdout)
//	err = report.WriteJSON(w)
//	err = report.WriteHTML(w)
package reporter
