package reporter

import (
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"celeryvalve/identifier"
)

// maxPoints is the maximum number of points of a plot.
const maxPoints = 240

// Burn holds the burn rates in the two windows of an alert. Without an error budget they
// are the numbers of bad events instead.
type Burn struct {
	Alert Alert
	Long  float64
	Short float64
	// BadLong and BadShort count the bad events.
	BadLong  uint64
	BadShort uint64
	Firing   bool
}

// Point is one value of a plot.
type Point struct {
	Time time.Time
	Burn float64
}

// Status is the state of one objective for one service and organisation.
type Status struct {
	Objective Objective
	Service   identifier.Service
	// Organisation is empty for the sum over all organisations of the service.
	Organisation identifier.Organisation
	Good         uint64
	Total        uint64
	Bad          uint64
	// Attained is the share of good events in the period, 1 without events.
	Attained float64
	// BudgetLeft is the share of the error budget that is left. It is negative if the
	// budget is overspent. Without a budget it is 1, or -1 after a bad event.
	BudgetLeft float64
	Severity   Severity
	Burns      []Burn
	// Plot is the burn rate over the long window of the first alert, oldest first. It
	// is set only if Organisation is empty.
	Plot []Point `json:",omitempty"`
}

// Report is the state of every objective and rollout at one time.
type Report struct {
	Time time.Time
	// Covered is the time over which there are samples, at most the period.
	Covered    Duration
	Severity   Severity
	Objectives Objectives
	Statuses   []Status
	Rollouts   []RolloutStatus
}

// Reporter computes reports for fixed objectives.
type Reporter struct {
	objectives Objectives
}

// New returns a reporter for the objectives.
func New(objectives Objectives) *Reporter {
	return &Reporter{objectives: objectives}
}

// Report computes the state of every objective at the time of the last snapshot.
// Services with the highest severity come first, and the statuses of a service come
// before those of its organisations.
func (r *Reporter) Report(snapshots []Snapshot) Report {
	report := Report{Objectives: r.objectives}
	if len(snapshots) == 0 {
		return report
	}
	snapshots = slices.Clone(snapshots)
	sort.SliceStable(snapshots, func(i, j int) bool { return snapshots[i].Time.Before(snapshots[j].Time) })
	first, last := snapshots[0], snapshots[len(snapshots)-1]
	report.Time = last.Time
	report.Covered = min(Duration(last.Time.Sub(first.Time).Round(time.Second)), r.objectives.Period)
	for key, s := range buildSeries(snapshots) {
		for _, objective := range r.objectives.Objectives {
			if objective.Indicator == key.indicator && objective.Service == key.service {
				report.Statuses = append(report.Statuses, r.status(objective, key, s, last.Time))
			}
		}
	}
	report.Rollouts = rolloutStatuses(snapshots, r.objectives.Rollouts)
	report.sort()
	for _, status := range report.Statuses {
		report.Severity = max(report.Severity, status.Severity)
	}
	for _, rollout := range report.Rollouts {
		report.Severity = max(report.Severity, rollout.Severity)
	}
	return report
}

func (r *Reporter) status(objective Objective, key seriesKey, s *series, now time.Time) Status {
	events := s.between(now, r.objectives.Period)
	status := Status{
		Objective:    objective,
		Service:      key.service,
		Organisation: key.organisation,
		Good:         events.good,
		Total:        events.total,
		Bad:          events.bad(),
		Attained:     1,
		BudgetLeft:   budgetLeft(events, objective.Target),
	}
	if events.total > 0 {
		status.Attained = float64(events.good) / float64(events.total)
	}
	for _, alert := range r.objectives.Alerts {
		burn := evaluateAlert(alert, objective.Target, s, now)
		status.Burns = append(status.Burns, burn)
		if burn.Firing {
			status.Severity = max(status.Severity, alert.Severity)
		}
	}
	if key.organisation == allOrganisations && len(r.objectives.Alerts) > 0 {
		status.Plot = plot(s, objective.Target, r.objectives.Alerts[0].Long)
	}
	return status
}

// budgetLeft returns the share of the error budget that is left after the events, as
// defined by Status.BudgetLeft.
func budgetLeft(events counts, target float64) float64 {
	budget := 1 - target
	switch {
	case events.bad() == 0:
		return 1
	case budget <= 0:
		return -1
	default:
		return 1 - float64(events.bad())/float64(events.total)/budget
	}
}

// evaluateAlert computes the burn rates of an alert and whether it fires. Without an error
// budget the alert fires on any bad event in the short window.
func evaluateAlert(alert Alert, target float64, s *series, now time.Time) Burn {
	long := s.between(now, alert.Long)
	short := s.between(now, alert.Short)
	burn := Burn{
		Alert:    alert,
		Long:     burnRate(long, target),
		Short:    burnRate(short, target),
		BadLong:  long.bad(),
		BadShort: short.bad(),
	}
	if target >= 1 {
		burn.Firing = burn.BadShort > 0
	} else {
		burn.Firing = burn.Long >= alert.Threshold && burn.Short >= alert.Threshold
	}
	return burn
}

// burnRate returns the share of bad events divided by the error budget, or the number of
// bad events if there is no budget.
func burnRate(events counts, target float64) float64 {
	if events.total == 0 {
		return 0
	}
	budget := 1 - target
	if budget <= 0 {
		return float64(events.bad())
	}
	return float64(events.bad()) / float64(events.total) / budget
}

// plot returns the burn rate over the window at up to maxPoints of the times of the
// series, evenly spaced and oldest first.
func plot(s *series, target float64, window Duration) []Point {
	step := max(1, int(math.Ceil(float64(len(s.times))/maxPoints)))
	var points []Point
	for i := len(s.times) - 1; i >= 0; i -= step {
		at := s.times[i]
		points = append(points, Point{Time: at, Burn: burnRate(s.between(at, window), target)})
	}
	slices.Reverse(points)
	return points
}

// sort orders the statuses by the highest severity of their service, then by service,
// organisation and objective. The empty organisation, which is the sum over all, comes
// first.
func (r *Report) sort() {
	worst := make(map[identifier.Service]Severity)
	for _, s := range r.Statuses {
		worst[s.Service] = max(worst[s.Service], s.Severity)
	}
	order := make(map[Indicator]int)
	for i, o := range r.Objectives.Objectives {
		order[o.Indicator] = i
	}
	slices.SortFunc(r.Statuses, func(a, b Status) int {
		if d := worst[b.Service] - worst[a.Service]; d != 0 {
			return int(d)
		}
		if d := strings.Compare(string(a.Service), string(b.Service)); d != 0 {
			return d
		}
		if d := strings.Compare(string(a.Organisation), string(b.Organisation)); d != 0 {
			return d
		}
		return order[a.Objective.Indicator] - order[b.Objective.Indicator]
	})
}
