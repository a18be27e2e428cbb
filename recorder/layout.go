package recorder

import (
	"reflect"
	"slices"

	"celeryvalve/encoder"
)

// Layout lists the fields of the files that a Recorder writes, as encoder.LayoutOf does.
func Layout() []string {
	return slices.Concat(
		encoder.LayoutOf("Frame", reflect.TypeFor[body]()),
		encoder.LayoutOf("Snapshot", reflect.TypeFor[Snapshot]()),
		encoder.LayoutOf("Identity", reflect.TypeFor[identity]()),
	)
}
