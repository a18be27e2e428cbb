package explainer

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind is the type of an error, by what the one who receives it can do.
type Kind string

// The kinds of errors.
const (
	// InvalidInput: the input breaks a rule and must be changed.
	InvalidInput Kind = "InvalidInput"
	// Conflict: the state has moved on since the input was made.
	Conflict Kind = "Conflict"
	// Denied: the caller is not who it must be.
	Denied Kind = "Denied"
	// NotFound: what was named does not exist.
	NotFound Kind = "NotFound"
	// Unavailable: it can't be done now and may be tried again later.
	Unavailable Kind = "Unavailable"
	// Corrupt: stored or received bytes fail their check.
	Corrupt Kind = "Corrupt"
	// Fenced: a newer holder exists and the order was refused.
	Fenced Kind = "Fenced"
	// Internal: an invariant of the program does not hold.
	Internal Kind = "Internal"
)

// Error is an error with a kind and a remedy.
type Error struct {
	Kind    Kind
	Problem string
	Remedy  string
	cause   error
}

// New returns an error of the kind that states the problem and its remedy.
func New(kind Kind, problem, remedy string) error {
	return &Error{Kind: kind, Problem: problem, Remedy: remedy, cause: eris.New(problem)}
}

// Wrap returns an error of the kind that was caused by cause.
func Wrap(cause error, kind Kind, problem, remedy string) error {
	return &Error{Kind: kind, Problem: problem, Remedy: remedy, cause: eris.Wrap(cause, problem)}
}

// Error returns the problem with its causes, then the remedy.
func (e *Error) Error() string {
	text := e.Problem
	if e.cause != nil {
		text = e.cause.Error()
	}
	if e.Remedy == "" {
		return text
	}
	return fmt.Sprintf("%s (%s)", text, e.Remedy)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// KindOf returns the kind of err, or Internal for an error without one.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
