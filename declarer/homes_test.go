package declarer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"celeryvalve/declarer"
	"celeryvalve/identifier"
)

// Guards against a list without a usable name that counts as no list, which allows all
// regions, and against a valid declaration that is rejected for its homes.
func TestHomesThatLeaveNothing(t *testing.T) {
	for name, c := range map[string]struct {
		route, organisation declarer.Homes
		pairs               []declarer.HomelessPair
	}{
		"none":           {nil, nil, nil},
		"empty lists":    {declarer.Homes{}, declarer.Homes{}, nil},
		"one alone":      {declarer.Homes{"a"}, nil, nil},
		"shared":         {declarer.Homes{"a", "b"}, declarer.Homes{"b", "b", ""}, nil},
		"disjoint":       {declarer.Homes{"a"}, declarer.Homes{"b"}, []declarer.HomelessPair{{Route: "drafts", Organisation: "hall"}}},
		"unknown region": {declarer.Homes{"x"}, declarer.Homes{"b"}, []declarer.HomelessPair{{Route: "drafts"}}},
		"empty names":    {nil, declarer.Homes{"", ""}, []declarer.HomelessPair{{Organisation: "hall"}}},
	} {
		t.Run(name, func(t *testing.T) {
			d := declaration(7)
			route, organisation := d.Routes["drafts"], d.Organisations["hall"]
			route.Homes, organisation.Homes = c.route, c.organisation
			d.Routes["drafts"], d.Organisations["hall"] = route, organisation
			require.NoError(t, d.Check())
			require.Equal(t, c.pairs, d.HomelessPairs([]identifier.Region{"a", "b"}))
			require.False(t, c.organisation.Allows("") && len(c.organisation) > 0)
		})
	}
}
