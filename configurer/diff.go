package configurer

import (
	"maps"
	"slices"

	"celeryvalve/parser"
)

// Change is one value that differs between two configurations, in TOML. A value
// that is empty on a side is zero or absent there.
type Change struct {
	Path   parser.Path
	Before string
	After  string
}

// Diff returns the values that differ, by path.
func Diff(a, b Configuration) []Change {
	before := parser.Flatten(a.Objects)
	after := parser.Flatten(b.Objects)
	paths := slices.Concat(slices.Collect(maps.Keys(before)), slices.Collect(maps.Keys(after)))
	slices.Sort(paths)
	var changes []Change
	for _, path := range slices.Compact(paths) {
		if before[path] != after[path] {
			changes = append(changes, Change{Path: path, Before: before[path], After: after[path]})
		}
	}
	return changes
}
