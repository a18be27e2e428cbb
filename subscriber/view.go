package subscriber

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"celeryvalve/asserter"
	"celeryvalve/catcher"
	"celeryvalve/configurer"
	"celeryvalve/connector"
	"celeryvalve/identifier"
)

const (
	// catchUpTimeout bounds how long the handling of a message waits for the
	// configuration version that the message carries.
	catchUpTimeout = 500 * time.Millisecond
	fetchTimeout   = 2 * time.Second
	// fetchHedgeDelay is how long a fetch may take before a second peer is asked as well.
	fetchHedgeDelay = 250 * time.Millisecond
	// fetchRetryDelay bounds the requests to a peer that can't answer. Peers tell their
	// version with every message.
	fetchRetryDelay = time.Second
	abandonDelay    = 10 * time.Second
)

// Caller makes remote calls.
type Caller interface {
	// Call sends one request to an address and returns its answer.
	Call(ctx context.Context, addr netip.AddrPort, request any) (any, error)
}

// View holds this process's copy of the data from control: its part of the
// configuration, the members and the quarantine. It is safe for concurrent use.
type View struct {
	need     configurer.Need
	asserter asserter.Asserter

	mu         sync.Mutex
	caller     Caller
	cfg        configurer.Configuration
	members    map[identifier.Upstream]Member
	index      uint64
	quarantine Quarantine
	changed    chan struct{}
	clock      clockwork.Clock
	// catcher decides which peers are asked for a newer version.
	catcher  *catcher.Catcher
	watchers []func()
}

// NewView returns an empty view for a process with the given need.
func NewView(need configurer.Need, a asserter.Asserter, clock clockwork.Clock) *View {
	return &View{
		need:     need,
		asserter: a,
		clock:    clock,
		catcher: catcher.New(catcher.Config{
			HedgeDelay: fetchHedgeDelay, RetryDelay: fetchRetryDelay,
			Timeout: fetchTimeout, MaxTimeout: fetchTimeout, AbandonDelay: abandonDelay,
		}),
		members: make(map[identifier.Upstream]Member),
		changed: make(chan struct{}),
	}
}

// Connect sets the caller with which the view requests newer versions from peers. Until
// it is called, Observe has no effect.
func (v *View) Connect(caller Caller) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.caller = caller
}

// Watch registers f to be called after every change of the view. Call it before the
// subscription starts.
func (v *View) Watch(f func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.watchers = append(v.watchers, f)
}

// Configuration returns the part of the configuration that is in force in this process.
// The caller must not modify it.
func (v *View) Configuration() configurer.Configuration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cfg
}

// Current returns the configuration version that is in force in this process.
func (v *View) Current() identifier.ConfigurationVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cfg.Version
}

// Members returns the members, sorted by name, and the index of the list.
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

// Quarantine returns the fingerprints of the requests that crashed upstreams.
func (v *View) Quarantine() Quarantine {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.quarantine
}

// Apply applies an update and then calls the watchers if the view has changed. It ignores
// a configuration that is not newer than the one in force, and lists that are older. If the delta can't be merged,
// it returns the error and ignores the rest of the update.
func (v *View) Apply(u *Update) error {
	v.mu.Lock()
	changed := false
	var err error
	if u.Configuration != nil {
		changed, err = v.mergeConfiguration(*u.Configuration)
	}
	// A replica that lags behind the one before it sends lists that are older.
	if err == nil && u.Members != nil && u.Members.Index >= v.index {
		v.mergeMembers(u.Members)
		changed = true
	}
	if err == nil && u.Quarantine != nil && u.Quarantine.Index >= v.quarantine.Index {
		v.quarantine = *u.Quarantine
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

// mergeConfiguration merges a delta and reports whether the configuration has changed. A
// delta that is not newer is ignored: updates from control and answers from peers may
// arrive in any order.
func (v *View) mergeConfiguration(d configurer.Delta) (bool, error) {
	before := v.cfg.Version
	if d.Version < before || (d.Version == before && before > 0) {
		return false, nil
	}
	next, err := v.cfg.Merge(d)
	if err != nil {
		return false, err
	}
	increases := next.Version >= before
	if !v.asserter.Check(asserter.VersionsOnlyRise, increases, fmt.Sprintf("version %d would replace the higher version %d", next.Version, before)) {
		return false, nil
	}
	v.cfg = next
	close(v.changed)
	v.changed = make(chan struct{})
	v.catchUp(catcher.Held{Revision: catcher.Revision(next.Version)})
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

// Observe handles the configuration version that a message from a peer carried. If it is
// newer, the view requests the delta from that peer, unless a request in progress brings it.
func (v *View) Observe(peer netip.AddrPort, version identifier.ConfigurationVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version <= v.cfg.Version || v.caller == nil {
		return
	}
	v.catchUp(catcher.Told{Peer: peer, Revision: catcher.Revision(version)})
}

// catchUp feeds an event to the catcher, and begins the fetches that it returns. The caller
// holds v.mu.
func (v *View) catchUp(event catcher.Event) {
	for _, f := range v.catcher.Reduce(v.clock.Now(), event) {
		go v.fetch(v.caller, f, v.cfg.Version)
	}
}

func (v *View) fetch(caller Caller, f catcher.Fetch, have identifier.ConfigurationVersion) {
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	ended := catcher.Ended{Peer: f.Peer}
	msg, err := caller.Call(ctx, f.Peer, &ConfigurationRequest{Need: v.need, Have: have})
	if answer, ok := msg.(*ConfigurationAnswer); err == nil && ok && answer.Configuration != nil {
		ended.Revision = catcher.Revision(answer.Configuration.Version)
		// A delta that can't be merged is dropped; the subscription delivers a complete one.
		_ = v.Apply(&Update{Configuration: answer.Configuration})
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.catchUp(ended)
}

// Await waits until the version is in force in this process, but at most for
// catchUpTimeout. After that the process continues with its current configuration.
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

// ServeRequest answers the ConfigurationRequest of a peer.
func (v *View) ServeRequest(_ context.Context, s *connector.Stream, first any) {
	request, ok := first.(*ConfigurationRequest)
	if !ok {
		return
	}
	// The error is ignored: a peer that gets no answer can ask another peer.
	_ = s.Send(&ConfigurationAnswer{Configuration: v.deltaFor(request)})
}

// deltaFor returns the delta for a request, or nil if the version in force is not newer
// or this process does not have everything that the request needs.
func (v *View) deltaFor(request *ConfigurationRequest) *configurer.Delta {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !covers(v.need, request.Need) || v.cfg.Version <= request.Have {
		return nil
	}
	delta := v.cfg.DeltaFor(request.Have, request.Need)
	return &delta
}

// covers reports whether a process with the need have can answer a request for the need
// want.
func covers(have, want configurer.Need) bool {
	if have.All {
		return true
	}
	if want.All {
		return false
	}
	for _, service := range want.Services {
		if !slices.Contains(have.Services, service) {
			return false
		}
	}
	return true
}
