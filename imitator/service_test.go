package imitator_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/identifier"
	"celeryvalve/imitator"
)

func TestServiceShowsDoubledRuns(t *testing.T) {
	b := newBench(t, func(p *imitator.Process) http.Handler {
		return imitator.NewService(imitator.ServiceConfig{Concurrency: 1, Name: "booking"}, p).Handler()
	})
	first := b.mustPost(http.StatusOK, "/slots", "at ten", imitator.HeaderIdempotencyKey, "k")
	require.Contains(t, first, `"Number":"booking-1"`)
	again := b.mustPost(http.StatusOK, "/slots", "at ten", imitator.HeaderIdempotencyKey, "k")
	require.Contains(t, again, `"Runs":2`)
	require.Equal(t, 2, b.history.RunsOf(identifier.IdempotencyKey("k")))

	b.sw.Set(imitator.Misbehaviour{Short: true})
	_, _, err := b.post("/slots", "at ten")
	require.Error(t, err)
	require.Equal(t, 3, len(b.history.Runs()))
}

func TestServiceHoldsAnswersUntilItIsTold(t *testing.T) {
	b := newBench(t, func(p *imitator.Process) http.Handler {
		return imitator.NewService(imitator.ServiceConfig{Concurrency: 1, Name: "booking"}, p).Handler()
	})
	b.sw.Set(imitator.Misbehaviour{Hold: true})
	answers := make(chan error, 1)
	go func() {
		_, _, err := b.post("/slots", "at ten")
		answers <- err
	}()
	require.Eventually(t, func() bool { return len(b.history.Runs()) == 1 }, time.Minute, time.Millisecond)
	b.sw.Set(imitator.Misbehaviour{Hold: true, Short: true})
	require.Never(t, func() bool { return len(answers) > 0 }, 50*time.Millisecond, time.Millisecond)
	require.Equal(t, imitator.Running, b.history.Runs()[0].Ending)
	b.sw.Set(imitator.Misbehaviour{})
	require.NoError(t, <-answers)
}
