package declarer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

func draining(name identifier.Upstream, incarnation identifier.Incarnation) declarer.Departure {
	return declarer.Departure{Upstream: name, Incarnation: incarnation, Sequence: 1, Service: "booking"}
}

func gone(name identifier.Upstream, incarnation identifier.Incarnation) declarer.Departure {
	d := draining(name, incarnation)
	d.Gone = true
	return d
}

// Guards against a departure that a late report takes back, or that is forgotten with the log
// that a snapshot replaces (review case 8).
func TestDeparturesAreKept(t *testing.T) {
	h := newHarness()
	depart := func(d declarer.Departure) any { return h.apply(t, &declarer.Depart{Departure: d}) }
	changed, unchanged := &declarer.Answer{Changed: true}, &declarer.Answer{}
	require.Equal(t, changed, depart(draining("u", 5)))
	require.Equal(t, changed, depart(gone("u", 5)))
	require.Equal(t, unchanged, depart(draining("u", 5)), "leaving is final")
	require.Equal(t, unchanged, depart(gone("u", 4)), "an earlier incarnation")
	require.Equal(t, changed, depart(draining("v", 1)))
	list := func() (list []declarer.Departure) {
		for _, d := range h.state.Departures(0) {
			list = append(list, d.Departure)
		}
		return list
	}
	require.Equal(t, []declarer.Departure{gone("u", 5), draining("v", 1)}, list())
	require.Zero(t, h.state.Declared().Revision, "processes fetch the declaration anew at each revision")

	data, err := h.state.Snapshot()
	require.NoError(t, err)
	h.state = declarer.New(asserter.Strict{})
	require.NoError(t, h.state.Restore(data))
	require.Equal(t, []declarer.Departure{gone("u", 5), draining("v", 1)}, list())
	all := h.state.Departures(0)
	require.Equal(t, all[1:], h.state.Departures(all[0].Index))
	require.Empty(t, h.state.Departures(all[1].Index))
}

// Guards against departures of names that no process can hold, and of more than it can hold.
func TestDeparturesAreBounded(t *testing.T) {
	state := declarer.New(asserter.Strict{})
	at, index := time.Unix(1_700_000_000, 0), uint64(0)
	depart := func(d declarer.Departure) any {
		data, err := declarer.EncodeCommand(&declarer.Depart{Departure: d})
		require.NoError(t, err)
		index++
		return state.Apply(index, at, data)
	}
	require.IsType(t, &declarer.Rejected{}, depart(gone(identifier.Upstream(strings.Repeat("u", identifier.MaxNameLength+1)), 1)))
	require.IsType(t, &declarer.Rejected{}, depart(gone("", 1)))
	const most = 1 << 13
	for i := range most + 2 {
		depart(gone(identifier.Upstream(fmt.Sprint("u", i)), 1))
	}
	kept := state.Departures(0)
	require.Len(t, kept, most)
	for _, d := range kept {
		require.NotContains(t, []identifier.Upstream{"u0", "u1"}, d.Departure.Upstream, "the oldest go first")
	}
	at = at.Add(declarer.DepartureRetention + time.Second)
	depart(gone("late", 1))
	require.Len(t, state.Departures(0), 1)
}

// Guards against departures that stay in all snapshots until the next upstream departs, after many
// have departed at once: a new replica fetched ten times what the state takes.
func TestDeparturesExpireWithAnyCommand(t *testing.T) {
	const departed = 3000
	h := newHarness()
	h.replace(t, 1)
	before := h.snapshotSize(t)
	for i := range departed {
		h.applyAtOnce(t, departureOf(i))
	}
	full := h.snapshotSize(t)
	require.Len(t, h.state.Departures(0), departed)
	data, err := declarer.EncodeCommand(&declarer.Replace{Declaration: declaration(2), Document: []byte("document 2")})
	require.NoError(t, err)
	h.state.Apply(h.index+1, start.Add(declarer.DepartureRetention), data)
	require.Len(t, h.state.Departures(0), departed, "they are still needed")
	restored := declarer.New(asserter.Strict{})
	snapshot, err := h.state.Snapshot()
	require.NoError(t, err)
	require.NoError(t, restored.Restore(snapshot))
	for _, s := range []*declarer.State{h.state, restored} {
		s.Apply(h.index+2, start.Add(declarer.DepartureRetention+time.Second), data)
		require.Empty(t, s.Departures(0))
	}
	t.Logf("%d bytes before, %d with departures, %d after", before, full, h.snapshotSize(t))
	require.Less(t, h.snapshotSize(t), 2*before)
}
