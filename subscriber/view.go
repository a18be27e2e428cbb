package subscriber

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"celeryvalve/asserter"
	"celeryvalve/configurer"
	"celeryvalve/connector"
	"celeryvalve/identifier"
)

const (
	// catchUpTimeout bounds the wait of a message for a newer configuration.
	catchUpTimeout = 500 * time.Millisecond
	fetchTimeout   = 2 * time.Second
)

// Caller sends one request to an address and returns its answer.
type Caller interface {
	Call(ctx context.Context, addr netip.AddrPort, request any) (any, error)
}

// View holds what this process knows: its slice of the configuration and the
// members. It is safe for concurrent use.
type View struct {
	need     configurer.Need
	asserter asserter.Asserter

	mu       sync.Mutex
	caller   Caller
	cfg      configurer.Configuration
	members  map[identifier.Upstream]Member
	index    uint64
	suspects Quarantine
	changed  chan struct{}
	fetching bool
	watchers []func()
}

// NewView returns an empty view for a process of the need.
func NewView(need configurer.Need, a asserter.Asserter) *View {
	return &View{
		need:     need,
		asserter: a,
		members:  make(map[identifier.Upstream]Member),
		changed:  make(chan struct{}),
	}
}

// Connect gives the view the way to ask peers that have a newer version.
func (v *View) Connect(caller Caller) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.caller = caller
}

// Watch calls f after every change. Call it before the subscription starts.
func (v *View) Watch(f func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watchers = append(v.watchers, f)
}

// Configuration returns the slice in force here. It must not be changed.
func (v *View) Configuration() configurer.Configuration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cfg
}

// Current returns the configuration version in force here.
func (v *View) Current() identifier.ConfigurationVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cfg.Version
}

// Members returns the members by name, and the index of the list.
func (v *View) Members() ([]Member, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	names := slices.Sorted(maps.Keys(v.members))
	list := make([]Member, 0, len(names))
	for _, name := range names {
		list = append(list, v.members[name])
	}
	return list, v.index
}

// Quarantine returns the requests that crashed upstreams.
func (v *View) Quarantine() Quarantine {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.suspects
}

// Apply takes in an update.
func (v *View) Apply(u *Update) error {
	v.mu.Lock()
	changed := false
	var err error
	if u.Configuration != nil {
		changed, err = v.merge(*u.Configuration)
	}
	if err == nil && u.Members != nil {
		v.mergeMembers(u.Members)
		changed = true
	}
	if err == nil && u.Quarantine != nil {
		v.suspects = *u.Quarantine
		changed = true
	}
	watchers := v.watchers
	v.mu.Unlock()
	if changed {
		for _, f := range watchers {
			f()
		}
	}
	return err
}

// merge takes in a delta. An older one is passed over: two sources may race.
func (v *View) merge(d configurer.Delta) (bool, error) {
	before := v.cfg.Version
	if d.Version < before || (d.Version == before && before > 0) {
		return false, nil
	}
	next, err := v.cfg.Merge(d)
	if err != nil {
		return false, err
	}
	rises := next.Version >= before
	if !v.asserter.Check(asserter.VersionsOnlyRise, rises, fmt.Sprintf("version %d follows %d", next.Version, before)) {
		return false, nil
	}
	v.cfg = next
	close(v.changed)
	v.changed = make(chan struct{})
	return true, nil
}

func (v *View) mergeMembers(u *MembersUpdate) {
	if u.Whole {
		clear(v.members)
	}
	for _, m := range u.Changed {
		v.members[m.Upstream] = m
	}
	for _, name := range u.Removed {
		delete(v.members, name)
	}
	v.index = u.Index
}

// Observe is told the version that a peer's message carried. A newer one is
// fetched from that peer.
func (v *View) Observe(peer netip.AddrPort, version identifier.ConfigurationVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version <= v.cfg.Version || v.fetching || v.caller == nil {
		return
	}
	v.fetching = true
	go v.fetch(v.caller, peer, v.cfg.Version)
}

func (v *View) fetch(caller Caller, peer netip.AddrPort, have identifier.ConfigurationVersion) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	answer, err := caller.Call(ctx, peer, &ConfigurationRequest{Need: v.need, Have: have})
	v.mu.Lock()
	v.fetching = false
	v.mu.Unlock()
	found, ok := answer.(*ConfigurationAnswer)
	if err != nil || !ok || found.Configuration == nil {
		return
	}
	// A delta that does not fit is dropped: the subscription brings a whole one.
	_ = v.Apply(&Update{Configuration: found.Configuration})
}

// Await waits until the version is in force here, for a bounded time. A process
// that can't catch up goes on with what it has.
func (v *View) Await(ctx context.Context, version identifier.ConfigurationVersion) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for {
		v.mu.Lock()
		current, changed := v.cfg.Version, v.changed
		v.mu.Unlock()
		if current >= version {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// ServeRequest answers a peer that is behind.
func (v *View) ServeRequest(_ context.Context, s *connector.Stream, first any) {
	request, ok := first.(*ConfigurationRequest)
	if !ok {
		return
	}
	// A peer that went away asks someone else.
	_ = s.Send(&ConfigurationAnswer{Configuration: v.answer(request)})
}

func (v *View) answer(request *ConfigurationRequest) *configurer.Delta {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !covers(v.need, request.Need) || v.cfg.Version <= request.Have {
		return nil
	}
	delta := v.cfg.DeltaFor(request.Have, request.Need)
	return &delta
}

// covers reports whether one who has the need a can answer for the need b.
func covers(a, b configurer.Need) bool {
	if a.All {
		return true
	}
	if b.All {
		return false
	}
	for _, service := range b.Services {
		if !slices.Contains(a.Services, service) {
			return false
		}
	}
	return true
}
