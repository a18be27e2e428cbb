package spreader

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/encoder"
	"celeryvalve/identifier"
	"celeryvalve/registrar"
)

// routesOf returns a version of a declaration with n routes, one of which differs from version to
// version.
func routesOf(version identifier.ConfigurationVersion, n int) declarer.Declaration {
	d := declarer.Declaration{
		Version:  version,
		Services: map[identifier.Service]declarer.Service{"drafting": {Engine: &declarer.Engine{Slots: 16, Model: "summaries"}}},
		Routes:   make(map[identifier.Route]declarer.Route, n),
	}
	for i := range n {
		d.Routes[identifier.Route(fmt.Sprintf("route-%05d", i))] = declarer.Route{
			Host: fmt.Sprintf("host-%d.example", i%50), Prefix: fmt.Sprintf("/office/%05d/", i), Kind: declarer.Idempotent,
			Timeout: 10 * time.Second, FirstByte: time.Second, MaximumAttempts: 3,
			Targets: []declarer.Target{{Service: "drafting", Weight: 1}},
		}
	}
	changed := d.Routes[identifier.Route(fmt.Sprintf("route-%05d", int(version)%n))]
	changed.Timeout = time.Duration(version) * time.Millisecond
	d.Routes[identifier.Route(fmt.Sprintf("route-%05d", int(version)%n))] = changed
	return d
}

// newHistory returns a Spreader that has followed the versions of a declaration with n routes.
func newHistory(n int, versions identifier.ConfigurationVersion) *Spreader {
	view := declarer.NewView(asserter.Strict{})
	s := New(Config{Process: "p"}, nil, registrar.New(registrar.Config{}), view, nil, clockwork.NewFakeClock(), zap.NewNop())
	for v := identifier.ConfigurationVersion(1); v <= versions; v++ {
		view.Set(declarer.Declared{Revision: declarer.Revision(v), Declaration: routesOf(v, n)})
	}
	return s
}

// BenchmarkFetch measures the answer to a process that is some versions behind, or has none: the
// first one after a change, and one to a further process with the same version.
func BenchmarkFetch(b *testing.B) {
	const versions = 100
	codec, err := encoder.New(Messages()...)
	require.NoError(b, err)
	for _, routes := range []int{1440, 10_000} {
		s := newHistory(routes, versions)
		for _, behind := range []identifier.ConfigurationVersion{1, 4, 15, 16, versions} {
			request := &FetchDeclarationRequest{Have: versions - behind}
			b.Run(fmt.Sprintf("routes=%d/behind=%d/first", routes, behind), func(b *testing.B) {
				for b.Loop() {
					s.fetchAnswers = fetchAnswers{}
					_, err := s.fetchAnswer(request)
					require.NoError(b, err)
				}
			})
			b.Run(fmt.Sprintf("routes=%d/behind=%d/further", routes, behind), func(b *testing.B) {
				size := 0
				for b.Loop() {
					answer, err := s.fetchAnswer(request)
					require.NoError(b, err)
					data, err := codec.Encode(0, answer)
					require.NoError(b, err)
					size = len(data)
				}
				b.ReportMetric(float64(size), "bytes")
			})
		}
	}
}

// BenchmarkTable measures the records that a new process gets of each replica that it follows, where
// a number of upstreams are ready and as many have left within ForgetAfter.
func BenchmarkTable(b *testing.B) {
	codec, err := encoder.New(Messages()...)
	require.NoError(b, err)
	for _, n := range []int{300, 3000} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			clock := clockwork.NewFakeClock()
			table := registrar.New(registrar.Config{StaleAfter: 6 * time.Second, ForgetAfter: time.Minute})
			for i := range 2 * n {
				r := registrar.Record{
					Upstream: identifier.Upstream(fmt.Sprintf("side-hall-%06d", i)), Incarnation: 1, Sequence: 1, State: registrar.Ready,
					Service: "drafting", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8000),
					AvailabilityZone: "hall-a", Region: "north", Slots: 16, Model: "summaries", Release: 3,
				}
				if i >= n {
					r.State = registrar.Gone
				}
				require.True(b, table.Merge(clock.Now(), r))
			}
			size := 0
			for b.Loop() {
				size = 0
				records, _ := table.Since(clock.Now(), 0)
				for _, part := range (&Update{Records: records}).parts() {
					data, err := codec.Encode(0, part)
					require.NoError(b, err)
					size += len(data)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkApply measures what a process does with a whole declaration.
func BenchmarkApply(b *testing.B) {
	for _, routes := range []int{1440, 10_000} {
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) {
			answer, err := newHistory(routes, 1).fetchAnswer(&FetchDeclarationRequest{})
			require.NoError(b, err)
			for b.Loop() {
				delta, err := answer.Delta.Decode()
				require.NoError(b, err)
				require.True(b, declarer.NewView(asserter.Strict{}).ApplyDelta(answer.Revision, delta, answer.Releases, nil))
			}
		})
	}
}
