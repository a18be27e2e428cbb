package explainer

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies an error by how its receiver can react to it.
type Kind string

// The kinds of errors.
const (
	// InvalidInput: the input breaks a rule and must be changed.
	InvalidInput Kind = "InvalidInput"
	// Conflict: the state has changed since the input was prepared.
	Conflict Kind = "Conflict"
	// Denied: the caller's identity or role does not permit the operation.
	Denied Kind = "Denied"
	// NotFound: the named object does not exist.
	NotFound Kind = "NotFound"
	// Unavailable: the operation is not possible now and may be retried later.
	Unavailable Kind = "Unavailable"
	// Corrupt: stored or received data is malformed or does not match its checksum.
	Corrupt Kind = "Corrupt"
	// Fenced: the operation was rejected, since a newer process, lease or version takes
	// precedence.
	Fenced Kind = "Fenced"
	// Internal: an invariant of the program is violated, or the error has no kind.
	Internal Kind = "Internal"
)

// Error is an error with a kind, a problem and a remedy.
type Error struct {
	Kind    Kind
	Problem string
	Remedy  string // empty: none is known
	cause   error
}

// New returns an error of the kind with the problem and its remedy.
func New(kind Kind, problem, remedy string) error {
	return &Error{Kind: kind, Problem: problem, Remedy: remedy, cause: eris.New(problem)}
}

// Wrap returns an error of the kind that wraps cause.
func Wrap(cause error, kind Kind, problem, remedy string) error {
	return &Error{Kind: kind, Problem: problem, Remedy: remedy, cause: eris.Wrap(cause, problem)}
}

// Error returns the problem and its causes, followed by the remedy in parentheses.
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

// KindOf returns the kind of the first Error in the chain of err, or Internal if there is
// none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
