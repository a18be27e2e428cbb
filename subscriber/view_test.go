package subscriber_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/configurer"
	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/subscriber"
)

var all = configurer.Need{All: true}

// versions returns an empty configuration and n successive changes of it. The i-th change
// sets the share of one organisation to i.
func versions(t *testing.T, n int) []configurer.Configuration {
	list := []configurer.Configuration{configurer.New()}
	for i := range n {
		source := fmt.Sprintf("[Organisations.housing]\nShare = %d\n", i+1)
		next, err := configurer.Apply(list[i], configurer.Patch{
			ID: identifier.PatchID(fmt.Sprint(i)), Base: list[i].Version, Source: []byte(source),
		})
		require.NoError(t, err)
		list = append(list, next)
	}
	return list
}

func update(to configurer.Configuration, have identifier.ConfigurationVersion) *subscriber.Update {
	delta := to.DeltaFor(have, all)
	return &subscriber.Update{Configuration: &delta}
}

// Updates from control and answers from peers may arrive in any order, and a replica may lag
// behind. The version in force must not decrease.
func TestViewNeverGoesBack(t *testing.T) {
	v := versions(t, 5)
	view := subscriber.NewView(all, asserter.Strict{}, clockwork.NewFakeClock())
	require.NoError(t, view.Apply(update(v[4], 0)))
	// Both a complete older configuration, as a lagging replica sends it, and a delta to
	// an older version are ignored.
	require.NoError(t, view.Apply(update(v[2], 0)))
	require.NoError(t, view.Apply(update(v[3], 2)))
	require.Equal(t, v[4].Version, view.Current())

	members := func(index uint64, whole bool, names ...identifier.Upstream) *subscriber.Update {
		u := &subscriber.MembersUpdate{Index: index, Whole: whole}
		for _, name := range names {
			u.Changed = append(u.Changed, subscriber.Member{Upstream: name})
		}
		return &subscriber.Update{Members: u, Quarantine: &subscriber.Quarantine{Index: index, Refused: []uint64{index}}}
	}
	for _, u := range []*subscriber.Update{members(7, true, "a", "b"), members(5, true, "a"), members(6, false, "gone"), members(9, false, "c")} {
		require.NoError(t, view.Apply(u))
	}
	list, index := view.Members()
	require.Len(t, list, 3)
	require.EqualValues(t, 9, index)
	require.Equal(t, []uint64{9}, view.Quarantine().Refused)
	require.NoError(t, view.Apply(members(8, true)))
	require.Equal(t, []uint64{9}, view.Quarantine().Refused)
	require.Equal(t, 4, view.Configuration().Organisations["housing"].Share)
	require.NoError(t, view.Apply(update(v[5], 4)))
	require.Equal(t, v[5].Version, view.Current())
}

// A delta that starts after the version in force omits the changes in between, so it must
// not be merged.
func TestViewRefusesADeltaThatLeavesAGap(t *testing.T) {
	v := versions(t, 4)
	view := subscriber.NewView(all, asserter.Strict{}, clockwork.NewFakeClock())
	require.NoError(t, view.Apply(update(v[1], 0)))
	err := view.Apply(update(v[4], 3))
	require.Equal(t, explainer.Unavailable, explainer.KindOf(err))
	require.Equal(t, v[1].Version, view.Current())
}

type callerFunc func(addr netip.AddrPort, request any) (any, error)

func (f callerFunc) Call(_ context.Context, addr netip.AddrPort, request any) (any, error) {
	return f(addr, request)
}

// A process that can't reach control must still get a newer configuration from a peer whose
// message carries a newer version, and must not request one that it already has.
func TestViewAsksAPeerThatHasANewerVersion(t *testing.T) {
	v := versions(t, 3)
	peer := netip.MustParseAddrPort("127.0.0.9:7400")
	calls := 0
	view := subscriber.NewView(all, asserter.Strict{}, clockwork.NewFakeClock())
	require.NoError(t, view.Apply(update(v[1], 0)))
	view.Connect(callerFunc(func(addr netip.AddrPort, request any) (any, error) {
		calls++
		require.Equal(t, peer, addr)
		have := request.(*subscriber.ConfigurationRequest).Have
		return &subscriber.ConfigurationAnswer{Configuration: update(v[3], have).Configuration}, nil
	}))
	view.Observe(peer, v[1].Version)
	view.Observe(peer, v[3].Version)
	for view.Current() < v[3].Version {
		view.Await(t.Context(), v[3].Version)
	}
	view.Observe(peer, v[2].Version)
	require.Equal(t, 1, calls)
}

// Guards against a peer that is asked again with every message, since it announces a newer
// version and can't answer for all services, and against one that keeps others from being asked.
func TestPeerThatCannotAnswerIsAskedSeldom(t *testing.T) {
	v := versions(t, 3)
	mute, good := netip.MustParseAddrPort("127.0.0.8:7400"), netip.MustParseAddrPort("127.0.0.9:7400")
	var calls sync.Map
	clock := clockwork.NewFakeClock()
	view := subscriber.NewView(all, asserter.Strict{}, clock)
	require.NoError(t, view.Apply(update(v[1], 0)))
	blocked, answered := make(chan struct{}), make(chan struct{}, 64)
	view.Connect(callerFunc(func(addr netip.AddrPort, request any) (any, error) {
		n, _ := calls.LoadOrStore(addr, new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
		if addr == mute {
			<-blocked
			defer func() { answered <- struct{}{} }()
			return &subscriber.ConfigurationAnswer{}, nil
		}
		return &subscriber.ConfigurationAnswer{Configuration: update(v[2], request.(*subscriber.ConfigurationRequest).Have).Configuration}, nil
	}))
	view.Observe(mute, v[3].Version)
	clock.Advance(300 * time.Millisecond)
	view.Observe(good, v[2].Version)
	for view.Current() < v[2].Version {
		view.Await(t.Context(), v[2].Version)
	}
	close(blocked)
	<-answered
	for range 100 {
		view.Observe(mute, v[3].Version)
		clock.Advance(7 * time.Millisecond)
	}
	n, _ := calls.Load(mute)
	require.LessOrEqual(t, n.(*atomic.Int64).Load(), int64(2), "in 1 s")
}

// Guards against a process that ends since no control replica is named.
func TestSubscriberWithoutAddresses(t *testing.T) {
	s := subscriber.New(subscriber.Config{}, nil, nil, nil, clockwork.NewFakeClock(), zap.NewNop())
	s.Start()
	s.Stop()
}

// Whole and incremental updates change the list of members. An update that only confirms a
// renewal must not call the watchers.
func TestMembersFollowUpdates(t *testing.T) {
	view := subscriber.NewView(all, asserter.Strict{}, clockwork.NewFakeClock())
	changes := 0
	view.Watch(func() { changes++ })
	require.NoError(t, view.Apply(&subscriber.Update{Members: &subscriber.MembersUpdate{
		Index: 3, Whole: true, Changed: []subscriber.Member{{Upstream: "b"}, {Upstream: "a"}},
	}}))
	require.NoError(t, view.Apply(&subscriber.Update{Members: &subscriber.MembersUpdate{
		Index: 4, Changed: []subscriber.Member{{Upstream: "c"}}, Removed: []identifier.Upstream{"a"},
	}}))
	require.NoError(t, view.Apply(&subscriber.Update{Renewed: 9}))
	members, index := view.Members()
	require.Equal(t, uint64(4), index)
	require.Equal(t, []subscriber.Member{{Upstream: "b"}, {Upstream: "c"}}, members)
	require.Equal(t, 2, changes)
}
