package reporter

import (
	"maps"
	"slices"
	"time"

	"celeryvalve/configurer"
	"celeryvalve/identifier"
	"celeryvalve/parser"
)

// Objective is the share of an indicator's events of one service that must be good.
type Objective struct {
	Service   identifier.Service
	Indicator Indicator
	// Description says it in the words of operators.
	Description string
	// Target is the share that must be good. At 1 there is no error budget.
	Target float64
}

// RolloutLimits are the limits that each rollout of a service is held against.
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
	Rollouts   map[identifier.Service]RolloutLimits
	Alerts     []Alert
}

const (
	hour = Duration(time.Hour)
	day  = 24 * hour

	// copiesOfOriginBytes is how many copies a service that favours OriginBytes
	// may read: one, and what is read again because its holders were lost.
	copiesOfOriginBytes = 1.10

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

// FromConfiguration returns the objectives that the configuration declares for
// its services.
func FromConfiguration(cfg configurer.Configuration) Objectives {
	objectives := Objectives{
		Period:   objectivePeriod,
		Alerts:   defaultAlerts(),
		Rollouts: make(map[identifier.Service]RolloutLimits),
	}
	for _, name := range slices.Sorted(maps.Keys(cfg.Services)) {
		service := cfg.Services[name]
		objectives.Objectives = append(objectives.Objectives, objectivesOf(name, service)...)
		if service.Kind == parser.Engine {
			objectives.Rollouts[name] = rolloutLimits(service, cfg.Transfers)
		}
	}
	return objectives
}

// objectivesOf returns those of one service. Only engines answer in tokens.
func objectivesOf(name identifier.Service, service configurer.Service) []Objective {
	declared := service.Objectives
	list := []Objective{
		{Service: name, Indicator: ReadyInTime, Target: declared.Target, Description: "answered in time"},
		{Service: name, Indicator: Exactness, Target: 1, Description: "nothing lost or doubled"},
	}
	if service.Kind != parser.Engine {
		return list
	}
	return append(list,
		Objective{Service: name, Indicator: FirstToken, Target: declared.Target,
			Description: "first token within " + Duration(declared.FirstToken).String()},
		Objective{Service: name, Indicator: BetweenTokens, Target: declared.Target,
			Description: "next token within " + Duration(declared.BetweenTokens).String()})
}

func rolloutLimits(service configurer.Service, transfers configurer.Transfers) RolloutLimits {
	favour := service.Favour
	if favour == configurer.Inherit {
		favour = transfers.Favour
	}
	limits := RolloutLimits{
		TimeToReplicas: Duration(service.Objectives.ReadyWithin),
		OriginCopies:   float64(transfers.OriginCopies),
	}
	if favour == configurer.OriginBytes {
		limits.OriginCopies = copiesOfOriginBytes
	}
	return limits
}
