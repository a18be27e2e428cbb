package configurer

import (
	"maps"
	"slices"

	"celeryvalve/parser"
)

// Change is one value that differs between two configurations. Before and After
// are in TOML; an empty one means that the value is zero or absent there.
type Change struct {
	Path   parser.Path
	Before string
	After  string
}

// Diff returns the values that differ, sorted by path.
func Diff(a, b Configuration) []Change {
	refs := changedRefs(&a.Objects, &b.Objects)
	before := parser.Flatten(a.subset(refs))
	after := parser.Flatten(b.subset(refs))
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

// changedRefs returns the references of the objects that differ, sorted.
func changedRefs(a, b *Objects) []Ref {
	return slices.DeleteFunc(sortedUnion(a.refs(), b.refs()), func(ref Ref) bool { return a.equalAt(b, ref) })
}
