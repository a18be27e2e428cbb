package imitator_test

import (
	"net/http"
	"testing"

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
