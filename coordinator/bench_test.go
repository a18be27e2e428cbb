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

// newRealCluster returns three running replicas that have elected a leader. They
// sync to real disks and use the real clock and the default timeouts.
func newRealCluster(b *testing.B) *cluster {
	c := newCluster(b, 3, clockwork.NewRealClock)
	c.startAll()
	c.propose(0)
	return c
}

// BenchmarkPropose measures the throughput and latency of commands until they are
// synced on a majority, committed and applied, for several numbers of concurrent
// callers.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			c := newRealCluster(b)
			leader := c.nodes[c.leader()]
			var mu sync.Mutex
			latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			var remaining atomic.Int64
			remaining.Store(int64(b.N))
			var running sync.WaitGroup
			b.ResetTimer()
			for range callers {
				running.Go(func() {
					for remaining.Add(-1) >= 0 {
						start := time.Now()
						_, err := leader.Propose(b.Context(), number(1))
						elapsed := time.Since(start)
						mu.Lock()
						_ = latencies.RecordValue(elapsed.Microseconds())
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

// BenchmarkBarrier measures linearizable reads by two concurrent callers per
// processor.
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

// BenchmarkElection measures the time from the stop of a leader, without a
// transfer of the leadership, to the first command that the new leader commits.
func BenchmarkElection(b *testing.B) {
	c := newRealCluster(b)
	elapsed := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		old := c.leader()
		c.agree()
		b.StartTimer()
		start := time.Now()
		c.stop(old)
		c.propose(1)
		require.NoError(b, elapsed.RecordValue(time.Since(start).Milliseconds()))
		b.StopTimer()
		c.start(old, recorder.OSFileSystem{})
		c.agree()
		b.StartTimer()
	}
	b.ReportMetric(float64(elapsed.ValueAtQuantile(50)), "p50-ms")
	b.ReportMetric(float64(elapsed.Max()), "max-ms")
}

// BenchmarkCatchUp measures how long a replica that starts 500 entries behind
// takes to catch up, from log entries alone and with a snapshot.
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
				c.start(absent, recorder.OSFileSystem{})
				c.until(func() bool { total, _ := c.nodes[absent].sum.value(); return total == want })
			}
		})
	}
}
