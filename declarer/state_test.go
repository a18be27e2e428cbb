package declarer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/asserter"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
)

var start = time.Unix(1_700_000_000, 0).UTC()

func declaration(version identifier.ConfigurationVersion) declarer.Declaration {
	return declarer.Declaration{
		Version: version,
		Services: map[identifier.Service]declarer.Service{
			"drafting": {Engine: &declarer.Engine{Slots: 16, Model: "summaries"}},
			"origin":   {Origin: "10.0.0.9:8000"},
		},
		Routes: map[identifier.Route]declarer.Route{
			"drafts": {
				Host: "a.example", Prefix: "/drafts/", Kind: declarer.Streaming, Timeout: time.Second,
				Targets: []declarer.Target{{Service: "drafting", Weight: 1}},
			},
		},
		Organisations: map[identifier.Organisation]declarer.Organisation{
			"hall": {Keys: []identifier.Digest{identifier.DigestOf([]byte("key"))}},
		},
	}
}

// harness applies commands to a State as the log does.
type harness struct {
	state *declarer.State
	index uint64
}

func newHarness() *harness {
	return &harness{state: declarer.New(asserter.Strict{})}
}

func (h *harness) apply(t require.TestingT, command any) any {
	data, err := declarer.EncodeCommand(command)
	require.NoError(t, err)
	h.index++
	return h.state.Apply(h.index, start.Add(time.Duration(h.index)*time.Second), data)
}

func (h *harness) replace(t require.TestingT, version identifier.ConfigurationVersion) any {
	return h.apply(t, &declarer.Replace{Declaration: declaration(version), Document: fmt.Appendf(nil, "document %d", version)})
}

// document returns the decompressed document of the declaration in force.
func document(t require.TestingT, s *declarer.State) string {
	if len(s.CompressedDocument()) == 0 {
		return ""
	}
	text, err := declarer.DecompressDocument(s.CompressedDocument())
	require.NoError(t, err)
	return string(text)
}

func TestHighestVersionIsInForce(t *testing.T) {
	h := newHarness()
	require.Equal(t, &declarer.Answer{Changed: true, Version: 7}, h.replace(t, 7))
	require.Equal(t, &declarer.Answer{Changed: false, Version: 7}, h.replace(t, 7), "a resend")
	require.Equal(t, &declarer.Answer{Changed: false, Version: 7}, h.replace(t, 3), "an older version that arrives late")
	require.Equal(t, "document 7", document(t, h.state))
	require.Equal(t, &declarer.Answer{Changed: true, Version: 12}, h.replace(t, 12))
}

func TestOtherContentUnderTheSameVersionChangesNothing(t *testing.T) {
	h := newHarness()
	h.replace(t, 7)
	other := declaration(7)
	other.Routes = nil
	h.apply(t, &declarer.Replace{Declaration: other, Document: []byte("other")})
	require.Equal(t, "document 7", document(t, h.state))
	require.Len(t, h.state.Declared().Declaration.Routes, 1)
}

func TestInvalidDeclarationIsRejected(t *testing.T) {
	faults := map[string]func(*declarer.Declaration, *declarer.Route){
		"unknown service":         func(_ *declarer.Declaration, r *declarer.Route) { r.Targets[0].Service = "nobody" },
		"no weight":               func(_ *declarer.Declaration, r *declarer.Route) { r.Targets[0].Weight = 0 },
		"no timeout":              func(_ *declarer.Declaration, r *declarer.Route) { r.Timeout = 0 },
		"unknown kind":            func(_ *declarer.Declaration, r *declarer.Route) { r.Kind = "" },
		"prefix without a slash":  func(_ *declarer.Declaration, r *declarer.Route) { r.Prefix = "/drafts" },
		"two routes at one place": func(d *declarer.Declaration, r *declarer.Route) { d.Routes["again"] = *r },
		"one key for two": func(d *declarer.Declaration, _ *declarer.Route) {
			d.Organisations["ledger"] = d.Organisations["hall"]
		},
	}
	for name, breakDeclaration := range faults {
		t.Run(name, func(t *testing.T) {
			d := declaration(7)
			r := d.Routes["drafts"]
			breakDeclaration(&d, &r)
			d.Routes["drafts"] = r
			h := newHarness()
			require.IsType(t, &declarer.Rejected{}, h.apply(t, &declarer.Replace{Declaration: d, Document: []byte("x")}))
			require.Zero(t, h.state.Declared().Revision)
		})
	}
}

func TestReleasesRiseAndKeepTheirDigests(t *testing.T) {
	h := newHarness()
	h.replace(t, 7)
	release := h.state.Declared().Releases["summaries"]
	require.Equal(t, declarer.FirstRelease, release.Wanted)
	h.apply(t, &declarer.NameRelease{Model: "summaries", Number: 3})
	h.apply(t, &declarer.NameRelease{Model: "summaries", Number: 2})
	pin := func(seed byte) *declarer.PinRelease {
		return &declarer.PinRelease{Model: "summaries", Pinned: declarer.Pinned{Number: 3, Digests: []identifier.Digest{{seed}}}}
	}
	h.apply(t, pin(1))
	h.apply(t, pin(2))
	release = h.state.Declared().Releases["summaries"]
	require.Equal(t, declarer.ReleaseNumber(3), release.Wanted)
	pinned, ok := release.Pin(3)
	require.True(t, ok)
	require.Equal(t, identifier.Digest{1}, pinned.Digests[0], "the first pin holds")
	require.Equal(t, start.Add(2*time.Second), release.WantedSince(1))
	require.True(t, release.WantedSince(3).IsZero())
}

// Guards against numbers that differ by more than half of their range, which were sorted the
// wrong way round, so that the newest pin was dropped.
func TestNewestPinsAreKept(t *testing.T) {
	h := newHarness()
	const half declarer.ReleaseNumber = 1 << 63
	h.apply(t, &declarer.NameRelease{Model: "summaries", Number: half + 3})
	for _, n := range []declarer.ReleaseNumber{1, 2, half + 2, half + 3} {
		h.apply(t, &declarer.PinRelease{Model: "summaries", Pinned: declarer.Pinned{Number: n, Digests: []identifier.Digest{{1}}}})
	}
	pins := h.state.Declared().Releases["summaries"].Pins
	require.Len(t, pins, 2)
	require.Equal(t, half+2, pins[0].Number)
	require.Equal(t, half+3, pins[1].Number)
}

// TestStateAndViewsAgree applies random commands and checks that versions and
// wanted releases never decrease, that a snapshot contains the whole state, and
// that a view that is updated by deltas from random base versions equals the state.
func TestStateAndViewsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		view := declarer.NewView(asserter.Strict{})
		var versions []declarer.Declaration
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			before := h.state.Declared()
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				d := declaration(identifier.ConfigurationVersion(rapid.IntRange(1, 40).Draw(t, "version")))
				for i := range rapid.IntRange(0, 4).Draw(t, "routes") {
					r := d.Routes["drafts"]
					r.Prefix = fmt.Sprintf("/more/%d/", i)
					d.Routes[identifier.Route(r.Prefix)] = r
				}
				h.apply(t, &declarer.Replace{Declaration: d, Document: fmt.Appendf(nil, "%d", d.Version)})
			case 2:
				h.apply(t, &declarer.NameRelease{Model: "summaries", Number: declarer.ReleaseNumber(rapid.IntRange(1, 9).Draw(t, "release"))})
			case 3:
				n := declarer.ReleaseNumber(rapid.IntRange(1, 9).Draw(t, "pinned"))
				h.apply(t, &declarer.PinRelease{Model: "summaries", Pinned: declarer.Pinned{Number: n, Digests: []identifier.Digest{{byte(n)}}}})
			case 4:
				zone := identifier.AvailabilityZone(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"))
				h.apply(t, &declarer.Evacuate{AvailabilityZone: zone, Finished: rapid.Bool().Draw(t, "finished"), Seen: before.Revision})
			}
			now := h.state.Declared()
			require.GreaterOrEqual(t, now.Declaration.Version, before.Declaration.Version)
			require.GreaterOrEqual(t, now.Releases["summaries"].Wanted, before.Releases["summaries"].Wanted)
			versions = append(versions, now.Declaration)
			if rapid.Bool().Draw(t, "follows") {
				packed, err := now.Declaration.DeltaFrom(view.Declared().Declaration).Encode()
				require.NoError(t, err)
				_, err = packed.Decode()
				require.NoError(t, err)
				base := versions[rapid.IntRange(0, len(versions)-1).Draw(t, "base")]
				if !view.ApplyDelta(now.Revision, now.Declaration.DeltaFrom(base), now.Releases, now.Evacuations) {
					view.ApplyDelta(now.Revision, now.Declaration.DeltaFrom(view.Declared().Declaration), now.Releases, now.Evacuations)
				}
				require.Equal(t, now.Declaration.Version, view.CurrentVersion())
				require.Equal(t, now.Declaration, view.Declared().Declaration)
				require.Equal(t, now.Evacuations, view.Declared().Evacuations)
			}
		}
		data, err := h.state.Snapshot()
		require.NoError(t, err)
		restored := declarer.New(asserter.Strict{})
		require.NoError(t, restored.Restore(data))
		require.Equal(t, h.state.Declared().Revision, restored.Declared().Revision)
		require.Equal(t, h.state.Declared().Declaration.Version, restored.Declared().Declaration.Version)
		require.Equal(t, document(t, h.state), document(t, restored))
		require.Equal(t, len(h.state.Declared().Evacuations), len(restored.Declared().Evacuations))
	})
}

func TestLongestPrefixWins(t *testing.T) {
	d := declaration(1)
	r := d.Routes["drafts"]
	r.Prefix = "/drafts/long/"
	d.Routes["long"] = r
	x := declarer.NewIndex(d)
	name, _, ok := x.FindRoute("A.example", "/drafts/long/1")
	require.True(t, ok)
	require.Equal(t, identifier.Route("long"), name)
	name, _, _ = x.FindRoute("a.example", "/drafts/longer")
	require.Equal(t, identifier.Route("drafts"), name)
	_, _, ok = x.FindRoute("a.example", "/drafts")
	require.False(t, ok, "a prefix ends with a slash")
	_, _, ok = x.FindRoute("b.example", "/drafts/1")
	require.False(t, ok)
	organisation, ok := x.FindOrganisation("key")
	require.True(t, ok)
	require.Equal(t, identifier.Organisation("hall"), organisation)
	_, ok = x.FindOrganisation("other")
	require.False(t, ok)
}

func TestTargetsFollowTheirWeights(t *testing.T) {
	r := declarer.Route{Targets: []declarer.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := make(map[identifier.Service]int)
	for i := range uint64(1000) {
		counts[r.PickTarget(i)]++
	}
	require.Equal(t, map[identifier.Service]int{"a": 900, "b": 100}, counts)
}

// Guards against a quarantine that is forgotten when replicas restart from a snapshot.
func TestQuarantineOutlivesARestart(t *testing.T) {
	h := newHarness()
	for i := range 3 {
		h.apply(t, &quarantiner.ReportCrash{Upstream: "a", Incarnation: identifier.Incarnation(i + 1), InFlight: []quarantiner.InFlight{{Fingerprint: 7}}})
	}
	before := h.state.Quarantine()
	require.Len(t, before.Refused, 1)
	data, err := h.state.Snapshot()
	require.NoError(t, err)
	restarted := declarer.New(asserter.Strict{})
	require.NoError(t, restarted.Restore(data))
	require.Equal(t, before, restarted.Quarantine())
}
