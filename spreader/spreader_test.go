package spreader_test

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/certifier"
	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/encoder"
	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
	"celeryvalve/registrar"
	"celeryvalve/spreader"
)

// noConfiguration tells the endpoint that messages depend on no version of the
// configuration.
type noConfiguration struct{}

func (noConfiguration) Current() identifier.ConfigurationVersion                { return 0 }
func (noConfiguration) Observe(netip.AddrPort, identifier.ConfigurationVersion) {}
func (noConfiguration) Await(context.Context, identifier.ConfigurationVersion)  {}

// process is one process of the system, with its view and the address of its
// endpoint.
type process struct {
	*spreader.Spreader
	view    *declarer.View
	address netip.AddrPort
}

// cluster starts processes on consecutive loopback addresses, with common keys.
type cluster struct {
	t    *testing.T
	keys string
	next byte
	// records are in the table of the process that is started next.
	records []registrar.Record
}

func newCluster(t *testing.T) *cluster {
	folder := t.TempDir()
	authority, err := certifier.CreateAuthority(folder, time.Now())
	require.NoError(t, err)
	require.NoError(t, authority.Issue("entry", []certifier.Role{certifier.Entry}, time.Now()))
	return &cluster{t: t, keys: folder}
}

func (c *cluster) process(region identifier.Region, followAll bool, seeds ...netip.AddrPort) *process {
	return c.start(region, followAll, func(*spreader.Spreader) {}, seeds)
}

// processWatching starts an entry whose spreader is set up before it starts.
func (c *cluster) processWatching(setUp func(*spreader.Spreader), seeds ...netip.AddrPort) *process {
	return c.start("north", true, setUp, seeds)
}

// nextAddress returns the address of the process that is started next.
func (c *cluster) nextAddress() netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.41.7.%d:7911", c.next+1))
}

func (c *cluster) start(region identifier.Region, followAll bool, setUp func(*spreader.Spreader), seeds []netip.AddrPort) *process {
	address := c.nextAddress()
	c.next++
	codec, err := encoder.New(append(spreader.Messages(), declarer.Messages()...)...)
	require.NoError(c.t, err)
	view := declarer.NewView(asserter.Strict{})
	e := connector.New(connector.Config{Listen: address}, codec, certifier.NewSource(certifier.PathsIn(c.keys, "entry")), noConfiguration{}, zap.NewNop())
	table := registrar.New(registrar.Config{StaleAfter: time.Minute, ForgetAfter: time.Hour})
	for _, r := range c.records {
		require.True(c.t, table.Merge(time.Now(), r))
	}
	c.records = nil
	cfg := spreader.Config{Process: address.String(), Address: address, Region: region, FollowAll: followAll}
	s := spreader.New(cfg, seeds, table, view, e, clockwork.NewRealClock(), zap.NewNop())
	s.Register(e)
	setUp(s)
	require.NoError(c.t, e.Start())
	s.Start()
	c.t.Cleanup(func() {
		s.Stop()
		require.NoError(c.t, e.Stop())
	})
	return &process{Spreader: s, view: view, address: address}
}

// replica starts a process that sends a list of replicas with itself as the only
// one.
func (c *cluster) replica(index uint64) *process {
	p := c.process("north", true)
	p.SetReplicas(spreader.Replicas{Index: index, Led: true, Addresses: []netip.AddrPort{p.address}})
	return p
}

func (c *cluster) eventually(condition func() bool) {
	require.Eventually(c.t, condition, 20*time.Second, 5*time.Millisecond)
}

func record(name identifier.Upstream, state registrar.State) registrar.Record {
	return registrar.Record{Upstream: name, Sequence: 1, Service: "drafting", State: state, Address: netip.MustParseAddrPort("10.0.0.1:80")}
}

func hasState(p *process, name identifier.Upstream, state registrar.State) func() bool {
	return func() bool {
		r, ok := p.Find(name)
		return ok && r.State == state
	}
}

// Guards against reports that reach only some processes: a replica must pass them
// on to all processes that follow it, including one that starts later.
func TestReportReachesEveryProcess(t *testing.T) {
	c := newCluster(t)
	hub := c.replica(1)
	a, b := c.process("north", true, hub.address), c.process("south", false, hub.address)
	c.eventually(func() bool { return a.Connected() && b.Connected() })
	_, err := a.Report(record("u", registrar.Ready))
	require.NoError(t, err)
	c.eventually(hasState(b, "u", registrar.Ready))
	_, err = a.Report(record("u", registrar.Draining))
	require.NoError(t, err)
	c.eventually(hasState(b, "u", registrar.Draining))
	late := c.process("south", true, hub.address)
	c.eventually(hasState(late, "u", registrar.Draining))
}

// Guards against a departure in the log of the control replicas that reaches only some
// processes, or that one which stood still undoes (review cases 3 and 8).
func TestRecordedDepartureReachesEveryProcess(t *testing.T) {
	c := newCluster(t)
	ready := record("u", registrar.Ready)
	ready.Sequence = 9
	c.records = []registrar.Record{ready}
	hub := c.replica(1)
	follower := c.process("north", true, hub.address)
	c.eventually(hasState(follower, "u", registrar.Ready))
	hub.RecordDepartures([]registrar.Record{record("u", registrar.Gone)})
	c.eventually(hasState(follower, "u", registrar.Gone))
	ready.Sequence = 10
	c.records = []registrar.Record{ready}
	late := c.process("south", true, hub.address)
	c.eventually(hasState(late, "u", registrar.Gone))
	require.True(t, hasState(hub, "u", registrar.Gone)())
	require.True(t, hasState(follower, "u", registrar.Gone)())
}

// Guards against processes that find no replica because their seed is not one: any
// process sends the list of replicas.
func TestAnyProcessIsASeed(t *testing.T) {
	c := newCluster(t)
	hub := c.replica(1)
	entry := c.process("north", true, hub.address)
	c.eventually(entry.Connected)
	newcomer := c.process("south", false, entry.address)
	c.eventually(func() bool {
		return len(newcomer.ReplicaAddresses()) == 1 && newcomer.ReplicaAddresses()[0] == hub.address
	})
	c.eventually(newcomer.Connected)
	require.Equal(t, identifier.Region("north"), newcomer.RegionOf(hub.address))
}

// Guards against a loss of all power after which entries without a disk know only each other
// as seeds and are up after the replicas have a leader: nobody told them of the replicas, and
// they served nobody (incident RECOVER).
func TestSeedsThatStartLateLearnOfTheReplicas(t *testing.T) {
	c := newCluster(t)
	hub := c.nextAddress()
	first, second := netip.MustParseAddrPort("127.41.7.2:7911"), netip.MustParseAddrPort("127.41.7.3:7911")
	c.processWatching(func(s *spreader.Spreader) {
		s.SetReplicas(spreader.Replicas{Index: 1, Led: true, Addresses: []netip.AddrPort{hub}})
	}, first, second)
	for _, seed := range []*process{c.process("north", true, first, second), c.process("south", true, first, second)} {
		require.Eventually(t, seed.Connected, time.Minute, 5*time.Millisecond)
		require.Equal(t, []netip.AddrPort{hub}, seed.ReplicaAddresses())
	}
}

// Guards against a replica that was cut off while all others were replaced: it asked only
// those of the list that it knew, which are gone, for as long as it ran.
func TestReplicaWithAnOldListFindsTheNewReplicas(t *testing.T) {
	c := newCluster(t)
	hub := c.replica(5)
	seed := c.process("north", true, hub.address)
	c.eventually(seed.Connected)
	gone := netip.MustParseAddrPort("127.41.7.99:7911")
	own := c.nextAddress()
	cutOff := c.processWatching(func(s *spreader.Spreader) {
		s.SetReplicas(spreader.Replicas{Index: 1, Led: true, Addresses: []netip.AddrPort{gone, own}})
		s.SetReplicas(spreader.Replicas{Index: 1, Addresses: []netip.AddrPort{gone, own}})
	}, seed.address)
	require.Eventually(t, func() bool { return cutOff.ReplicaList().Index == 5 }, time.Minute, 5*time.Millisecond)
	c.eventually(cutOff.Connected)
}

// Guards against a process that stays at an old declaration, merges a difference
// wrongly, or goes back to an older revision, and against evacuations that come only with
// a declaration.
func TestDeclarationIsFetched(t *testing.T) {
	c := newCluster(t)
	hub := c.replica(1)
	a := c.process("north", true, hub.address)
	hub.view.Set(declarer.Declared{Revision: 1, Evacuations: declarer.Evacuations{"z": time.Unix(1, 0)}})
	c.eventually(func() bool { return len(a.view.Declared().Evacuations) == 1 })
	require.Zero(t, a.view.CurrentVersion())
	for v := range identifier.ConfigurationVersion(5) {
		hub.view.Set(declarer.Declared{
			Revision:    declarer.Revision(v + 2),
			Declaration: declarer.Declaration{Version: 10 * (v + 1), Routes: map[identifier.Route]declarer.Route{"r": {Priority: int(v)}}},
		})
		c.eventually(func() bool { return a.view.CurrentVersion() == 10*(v+1) })
		require.Equal(t, int(v), a.view.Declared().Declaration.Routes["r"].Priority)
	}
	require.Empty(t, a.view.Declared().Evacuations)
	require.False(t, a.view.Set(declarer.Declared{Revision: 2}))
}

// Guards against shares of a limit that assume a number of entries: all entries learn how
// many there are, and one that restarts counts twice for a while.
func TestEntriesAreCounted(t *testing.T) {
	c := newCluster(t)
	counts := make(chan int, 64)
	replica := c.process("north", true)
	replica.SetReplicas(spreader.Replicas{Index: 1, Led: true, Addresses: []netip.AddrPort{replica.address}})
	c.process("north", true, replica.address)
	c.process("north", false, replica.address)
	c.processWatching(func(s *spreader.Spreader) { s.WatchEntries(func(n int) { counts <- n }) }, replica.address)
	require.Eventually(t, func() bool { return len(counts) > 0 && <-counts == 3 }, time.Minute, time.Millisecond)
	c.process("north", true, replica.address)
	require.Eventually(t, func() bool { return len(counts) > 0 && <-counts == 4 }, time.Minute, time.Millisecond)
}

// Guards against entries that share a limit without knowing each other: all of them list
// the same ones, and one that callers don't use any more is left out.
func TestEntriesThatTakeRequestsAreListedEverywhere(t *testing.T) {
	c := newCluster(t)
	var idle atomic.Bool
	serving := func() bool { return true }
	var mu sync.Mutex
	lists := make(map[int][]spreader.ServingEntry)
	watch := func(i int, takesRequests func() bool) func(*spreader.Spreader) {
		return func(s *spreader.Spreader) {
			s.ReportServing(takesRequests)
			s.WatchServing(func(list []spreader.ServingEntry) {
				mu.Lock()
				defer mu.Unlock()
				lists[i] = list
			})
		}
	}
	replica := c.processWatching(watch(0, serving))
	replica.SetReplicas(spreader.Replicas{Index: 1, Led: true, Addresses: []netip.AddrPort{replica.address}})
	first := c.processWatching(watch(1, serving), replica.address)
	last := c.processWatching(watch(2, func() bool { return !idle.Load() }), replica.address)
	c.process("north", true, replica.address) // takes no requests
	eventuallyListed := func(processes ...*process) {
		require.Eventually(t, func() bool {
			mu.Lock()
			defer mu.Unlock()
			for _, list := range lists {
				var names []string
				for _, e := range list {
					names = append(names, string(e.Entry))
				}
				var want []string
				for _, p := range processes {
					want = append(want, p.address.String())
				}
				if !slices.Equal(want, names) {
					return false
				}
			}
			return len(lists) == 3
		}, time.Minute, time.Millisecond)
	}
	eventuallyListed(replica, first, last)
	idle.Store(true)
	eventuallyListed(replica, first)
}

// Guards against a release that waits for a mirror that was lost: a replica that was heard and
// has fallen silent is told from one that was never heard.
func TestSilentReplicaIsKnown(t *testing.T) {
	c := newCluster(t)
	hub := c.replica(1)
	entry := c.process("north", true, hub.address)
	require.False(t, entry.IsSilent(hub.address), "it was never heard")
	c.eventually(entry.Connected)
	require.False(t, entry.IsSilent(hub.address))
	hub.Stop()
	c.eventually(func() bool { return entry.IsSilent(hub.address) })
}

// Guards against instances that all pull from the one control replica of their region:
// they learn of the other entries there, and only of those that are up.
func TestAgentsLearnOfTheEntriesInTheirRegion(t *testing.T) {
	c := newCluster(t)
	hub := c.replica(1)
	near, far := c.process("south", true, hub.address), c.process("north", true, hub.address)
	agent := c.process("south", false, hub.address)
	c.eventually(func() bool { return slices.Equal(agent.Caches(), []netip.AddrPort{near.address}) })
	c.eventually(func() bool { return slices.Contains(far.Caches(), far.address) })
	near.Stop()
	c.eventually(func() bool { return len(agent.Caches()) == 0 })
}

// Guards against a series of crashes that fills the links between regions with summaries: of
// those in which only suspects change, few are sent, and what is refused comes at once.
func TestSummariesOfManyCrashesAreFew(t *testing.T) {
	c := newCluster(t)
	var received atomic.Int64
	newest := make(chan quarantiner.Revision, 1<<16)
	replica := c.process("north", true)
	replica.SetReplicas(spreader.Replicas{Index: 1, Led: true, Addresses: []netip.AddrPort{replica.address}})
	c.processWatching(func(s *spreader.Spreader) {
		s.WatchQuarantine(func(summary quarantiner.Summary) {
			received.Add(1)
			newest <- summary.Revision
		})
	}, replica.address)
	const crashes, pause = 400, 2 * time.Millisecond
	began := time.Now()
	for i := range crashes {
		replica.SetQuarantine(quarantiner.Summary{Revision: quarantiner.Revision(i + 1), Suspects: []quarantiner.Fingerprint{quarantiner.Fingerprint(i + 1)}})
		time.Sleep(pause)
	}
	most := int64(time.Since(began)/(100*time.Millisecond)) + 2
	require.LessOrEqual(t, received.Load(), most)
	last := quarantiner.Summary{Revision: crashes + 1, Refused: []quarantiner.Refusal{{Fingerprint: 1, Until: 1}}}
	replica.SetQuarantine(last)
	for revision := range newest {
		if revision == last.Revision {
			return
		}
	}
}
