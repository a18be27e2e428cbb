package declarer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
)

// fill adds n objects of one kind to a state.
type fill func(t require.TestingT, h *harness, n int)

var fills = map[string]struct {
	fill fill
	n    int
}{
	"routes":     {fillRoutes, 1440},
	"manyRoutes": {fillRoutes, 10_000},
	"departures": {fillDepartures, 1 << 13},
	"suspects":   {fillSuspects, 1024},
	"models":     {fillModels, 1025},
	"zones":      {fillZones, 1000},
}

func fillRoutes(t require.TestingT, h *harness, n int) {
	d := declaration(1)
	for i := range n {
		r := d.Routes["drafts"]
		r.Prefix = fmt.Sprintf("/office/%05d/", i)
		d.Routes[identifier.Route(fmt.Sprintf("route-%05d", i))] = r
	}
	require.IsType(t, &declarer.Answer{}, h.apply(t, &declarer.Replace{Declaration: d, Document: make([]byte, 100*n)}))
}

// applyAtOnce applies a command at the time of the start, so that nothing expires.
func (h *harness) applyAtOnce(t require.TestingT, command any) {
	data, err := declarer.EncodeCommand(command)
	require.NoError(t, err)
	h.index++
	require.NotNil(t, h.state.Apply(h.index, start, data))
}

func departureOf(i int) *declarer.Depart {
	return &declarer.Depart{Departure: declarer.Departure{
		Upstream: identifier.Upstream(fmt.Sprintf("side-hall-%06d", i)), Incarnation: 1, Service: "drafting",
		Address: netip.MustParseAddrPort("10.0.0.1:8000"), AvailabilityZone: "hall-a", Region: "north", Gone: true,
	}}
}

func fillDepartures(t require.TestingT, h *harness, n int) {
	for i := range n {
		h.applyAtOnce(t, departureOf(i))
	}
}

// crashOf returns a report of one of 16 crashes of parts, each beside 64 others.
func crashOf(part, crash int) *quarantiner.ReportCrash {
	report := &quarantiner.ReportCrash{
		Upstream: identifier.Upstream(fmt.Sprintf("side-hall-%06d", part)), Incarnation: identifier.Incarnation(crash + 1),
		Reporter: "front-hall-a-1", Ago: time.Duration(16-crash) * time.Second,
	}
	f := quarantiner.InFlight{
		Fingerprint: quarantiner.FingerprintOf(nil, fmt.Sprint(part)), Organisation: "hall", Service: "drafting",
		Part: true, CompletedBefore: true, Age: time.Millisecond,
	}
	for i := range 64 {
		f.Beside = append(f.Beside, quarantiner.FingerprintOf(nil, fmt.Sprint("beside", part, i)))
	}
	report.InFlight = []quarantiner.InFlight{f}
	return report
}

func fillSuspects(t require.TestingT, h *harness, n int) {
	for part := range n {
		for crash := range 16 {
			h.applyAtOnce(t, crashOf(part, crash))
		}
	}
}

func fillModels(t require.TestingT, h *harness, n int) {
	for i := range n {
		h.applyAtOnce(t, &declarer.NameRelease{Model: identifier.Model(fmt.Sprintf("model-%06d", i)), Number: 3})
	}
}

// fillZones evacuates n zones and takes that back.
func fillZones(t require.TestingT, h *harness, n int) {
	for i := range n {
		zone := identifier.AvailabilityZone(fmt.Sprintf("hall-%04d", i))
		h.applyAtOnce(t, &declarer.Evacuate{AvailabilityZone: zone, Seen: 1 << 20})
		h.applyAtOnce(t, &declarer.Evacuate{AvailabilityZone: zone, Finished: true, Seen: 1 << 20})
	}
}

func benchmarkFills(b *testing.B, run func(b *testing.B, h *harness)) {
	for name, f := range fills {
		b.Run(fmt.Sprintf("%s=%d", name, f.n), func(b *testing.B) {
			h := newHarness()
			f.fill(b, h, f.n)
			run(b, h)
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	benchmarkFills(b, func(b *testing.B, h *harness) {
		size := 0
		for b.Loop() {
			data, err := h.state.Snapshot()
			require.NoError(b, err)
			size = len(data)
		}
		b.ReportMetric(float64(size), "bytes")
	})
}

func BenchmarkRestore(b *testing.B) {
	benchmarkFills(b, func(b *testing.B, h *harness) {
		data, err := h.state.Snapshot()
		require.NoError(b, err)
		for b.Loop() {
			require.NoError(b, declarer.New(asserter.Strict{}).Restore(data))
		}
	})
}

// BenchmarkApply measures one more command of the kind that the state is full of.
func BenchmarkApply(b *testing.B) {
	next := 1 << 20
	for name, command := range map[string]func() any{
		"departures": func() any { return departureOf(next) },
		"suspects":   func() any { return crashOf(next, 0) },
		"models": func() any {
			return &declarer.NameRelease{Model: identifier.Model(fmt.Sprintf("model-%06d", next)), Number: 3}
		},
	} {
		b.Run(name, func(b *testing.B) {
			h := newHarness()
			fills[name].fill(b, h, fills[name].n)
			for b.Loop() {
				next++
				h.applyAtOnce(b, command())
			}
		})
	}
}
