package declarer_test

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
)

// Guards against an order that hangs in one process while the operator gives later ones
// elsewhere, and then undoes them; against orders that need a declaration, and ones that
// are forgotten with the log that a snapshot replaces.
func TestLateOrderDoesNotUndoALaterOne(t *testing.T) {
	h := newHarness()
	order := func(zone identifier.AvailabilityZone, finished bool, seen declarer.Revision) any {
		return h.apply(t, &declarer.Evacuate{AvailabilityZone: zone, Finished: finished, Seen: seen})
	}
	changed, unchanged := &declarer.Answer{Changed: true}, &declarer.Answer{}
	evacuated := func() []identifier.AvailabilityZone {
		return slices.Sorted(maps.Keys(h.state.Declared().Evacuations))
	}
	require.IsType(t, &declarer.Rejected{}, order("", false, 0))
	require.Equal(t, unchanged, order("a", true, 0), "not evacuated")
	require.IsType(t, &declarer.Superseded{}, order("a", false, 0), "given before the last one")
	require.Equal(t, changed, order("a", false, 1))
	require.Equal(t, unchanged, order("a", false, 0), "sent twice")
	require.Equal(t, changed, order("b", false, 0), "zones do not hinder each other")
	require.Equal(t, changed, order("a", true, 2))
	late := order("a", false, 1)
	require.Equal(t, &declarer.Superseded{AvailabilityZone: "a", Revision: 4}, late)
	require.Equal(t, explainer.Unavailable, explainer.KindOf(late.(*declarer.Superseded).Err()))
	require.Equal(t, []identifier.AvailabilityZone{"b"}, evacuated())

	data, err := h.state.Snapshot()
	require.NoError(t, err)
	h.state = declarer.New(asserter.Strict{})
	require.NoError(t, h.state.Restore(data))
	require.IsType(t, &declarer.Superseded{}, order("a", false, 3))
	require.Equal(t, changed, order("a", false, 4))
	require.Equal(t, []identifier.AvailabilityZone{"a", "b"}, evacuated())
	require.Zero(t, h.state.Declared().Declaration.Version)
	h.replace(t, 7)
	require.Equal(t, []identifier.AvailabilityZone{"a", "b"}, evacuated(), "a configuration keeps orders")
}
