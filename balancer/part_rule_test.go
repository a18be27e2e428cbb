package balancer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"celeryvalve/asserter"
	"celeryvalve/balancer"
	"celeryvalve/declarer"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/quarantiner"
)

const (
	partStep = 10 * time.Millisecond
	// soundRequests is how many sound requests come in a second.
	soundRequests = 50
	// sharedParts is how many different parts they share, as on a site of the users.
	sharedParts = 180
	// partCrashes is after how many crashes the rule counts requests with the guilty part.
	partCrashes = 5
	guiltyPart  = quarantiner.Fingerprint(1 << 40)
)

// partAttempt is an attempt in flight.
type partAttempt struct {
	entry   *partEntry
	process int
	request balancer.Request
	sent    balancer.Send
	over    bool
}

func (a *partAttempt) isGuilty() bool {
	for _, f := range a.request.Parts {
		if f == guiltyPart {
			return true
		}
	}
	return false
}

type partEntry struct {
	*balancer.Reducer
	name    string
	process int // counts restarts
}

// partWorld plays entries that share a quarantine, upstreams, and requests whose prompts
// share parts, one of which crashes each upstream that begins to answer.
type partWorld struct {
	*timeline
	t        require.TestingT
	state    *declarer.State
	index    uint64
	entries  []*partEntry
	views    []balancer.UpstreamView
	inFlight map[identifier.Upstream][]*partAttempt
	serial   uint64
	reborn   int

	crashes     []time.Time // caused by the part
	guiltySends []time.Time
	refused     int // sound requests that are quarantined
}

func newPartWorld(t require.TestingT, entries, upstreams int) *partWorld {
	w := &partWorld{timeline: newTimeline(partStep), t: t, state: declarer.New(asserter.Strict{}), inFlight: make(map[identifier.Upstream][]*partAttempt)}
	for i := range upstreams {
		v := upstream(identifier.Upstream(fmt.Sprintf("u%02d", i)), "booking")
		v.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 8080)
		w.views = append(w.views, v)
	}
	for i := range entries {
		e := &partEntry{name: fmt.Sprint("entry-", i)}
		w.entries = append(w.entries, e)
		w.begin(e)
	}
	return w
}

// begin starts a process of the entry, which knows only what the others share.
func (w *partWorld) begin(e *partEntry) {
	e.process++
	e.Reducer = balancer.New(balancer.Config{RetryRatio: 0.2, RetryBurst: 10})
	e.Reduce(w.now, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "booking"}}})
	e.Reduce(w.now, balancer.UpstreamsChanged{Upstreams: append([]balancer.UpstreamView{}, w.views...)})
	e.Reduce(w.now, balancer.QuarantineChanged{Summary: w.state.Quarantine()})
}

// chance returns a number from 0 to n-1.
func (w *partWorld) chance(n int) int {
	w.serial++
	return int(limiter.SplitMix64(w.serial) % uint64(n))
}

func (w *partWorld) between(low, high int) time.Duration {
	return time.Duration(low+w.chance(high-low)) * time.Millisecond
}

// reduce passes an event to the entry, starts the attempt that follows and passes on what
// the entry found out.
func (w *partWorld) reduce(e *partEntry, q balancer.Request, event balancer.Event) {
	effect := e.Reduce(w.now, event)
	w.share(e)
	switch f := effect.(type) {
	case balancer.Send:
		w.start(&partAttempt{entry: e, process: e.process, request: q, sent: f})
	case balancer.Refuse:
		if f.Reason == balancer.Quarantined && !(&partAttempt{request: q}).isGuilty() {
			w.refused++
		}
	}
}

func (w *partWorld) isUp(v balancer.UpstreamView) bool {
	for _, known := range w.views {
		if known.Upstream == v.Upstream {
			return true
		}
	}
	return false
}

func (w *partWorld) start(a *partAttempt) {
	if !w.isUp(a.sent.Target) {
		w.after(partStep, func() { w.end(a, balancer.AttemptFailed{Request: a.request.ID, Cause: balancer.NotConnected}) })
		return
	}
	u := a.sent.Target.Upstream
	w.inFlight[u] = append(w.inFlight[u], a)
	if a.isGuilty() {
		w.guiltySends = append(w.guiltySends, w.now)
	}
	w.after(w.between(30, 300), func() {
		switch {
		case a.over:
		case a.isGuilty():
			w.after(w.between(30, 100), func() {
				if !a.over {
					w.crashes = append(w.crashes, w.now)
					w.crash(u)
				}
			})
		default:
			w.reduce(a.entry, a.request, balancer.ResponseStarted{Request: a.request.ID, Status: 200})
			w.after(w.between(600, 1200), func() { w.end(a, balancer.ResponseCompleted{Request: a.request.ID}) })
		}
	})
}

// end ends an attempt, unless its entry has restarted since.
func (w *partWorld) end(a *partAttempt, event balancer.Event) {
	if a.over {
		return
	}
	a.over = true
	if a.entry.process == a.process {
		w.reduce(a.entry, a.request, event)
	}
}

// crash ends an upstream with all that is in flight there. It is back under another name.
func (w *partWorld) crash(u identifier.Upstream) {
	for i, v := range w.views {
		if v.Upstream != u {
			continue
		}
		w.views = append(append([]balancer.UpstreamView{}, w.views[:i]...), w.views[i+1:]...)
		lost := w.inFlight[u]
		delete(w.inFlight, u)
		for _, a := range lost {
			w.end(a, balancer.AttemptFailed{Request: a.request.ID, Cause: balancer.ConnectionLost})
		}
		w.after(w.between(1500, 4000), func() {
			w.reborn++
			v.Upstream = identifier.Upstream(fmt.Sprint("reborn-", w.reborn))
			w.views = append(w.views, v)
			for _, e := range w.entries {
				w.reduce(e, balancer.Request{}, balancer.UpstreamsChanged{Upstreams: append([]balancer.UpstreamView{}, w.views...)})
			}
		})
		return
	}
}

// share probes upstreams for the entry and submits its reports, of which all entries learn.
func (w *partWorld) share(e *partEntry) {
	findings := e.TakeCrashFindings()
	for _, v := range findings.Probes {
		w.after(100*time.Millisecond, func() {
			if !w.isUp(v) {
				w.reduce(e, balancer.Request{}, balancer.ConnectionRefused{Upstream: v.Upstream, Incarnation: v.Incarnation})
			}
		})
	}
	for _, c := range findings.Crashes {
		w.submit(func() any {
			return &quarantiner.ReportCrash{
				Upstream: c.Upstream, Incarnation: c.Incarnation, Crash: uint64(c.At.UnixNano()), InFlight: c.InFlight, Reporter: e.name, Ago: w.now.Sub(c.At),
			}
		})
	}
	if len(findings.Cleared)+len(findings.CompletedBefore) > 0 {
		w.submit(func() any {
			return &quarantiner.ClearSuspects{Fingerprints: findings.Cleared, CompletedBefore: findings.CompletedBefore}
		})
	}
}

func (w *partWorld) submit(command func() any) {
	w.after(w.between(10, 50), func() {
		data, err := declarer.EncodeCommand(command())
		require.NoError(w.t, err)
		w.index++
		require.IsType(w.t, &quarantiner.Answer{}, w.state.Apply(w.index, w.now, data))
		summary := w.state.Quarantine()
		w.after(w.between(10, 50), func() {
			for _, e := range w.entries {
				w.reduce(e, balancer.Request{}, balancer.QuarantineChanged{Summary: summary})
			}
		})
	})
}

// arrive brings a request with these shared parts to a random entry.
func (w *partWorld) arrive(parts ...quarantiner.Fingerprint) {
	e := w.entries[w.chance(len(w.entries))]
	q := bookingRequest(identifier.RequestID(fmt.Sprint("r", w.serial)), true)
	q.Fingerprint = quarantiner.Fingerprint(1<<50 + w.serial)
	q.Parts = parts
	q.Random = limiter.SplitMix64(w.serial)
	q.Deadline = w.now.Add(6 * time.Second)
	w.reduce(e, q, balancer.RequestArrived{Request: q})
}

// sharedPart returns a shared part. Some are much more frequent than others.
func (w *partWorld) sharedPart() quarantiner.Fingerprint {
	return quarantiner.Fingerprint(1 + w.chance(1+w.chance(sharedParts)))
}

// play lets requests arrive for a time, with guilty as many guilty ones a second.
func (w *partWorld) play(d time.Duration, guilty float64, guiltyParts func() []quarantiner.Fingerprint) {
	perMillion := func(rate float64) int { return int(rate * partStep.Seconds() * 1e6) }
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance()
		if w.chance(1e6) < perMillion(soundRequests) {
			w.arrive(w.sharedPart())
		}
		if w.chance(1e6) < perMillion(guilty) {
			w.arrive(guiltyParts()...)
		}
	}
}

// lateSends returns how many guilty requests reached upstreams later than the contact
// window after the crash from which on the rule counts.
func (w *partWorld) lateSends() int {
	if len(w.crashes) < partCrashes {
		return 0
	}
	late := 0
	for _, at := range w.guiltySends {
		if at.Sub(w.crashes[partCrashes-1]) > contactWindow {
			late++
		}
	}
	return late
}

// Guards against the second incident BUDGET over all entries: requests that are not alike
// but for one part of their prompts crash upstreams, at any rate, while other upstreams
// crash for other reasons and an entry restarts. No sound request is refused for it.
func TestGuiltyPartIsRefusedAndNoOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := partDay{
			entries:   rapid.IntRange(2, 8).Draw(t, "entries"),
			upstreams: rapid.IntRange(8, 30).Draw(t, "upstreams"),
			luck:      rapid.Uint64Range(0, 1<<30).Draw(t, "luck"),
			shape:     rapid.SampledFrom([]string{"alone", "beside one", "beside the most", "beside any"}).Draw(t, "shape"),
			guilty:    rapid.SampledFrom([]float64{0.5, 2, 6}).Draw(t, "guilty requests a second"),
			rack:      rapid.Bool().Draw(t, "rack"),
			restart:   rapid.Bool().Draw(t, "restart"),
		}
		d.play(t)
	})
}

// Guards against the refusal of an innocent part that is in all guilty prompts, and in sound
// ones too. (Found by TestGuiltyPartIsRefusedAndNoOther.)
func TestInnocentPartBesideTheGuiltyOneIsNotRefused(t *testing.T) {
	for _, d := range []partDay{
		{entries: 5, upstreams: 24, luck: 0x309a5, shape: "beside one", guilty: 6, restart: true},
		{entries: 3, upstreams: 8, luck: 0x1ca027e3, shape: "beside one", guilty: 6},
	} {
		t.Run(fmt.Sprint(d.entries), func(t *testing.T) { d.play(t) })
	}
}

// Guards against the refusal of a part that was in flight at most of a few crashes by chance,
// some of them of a whole rack. (Found by TestGuiltyPartIsRefusedAndNoOther.)
func TestPartInFlightByChanceIsNotRefused(t *testing.T) {
	for _, d := range []partDay{
		{entries: 3, upstreams: 8, luck: 0x4b5f, shape: "alone", guilty: 2, rack: true, restart: true},
		{entries: 7, upstreams: 8, luck: 0x2, shape: "beside any", guilty: 2, rack: true, restart: true},
	} {
		t.Run(fmt.Sprint(d.entries), func(t *testing.T) { d.play(t) })
	}
}

// Guards against the refusal of a part that was at about as many crashes as the guilty one, in
// other prompts, and reported first. (Found by TestGuiltyPartIsRefusedAndNoOther.)
func TestPartAtAsManyCrashesAsTheGuiltyOneIsNotRefused(t *testing.T) {
	for _, d := range []partDay{
		{entries: 2, upstreams: 9, luck: 405404149, shape: "alone", guilty: 2, rack: true},
		{entries: 5, upstreams: 8, luck: 1028458767, shape: "alone", guilty: 2, rack: true},
		{entries: 4, upstreams: 8, luck: 100431514, shape: "beside any", guilty: 0.5, rack: true},
		{entries: 6, upstreams: 9, luck: 993427011, shape: "beside the most", guilty: 2, rack: true, restart: true},
	} {
		t.Run(fmt.Sprint(d.entries), func(t *testing.T) { d.play(t) })
	}
}

// Guards against crashes that upstreams which have left the table hide, until the part has reached too many.
func TestGuiltyPartIsRefusedAlthoughCrashedUpstreamsLeaveTheTable(t *testing.T) {
	partDay{entries: 8, upstreams: 8, luck: 0xf, shape: "beside one", guilty: 0.5, rack: true, restart: true}.play(t)
}

// partDay is a day on which a part of prompts crashes upstreams.
type partDay struct {
	entries, upstreams int
	luck               uint64
	// shape is what else is in the guilty prompts.
	shape string
	// guilty is how many guilty requests come a second.
	guilty float64
	// rack crashes a quarter of the upstreams at once, and restart an entry.
	rack, restart bool
}

func (d partDay) play(t require.TestingT) {
	w := newPartWorld(t, d.entries, d.upstreams)
	w.serial = d.luck
	w.play(8*time.Second, 0, nil)
	beside := w.sharedPart()
	shapes := map[string]func() []quarantiner.Fingerprint{
		"alone":           func() []quarantiner.Fingerprint { return []quarantiner.Fingerprint{guiltyPart} },
		"beside one":      func() []quarantiner.Fingerprint { return []quarantiner.Fingerprint{beside, guiltyPart} },
		"beside the most": func() []quarantiner.Fingerprint { return []quarantiner.Fingerprint{1, guiltyPart} },
		"beside any":      func() []quarantiner.Fingerprint { return []quarantiner.Fingerprint{w.sharedPart(), guiltyPart} },
	}
	if d.rack {
		for _, v := range w.views[:len(w.views)/4] {
			w.after(w.between(1000, 1500), func() { w.crash(v.Upstream) })
		}
	}
	if d.restart {
		e := w.entries[0]
		w.after(w.between(500, 6000), func() { w.begin(e) })
	}
	w.play(20*time.Second, d.guilty, shapes[d.shape])
	require.LessOrEqual(t, w.lateSends(), maxLateSends)
	require.Zero(t, w.refused, "a sound request is refused")
	require.Zero(t, w.innocentsRefused(), "an innocent part is refused")
}

// innocentsRefused returns how many parts other than the guilty one are refused.
func (w *partWorld) innocentsRefused() int {
	n := 0
	for _, r := range w.state.Quarantine().Refused {
		if r.Fingerprint != guiltyPart && r.Fingerprint < guiltyPart {
			n++
		}
	}
	return n
}
