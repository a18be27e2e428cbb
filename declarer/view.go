package declarer

import (
	"fmt"
	"sync"

	"celeryvalve/asserter"
	"celeryvalve/identifier"
)

// View is what one process has in force. It is safe for concurrent use and
// never goes back.
type View struct {
	assert asserter.Asserter

	mu       sync.Mutex
	now      Declared
	index    *Index
	watchers []func()
}

// NewView returns a view without a declaration.
func NewView(assert asserter.Asserter) *View {
	return &View{assert: assert, index: NewIndex(Declaration{})}
}

// Watch calls f after every change. Call it before the first change.
func (v *View) Watch(f func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watchers = append(v.watchers, f)
}

// Index returns the declaration in force with its index.
func (v *View) Index() *Index {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.index
}

// Declared returns what is in force.
func (v *View) Declared() Declared {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// Current returns the version of the declaration in force.
func (v *View) Current() identifier.ConfigurationVersion {
	return v.Declared().Declaration.Version
}

// Set takes over what is declared, unless it is older than what is in force.
func (v *View) Set(d Declared) bool {
	v.mu.Lock()
	if d.Revision <= v.now.Revision {
		v.mu.Unlock()
		return false
	}
	rises := v.assert.Check(asserter.VersionsOnlyRise, d.Declaration.Version >= v.now.Declaration.Version,
		fmt.Sprintf("version %d follows %d", d.Declaration.Version, v.now.Declaration.Version))
	if !rises {
		v.mu.Unlock()
		return false
	}
	if d.Declaration.Version != v.now.Declaration.Version {
		v.index = NewIndex(d.Declaration)
	}
	v.now = d
	watchers := v.watchers
	v.mu.Unlock()
	for _, f := range watchers {
		f()
	}
	return true
}

// Merge takes over a difference, and reports whether it fits what is in force.
func (v *View) Merge(revision Revision, delta Delta, releases map[identifier.Model]Release) bool {
	before := v.Declared()
	declaration, ok := before.Declaration.Merge(delta)
	if !ok {
		return false
	}
	v.Set(Declared{Revision: revision, Declaration: declaration, Releases: releases})
	return true
}
