package coordinator_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"celeryvalve/recorder"
)

// newRealCluster returns three running replicas with synced disks and the
// default timeouts, once they have a leader.
func newRealCluster(b *testing.B) *cluster {
	c := newCluster(b, 3, clockwork.NewRealClock)
	c.startAll()
	c.propose(0)
	return c
}

// BenchmarkPropose measures commands that are committed, synced on a majority
// and applied, by the number of callers at a time.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			c := newRealCluster(b)
			leader := c.nodes[c.leader()]
			var mu sync.Mutex
			latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			var left atomic.Int64
			left.Store(int64(b.N))
			var running sync.WaitGroup
			b.ResetTimer()
			for range callers {
				running.Go(func() {
					for left.Add(-1) >= 0 {
						start := time.Now()
						_, err := leader.Propose(b.Context(), number(1))
						taken := time.Since(start)
						mu.Lock()
						_ = latencies.RecordValue(taken.Microseconds())
						mu.Unlock()
						if err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			running.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
			b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-µs")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-µs")
		})
	}
}

// BenchmarkBarrier measures linearizable reads by two callers a processor.
func BenchmarkBarrier(b *testing.B) {
	c := newRealCluster(b)
	leader := c.nodes[c.leader()]
	b.SetParallelism(2)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := leader.Barrier(b.Context()); err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "reads/s")
}

// BenchmarkElection measures from the silent end of a leader to the first
// command that its successor has committed.
func BenchmarkElection(b *testing.B) {
	c := newRealCluster(b)
	taken := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		old := c.leader()
		c.agree()
		b.StartTimer()
		start := time.Now()
		c.stop(old)
		c.propose(1)
		require.NoError(b, taken.RecordValue(time.Since(start).Milliseconds()))
		b.StopTimer()
		c.start(old, recorder.Disk{})
		c.agree()
		b.StartTimer()
	}
	b.ReportMetric(float64(taken.ValueAtQuantile(50)), "p50-ms")
	b.ReportMetric(float64(taken.Max()), "max-ms")
}

// BenchmarkCatchUp measures a replica that starts 500 entries behind, from the
// log alone and by a snapshot.
func BenchmarkCatchUp(b *testing.B) {
	const behind = 500
	for name, snapshotEvery := range map[string]int{"log": 1 << 30, "snapshot": 100} {
		b.Run(name, func(b *testing.B) {
			c := newCluster(b, 3, clockwork.NewRealClock)
			c.cfg.SnapshotEvery = snapshotEvery
			c.startAll()
			for range b.N {
				b.StopTimer()
				absent := (c.leader() + 1) % 3
				c.agree()
				c.stop(absent)
				c.proposeMany(behind)
				want, _ := c.nodes[c.leader()].sum.value()
				b.StartTimer()
				c.start(absent, recorder.Disk{})
				c.until(func() bool { total, _ := c.nodes[absent].sum.value(); return total == want })
			}
		})
	}
}
