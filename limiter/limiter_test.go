package limiter_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/limiter"
)

type item = limiter.Item[string, int]

func TestFairQueueServesByWeight(t *testing.T) {
	q := limiter.NewFairQueue[string, int](limiter.QueueConfig{MaxItems: 1000})
	for i := range 300 {
		q.Push(item{Flow: "large", Weight: 1, Value: i})
		q.Push(item{Flow: "small", Weight: 2, Value: i})
	}
	served := map[string]int{}
	for range 300 {
		it, ok := q.Pop()
		require.True(t, ok)
		served[it.Flow]++
	}
	require.InDelta(t, 200, served["small"], 2)
}

func TestFullQueueEvictsFromLargestFlow(t *testing.T) {
	q := limiter.NewFairQueue[string, int](limiter.QueueConfig{MaxItems: 10})
	for i := range 10 {
		_, full := q.Push(item{Flow: "large", Value: i})
		require.False(t, full)
	}
	evicted, full := q.Push(item{Flow: "small", Value: 100})
	require.True(t, full)
	require.Equal(t, 9, evicted)
	it, _ := q.Pop()
	require.Equal(t, "large", it.Flow)
	it, _ = q.Pop()
	require.Equal(t, "small", it.Flow)
}

func TestQueueKeepsEveryItemOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := limiter.NewFairQueue[string, int](limiter.QueueConfig{MaxItems: 8})
		in, out := 0, map[int]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				evicted, full := q.Push(item{Flow: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "flow"), Value: in})
				in++
				if full {
					out[evicted]++
				}
			} else if it, ok := q.Pop(); ok {
				out[it.Value]++
			}
			require.LessOrEqual(t, q.Len(), 8)
			require.Equal(t, in, len(out)+q.Len())
		}
		for _, n := range out {
			require.Equal(t, 1, n)
		}
	})
}

// runUpstream drives a limit against a simulated upstream, which runs up to
// capacity requests at full speed and slows down in proportion above that.
func runUpstream(c *limiter.ConcurrencyLimit, now time.Time, capacity, seconds int) time.Time {
	const base = 50 * time.Millisecond
	for end := now.Add(time.Duration(seconds) * time.Second); now.Before(end); {
		n := c.Limit()
		latency := base
		if n > capacity {
			latency = base * time.Duration(n) / time.Duration(capacity)
		}
		now = now.Add(latency)
		for range n {
			c.Observe(now, latency, n)
		}
	}
	return now
}

func TestConcurrencyFollowsCapacity(t *testing.T) {
	c := limiter.NewConcurrencyLimit(limiter.DefaultConcurrencyConfig())
	now := runUpstream(c, time.Unix(0, 0), 64, 30)
	require.InDelta(t, 80, c.Limit(), 35)
	runUpstream(c, now, 32, 30)
	require.InDelta(t, 40, c.Limit(), 18)
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := limiter.NewRetryBudget(0.1, 10)
	retries := 0
	for range 1000 {
		b.RecordSend()
		if b.Take() {
			retries++
		}
	}
	require.LessOrEqual(t, retries, 110)
	require.GreaterOrEqual(t, retries, 100)
}

func TestChooseTakesTheCheaperOfTheSample(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		costs := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 20).Draw(t, "costs")
		random := rapid.Uint64().Draw(t, "random")
		got, ok := limiter.Choose(random, costs, len(costs), func(c float64) float64 { return c })
		require.True(t, ok)
		for _, c := range costs {
			require.LessOrEqual(t, got, c)
		}
	})
}
