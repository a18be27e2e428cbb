package spreader_test

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
	"celeryvalve/certifier"
	"celeryvalve/connector"
	"celeryvalve/declarer"
	"celeryvalve/encoder"
	"celeryvalve/identifier"
	"celeryvalve/registrar"
	"celeryvalve/spreader"
)

// idle is a process whose messages need no configuration.
type idle struct{}

func (idle) Current() identifier.ConfigurationVersion                { return 0 }
func (idle) Observe(netip.AddrPort, identifier.ConfigurationVersion) {}
func (idle) Await(context.Context, identifier.ConfigurationVersion)  {}

// process is one process of the system with its endpoint.
type process struct {
	*spreader.Spreader
	view    *declarer.View
	address netip.AddrPort
}

// world makes processes that know one seed.
type world struct {
	t    *testing.T
	keys string
	next byte
}

func newWorld(t *testing.T) *world {
	folder := t.TempDir()
	authority, err := certifier.CreateAuthority(folder, time.Now())
	require.NoError(t, err)
	require.NoError(t, authority.Issue("entry", []certifier.Role{certifier.Entry}, time.Now()))
	return &world{t: t, keys: folder}
}

func (w *world) process(region identifier.Region, followAll bool, seeds ...netip.AddrPort) *process {
	w.next++
	address := netip.MustParseAddrPort(fmt.Sprintf("127.41.7.%d:7911", w.next))
	codec, err := encoder.New(append(spreader.Messages(), declarer.Messages()...)...)
	require.NoError(w.t, err)
	view := declarer.NewView(asserter.Strict{})
	e := connector.New(connector.Config{Listen: address}, codec, certifier.NewSource(certifier.PathsIn(w.keys, "entry")), idle{}, zap.NewNop())
	table := registrar.New(registrar.Config{StaleAfter: time.Minute, ForgetAfter: time.Hour})
	cfg := spreader.Config{Process: address.String(), Address: address, Region: region, FollowAll: followAll}
	s := spreader.New(cfg, seeds, table, view, e, clockwork.NewRealClock(), zap.NewNop())
	s.Register(e)
	require.NoError(w.t, e.Start())
	s.Start()
	w.t.Cleanup(func() {
		s.Stop()
		require.NoError(w.t, e.Stop())
	})
	return &process{Spreader: s, view: view, address: address}
}

// replica is a process that knows where the replicas are.
func (w *world) replica(index uint64) *process {
	p := w.process("north", true)
	p.SetReplicas(spreader.Replicas{Index: index, Led: true, Addresses: []netip.AddrPort{p.address}})
	return p
}

func (w *world) eventually(condition func() bool) {
	require.Eventually(w.t, condition, 20*time.Second, 5*time.Millisecond)
}

func record(name identifier.Upstream, state registrar.State) registrar.Record {
	return registrar.Record{Upstream: name, Sequence: 1, Service: "drafting", State: state, Address: netip.MustParseAddrPort("10.0.0.1:80")}
}

func knows(p *process, name identifier.Upstream, state registrar.State) func() bool {
	return func() bool {
		r, ok := p.Find(name)
		return ok && r.State == state
	}
}

// What an upstream says at one process reaches all others over a replica, also
// those that start later.
func TestReportReachesEveryProcess(t *testing.T) {
	w := newWorld(t)
	hub := w.replica(1)
	a, b := w.process("north", true, hub.address), w.process("south", false, hub.address)
	w.eventually(func() bool { return a.Connected() && b.Connected() })
	a.Report(record("u", registrar.Ready))
	w.eventually(knows(b, "u", registrar.Ready))
	a.Report(record("u", registrar.Draining))
	w.eventually(knows(b, "u", registrar.Draining))
	late := w.process("south", true, hub.address)
	w.eventually(knows(late, "u", registrar.Draining))
}

// A seed need not be a replica: any process says where the replicas are.
func TestAnyProcessIsASeed(t *testing.T) {
	w := newWorld(t)
	hub := w.replica(1)
	entry := w.process("north", true, hub.address)
	w.eventually(entry.Connected)
	newcomer := w.process("south", false, entry.address)
	w.eventually(func() bool { return len(newcomer.Replicas()) == 1 && newcomer.Replicas()[0] == hub.address })
	w.eventually(newcomer.Connected)
	require.Equal(t, identifier.Region("north"), newcomer.RegionOf(hub.address))
}

// What is declared is fetched as a difference by those that are behind, and
// never goes back.
func TestDeclarationIsFetched(t *testing.T) {
	w := newWorld(t)
	hub := w.replica(1)
	a := w.process("north", true, hub.address)
	for v := range identifier.ConfigurationVersion(5) {
		hub.view.Set(declarer.Declared{
			Revision:    declarer.Revision(v + 1),
			Declaration: declarer.Declaration{Version: 10 * (v + 1), Routes: map[identifier.Route]declarer.Route{"r": {Priority: int(v)}}},
		})
		w.eventually(func() bool { return a.view.Current() == 10*(v+1) })
		require.Equal(t, int(v), a.view.Declared().Declaration.Routes["r"].Priority)
	}
	require.False(t, a.view.Set(declarer.Declared{Revision: 2}))
}
