package balancer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
)

// Guards against requests that a draining entry sends to an upstream, or to a second one, though
// it may end before they do: they are refused while they have provably not run.
func TestDrainingEntryRefusesWhatMayOutliveIt(t *testing.T) {
	const limit = 6 * time.Second // of arrive
	end := start.Add(8 * time.Second)
	for name, test := range map[string]struct {
		after      time.Duration // since the drain began
		repeatable bool
		cause      balancer.Cause // with which the first attempt fails, if it is sent
		want       any
	}{
		"it ends in time":                           {after: 2 * time.Second, want: balancer.Send{}},
		"it may outlive the entry":                  {after: 2100 * time.Millisecond, want: balancer.Refuse{}},
		"repeatable, while callers come":            {after: 2100 * time.Millisecond, repeatable: true, want: balancer.Send{}},
		"repeatable, when callers go elsewhere":     {after: 2600 * time.Millisecond, repeatable: true, want: balancer.Refuse{}},
		"turned away, in time":                      {after: time.Second, cause: balancer.NotExecuted, want: balancer.Send{}},
		"not connected, in time":                    {after: time.Second, cause: balancer.NotConnected, want: balancer.Send{}},
		"turned away, and it may outlive it":        {after: 2100 * time.Millisecond, repeatable: true, cause: balancer.NotExecuted, want: balancer.Refuse{}},
		"not connected, and it may outlive it":      {after: 2100 * time.Millisecond, repeatable: true, cause: balancer.NotConnected, want: balancer.Refuse{}},
		"lost, and the caller can't tell if it ran": {after: 2100 * time.Millisecond, repeatable: true, cause: balancer.ConnectionLost, want: balancer.Send{}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newPlainReducer("a", "b")
			r.Reduce(start, balancer.DrainStarted{AcceptUntil: start.Add(2500 * time.Millisecond), EndAt: end})
			q := bookingRequest("q", test.repeatable)
			now := start.Add(test.after)
			effect := arrive(r, now, q)
			if test.cause != "" {
				require.IsType(t, balancer.Send{}, effect)
				effect = r.Reduce(now.Add(time.Second), balancer.AttemptFailed{Request: q.ID, Cause: test.cause})
			}
			require.IsType(t, test.want, effect)
			if refusal, ok := effect.(balancer.Refuse); ok {
				require.Equal(t, balancer.Draining, refusal.Reason)
				require.Positive(t, refusal.RetryAfter)
				require.LessOrEqual(t, refusal.RetryAfter, limit/3)
			}
		})
	}
}
