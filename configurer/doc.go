// Package configurer holds the configuration of the whole system, the patches
// that change it, and the deltas that distribute it.
//
// A Configuration has one version number for all of its objects. A patch names
// the version that it is based on, and either creates the next version or is
// refused. Apply checks the complete result, so that no accepted version refers
// to an object that it doesn't contain. Versions only increase: Merge refuses
// an older one.
//
// An object is one organisation, operator, model, adapter or service, or the
// transfers. Each object has a stamp, which is the version that last changed
// it. A removed object leaves a tombstone, which is a stamp without an object,
// so that a delta between any two versions can be made from the newer one
// alone. When tombstones are dropped, receivers with a version from before them
// get a whole configuration.
//
// A Configuration is immutable: functions that change one return a copy that
// shares the unchanged objects. Its maps must not be written to.
//
// # Usage
//
//	patch, err := configurer.ParsePatch("drafting.toml", data)
//	next, err := configurer.Apply(current, patch)
//	changes := configurer.Diff(current, next)
//	behind, err = behind.Merge(next.DeltaFor(behind.Version, configurer.Need{All: true}))
package configurer
