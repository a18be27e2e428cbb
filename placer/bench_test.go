package placer

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/coordinator"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/recorder"
	"celeryvalve/registrar"
	"celeryvalve/spreader"
)

// largeDeclaration returns a declaration of 1,440 routes, the most that the platform's days have.
func largeDeclaration(version identifier.ConfigurationVersion) declarer.Declaration {
	const routes, services, organisations = 1440, 40, 40
	d := declarer.Declaration{
		Version:       version,
		Routes:        make(map[identifier.Route]declarer.Route),
		Services:      make(map[identifier.Service]declarer.Service),
		Organisations: make(map[identifier.Organisation]declarer.Organisation),
	}
	for i := range services {
		d.Services[identifier.Service(fmt.Sprintf("service-%02d", i))] = declarer.Service{MaximumConnections: 8}
	}
	for i := range organisations {
		key := identifier.DigestOf(fmt.Appendf(nil, "key %d", i))
		d.Organisations[identifier.Organisation(fmt.Sprintf("organisation-%02d", i))] = declarer.Organisation{Keys: []identifier.Digest{key}}
	}
	for i := range routes {
		unique := identifier.DigestOf(fmt.Appendf(nil, "route %d", i)).String()[:12]
		d.Routes[identifier.Route("route-"+unique)] = declarer.Route{
			Host: "a.example", Prefix: "/" + unique + "/", Kind: declarer.Idempotent, Timeout: time.Duration(i+1) * time.Second,
			Targets: []declarer.Target{{Service: identifier.Service(fmt.Sprintf("service-%02d", i%services)), Weight: 1 + i%7}},
		}
	}
	return d
}

type noTransport struct{}

func (noTransport) Send(netip.AddrPort, any) {}

// startReplica starts the only replica of a cluster with the state in the folder.
func startReplica(b *testing.B, folder string) (*coordinator.Coordinator, *recorder.Recorder) {
	address := netip.MustParseAddrPort("127.0.0.1:7001")
	clock, log := clockwork.NewRealClock(), zap.NewNop()
	store, err := recorder.Open(recorder.OSFileSystem{}, recorder.Config{Folder: folder, Name: "a"}, rand.Reader)
	require.NoError(b, err)
	view := declarer.NewView(asserter.Strict{})
	machine := &stateMachine{
		State: declarer.New(asserter.Strict{}), view: view, clock: clock, log: log,
		spreader: spreader.New(spreader.Config{}, nil, registrar.New(registrar.Config{}), view, nil, clock, log),
	}
	cfg := coordinator.Config{Name: "a", Addr: address, Members: []coordinator.Member{{Name: "a", Addr: address}}}
	c := coordinator.New(cfg, store, machine, noTransport{}, clock, asserter.Strict{}, log)
	require.NoError(b, c.Start(b.Context()))
	return c, store
}

func waitUntil(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}

// BenchmarkStart measures how long a replica takes from the opening of its disk until it has applied what was committed before,
// after many changes of a large declaration.
func BenchmarkStart(b *testing.B) {
	const changes = 110
	folder := b.TempDir()
	c, store := startReplica(b, folder)
	waitUntil(c.IsLeader)
	size := 0
	start := time.Now()
	for version := range changes {
		d := largeDeclaration(identifier.ConfigurationVersion(version + 1))
		document, err := json.Marshal(d)
		require.NoError(b, err)
		command, err := declarer.EncodeCommand(&declarer.Replace{Declaration: d, Document: document})
		require.NoError(b, err)
		size += len(command)
		_, err = c.Propose(b.Context(), command)
		require.NoError(b, err)
	}
	build := time.Since(start)
	time.Sleep(time.Second) // the commit index is written once the disk is idle
	last := c.Status().Applied
	require.NoError(b, c.Stop(b.Context()))
	require.NoError(b, store.Close())
	b.ResetTimer()
	var loaded recorder.Index
	for range b.N {
		c, store := startReplica(b, folder)
		loaded = c.Status().Last - c.Status().SnapshotIndex
		waitUntil(func() bool { return c.Status().Applied >= last })
		b.StopTimer()
		require.NoError(b, c.Stop(b.Context()))
		require.NoError(b, store.Close())
		b.StartTimer()
	}
	b.ReportMetric(float64(size/changes), "command-B")
	b.ReportMetric(float64(loaded), "entries")
	b.ReportMetric(build.Seconds(), "changes-s")
}
