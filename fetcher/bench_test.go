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

// results are the measurements of one run.
type results struct {
	windows, origin, thin, control float64
}

// originOnly returns the results if every instance read the weights from the origin.
func originOnly(instances int) results {
	return results{windows: float64(instances) / 4, origin: float64(instances)}
}

// injectFaults kills and replaces 1 in 20 instances in the first fifth of the
// window, corrupts 1% of the chunks and stalls one instance's link for a while.
func injectFaults(n *network, instances int) {
	const killOneIn = 20
	n.corruptFraction = 0.01
	for i := range max(1, instances/killOneIn) {
		victim := n.nodes[(i*killOneIn+3)%instances]
		at := window/20 + time.Duration(n.rand.Int63n(int64(window/7)))
		n.after(at, func() {
			n.kill(victim, detectionDelay)
			n.startReplacement(2 * detectionDelay)
		})
	}
	stalled := n.nodes[0]
	n.after(window/10, func() { stalled.frozen = true })
	n.after(window/5, func() { stalled.frozen = false })
}

func runSpread(t testing.TB, seed int64, instances int, favour fetcher.Favour, faults bool) results {
	v := randomVersion(t, seed, "1", benchChunks)
	n := newNetwork(t, seed, fetcher.DefaultConfig(), v)
	n.start(instances, want(v, favour))
	if faults {
		injectFaults(n, instances)
	}
	require.True(t, n.runUntil(10*window, n.allReady))
	return results{
		windows: n.now.Seconds() / window.Seconds(), origin: n.originCopies(),
		thin: n.thinCopies(), control: n.controlRate(),
	}
}

// report reports the median and the maximum of each result.
func report(b *testing.B, runs []results) {
	reportMetric := func(name string, value func(results) float64) {
		var values []float64
		for _, r := range runs {
			values = append(values, value(r))
		}
		slices.Sort(values)
		b.ReportMetric(values[len(values)/2], name)
		b.ReportMetric(values[len(values)-1], name+"-max")
	}
	reportMetric("windows", func(f results) float64 { return f.windows })
	reportMetric("origin-copies", func(f results) float64 { return f.origin })
	reportMetric("thin-copies", func(f results) float64 { return f.thin })
	reportMetric("control-B/s", func(f results) float64 { return f.control })
	b.ReportMetric(0, "ns/op")
}

// BenchmarkSpread transfers weights to all instances in virtual time. Whatever their
// number, the instances can't be ready in less than 0.5 windows, the time of one copy
// over an instance's link.
func BenchmarkSpread(b *testing.B) {
	for _, instances := range []int{16, 64, 200, 520} {
		for _, favour := range []fetcher.Favour{fetcher.OriginBytes, fetcher.TimeToReplicas} {
			b.Run(fmt.Sprintf("%s/%d", favour, instances), func(b *testing.B) {
				var runs []results
				for seed := range int64(benchSeeds) {
					runs = append(runs, runSpread(b, seed, instances, favour, false))
				}
				report(b, runs)
			})
		}
		b.Run(fmt.Sprintf("OriginOnly/%d", instances), func(b *testing.B) {
			report(b, []results{originOnly(instances)})
		})
	}
}

// BenchmarkSpreadWithFaults is BenchmarkSpread under injectFaults.
func BenchmarkSpreadWithFaults(b *testing.B) {
	for _, instances := range []int{16, 64, 200} {
		for _, favour := range []fetcher.Favour{fetcher.OriginBytes, fetcher.TimeToReplicas} {
			b.Run(fmt.Sprintf("%s/%d", favour, instances), func(b *testing.B) {
				var runs []results
				for seed := range int64(benchSeeds) {
					runs = append(runs, runSpread(b, seed, instances, favour, true))
				}
				report(b, runs)
			})
		}
	}
}
