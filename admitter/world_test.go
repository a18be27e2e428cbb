package admitter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"celeryvalve/admitter"
	"celeryvalve/asserter"
	"celeryvalve/identifier"
	"celeryvalve/limiter"
	"celeryvalve/router"
)

const (
	worldTick  = 100 * time.Millisecond
	aliveEvery = 500 * time.Millisecond
)

type timer struct {
	at    time.Time
	order int
	fire  func()
}

type timers []timer

func (h timers) Len() int { return len(h) }
func (h timers) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].order < h[j].order)
}
func (h timers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timers) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timers) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// world is entries, agents and control with a faulty link between them, in
// virtual time.
type world struct {
	t        require.TestingT
	rng      *rand.Rand
	now      time.Time
	timers   timers
	order    int
	entries  []*entry
	agents   []*agent
	control  claims
	blocked  map[[2]int]bool
	patience time.Duration // least time to the deadline of a request, beyond a second
	lossy    float64       // share of streams that lose, delay or double their first message
	service  func(a *agent, start router.AttemptStart) time.Duration
	streams  admitter.StreamID
	requests map[identifier.RequestID]*call

	starts   map[identifier.AttemptID]router.AttemptStart
	began    map[identifier.AttemptID]int
	keyRuns  map[identifier.IdempotencyKey]int
	wholes   map[identifier.AttemptID]bool
	attempts int
	watched  identifier.Upstream // starts of attempts on it go to chosen
	chosen   []time.Time
}

func newWorld(t require.TestingT, seed uint64, entries, agents int) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: epoch,
		blocked:  make(map[[2]int]bool),
		control:  claims{held: make(map[identifier.IdempotencyKey]*claim)},
		requests: make(map[identifier.RequestID]*call),
		starts:   make(map[identifier.AttemptID]router.AttemptStart),
		began:    make(map[identifier.AttemptID]int),
		keyRuns:  make(map[identifier.IdempotencyKey]int),
		wholes:   make(map[identifier.AttemptID]bool),
	}
	w.service = func(*agent, router.AttemptStart) time.Duration { return w.between(20, 3000) }
	for i := range agents {
		a := &agent{w: w, index: i, name: identifier.Upstream(fmt.Sprintf("u%d", i+1)), concurrency: 4}
		a.start()
		w.agents = append(w.agents, a)
	}
	for i := range entries {
		e := &entry{w: w, index: i}
		e.start()
		w.entries = append(w.entries, e)
	}
	w.after(0, w.tick)
	return w
}

func (w *world) between(low, high int) time.Duration {
	return time.Duration(low+w.rng.IntN(high-low)) * time.Millisecond
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) after(d time.Duration, fire func()) {
	w.order++
	heap.Push(&w.timers, timer{at: w.now.Add(d), order: w.order, fire: fire})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.timers) > 0 && !w.timers[0].at.After(end) {
		next := heap.Pop(&w.timers).(timer)
		w.now = next.at
		next.fire()
	}
	w.now = end
}

func (w *world) tick() {
	for _, e := range w.entries {
		e.post(router.Ticked{})
	}
	for _, a := range w.agents {
		if a.alive {
			a.post(admitter.Ticked{})
		}
	}
	w.after(worldTick, w.tick)
}

func (w *world) views() []router.UpstreamView {
	var views []router.UpstreamView
	for _, a := range w.agents {
		if !a.removed {
			views = append(views, router.UpstreamView{Upstream: a.name, Incarnation: a.incarnation, Address: address(a.index),
				Service: "drafting", Ready: true, Leaving: a.leaving})
		}
	}
	return views
}

// spread tells every entry the present members, late.
func (w *world) spread() {
	views := w.views()
	for _, e := range w.entries {
		w.after(w.between(50, 1500), func() { e.post(router.UpstreamsChanged{Upstreams: views}) })
	}
}

// call is one request of a caller.
type call struct {
	class        router.Class
	organisation identifier.Organisation
	fingerprint  router.Fingerprint
	key          identifier.IdempotencyKey
	entry        *entry
	epoch        int
	answers      []router.Answer
	answer       func(router.Answer)
}

func (w *world) send(e *entry, arrival router.RequestArrived, answer func(router.Answer)) {
	w.requests[arrival.ID] = &call{class: arrival.Class, organisation: arrival.Organisation, fingerprint: arrival.Fingerprint, key: arrival.Key, entry: e, epoch: e.epoch, answer: answer}
	arrival.Random = w.rng.Uint64()
	e.post(arrival)
}

// entry is a router with its shell.
type entry struct {
	w     *world
	index int
	epoch int
	r     *router.Reducer
}

var worldPolicy = router.Policy{Services: []router.ServicePolicy{{Service: "drafting"}}}

func (e *entry) start() {
	e.r = router.New(router.Config{}, asserter.Strict{})
	e.post(router.PolicyChanged{Policy: worldPolicy})
	e.post(router.UpstreamsChanged{Upstreams: e.w.views()})
}

// crash loses everything that the entry holds.
func (e *entry) crash() {
	e.epoch++
	for _, a := range e.w.agents {
		for _, s := range a.streams {
			if s.entry == e && s.epoch < e.epoch {
				a.lose(s, 6*time.Second)
			}
		}
	}
	e.start()
}

func (e *entry) post(event router.Event) {
	for _, effect := range e.r.Reduce(e.w.now, event) {
		e.carryOut(effect)
	}
}

func (e *entry) later(d time.Duration, event router.Event) {
	epoch := e.epoch
	e.w.after(d, func() {
		if e.epoch == epoch {
			e.post(event)
		}
	})
}

func (e *entry) carryOut(effect router.Effect) {
	w := e.w
	switch f := effect.(type) {
	case router.Claim:
		w.after(w.between(1, 5), func() { e.claim(f) })
	case router.Settle:
		w.after(w.between(1, 50), func() { w.control.settle(f.Settlement) })
	case router.StartAttempt:
		w.attempts++
		if f.Target.Upstream == w.watched {
			w.chosen = append(w.chosen, w.now)
		}
		e.handOver(f)
	case router.AskAttempt:
		e.open(f.Target, f.Request, f.Attempt, router.AskFailed, func(a *agent, s *stream) {
			a.post(admitter.AttemptAsked{Stream: s.id, Ask: router.AttemptAsk{
				Request: f.Holder, Attempt: f.Attempt, Upstream: f.Target.Upstream, Incarnation: f.Target.Incarnation}})
		})
	case router.CancelAttempt:
		if f.Stop {
			e.open(f.Target, "", f.Attempt, "", func(a *agent, s *stream) {
				a.post(admitter.AttemptCancelled{Stream: s.id, Cancel: router.AttemptCancel{
					Request: f.Request, Attempt: f.Attempt, Upstream: f.Target.Upstream, Incarnation: f.Target.Incarnation}})
			})
		}
	case router.Answer:
		c := w.requests[f.Request]
		c.answers = append(c.answers, f)
		require.Len(w.t, c.answers, 1, "request %s is answered again", f.Request)
		c.answer(f)
	}
}

func (e *entry) claim(f router.Claim) {
	w := e.w
	unavailable := router.ClaimAnswered{Request: f.Request, Attempt: f.Claim.Attempt, Answer: router.ClaimAnswer{Status: router.Unavailable}}
	if w.control.down && !w.chance(0.3) {
		e.later(3*time.Second, unavailable)
		return
	}
	answer := w.control.claim(f.Claim)
	if w.control.down || w.chance(w.lossy/4) {
		e.later(3*time.Second, unavailable) // committed, and the answer is lost
		return
	}
	e.later(w.between(1, 5), router.ClaimAnswered{Request: f.Request, Attempt: f.Claim.Attempt, Answer: answer})
}

func (e *entry) handOver(f router.StartAttempt) {
	arrival := e.w.requests[f.Request]
	start := router.AttemptStart{
		Request: f.Request, Attempt: f.Attempt, Upstream: f.Target.Upstream, Incarnation: f.Target.Incarnation,
		Organisation: arrival.organisation, Service: "drafting", Class: arrival.class, Key: arrival.key, Token: f.Token,
		Timeout: f.Timeout, Weight: f.Weight, Alone: f.Alone, Fingerprint: arrival.fingerprint,
	}
	e.w.starts[f.Attempt] = start
	e.open(f.Target, f.Request, f.Attempt, router.NotHandedOver, func(a *agent, s *stream) {
		a.post(admitter.AttemptArrived{Start: start, Stream: s.id})
	})
}

// open carries the first message of a stream to the agent: at once, late, twice,
// or never while the entry believes that it was sent.
func (e *entry) open(target router.Target, request identifier.RequestID, attempt identifier.AttemptID, failed router.BreakKind, deliver func(*agent, *stream)) {
	w := e.w
	a := w.agentOf(target.Upstream)
	if !a.alive || w.blocked[[2]int{e.index, a.index}] {
		if failed != "" {
			e.later(w.between(10, 3000), router.AttemptBroke{Request: request, Attempt: attempt, Kind: failed})
		}
		return
	}
	incarnation := a.incarnation
	first := func() {
		if a.alive && a.incarnation == incarnation { // a connection ends with the process
			deliver(a, a.accept(e, request, attempt))
		}
	}
	if !w.chance(w.lossy) {
		w.after(w.between(1, 5), first)
		return
	}
	switch w.rng.IntN(3) {
	case 0: // lost: the stream stays silent
	case 1:
		w.after(w.between(1000, 20000), first)
	case 2:
		w.after(w.between(1, 5), first)
		w.after(w.between(1, 10000), first)
	}
}

func (w *world) agentOf(name identifier.Upstream) *agent {
	i := slices.IndexFunc(w.agents, func(a *agent) bool { return a.name == name })
	return w.agents[i]
}

// stream is an agent's end of a stream.
type stream struct {
	id      admitter.StreamID
	entry   *entry
	epoch   int
	request identifier.RequestID
	attempt identifier.AttemptID
	readyAt time.Time
	silent  bool
}

// agent is an admitter with its shell and its upstream.
type agent struct {
	w           *world
	index       int
	name        identifier.Upstream
	concurrency int     // zero lets the limit adapt
	server      *server // nil: runs take their own time
	incarnation identifier.Incarnation
	alive       bool
	leaving     bool
	drained     bool
	removed     bool
	r           *admitter.Reducer
	streams     map[admitter.StreamID]*stream
	runs        map[identifier.AttemptID]*workRun
}

type workRun struct {
	answering bool
	ended     bool
	dead      bool
	job       *job
	readers   []*stream
}

func (a *agent) start() {
	cfg := limiter.DefaultConcurrencyConfig()
	if a.concurrency > 0 {
		cfg.Min, cfg.Initial, cfg.Max = a.concurrency, a.concurrency, a.concurrency
	}
	a.incarnation++
	a.drained = false
	a.alive = true
	a.streams = make(map[admitter.StreamID]*stream)
	a.runs = make(map[identifier.AttemptID]*workRun)
	a.r = admitter.New(admitter.Config{Upstream: a.name, Incarnation: a.incarnation, Concurrency: cfg}, asserter.Strict{})
	a.post(admitter.UpstreamChanged{Ready: true})
	a.signal()
}

// signal sends signs of life on every stream.
func (a *agent) signal() {
	incarnation := a.incarnation
	a.w.after(aliveEvery, func() {
		if !a.alive || a.incarnation != incarnation {
			return
		}
		load := a.r.Load()
		for _, s := range a.sorted() {
			a.say(s, router.AttemptProgressed{Request: s.request, Attempt: s.attempt, Load: &load})
		}
		a.signal()
	})
}

func (a *agent) sorted() []*stream {
	var list []*stream
	for _, s := range a.streams {
		list = append(list, s)
	}
	slices.SortFunc(list, func(x, y *stream) int { return int(x.id) - int(y.id) })
	return list
}

func (a *agent) accept(e *entry, request identifier.RequestID, attempt identifier.AttemptID) *stream {
	a.w.streams++
	s := &stream{id: a.w.streams, entry: e, epoch: e.epoch, request: request, attempt: attempt, silent: a.w.chance(a.w.lossy / 4)}
	a.streams[s.id] = s
	return s
}

// crash ends the agent's process. Its runs are cut off at the upstream.
func (a *agent) crash(pause time.Duration) {
	for _, run := range a.runs {
		run.dead = true
	}
	for _, s := range a.sorted() {
		if a.w.chance(0.5) { // else the stream stays silent
			s.entry.later(a.w.between(1, 100), router.AttemptBroke{Request: s.request, Attempt: s.attempt, Kind: router.LinkLost})
		}
	}
	a.alive = false
	a.w.after(pause, func() {
		if !a.removed {
			a.leaving = false
			a.start()
			a.w.spread()
		}
	})
}

// crashUpstream ends the upstream's process.
func (a *agent) crashUpstream(pause time.Duration) {
	for _, run := range a.runs {
		run.dead = true
	}
	a.post(admitter.UpstreamChanged{Crashed: true})
	incarnation := a.incarnation
	a.w.after(pause, func() {
		if a.alive && a.incarnation == incarnation {
			a.post(admitter.UpstreamChanged{Ready: true})
		}
	})
}

func (a *agent) leave() {
	a.leaving = true
	a.post(admitter.Leave{})
	a.w.spread()
}

func (a *agent) lose(s *stream, after time.Duration) {
	incarnation := a.incarnation
	a.w.after(after, func() {
		if a.alive && a.incarnation == incarnation {
			delete(a.streams, s.id)
			a.post(admitter.StreamLost{Attempt: s.attempt, Stream: s.id})
		}
	})
}

// say sends an event to the entry in the order of the stream.
func (a *agent) say(s *stream, event router.Event) {
	w := a.w
	if s.silent || w.blocked[[2]int{s.entry.index, a.index}] {
		s.silent = true
		return
	}
	at := w.now.Add(w.between(1, 5))
	if at.Before(s.readyAt) {
		at = s.readyAt
	}
	s.readyAt = at
	epoch := s.epoch
	w.after(at.Sub(w.now), func() {
		if s.entry.epoch == epoch {
			s.entry.post(event)
		}
	})
}

func (a *agent) post(event admitter.Event) {
	for _, effect := range a.r.Reduce(a.w.now, event) {
		a.carryOut(effect)
	}
}

func (a *agent) carryOut(effect admitter.Effect) {
	switch f := effect.(type) {
	case admitter.Accept:
		s := a.streams[f.Stream]
		a.say(s, router.AttemptWasAccepted{Request: s.request, Attempt: s.attempt, Load: f.Message.Load})
	case admitter.Refuse:
		if s := a.close(f.Stream); s != nil {
			a.say(s, router.AttemptWasRefused{Request: s.request, Attempt: s.attempt, Reason: f.Message.Reason,
				RetryAfter: f.Message.RetryAfter, Load: f.Message.Load})
		}
	case admitter.Gone:
		if s := a.close(f.Stream); s != nil {
			a.say(s, router.AttemptBroke{Request: s.request, Attempt: s.attempt, Kind: router.Gone, Reason: f.Message.Reason})
		}
	case admitter.Attach:
		a.attach(a.runs[f.Attempt], a.streams[f.Stream])
	case admitter.Run:
		a.begin(f.Attempt)
	case admitter.Stop:
		run := a.runs[f.Attempt]
		if !run.dead && !run.ended {
			run.dead = true
			if run.job != nil {
				a.server.remove(run.job)
			}
			a.post(admitter.AttemptFinished{Attempt: f.Attempt, Kind: admitter.Stopped})
		}
	case admitter.Drained:
		a.drained = true
	}
}

func (a *agent) close(id admitter.StreamID) *stream {
	s := a.streams[id]
	delete(a.streams, id)
	return s
}

func (a *agent) begin(id identifier.AttemptID) {
	w := a.w
	start := w.starts[id]
	w.began[id]++
	if start.Class == router.NonIdempotent {
		w.keyRuns[start.Key]++
		require.Equal(w.t, 1, w.keyRuns[start.Key], "key %s runs again", start.Key)
	}
	run := &workRun{}
	a.runs[id] = run
	if a.server != nil {
		a.serve(id, run)
		return
	}
	took := w.service(a, start)
	w.after(took/2, func() { a.answering(id, run, took/2) })
	w.after(took, func() { a.end(id, run) })
}

// serve runs the attempt on the agent's server, the head first.
func (a *agent) serve(id identifier.AttemptID, run *workRun) {
	w, began := a.w, a.w.now
	head := time.Duration(headShare * float64(workOfRequest))
	run.job = a.server.add(head, func() {
		a.answering(id, run, w.now.Sub(began))
		run.job = a.server.add(workOfRequest-head, func() { a.end(id, run) })
	})
}

// die ends the agent and its upstream for good. Control drops it after the lease.
func (a *agent) die(lease time.Duration) {
	a.crash(time.Hour)
	a.removed = true
	a.w.after(lease, a.w.spread)
}

func (a *agent) answering(id identifier.AttemptID, run *workRun, latency time.Duration) {
	if run.dead {
		return
	}
	run.answering = true
	a.post(admitter.AttemptAnswering{Attempt: id, Latency: latency})
	for _, s := range run.readers {
		a.say(s, router.AttemptAnswering{Request: s.request, Attempt: s.attempt, Status: 200})
	}
}

// end settles first, as the shell does.
func (a *agent) end(id identifier.AttemptID, run *workRun) {
	if run.dead {
		return
	}
	w := a.w
	start := w.starts[id]
	if start.Class == router.NonIdempotent && !w.control.settle(router.Settlement{
		Key: start.Key, Token: start.Token, Answer: router.StoredAnswer{Outcome: router.Completed, Status: 200}}) {
		w.after(200*time.Millisecond, func() { a.end(id, run) })
		return
	}
	run.ended = true
	w.wholes[id] = true
	a.post(admitter.AttemptFinished{Attempt: id, Kind: admitter.Whole})
	for _, s := range run.readers {
		a.finish(s)
	}
}

func (a *agent) attach(run *workRun, s *stream) {
	run.readers = append(run.readers, s)
	if run.answering {
		a.say(s, router.AttemptAnswering{Request: s.request, Attempt: s.attempt, Status: 200})
	}
	if run.ended {
		a.finish(s)
	}
}

func (a *agent) finish(s *stream) {
	if a.streams[s.id] == nil {
		return
	}
	a.say(s, router.AttemptEnded{Request: s.request, Attempt: s.attempt, Status: 200, Load: a.r.Load()})
	a.close(s.id)
	a.post(admitter.AttemptDelivered{Attempt: s.attempt, Stream: s.id})
}

// claims is control.
type claims struct {
	down  bool
	token identifier.FencingToken
	held  map[identifier.IdempotencyKey]*claim
}

type claim struct {
	request router.ClaimRequest
	token   identifier.FencingToken
	answer  *router.StoredAnswer
	freed   []identifier.AttemptID
}

func (c *claims) claim(r router.ClaimRequest) router.ClaimAnswer {
	held := c.held[r.Key]
	switch {
	case held == nil:
		held = &claim{}
		c.held[r.Key] = held
	case held.answer != nil:
		return router.ClaimAnswer{Status: router.Stored, Answer: *held.answer}
	case held.token != 0 && held.request.Attempt == r.Attempt:
		return router.ClaimAnswer{Status: router.Granted, Token: held.token}
	case held.token != 0 && held.token != r.Replaces:
		h := held.request
		return router.ClaimAnswer{Status: router.Held, Token: held.token, Request: h.Request, Attempt: h.Attempt,
			Upstream: h.Upstream, Incarnation: h.Incarnation}
	}
	if slices.Contains(held.freed, r.Attempt) {
		return router.ClaimAnswer{Status: router.Fenced}
	}
	if held.token != 0 {
		held.freed = append(held.freed, held.request.Attempt)
	}
	c.token++
	held.token = c.token
	held.request = r
	return router.ClaimAnswer{Status: router.Granted, Token: c.token}
}

// settle reports whether control took the settlement.
func (c *claims) settle(s router.Settlement) bool {
	held := c.held[s.Key]
	switch {
	case c.down:
		return false
	case held == nil || held.token != s.Token:
	case s.Answer.Outcome == router.NotRun && held.answer == nil:
		held.freed = append(held.freed, held.request.Attempt)
		held.token = 0
	case s.Answer.Outcome == router.NotRun:
	case held.answer == nil || (held.answer.Outcome == router.Unknown && s.Answer.Outcome != router.Unknown):
		held.answer = &s.Answer
	}
	return true
}
