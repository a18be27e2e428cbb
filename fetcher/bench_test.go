package fetcher_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/fetcher"
)

const (
	benchChunks = 1024
	benchSeeds  = 5
)

// figures are what one run measured.
type figures struct {
	windows, origin, thin, control float64
}

// originOnly returns the figures of every instance reading from the origin.
func originOnly(instances int) figures {
	return figures{windows: float64(instances) / 4, origin: float64(instances)}
}

// injectFaults kills and replaces 1 in 20 instances in the first fifth of the
// window, corrupts 1% of the chunks and stalls one instance's link for a while.
func injectFaults(n *network, instances int) {
	const lostPart = 20
	n.corruptPart = 0.01
	for i := range max(1, instances/lostPart) {
		victim := n.nodes[(i*lostPart+3)%instances]
		at := window/20 + time.Duration(n.rand.Int63n(int64(window/7)))
		n.after(at, func() {
			n.kill(victim, deathNotice)
			n.replace(2 * deathNotice)
		})
	}
	stalled := n.nodes[0]
	n.after(window/10, func() { stalled.frozen = true })
	n.after(window/5, func() { stalled.frozen = false })
}

func spread(t testing.TB, seed int64, instances int, favour fetcher.Favour, faults bool) figures {
	v := randomVersion(t, seed, "1", benchChunks)
	n := newNetwork(t, seed, fetcher.DefaultConfig(), v)
	n.start(instances, want(v, favour))
	if faults {
		injectFaults(n, instances)
	}
	require.True(t, n.runUntil(10*window, n.allReady))
	return figures{
		windows: n.now.Seconds() / window.Seconds(), origin: n.originCopies(),
		thin: n.thinCopies(), control: n.controlRate(),
	}
}

// report gives the median and the largest of each figure.
func report(b *testing.B, runs []figures) {
	pick := func(name string, of func(figures) float64) {
		var values []float64
		for _, r := range runs {
			values = append(values, of(r))
		}
		slices.Sort(values)
		b.ReportMetric(values[len(values)/2], name)
		b.ReportMetric(values[len(values)-1], name+"-max")
	}
	pick("windows", func(f figures) float64 { return f.windows })
	pick("origin-copies", func(f figures) float64 { return f.origin })
	pick("thin-copies", func(f figures) float64 { return f.thin })
	pick("control-B/s", func(f figures) float64 { return f.control })
	b.ReportMetric(0, "ns/op")
}

// BenchmarkSpread brings weights to all instances under virtual time. The bound
// of a window is 0.5 for any number of instances.
func BenchmarkSpread(b *testing.B) {
	for _, instances := range []int{16, 64, 200, 520} {
		for _, favour := range []fetcher.Favour{fetcher.OriginBytes, fetcher.TimeToReplicas} {
			b.Run(fmt.Sprintf("%s/%d", favour, instances), func(b *testing.B) {
				var runs []figures
				for seed := range int64(benchSeeds) {
					runs = append(runs, spread(b, seed, instances, favour, false))
				}
				report(b, runs)
			})
		}
		b.Run(fmt.Sprintf("OriginOnly/%d", instances), func(b *testing.B) {
			report(b, []figures{originOnly(instances)})
		})
	}
}

// BenchmarkSpreadWithFaults is BenchmarkSpread under injectFaults.
func BenchmarkSpreadWithFaults(b *testing.B) {
	for _, instances := range []int{16, 64, 200} {
		for _, favour := range []fetcher.Favour{fetcher.OriginBytes, fetcher.TimeToReplicas} {
			b.Run(fmt.Sprintf("%s/%d", favour, instances), func(b *testing.B) {
				var runs []figures
				for seed := range int64(benchSeeds) {
					runs = append(runs, spread(b, seed, instances, favour, true))
				}
				report(b, runs)
			})
		}
	}
}
