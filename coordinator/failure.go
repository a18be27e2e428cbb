package coordinator

import (
	"fmt"
	"net/netip"

	"celeryvalve/explainer"
	"celeryvalve/recorder"
	"celeryvalve/replicator"
)

// NotLeaderError is of kind Unavailable. Nothing was done.
type NotLeaderError struct {
	// Leader is where the leader takes messages. It is not valid while none is known.
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

// Error names the leader or what is missing.
func (e *NotLeaderError) Error() string { return e.err.Error() }

// Unwrap returns the error of kind Unavailable.
func (e *NotLeaderError) Unwrap() error { return e.err }

// OutcomeUnknownError tells that a command was handed to the log and may still
// take effect, or never. It is not of kind Unavailable, so that nobody takes it
// for a promise that nothing was done.
type OutcomeUnknownError struct {
	// Index and Term name the entry, if the command had become one.
	Index recorder.Index
	Term  recorder.Term
	err   error
}

func newOutcomeUnknownError(index recorder.Index, term recorder.Term, cause error) error {
	const problem = "the outcome of the command is not known"
	const remedy = "ask for its effect, or send the same command again if it is idempotent"
	e := &OutcomeUnknownError{Index: index, Term: term}
	if cause == nil {
		e.err = explainer.New(explainer.Internal, problem, remedy)
	} else {
		e.err = explainer.Wrap(cause, explainer.Internal, problem, remedy)
	}
	return e
}

// Error tells what is not known.
func (e *OutcomeUnknownError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.err }

// rejection turns a Rejected effect into the error for its caller.
func rejection(e replicator.Rejected) error {
	switch e.Reason {
	case replicator.NotLeader:
		return newNotLeaderError(e.Leader)
	case replicator.LeadershipLost:
		return newOutcomeUnknownError(0, 0, nil)
	case replicator.Busy:
		return explainer.New(explainer.Unavailable, e.Detail, "try again")
	default:
		return explainer.New(explainer.Conflict, e.Detail, "read the status of the replicas first")
	}
}
