package assembler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/identifier"
)

// Guards against budgets for a thin link that add up to more than thinLinkOversubscription
// times its rate: 7 senders had the whole rate each.
func TestThinLinkBudgetsAddUpToAFewTimesItsRate(t *testing.T) {
	const rate, rounding identifier.BytesPerSecond = 1000, 1e-6
	for senders := 1; senders <= 64; senders++ {
		share := thinLinkShare(rate, senders)
		require.LessOrEqual(t, share, rate)
		require.LessOrEqual(t, share*identifier.BytesPerSecond(senders), thinLinkOversubscription*rate+rounding, "%d senders", senders)
	}
	require.Equal(t, rate, thinLinkShare(rate, 1))
}
