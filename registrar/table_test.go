package registrar_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/registrar"
)

var (
	start = time.Unix(1_700_000_000, 0)
	cfg   = registrar.Config{StaleAfter: 6 * time.Second, ForgetAfter: time.Minute}
)

func address(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 8080)
}

func record(name identifier.Upstream, sequence uint64, state registrar.State) registrar.Record {
	return registrar.Record{Upstream: name, Sequence: sequence, Service: "drafting", Address: address(name[0]), State: state}
}

func TestLateReportBringsNobodyBack(t *testing.T) {
	table := registrar.New(cfg)
	require.True(t, table.Merge(start, record("a", 4, registrar.Ready)))
	require.True(t, table.Merge(start, record("a", 5, registrar.Draining)))
	require.False(t, table.Merge(start, record("a", 4, registrar.Ready)))
	require.False(t, table.Merge(start, record("a", 9, registrar.Ready)), "leaving is final")
	found, _ := table.Find("a")
	require.Equal(t, registrar.Draining, found.State)
}

// Guards against an upstream that reports itself ready after it has said in an answer that it
// leaves, and that comes back once its record is dropped.
func TestLeavingInAnAnswerIsFinal(t *testing.T) {
	table := registrar.New(cfg)
	require.False(t, table.RecordLeaving("a", 0), "unknown")
	require.True(t, table.Merge(start, record("a", 4, registrar.Ready)))
	require.False(t, table.RecordLeaving("a", 7), "another incarnation")
	require.True(t, table.RecordLeaving("a", 0))
	require.False(t, table.RecordLeaving("a", 0))
	for i := range 10 {
		now := start.Add(time.Duration(i) * cfg.ForgetAfter / 2)
		require.False(t, table.Merge(now, record("a", uint64(5+i), registrar.Ready)))
		table.Forget(now)
		require.Equal(t, registrar.Draining, table.Upstreams(now)[0].State)
	}
	other := registrar.New(cfg)
	records, _ := table.Since(start, 0)
	other.Merge(start, records[0])
	require.Equal(t, registrar.Draining, other.Upstreams(start)[0].State, "other processes learn of it")
}

func TestRestartUnderTheOldNameCounts(t *testing.T) {
	table := registrar.New(cfg)
	old := record("a", 40, registrar.Draining)
	old.Incarnation = 100
	require.True(t, table.Merge(start, old))
	restarted := record("a", 1, registrar.Ready)
	restarted.Incarnation = 200
	require.True(t, table.Merge(start, restarted))
	old.Sequence = 41
	require.False(t, table.Merge(start, old), "the old incarnation is over")
	require.Equal(t, registrar.Ready, table.Upstreams(start)[0].State)
}

func TestAddressHasOneUpstream(t *testing.T) {
	table := registrar.New(cfg)
	table.Merge(start, record("a", 4, registrar.Ready))
	successor := record("b", 1, registrar.Ready)
	successor.Address = address('a')
	require.True(t, table.Merge(start, successor))
	require.False(t, table.Merge(start, record("a", 4, registrar.Ready)), "a delayed report of the displaced upstream")
	known := table.Upstreams(start)
	require.Len(t, known, 1)
	require.Equal(t, identifier.Upstream("b"), known[0].Upstream)
}

// exchange sends the records that changed since the cursors from each table to the other one, until
// nothing is left.
func exchange(one, two *registrar.Table) {
	var sentOne, sentTwo registrar.Cursor
	for range 8 {
		var fromOne, fromTwo []registrar.Record
		fromOne, sentOne = one.Since(start, sentOne)
		fromTwo, sentTwo = two.Since(start, sentTwo)
		for _, r := range fromOne {
			two.Merge(start, r)
		}
		for _, r := range fromTwo {
			one.Merge(start, r)
		}
	}
}

// Guards against an upstream that no entry uses any more though it reports: a delayed report of
// its predecessor at the address displaced it at one process, and the others took that for its own
// word (review case 1).
func TestDelayedReportOfThePredecessorIsUndoneEverywhere(t *testing.T) {
	for _, names := range [][2]identifier.Upstream{{"b", "a"}, {"a", "b"}} {
		old, living := record(names[0], 4, registrar.Ready), record(names[1], 1, registrar.Ready)
		living.Address = old.Address
		serves := func(table *registrar.Table) []identifier.Upstream {
			var list []identifier.Upstream
			for _, k := range table.Upstreams(start) {
				list = append(list, k.Upstream)
			}
			return list
		}
		for name, hears := range map[string]func(one, two *registrar.Table) *registrar.Table{
			"the process that got the delayed report": func(one, _ *registrar.Table) *registrar.Table { return one },
			"another one": func(_, two *registrar.Table) *registrar.Table { return two },
		} {
			one, two := registrar.New(cfg), registrar.New(cfg)
			one.Merge(start, old)
			exchange(one, two)
			two.Merge(start, living)
			exchange(one, two)
			require.Equal(t, []identifier.Upstream{living.Upstream}, serves(one))
			delayed := old
			delayed.Sequence++
			one.Merge(start, delayed)
			exchange(one, two)
			next := living
			next.Sequence++
			hears(one, two).Merge(start, next)
			exchange(one, two)
			for _, table := range []*registrar.Table{one, two} {
				require.Equal(t, []identifier.Upstream{living.Upstream}, serves(table), "%s hears the living one", name)
			}
			require.Equal(t, one.Sum(), two.Sum())
		}
	}
}

// The same while the processes know different reports of the living upstream, and refreshes of it
// arrive in between.
func TestDisplacementByADelayedReportEndsWithTheNextReport(t *testing.T) {
	old, living := record("b", 4, registrar.Ready), record("a", 1, registrar.Ready)
	living.Address = old.Address
	one, two := registrar.New(cfg), registrar.New(cfg)
	one.Merge(start, old)
	one.Merge(start, living)
	exchange(one, two)
	living.Sequence = 2
	two.Merge(start, living)
	old.Sequence = 5
	one.Merge(start, old)
	one.Refresh(start, registrar.Refresh{Upstream: "a", Sequence: 3})
	exchange(one, two)
	living.Sequence = 3
	two.Merge(start, living)
	exchange(one, two)
	for _, table := range []*registrar.Table{one, two} {
		require.Len(t, table.Upstreams(start), 1)
		require.Equal(t, identifier.Upstream("a"), table.Upstreams(start)[0].Upstream)
	}
	require.Equal(t, one.Sum(), two.Sum())
}

// Where starts are reported, a delayed report changes nothing.
func TestUpstreamThatStartedEarlierDisplacesNobody(t *testing.T) {
	old, living := record("b", 4, registrar.Ready), record("a", 1, registrar.Ready)
	old.Incarnation, living.Incarnation, living.Address = 1, 2, old.Address
	table := registrar.New(cfg)
	table.Merge(start, old)
	table.Merge(start, living)
	old.Sequence = 5
	table.Merge(start, old)
	require.Len(t, table.Upstreams(start), 1)
	require.Equal(t, identifier.Upstream("a"), table.Upstreams(start)[0].Upstream)
}

func TestSilentUpstreamIsStaleAndThenForgotten(t *testing.T) {
	table := registrar.New(cfg)
	table.Merge(start, record("a", 1, registrar.Ready))
	require.False(t, table.Upstreams(start.Add(5 * time.Second))[0].Stale)
	require.True(t, table.Refresh(start.Add(5*time.Second), registrar.Refresh{Upstream: "a", Sequence: 5}))
	require.False(t, table.Upstreams(start.Add(10 * time.Second))[0].Stale)
	require.True(t, table.Upstreams(start.Add(12 * time.Second))[0].Stale)
	table.Forget(start.Add(2 * time.Minute))
	require.Empty(t, table.Upstreams(start.Add(2*time.Minute)))
}

// TestNoteOutlivesReports guards against requests that an upstream rejects. An
// upstream that is about to load still reports the release that it holds. Such a
// report must not overwrite the agent's announcement that it serves none.
func TestNoteOutlivesReports(t *testing.T) {
	table := registrar.New(cfg)
	held := record("a", 1, registrar.Ready)
	held.Release = 1
	table.Merge(start, held)
	require.Equal(t, declarer.ReleaseNumber(1), table.Upstreams(start)[0].Serves())
	require.True(t, table.RecordServing("a", 0, 100))
	held.Sequence = 2
	require.False(t, table.Merge(start, held))
	require.Zero(t, table.Upstreams(start)[0].Serves())
	require.False(t, table.RecordServing("a", 1, 99), "a delayed announcement")
	require.True(t, table.RecordServing("a", 2, 101))
	require.Equal(t, declarer.ReleaseNumber(2), table.Upstreams(start)[0].Serves())
	restarted := record("a", 1, registrar.Ready)
	restarted.Incarnation = 5
	table.Merge(start, restarted)
	require.Zero(t, table.Upstreams(start)[0].Serves(), "a restarted upstream serves nothing yet")
}

// TestMergeOrderDoesNotMatter guards against tables that differ although they have
// merged the same records, in another order or more than once. No address is taken
// over here, since the result of that depends on the order.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []registrar.State{registrar.Ready, registrar.Draining, registrar.Gone}
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) registrar.Record {
			rank := rapid.IntRange(0, 2).Draw(t, "state")
			r := record(rapid.SampledFrom([]identifier.Upstream{"a", "b"}).Draw(t, "name"), 0, states[rank])
			r.Incarnation = identifier.Incarnation(rapid.IntRange(0, 2).Draw(t, "incarnation"))
			// States change in a fixed order, so a report with a later state has a
			// higher sequence.
			r.Sequence = uint64(10*rank + rapid.IntRange(0, 9).Draw(t, "sequence"))
			return r
		}), 1, 12).Draw(t, "records")
		shuffled := rapid.Permutation(slices.Concat(records, records)).Draw(t, "order")
		one, two := registrar.New(cfg), registrar.New(cfg)
		for _, r := range records {
			one.Merge(start, r)
		}
		for _, r := range shuffled {
			two.Merge(start, r)
		}
		require.Equal(t, one.Upstreams(start), two.Upstreams(start))
	})
}

// Guards against a limit that a report of its upstream wipes out, or that outlives the
// incarnation that named it.
func TestLimitIsKeptUntilTheNextIncarnation(t *testing.T) {
	table := registrar.New(registrar.Config{StaleAfter: time.Minute, ForgetAfter: time.Hour})
	r := registrar.Record{Upstream: "a", Incarnation: 1, Sequence: 1, State: registrar.Ready}
	limit := limiter.RequestLimit{PerSecond: 1.1, InForce: true, Stamp: 5}
	limitOf := func() limiter.RequestLimit {
		known, _ := table.Find("a")
		return known.Limit
	}
	require.False(t, table.RecordLimit("a", 1, limit), "the upstream is not known yet")
	table.Merge(time.Time{}, r)
	require.True(t, table.RecordLimit("a", 1, limit))
	require.False(t, table.RecordLimit("a", 1, limiter.RequestLimit{Stamp: 4}))
	require.False(t, table.RecordLimit("a", 2, limiter.RequestLimit{Stamp: 9}))
	r.Sequence = 2
	table.Merge(time.Time{}, r)
	require.Equal(t, limit, limitOf())
	newer := r
	newer.Sequence, newer.Limit = 1, limiter.RequestLimit{Stamp: 6}
	require.True(t, table.Merge(time.Time{}, newer), "an older report with a newer limit")
	require.Equal(t, newer.Limit, limitOf())
	r.Incarnation, r.Sequence = 2, 1
	table.Merge(time.Time{}, r)
	require.Equal(t, limiter.RequestLimit{}, limitOf())
}

// Load pattern: hundreds of upstreams, and a replica that asks for changes ten times a second
// for each of a hundred followers. All records were sorted each time, which took 0.14 ms.
func TestNoChangeCostsNothing(t *testing.T) {
	table := registrar.New(registrar.Config{StaleAfter: time.Hour, ForgetAfter: time.Hour})
	now := time.Unix(1_700_000_000, 0)
	for i := range 240 {
		table.Merge(now, registrar.Record{
			Upstream: identifier.Upstream(fmt.Sprint("u", i)), Sequence: 1, Service: "s", State: registrar.Ready,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
		})
	}
	list, cursor := table.Since(now, 0)
	require.Len(t, list, 240)
	require.Zero(t, testing.AllocsPerRun(10, func() { table.Since(now, cursor) }))
	require.LessOrEqual(t, testing.AllocsPerRun(10, func() { table.Upstreams(now) }), 1.0, "the order by name is kept")

	table.Forget(now.Add(2 * time.Hour))
	require.Empty(t, table.Upstreams(now))
}

// Guards against entries that hear late, or never, that an upstream has turned cold again, and
// against a message for each report while it warms up.
func TestTurningColdSpreadsAndCountingDownDoesNot(t *testing.T) {
	table, other := registrar.New(cfg), registrar.New(cfg)
	report := func(at time.Duration, sequence uint64, left int64) bool {
		r := record("a", sequence, registrar.Ready)
		r.ColdMillis = left
		return table.Merge(start.Add(at), r)
	}
	report(0, 1, 0)
	require.False(t, report(time.Second, 2, 0))
	require.True(t, report(2*time.Second, 3, 3000), "it turns cold")
	require.False(t, report(3*time.Second, 4, 1950), "it counts down")
	records, _ := table.Since(start.Add(4*time.Second), 0)
	other.Merge(start.Add(4*time.Second), records[0])
	require.InDelta(t, 950, other.Upstreams(start.Add(4 * time.Second))[0].ColdRemaining.Milliseconds(), 1, "the age of the report is taken off")
	require.True(t, report(4*time.Second, 5, 3000), "it turns cold again")
}
