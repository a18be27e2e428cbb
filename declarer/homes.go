package declarer

import (
	"slices"

	"celeryvalve/identifier"
)

// Homes are the regions in which requests may be served and kept. An empty list allows
// every region.
type Homes []identifier.Region

// Allows reports whether requests may be served in the region.
func (h Homes) Allows(region identifier.Region) bool {
	return len(h) == 0 || slices.Contains(h, region)
}
