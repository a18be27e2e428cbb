package repeater_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"celeryvalve/repeater"
)

func TestRunsAtIntervalsUntilStopped(t *testing.T) {
	clock := clockwork.NewFakeClock()
	runs := make(chan context.Context)
	r := repeater.New(clock, time.Second, func(ctx context.Context) { runs <- ctx })
	r.Start()
	for range 3 {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(time.Second)
		require.NoError(t, (<-runs).Err())
	}
	r.Stop()
	clock.Advance(time.Second)
	require.Empty(t, runs)
}

func TestStopBeforeStart(t *testing.T) {
	repeater.New(clockwork.NewFakeClock(), time.Second, func(context.Context) {}).Stop()
}

func TestNudgeRunsBeforeTheInterval(t *testing.T) {
	runs := make(chan struct{})
	r := repeater.New(clockwork.NewFakeClock(), time.Second, func(context.Context) { runs <- struct{}{} })
	r.Trigger()
	r.Trigger()
	r.Start()
	<-runs
	r.Stop()
	require.Empty(t, runs, "two nudges before a run must cause one run")
}

func TestSleepEndsAtItsTimeOrWithItsContext(t *testing.T) {
	clock := clockwork.NewFakeClock()
	require.NoError(t, repeater.SleepUntil(t.Context(), clock, clock.Now().Add(-time.Second)))
	ended := make(chan error, 1)
	go func() { ended <- repeater.SleepUntil(t.Context(), clock, clock.Now().Add(time.Second)) }()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Second)
	require.NoError(t, <-ended)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.ErrorIs(t, repeater.SleepUntil(ctx, clock, clock.Now().Add(time.Second)), context.Canceled)
}
