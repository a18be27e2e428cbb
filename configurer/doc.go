// Package configurer holds the configuration of the whole system, the patches
// that change it, and the deltas that spread it.
//
// A Configuration has one version for everything in it. A patch names the
// version that it was made against, its base, and makes the next version or is
// refused. Apply checks the result whole, so that no accepted version refers to
// something that isn't in it. Versions only rise: Merge refuses to go back.
//
// Each object (one organisation, operator, model, adapter or service, or the
// transfers) carries the version that last changed it. A removed object leaves
// a tombstone with the version that removed it, so that a delta between any two
// versions can be made from the newer one alone. When tombstones are dropped,
// receivers from before them get a whole configuration.
//
// A Configuration is immutable: functions that change one return a copy that
// shares what didn't change. Its maps must not be written to.
//
// # Usage
//
//	patch, err := configurer.ParsePatch("drafting.toml", data)
//	next, err := configurer.Apply(current, patch)
//	changes := configurer.Diff(current, next)
//	behind, err = behind.Merge(next.DeltaFor(behind.Version, configurer.Need{All: true}))
package configurer
