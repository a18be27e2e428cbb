package reporter

import (
	"time"

	"celeryvalve/identifier"
)

// The limits behind the indicators that have one.
const (
	FirstTokenLimit    = 960 * time.Millisecond
	BetweenTokensLimit = 48 * time.Millisecond
)

// Objective is the share of an indicator's events that must be good.
type Objective struct {
	Indicator Indicator
	// Description says it in the words of operators.
	Description string
	// Target is the share that must be good. At 1 there is no error budget.
	Target float64
	// Services limits the objective to some services. Empty means every one
	// that counts the indicator.
	Services []identifier.Service `json:",omitempty"`
}

func (o Objective) covers(service identifier.Service) bool {
	if len(o.Services) == 0 {
		return true
	}
	for _, s := range o.Services {
		if s == service {
			return true
		}
	}
	return false
}

// RolloutLimits are the limits that each rollout is held against.
type RolloutLimits struct {
	TimeToReplicas Duration
	// OriginCopies is how many copies may be read from the origin.
	OriginCopies float64
}

// Alert is a pair of windows and the burn rate that fires in both.
type Alert struct {
	Severity Severity
	Long     Duration
	Short    Duration
	// Threshold is the burn rate from which the alert fires.
	Threshold float64
}

// Objectives are everything that a deployment is held against.
type Objectives struct {
	// Period is the time over which an error budget is spent.
	Period     Duration
	Objectives []Objective
	Rollouts   RolloutLimits
	Alerts     []Alert
}

const (
	hour = Duration(time.Hour)
	day  = 24 * hour

	// objectivePeriod is the time over which an error budget is spent.
	objectivePeriod = 30 * day
)

// defaultAlerts fire when 2% of a budget of 30 days is spent in an hour, 5% in
// six hours, or 10% in three days.
func defaultAlerts() []Alert {
	return []Alert{
		{Severity: Page, Long: hour, Short: hour / 12, Threshold: 14.4},
		{Severity: Page, Long: 6 * hour, Short: hour / 2, Threshold: 6},
		{Severity: Ticket, Long: 3 * day, Short: 6 * hour, Threshold: 1},
	}
}

func requestObjectives(inTime string) []Objective {
	return []Objective{
		{Indicator: ReadyInTime, Target: 0.999, Description: inTime},
		{Indicator: FirstToken, Target: 0.95, Description: "first token within " + FirstTokenLimit.String()},
		{Indicator: BetweenTokens, Target: 0.95, Description: "next token within " + BetweenTokensLimit.String()},
		{Indicator: Exactness, Target: 1, Description: "nothing lost or doubled"},
	}
}

// CallbackObjectives are those of the callback service, which weighs the time to
// N replicas more than the origin's bytes.
func CallbackObjectives() Objectives {
	return Objectives{
		Period:     objectivePeriod,
		Objectives: requestObjectives("summaries ready in time"),
		Rollouts:   RolloutLimits{TimeToReplicas: Duration(5 * time.Minute), OriginCopies: 4},
		Alerts:     defaultAlerts(),
	}
}

// CirculationObjectives are those of Mezghani Circulation Conseil, which weighs
// the origin's bytes more.
func CirculationObjectives() Objectives {
	return Objectives{
		Period:     objectivePeriod,
		Objectives: requestObjectives("orders drafted in time"),
		Rollouts:   RolloutLimits{TimeToReplicas: Duration(10 * time.Minute), OriginCopies: 1.02},
		Alerts:     defaultAlerts(),
	}
}
