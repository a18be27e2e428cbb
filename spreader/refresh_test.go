package spreader

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/registrar"
)

// follower is an entry in the region that follows two replicas in it and one in another.
func follower(clock clockwork.Clock, region identifier.Region) (*Spreader, []netip.AddrPort) {
	var addrs []netip.AddrPort
	regions := make(map[string]identifier.Region)
	for i, of := range []identifier.Region{"north", "north", "south"} {
		addr := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))
		addrs = append(addrs, addr)
		regions[addr.String()] = of
	}
	s := New(Config{Process: "entry", Region: region, FollowAll: true}, nil, registrar.New(registrar.Config{ForgetAfter: time.Hour}),
		declarer.NewView(asserter.Strict{}), nil, clock, zap.NewNop())
	s.replicas = &Replicas{Addresses: addrs, Regions: regions}
	return s, addrs
}

// Failure: the replica that an entry gets refreshes from is lost, or loses its leader.
func TestRefreshesComeFromOneReplica(t *testing.T) {
	clock := clockwork.NewFakeClock()
	for region, near := range map[identifier.Region]int{"north": 2, "south": 1, "west": 3} {
		s, addrs := follower(clock, region)
		hear := func(led bool, from ...netip.AddrPort) {
			clock.Advance(heartbeatTimeout)
			for _, addr := range from {
				s.applyUpdate(&Update{Led: led}, addr, &sentState{})
			}
			s.choosePrimary(addrs)
		}
		hear(true, addrs...)
		wanted := map[netip.AddrPort]bool{}
		for _, addr := range addrs {
			if s.wantsRefreshesFrom(addr) {
				wanted[addr] = true
			}
		}
		require.Len(t, wanted, 1)
		first := s.primary
		candidates := map[int][]netip.AddrPort{1: addrs[2:], 2: addrs[:2], 3: addrs}[near]
		require.Contains(t, candidates, first)

		others := []netip.AddrPort{}
		for _, addr := range addrs {
			if addr != first {
				others = append(others, addr)
			}
		}
		hear(true, others...)
		require.Contains(t, others, s.primary, "the replica is silent")
		hear(false, first)
		require.Equal(t, first, s.primary, "it is the only one that is heard, though it knows no leader")
		hear(true, addrs...)
		require.Equal(t, first, s.primary)
	}
}

// Load: 720 upstreams report every 1.2 s to 40 entries, which follow 7 replicas. Each refresh
// goes to every replica once, and once to every entry.
func TestRefreshesAreNotPassedOnByEntries(t *testing.T) {
	clock := clockwork.NewFakeClock()
	entry, addrs := follower(clock, "north")
	entry.primary = addrs[0]
	replica, _ := follower(clock, "north")
	replica.ownReplicas = &Replicas{Led: true}
	up, down := &sentState{followed: addrs[0]}, &sentState{follower: &FollowRequest{Loads: true}, includeLoads: true}
	elsewhere := &sentState{followed: addrs[1]}
	sequence := uint64(0)
	round := func() (toReplica, toEntry *Update) {
		clock.Advance(reportInterval)
		sequence++
		_, err := entry.Report(registrar.Record{Upstream: "mine", Sequence: sequence, State: registrar.Ready})
		require.NoError(t, err)
		replica.applyUpdate(&Update{Refreshes: []registrar.Refresh{{Upstream: "other", Sequence: sequence}}}, netip.AddrPort{}, &sentState{})
		entry.publishRefreshes(context.Background())
		replica.publishRefreshes(context.Background())
		toReplica, _ = entry.nextUpdate(up)
		replica.applyUpdate(toReplica, netip.AddrPort{}, down)
		toEntry, _ = replica.nextUpdate(down)
		entry.applyUpdate(toEntry, addrs[0], up)
		return toReplica, toEntry
	}
	_, err := replica.Report(registrar.Record{Upstream: "other", Sequence: 1, State: registrar.Ready})
	require.NoError(t, err)
	first, back := round()
	require.Len(t, first.Records, 1)
	require.Equal(t, identifier.Upstream("other"), back.Records[0].Upstream)
	require.Len(t, back.Records, 1, "a record is not sent back to where it came from")
	require.True(t, first.WantsRefreshes)
	for i := range 6 {
		toReplica, toEntry := round()
		require.Empty(t, toReplica.Records)
		require.Equal(t, []registrar.Refresh{{Upstream: "mine", Sequence: sequence}}, toReplica.Refreshes)
		require.Equal(t, i%2 == 0, len(toEntry.Refreshes) > 0, "a replica sends refreshes in every second round")
	}
	toOther, _ := entry.nextUpdate(elsewhere)
	require.False(t, toOther.WantsRefreshes)
	down.wantsRefreshes = false
	clock.Advance(reportInterval)
	replica.publishRefreshes(context.Background())
	replica.publishRefreshes(context.Background())
	silent, _ := replica.nextUpdate(down)
	require.Empty(t, silent.Refreshes)
}
