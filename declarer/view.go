package declarer

import (
	"fmt"
	"sync"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
)

// View is one process's copy of the declared state. Its revision never decreases.
// It is safe for concurrent use.
type View struct {
	assert asserter.Asserter

	mu       sync.Mutex
	current  Declared
	index    *Index
	watchers []func()
}

// NewView returns a view without a declaration.
func NewView(assert asserter.Asserter) *View {
	return &View{assert: assert, index: NewIndex(Declaration{})}
}

// Watch registers f to be called after every change. It must be called before the
// first change.
func (v *View) Watch(f func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watchers = append(v.watchers, f)
}

// Index returns the index of the declaration in force.
func (v *View) Index() *Index {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.index
}

// Declared returns the current state.
func (v *View) Declared() Declared {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

// CurrentVersion returns the version of the declaration in force.
func (v *View) CurrentVersion() identifier.ConfigurationVersion {
	return v.Declared().Declaration.Version
}

// Set replaces the state by d and calls the watchers. It reports false and changes
// nothing if the revision of d is not higher than the current one, or if the
// version of its declaration is lower.
func (v *View) Set(d Declared) bool {
	v.mu.Lock()
	if d.Revision <= v.current.Revision {
		v.mu.Unlock()
		return false
	}
	increases := v.assert.Check(asserter.VersionsOnlyRise, d.Declaration.Version >= v.current.Declaration.Version,
		fmt.Sprintf("version %d would replace the higher version %d", d.Declaration.Version, v.current.Declaration.Version))
	if !increases {
		v.mu.Unlock()
		return false
	}
	if d.Declaration.Version != v.current.Declaration.Version {
		v.index = NewIndex(d.Declaration)
	}
	v.current = d
	watchers := v.watchers
	v.mu.Unlock()
	for _, f := range watchers {
		f()
	}
	return true
}

// ApplyDelta applies a delta as Set does. It also reports false, and changes nothing, if the
// delta's base is not the declaration in force; the caller then has to get a new delta.
func (v *View) ApplyDelta(revision Revision, delta Delta, releases map[identifier.Model]Release, evacuations Evacuations) bool {
	before := v.Declared()
	declaration, ok := before.Declaration.Apply(delta)
	if !ok {
		return false
	}
	return v.Set(Declared{Revision: revision, Declaration: declaration, Releases: releases, Evacuations: evacuations})
}
