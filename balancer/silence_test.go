package balancer_test

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/balancer"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/quarantiner"
)

const (
	silenceStep = 10 * time.Millisecond
	// silenceFrom is when half of the upstreams fall silent, and silenceAfter how long the demand
	// goes on after they have gone on.
	silenceFrom  = 6 * time.Second
	silenceAfter = 6 * time.Second
	// silenceLoad is the part of all places that the demand takes.
	silenceLoad = 0.6
	// silenceQueue is how many requests may wait at an upstream.
	silenceQueue = 32
	// eventGap is the time between two events of a stream.
	eventGap = 80 * time.Millisecond
	// progressEvery is the number of events after which the reducer hears of them.
	progressEvery = 3
	// streamStall is the pause in a stream after which another upstream is asked for.
	streamStall = 1200 * time.Millisecond
	// tallySpan is the span of time for which the requests are counted together.
	tallySpan = 100 * time.Millisecond
)

// callKind is a kind of request. The first event of a stream comes after firstByte, its last one
// after work on average. Any other answer comes whole after that.
type callKind struct {
	name               string
	part               float64 // of all requests
	firstByte, work    time.Duration
	stream, repeatable bool
	objective, timeout time.Duration
}

var callKinds = []callKind{
	{"stream", 0.4, 120 * time.Millisecond, 1600 * time.Millisecond, true, true, 500 * time.Millisecond, 6 * time.Second},
	{"repeatable", 0.3, 0, 200 * time.Millisecond, false, true, 300 * time.Millisecond, 3 * time.Second},
	{"unrepeatable", 0.3, 0, 200 * time.Millisecond, false, false, 300 * time.Millisecond, 3 * time.Second},
}

// silence is a deployment, and for how long half of its upstreams are silent.
type silence struct {
	upstreams, entries int
	engines            bool
	lasts              time.Duration
}

// pausedUpstream has a clock of its own, which stands still while it is silent.
type pausedUpstream struct {
	*timeline
	view           balancer.UpstreamView
	running, queue []*trial
	silent         bool
	// chosen says that it is one of those that fall silent.
	chosen bool
}

func (u *pausedUpstream) load() *balancer.Load {
	return &balancer.Load{Running: len(u.running), Waiting: len(u.queue), Slots: 16}
}

// trial is one attempt of a call.
type trial struct {
	call     *call
	upstream *pausedUpstream
	send     balancer.Send
	// arrived is how many events have arrived, of total.
	arrived, total   int
	rejected, closed bool
	load             *balancer.Load
	// timer is the number of the timer in force.
	timer int
	// stalled says that the reducer knows that the upstream is silent.
	stalled bool
}

func (t *trial) ended() bool { return t.total > 0 && t.arrived == t.total }

func (t *trial) at() entryUpstream { return entryUpstream{t.call.entry, t.send.Target.Upstream} }

// call is one request of a caller.
type call struct {
	kind     callKind
	request  balancer.Request
	entry    int
	first    time.Time
	trials   []*trial
	events   int // that the caller has
	refusals int
	done     bool
}

type entryUpstream struct {
	entry    int
	upstream identifier.Upstream
}

// ejection is a time during which an entry had ejected an upstream. until is zero while it lasts.
type ejection struct {
	entryUpstream
	from, until time.Time
	// bars are the spans in which nothing may be sent there.
	bars [][2]time.Time
}

// tally counts what became of requests in a span of time.
type tally struct {
	asked, refused, retried, expired, failed, inTime, sent, toChosen int
	// taken of the places were taken, summed over the steps.
	taken, places int
}

func (s *tally) add(other tally) {
	s.asked += other.asked
	s.refused += other.refused
	s.retried += other.retried
	s.expired += other.expired
	s.failed += other.failed
	s.inTime += other.inTime
	s.sent += other.sent
	s.toChosen += other.toChosen
	s.taken += other.taken
	s.places += other.places
}

func (s tally) String() string {
	percent := func(n, of int) float64 { return 100 * float64(n) / float64(max(1, of)) }
	return fmt.Sprintf("of %5d requests refused %5.2f%%, retried %5.2f%%, expired %5.2f%%, failed %5.2f%%, in time %4.1f%%; sent to that half %4.1f%%; places taken %4.1f%%",
		s.asked, percent(s.refused, s.asked), percent(s.retried, s.asked), percent(s.expired, s.asked), percent(s.failed, s.asked), percent(s.inTime, s.asked),
		percent(s.toChosen, s.sent), percent(s.taken, s.places))
}

// silenceWorld is some entries in front of upstreams, half of which fall silent together.
type silenceWorld struct {
	*timeline
	silence      silence
	reducers     []*balancer.Reducer
	upstreams    []*pausedUpstream
	byName       map[identifier.Upstream]*pausedUpstream
	seed, serial uint64
	asking       bool
	end          time.Time // of the silence
	demandEnd    time.Time
	open         int
	tallies      []tally // of tallySpan each
	ejections    []*ejection
	// firstAnswers is when an entry got the first byte of an upstream after the silence, and
	// wholeAnswers when the first whole answer.
	firstAnswers, wholeAnswers map[entryUpstream]time.Time
	// lastBytes is when an entry last got bytes of an upstream, and lastStalls when an attempt
	// there last stalled.
	lastBytes, lastStalls map[entryUpstream]time.Time
	// suspects are those that were reported though their upstream had answered since.
	suspects, suspectParts map[quarantiner.Fingerprint]bool
}

func newSilenceWorld(setting silence, seed uint64) *silenceWorld {
	w := &silenceWorld{
		timeline: newTimeline(silenceStep), silence: setting, seed: seed, end: start.Add(silenceFrom + setting.lasts),
		byName:       make(map[identifier.Upstream]*pausedUpstream),
		firstAnswers: make(map[entryUpstream]time.Time), wholeAnswers: make(map[entryUpstream]time.Time),
		lastBytes: make(map[entryUpstream]time.Time), lastStalls: make(map[entryUpstream]time.Time),
		suspects: make(map[quarantiner.Fingerprint]bool), suspectParts: make(map[quarantiner.Fingerprint]bool),
	}
	policy := balancer.ServicePolicy{Service: "drafting"}
	if setting.engines {
		policy.Engine = engine()
	}
	for i := range setting.upstreams {
		view := upstream(upstreamName(fmt.Sprintf("%c%d", 'a'+i%26, i)), "drafting")
		view.Address, view.Incarnation = netip.AddrPortFrom(view.Address.Addr(), uint16(8000+i)), 1
		u := &pausedUpstream{timeline: newTimeline(silenceStep), view: view}
		w.upstreams = append(w.upstreams, u)
		w.byName[view.Upstream] = u
	}
	w.choose()
	var listed []balancer.Entry
	for i := range setting.entries {
		listed = append(listed, balancer.Entry{Name: identifier.Instance(fmt.Sprint("entry-", i))})
	}
	for _, e := range listed {
		r := balancer.New(balancer.Config{Entry: e.Name, RetryRatio: 0.2, RetryBurst: 10, ReleaseGracePeriod: time.Hour})
		r.Reduce(start, balancer.PolicyChanged{Services: []balancer.ServicePolicy{policy}})
		r.Reduce(start, balancer.EntriesChanged{Entries: listed})
		w.reducers = append(w.reducers, r)
	}
	w.announce()
	return w
}

// choose chooses the half that will fall silent.
func (w *silenceWorld) choose() {
	list := slices.Clone(w.upstreams)
	for i := range len(list) / 2 {
		j := i + int(w.random()%uint64(len(list)-i))
		list[i], list[j] = list[j], list[i]
		list[i].chosen = true
	}
}

// announce tells all entries of the upstreams.
func (w *silenceWorld) announce() {
	var views []balancer.UpstreamView
	for _, u := range w.upstreams {
		views = append(views, u.view)
	}
	for i := range w.reducers {
		w.reduce(i, balancer.UpstreamsChanged{Upstreams: views})
	}
}

func (w *silenceWorld) random() uint64 {
	w.serial++
	return limiter.SplitMix64(w.seed<<32 + w.serial)
}

// reduce passes the event to the entry, and records whom it ejects and suspects.
func (w *silenceWorld) reduce(entry int, event balancer.Event) balancer.Effect {
	r := w.reducers[entry]
	effect := r.Reduce(w.now, event)
	for _, change := range r.TakeEjectionChanges() {
		w.recordEjection(entryUpstream{entry, change.Upstream}, change)
	}
	for _, crash := range r.TakeCrashFindings().Crashes {
		at := entryUpstream{entry, crash.Upstream}
		if !w.lastBytes[at].After(w.lastStalls[at]) {
			continue
		}
		for _, suspect := range crash.InFlight {
			if suspect.Part {
				w.suspectParts[suspect.Fingerprint] = true
			} else {
				w.suspects[suspect.Fingerprint] = true
			}
		}
	}
	return effect
}

func (w *silenceWorld) recordEjection(at entryUpstream, change balancer.EjectionChange) {
	i := slices.IndexFunc(w.ejections, func(e *ejection) bool { return e.entryUpstream == at && e.until.IsZero() })
	if change.Until.IsZero() {
		w.ejections[i].until = w.now
		return
	}
	if i < 0 {
		i = len(w.ejections)
		w.ejections = append(w.ejections, &ejection{entryUpstream: at, from: w.now})
	}
	w.ejections[i].bars = append(w.ejections[i].bars, [2]time.Time{w.now, change.Until})
}

func (w *silenceWorld) tally() *tally {
	i := int(w.now.Sub(start) / tallySpan)
	for len(w.tallies) <= i {
		w.tallies = append(w.tallies, tally{})
	}
	return &w.tallies[i]
}

// sum adds up the tallies between the two times.
func (w *silenceWorld) sum(from, until time.Time) tally {
	var total tally
	for i, s := range w.tallies {
		if at := start.Add(time.Duration(i) * tallySpan); at.Add(tallySpan).After(from) && at.Add(tallySpan/2).Before(until) {
			total.add(s)
		}
	}
	return total
}

// playSilence plays the demand before, in and after the silence, and lets all requests end. Then
// all upstreams restart, for another reason.
func playSilence(setting silence, seed uint64) *silenceWorld {
	w := newSilenceWorld(setting, seed)
	w.asking = true
	w.play(silenceFrom)
	w.setSilent(true)
	w.play(setting.lasts)
	w.setSilent(false)
	w.play(silenceAfter)
	w.asking, w.demandEnd = false, w.now
	w.play(7 * time.Second)
	for _, u := range w.upstreams {
		u.view.Incarnation++
	}
	w.announce()
	return w
}

func (w *silenceWorld) setSilent(silent bool) {
	for _, u := range w.upstreams {
		u.silent = silent && u.chosen
	}
}

func (w *silenceWorld) play(d time.Duration) {
	work := 0.0
	for _, k := range callKinds {
		work += k.part * k.work.Seconds()
	}
	perStep := silenceLoad * float64(16*len(w.upstreams)) / work * silenceStep.Seconds()
	due := 0.0
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance()
		for _, u := range w.upstreams {
			if !u.silent {
				u.advance()
			}
			w.tally().places += 16
			w.tally().taken += min(16, len(u.running)+len(u.queue))
		}
		if w.now.Sub(start)%(100*time.Millisecond) == 0 && w.silence.engines {
			w.report()
		}
		for due += perStep; w.asking && due >= 1; due-- {
			w.arrive()
		}
	}
}

// report tells all entries the loads of the upstreams that answer their agents.
func (w *silenceWorld) report() {
	for _, u := range w.upstreams {
		for i := range w.reducers {
			if !u.silent {
				w.reduce(i, balancer.LoadObserved{Upstream: u.view.Upstream, Load: *u.load()})
			}
		}
	}
}

// arrive has a caller send a request.
func (w *silenceWorld) arrive() {
	pick := float64(w.random()%1000) / 1000
	i := 0
	for ; i < len(callKinds)-1 && pick >= callKinds[i].part; i++ {
		pick -= callKinds[i].part
	}
	c := &call{kind: callKinds[i], first: w.now}
	c.request = balancer.Request{
		Service: "drafting", Route: identifier.Route(c.kind.name), Fingerprint: quarantiner.Fingerprint(1<<40 + w.serial),
		Repeatable: c.kind.repeatable, Generates: c.kind.stream, Objective: c.kind.objective, Deadline: w.now.Add(c.kind.timeout),
		PromptTokens: 100, AnswerTokens: 10, MaximumAttempts: 2,
	}
	if c.kind.stream {
		c.request.PromptTokens, c.request.AnswerTokens = 979, 92
		c.request.Parts = []quarantiner.Fingerprint{quarantiner.Fingerprint(1 + w.random()%40)}
	}
	w.tally().asked++
	w.open++
	w.after(c.kind.timeout, func() { w.expire(c) })
	w.ask(c)
}

func (w *silenceWorld) ask(c *call) {
	c.entry = int(w.random() % uint64(len(w.reducers)))
	c.request.Random, c.request.Resubmitted = w.random(), c.refusals > 0
	c.request.ID = requestID(fmt.Sprint(w.serial))
	w.follow(c, w.reduce(c.entry, balancer.RequestArrived{Request: c.request}))
}

func (w *silenceWorld) follow(c *call, effect balancer.Effect) {
	switch e := effect.(type) {
	case balancer.Send:
		w.send(c, e)
	case balancer.Refuse:
		w.tally().refused++
		if c.refusals++; c.refusals > 1 {
			w.finish(c)
			return
		}
		w.after(e.RetryAfter, func() {
			if !c.done {
				w.ask(c)
			}
		})
	case balancer.Fail:
		if e.Reason == balancer.DeadlineExceeded {
			w.tally().expired++
		} else {
			w.tally().failed++
		}
		w.finish(c)
	}
}

func (w *silenceWorld) finish(c *call) {
	c.done = true
	w.open--
	for _, t := range c.trials {
		w.close(t)
	}
}

// expire ends the call at its time limit.
func (w *silenceWorld) expire(c *call) {
	if c.done {
		return
	}
	if i := slices.IndexFunc(c.trials, func(t *trial) bool { return !t.rejected && !t.closed }); i >= 0 {
		w.fail(c.trials[i], balancer.Expired)
		return
	}
	w.finish(c)
}

// send sends an attempt, which the upstream reads as soon as it isn't silent.
func (w *silenceWorld) send(c *call, send balancer.Send) {
	u := w.byName[send.Target.Upstream]
	t := &trial{call: c, upstream: u, send: send}
	c.trials = append(c.trials, t)
	count := w.tally()
	count.sent++
	if u.chosen {
		count.toChosen++
	}
	if send.Attempt > 1 {
		count.retried++
	}
	w.reduce(c.entry, balancer.AttemptConnected{Request: c.request.ID, Attempt: send.Attempt})
	u.after(silenceStep, func() {
		if len(u.queue) >= silenceQueue {
			t.rejected, t.load = true, u.load()
			w.read(t)
			return
		}
		u.queue = append(u.queue, t)
		w.begin(u)
	})
	w.startTimer(t, send.FirstByteTimeout)
}

// begin begins the requests that have a place.
func (w *silenceWorld) begin(u *pausedUpstream) {
	for len(u.queue) > 0 && len(u.running) < 16 {
		t := u.queue[0]
		u.queue = u.queue[1:]
		u.running = append(u.running, t)
		k := t.call.kind
		work := time.Duration((0.4 + 1.2*float64(w.random()%1000)/1000) * float64(k.work))
		t.total = 1
		if k.stream {
			t.total = max(1, int((work-k.firstByte)/eventGap)-t.call.events)
			work = k.firstByte
		}
		u.after(work, func() { w.progress(t) })
	}
}

// progress brings the next event of the attempt, or its whole answer.
func (w *silenceWorld) progress(t *trial) {
	if t.closed {
		return
	}
	u := t.upstream
	t.load = u.load()
	if t.arrived++; t.ended() {
		u.running = slices.DeleteFunc(u.running, func(other *trial) bool { return other == t })
		w.begin(u)
	} else {
		u.after(eventGap, func() { w.progress(t) })
	}
	w.read(t)
}

// read reads what has arrived of the attempt.
func (w *silenceWorld) read(t *trial) {
	c := t.call
	if c.done || t.closed {
		return
	}
	w.recordBytes(t)
	if t.rejected {
		w.fail(t, balancer.NotExecuted)
		return
	}
	if c.kind.stream {
		w.pick(t)
	}
	if t.arrived == 1 {
		w.reduce(c.entry, balancer.ResponseStarted{Request: c.request.ID, Attempt: t.send.Attempt, Status: 200, Load: t.load})
		if c.events == 0 && w.now.Sub(c.first) <= c.kind.objective {
			w.tally().inTime++
		}
	}
	if c.events++; c.kind.stream && t.arrived%progressEvery == 0 {
		w.reduce(c.entry, balancer.StreamProgressed{Request: c.request.ID, Attempt: t.send.Attempt, Events: t.arrived})
	}
	if t.ended() {
		w.reduce(c.entry, balancer.ResponseCompleted{Request: c.request.ID, Attempt: t.send.Attempt, Load: t.load})
		w.finish(c)
		return
	}
	if t.send.FirstByteTimeout > 0 {
		w.startTimer(t, streamStall)
	}
}

// pick closes the other attempts, since the caller gets the response of this one.
func (w *silenceWorld) pick(t *trial) {
	others := slices.DeleteFunc(slices.Clone(t.call.trials), func(other *trial) bool { return other == t || other.closed || other.rejected })
	if len(others) == 0 && !t.stalled {
		return
	}
	w.reduce(t.call.entry, balancer.AttemptChosen{Request: t.call.request.ID, Attempt: t.send.Attempt})
	t.stalled = false
	for _, other := range others {
		w.close(other)
	}
}

func (w *silenceWorld) recordBytes(t *trial) {
	w.lastBytes[t.at()] = w.now
	if w.now.Before(w.end) || t.rejected {
		return
	}
	if w.firstAnswers[t.at()].IsZero() {
		w.firstAnswers[t.at()] = w.now
	}
	if t.ended() && w.wholeAnswers[t.at()].IsZero() {
		w.wholeAnswers[t.at()] = w.now
	}
}

// startTimer tries another upstream each time that nothing has come of the attempt for so long.
func (w *silenceWorld) startTimer(t *trial, timeout time.Duration) {
	t.timer++
	timer := t.timer
	if timeout <= 0 {
		return
	}
	w.after(timeout, func() {
		c := t.call
		if t.timer != timer || c.done || t.closed || t.rejected {
			return
		}
		t.stalled = true
		w.lastStalls[t.at()] = w.now
		w.startTimer(t, timeout)
		w.follow(c, w.reduce(c.entry, balancer.AttemptStalled{
			Request: c.request.ID, Attempt: t.send.Attempt, PartlySent: c.events > 0, Resumable: c.kind.stream,
		}))
	})
}

// fail reports a failed attempt.
func (w *silenceWorld) fail(t *trial, cause balancer.Cause) {
	c := t.call
	w.follow(c, w.reduce(c.entry, balancer.AttemptFailed{
		Request: c.request.ID, Attempt: t.send.Attempt, Cause: cause, Load: t.load, PartlySent: c.events > 0, Resumable: c.kind.stream,
	}))
}

// close closes the connection of an attempt. Its upstream drops it once it isn't silent.
func (w *silenceWorld) close(t *trial) {
	if t.closed {
		return
	}
	t.closed = true
	u := t.upstream
	u.after(silenceStep, func() {
		drop := func(other *trial) bool { return other == t }
		u.queue = slices.DeleteFunc(u.queue, drop)
		u.running = slices.DeleteFunc(u.running, drop)
		w.begin(u)
	})
}

// ejectedAt returns how many upstreams are ejected by how many entries at a time, and to how many
// of them nothing may be sent.
func (w *silenceWorld) ejectedAt(at time.Time) (ejected, barred int) {
	for _, e := range w.ejections {
		if e.from.After(at) || !e.until.IsZero() && !e.until.After(at) {
			continue
		}
		ejected++
		if slices.ContainsFunc(e.bars, func(bar [2]time.Time) bool { return !bar[0].After(at) && bar[1].After(at) }) {
			barred++
		}
	}
	return ejected, barred
}

// ejectedAfter returns for how long ejections lasted after the entry had the answer.
func (w *silenceWorld) ejectedAfter(answers map[entryUpstream]time.Time) []time.Duration {
	var list []time.Duration
	for _, e := range w.ejections {
		answered, ok := answers[e.entryUpstream]
		until := e.until
		if until.IsZero() || until.After(w.demandEnd) {
			until = w.demandEnd
		}
		if e.from.After(answered) {
			answered = e.from
		}
		if ok && until.After(answered) {
			list = append(list, until.Sub(answered))
		}
	}
	slices.Sort(list)
	return list
}

// figures describes the play.
func (w *silenceWorld) figures() string {
	var b strings.Builder
	fmt.Fprintf(&b, "\nbefore: %v\nin it:  %v", w.sum(start.Add(3*time.Second), start.Add(silenceFrom)), w.sum(start.Add(silenceFrom), w.end))
	for i := range 5 {
		from := w.end.Add(time.Duration(i) * time.Second)
		fmt.Fprintf(&b, "\n%d. s after: %v", i+1, w.sum(from, from.Add(time.Second)))
	}
	fmt.Fprintf(&b, "\n%d ejections; in force (and barred) of %d", len(w.ejections), len(w.reducers)*len(w.upstreams)/2)
	for _, after := range []time.Duration{0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second} {
		ejected, barred := w.ejectedAt(w.end.Add(after))
		fmt.Fprintf(&b, ", %v after it %d (%d)", after, ejected, barred)
	}
	fmt.Fprintf(&b, "\nejected after a first byte: %v; after a whole answer: %v", w.ejectedAfter(w.firstAnswers), w.ejectedAfter(w.wholeAnswers))
	fmt.Fprintf(&b, "\nsuspected: %d requests, %d parts", len(w.suspects), len(w.suspectParts))
	return b.String()
}

// Guards against a sound upstream that stays ejected after it has gone on, and against requests
// that are suspected of crashing it or fail before their time, where half of the upstreams of a
// service are silent for a moment.
func TestSilenceOfHalfOfTheUpstreams(t *testing.T) {
	for _, lasts := range []time.Duration{time.Second, 1900 * time.Millisecond} {
		for _, setting := range []silence{{upstreams: 8, entries: 2}, {upstreams: 24, entries: 4}, {upstreams: 64, entries: 12}} {
			for _, engines := range []bool{false, true} {
				setting.engines, setting.lasts = engines, lasts
				t.Run(fmt.Sprintf("%d upstreams, %d entries, engines %v, %v", setting.upstreams, setting.entries, engines, lasts), func(t *testing.T) {
					testSilence(t, setting)
				})
			}
		}
	}
}

func testSilence(t *testing.T, setting silence) {
	w := playSilence(setting, 1)
	t.Log(w.figures())
	require.Zero(t, w.open)
	for _, r := range w.reducers {
		require.Zero(t, r.InFlight())
	}
	require.Zero(t, w.sum(start, w.now).failed)
	require.Empty(t, w.ejectedAfter(w.wholeAnswers), "an upstream that has answered")
	require.Zero(t, len(w.suspects)+len(w.suspectParts), "upstreams that have answered since restart for another reason")
}
