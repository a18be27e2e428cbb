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

// Book holds what this process knows: its slice of the configuration and the
// members. It is safe for concurrent use.
type Book struct {
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

// NewBook returns an empty book for a process of the need.
func NewBook(need configurer.Need, a asserter.Asserter) *Book {
	return &Book{
		need:     need,
		asserter: a,
		members:  make(map[identifier.Upstream]Member),
		changed:  make(chan struct{}),
	}
}

// Connect gives the book the way to ask peers that have a newer version.
func (b *Book) Connect(caller Caller) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.caller = caller
}

// Watch calls f after every change. Call it before the subscription starts.
func (b *Book) Watch(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watchers = append(b.watchers, f)
}

// Configuration returns the slice in force here. It must not be changed.
func (b *Book) Configuration() configurer.Configuration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cfg
}

// Current returns the configuration version in force here.
func (b *Book) Current() identifier.ConfigurationVersion {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.cfg.Version
}

// Members returns the members by name, and the index of the list.
func (b *Book) Members() ([]Member, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	names := slices.Sorted(maps.Keys(b.members))
	list := make([]Member, 0, len(names))
	for _, name := range names {
		list = append(list, b.members[name])
	}
	return list, b.index
}

// Quarantine returns the requests that crashed upstreams.
func (b *Book) Quarantine() Quarantine {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.suspects
}

// Apply takes in an update.
func (b *Book) Apply(u *Update) error {
	b.mu.Lock()
	changed := false
	var err error
	if u.Configuration != nil {
		changed, err = b.merge(*u.Configuration)
	}
	if err == nil && u.Members != nil {
		b.mergeMembers(u.Members)
		changed = true
	}
	if err == nil && u.Quarantine != nil {
		b.suspects = *u.Quarantine
		changed = true
	}
	watchers := b.watchers
	b.mu.Unlock()
	if changed {
		for _, f := range watchers {
			f()
		}
	}
	return err
}

// merge takes in a delta. An older one is passed over: two sources may race.
func (b *Book) merge(d configurer.Delta) (bool, error) {
	before := b.cfg.Version
	if d.Version < before || (d.Version == before && before > 0) {
		return false, nil
	}
	next, err := b.cfg.Merge(d)
	if err != nil {
		return false, err
	}
	rises := next.Version >= before
	if !b.asserter.Check(asserter.VersionsOnlyRise, rises, fmt.Sprintf("version %d follows %d", next.Version, before)) {
		return false, nil
	}
	b.cfg = next
	close(b.changed)
	b.changed = make(chan struct{})
	return true, nil
}

func (b *Book) mergeMembers(u *MembersUpdate) {
	if u.Whole {
		clear(b.members)
	}
	for _, m := range u.Changed {
		b.members[m.Upstream] = m
	}
	for _, name := range u.Removed {
		delete(b.members, name)
	}
	b.index = u.Index
}

// Observe is told the version that a peer's message carried. A newer one is
// fetched from that peer.
func (b *Book) Observe(peer netip.AddrPort, version identifier.ConfigurationVersion) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if version <= b.cfg.Version || b.fetching || b.caller == nil {
		return
	}
	b.fetching = true
	go b.fetch(b.caller, peer, b.cfg.Version)
}

func (b *Book) fetch(caller Caller, peer netip.AddrPort, have identifier.ConfigurationVersion) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	answer, err := caller.Call(ctx, peer, &ConfigurationRequest{Need: b.need, Have: have})
	b.mu.Lock()
	b.fetching = false
	b.mu.Unlock()
	found, ok := answer.(*ConfigurationAnswer)
	if err != nil || !ok || found.Configuration == nil {
		return
	}
	// A delta that does not fit is dropped: the subscription brings a whole one.
	_ = b.Apply(&Update{Configuration: found.Configuration})
}

// Await waits until the version is in force here, for a bounded time. A process
// that can't catch up goes on with what it has.
func (b *Book) Await(ctx context.Context, version identifier.ConfigurationVersion) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	for {
		b.mu.Lock()
		current, changed := b.cfg.Version, b.changed
		b.mu.Unlock()
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
func (b *Book) ServeRequest(_ context.Context, s *connector.Stream, first any) {
	request, ok := first.(*ConfigurationRequest)
	if !ok {
		return
	}
	// A peer that went away asks someone else.
	_ = s.Send(&ConfigurationAnswer{Configuration: b.answer(request)})
}

func (b *Book) answer(request *ConfigurationRequest) *configurer.Delta {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !covers(b.need, request.Need) || b.cfg.Version <= request.Have {
		return nil
	}
	delta := b.cfg.DeltaFor(request.Have, request.Need)
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
