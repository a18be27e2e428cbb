package reporter

import (
	"fmt"

	"celeryvalve/explainer"
)

// Severity is how soon an operator must act.
type Severity int

// The severities, lowest first.
const (
	// None: within the objective.
	None Severity = iota
	// Ticket: act on the next working day.
	Ticket
	// Page: act now.
	Page
)

// String returns the name of the severity.
func (s Severity) String() string {
	switch s {
	case Page:
		return "Page"
	case Ticket:
		return "Ticket"
	default:
		return "None"
	}
}

// MarshalText encodes the severity as its name.
func (s Severity) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText decodes a severity from its name.
func (s *Severity) UnmarshalText(text []byte) error {
	for _, known := range []Severity{None, Ticket, Page} {
		if known.String() == string(text) {
			*s = known
			return nil
		}
	}
	return explainer.New(explainer.InvalidInput, fmt.Sprintf("severity %q is not known", text),
		"use a client of the same release")
}
