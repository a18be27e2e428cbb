package reporter

import (
	"fmt"

	"celeryvalve/explainer"
)

// Severity says how soon an operator must look.
type Severity int

// The severities, least first.
const (
	// None: within the objective.
	None Severity = iota
	// Ticket: look on the next working day.
	Ticket
	// Page: look now.
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

// MarshalText writes the name.
func (s Severity) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// UnmarshalText reads a severity by its name.
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
