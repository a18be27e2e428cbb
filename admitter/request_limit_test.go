package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/admitter"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/router"
)

// Guards against the incident LIMIT on the settings path: the agent holds what its upstream
// names over all attempts, retries and suspects included, until an answer or a crash ends it.
func TestAgentHoldsTheLimitThatItsUpstreamNames(t *testing.T) {
	const perSecond = 2.0
	r := newReducer(16)
	named := limiter.StatedLimit{Kind: limiter.LimitNamed, PerSecond: perSecond}
	now, serial := epoch, 0
	var running []identifier.AttemptID
	play := func(d time.Duration, stated limiter.StatedLimit) (starts int) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(50 * time.Millisecond)
			serial++
			s := start(identifier.AttemptID(fmt.Sprint(serial)), router.Idempotent)
			s.Timeout, s.Alone, s.Fingerprint = 2*time.Second, serial%7 == 0, 0
			events := []admitter.Event{admitter.AttemptArrived{Start: s, Stream: admitter.StreamID(serial)}, admitter.Ticked{}}
			for _, id := range running {
				events = append(events, admitter.ResponseStarted{Attempt: id, Limit: stated}, admitter.AttemptFinished{Attempt: id, Kind: admitter.Complete})
			}
			running = nil
			for _, event := range events {
				for _, e := range r.Reduce(now, event) {
					if run, ok := e.(admitter.Run); ok {
						running = append(running, run.Attempt)
						starts++
					}
				}
			}
		}
		return starts
	}
	require.Greater(t, play(time.Second, limiter.StatedLimit{}), 10)
	play(time.Second, named)
	starts := play(10*time.Second, named)
	require.LessOrEqual(t, starts, int(10*perSecond)+1)
	require.GreaterOrEqual(t, starts, int(10*perSecond)*8/10, "the limit is used")
	play(2*time.Second, limiter.StatedLimit{})
	require.Greater(t, play(time.Second, limiter.StatedLimit{}), 10, "it has ended")

	play(time.Second, named)
	r.Reduce(now, admitter.UpstreamChanged{Crashed: true})
	r.Reduce(now, admitter.UpstreamChanged{Ready: true})
	require.Greater(t, play(time.Second, limiter.StatedLimit{}), 10, "an upstream that starts again has none")
}
