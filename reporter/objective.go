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
	// Description states the objective for operators.
	Description string
	// Target is the share that must be good. At 1 there is no error budget.
	Target float64
}

// RolloutLimits are the limits that each rollout of weights of a service must stay
// within.
type RolloutLimits struct {
	// TimeToReplicas is the time until every replica is ready.
	TimeToReplicas Duration
	// OriginCopies is the number of copies that may be read from the origin.
	OriginCopies float64
}

// Alert fires when the burn rate reaches a threshold in both a long and a short window.
type Alert struct {
	Severity Severity
	Long     Duration
	Short    Duration
	// Threshold is the lowest burn rate at which the alert fires.
	Threshold float64
}

// Objectives are the service-level objectives, the rollout limits and the alerts of a
// deployment.
type Objectives struct {
	// Period is the time for which an error budget has to last.
	Period     Duration
	Objectives []Objective
	Rollouts   map[identifier.Service]RolloutLimits
	Alerts     []Alert
}

const (
	hour = Duration(time.Hour)
	day  = 24 * hour

	// originBytesCopyLimit is the number of copies that a rollout may read from the
	// origin if its service favours OriginBytes: one copy, and what is read again
	// because the instances that held it were lost.
	originBytesCopyLimit = 1.10

	// objectivePeriod is the time for which an error budget has to last.
	objectivePeriod = 30 * day
)

// defaultAlerts returns alerts that fire when 2% of an error budget of 30 days is spent
// in one hour, 5% in six hours or 10% in three days.
func defaultAlerts() []Alert {
	return []Alert{
		{Severity: Page, Long: hour, Short: hour / 12, Threshold: 14.4},
		{Severity: Page, Long: 6 * hour, Short: hour / 2, Threshold: 6},
		{Severity: Ticket, Long: 3 * day, Short: 6 * hour, Threshold: 1},
	}
}

// FromConfiguration returns the objectives that the configuration declares for its
// services, together with the default period and alerts.
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

// objectivesOf returns the objectives of one service. Those for tokens are left out for
// services that are no engines, since only engines generate tokens.
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

// rolloutLimits returns the limits of a service. If the service inherits Favour, the
// value of the transfer settings applies.
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
		limits.OriginCopies = originBytesCopyLimit
	}
	return limits
}
