package executor_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/certifier"
	"celeryvalve/connector"
	"celeryvalve/encoder"
	"celeryvalve/executor"
	"celeryvalve/forwarder"
	"celeryvalve/identifier"
	"celeryvalve/router"
)

type fixedVersion struct{}

func (fixedVersion) Await(context.Context, identifier.ConfigurationVersion)  {}
func (fixedVersion) Current() identifier.ConfigurationVersion                { return 1 }
func (fixedVersion) Observe(netip.AddrPort, identifier.ConfigurationVersion) {}

func newEndpoint(t testing.TB, folder, name string) *connector.Endpoint {
	codec, err := encoder.New(router.Messages()...)
	require.NoError(t, err)
	cfg := connector.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0")}
	return connector.New(cfg, codec, certifier.NewSource(certifier.PathsIn(folder, name)), fixedVersion{}, zap.NewNop())
}

// newPath returns the URLs of an upstream and of an entry that forwards requests to it
// over QUIC.
func newPath(t testing.TB, h http.HandlerFunc) (direct, proxied string) {
	folder := t.TempDir()
	authority, err := certifier.CreateAuthority(folder, time.Now())
	require.NoError(t, err)
	require.NoError(t, authority.Issue("entry", []certifier.Role{certifier.Entry}, time.Now()))
	require.NoError(t, authority.Issue("agent", []certifier.Role{certifier.Agent}, time.Now()))
	upstream := httptest.NewServer(h)
	t.Cleanup(upstream.Close)

	agentEndpoint := newEndpoint(t, folder, "agent")
	x := executor.New(executor.Config{
		Upstream: "u1", Incarnation: 1, Address: netip.MustParseAddrPort(upstream.Listener.Addr().String()), Concurrency: 256,
	}, executor.Dependencies{
		Claims: &fakeControl{claims: make(map[identifier.IdempotencyKey]*claim)}, CrashReporter: discardCrashReports{},
		Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Asserter: asserter.Strict{},
	})
	x.Register(agentEndpoint)
	require.NoError(t, agentEndpoint.Start())
	x.Start()
	entryEndpoint := newEndpoint(t, folder, "entry")
	require.NoError(t, entryEndpoint.Start())
	entry := forwarder.New(forwarder.Config{}, forwarder.Dependencies{
		Opener: forwarder.NewOpener(entryEndpoint), Claims: &fakeControl{claims: make(map[identifier.IdempotencyKey]*claim)},
		Authenticator: staticTokens{"secret": "housing"}, Clock: clockwork.NewRealClock(), Logger: zap.NewNop(), Check: asserter.Strict{},
	})
	entry.ChangePolicy(router.Policy{Services: []router.ServicePolicy{{Service: "booking"}}}, nil)
	entry.ChangeUpstreams([]router.UpstreamView{{Upstream: "u1", Incarnation: 1, Address: agentEndpoint.Address(), Service: "booking", Ready: true}})
	entry.Start()
	srv := httptest.NewServer(entry.Handler())
	t.Cleanup(func() {
		srv.Close()
		entry.Stop()
		x.Stop()
		require.NoError(t, entryEndpoint.Stop())
		require.NoError(t, agentEndpoint.Stop())
	})
	require.Eventually(t, x.Ready, waitTimeout, pollInterval)
	return upstream.URL, srv.URL + "/booking"
}

func get(t testing.TB, client *http.Client, url string) int {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := client.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, string(body))
	return len(body)
}

func TestRequestRunsOverQUIC(t *testing.T) {
	_, url := newPath(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "whole") })
	require.Equal(t, 5, get(t, http.DefaultClient, url+"/x"))
}

func benchmarkGet(b *testing.B, url string, workers int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	get(b, client, url)
	var mu sync.Mutex
	var latencies []time.Duration
	b.ResetTimer()
	var wg sync.WaitGroup
	for w := range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range b.N/workers + min(1, max(0, b.N%workers-w)) {
				began := time.Now()
				get(b, client, url)
				mu.Lock()
				latencies = append(latencies, time.Since(began))
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	b.StopTimer()
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(len(latencies))/b.Elapsed().Seconds(), "requests/s")
}

func smallAnswer(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

func BenchmarkRequest(b *testing.B) {
	direct, proxied := newPath(b, smallAnswer)
	b.Run("Direct", func(b *testing.B) { benchmarkGet(b, direct, 1) })
	b.Run("Path", func(b *testing.B) { benchmarkGet(b, proxied, 1) })
	b.Run("DirectBy32", func(b *testing.B) { benchmarkGet(b, direct, 32) })
	b.Run("PathBy32", func(b *testing.B) { benchmarkGet(b, proxied, 32) })
}

const eventsPerStream = 100

// BenchmarkStream forwards responses of 100 events, each of which is flushed separately.
func BenchmarkStream(b *testing.B) {
	direct, proxied := newPath(b, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for range eventsPerStream {
			_, _ = io.WriteString(w, "data: {\"choices\":[{\"text\":\" token\"}]}\n\n")
			w.(http.Flusher).Flush()
		}
	})
	for name, url := range map[string]string{"Direct": direct, "Path": proxied} {
		b.Run(name, func(b *testing.B) {
			benchmarkGet(b, url, 32)
			b.ReportMetric(eventsPerStream*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}
