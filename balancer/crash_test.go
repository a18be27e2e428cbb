package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/asserter"
	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/quarantiner"
)

// crashEntry is an entry whose upstreams can crash.
type crashEntry struct {
	*balancer.Reducer
	views []balancer.UpstreamView
}

func newCrashEntry(names ...identifier.Upstream) *crashEntry {
	return newNamedCrashEntry("", names)
}

func newNamedCrashEntry(entry identifier.Instance, names []identifier.Upstream) *crashEntry {
	e := &crashEntry{Reducer: balancer.New(balancer.Config{Entry: entry, RetryRatio: 0.2, RetryBurst: 10})}
	e.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "booking"}}})
	for _, name := range names {
		v := upstream(name, "booking")
		v.Incarnation = 1
		e.views = append(e.views, v)
	}
	e.change(start)
	return e
}

func (e *crashEntry) change(now time.Time) {
	e.Reduce(now, balancer.UpstreamsChanged{Upstreams: append([]balancer.UpstreamView{}, e.views...)})
}

func fingerprinted(id string, f quarantiner.Fingerprint) balancer.Request {
	q := bookingRequest(identifier.RequestID(id), false)
	q.Fingerprint = f
	return q
}

// loseAttempt sends a request and loses its connection a second later.
func (e *crashEntry) loseAttempt(t *testing.T, now time.Time, cause balancer.Cause) balancer.Send {
	sent := arrive(e.Reducer, now, fingerprinted("x", 7)).(balancer.Send)
	require.IsType(t, balancer.Fail{}, e.Reduce(now.Add(time.Second), balancer.AttemptFailed{Request: "x", Cause: cause}))
	return sent
}

// A crash is told from everything else that ends an attempt without a response.
func TestOnlyCrashesMakeSuspects(t *testing.T) {
	refuse := func(e *crashEntry, now time.Time) {
		e.Reduce(now, balancer.ConnectionRefused{Upstream: "a", Incarnation: 1})
	}
	restart := func(e *crashEntry, now time.Time) {
		e.views[0].Incarnation = 2
		e.change(now)
	}
	replace := func(e *crashEntry, now time.Time) {
		e.views[0].Upstream, e.views[0].Incarnation = "b", 2
		e.change(now)
	}
	drain := func(e *crashEntry, now time.Time) {
		e.views[0].Draining = true
		e.change(now)
	}
	leave := func(e *crashEntry, now time.Time) {
		view := e.views[0]
		e.views = nil
		e.change(now)
		e.views = append(e.views, view)
	}
	leaveAndRefuse := func(e *crashEntry, now time.Time) {
		leave(e, now)
		refuse(e, now)
	}
	drainLeaveAndRefuse := func(e *crashEntry, now time.Time) {
		drain(e, now)
		leaveAndRefuse(e, now)
	}
	sayLeaving := func(e *crashEntry, now time.Time) {
		e.Reduce(now, balancer.LeavingStated{Upstream: "a", Incarnation: 1})
	}
	serve := func(e *crashEntry, now time.Time) {
		e.Reduce(now, balancer.LoadObserved{Upstream: "a"})
	}
	answerAndRestart := func(e *crashEntry, now time.Time) {
		sent := arrive(e.Reducer, now, fingerprinted("y", 8)).(balancer.Send)
		e.Reduce(now, balancer.ResponseStarted{Request: sent.Request, Status: 200})
		e.Reduce(now, balancer.ResponseCompleted{Request: sent.Request})
		restart(e, now)
	}
	type step func(e *crashEntry, now time.Time)
	nothing := func(*crashEntry, time.Time) {}
	for name, c := range map[string]struct {
		before, after step
		cause         balancer.Cause
		crashes       int
	}{
		"reset":                       {nothing, nothing, balancer.ConnectionLost, 0},
		"crash, refuses connections":  {nothing, refuse, balancer.ConnectionLost, 1},
		"crash, back at once":         {nothing, restart, balancer.ConnectionLost, 1},
		"crash, back as another":      {nothing, replace, balancer.ConnectionLost, 1},
		"silent crash":                {nothing, restart, balancer.Expired, 1},
		"slow, later crash":           {serve, restart, balancer.Expired, 0},
		"silent, goes on and crashes": {nothing, answerAndRestart, balancer.Expired, 0},
		"garbled response":            {nothing, restart, balancer.ProtocolError, 0},
		"not executed":                {nothing, restart, balancer.NotExecuted, 0},
		"freeze":                      {nothing, refuse, balancer.FirstByteTimedOut, 0},
		"planned stop":                {drain, refuse, balancer.ConnectionLost, 0},
		"said that it leaves":         {sayLeaving, refuse, balancer.ConnectionLost, 0},
		"left, refuses connections":   {leave, refuse, balancer.ConnectionLost, 0},
		"drains and leaves meanwhile": {nothing, drainLeaveAndRefuse, balancer.ConnectionLost, 0},
		"planned restart":             {drain, restart, balancer.ConnectionLost, 0},
		"left, address used again":    {leave, replace, balancer.ConnectionLost, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e := newCrashEntry("a")
			sent := arrive(e.Reducer, start, fingerprinted("x", 7)).(balancer.Send)
			c.before(e, start.Add(500*time.Millisecond))
			e.Reduce(start.Add(time.Second), balancer.AttemptFailed{Request: sent.Request, Cause: c.cause})
			c.after(e, start.Add(1500*time.Millisecond))
			require.Len(t, e.TakeCrashFindings().Crashes, c.crashes)
		})
	}
}

// Guards against crashes that count nowhere, since their upstreams leave the table before the probe.
func TestCrashCountsThoughItsUpstreamHasLeftTheTable(t *testing.T) {
	e := newCrashEntry("a")
	e.loseAttempt(t, start, balancer.ConnectionLost)
	e.views = nil
	e.change(start.Add(time.Second))
	e.Reduce(start.Add(1100*time.Millisecond), balancer.ConnectionRefused{Upstream: "a", Incarnation: 1})
	crashes := e.TakeCrashFindings().Crashes
	require.Len(t, crashes, 1)
	require.Equal(t, balancer.RefusesConnections, crashes[0].Evidence)
	require.EqualValues(t, 7, crashes[0].InFlight[0].Fingerprint)
}

// Guards against a reset long before a crash that makes a suspect of what it hit.
func TestEarlierResetIsNoCrash(t *testing.T) {
	e := newCrashEntry("a")
	e.loseAttempt(t, start, balancer.ConnectionLost)
	arrive(e.Reducer, start.Add(5*time.Second), fingerprinted("y", 8))
	e.Reduce(start.Add(6*time.Second), balancer.AttemptFailed{Request: "y", Cause: balancer.ConnectionLost})
	e.Reduce(start.Add(6*time.Second), balancer.ConnectionRefused{Upstream: "a", Incarnation: 1})
	crashes := e.TakeCrashFindings().Crashes
	require.Len(t, crashes, 1)
	require.Len(t, crashes[0].InFlight, 1)
	require.EqualValues(t, 8, crashes[0].InFlight[0].Fingerprint)
}

// crashModel is several entries that share a quarantine, upstreams that one request
// crashes, and callers whose requests are in flight beside it.
type crashModel struct {
	now       time.Time
	state     *declarer.State
	index     uint64
	upstreams []identifier.Upstream
	entries   []*crashEntry
	serial    int
}

const guilty quarantiner.Fingerprint = 666

func newCrashModel(entries int, upstreams ...identifier.Upstream) *crashModel {
	m := &crashModel{now: start, state: declarer.New(asserter.Strict{}), upstreams: upstreams, entries: make([]*crashEntry, entries)}
	for i := range m.entries {
		m.begin(i)
	}
	return m
}

// begin starts an entry that knows only what all are told.
func (m *crashModel) begin(i int) {
	e := newNamedCrashEntry(entryName(i), m.upstreams)
	var entries []balancer.Entry
	for j := range m.entries {
		entries = append(entries, balancer.Entry{Name: entryName(j)})
	}
	e.Reduce(start, balancer.EntriesChanged{Entries: entries})
	m.entries[i] = e
}

func entryName(i int) identifier.Instance { return identifier.Instance(fmt.Sprint("entry-", i)) }

// exchange applies the findings of all entries to the state and gives them the result.
func (m *crashModel) exchange(t require.TestingT) {
	for i, e := range m.entries {
		findings := e.TakeCrashFindings()
		for _, c := range findings.Crashes {
			m.apply(t, &quarantiner.ReportCrash{
				Upstream: c.Upstream, Incarnation: c.Incarnation, Crash: uint64(c.At.UnixNano()), InFlight: c.InFlight, Reporter: fmt.Sprint(i), Ago: m.now.Sub(c.At),
			})
		}
		if len(findings.Cleared) > 0 {
			m.apply(t, &quarantiner.ClearSuspects{Fingerprints: findings.Cleared})
		}
	}
	for _, e := range m.entries {
		e.Reduce(m.now, balancer.QuarantineChanged{Summary: m.state.Quarantine()})
	}
}

func (m *crashModel) apply(t require.TestingT, command any) {
	data, err := declarer.EncodeCommand(command)
	require.NoError(t, err)
	m.index++
	require.IsType(t, &quarantiner.Answer{}, m.state.Apply(m.index, m.now, data))
}

// send sends a request through the entry, and returns its id and where it is in flight.
func (m *crashModel) send(e *crashEntry, f quarantiner.Fingerprint) (identifier.RequestID, balancer.Effect) {
	m.serial++
	id := identifier.RequestID(fmt.Sprintf("%c%d", 'a'+rune(m.serial%26), m.serial))
	return id, arrive(e.Reducer, m.now, fingerprinted(string(id), f))
}

// restartEntry replaces an entry by one that knows only what the others share.
func (m *crashModel) restartEntry(i int) {
	views := m.entries[i].views
	m.begin(i)
	m.entries[i].views = views
	m.entries[i].change(m.now)
}

// Guards against the incident BUDGET over all entries: a request that crashes upstreams
// reaches at most three, whichever entries it comes to and although entries restart.
// Requests in flight beside it are served.
func TestGuiltyRequestIsRefusedOverAllEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCrashModel(4, "a", "b", "c", "d", "e")
		crashes := 0
		innocent := quarantiner.Fingerprint(0)
		for range 10 {
			m.now = m.now.Add(20 * time.Second)
			at := rapid.IntRange(0, len(m.entries)-1).Draw(t, "entry")
			if rapid.Bool().Draw(t, "restart") {
				m.restartEntry(rapid.IntRange(0, len(m.entries)-1).Draw(t, "restarted"))
				m.exchange(t)
			}
			inFlight := make(map[identifier.RequestID]balancer.Send)
			owner := make(map[identifier.RequestID]*crashEntry)
			for i := range rapid.IntRange(0, 6).Draw(t, "beside") {
				e := m.entries[i%len(m.entries)]
				if i%2 == 0 {
					innocent++
				}
				id, effect := m.send(e, innocent+1)
				require.IsType(t, balancer.Send{}, effect, "an innocent request is refused")
				inFlight[id], owner[id] = effect.(balancer.Send), e
			}
			id, effect := m.send(m.entries[at], guilty)
			sent, ok := effect.(balancer.Send)
			if !ok {
				require.Equal(t, balancer.Quarantined, effect.(balancer.Refuse).Reason)
				continue
			}
			inFlight[id], owner[id] = sent, m.entries[at]
			crashes++
			m.crash(sent.Target, inFlight, owner, rapid.Bool().Draw(t, "refuses"))
			m.exchange(t)
		}
		require.Equal(t, 3, crashes)
	})
}

// crash loses what is in flight at the upstream, completes the other requests, and brings
// the upstream back. Entries learn of it from refused connections or from its return.
func (m *crashModel) crash(target balancer.UpstreamView, inFlight map[identifier.RequestID]balancer.Send,
	owner map[identifier.RequestID]*crashEntry, refuses bool) {
	m.now = m.now.Add(50 * time.Millisecond)
	for id, sent := range inFlight {
		e := owner[id]
		if sent.Target.Upstream == target.Upstream {
			e.Reduce(m.now, balancer.AttemptFailed{Request: id, Cause: balancer.ConnectionLost})
			continue
		}
		e.Reduce(m.now, balancer.ResponseStarted{Request: id, Status: 200})
		e.Reduce(m.now, balancer.ResponseCompleted{Request: id})
	}
	for _, e := range m.entries {
		if refuses {
			e.Reduce(m.now, balancer.ConnectionRefused{Upstream: target.Upstream, Incarnation: target.Incarnation})
		}
	}
	m.now = m.now.Add(5 * time.Second)
	for _, e := range m.entries {
		for i := range e.views {
			if e.views[i].Upstream == target.Upstream {
				e.views[i].Incarnation++
			}
		}
		e.change(m.now)
	}
}

// Guards against a series of reports that delays those of crashes: a suspect that had run to
// its end before is reported once, however many of its requests end later.
func TestProvenSuspectIsReportedOnce(t *testing.T) {
	e := newCrashEntry("a", "b")
	const part = quarantiner.Fingerprint(9)
	begin := func(id string, now time.Time) {
		q := fingerprinted(id, 0)
		q.Parts = []quarantiner.Fingerprint{part}
		require.IsType(t, balancer.Send{}, arrive(e.Reducer, now, q))
	}
	end := func(id string, now time.Time) {
		e.Reduce(now, balancer.ResponseStarted{Request: identifier.RequestID(id), Status: 200})
		e.Reduce(now, balancer.ResponseCompleted{Request: identifier.RequestID(id)})
	}
	for _, id := range []string{"before", "one", "two"} {
		begin(id, start)
	}
	end("before", start.Add(time.Second))
	suspected := start.Add(2 * time.Second)
	e.Reduce(suspected, balancer.QuarantineChanged{Summary: quarantiner.Summary{Revision: 1, Suspects: []quarantiner.Fingerprint{part}}})
	end("one", suspected.Add(time.Second))
	end("two", suspected.Add(time.Second))
	findings := e.TakeCrashFindings()
	require.Equal(t, []quarantiner.Fingerprint{part}, findings.CompletedBefore)
	require.Empty(t, findings.Cleared, "they were sent before the suspicion")
	begin("after", suspected.Add(time.Second))
	end("after", suspected.Add(2*time.Second))
	require.Equal(t, []quarantiner.Fingerprint{part}, e.TakeCrashFindings().Cleared)
}

// Guards against callers who fill the replicated state with the parts of their prompts: a
// report of a crash has a bounded number of suspects, those of the latest requests.
func TestReportOfManyPartsIsBounded(t *testing.T) {
	e := newCrashEntry("a")
	const requests, parts, most = 200, 30, 512
	for i := range requests {
		q := fingerprinted(fmt.Sprint("x", i), quarantiner.Fingerprint(i+1))
		for p := range parts {
			q.Parts = append(q.Parts, quarantiner.Fingerprint(1000+parts*i+p))
		}
		require.IsType(t, balancer.Send{}, arrive(e.Reducer, start, q))
	}
	for i := range requests {
		e.Reduce(start.Add(time.Duration(i)*time.Millisecond), balancer.AttemptFailed{Request: requestID(fmt.Sprint("x", i)), Cause: balancer.ConnectionLost})
	}
	e.Reduce(start.Add(time.Second), balancer.ConnectionRefused{Upstream: "a", Incarnation: 1})
	crashes := e.TakeCrashFindings().Crashes
	require.Len(t, crashes, 1)
	require.LessOrEqual(t, len(crashes[0].InFlight), most)
	require.Equal(t, quarantiner.Fingerprint(requests), crashes[0].InFlight[0].Fingerprint)
}
