package controller_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/controller"
	"celeryvalve/identifier"
)

// fill adds n objects of one kind to a replica.
type fill func(r *replica, n int)

var fills = map[string]struct {
	fill  fill
	sizes []int
}{
	"claims":   {fillClaims, []int{500, 4000, 32000}},
	"members":  {fillMembers, []int{16, 64, 360}},
	"versions": {fillVersions, []int{100, 500, 1000}},
	"services": {fillServices, []int{10, 100, 1000}},
	"history":  {fillHistory, []int{40}},
	"answers":  {fillAnswers, []int{2500}},
	"bounds":   {fillBounds, []int{controller.MaximumClaims}},
}

func fillClaims(r *replica, n int) {
	r.announce("u1", 1)
	for i := range n {
		c := claimOf(fmt.Sprintf("booking-%08d", i), fmt.Sprintf("attempt-%08d", i), "u1", 1)
		c.Organisation = identifier.Organisation(fmt.Sprint("organisation-", i%8))
		granted := r.claim(c)
		require.Equal(r.t, controller.Granted, granted.Status)
		r.apply(&controller.Settle{Organisation: c.Organisation, Service: c.Service, Key: c.Key,
			Token: granted.Token, Outcome: controller.Completed, Answer: make([]byte, 100)})
	}
}

func fillMembers(r *replica, n int) {
	for i := range n {
		r.announce(fmt.Sprintf("upstream-%04d", i), 1)
	}
}

func fillVersions(r *replica, n int) {
	for i := range identifier.ConfigurationVersion(n) {
		r.submit(fmt.Sprint("p", i), i, fmt.Sprintf(plainPatch, i))
	}
}

func fillServices(r *replica, n int) {
	var source []byte
	for i := range n {
		source = fmt.Appendf(source, "[Services.service-%04d]\nKind = \"Plain\"\n", i)
	}
	require.Equal(r.t, controller.Accepted, r.submit("fill", 0, string(source)).Outcome)
}

// fillBounds adds n claims, whose answers take AnswerBudget at MaximumClaims, and as much of
// all else as the bounds allow.
func fillBounds(r *replica, n int) {
	fillHistory(r, 40)
	fillAnswers(r, 2500)
	fillMembers(r, controller.MaximumMembers)
	for i := range n {
		c := claimOf(fmt.Sprintf("booking-%08d", i), fmt.Sprintf("attempt-%08d", i), "upstream-0000", 1)
		c.Organisation = identifier.Organisation(fmt.Sprint("organisation-", i%8))
		granted := r.claim(c)
		require.Equal(r.t, controller.Granted, granted.Status)
		r.apply(&controller.Settle{Organisation: c.Organisation, Service: c.Service, Key: c.Key,
			Token: granted.Token, Outcome: controller.Completed, Answer: make([]byte, int(controller.AnswerBudget)/controller.MaximumClaims)})
	}
}

// benchmarkSizes runs a benchmark for each of the named kinds of objects, on
// replicas that are filled with each number of them.
func benchmarkSizes(b *testing.B, names []string, run func(b *testing.B, r *replica)) {
	for _, name := range names {
		for _, n := range fills[name].sizes {
			b.Run(fmt.Sprintf("%s=%d", name, n), func(b *testing.B) {
				r := newReplica(b)
				fills[name].fill(r, n)
				run(b, r)
			})
		}
	}
}

func BenchmarkApplyPatch(b *testing.B) {
	benchmarkSizes(b, []string{"services", "versions", "history"}, func(b *testing.B, r *replica) {
		for b.Loop() {
			base := r.state.Configuration().Version
			r.submit(fmt.Sprint("b", base), base, fmt.Sprintf(plainPatch, base))
		}
	})
}

func BenchmarkApplyClaim(b *testing.B) {
	benchmarkSizes(b, []string{"claims"}, func(b *testing.B, r *replica) {
		i := 0
		for b.Loop() {
			i++
			c := claimOf("measured", fmt.Sprint("m", i), "u1", 1)
			r.settle("measured", r.claim(c).Token, controller.NotRun, "")
		}
	})
}

func BenchmarkSnapshot(b *testing.B) {
	benchmarkSizes(b, []string{"claims", "members", "versions", "history", "answers", "bounds"}, func(b *testing.B, r *replica) {
		var data []byte
		for b.Loop() {
			var err error
			data, err = r.state.Snapshot()
			require.NoError(b, err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
}

func BenchmarkRestore(b *testing.B) {
	benchmarkSizes(b, []string{"claims", "members", "versions", "history", "answers", "bounds"}, func(b *testing.B, r *replica) {
		data, err := r.state.Snapshot()
		require.NoError(b, err)
		restored := newReplica(b)
		before := heap()
		require.NoError(b, restored.state.Restore(data))
		used := heap() - before
		for b.Loop() {
			require.NoError(b, restored.state.Restore(data))
		}
		b.ReportMetric(used, "heap-bytes")
		runtime.KeepAlive(r)
	})
}

// heap returns the bytes of allocated heap objects. It runs the garbage collector
// twice, which also empties the pools.
func heap() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
