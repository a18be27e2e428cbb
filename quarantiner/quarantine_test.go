package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
)

func newQuarantine() *quarantiner.Quarantine {
	return quarantiner.New(quarantiner.Config{CrashesUntilRefused: 3, ResendMargin: time.Second / 2, Retention: time.Hour, MaxSuspects: 8})
}

func report(upstream, reporter string, list ...quarantiner.InFlight) *quarantiner.ReportCrash {
	return &quarantiner.ReportCrash{Upstream: identifier.Upstream(upstream), Incarnation: 1, Reporter: reporter, InFlight: list}
}

const second = quarantiner.Instant(time.Second)

func TestCrashCountsOnceWhoeverReportsIt(t *testing.T) {
	q := newQuarantine()
	for i, reporter := range []string{"entry-1", "entry-2", "entry-1"} {
		q.Report(report("a", reporter, quarantiner.InFlight{Fingerprint: 7}, quarantiner.InFlight{Fingerprint: 7}), 10*second, quarantiner.Revision(i+1))
	}
	require.Equal(t, 1, q.List()[0].Crashes)
}

// Guards against an upstream that crashes again before its next incarnation is known, so
// that both crashes are reported alike.
func TestUpstreamThatCrashesAgainAtOnceCountsAgain(t *testing.T) {
	q := newQuarantine()
	for i := range 3 {
		m := report("a", "entry-1", quarantiner.InFlight{Fingerprint: 7, Age: 10 * time.Millisecond})
		m.Crash = uint64(i)
		q.Report(m, quarantiner.Instant(10+i)*second, quarantiner.Revision(i+1))
		other := report("a", "entry-2", quarantiner.InFlight{Fingerprint: 7, Age: 20 * time.Millisecond})
		other.Crash = uint64(i)
		q.Report(other, quarantiner.Instant(10+i)*second+second/10, quarantiner.Revision(i+1))
		require.Equal(t, i+1, q.List()[0].Crashes)
	}
	require.True(t, q.List()[0].Refused)
}

// Guards against a popular request that is refused because several upstreams crash
// together while copies of it run on each.
func TestUpstreamsThatCrashTogetherRefuseNothing(t *testing.T) {
	q := newQuarantine()
	for i, name := range []string{"a", "b", "c", "d"} {
		sentBefore := quarantiner.InFlight{Fingerprint: 7, Age: 2 * time.Second}
		answer := q.Report(report(name, "entry-1", sentBefore), quarantiner.Instant(10+i)*second/4, quarantiner.Revision(i+1))
		require.Zero(t, answer.Refused)
	}
	require.Equal(t, 1, q.List()[0].Crashes)
	for i, name := range []string{"e", "f"} { // copies of a resend, in flight together
		q.Report(report(name, "entry-1", quarantiner.InFlight{Fingerprint: 7, Age: time.Second}), quarantiner.Instant(120+i)*second/4, quarantiner.Revision(i+9))
		q.Report(report(name, "entry-2", quarantiner.InFlight{Fingerprint: 7, Age: time.Second}), quarantiner.Instant(120+i)*second/4, quarantiner.Revision(i+9))
		require.Equal(t, 2+i, q.List()[0].Crashes)
	}
}

// Guards against a wave of crashes that counts as one: what was in flight at all of them is
// neither refused nor free to cause the next wave.
func TestWaveOfCrashesPutsARequestOnProbation(t *testing.T) {
	later := quarantiner.InFlight{Fingerprint: 7, Age: 60 * time.Millisecond}
	for name, c := range map[string]struct {
		crashes int
		next    func(q *quarantiner.Quarantine)
		want    quarantiner.Summary
	}{
		"two are too few": {crashes: 2},
		"three":           {crashes: 3, want: quarantiner.Summary{Probation: []quarantiner.Fingerprint{7}}},
		"a late report":   {3, func(q *quarantiner.Quarantine) { q.Report(report("b", "entry-9", later), 10*second+second/3, 9) }, quarantiner.Summary{Probation: []quarantiner.Fingerprint{7}}},
		"it ran": {3, func(q *quarantiner.Quarantine) {
			q.Clear(&quarantiner.ClearSuspects{Fingerprints: []quarantiner.Fingerprint{7}}, 12*second, 9)
		}, quarantiner.Summary{}},
		"it crashed again": {3, func(q *quarantiner.Quarantine) { q.Report(report("d", "entry-1", later), 12*second, 9) }, quarantiner.Summary{Refused: []quarantiner.Refusal{{Fingerprint: 7, Until: 12*second + quarantiner.Instant(time.Hour)}}}},
	} {
		t.Run(name, func(t *testing.T) {
			q := newQuarantine()
			for i := range c.crashes {
				for _, reporter := range []string{"entry-1", "entry-2"} {
					q.Report(report(string(rune('a'+i)), reporter, quarantiner.InFlight{Fingerprint: 7, Age: time.Second}), 10*second+quarantiner.Instant(i)*second/10, quarantiner.Revision(i+1))
				}
			}
			if c.next != nil {
				c.next(q)
			}
			restored := newQuarantine()
			restored.RestoreSuspects(q.List())
			restored.RestoreReports(q.Reports(), q.Changed())
			for _, q := range []*quarantiner.Quarantine{q, restored} {
				got := q.Summary()
				got.Revision = 0
				require.Equal(t, c.want, got)
			}
		})
	}
}

// Guards against a request whose attempts crash one upstream after the other, faster than
// reports arrive, and that counts as one crash.
func TestAttemptsOfOneRequestCountOneByOne(t *testing.T) {
	q := newQuarantine()
	for i, name := range []string{"a", "b", "c"} {
		attempt := quarantiner.InFlight{Fingerprint: 7, Age: time.Duration(i+1) * time.Millisecond, Crashes: i + 1}
		q.Report(report(name, "entry-1", attempt), 10*second, quarantiner.Revision(i+1))
		q.Report(report(name, "entry-2", attempt), 10*second, quarantiner.Revision(i+1))
		require.Equal(t, i+1, q.List()[0].Crashes)
	}
	require.True(t, q.List()[0].Refused)
}

func TestQuarantineIsBoundedAndEnds(t *testing.T) {
	q := newQuarantine()
	for i := range 100 {
		q.Report(report("a", string(rune('A'+i)), quarantiner.InFlight{Fingerprint: quarantiner.Fingerprint(i + 1)}), quarantiner.Instant(i)*second, quarantiner.Revision(i+1))
	}
	require.Equal(t, 8, q.Len())
	q.Expire(100*second+quarantiner.Instant(time.Hour), 200)
	require.Zero(t, q.Len())
	require.EqualValues(t, 200, q.Changed())
}

// partReport reports one part in flight, beside others of the same prompt.
func partReport(upstream string, part quarantiner.InFlight, beside ...quarantiner.Fingerprint) *quarantiner.ReportCrash {
	part.Part, part.Service, part.Beside = true, "drafting", beside
	list := []quarantiner.InFlight{part}
	for _, f := range beside {
		list = append(list, quarantiner.InFlight{Fingerprint: f, Part: true, Service: "drafting", CompletedBefore: f == shared, Beside: []quarantiner.Fingerprint{part.Fingerprint}})
	}
	return report(upstream, "entry-1", list...)
}

const (
	guilty quarantiner.Fingerprint = 7
	shared quarantiner.Fingerprint = 8
)

func newPartQuarantine() *quarantiner.Quarantine {
	return quarantiner.New(quarantiner.Config{
		CrashesUntilRefused: 3, PartCrashesUntilRefused: 4, ResendMargin: time.Second / 2, Retention: time.Hour, MaxSuspects: 8,
	})
}

// crashInTurn reports n crashes, ten seconds apart.
func crashInTurn(q *quarantiner.Quarantine, n int, part quarantiner.InFlight, beside ...quarantiner.Fingerprint) {
	for i := range n {
		name := string(rune('a'+i)) + string(rune('0'+len(q.Reports())%10))
		q.Report(partReport(name, part, beside...), quarantiner.Instant(10*(len(q.Reports())+1))*second, quarantiner.Revision(len(q.Reports())+1))
	}
}

func refusedOf(q *quarantiner.Quarantine) []quarantiner.Fingerprint {
	var list []quarantiner.Fingerprint
	for _, r := range q.Summary().Refused {
		list = append(list, r.Fingerprint)
	}
	return list
}

func TestPartIsRefusedAndNotTheOneBesideIt(t *testing.T) {
	q := newPartQuarantine()
	crashInTurn(q, 3, quarantiner.InFlight{Fingerprint: guilty}, shared)
	require.Empty(t, refusedOf(q))
	crashInTurn(q, 1, quarantiner.InFlight{Fingerprint: guilty}, shared)
	require.Equal(t, []quarantiner.Fingerprint{guilty}, refusedOf(q))
	crashInTurn(q, 8, quarantiner.InFlight{Fingerprint: guilty}, shared)
	require.Equal(t, []quarantiner.Fingerprint{guilty}, refusedOf(q), "what is refused explains further crashes")
}

// Guards against a part that is refused for another one that always comes with it.
func TestPartsThatComeOnlyTogetherAreRefusedTogether(t *testing.T) {
	q := newPartQuarantine()
	const other quarantiner.Fingerprint = 9
	crashInTurn(q, 4, quarantiner.InFlight{Fingerprint: guilty}, other)
	require.Empty(t, refusedOf(q))
	summary := q.Summary()
	require.NotEmpty(t, summary.Pairs)
	require.Contains(t, summary.Suspects, other, "a request with the other part alone may clear it")
	q.Clear(&quarantiner.ClearSuspects{Fingerprints: []quarantiner.Fingerprint{other}}, 100*second, 100)
	require.Equal(t, []quarantiner.Fingerprint{guilty}, refusedOf(q))
	require.Empty(t, q.Summary().Pairs)
}

// Guards against a part that is refused since its report of a crash came before that of the guilty
// one, which was in flight at the same crashes in other prompts.
func TestPartIsNotRefusedWhileAnotherWasAtAsManyCrashes(t *testing.T) {
	const other quarantiner.Fingerprint = 9
	for name, c := range map[string]struct {
		together, alone int
		want            []quarantiner.Fingerprint
	}{
		"as many":                  {together: 4},
		"one more":                 {together: 4, alone: 1},
		"half as many again":       {together: 4, alone: 2, want: []quarantiner.Fingerprint{guilty}},
		"the doubt is not endless": {together: 8, want: []quarantiner.Fingerprint{other}},
	} {
		t.Run(name, func(t *testing.T) {
			q := newPartQuarantine()
			for range c.together {
				at := quarantiner.Instant(10*(len(q.Reports())+1)) * second
				for _, f := range []quarantiner.Fingerprint{other, guilty} {
					m := partReport(fmt.Sprint("both-", at), quarantiner.InFlight{Fingerprint: f})
					m.Reporter = fmt.Sprint("entry-", f)
					q.Report(m, at, quarantiner.Revision(len(q.Reports())+1))
				}
			}
			crashInTurn(q, c.alone, quarantiner.InFlight{Fingerprint: guilty})
			require.Equal(t, c.want, refusedOf(q))
		})
	}
}

// Guards against a cleared part that is a suspect again at the next crash beside it.
func TestClearedPartIsNoSuspectForAWhile(t *testing.T) {
	q := newPartQuarantine()
	crashInTurn(q, 1, quarantiner.InFlight{Fingerprint: shared})
	q.Clear(&quarantiner.ClearSuspects{Fingerprints: []quarantiner.Fingerprint{shared}}, 15*second, 5)
	crashInTurn(q, 3, quarantiner.InFlight{Fingerprint: shared})
	require.Zero(t, q.Len())
	restored := newPartQuarantine()
	restored.RestoreEvidence(q.Evidence())
	crashInTurn(restored, 2, quarantiner.InFlight{Fingerprint: shared})
	require.Zero(t, restored.Len(), "a restored replica knows it as well")
}

// Guards against a proven part that is refused as soon as another, and against one that is
// never refused although it has come to crash each upstream.
func TestProvenPartNeedsMoreEvidence(t *testing.T) {
	q := newPartQuarantine()
	crashInTurn(q, 7, quarantiner.InFlight{Fingerprint: guilty, CompletedBefore: true})
	require.Empty(t, refusedOf(q))
	crashInTurn(q, 1, quarantiner.InFlight{Fingerprint: guilty})
	require.Equal(t, []quarantiner.Fingerprint{guilty}, refusedOf(q))
}

// Guards against parts that are refused since upstreams crash for other reasons.
func TestPartOfFewCrashesIsNotRefused(t *testing.T) {
	q := newPartQuarantine()
	for i := range 12 {
		crashInTurn(q, 4, quarantiner.InFlight{Fingerprint: quarantiner.Fingerprint(100 + i)})
		q.Clear(&quarantiner.ClearSuspects{Fingerprints: []quarantiner.Fingerprint{quarantiner.Fingerprint(100 + i)}}, 0, 1000)
		crashInTurn(q, 1, quarantiner.InFlight{Fingerprint: guilty})
	}
	require.NotContains(t, refusedOf(q), guilty)
}

// Guards against a state that grows with each service that ever had a crash: all replicas keep it,
// and new ones fetch it.
func TestCrashesOfForgottenServicesAreDropped(t *testing.T) {
	const suspects, crashes = 8, 3
	q := quarantiner.New(quarantiner.Config{CrashesUntilRefused: 3, PartCrashesUntilRefused: crashes, Retention: 24 * time.Hour, MaxSuspects: suspects})
	crash := func(i int, service identifier.Service, f quarantiner.Fingerprint) {
		m := report("a", "entry-1", quarantiner.InFlight{Fingerprint: f, Service: service, Part: true, Age: time.Millisecond})
		m.Incarnation, m.Crash = identifier.Incarnation(i+1), uint64(i)
		q.Report(m, quarantiner.Instant(i+1)*60*second, quarantiner.Revision(i+1))
	}
	crash(0, "kept", 1)
	crash(1, "kept", 1)
	for i := range 1000 {
		crash(i+2, identifier.Service(fmt.Sprint("service-", i)), quarantiner.Fingerprint(i+2))
	}
	require.LessOrEqual(t, len(q.Evidence().Crashes), suspects+1)
	require.Empty(t, q.Summary().Refused)
	crash(1002, "kept", 1)
	require.Len(t, q.Summary().Refused, 1, "the crashes of a suspect's service still count")
}
