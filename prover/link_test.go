package prover_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/identifier"
)

// newLinkedCluster puts a link before every process.
func newLinkedCluster(t *testing.T, network int) *cluster {
	c := newCluster(t, network)
	c.linked = true
	return c
}

func TestSilentConnectionResumesTheBooking(t *testing.T) {
	c := newLinkedCluster(t, 91)
	startBookings(c, 1, "4s")
	pending := c.background(1, "/booking/slots", "slot-1", slot)
	untilStarted(c, 1, "slot-1")
	c.silence(c.upstreamIP("booking", 1))
	got := <-pending
	require.NoError(t, got.err)
	require.Equal(t, "Completed", got.outcome, got)
	require.Equal(t, 1, c.runs(1, "slot-1"))
}

func TestCutOffAgentMakesABookingUnknownAndIsLeftAlone(t *testing.T) {
	c := newLinkedCluster(t, 92)
	startBookings(c, 2, slow)
	pending := c.background(1, "/booking/slots", "slot-1", slot)
	at := untilStarted(c, 2, "slot-1")
	c.link(c.upstreamIP("booking", at), `{"Cut":true}`)
	got := <-pending
	require.Contains(t, []string{"Unknown", "Completed"}, got.outcome, got)
	for range 5 {
		c.eventually("another one serves", func() bool {
			return c.post(2, "/booking/slots", "", slot).outcome == "Completed"
		})
	}
	c.link(c.upstreamIP("booking", at), `{}`)
	c.eventually("the resend learns the outcome", func() bool {
		return c.post(3, "/booking/slots", "slot-1", slot).outcome == "Completed"
	})
	require.Equal(t, 1, c.runs(2, "slot-1"))
}

func TestLeaderThatHearsNobodyAcceptsNothing(t *testing.T) {
	c := newLinkedCluster(t, 93)
	c.entries()
	c.declare("")
	leader, _ := c.leader()
	c.link(c.entryIP(leader), `{"Cut":true}`)
	answer, code := c.patch("while-cut", 1, operatorPatch(1))
	require.Equal(t, 0, code, "%v", answer)
	require.Equal(t, identifier.ConfigurationVersion(2), answer.Version)
	_, code = c.patch("late", 1, operatorPatch(2))
	require.Equal(t, 3, code)
	c.link(c.entryIP(leader), `{}`)
	c.inForce(2, entries)
}
