// Package reporter computes service-level objectives and the burn of their error
// budgets, per service and organisation, and renders them as text, JSON and one
// self-contained HTML page. It only computes: the caller brings samples of the
// counters over time, and the objectives.
//
// An Objective sets the share of events of one Indicator that must be good, over
// a period. Its error budget is the share that may be bad. The burn rate over a
// window is the share that was bad divided by the budget: at 1 the budget lasts
// exactly for the period. An alert fires when the burn rate is at or above the
// alert's threshold over a long window, so that it matters, and over a short one
// too, so that it ends soon after the cause does. An objective of 1 has no budget:
// one bad event breaks it.
//
// Rollouts of weights are too few for a rate. Each is held against two limits,
// the time until it is ready on every replica and the copies read from the
// origin, and is projected from its progress while it runs.
//
// # Usage
//
//	report := reporter.New(reporter.FromConfiguration(cfg)).Report(snapshots)
//	err := report.WriteText(os.Stdout)
//	err = report.WriteJSON(w)
//	err = report.WriteHTML(w)
package reporter
