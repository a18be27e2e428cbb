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
	refs := changedRefs(&a.Objects, &b.Objects)
	before := parser.Flatten(a.pick(refs))
	after := parser.Flatten(b.pick(refs))
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

// changedRefs returns the objects that differ, in order.
func changedRefs(a, b *Objects) []Ref {
	return slices.DeleteFunc(union(a.refs(), b.refs()), func(ref Ref) bool { return a.equalAt(b, ref) })
}
