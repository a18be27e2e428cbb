package registrar_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/registrar"
)

// Guards against an upstream that has crashed and comes back, in place of the one that has its
// address since, by two of its reports that were delayed in transit.
func TestLateReportsBringNoDeadUpstreamBack(t *testing.T) {
	table := registrar.New(cfg)
	dead := record("a", 12, registrar.Ready)
	table.Merge(start, dead)
	now := start.Add(cfg.StaleAfter + time.Second)
	successor := record("b", 1, registrar.Ready)
	successor.Address = dead.Address
	_, err := table.Report(now, successor)
	require.NoError(t, err)
	for sequence := uint64(7); sequence < 10; sequence++ {
		now = now.Add(time.Millisecond)
		late := dead
		late.Sequence = sequence
		_, err := table.Report(now, late)
		require.NoError(t, err)
	}
	upstreams := table.Upstreams(now)
	require.Len(t, upstreams, 1)
	require.Equal(t, successor.Upstream, upstreams[0].Upstream)
}
