package coordinator

import (
	"fmt"
	"net/netip"

	"celeryvalve/explainer"
	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// NotLeaderError reports that this replica is not the leader or is not running.
// The request had no effect. The error is of kind Unavailable.
type NotLeaderError struct {
	// Leader is the address at which the leader receives messages. It is invalid
	// if no leader is known.
	Leader netip.AddrPort
	err    error
}

func newNotLeaderError(leader netip.AddrPort) error {
	problem, remedy := "this replica does not lead and knows no leader", "try again once a majority of replicas can reach each other"
	if leader.IsValid() {
		problem, remedy = "this replica does not lead", fmt.Sprintf("ask the leader at %s", leader)
	}
	return &NotLeaderError{Leader: leader, err: explainer.New(explainer.Unavailable, problem, remedy)}
}

// Error returns the problem and its remedy, with the leader's address if known.
func (e *NotLeaderError) Error() string { return e.err.Error() }

// Unwrap returns the error of kind Unavailable.
func (e *NotLeaderError) Unwrap() error { return e.err }

// OutcomeUnknownError reports that a request was handed to the reducer and may
// or may not take effect. It is not of kind Unavailable, because callers take
// that kind to mean that the request had no effect.
type OutcomeUnknownError struct {
	// Index and Term identify the log entry of the command. They are 0 if the
	// command was not known to be in the log.
	Index recorder.Index
	Term  recorder.Term
	err   error
}

func newOutcomeUnknownError(index recorder.Index, term recorder.Term, cause error) error {
	const problem = "the outcome of the command is not known"
	const remedy = "check whether it took effect, or send the same command again if it is idempotent"
	e := &OutcomeUnknownError{Index: index, Term: term}
	if cause == nil {
		e.err = explainer.New(explainer.Internal, problem, remedy)
	} else {
		e.err = explainer.Wrap(cause, explainer.Internal, problem, remedy)
	}
	return e
}

// Error returns the problem and its remedy.
func (e *OutcomeUnknownError) Error() string { return e.err.Error() }

// Unwrap returns the error of kind Internal, which wraps the cause if there is one.
func (e *OutcomeUnknownError) Unwrap() error { return e.err }

// rejectionError returns the error for the caller whose request was rejected.
func rejectionError(e replicator.Rejected) error {
	switch e.Reason {
	case replicator.NotLeader:
		return newNotLeaderError(e.Leader)
	case replicator.LeadershipLost:
		return newOutcomeUnknownError(0, 0, nil)
	case replicator.Busy:
		return explainer.New(explainer.Unavailable, e.Detail, "try again")
	default:
		return explainer.New(explainer.Conflict, e.Detail, "check the status of the replicas before you try again")
	}
}
