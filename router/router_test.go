package router_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/router"
)

const (
	drafting identifier.Service      = "drafting"
	housing  identifier.Organisation = "housing"
)

var (
	epoch   = time.Unix(1_000_000, 0)
	address = netip.MustParseAddrPort("127.0.0.1:4000")
)

func view(name identifier.Upstream) router.UpstreamView {
	return router.UpstreamView{Upstream: name, Incarnation: 1, Address: address, Service: drafting, Ready: true}
}

func newReducer(upstreams ...identifier.Upstream) *router.Reducer {
	r := router.New(router.Config{}, asserter.Strict{})
	r.Reduce(epoch, router.PolicyChanged{Policy: router.Policy{Services: []router.ServicePolicy{{Service: drafting}}}})
	var views []router.UpstreamView
	for _, u := range upstreams {
		views = append(views, view(u))
	}
	r.Reduce(epoch, router.UpstreamsChanged{Upstreams: views})
	return r
}

func arrival(id identifier.RequestID, class router.Class) router.RequestArrived {
	return router.RequestArrived{
		ID: id, Organisation: housing, Service: drafting, Class: class, Key: "k",
		Fingerprint: 7, Deadline: epoch.Add(time.Minute), Random: 3,
	}
}

// only returns the one effect of type T.
func only[T router.Effect](t *testing.T, effects []router.Effect) T {
	t.Helper()
	var found []T
	for _, e := range effects {
		if v, ok := e.(T); ok {
			found = append(found, v)
		}
	}
	require.Len(t, found, 1, "%#v", effects)
	return found[0]
}

func TestIdempotentRequestRunsAndCompletes(t *testing.T) {
	r := newReducer("u1")
	start := only[router.StartAttempt](t, r.Reduce(epoch, arrival("r1", router.Idempotent)))
	r.Reduce(epoch, router.AttemptWasAccepted{Request: "r1", Attempt: start.Attempt})
	only[router.PassOn](t, r.Reduce(epoch, router.AttemptAnswering{Request: "r1", Attempt: start.Attempt, Status: 200}))
	answer := only[router.Answer](t, r.Reduce(epoch, router.AttemptEnded{Request: "r1", Attempt: start.Attempt, Status: 200}))
	require.Equal(t, router.Completed, answer.Outcome)
	require.Zero(t, r.Pending())
}

func TestNonIdempotentRunsOnlyUnderAClaim(t *testing.T) {
	r := newReducer("u1")
	claim := only[router.Claim](t, r.Reduce(epoch, arrival("r1", router.NonIdempotent)))
	effects := r.Reduce(epoch, router.ClaimAnswered{Request: "r1", Attempt: claim.Claim.Attempt,
		Answer: router.ClaimAnswer{Status: router.Granted, Token: 5}})
	require.Equal(t, identifier.FencingToken(5), only[router.StartAttempt](t, effects).Token)
}

func TestNoQuorumIsNotRunAtOnce(t *testing.T) {
	r := newReducer("u1")
	claim := only[router.Claim](t, r.Reduce(epoch, arrival("r1", router.NonIdempotent)))
	effects := r.Reduce(epoch, router.ClaimAnswered{Request: "r1", Attempt: claim.Claim.Attempt,
		Answer: router.ClaimAnswer{Status: router.Unavailable}})
	answer := only[router.Answer](t, effects)
	require.Equal(t, router.NotRun, answer.Outcome)
	require.NotZero(t, answer.RetryAfter)
}
