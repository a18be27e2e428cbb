package registrar_test

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/explainer"
	"celeryvalve/identifier"
	"celeryvalve/registrar"
)

// Guards against numbers that no later report exceeds: an upstream whose spoilt report claimed
// one was out of service at all processes.
func TestReportWithImpossibleNumbersIsRefused(t *testing.T) {
	for name, spoil := range map[string]func(*registrar.Record){
		"start": func(r *registrar.Record) { r.Incarnation = math.MaxUint64 },
		"start tomorrow": func(r *registrar.Record) {
			r.Incarnation = identifier.Incarnation(start.Add(24 * time.Hour).UnixMilli())
		},
		"sequence": func(r *registrar.Record) { r.Sequence = math.MaxUint64 },
	} {
		t.Run(name, func(t *testing.T) {
			table := registrar.New(cfg)
			sound := record("a", 7, registrar.Ready)
			sound.Incarnation = identifier.Incarnation(start.UnixMilli())
			_, err := table.Report(start, sound)
			require.NoError(t, err)
			spoilt := sound
			spoil(&spoilt)
			_, err = table.Report(start, spoilt)
			require.Equal(t, explainer.InvalidInput, explainer.KindOf(err))
			known, _ := table.Find("a")
			require.Equal(t, sound, known)
		})
	}
}

// Guards against an upstream that stays out of service although it reports: one report with
// numbers that were too high, but possible, had made all its others late ones.
func TestWrongRecordGivesWayToWhoGoesOnReporting(t *testing.T) {
	for name, spoil := range map[string]func(*registrar.Record){
		"start":    func(r *registrar.Record) { r.Incarnation += 60_000 },
		"no start": func(r *registrar.Record) { r.Incarnation = 0; r.Address = address('z') },
		"sequence": func(r *registrar.Record) { r.Sequence += 1 << 60 },
	} {
		t.Run(name, func(t *testing.T) {
			tables := [2]*registrar.Table{registrar.New(cfg), registrar.New(cfg)}
			sound := record("a", 7, registrar.Ready)
			sound.Incarnation = identifier.Incarnation(start.UnixMilli())
			spoilt := sound
			spoil(&spoilt)
			spoilt.Service = "elsewhere"
			for _, table := range tables {
				table.Merge(start, spoilt)
			}
			var sent registrar.Cursor
			now := start
			for range 10 { // the process at which the upstream reports passes its records on
				now = now.Add(cfg.StaleAfter / 4)
				sound.Sequence++
				_, err := tables[0].Report(now, sound)
				require.NoError(t, err)
				var records []registrar.Record
				records, sent = tables[0].Since(now, sent)
				for _, r := range records {
					tables[1].Merge(now, r)
				}
			}
			for _, table := range tables {
				known, _ := table.Find("a")
				require.Equal(t, sound.Service, known.Service)
				require.Equal(t, sound.Incarnation, known.Incarnation)
			}
			tables[0].Merge(now, spoilt)
			known, _ := tables[0].Find("a")
			require.Equal(t, sound.Service, known.Service, "a process that was cut off brings the wrong record back")
		})
	}
}

// Guards against a late report that takes the place of a living upstream's record, as it
// would if one were enough.
func TestOneLateReportReplacesNoStaleRecord(t *testing.T) {
	table := registrar.New(cfg)
	living := record("a", 3, registrar.Ready)
	living.Incarnation = 200
	table.Merge(start, living)
	late := record("a", 90, registrar.Ready)
	late.Incarnation = 100
	now := start.Add(cfg.StaleAfter + time.Second)
	for range 2 {
		changed, err := table.Report(now, late)
		require.NoError(t, err)
		require.False(t, changed)
	}
	leaving := living
	leaving.State, leaving.Sequence = registrar.Gone, 4
	table.Merge(start, leaving)
	for sequence := range uint64(5) {
		living.Sequence = 5 + sequence
		_, err := table.Report(now, living)
		require.NoError(t, err)
	}
	known, _ := table.Find("a")
	require.Equal(t, registrar.Gone, known.State, "leaving is final")
}

// Guards against an upstream that is displaced at each of its reports by a record that claims a
// later start at the same address, and that nobody reports any more.
func TestStaleRecordDisplacesNobody(t *testing.T) {
	table := registrar.New(cfg)
	wrong, living := record("b", 1, registrar.Ready), record("a", 1, registrar.Ready)
	wrong.Incarnation, living.Incarnation, wrong.Address = 200, 100, living.Address
	table.Merge(start, wrong)
	now := start.Add(cfg.StaleAfter + time.Second)
	table.Merge(now, living)
	require.Len(t, table.Upstreams(now), 1)
	require.Equal(t, living.Upstream, table.Upstreams(now)[0].Upstream)
}

// Guards against reports under ever new names, which filled the memory of all processes.
func TestTableIsBounded(t *testing.T) {
	const names, most = 20_000, 8192
	table := registrar.New(cfg)
	known := record("known", 1, registrar.Ready)
	table.Merge(start, known)
	for i := range names {
		_, err := table.Report(start, record(identifier.Upstream(fmt.Sprint("x", i)), 1, registrar.Ready))
		require.NoError(t, err, "all of one address, so that each displaces the one before")
	}
	require.LessOrEqual(t, table.Len(), most)
	for i := range names {
		r := record(identifier.Upstream(fmt.Sprint("y", i)), 1, registrar.Ready)
		r.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
		if _, err := table.Report(start, r); err != nil {
			require.Equal(t, explainer.Unavailable, explainer.KindOf(err))
		}
	}
	require.Equal(t, most, table.Len())
	known.Sequence++
	_, err := table.Report(start, known)
	require.NoError(t, err, "an upstream that is known goes on")
}
