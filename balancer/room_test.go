package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/quarantiner"
)

// roomRate is how many requests an engine with 16 slots ends in a second: one keeps a slot for
// roomService, and its first byte comes after roomFirstByte.
const (
	roomStep      = 5 * time.Millisecond
	roomService   = 1600 * time.Millisecond
	roomFirstByte = 120 * time.Millisecond
	roomRate      = 10.0
)

// stream is a part of the demand.
type stream struct {
	route        identifier.Route
	organisation identifier.Organisation
	priority     int
	perSecond    float64
	// more is how much larger a request is than the mean, in requests of mean size.
	more        float64
	from, until time.Duration
	// entry is the only one that takes it, counted from 1, or 0 for all.
	entry int
}

// fate is what became of the requests of one stream.
type fate struct{ asked, inTime, served, refused int }

// servedRatio returns how often requests were served, after a refusal too.
func (f *fate) servedRatio() float64 { return float64(f.served) / float64(max(1, f.asked)) }

type roomEngine struct {
	running int
	queue   [10][]func() // by urgency
	waiting int
}

// room is some entries in front of engines, with callers that come back once.
type room struct {
	*timeline
	entries []*balancer.Reducer
	names   []identifier.Upstream
	engines map[identifier.Upstream]*roomEngine
	fates   map[stream]*fate
	total   *fate
	serial  uint64
	// reportAge is how old reports are when they come, and loads holds those to come.
	reportAge time.Duration
	loads     map[identifier.Upstream][]balancer.Load
}

func newRoom(entries, engines int) *room {
	w := &room{timeline: newTimeline(roomStep), engines: make(map[identifier.Upstream]*roomEngine), fates: make(map[stream]*fate), total: &fate{},
		loads: make(map[identifier.Upstream][]balancer.Load)}
	for i := range engines {
		name := upstreamName(fmt.Sprintf("%c%d", 'a'+i%26, i))
		w.names = append(w.names, name)
		w.engines[name] = &roomEngine{}
	}
	var listed []balancer.Entry
	for i := range entries {
		listed = append(listed, balancer.Entry{Name: identifier.Instance(fmt.Sprint("entry-", i))})
	}
	for _, e := range listed {
		r := balancer.New(balancer.Config{Entry: e.Name, RetryRatio: 0.2, RetryBurst: 10, ReleaseGracePeriod: time.Hour})
		r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{{Service: "drafting", Engine: engine()}}})
		r.Reduce(start, balancer.EntriesChanged{Entries: listed})
		w.entries = append(w.entries, r)
	}
	w.keep(engines)
	return w
}

// keep leaves the first n engines to the entries.
func (w *room) keep(n int) {
	w.names = w.names[:n]
	views := make([]balancer.UpstreamView, 0, n)
	for _, name := range w.names {
		views = append(views, upstream(name, "drafting"))
	}
	for _, r := range w.entries {
		r.Reduce(w.now, balancer.UpstreamsChanged{Upstreams: views})
	}
}

// play lets the streams run for the time.
func (w *room) play(d time.Duration, streams ...stream) {
	due := make([]float64, len(streams))
	for end := w.now.Add(d); w.now.Before(end); w.advance() {
		at := w.now.Sub(start)
		for i, s := range streams {
			if at < s.from || s.until > 0 && at >= s.until {
				continue
			}
			for due[i] += s.perSecond * roomStep.Seconds(); due[i] >= 1; due[i]-- {
				w.ask(s, w.now, 0)
			}
		}
		if at%(100*time.Millisecond) == 0 {
			w.report()
		}
	}
}

// report tells all entries the loads as they were reportAge ago.
func (w *room) report() {
	for _, name := range w.names {
		w.loads[name] = append(w.loads[name], w.load(name))
		loads := w.loads[name]
		if old := int(w.reportAge / (100 * time.Millisecond)); len(loads) > old {
			for _, r := range w.entries {
				r.Reduce(w.now, balancer.LoadObserved{Upstream: name, Load: loads[len(loads)-1-old]})
			}
		}
	}
}

func (w *room) load(name identifier.Upstream) balancer.Load {
	e := w.engines[name]
	return balancer.Load{Running: e.running, Waiting: e.waiting, Slots: 16}
}

// ask sends a request of the stream whose caller asked first at the time.
func (w *room) ask(s stream, first time.Time, refusals int) {
	w.serial++
	random := limiter.SplitMix64(w.serial)
	if w.fates[s] == nil {
		w.fates[s] = &fate{}
	}
	count := func(change func(f *fate)) {
		change(w.fates[s])
		change(w.total)
	}
	if refusals == 0 {
		count(func(f *fate) { f.asked++ })
	}
	r := w.entries[random%uint64(len(w.entries))]
	if s.entry > 0 {
		r = w.entries[s.entry-1]
	}
	size := 1 + s.more
	q := generationRequest(requestID(fmt.Sprint(w.serial)))
	q.Route, q.Organisation, q.Priority, q.Random = s.route, s.organisation, s.priority, limiter.SplitMix64(random)
	q.PromptTokens, q.AnswerTokens = int(979*size), int(92*size)
	q.Parts = []quarantiner.Fingerprint{quarantiner.Fingerprint(random % 40)}
	q.Deadline, q.Resubmitted = first.Add(6*time.Second), refusals > 0
	switch e := r.Reduce(w.now, balancer.RequestArrived{Request: q}).(type) {
	case balancer.Refuse:
		count(func(f *fate) { f.refused++ })
		if refusals == 0 {
			w.after(e.RetryAfter, func() { w.ask(s, first, 1) })
		}
	case balancer.Send:
		w.enter(e, size, func(ended bool) {
			load := w.load(e.Target.Upstream)
			if ended {
				count(func(f *fate) { f.served++ })
				r.Reduce(w.now, balancer.ResponseCompleted{Request: q.ID, Load: &load})
				return
			}
			if w.now.Sub(first) <= q.Objective {
				count(func(f *fate) { f.inTime++ })
			}
			r.Reduce(w.now, balancer.ResponseStarted{Request: q.ID, Load: &load})
		})
	}
}

// enter puts a request into the queue of its engine, which calls progress at the first byte
// and at the end.
func (w *room) enter(sent balancer.Send, size float64, progress func(ended bool)) {
	e := w.engines[sent.Target.Upstream]
	e.waiting++
	e.queue[sent.Urgency] = append(e.queue[sent.Urgency], func() {
		w.after(roomFirstByte, func() { progress(false) })
		w.serial++
		spread := 0.4 + 1.2*float64(limiter.SplitMix64(w.serial)%1000)/1000
		w.after(time.Duration(spread*size*float64(roomService)), func() {
			e.running--
			progress(true)
			w.begin(e)
		})
	})
	w.begin(e)
}

func (w *room) begin(e *roomEngine) {
	for urgency := range e.queue {
		for len(e.queue[urgency]) > 0 && e.running < 16 {
			e.waiting, e.running = e.waiting-1, e.running+1
			e.queue[urgency][0]()
			e.queue[urgency] = e.queue[urgency][1:]
		}
	}
}

// Load pattern: room for 60% of the demand for ten seconds, half of it at one of 12 entries.
// The room goes to requests that are in time, and the entries agree.
func TestRoomGoesToRequestsInTime(t *testing.T) {
	w := newRoom(12, 12)
	half := 12 * roomRate / 0.6 / 2
	even, atOne := stream{route: "r", perSecond: half}, stream{route: "r", perSecond: half, entry: 1}
	w.play(10*time.Second, even, atOne)
	require.InDelta(t, w.fates[even].servedRatio(), w.fates[atOne].servedRatio(), 0.2)
	require.Greater(t, float64(w.total.inTime), 0.8*0.6*float64(w.total.asked), "of the room")
}

// Load pattern: one organisation asks ten times as much as each of five others, and there
// is room for 60% of all.
func TestOrganisationWithTenTimesTheDemand(t *testing.T) {
	w := newRoom(12, 12)
	unit := 12 * roomRate / 0.6 / 15
	hot := stream{route: "r", organisation: "hot", perSecond: 10 * unit}
	streams := []stream{hot}
	for i := range 5 {
		streams = append(streams, stream{route: "r", organisation: identifier.Organisation(fmt.Sprint("o", i)), perSecond: unit})
	}
	w.play(10*time.Second, streams...)
	whole := w.total.servedRatio()
	for _, s := range streams[1:] {
		require.Greater(t, w.fates[s].servedRatio(), 1.1*w.fates[hot].servedRatio(), s.organisation)
	}
	require.Greater(t, w.fates[hot].servedRatio(), 0.5*whole)
}

// Load pattern: room for 60% while one kind comes five times as often for a while, while
// one is less urgent, and while a sixth of the requests are large.
func TestNoKindIsServedMuchLessThanTheWhole(t *testing.T) {
	demand := 12 * roomRate / 0.6
	for name, streams := range map[string][]stream{
		"burst": {{route: "a", perSecond: demand / 4}, {route: "b", perSecond: demand / 4}, {route: "a", perSecond: demand, from: 3 * time.Second, until: 8 * time.Second}},
		"rank":  {{route: "a", perSecond: demand / 2}, {route: "b", priority: 2, perSecond: demand / 2}},
		"large": {{route: "a", perSecond: demand / 2}, {route: "a", more: 1.5, perSecond: demand / 10}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newRoom(12, 12)
			w.play(12*time.Second, streams...)
			whole := w.total.servedRatio()
			for _, s := range streams {
				floor := map[bool]float64{false: 0.8, true: 0.5}[s.more > 0]
				require.Greater(t, w.fates[s].servedRatio(), floor*whole, "%+v", s)
			}
			if name == "rank" {
				require.GreaterOrEqual(t, w.fates[streams[0]].servedRatio(), w.fates[streams[1]].servedRatio())
			}
		})
	}
}

// Load pattern: 19 of 45 engines are lost under a demand that 40 could serve. What is
// admitted is in time, and the callers that come back don't take the room.
func TestLossOfManyEngines(t *testing.T) {
	w := newRoom(12, 45)
	s := stream{route: "r", perSecond: 40 * roomRate}
	w.play(3*time.Second, s)
	before := *w.total
	require.Less(t, before.refused, before.asked/50)
	w.keep(26)
	w.play(10*time.Second, s)
	require.Greater(t, float64(w.total.inTime-before.inTime), 0.8*26/40*float64(w.total.asked-before.asked), "of the room")
}

// Load pattern: all callers of a short burst come back together. They are served once the
// burst is over, and nobody is refused a second after the last of them came.
func TestCallersThatComeBackAreServedAfterABurst(t *testing.T) {
	w := newRoom(12, 12)
	s := stream{route: "r", perSecond: 6 * roomRate}
	w.play(7*time.Second, s, stream{route: "r", perSecond: 30 * roomRate, from: 2 * time.Second, until: 3 * time.Second})
	refused := w.total.refused
	require.Greater(t, refused, 50, "the burst is too much")
	w.play(3*time.Second, s)
	require.Equal(t, refused, w.total.refused, "a second after the overload")
	w.play(3 * time.Second)
	require.Greater(t, w.total.served, w.total.asked*88/100)
}

// Load pattern: callers with short times are refused together. Each still has most of its
// time when it comes back, and they don't come back together.
func TestCallersWithShortTimesAreServedWhenTheyComeBack(t *testing.T) {
	r := newPlainReducer("a")
	waits := make(map[time.Duration]bool)
	for i := range 200 {
		q := bookingRequest(requestID(fmt.Sprint(i)), false)
		q.Objective, q.Deadline, q.Random = 120*time.Millisecond, start.Add(600*time.Millisecond), uint64(i)
		if e, ok := r.Reduce(start, balancer.RequestArrived{Request: q}).(balancer.Refuse); ok {
			require.LessOrEqual(t, e.RetryAfter, 200*time.Millisecond)
			waits[e.RetryAfter.Round(5*time.Millisecond)] = true
		}
	}
	require.Greater(t, len(waits), 5)
}

// Load pattern: an objective that no upstream meets, of 48 places. Nothing is refused while
// half of them are free.
func TestNothingIsRefusedWhileHalfOfThePlacesAreFree(t *testing.T) {
	r := newPlainReducer("a", "b", "c")
	for i := range 80 {
		q := bookingRequest(requestID(fmt.Sprint(i)), false)
		q.Objective, q.Random = time.Millisecond, uint64(i)
		_, sent := arrive(r, start, q).(balancer.Send)
		require.True(t, sent || i >= 24, i)
	}
	require.LessOrEqual(t, r.InFlight(), 48, "all places are taken")
}
